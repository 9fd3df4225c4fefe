"""Circuit breaker in front of the object API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.errors import PlatformError, ResultCode

if TYPE_CHECKING:
    import random

FAILURE_THRESHOLD = 5
MIN_OPEN_S = 0.5
MAX_OPEN_S = 5.0


class CircuitBreaker:
    """Refuses calls for a limited time after consecutive failures.

    While the circuit is open, every call is refused at once. After a jittered time one
    trial call is admitted; its success closes the circuit, its failure opens it for
    longer.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._open_duration_s = MIN_OPEN_S
        self._open_until = 0.0
        self._trial_in_progress = False

    @property
    def is_open(self) -> bool:
        """Whether the circuit has not closed since it last opened."""
        return self._failures >= FAILURE_THRESHOLD

    def admit(self, now: float) -> None:
        """Admit a call or refuse it.

        Raises
        ------
        PlatformError
            The circuit is open.
        """
        if not self.is_open:
            return
        if now < self._open_until or self._trial_in_progress:
            raise PlatformError(
                "store failed several times in a row, so calls are refused for a while",
                ResultCode.STORE_CIRCUIT_OPEN,
            )
        self._trial_in_progress = True

    def record_success(self) -> None:
        """Record a call that got a response from the store."""
        self._failures = 0
        self._open_duration_s = MIN_OPEN_S
        self._trial_in_progress = False

    def record_failure(self, now: float) -> None:
        """Record a call that failed."""
        self._trial_in_progress = False
        self._failures += 1
        if not self.is_open:
            return
        self._open_until = now + self._rng.uniform(0.5, 1.0) * self._open_duration_s
        self._open_duration_s = min(MAX_OPEN_S, self._open_duration_s * 2)

    def record_cancelled(self) -> None:
        """Record a call that was cancelled before its outcome was known."""
        self._trial_in_progress = False
