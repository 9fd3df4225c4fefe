"""Budgets that keep retries and cross-region requests bounded."""

from __future__ import annotations


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

    def add_request(self) -> None:
        """Take note of a first try."""
        self.requests += 1
        self._earned = min(self._burst, self._earned + self._share)

    def take_retry(self, now: float) -> bool:
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
