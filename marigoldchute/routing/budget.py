"""Budgets that limit retries and traffic between regions."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

BUCKETS_PER_WINDOW = 20
# Leaves room for windows of nodes that are not aligned, and for the requests that
# retries send to other services.
BUDGET_SAFETY_FACTOR = 0.7


class TokenBucket:
    """Token bucket with a refill rate and a burst size.

    Parameters
    ----------
    rate_per_s : float
        Refill rate in tokens per second.
    burst : float
        Maximum number of tokens in the bucket.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = float("-inf")

    def try_acquire(self, count: float, now: float) -> bool:
        """Acquire tokens if there are enough; return whether there were."""
        self._refill(now)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def charge(self, count: float, now: float) -> None:
        """Remove tokens unconditionally; the number of tokens may become negative."""
        self._refill(now)
        self._tokens -= count

    def has_tokens(self, now: float) -> bool:
        """Return whether any token is left."""
        self._refill(now)
        return self._tokens > 0

    def _refill(self, now: float) -> None:
        self._tokens = min(
            self._burst, self._tokens + (now - self._refilled_at) * self._rate_per_s
        )
        self._refilled_at = now


class RetryBudget:
    """Retry budget proportional to requests, which prevents retry storms.

    Each first attempt adds ``ratio`` tokens, and each retry consumes one. A small
    constant rate of tokens allows retries on a node with few requests too.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first attempt on average.
    min_retries_per_s : float
        Retries per second that are always allowed.
    burst : float
        Maximum number of retries that can be accumulated.
    """

    def __init__(self, ratio: float, min_retries_per_s: float, burst: float) -> None:
        self.requests = 0
        self.retries = 0
        self.refused_retries = 0
        self._ratio = ratio
        self._burst = burst
        self._ratio_tokens = burst
        self._min_rate_bucket = TokenBucket(min_retries_per_s, min_retries_per_s)

    def record_request(self, now: float = 0.0, service: str = "") -> None:
        """Record the first attempt of a request."""
        self.requests += 1
        self._ratio_tokens = min(self._burst, self._ratio_tokens + self._ratio)

    def acquire_retry(self, now: float, service: str = "") -> bool:
        """Return whether one retry is allowed, and record it."""
        allowed = self._acquire(now)
        self.retries += allowed
        self.refused_retries += not allowed
        return allowed

    def _acquire(self, now: float) -> bool:
        if self._ratio_tokens >= 1.0:
            self._ratio_tokens -= 1.0
            return True
        return self._min_rate_bucket.try_acquire(1.0, now)


class RetryLimit(Protocol):
    """Policy that decides whether a retry is allowed."""

    requests: int
    retries: int
    refused_retries: int

    def record_request(self, now: float = 0.0, service: str = "") -> None:
        """Record the first attempt of a request.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        service : str
            Service that the request is sent to.
        """

    def acquire_retry(self, now: float, service: str = "") -> bool:
        """Return whether one retry is allowed, and record it."""


class WindowRetryBudget:
    """One node's part of a retry budget that applies to all nodes together.

    In any window, the retries of a service stay below a ratio of its requests plus a
    constant slack. The ratio applies to this node's own requests and the slack is
    divided evenly among the nodes, so that the total stays within the budget without
    communication between nodes.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request of the window.
    slack : float
        Additional retries allowed to all nodes together.
    window_s : float
        Length of the window in seconds.
    node_count : callable
        Returns the number of nodes.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        node_count: Callable[[], int],
    ) -> None:
        self.requests = 0
        self.retries = 0
        self.refused_retries = 0
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._node_count = node_count
        self._request_counters: dict[str, _SlidingWindowCounter] = {}
        self._retry_counters: dict[str, _SlidingWindowCounter] = {}

    def record_request(self, now: float = 0.0, service: str = "") -> None:
        """Record the first attempt of a request."""
        self.requests += 1
        self._counter_for(self._request_counters, service).add(now)

    def acquire_retry(self, now: float, service: str = "") -> bool:
        """Return whether one retry is allowed, and record it."""
        requests = self._counter_for(self._request_counters, service).total(now)
        retries = self._counter_for(self._retry_counters, service)
        slack = self._slack / max(1, self._node_count())
        allowed = BUDGET_SAFETY_FACTOR * (self._ratio * requests + slack)
        if retries.total(now) + 1 > allowed:
            self.refused_retries += 1
            return False
        retries.add(now)
        self.retries += 1
        return True

    def _counter_for(
        self, counters: dict[str, _SlidingWindowCounter], service: str
    ) -> _SlidingWindowCounter:
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = _SlidingWindowCounter(self._window_s)
        return counter


class _SlidingWindowCounter:
    """Sliding-window counter with ``BUCKETS_PER_WINDOW`` buckets."""

    def __init__(self, window_s: float) -> None:
        self._bucket_s = window_s / BUCKETS_PER_WINDOW
        self._buckets: collections.deque[list[int]] = collections.deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Record an event."""
        bucket = int(now / self._bucket_s)
        if not self._buckets or self._buckets[-1][0] != bucket:
            self._buckets.append([bucket, 0])
        self._buckets[-1][1] += 1
        self._total += 1

    def total(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        oldest_bucket = int(now / self._bucket_s) - BUCKETS_PER_WINDOW
        while self._buckets and self._buckets[0][0] < oldest_bucket:
            self._total -= self._buckets.popleft()[1]
        return self._total
