"""Outcome of each request as the move evidence and the metrics receive it."""

from __future__ import annotations

import enum
from typing import Protocol

LOAD_LEVELS = 4


class Outcome(enum.Enum):
    """How one try at a backend server ended.

    ``OK`` and ``ERROR`` are whole answers; ``ERROR`` is one with a status of 500 or
    above. ``SHED`` is a refusal by admission or by the backend server for lack of
    capacity, ``NOT_RUN`` any other refusal before the request ran. ``UNKNOWN`` may
    have run. ``OVERDUE`` still ran when its time was over. ``CANCELLED`` was given up
    by the caller.
    """

    OK = "ok"
    ERROR = "error"
    SHED = "shed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    OVERDUE = "overdue"
    CANCELLED = "cancelled"


class OutcomeSink(Protocol):
    """Receives the outcome of every finished try; must not block."""

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
        """Take one outcome.

        Parameters
        ----------
        route, service, release : str
            Where the request went.
        move_id : str
            Move under way for the service; empty when there is none.
        outcome : Outcome
            How the try ended.
        latency_ms : float
            Time from the choice of the backend server to the end of the answer.
        load_level : int
            Quarter of the backend server's slots in use when it admitted the
            request, 0 to ``LOAD_LEVELS - 1``.
        cold : bool
            Whether the backend server was in its cold start.
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        """
