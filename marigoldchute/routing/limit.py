"""Adaptive concurrency limit for one backend server."""

from __future__ import annotations

import statistics

MIN_WINDOW_SAMPLES = 30
MIN_WINDOW_S = 0.2
MAX_LATENCY_RATIO = 2.0
REFUSAL_DECREASE_FACTOR = 0.7
LATENCY_DECREASE_FACTOR = 0.9
MIN_LIMIT_RATIO = 0.25
BUSY_LOAD_RATIO = 0.8
MIN_BUSY_SAMPLE_RATIO = 0.5
BASELINE_EWMA_WEIGHT = 0.2
DECREASE_COOLDOWN_S = 0.5


class AdaptiveLimit:
    """Additive-increase, multiplicative-decrease limit below the announced slots.

    The announced slots are the maximum. Refusals by the backend server lower the limit
    at once (AIMD; Chiu and Jain, "Analysis of the Increase and Decrease Algorithms",
    1989). A busy window of samples whose median latency is more than
    ``MAX_LATENCY_RATIO`` times the baseline of quiet windows lowers it too (a latency
    gradient, as in Netflix's concurrency-limits, 2018); any other window raises it by
    one.

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
        self._window_started_at = 0.0
        self._decreased_at = float("-inf")
        self._baseline_s: float | None = None

    @property
    def value(self) -> int:
        """Number of requests that may currently run at once."""
        return max(1, int(self._value))

    def set_slots(self, slots: int) -> None:
        """Set the announced number of slots."""
        if slots != self._slots:
            self._slots = slots
            self._value = float(slots)

    def record_refusal(self, now: float) -> None:
        """Record a refusal by the backend server for lack of capacity."""
        if now - self._decreased_at >= DECREASE_COOLDOWN_S:
            self._decrease(REFUSAL_DECREASE_FACTOR, now)

    def record_sample(self, run_s: float, running: int, now: float) -> None:
        """Record the latency of one complete response.

        Parameters
        ----------
        run_s : float
            Time that the backend server took for the request.
        running : int
            Number of running requests when the request was admitted.
        now : float
            Monotonic time in seconds.
        """
        self._samples.append(run_s)
        if running >= BUSY_LOAD_RATIO * self._value:
            self._busy_samples += 1
        has_enough_samples = len(self._samples) >= MIN_WINDOW_SAMPLES
        if has_enough_samples and now - self._window_started_at >= MIN_WINDOW_S:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        median_s = statistics.median(self._samples)
        busy_ratio = self._busy_samples / len(self._samples)
        self._samples.clear()
        self._busy_samples = 0
        self._window_started_at = now
        if busy_ratio < MIN_BUSY_SAMPLE_RATIO:
            self._update_baseline(median_s)
            self._increase()
            return
        baseline_s = self._baseline_s
        if baseline_s is not None and median_s > MAX_LATENCY_RATIO * baseline_s:
            self._decrease(LATENCY_DECREASE_FACTOR, now)
        else:
            self._increase()

    def _update_baseline(self, median_s: float) -> None:
        if self._baseline_s is None:
            self._baseline_s = median_s
        else:
            self._baseline_s += BASELINE_EWMA_WEIGHT * (median_s - self._baseline_s)

    def _increase(self) -> None:
        self._value = min(float(self._slots), self._value + 1)

    def _decrease(self, factor: float, now: float) -> None:
        self._value = max(1.0, MIN_LIMIT_RATIO * self._slots, self._value * factor)
        self._decreased_at = now
