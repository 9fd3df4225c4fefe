"""Circuit breaker in front of the object API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.errors import PlatformError, ResultCode

if TYPE_CHECKING:
    import random

FAILURES_TO_OPEN = 5
OPEN_MIN_S = 0.5
OPEN_MAX_S = 5.0


class Circuit:
    """Refuses calls for a while after consecutive failures.

    While it is open every call is refused at once. After a jittered time one trial
    call passes; its success closes the circuit, its failure opens it for longer.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._open_s = OPEN_MIN_S
        self._open_until = 0.0
        self._trial_running = False

    @property
    def is_open(self) -> bool:
        """Whether the circuit has not closed since it last opened."""
        return self._failures >= FAILURES_TO_OPEN

    def enter(self, now: float) -> None:
        """Let a call pass, or refuse it.

        Raises
        ------
        PlatformError
            The circuit is open.
        """
        if not self.is_open:
            return
        if now < self._open_until or self._trial_running:
            raise PlatformError(
                "store failed several times in a row and is not called for a while",
                ResultCode.STORE_CIRCUIT_OPEN,
            )
        self._trial_running = True

    def succeed(self) -> None:
        """Take note of a call that the store answered."""
        self._failures = 0
        self._open_s = OPEN_MIN_S
        self._trial_running = False

    def fail(self, now: float) -> None:
        """Take note of a call that failed."""
        self._trial_running = False
        self._failures += 1
        if not self.is_open:
            return
        self._open_until = now + self._rng.uniform(0.5, 1.0) * self._open_s
        self._open_s = min(OPEN_MAX_S, self._open_s * 2)

    def abandon(self) -> None:
        """Take note of a call that was cancelled before its outcome was known."""
        self._trial_running = False
