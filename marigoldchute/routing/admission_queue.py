"""Decides which requests wait for a backend server and which one is displaced.

Nothing here waits or reads a clock: the gate of a backend server and the simulation of
an overloaded service both use this module.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools
from typing import TYPE_CHECKING, Generic, TypeVar

from marigoldchute.errors import NotRunError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterator

NUM_PRIORITIES = 3
MAX_QUEUED_PER_SLOT = 4
# Part of the queue that requests of each priority may fill: the lowest is shed first.
QUEUE_RATIOS = (1.0, 0.75, 0.5)
# Seven in eight requests take less than this many times the mean run time, given how
# the run times of backend servers vary.
RUN_TIME_MARGIN = 1.6
# A waiting request is displaced for work only by one that needs less than this part of
# its run time, so that the variation of measured run times displaces nothing.
MAX_DISPLACING_RATIO = 0.5
# The fastest servers need a third of the run time of the slowest. A request that is
# late at a slow server only is refused there, so that it is tried at a fast one.
FASTEST_RUN_RATIO = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of a backend server.

    Parameters
    ----------
    priority : int
        Priority class; 0 is admitted first.
    run_s : float
        Expected run time at this backend server.
    due_at : float
        Time of the latency objective, of a nested call its deadline; 0 without one.
        It may have passed.
    deadline_at : float
        Time of the caller's deadline.
    route : str
        Name of the route.
    is_nested : bool
        Whether a request that runs on another backend server waits for this one.
    """

    priority: int
    run_s: float
    due_at: float
    deadline_at: float
    route: str = ""
    is_nested: bool = False

    @property
    def start_by(self) -> float:
        """Latest start with which the request is expected to be in time."""
        return self.due_at - self.run_s if self.due_at else 0.0

    def is_late(self, now: float) -> bool:
        """Return whether no server can be expected to meet the objective any more."""
        if not self.due_at or self.is_nested:
            return False
        return self.due_at - now <= FASTEST_RUN_RATIO * self.run_s


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of a backend server at a moment.

    Parameters
    ----------
    limit : int
        Number of requests that may run at once.
    mean_s : float
        Mean run time of all requests.
    """

    limit: int
    mean_s: float

    def wait_behind(self, ahead_s: float) -> float:
        """Return the expected wait for a slot behind a total run time."""
        return (ahead_s + self.mean_s) / self.limit


@dataclasses.dataclass
class AdmissionCounts:
    """Counts of decisions about waiting requests since the start of the process.

    Parameters
    ----------
    displaced : int
        Requests that were refused after they had waited.
    refused_late : int
        Requests that were refused because they would not be in time.
    refused_full : int
        Requests that were refused because the queue was full.
    waited_late : int
        Requests that were taken after their objective had passed.
    """

    displaced: int = 0
    refused_late: int = 0
    refused_full: int = 0
    waited_late: int = 0


class Waiter:
    """A request that waits for a slot.

    Attributes
    ----------
    demand : Demand
        What the request asks.
    sort_key : tuple of float and int
        Order within the priority class.
    is_late : bool
        Whether the request had missed its objective when it arrived.
    """

    __slots__ = ("demand", "is_late", "sort_key")

    def __init__(self, demand: Demand) -> None:
        self.demand = demand
        self.sort_key = (0.0, 0)
        self.is_late = False


WaiterT = TypeVar("WaiterT", bound=Waiter)


def _sort_key_of(waiter: Waiter) -> tuple[float, int]:
    return waiter.sort_key


class AdmissionQueue(Generic[WaiterT]):
    """Requests that wait for a backend server, by priority and latest start.

    Within a priority class the request that must start first is admitted first, and
    requests without an objective in the order of arrival. Nested calls are in class 0:
    the request that makes one holds a slot, and its work is lost if the call is
    refused.

    A request that is expected to be late takes the place of a waiting request of its
    class that needs at least twice its work, if that lets it be in time (as in the
    rule of Moore and Hodgson, which drops the longest job when one would be late).

    A request whose objective has passed may still meet its deadline. It waits behind
    all others and is the first to be displaced.

    Parameters
    ----------
    counts : AdmissionCounts, optional
        Counts to add to; those of all backend servers of a node are kept together.
    """

    def __init__(self, counts: AdmissionCounts | None = None) -> None:
        self._counts = counts if counts is not None else AdmissionCounts()
        self._classes: tuple[list[WaiterT], ...] = tuple(
            [] for _ in range(NUM_PRIORITIES)
        )
        self._late: list[WaiterT] = []
        self._arrivals = itertools.count()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[WaiterT]:
        return itertools.chain(*self._classes, self._late)

    def offer(self, waiter: WaiterT, capacity: Capacity, now: float) -> list[WaiterT]:
        """Add a request; return the waiting requests that it displaces.

        Raises
        ------
        NotRunError
            The request must not wait.
        """
        try:
            displaced = self._add(waiter, capacity, now)
        except NotRunError as exc:
            if exc.code is ResultCode.REQUEST_NOT_RUN_OVERLOADED:
                self._counts.refused_full += 1
            else:
                self._counts.refused_late += 1
            raise
        self._counts.waited_late += waiter.is_late
        self._counts.displaced += len(displaced)
        return displaced

    def _add(self, waiter: WaiterT, capacity: Capacity, now: float) -> list[WaiterT]:
        demand = waiter.demand
        if demand.is_late(now):
            self._add_late(waiter, capacity, now)
            return []
        waiter.sort_key = (demand.start_by, next(self._arrivals))
        displaced = self._displaced_for_time(waiter, capacity, now)
        for other in displaced:
            self.remove(other)
        if not displaced:
            displaced = self._make_space(demand, capacity)
        queue = self._classes[demand.priority]
        bisect.insort(queue, waiter, key=_sort_key_of)
        self._count += 1
        return displaced + self._pop_late(capacity, now)

    def pop(self) -> WaiterT | None:
        """Remove and return the next request to run, or None."""
        for queue in (*self._classes, self._late):
            if queue:
                self._count -= 1
                return queue.pop(0)
        return None

    def remove(self, waiter: WaiterT) -> None:
        """Remove a waiting request."""
        queue = self._late if waiter.is_late else self._classes[waiter.demand.priority]
        queue.remove(waiter)
        self._count -= 1

    def _add_late(self, waiter: WaiterT, capacity: Capacity, now: float) -> None:
        demand = waiter.demand
        wait_s = capacity.wait_behind(sum(other.demand.run_s for other in self))
        max_wait_s = demand.deadline_at - now - RUN_TIME_MARGIN * demand.run_s
        if wait_s > max_wait_s:
            raise _late_error(wait_s, max_wait_s, capacity)
        if self._count >= MAX_QUEUED_PER_SLOT * capacity.limit:
            raise self._full_error(capacity)
        waiter.is_late = True
        waiter.sort_key = (demand.priority, next(self._arrivals))
        bisect.insort(self._late, waiter, key=_sort_key_of)
        self._count += 1

    def _displaced_for_time(
        self, waiter: WaiterT, capacity: Capacity, now: float
    ) -> list[WaiterT]:
        demand = waiter.demand
        queue = self._classes[demand.priority]
        position = bisect.bisect(queue, waiter.sort_key, key=_sort_key_of)
        ahead = queue[:position]
        ahead_s = sum(
            other.demand.run_s
            for other in itertools.chain(*self._classes[: demand.priority], ahead)
        )
        max_wait_s = max_wait_of(demand, now)
        wait_s = capacity.wait_behind(ahead_s)
        if wait_s <= max_wait_s:
            return []
        longest = max(ahead, key=_work_to_displace, default=None)
        if longest is not None and _may_displace(demand, longest.demand):
            wait_s = capacity.wait_behind(ahead_s - longest.demand.run_s)
            if wait_s <= max_wait_s:
                return [longest]
        raise _late_error(wait_s, max_wait_s, capacity)

    def _make_space(self, demand: Demand, capacity: Capacity) -> list[WaiterT]:
        max_queued = MAX_QUEUED_PER_SLOT * capacity.limit
        if self._count < QUEUE_RATIOS[demand.priority] * max_queued:
            return []
        if self._late:
            self._count -= 1
            return [self._late.pop()]
        if self._count >= max_queued:
            for queue in reversed(self._classes[demand.priority + 1 :]):
                if queue:
                    self._count -= 1
                    return [queue.pop()]
        queue = self._classes[demand.priority]
        longest = max(queue, key=_work_to_displace, default=None)
        if longest is not None and _may_displace(demand, longest.demand):
            self.remove(longest)
            return [longest]
        raise self._full_error(capacity)

    def _full_error(self, capacity: Capacity) -> NotRunError:
        return NotRunError(
            f"queue is full: {self._count} waiting, limit {capacity.limit}",
            ResultCode.REQUEST_NOT_RUN_OVERLOADED,
            self._count * capacity.mean_s / capacity.limit,
        )

    def _pop_late(self, capacity: Capacity, now: float) -> list[WaiterT]:
        """Remove the last requests whose responses would now miss their objective.

        Requests of higher priority that arrived later may have delayed them.
        """
        late: list[WaiterT] = []
        ahead_s = sum(
            waiter.demand.run_s for queue in self._classes for waiter in queue
        )
        for queue in reversed(self._classes):
            while queue:
                demand = queue[-1].demand
                ahead_s -= demand.run_s
                response_at = now + capacity.wait_behind(ahead_s) + demand.run_s
                if not demand.due_at or response_at <= demand.due_at:
                    return late
                late.append(queue.pop())
                self._count -= 1
        return late


def _late_error(wait_s: float, max_wait_s: float, capacity: Capacity) -> NotRunError:
    return NotRunError(
        "no slot is expected to be free in time:"
        f" wait {wait_s:.3f} s, at most {max_wait_s:.3f} s, limit {capacity.limit}",
        ResultCode.REQUEST_NOT_RUN_DEADLINE,
        max(capacity.mean_s, wait_s - max_wait_s),
    )


def max_wait_of(demand: Demand, now: float) -> float:
    """Return how long a request may wait and be in time."""
    max_wait_s = demand.deadline_at - now - demand.run_s
    if demand.due_at and not demand.is_nested:
        by_objective_s = demand.due_at - now - RUN_TIME_MARGIN * demand.run_s
        max_wait_s = min(max_wait_s, by_objective_s)
    return max_wait_s


def _work_to_displace(waiter: Waiter) -> float:
    demand = waiter.demand
    return demand.run_s if demand.due_at and not demand.is_nested else 0.0


def _may_displace(demand: Demand, other: Demand) -> bool:
    if not demand.due_at or not other.due_at or other.is_nested:
        return False
    return demand.is_nested or demand.run_s < MAX_DISPLACING_RATIO * other.run_s
