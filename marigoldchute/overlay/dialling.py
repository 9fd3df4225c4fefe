"""Rate limit and back-off with full jitter for opening links."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

MIN_RECONNECT_DELAY_S = 0.2
MAX_RECONNECT_DELAY_S = 5.0
DIALS_PER_S = 10.0
DIAL_BURST = 20.0


@dataclasses.dataclass(frozen=True)
class Backoff:
    """Back-off of one peer.

    Parameters
    ----------
    not_before : float
        Monotonic time before which no attempt is made.
    ceiling_s : float
        Upper bound of the last random wait.
    """

    not_before: float = 0.0
    ceiling_s: float = 0.0


class DialSchedule:
    """Limits the attempts of a node to open links.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._backoffs: dict[str, Backoff] = {}
        self._tokens = DIAL_BURST
        self._last_refill_at = 0.0

    def admit(self, name: str, now: float) -> bool:
        """Return whether a peer may be dialled now; if so, consume one attempt."""
        if now < self._backoffs.get(name, Backoff()).not_before:
            return False
        elapsed_s = now - self._last_refill_at
        self._tokens = min(DIAL_BURST, self._tokens + elapsed_s * DIALS_PER_S)
        self._last_refill_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def record_failure(self, name: str, now: float) -> None:
        """Delay the next attempt, with full jitter after Brooker (2015)."""
        previous = self._backoffs.get(name, Backoff())
        ceiling_s = min(
            MAX_RECONNECT_DELAY_S, max(MIN_RECONNECT_DELAY_S, 2 * previous.ceiling_s)
        )
        wait_s = self._rng.uniform(0.0, ceiling_s)
        self._backoffs[name] = Backoff(now + wait_s, ceiling_s)

    def record_success(self, name: str) -> None:
        """Clear the back-off of a peer."""
        self._backoffs.pop(name, None)

    def clear(self) -> None:
        """Clear the back-off of every peer."""
        self._backoffs.clear()
