"""When to open which link: back-off with full jitter and a rate for the whole node."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 5.0
DIALS_PER_S = 10.0
DIAL_BURST = 20.0


@dataclasses.dataclass(frozen=True)
class Backoff:
    """Wait before the next attempt at one peer.

    Parameters
    ----------
    not_before : float
        Monotonic time of the next attempt.
    ceiling_s : float
        Upper end of the last random wait.
    """

    not_before: float = 0.0
    ceiling_s: float = 0.0


class DialSchedule:
    """Bounds the attempts of one node to open links.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._backoffs: dict[str, Backoff] = {}
        self._tokens = DIAL_BURST
        self._refilled_at = 0.0

    def admit(self, name: str, now: float) -> bool:
        """Whether a peer may be dialled now; takes one attempt off the rate."""
        if now < self._backoffs.get(name, Backoff()).not_before:
            return False
        passed = now - self._refilled_at
        self._tokens = min(DIAL_BURST, self._tokens + passed * DIALS_PER_S)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def fail(self, name: str, now: float) -> None:
        """Put off the next attempt; full jitter after Brooker (2015)."""
        last = self._backoffs.get(name, Backoff())
        ceiling = min(RECONNECT_MAX_S, max(RECONNECT_MIN_S, 2 * last.ceiling_s))
        wait_s = self._rng.uniform(0.0, ceiling)
        self._backoffs[name] = Backoff(now + wait_s, ceiling)

    def succeed(self, name: str) -> None:
        """Drop the back-off of a peer."""
        self._backoffs.pop(name, None)

    def clear(self) -> None:
        """Drop every back-off."""
        self._backoffs.clear()
