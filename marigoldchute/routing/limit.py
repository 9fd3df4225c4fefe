"""Adaptive limit on the requests that run at once on one backend server."""

from __future__ import annotations

import statistics

WINDOW_SAMPLES = 30
WINDOW_MIN_S = 0.2
TOLERANCE = 2.0
REFUSED_DECREASE = 0.7
SLOW_DECREASE = 0.9
FLOOR_SHARE = 0.25
BUSY_SHARE = 0.8
QUIET_SHARE = 0.5
BASELINE_WEIGHT = 0.2
COOL_DOWN_S = 0.5


class AdaptiveLimit:
    """Additive increase and multiplicative decrease below the announced slots.

    The announced number is the ceiling. Refusals by the backend server lower the
    limit at once (AIMD; Chiu and Jain, "Analysis of the Increase and Decrease
    Algorithms", 1989). A window of busy samples whose median latency is more than
    ``TOLERANCE`` times that of quiet windows lowers it too (a latency gradient, as in
    Netflix's concurrency-limits, 2018); any other busy window raises it by one.

    Parameters
    ----------
    slots : int
        Announced number of requests that may run at once.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._value = float(slots)
        self._samples: list[float] = []
        self._busy_samples = 0
        self._window_since = 0.0
        self._lowered_at = float("-inf")
        self._baseline_s: float | None = None

    @property
    def value(self) -> int:
        """Requests that may run at once now."""
        return max(1, int(self._value))

    def set_slots(self, slots: int) -> None:
        """Take a new announced number."""
        if slots != self._slots:
            self._slots = slots
            self._value = float(slots)

    def take_refusal(self, now: float) -> None:
        """Take note that the backend server refused for lack of capacity."""
        if now - self._lowered_at >= COOL_DOWN_S:
            self._lower(REFUSED_DECREASE, now)

    def take_sample(self, run_s: float, running: int, now: float) -> None:
        """Take the latency of one whole answer.

        Parameters
        ----------
        run_s : float
            Time that the backend server took.
        running : int
            Requests that ran at once when it was admitted.
        now : float
            Monotonic time in seconds.
        """
        self._samples.append(run_s)
        if running >= BUSY_SHARE * self._value:
            self._busy_samples += 1
        full = len(self._samples) >= WINDOW_SAMPLES
        if full and now - self._window_since >= WINDOW_MIN_S:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        median_s = statistics.median(self._samples)
        busy_share = self._busy_samples / len(self._samples)
        self._samples.clear()
        self._busy_samples = 0
        self._window_since = now
        if busy_share < QUIET_SHARE:
            self._learn_baseline(median_s)
            self._raise()
            return
        baseline_s = self._baseline_s
        if baseline_s is not None and median_s > TOLERANCE * baseline_s:
            self._lower(SLOW_DECREASE, now)
        else:
            self._raise()

    def _learn_baseline(self, median_s: float) -> None:
        if self._baseline_s is None:
            self._baseline_s = median_s
        else:
            self._baseline_s += BASELINE_WEIGHT * (median_s - self._baseline_s)

    def _raise(self) -> None:
        self._value = min(float(self._slots), self._value + 1)

    def _lower(self, factor: float, now: float) -> None:
        self._value = max(1.0, FLOOR_SHARE * self._slots, self._value * factor)
        self._lowered_at = now
