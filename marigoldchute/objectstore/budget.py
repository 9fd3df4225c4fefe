"""Call budget of one node: a token bucket."""

from __future__ import annotations


class CallBudget:
    """Tokens that refill at a rate up to a burst.

    Parameters
    ----------
    calls_per_s : float
        Sustained rate.
    burst_calls : float
        Calls that may be made at once after a quiet time.
    now : float
        Present time in seconds.
    """

    def __init__(self, calls_per_s: float, burst_calls: float, now: float) -> None:
        self._rate = calls_per_s
        self._burst = burst_calls
        self._tokens = burst_calls
        self._filled_at = now

    def reserve(self, now: float, max_wait_s: float) -> float | None:
        """Reserve one call.

        Returns
        -------
        float or None
            Seconds to wait before the call, or None when it would have to wait longer
            than ``max_wait_s``; nothing is reserved then.
        """
        elapsed = max(0.0, now - self._filled_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._filled_at = now
        wait_s = max(0.0, (1.0 - self._tokens) / self._rate)
        if wait_s > max_wait_s:
            return None
        self._tokens -= 1.0
        return wait_s
