"""Log lines of the connections that were closed to keep the memory budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.routing.memory_budget import MemoryBudget

MIN_INTERVAL_S = 1.0


class MemoryLog:
    """Writes at most one line in ``MIN_INTERVAL_S``, with what was closed since.

    Parameters
    ----------
    log : EventLog
        Event log of the process.
    budget : MemoryBudget
        Budget whose closed connections are logged.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self, log: EventLog, budget: MemoryBudget, clock: Callable[[], float]
    ) -> None:
        self._log = log
        self._budget = budget
        self._clock = clock
        self._logged_at = float("-inf")
        self._logged_count = 0
        budget.on_closed = self.on_closed

    def on_closed(self, count: int, held_bytes: int, largest_bytes: int) -> None:
        """Log that connections were closed."""
        self.record(count, held_bytes, largest_bytes, self._clock())

    def record(
        self, count: int, held_bytes: int, largest_bytes: int, now: float
    ) -> None:
        """Log that connections were closed, unless a line was written just before.

        Parameters
        ----------
        count : int
            Number of connections closed at this time.
        held_bytes, largest_bytes : int
            Memory held before by all connections, and by the largest one.
        now : float
            Monotonic time in seconds.
        """
        if now - self._logged_at < MIN_INTERVAL_S:
            return
        self._logged_at = now
        closed_count = self._budget.closed_count - self._logged_count
        self._logged_count = self._budget.closed_count
        self._log.emit(
            "routing",
            "memory",
            "Connections that take the most memory were closed.",
            closed=closed_count,
            closed_now=count,
            held_bytes=held_bytes,
            largest_bytes=largest_bytes,
            limit_bytes=self._budget.limit_bytes,
        )
