"""Budget of calls of one node to the object API."""

from __future__ import annotations


class CallBudget:
    """Token bucket that is refilled at a constant rate up to a burst.

    Parameters
    ----------
    calls_per_s : float
        Sustained rate.
    burst_calls : float
        Calls that may be made at once after an idle period.
    now : float
        Current time in seconds.
    """

    def __init__(self, calls_per_s: float, burst_calls: float, now: float) -> None:
        self._calls_per_s = calls_per_s
        self._burst_calls = burst_calls
        self._tokens = burst_calls
        self._refilled_at = now

    def reserve(self, now: float, max_wait_s: float) -> float | None:
        """Reserve one call.

        Returns
        -------
        float or None
            Seconds to wait before the call, or None when it would have to wait longer
            than ``max_wait_s``; nothing is reserved then.
        """
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(
            self._burst_calls, self._tokens + elapsed * self._calls_per_s
        )
        self._refilled_at = now
        wait_s = max(0.0, (1.0 - self._tokens) / self._calls_per_s)
        if wait_s > max_wait_s:
            return None
        self._tokens -= 1.0
        return wait_s
