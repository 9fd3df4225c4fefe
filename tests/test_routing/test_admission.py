"""Tests of admission control for one backend server."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.membership.model import BackendServer
from marigoldchute.routing.admission import MAX_QUEUED_PER_SLOT, AdmissionGate


def make_gate(slots: int = 2, connections: int = 10) -> AdmissionGate:
    return AdmissionGate(BackendServer("v/1", "s", "r1", 1, slots, connections))


def run_with_mock_clock(body) -> None:
    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


class SlotLimitTest(unittest.TestCase):
    def test_running_requests_never_exceed_slots(self) -> None:
        run_with_mock_clock(self._check_slot_limit)

    async def _check_slot_limit(self) -> None:
        gate = make_gate(slots=3)
        served = 0

        async def serve_request() -> None:
            nonlocal served
            if not gate.try_acquire_slot():
                await gate.acquire_slot(0, 100.0)
            self.assertLessEqual(gate.running, 3)
            await trio.sleep(0.01)
            gate.release_slot()
            served += 1

        async with trio.open_nursery() as nursery:
            for _ in range(3 + 3 * MAX_QUEUED_PER_SLOT):
                nursery.start_soon(serve_request)
        self.assertEqual((served, gate.running, gate.queued), (15, 0, 0))
        self.assertEqual(gate.max_running, 3)

    def test_connections_limit_running_requests(self) -> None:
        gate = make_gate(slots=5, connections=1)
        self.assertTrue(gate.try_acquire_slot())
        self.assertFalse(gate.try_acquire_slot())

    def test_cancelled_waiter_leaks_no_slot(self) -> None:
        run_with_mock_clock(self._check_cancelled_waiter)

    async def _check_cancelled_waiter(self) -> None:
        gate = make_gate(slots=1)
        gate.try_acquire_slot()

        async def wait() -> None:
            await gate.acquire_slot(0, 10.0)
            gate.release_slot()

        for admit_first in (False, True):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await trio.testing.wait_all_tasks_blocked()
                if admit_first:
                    gate.release_slot()
                nursery.cancel_scope.cancel()
            self.assertEqual(gate.queued, 0)
        self.assertEqual(gate.running, 0)


class QueueTest(unittest.TestCase):
    def test_full_queue_sheds_lowest_class_first(self) -> None:
        run_with_mock_clock(self._check_full_queue)

    async def _check_full_queue(self) -> None:
        gate = make_gate(slots=1)
        gate.try_acquire_slot()
        refused: list[int] = []

        async def wait(priority: int) -> None:
            try:
                await gate.acquire_slot(priority, 1000.0)
            except NotRunError as exc:
                self.assertEqual(exc.code, ResultCode.REQUEST_NOT_RUN_OVERLOADED)
                refused.append(priority)

        async with trio.open_nursery() as nursery:
            for priority in (2, 2, 2, 1, 1, 0, 0):
                nursery.start_soon(wait, priority)
                await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(gate.queued, MAX_QUEUED_PER_SLOT)
            nursery.cancel_scope.cancel()
        self.assertEqual(refused, [2, 1, 2])

    def test_request_that_would_miss_its_deadline_is_refused_at_once(self) -> None:
        run_with_mock_clock(self._check_expected_wait)

    async def _check_expected_wait(self) -> None:
        gate = make_gate(slots=1)
        gate.try_acquire_slot()
        for _ in range(60):
            gate.record_sample(1.0, 1, 0.0)
        with self.assertRaises(NotRunError) as caught:
            await gate.acquire_slot(0, 1.5)
        self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_DEADLINE)
        self.assertEqual(gate.queued, 0)

    def test_waiter_is_refused_before_its_deadline(self) -> None:
        run_with_mock_clock(self._check_expired_waiter)

    async def _check_expired_waiter(self) -> None:
        gate = make_gate(slots=1)
        gate.try_acquire_slot()
        start = trio.current_time()
        with self.assertRaises(NotRunError) as caught:
            await gate.acquire_slot(0, 0.5)
        self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_DEADLINE)
        self.assertLess(trio.current_time() - start, 0.5)
        self.assertEqual((gate.running, gate.queued), (1, 0))

    def test_higher_priority_is_admitted_first(self) -> None:
        run_with_mock_clock(self._check_priority_order)

    async def _check_priority_order(self) -> None:
        gate = make_gate(slots=1)
        gate.try_acquire_slot()
        order: list[int] = []

        async def wait(priority: int) -> None:
            await gate.acquire_slot(priority, 100.0)
            order.append(priority)
            gate.release_slot()

        async with trio.open_nursery() as nursery:
            for priority in (2, 1, 0):
                nursery.start_soon(wait, priority)
                await trio.testing.wait_all_tasks_blocked()
            gate.release_slot()
        self.assertEqual(order, [0, 1, 2])


class DrainTest(unittest.TestCase):
    def test_drain_refuses_new_and_waiting_requests(self) -> None:
        run_with_mock_clock(self._check_drain)

    async def _check_drain(self) -> None:
        gate = make_gate(slots=1)
        gate.try_acquire_slot()
        codes: list[ResultCode] = []

        async def wait() -> None:
            try:
                await gate.acquire_slot(0, 100.0)
            except NotRunError as exc:
                codes.append(exc.code)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await trio.testing.wait_all_tasks_blocked()
            gate.drain()
        self.assertEqual(codes, [ResultCode.REQUEST_NOT_RUN_DRAINING])
        with self.assertRaises(NotRunError):
            gate.try_acquire_slot()
        self.assertEqual(gate.running, 1)
