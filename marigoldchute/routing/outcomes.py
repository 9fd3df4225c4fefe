"""Outcomes of attempts, as move evidence and metrics record them."""

from __future__ import annotations

import enum
from typing import Protocol

NUM_LOAD_LEVELS = 4


class Outcome(enum.Enum):
    """Outcome of one attempt at a backend server.

    ``OK`` and ``ERROR`` are complete responses; ``ERROR`` has a status of 500 or
    above. ``SHED`` is a refusal by admission or by the backend server for lack of
    capacity, ``NOT_RUN`` any other refusal before the request ran. ``UNKNOWN`` means
    that the request may have run, ``OVERDUE`` that it was still running at its
    deadline, and ``CANCELLED`` that the caller disconnected or did not send a valid
    request.
    """

    OK = "ok"
    ERROR = "error"
    SHED = "shed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    OVERDUE = "overdue"
    CANCELLED = "cancelled"


class OutcomeSink(Protocol):
    """Receives the begin and the outcome of every attempt; must not block."""

    def record_attempt(self, service: str, release: str, move_id: str) -> None:
        """Record that an attempt begins; the parameters are those of ``record``."""

    def record(
        self,
        route: str,
        service: str,
        release: str,
        move_id: str,
        outcome: Outcome,
        latency_ms: float,
        load_level: int,
        cold: bool,
        now_ms: int,
    ) -> None:
        """Record one outcome.

        Parameters
        ----------
        route, service, release : str
            Route, service and release of the request.
        move_id : str
            Move in progress for the service; empty when there is none.
        outcome : Outcome
            Outcome of the attempt.
        latency_ms : float
            Time from the choice of the backend server to the end of the response.
        load_level : int
            Quarter of the backend server's slots in use when it admitted the
            request, 0 to ``NUM_LOAD_LEVELS - 1``.
        cold : bool
            Whether the backend server was in its cold start.
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        """
