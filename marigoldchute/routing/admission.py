"""Admission control for one backend server: slots and a bounded queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.routing.admission_queue import (
    MAX_QUEUED_PER_SLOT,
    NUM_PRIORITIES,
    AdmissionCounts,
    AdmissionQueue,
    Capacity,
    Demand,
    Waiter,
)
from marigoldchute.routing.limit import AdaptiveLimit
from marigoldchute.routing.objective_queue import ObjectiveQueue
from marigoldchute.routing.outcomes import NUM_LOAD_LEVELS

if TYPE_CHECKING:
    from marigoldchute.membership.model import BackendServer

__all__ = ["MAX_QUEUED_PER_SLOT", "MAX_TIMED_ROUTES", "AdmissionGate", "RunTimes"]

RUN_TIME_EWMA_WEIGHT = 0.1
INITIAL_RUN_TIME_S = 0.002
# Time that is left for an objective which has passed; 0 stands for none.
PASSED_OBJECTIVE_S = 0.001
# Routes whose run times are kept apart; the others share one mean.
MAX_TIMED_ROUTES = 64


class RunTimes:
    """Moving averages of the run times of a backend server, by route.

    A service answers requests of very different length, such as bookings and the short
    calls of other services. One mean for all would refuse each short request that has
    to wait, and admit long ones that cannot be in time.
    """

    def __init__(self) -> None:
        self.mean_s = INITIAL_RUN_TIME_S
        self._by_route: dict[str, float] = {}

    def record(self, route: str, run_s: float) -> None:
        """Record the run time of a complete response."""
        self.mean_s += RUN_TIME_EWMA_WEIGHT * (run_s - self.mean_s)
        previous_s = self._by_route.get(route)
        if previous_s is not None:
            run_s = previous_s + RUN_TIME_EWMA_WEIGHT * (run_s - previous_s)
        elif len(self._by_route) >= MAX_TIMED_ROUTES:
            return
        self._by_route[route] = run_s

    def expected_s(self, route: str) -> float:
        """Return the expected run time of a request."""
        return self._by_route.get(route, self.mean_s)


class _Waiter(Waiter):
    __slots__ = ("admitted", "event", "refusal")

    def __init__(self, demand: Demand) -> None:
        super().__init__(demand)
        self.event = trio.Event()
        self.admitted = False
        self.refusal: ResultCode | None = None


class AdmissionGate:
    """Slots of one backend server and the bounded queue of requests for them.

    Which requests wait, in which order, and which one is displaced is decided by
    ``ObjectiveQueue``, or by ``AdmissionQueue`` while ``weighs_work`` is set.

    Parameters
    ----------
    server : BackendServer
        Backend server as announced, with its slots and connections.
    adaptive : bool
        Whether refusals and rising latency lower the limit below the slots.
    counts : AdmissionCounts, optional
        Counts of the node, to which those of this gate are added.

    Attributes
    ----------
    weighs_work : bool
        Whether the work of requests decides as well. A change takes effect once no
        request waits.
    """

    def __init__(
        self,
        server: BackendServer,
        adaptive: bool = True,
        counts: AdmissionCounts | None = None,
    ) -> None:
        self.running = 0
        self.max_running = 0
        self.draining = False
        self._adaptive = adaptive
        self._limit = AdaptiveLimit(server.slots)
        self.weighs_work = False
        self._counts = counts
        self._queue: AdmissionQueue[_Waiter] | ObjectiveQueue[_Waiter]
        self._queue = ObjectiveQueue(counts)
        self._run_times = RunTimes()
        self._head_times = RunTimes()
        self.update(server)

    @property
    def limit(self) -> int:
        """Number of requests that may currently run at once."""
        return min(self._limit.value, self._connections)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def load(self) -> int:
        """Number of requests that run or wait."""
        return self.running + len(self._queue)

    @property
    def load_level(self) -> int:
        """Quarter of the slots that the last admitted request is in, counted from 0."""
        return min(
            NUM_LOAD_LEVELS - 1, NUM_LOAD_LEVELS * (self.running - 1) // self._slots
        )

    def update(self, server: BackendServer) -> None:
        """Apply a new announcement of the backend server."""
        self._slots = server.slots
        self._connections = server.connections
        self._limit.set_slots(server.slots)
        if server.draining:
            self.drain()
        else:
            self.draining = False

    def drain(self) -> None:
        """Refuse new and waiting requests, so that they are retried elsewhere."""
        self.draining = True
        self.refuse_waiting(ResultCode.REQUEST_NOT_RUN_DRAINING)

    def refuse_waiting(self, code: ResultCode) -> None:
        """Refuse the waiting requests."""
        while (waiter := self._queue.pop()) is not None:
            self._refuse(waiter, code)

    def try_acquire_slot(self) -> bool:
        """Acquire a slot if one is free and no request waits; return whether it did.

        Raises
        ------
        NotRunError
            The backend server is draining.
        """
        if self.draining:
            raise NotRunError(
                "backend server is draining", ResultCode.REQUEST_NOT_RUN_DRAINING
            )
        if len(self._queue) or self.running >= self.limit:
            return False
        self._occupy_slot()
        return True

    async def acquire_slot(
        self,
        priority: int,
        remaining_s: float,
        objective_s: float = 0.0,
        route: str = "",
        is_nested: bool = False,
    ) -> None:
        """Wait for a slot.

        Parameters
        ----------
        priority : int
            Priority class; 0 is admitted first.
        remaining_s : float
            Time left until the caller's deadline.
        objective_s : float
            Time left until the latency objective; 0 when there is none. A request that
            is not expected to meet it here is refused at once, a nested call only when
            it is not expected to meet its deadline. One whose objective has passed
            waits as if it had none, or behind all others with ``weighs_work``.
        route : str
            Name of the route, whose requests take similar times.
        is_nested : bool
            Whether a request that runs on another backend server waits for this one.

        Raises
        ------
        NotRunError
            The queue is full, the time would not suffice, or the backend server is
            draining.
        """
        now = trio.current_time()
        run_s = self._run_times.expected_s(route)
        self._select_queue()
        if is_nested:
            priority, objective_s = 0, remaining_s
        elif not self.weighs_work and objective_s <= PASSED_OBJECTIVE_S:
            objective_s = 0.0
        demand = Demand(
            min(max(priority, 0), NUM_PRIORITIES - 1),
            run_s,
            now + objective_s if objective_s else 0.0,
            now + remaining_s,
            route,
            is_nested,
        )
        waiter = _Waiter(demand)
        capacity = Capacity(self.limit, self._run_times.mean_s)
        for displaced in self._queue.offer(waiter, capacity, now):
            self._refuse(displaced, ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        try:
            with trio.move_on_after(max(0.0, remaining_s - run_s)):
                await waiter.event.wait()
        except BaseException:
            self._abandon(waiter)
            raise
        if waiter.admitted:
            return
        if waiter.refusal is None:
            self._abandon(waiter)
            waiter.refusal = ResultCode.REQUEST_NOT_RUN_DEADLINE
        raise NotRunError(
            "refused while waiting for a slot", waiter.refusal, self._run_times.mean_s
        )

    def release_slot(self) -> None:
        """Release a slot and admit waiting requests."""
        self.running -= 1
        self._admit_waiting()

    def record_sample(
        self, run_s: float, running: int, now: float, route: str = ""
    ) -> None:
        """Record the run time of a complete response."""
        self._run_times.record(route, run_s)
        if self._adaptive:
            self._limit.record_sample(run_s, running, now)

    def record_head_time(self, route: str, head_s: float) -> float:
        """Record the time until the head of a response.

        Returns the mean of the route for the entries, 0 unless work is weighed.
        """
        self._head_times.record(route, head_s)
        return self._head_times.expected_s(route) if self.weighs_work else 0.0

    def record_refusal(self, now: float) -> None:
        """Record that the backend server itself refused a request."""
        if self._adaptive:
            self._limit.record_refusal(now)

    def _select_queue(self) -> None:
        cls = AdmissionQueue if self.weighs_work else ObjectiveQueue
        if not isinstance(self._queue, cls) and not len(self._queue):
            self._queue = cls(self._counts)

    def _refuse(self, waiter: _Waiter, code: ResultCode) -> None:
        waiter.refusal = code
        waiter.event.set()

    def _abandon(self, waiter: _Waiter) -> None:
        if waiter.admitted:
            self.release_slot()
        elif waiter.refusal is None:
            self._queue.remove(waiter)

    def _admit_waiting(self) -> None:
        while self.running < self.limit:
            waiter = self._queue.pop()
            if waiter is None:
                return
            waiter.admitted = True
            waiter.event.set()
            self._occupy_slot()

    def _occupy_slot(self) -> None:
        self.running += 1
        self.max_running = max(self.max_running, self.running)
