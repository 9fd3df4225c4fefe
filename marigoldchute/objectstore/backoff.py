"""Exponential back-off with full jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class Backoff:
    """Delays drawn uniformly below a bound that doubles with each failure.

    Parameters
    ----------
    min_s, max_s : float
        Initial and maximum bound in seconds.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, min_s: float, max_s: float, rng: random.Random) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._rng = rng
        self._bound_s = min_s

    def next_delay_s(self) -> float:
        """Return the next delay in seconds."""
        delay_s = self._rng.uniform(0.0, self._bound_s)
        self._bound_s = min(self._max_s, self._bound_s * 2)
        return delay_s

    def reset(self) -> None:
        """Return to the initial bound after a success."""
        self._bound_s = self._min_s
