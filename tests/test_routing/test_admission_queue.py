"""Tests of the decision which requests wait for a backend server."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.membership.model import BackendServer
from marigoldchute.routing.admission import AdmissionGate
from marigoldchute.routing.admission_queue import (
    MAX_QUEUED_PER_SLOT,
    AdmissionCounts,
    AdmissionQueue,
    Capacity,
    Demand,
    Waiter,
)

CAPACITY = Capacity(2, 0.2)


def make_waiter(
    run_s: float = 0.1,
    objective_s: float = 10.0,
    priority: int = 1,
    deadline_s: float = 20.0,
    is_nested: bool = False,
) -> Waiter:
    due_at = deadline_s if is_nested else objective_s
    priority = 0 if is_nested else priority
    return Waiter(Demand(priority, run_s, due_at, deadline_s, "r", is_nested))


class OrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue: AdmissionQueue[Waiter] = AdmissionQueue()

    def pop_all(self) -> list[Waiter]:
        waiters = []
        while (waiter := self.queue.pop()) is not None:
            waiters.append(waiter)
        return waiters

    def test_request_that_must_start_first_is_first(self) -> None:
        short = make_waiter(run_s=0.1, objective_s=5.0)
        long = make_waiter(run_s=1.0, objective_s=5.5)
        urgent = make_waiter(priority=0)
        nested = make_waiter(is_nested=True, deadline_s=2.0)
        for waiter in (short, long, urgent, nested):
            self.assertEqual(self.queue.offer(waiter, CAPACITY, 0.0), [])
        self.assertEqual(self.pop_all(), [nested, urgent, long, short])

    def test_requests_without_objective_keep_their_order(self) -> None:
        waiters = [make_waiter(run_s=run_s, objective_s=0.0) for run_s in (3, 1, 2)]
        for waiter in waiters:
            self.queue.offer(waiter, CAPACITY, 0.0)
        self.assertEqual(self.pop_all(), waiters)


class LateRequestTest(unittest.TestCase):
    """A request whose objective has passed must not delay one that can be in time."""

    def setUp(self) -> None:
        self.queue: AdmissionQueue[Waiter] = AdmissionQueue()
        self.late = make_waiter(priority=0, objective_s=4.9)

    def test_late_request_waits_behind_all_others(self) -> None:
        self.queue.offer(self.late, CAPACITY, 5.0)
        other = make_waiter(priority=2)
        self.queue.offer(other, CAPACITY, 5.0)
        self.assertIs(self.queue.pop(), other)
        self.assertIs(self.queue.pop(), self.late)

    def test_late_request_is_displaced_first(self) -> None:
        self.queue.offer(self.late, CAPACITY, 5.0)
        max_low = MAX_QUEUED_PER_SLOT * CAPACITY.limit // 2
        displaced = []
        for _ in range(max_low):
            displaced += self.queue.offer(make_waiter(priority=2), CAPACITY, 5.0)
        self.assertEqual(displaced, [self.late])
        self.assertEqual(len(self.queue), max_low)

    def test_late_request_that_would_miss_its_deadline_is_refused(self) -> None:
        late = make_waiter(run_s=1.0, objective_s=4.9, deadline_s=5.5)
        with self.assertRaises(NotRunError) as caught:
            self.queue.offer(late, CAPACITY, 5.0)
        self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_DEADLINE)

    def test_cancelled_late_request_leaves_the_queue(self) -> None:
        self.queue.offer(self.late, CAPACITY, 5.0)
        self.queue.remove(self.late)
        self.assertEqual((len(self.queue), self.queue.pop()), (0, None))

    def test_request_that_is_late_at_this_server_only_is_refused(self) -> None:
        """A faster server may still serve it in time."""
        waiter = make_waiter(run_s=0.8, objective_s=5.6)
        with self.assertRaises(NotRunError):
            self.queue.offer(waiter, CAPACITY, 5.0)


class DisplacementTest(unittest.TestCase):
    """Short requests must not be refused behind a queue of long ones."""

    def setUp(self) -> None:
        self.queue: AdmissionQueue[Waiter] = AdmissionQueue()

    def test_short_request_displaces_a_long_one_to_be_in_time(self) -> None:
        long = make_waiter(run_s=1.0, objective_s=1.75)
        self.queue.offer(long, CAPACITY, 0.0)
        medium = make_waiter(run_s=0.6, objective_s=1.46)
        with self.assertRaises(NotRunError):
            self.queue.offer(medium, CAPACITY, 0.5)
        short = make_waiter(run_s=0.1, objective_s=0.9)
        self.assertEqual(self.queue.offer(short, CAPACITY, 0.5), [long])
        self.assertEqual(list(self.queue), [short])

    def test_waiting_request_that_a_short_one_delays_too_much_is_displaced(
        self,
    ) -> None:
        long = make_waiter(run_s=1.0, objective_s=2.0)
        self.queue.offer(long, CAPACITY, 0.0)
        displaced = []
        for _ in range(18):
            short = make_waiter(run_s=0.1, objective_s=1.05)
            displaced += self.queue.offer(short, CAPACITY, 0.0)
            if displaced:
                break
        self.assertEqual(displaced, [long])

    def test_full_queue_displaces_the_longest_of_the_class(self) -> None:
        longs = [make_waiter(run_s=1.0, objective_s=60.0) for _ in range(6)]
        for waiter in longs:
            self.queue.offer(waiter, CAPACITY, 0.0)
        with self.assertRaises(NotRunError):
            self.queue.offer(make_waiter(run_s=0.9, objective_s=60.0), CAPACITY, 0.0)
        short = make_waiter(run_s=0.1, objective_s=60.0)
        displaced = self.queue.offer(short, CAPACITY, 0.0)
        self.assertEqual(len(displaced), 1)
        self.assertIn(displaced[0], longs)

    def test_nested_call_is_never_displaced(self) -> None:
        for _ in range(MAX_QUEUED_PER_SLOT * CAPACITY.limit):
            nested = make_waiter(run_s=1.0, is_nested=True, deadline_s=60.0)
            self.queue.offer(nested, CAPACITY, 0.0)
        with self.assertRaises(NotRunError):
            self.queue.offer(
                make_waiter(0.01, objective_s=60.0, priority=0), CAPACITY, 0.0
            )


class CountsTest(unittest.TestCase):
    def test_each_decision_is_counted(self) -> None:
        counts = AdmissionCounts()
        queue: AdmissionQueue[Waiter] = AdmissionQueue(counts)
        queue.offer(make_waiter(objective_s=4.9), CAPACITY, 5.0)
        for _ in range(4):
            queue.offer(make_waiter(priority=2), CAPACITY, 5.0)
        for refused in (make_waiter(priority=2), make_waiter(1.0, 5.5)):
            with self.assertRaises(NotRunError):
                queue.offer(refused, CAPACITY, 5.0)
        self.assertEqual(counts, AdmissionCounts(1, 1, 1, 1))


class GateTest(unittest.TestCase):
    """Guards against a deployment without customers that is served by a new rule."""

    def displaces(self, weighs_work: bool) -> bool:
        """Return whether a short request displaces a long one that waits."""
        refused: list[str] = []
        gate = AdmissionGate(BackendServer("v/1", "s", "r1", 1, 1, 10), adaptive=False)
        gate.weighs_work = weighs_work

        async def wait(route: str, objective_s: float) -> None:
            try:
                await gate.acquire_slot(1, 20.0, objective_s, route)
            except NotRunError:
                refused.append(route)

        async def main() -> None:
            for route, run_s in (("long", 1.0), ("short", 0.1)):
                gate.record_sample(run_s, 1, 0.0, route)
            self.assertTrue(gate.try_acquire_slot())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait, "long", 2.0)
                await trio.sleep(0.01)
                nursery.start_soon(wait, "short", 1.2)
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return "long" in refused

    def test_work_decides_only_where_it_is_asked_for(self) -> None:
        self.assertFalse(self.displaces(False))
        self.assertTrue(self.displaces(True))
