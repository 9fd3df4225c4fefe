"""Admission to one backend server: its slots and the bounded queue before them."""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.routing.limit import AdaptiveLimit
from marigoldchute.routing.outcomes import LOAD_LEVELS

if TYPE_CHECKING:
    from marigoldchute.membership.model import BackendServer

PRIORITIES = 3
QUEUE_PER_SLOT = 4
QUEUE_SHARES = (1.0, 0.75, 0.5)  # By priority: the last class is shed first.
RUN_TIME_WEIGHT = 0.1
INITIAL_RUN_S = 0.002
# Seven in eight runs take less than this many times the mean, at the spread of run
# times that backend servers show.
RUN_MARGIN = 1.6


class _Waiter:
    __slots__ = ("admitted", "event", "order", "refusal")

    def __init__(self, order: tuple[float, int]) -> None:
        self.event = trio.Event()
        self.admitted = False
        self.refusal: ResultCode | None = None
        self.order = order


def _order_of(waiter: _Waiter) -> tuple[float, int]:
    return waiter.order


class AdmissionGate:
    """Slots of one backend server and the bounded queue before them.

    Who waits is admitted by class, within a class by the time at which its answer is
    due, and in the order of arrival where no such time is stated.

    Parameters
    ----------
    server : BackendServer
        Announced slots and connections.
    adaptive : bool
        Whether refusals and rising latencies lower the limit below the slots.
    """

    def __init__(self, server: BackendServer, adaptive: bool = True) -> None:
        self.running = 0
        self.max_running = 0
        self.draining = False
        self._adaptive = adaptive
        self._limit = AdaptiveLimit(server.slots)
        self._queues: tuple[list[_Waiter], ...] = tuple([] for _ in range(PRIORITIES))
        self._arrivals = itertools.count()
        self._queued = 0
        self._run_s = INITIAL_RUN_S
        self.update(server)

    @property
    def limit(self) -> int:
        """Requests that may run at once now."""
        return min(self._limit.value, self._connections)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return self._queued

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.running + self._queued

    @property
    def load_level(self) -> int:
        """Quarter of the slots in use, the request admitted last included."""
        return min(LOAD_LEVELS - 1, LOAD_LEVELS * (self.running - 1) // self._slots)

    def update(self, server: BackendServer) -> None:
        """Take a new announcement."""
        self._slots = server.slots
        self._connections = server.connections
        self._limit.set_slots(server.slots)
        if server.draining:
            self.drain()
        else:
            self.draining = False

    def drain(self) -> None:
        """Admit nothing more; refuse what waits, so that it runs elsewhere."""
        self.draining = True
        for queue in self._queues:
            while queue:
                self._refuse(queue.pop(0), ResultCode.REQUEST_NOT_RUN_DRAINING)

    def try_enter(self) -> bool:
        """Take a slot at once if one is free and nobody waits.

        Raises
        ------
        NotRunError
            The backend server drains.
        """
        if self.draining:
            raise NotRunError(
                "backend server drains", ResultCode.REQUEST_NOT_RUN_DRAINING
            )
        if self._queued or self.running >= self.limit:
            return False
        self._take_slot()
        return True

    async def enter(
        self, priority: int, remaining_s: float, objective_s: float = 0.0
    ) -> None:
        """Wait for a slot.

        Parameters
        ----------
        priority : int
            Admission class, 0 is served first.
        remaining_s : float
            Time left until the caller's deadline.
        objective_s : float
            Time left in which an answer has its full worth; 0 when none is stated. A
            request that is not expected to make it is refused at once.

        Raises
        ------
        NotRunError
            The queue is full, the time would pass, or the backend server drains.
        """
        priority = min(max(priority, 0), PRIORITIES - 1)
        due = trio.current_time() + objective_s if objective_s else 0.0
        waiter = _Waiter((due, next(self._arrivals)))
        allowed_s = remaining_s - self._run_s
        if objective_s:
            allowed_s = min(allowed_s, objective_s - RUN_MARGIN * self._run_s)
        self._check_wait(priority, waiter, allowed_s)
        self._make_room(priority)
        bisect.insort(self._queues[priority], waiter, key=_order_of)
        self._queued += 1
        self._refuse_overtaken(trio.current_time())
        try:
            with trio.move_on_after(max(0.0, remaining_s - self._run_s)):
                await waiter.event.wait()
        except BaseException:
            self._give_up(waiter, priority)
            raise
        if waiter.admitted:
            return
        if waiter.refusal is None:
            self._give_up(waiter, priority)
            waiter.refusal = ResultCode.REQUEST_NOT_RUN_DEADLINE
        raise NotRunError(
            "refused while it waited for a slot", waiter.refusal, self._run_s
        )

    def leave(self) -> None:
        """Give a slot back and admit who waits."""
        self.running -= 1
        self._admit_waiting()

    def take_sample(self, run_s: float, running: int, now: float) -> None:
        """Take the time that a whole answer took."""
        self._run_s += RUN_TIME_WEIGHT * (run_s - self._run_s)
        if self._adaptive:
            self._limit.take_sample(run_s, running, now)

    def take_refusal(self, now: float) -> None:
        """Take note that the backend server itself refused a request."""
        if self._adaptive:
            self._limit.take_refusal(now)

    def _check_wait(self, priority: int, waiter: _Waiter, allowed_s: float) -> None:
        ahead = sum(len(queue) for queue in self._queues[:priority])
        ahead += bisect.bisect(self._queues[priority], waiter.order, key=_order_of)
        wait_s = (ahead + 1) * self._run_s / self.limit
        if wait_s > allowed_s:
            raise NotRunError(
                "no slot in time",
                ResultCode.REQUEST_NOT_RUN_DEADLINE,
                max(self._run_s, wait_s - allowed_s),
            )

    def _make_room(self, priority: int) -> None:
        bound = QUEUE_PER_SLOT * self.limit
        if self._queued < QUEUE_SHARES[priority] * bound:
            return
        if self._queued < bound:
            raise self._overloaded()
        for lower in range(PRIORITIES - 1, priority, -1):
            if self._queues[lower]:
                waiter = self._queues[lower].pop()
                self._refuse(waiter, ResultCode.REQUEST_NOT_RUN_OVERLOADED)
                return
        raise self._overloaded()

    def _refuse_overtaken(self, now: float) -> None:
        """Refuse who waits last and was overtaken until its answer would be late."""
        ahead = self._queued
        for queue in reversed(self._queues):
            while queue:
                ahead -= 1
                due = queue[-1].order[0]
                answer_at = now + (ahead + 1) * self._run_s / self.limit + self._run_s
                if not due or answer_at <= due:
                    return
                self._refuse(queue.pop(), ResultCode.REQUEST_NOT_RUN_OVERLOADED)

    def _refuse(self, waiter: _Waiter, code: ResultCode) -> None:
        self._queued -= 1
        waiter.refusal = code
        waiter.event.set()

    def _give_up(self, waiter: _Waiter, priority: int) -> None:
        if waiter.admitted:
            self.leave()
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
                self._take_slot()

    def _take_slot(self) -> None:
        self.running += 1
        self.max_running = max(self.max_running, self.running)

    def _overloaded(self) -> NotRunError:
        wait_s = self.queued * self._run_s / self.limit
        return NotRunError(
            "queue is full", ResultCode.REQUEST_NOT_RUN_OVERLOADED, wait_s
        )
