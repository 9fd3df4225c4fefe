"""Queue of a backend server by priority class and objective."""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING, Generic

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.routing.admission_queue import (
    MAX_QUEUED_PER_SLOT,
    NUM_PRIORITIES,
    QUEUE_RATIOS,
    AdmissionCounts,
    WaiterT,
    max_wait_of,
)

if TYPE_CHECKING:
    from marigoldchute.routing.admission_queue import Capacity, Waiter


def _sort_key_of(waiter: Waiter) -> tuple[float, int]:
    return waiter.sort_key


class ObjectiveQueue(Generic[WaiterT]):
    """Requests that wait for a backend server, by priority class and objective.

    A request that is expected to be late is refused, and a full queue displaces only
    requests of lower classes. ``AdmissionQueue`` also takes the work into account.

    Parameters
    ----------
    counts : AdmissionCounts, optional
        Counts to add to; those of all backend servers of a node are kept together.
    """

    def __init__(self, counts: AdmissionCounts | None = None) -> None:
        self._counts = counts if counts is not None else AdmissionCounts()
        self._classes: list[list[WaiterT]] = [[] for _ in range(NUM_PRIORITIES)]
        self._arrivals = itertools.count()

    def __len__(self) -> int:
        return sum(map(len, self._classes))

    def offer(self, waiter: WaiterT, capacity: Capacity, now: float) -> list[WaiterT]:
        """Add a request; return the waiting requests that it displaces.

        Raises
        ------
        NotRunError
            The request must not wait.
        """
        demand = waiter.demand
        waiter.sort_key = (demand.due_at, next(self._arrivals))
        queue = self._classes[demand.priority]
        position = bisect.bisect(queue, waiter.sort_key, key=_sort_key_of)
        ahead = itertools.chain(*self._classes[: demand.priority], queue[:position])
        wait_s = capacity.wait_behind(sum(other.demand.run_s for other in ahead))
        max_wait_s = max_wait_of(demand, now)
        if wait_s > max_wait_s:
            self._counts.refused_late += 1
            raise NotRunError(
                "no slot is expected to be free in time",
                ResultCode.REQUEST_NOT_RUN_DEADLINE,
                max(capacity.mean_s, wait_s - max_wait_s),
            )
        displaced = self._make_space(demand.priority, capacity)
        queue.insert(position, waiter)
        displaced += self._pop_late(capacity, now)
        self._counts.displaced += len(displaced)
        return displaced

    def pop(self) -> WaiterT | None:
        """Remove and return the next request to run, or None."""
        for queue in self._classes:
            if queue:
                return queue.pop(0)
        return None

    def remove(self, waiter: WaiterT) -> None:
        """Remove a waiting request."""
        self._classes[waiter.demand.priority].remove(waiter)

    def _make_space(self, priority: int, capacity: Capacity) -> list[WaiterT]:
        max_queued = MAX_QUEUED_PER_SLOT * capacity.limit
        if len(self) < QUEUE_RATIOS[priority] * max_queued:
            return []
        if len(self) >= max_queued:
            for queue in reversed(self._classes[priority + 1 :]):
                if queue:
                    return [queue.pop()]
        self._counts.refused_full += 1
        raise NotRunError(
            "queue is full",
            ResultCode.REQUEST_NOT_RUN_OVERLOADED,
            len(self) * capacity.mean_s / capacity.limit,
        )

    def _pop_late(self, capacity: Capacity, now: float) -> list[WaiterT]:
        """Remove the last requests whose responses would now miss their objective.

        Requests of higher priority that arrived later may have delayed them.
        """
        late: list[WaiterT] = []
        ahead_s = sum(w.demand.run_s for queue in self._classes for w in queue)
        for queue in reversed(self._classes):
            while queue:
                demand = queue[-1].demand
                ahead_s -= demand.run_s
                response_at = now + capacity.wait_behind(ahead_s) + demand.run_s
                if not demand.due_at or response_at <= demand.due_at:
                    return late
                late.append(queue.pop())
        return late
