"""Admission to one backend server."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.membership.model import BackendServer
from marigoldchute.routing.admission import QUEUE_PER_SLOT, AdmissionGate


def make_gate(slots: int = 2, connections: int = 10) -> AdmissionGate:
    return AdmissionGate(BackendServer("v/1", "s", "r1", 1, slots, connections))


def run_mock(body) -> None:
    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


class SlotTest(unittest.TestCase):
    def test_slots_are_never_exceeded(self) -> None:
        run_mock(self._many)

    async def _many(self) -> None:
        gate = make_gate(slots=3)
        served = 0

        async def one() -> None:
            nonlocal served
            if not gate.try_enter():
                await gate.enter(0, 100.0)
            self.assertLessEqual(gate.running, 3)
            await trio.sleep(0.01)
            gate.leave()
            served += 1

        async with trio.open_nursery() as nursery:
            for _ in range(3 + 3 * QUEUE_PER_SLOT):
                nursery.start_soon(one)
        self.assertEqual((served, gate.running, gate.queued), (15, 0, 0))
        self.assertEqual(gate.max_running, 3)

    def test_connections_bound_the_slots(self) -> None:
        gate = make_gate(slots=5, connections=1)
        self.assertTrue(gate.try_enter())
        self.assertFalse(gate.try_enter())

    def test_a_cancelled_waiter_leaks_no_slot(self) -> None:
        run_mock(self._cancel)

    async def _cancel(self) -> None:
        gate = make_gate(slots=1)
        gate.try_enter()

        async def wait() -> None:
            await gate.enter(0, 10.0)
            gate.leave()

        for admit_first in (False, True):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await trio.testing.wait_all_tasks_blocked()
                if admit_first:
                    gate.leave()
                nursery.cancel_scope.cancel()
            self.assertEqual(gate.queued, 0)
        self.assertEqual(gate.running, 0)


class ShedTest(unittest.TestCase):
    def test_queue_is_bounded_and_the_last_class_is_shed_first(self) -> None:
        run_mock(self._fill)

    async def _fill(self) -> None:
        gate = make_gate(slots=1)
        gate.try_enter()
        refused: list[int] = []

        async def wait(priority: int) -> None:
            try:
                await gate.enter(priority, 1000.0)
            except NotRunError as exc:
                self.assertEqual(exc.code, ResultCode.REQUEST_NOT_RUN_OVERLOADED)
                refused.append(priority)

        async with trio.open_nursery() as nursery:
            for priority in (2, 2, 2, 1, 1, 0, 0):
                nursery.start_soon(wait, priority)
                await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(gate.queued, QUEUE_PER_SLOT)
            nursery.cancel_scope.cancel()
        self.assertEqual(refused, [2, 1, 2])

    def test_what_cannot_make_its_deadline_is_dropped_at_once(self) -> None:
        run_mock(self._late)

    async def _late(self) -> None:
        gate = make_gate(slots=1)
        gate.try_enter()
        for _ in range(60):
            gate.take_sample(1.0, 1, 0.0)
        with self.assertRaises(NotRunError) as caught:
            await gate.enter(0, 1.5)
        self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_DEADLINE)
        self.assertEqual(gate.queued, 0)

    def test_a_waiter_is_refused_before_its_deadline(self) -> None:
        run_mock(self._expire)

    async def _expire(self) -> None:
        gate = make_gate(slots=1)
        gate.try_enter()
        start = trio.current_time()
        with self.assertRaises(NotRunError) as caught:
            await gate.enter(0, 0.5)
        self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_DEADLINE)
        self.assertLess(trio.current_time() - start, 0.5)
        self.assertEqual((gate.running, gate.queued), (1, 0))

    def test_higher_classes_are_admitted_first(self) -> None:
        run_mock(self._order)

    async def _order(self) -> None:
        gate = make_gate(slots=1)
        gate.try_enter()
        order: list[int] = []

        async def wait(priority: int) -> None:
            await gate.enter(priority, 100.0)
            order.append(priority)
            gate.leave()

        async with trio.open_nursery() as nursery:
            for priority in (2, 1, 0):
                nursery.start_soon(wait, priority)
                await trio.testing.wait_all_tasks_blocked()
            gate.leave()
        self.assertEqual(order, [0, 1, 2])


class DrainTest(unittest.TestCase):
    def test_drain_refuses_new_and_waiting_requests(self) -> None:
        run_mock(self._drain)

    async def _drain(self) -> None:
        gate = make_gate(slots=1)
        gate.try_enter()
        codes: list[ResultCode] = []

        async def wait() -> None:
            try:
                await gate.enter(0, 100.0)
            except NotRunError as exc:
                codes.append(exc.code)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await trio.testing.wait_all_tasks_blocked()
            gate.drain()
        self.assertEqual(codes, [ResultCode.REQUEST_NOT_RUN_DRAINING])
        with self.assertRaises(NotRunError):
            gate.try_enter()
        self.assertEqual(gate.running, 1)
