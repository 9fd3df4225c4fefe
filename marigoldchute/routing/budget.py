"""Budgets that keep retries and cross-region requests bounded."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

BUCKETS_PER_WINDOW = 20
BUDGET_MARGIN = 0.7  # Windows of nodes do not line up, and repeats call other services.


class TokenBucket:
    """Tokens that flow in at a rate, up to a burst.

    Parameters
    ----------
    rate_per_s : float
        Tokens a second.
    burst : float
        Greatest number of tokens held.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._at = float("-inf")

    def take(self, count: float, now: float) -> bool:
        """Take tokens if there are enough; return whether there were."""
        self._refill(now)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def charge(self, count: float, now: float) -> None:
        """Take tokens even when there are too few; later takers wait longer."""
        self._refill(now)
        self._tokens -= count

    def has_tokens(self, now: float) -> bool:
        """Return whether any token is left."""
        self._refill(now)
        return self._tokens > 0

    def _refill(self, now: float) -> None:
        self._tokens = min(
            self._burst, self._tokens + (now - self._at) * self._rate_per_s
        )
        self._at = now


class RetryBudget:
    """Retries as a share of recent requests, so that no storm of them forms.

    Each first try adds ``share`` of a token; a retry takes one. A small flow of tokens
    lets a node with few requests retry too.

    Parameters
    ----------
    share : float
        Retries for each first try, in the long run.
    floor_per_s : float
        Retries a second that are always allowed.
    burst : float
        Greatest number of retries held back.
    """

    def __init__(self, share: float, floor_per_s: float, burst: float) -> None:
        self.requests = 0
        self.retries = 0
        self.refused_retries = 0
        self._share = share
        self._burst = burst
        self._earned = burst
        self._floor = TokenBucket(floor_per_s, floor_per_s)

    def add_request(self, now: float = 0.0, service: str = "") -> None:
        """Take note of a first try."""
        self.requests += 1
        self._earned = min(self._burst, self._earned + self._share)

    def take_retry(self, now: float, service: str = "") -> bool:
        """Return whether one retry is allowed, and count it."""
        allowed = self._take(now)
        self.retries += allowed
        self.refused_retries += not allowed
        return allowed

    def _take(self, now: float) -> bool:
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        return self._floor.take(1.0, now)


class RetryLimit(Protocol):
    """Decides which retries are allowed."""

    requests: int
    retries: int
    refused_retries: int

    def add_request(self, now: float = 0.0, service: str = "") -> None:
        """Take note of a first try.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        service : str
            Service that the request goes to.
        """

    def take_retry(self, now: float, service: str = "") -> bool:
        """Return whether one retry is allowed, and count it."""


class WindowRetryBudget:
    """A node's share of a budget that all nodes have together.

    In any window, the retries of a service stay below a share of its requests plus a
    slack. The share is taken of this node's own requests, the slack is divided evenly
    among the nodes, so that the sum holds without any message between them.

    Parameters
    ----------
    share : float
        Retries for each request of the window.
    slack : float
        Retries of all nodes together that are allowed on top.
    window_s : float
        Length of the window in seconds.
    node_count : callable
        Returns the number of nodes.
    """

    def __init__(
        self,
        share: float,
        slack: float,
        window_s: float,
        node_count: Callable[[], int],
    ) -> None:
        self.requests = 0
        self.retries = 0
        self.refused_retries = 0
        self._share = share
        self._slack = slack
        self._window_s = window_s
        self._node_count = node_count
        self._requests: dict[str, _WindowCount] = {}
        self._retries: dict[str, _WindowCount] = {}

    def add_request(self, now: float = 0.0, service: str = "") -> None:
        """Take note of a first try."""
        self.requests += 1
        self._count_in(self._requests, service).add(now)

    def take_retry(self, now: float, service: str = "") -> bool:
        """Return whether one retry is allowed, and count it."""
        requests = self._count_in(self._requests, service).total(now)
        retries = self._count_in(self._retries, service)
        slack = self._slack / max(1, self._node_count())
        allowed = BUDGET_MARGIN * (self._share * requests + slack)
        if retries.total(now) + 1 > allowed:
            self.refused_retries += 1
            return False
        retries.add(now)
        self.retries += 1
        return True

    def _count_in(self, counts: dict[str, _WindowCount], service: str) -> _WindowCount:
        count = counts.get(service)
        if count is None:
            count = counts[service] = _WindowCount(self._window_s)
        return count


class _WindowCount:
    """Events of the last window, kept in ``BUCKETS_PER_WINDOW`` parts."""

    def __init__(self, window_s: float) -> None:
        self._part_s = window_s / BUCKETS_PER_WINDOW
        self._parts: collections.deque[list[int]] = collections.deque()
        self._sum = 0

    def add(self, now: float) -> None:
        """Count an event."""
        part = int(now / self._part_s)
        if not self._parts or self._parts[-1][0] != part:
            self._parts.append([part, 0])
        self._parts[-1][1] += 1
        self._sum += 1

    def total(self, now: float) -> int:
        """Return the events of the window that ends now."""
        oldest = int(now / self._part_s) - BUCKETS_PER_WINDOW
        while self._parts and self._parts[0][0] < oldest:
            self._sum -= self._parts.popleft()[1]
        return self._sum
