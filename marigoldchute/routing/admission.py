"""Admission control for one backend server: slots and a bounded queue."""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.routing.limit import AdaptiveLimit
from marigoldchute.routing.outcomes import NUM_LOAD_LEVELS

if TYPE_CHECKING:
    from marigoldchute.membership.model import BackendServer

NUM_PRIORITIES = 3
MAX_QUEUED_PER_SLOT = 4
# Part of the queue that requests of each priority may fill: the lowest is shed first.
QUEUE_RATIOS = (1.0, 0.75, 0.5)
RUN_TIME_EWMA_WEIGHT = 0.1
INITIAL_RUN_TIME_S = 0.002
# Seven in eight requests take less than this many times the mean run time, given how
# the run times of backend servers vary.
RUN_TIME_MARGIN = 1.6


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


class _Waiter:
    __slots__ = ("admitted", "event", "refusal", "run_s", "sort_key")

    def __init__(self, sort_key: tuple[float, int], run_s: float) -> None:
        self.event = trio.Event()
        self.admitted = False
        self.refusal: ResultCode | None = None
        self.run_s = run_s
        self.sort_key = sort_key


def _sort_key_of(waiter: _Waiter) -> tuple[float, int]:
    return waiter.sort_key


class AdmissionGate:
    """Slots of one backend server and the bounded queue of requests for them.

    Queued requests are admitted by priority class, within a class by the time of their
    latency objective, and in the order of arrival if they have none. Nested calls come
    first, by their deadline: the request that makes one already holds a slot, and its
    work is lost if the call is refused.

    Parameters
    ----------
    server : BackendServer
        Backend server as announced, with its slots and connections.
    adaptive : bool
        Whether refusals and rising latency lower the limit below the slots.
    """

    def __init__(self, server: BackendServer, adaptive: bool = True) -> None:
        self.running = 0
        self.max_running = 0
        self.draining = False
        self._adaptive = adaptive
        self._limit = AdaptiveLimit(server.slots)
        self._queues: tuple[list[_Waiter], ...] = tuple(
            [] for _ in range(NUM_PRIORITIES)
        )
        self._arrivals = itertools.count()
        self._queued = 0
        self._run_times = RunTimes()
        self.update(server)

    @property
    def limit(self) -> int:
        """Number of requests that may currently run at once."""
        return min(self._limit.value, self._connections)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queued

    @property
    def load(self) -> int:
        """Number of requests that run or wait."""
        return self.running + self._queued

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
        for queue in self._queues:
            while queue:
                self._refuse(queue.pop(0), code)

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
        if self._queued or self.running >= self.limit:
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
            is not expected to meet it is refused at once, a nested call only when it
            is not expected to meet its deadline.
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
        max_wait_s = remaining_s - run_s
        if is_nested:
            priority, due_at = 0, now + remaining_s
        else:
            priority = min(max(priority, 0), NUM_PRIORITIES - 1)
            due_at = now + objective_s if objective_s else 0.0
            if objective_s:
                max_wait_s = min(max_wait_s, objective_s - RUN_TIME_MARGIN * run_s)
        waiter = _Waiter((due_at, next(self._arrivals)), run_s)
        self._check_wait(priority, waiter, max_wait_s)
        self._ensure_queue_space(priority)
        bisect.insort(self._queues[priority], waiter, key=_sort_key_of)
        self._queued += 1
        self._refuse_late_waiters(now)
        try:
            with trio.move_on_after(max(0.0, remaining_s - run_s)):
                await waiter.event.wait()
        except BaseException:
            self._abandon(waiter, priority)
            raise
        if waiter.admitted:
            return
        if waiter.refusal is None:
            self._abandon(waiter, priority)
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

    def record_refusal(self, now: float) -> None:
        """Record that the backend server itself refused a request."""
        if self._adaptive:
            self._limit.record_refusal(now)

    def _check_wait(self, priority: int, waiter: _Waiter, max_wait_s: float) -> None:
        ahead_s = sum(
            other.run_s for queue in self._queues[:priority] for other in queue
        )
        queue = self._queues[priority]
        position = bisect.bisect(queue, waiter.sort_key, key=_sort_key_of)
        ahead_s += sum(other.run_s for other in queue[:position])
        wait_s = self._wait_behind(ahead_s)
        if wait_s > max_wait_s:
            raise NotRunError(
                "no slot is expected to be free in time",
                ResultCode.REQUEST_NOT_RUN_DEADLINE,
                max(self._run_times.mean_s, wait_s - max_wait_s),
            )

    def _wait_behind(self, ahead_s: float) -> float:
        """Return the expected wait for a slot behind waiters with a total run time."""
        return (ahead_s + self._run_times.mean_s) / self.limit

    def _ensure_queue_space(self, priority: int) -> None:
        max_queued = MAX_QUEUED_PER_SLOT * self.limit
        if self._queued < QUEUE_RATIOS[priority] * max_queued:
            return
        if self._queued < max_queued:
            raise self._overloaded_error()
        for lower_priority in range(NUM_PRIORITIES - 1, priority, -1):
            if self._queues[lower_priority]:
                waiter = self._queues[lower_priority].pop()
                self._refuse(waiter, ResultCode.REQUEST_NOT_RUN_OVERLOADED)
                return
        raise self._overloaded_error()

    def _refuse_late_waiters(self, now: float) -> None:
        """Refuse the last waiters whose responses would now miss their objective.

        Requests of higher priority that arrived later may have delayed them.
        """
        ahead_s = sum(waiter.run_s for queue in self._queues for waiter in queue)
        for queue in reversed(self._queues):
            while queue:
                last = queue[-1]
                ahead_s -= last.run_s
                due_at = last.sort_key[0]
                response_at = now + self._wait_behind(ahead_s) + last.run_s
                if not due_at or response_at <= due_at:
                    return
                self._refuse(queue.pop(), ResultCode.REQUEST_NOT_RUN_OVERLOADED)

    def _refuse(self, waiter: _Waiter, code: ResultCode) -> None:
        self._queued -= 1
        waiter.refusal = code
        waiter.event.set()

    def _abandon(self, waiter: _Waiter, priority: int) -> None:
        if waiter.admitted:
            self.release_slot()
        elif waiter.refusal is None:
            self._queues[priority].remove(waiter)
            self._queued -= 1

    def _admit_waiting(self) -> None:
        for queue in self._queues:
            while queue and self.running < self.limit:
                waiter = queue.pop(0)
                self._queued -= 1
                waiter.admitted = True
                waiter.event.set()
                self._occupy_slot()

    def _occupy_slot(self) -> None:
        self.running += 1
        self.max_running = max(self.max_running, self.running)

    def _overloaded_error(self) -> NotRunError:
        wait_s = self.queued * self._run_times.mean_s / self.limit
        return NotRunError(
            "queue is full", ResultCode.REQUEST_NOT_RUN_OVERLOADED, wait_s
        )
