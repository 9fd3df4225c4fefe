"""Tests of admission when requests exceed a backend server's capacity."""

from __future__ import annotations

import random
import unittest

import trio
import trio.testing

from marigoldchute.errors import NotRunError
from marigoldchute.membership.model import BackendServer
from marigoldchute.routing.admission import (
    MAX_QUEUED_PER_SLOT,
    MAX_TIMED_ROUTES,
    AdmissionGate,
    RunTimes,
)

SLOTS = 6
RUN_S = 0.22
OBJECTIVE_S = 0.8
DEADLINE_S = 1.5


class LoadGenerator:
    """Generates requests with random arrival times at one gate, in simulated time."""

    def __init__(self, requests_per_s: float, duration_s: float, seed: int) -> None:
        self.gate = AdmissionGate(
            BackendServer("v/1", "s", "r1", 1, SLOTS, 100), adaptive=False
        )
        self.rng = random.Random(seed)
        self.in_time = self.late = self.refused = 0
        self.slowest_refusal_s = 0.0
        self._requests_per_s = requests_per_s
        self._duration_s = duration_s

    def run(self) -> None:
        trio.run(self._generate, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _generate(self) -> None:
        async with trio.open_nursery() as nursery:
            while trio.current_time() < self._duration_s:
                await trio.sleep(self.rng.expovariate(self._requests_per_s))
                nursery.start_soon(self._send_request, trio.current_time())

    async def _send_request(self, sent_at: float) -> None:
        try:
            if not self.gate.try_acquire_slot():
                await self.gate.acquire_slot(1, DEADLINE_S, OBJECTIVE_S)
        except NotRunError:
            self.refused += 1
            waited_s = trio.current_time() - sent_at
            self.slowest_refusal_s = max(self.slowest_refusal_s, waited_s)
            return
        run_s = self.rng.lognormvariate(-0.125, 0.5) * RUN_S
        running = self.gate.running
        await trio.sleep(run_s)
        self.gate.record_sample(run_s, running, trio.current_time())
        self.gate.release_slot()
        if trio.current_time() - sent_at <= OBJECTIVE_S:
            self.in_time += 1
        else:
            self.late += 1


class SustainedOverloadTest(unittest.TestCase):
    """Load exceeds capacity by a third for long enough to fill the queues."""

    def test_admitted_requests_meet_objective_and_slots_stay_busy(self) -> None:
        load = LoadGenerator(1.33 * SLOTS / RUN_S, 60.0, 5)
        load.run()
        completed = load.in_time + load.late
        self.assertGreater(load.in_time, 0.9 * completed)
        self.assertGreater(completed, 0.95 * 60.0 * SLOTS / RUN_S)

    def test_refused_requests_are_refused_at_once(self) -> None:
        load = LoadGenerator(1.33 * SLOTS / RUN_S, 60.0, 6)
        load.run()
        self.assertGreater(load.refused, 100)
        self.assertLess(load.slowest_refusal_s, OBJECTIVE_S / 8)


class ModerateLoadTest(unittest.TestCase):
    """Four fifths of the slots are in use on average."""

    def test_almost_no_request_is_refused(self) -> None:
        load = LoadGenerator(0.8 * SLOTS / RUN_S, 60.0, 7)
        load.run()
        sent = load.in_time + load.late + load.refused
        self.assertLess(load.refused, 0.01 * sent)


class OvertakenRequestTest(unittest.TestCase):
    """A burst of higher priority arrives while lower-priority requests wait."""

    def test_overtaken_request_is_refused_early_enough_to_retry(self) -> None:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._check_overtaken_request, clock=clock)

    async def _check_overtaken_request(self) -> None:
        gate = AdmissionGate(
            BackendServer("v/1", "s", "r1", 1, SLOTS, 100), adaptive=False
        )
        for _ in range(100):
            gate.record_sample(RUN_S, 1, 0.0)
        for _ in range(SLOTS):
            self.assertTrue(gate.try_acquire_slot())
        refused_after_s: list[float] = []

        async def wait_in_lowest_class() -> None:
            with self.assertRaises(NotRunError):
                await gate.acquire_slot(2, 2 * OBJECTIVE_S, OBJECTIVE_S)
            refused_after_s.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait_in_lowest_class)
            await trio.testing.wait_all_tasks_blocked()
            for _ in range(MAX_QUEUED_PER_SLOT * SLOTS - 1):
                nursery.start_soon(gate.acquire_slot, 0, 60.0, 60.0)
            await trio.sleep(2 * OBJECTIVE_S)
            nursery.cancel_scope.cancel()
        self.assertEqual(len(refused_after_s), 1)
        self.assertLess(refused_after_s[0], OBJECTIVE_S / 8)


class NestedCallTest(unittest.TestCase):
    """Bookings of 290 ms fill the slots that short calls of other services need.

    A call that is refused fails the request that made it, whose work is lost.
    """

    call_s, booking_s = 0.055, 0.29
    call_deadline_s, call_objective_s = 0.6, 0.2

    def setUp(self) -> None:
        server = BackendServer("v/1", "s", "r1", 1, SLOTS, 100)
        self.gate = AdmissionGate(server, adaptive=False)
        self.rng = random.Random(11)
        self.calls = {True: 0, False: 0}
        self.bookings = {True: 0, False: 0}

    def run_load(self, load_ratio: float, duration_s: float) -> None:
        """Generate a call for each booking, at a ratio of the capacity."""
        per_s = load_ratio * SLOTS / (self.call_s + self.booking_s)

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                while trio.current_time() < duration_s:
                    await trio.sleep(self.rng.expovariate(per_s))
                    nursery.start_soon(self.send_call)
                    nursery.start_soon(self.send_booking)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def send_call(self) -> None:
        with trio.move_on_after(self.call_deadline_s):
            served = await self.send(
                "check", self.call_s, self.call_deadline_s, self.call_objective_s, True
            )
            self.calls[served] += 1
            return
        self.calls[False] += 1

    async def send_booking(self) -> None:
        served = await self.send("book", self.booking_s, 1.5, 1.0, False)
        self.bookings[served] += 1

    async def send(
        self,
        route: str,
        run_s: float,
        deadline_s: float,
        objective_s: float,
        is_nested: bool,
    ) -> bool:
        gate = self.gate
        try:
            if not gate.try_acquire_slot():
                await gate.acquire_slot(1, deadline_s, objective_s, route, is_nested)
        except NotRunError:
            return False
        run_s *= self.rng.lognormvariate(-0.125, 0.5)
        running = gate.running
        try:
            await trio.sleep(run_s)
            gate.record_sample(run_s, running, trio.current_time(), route)
        finally:
            gate.release_slot()
        return True

    def test_calls_are_served_while_bookings_fill_the_slots(self) -> None:
        for load_ratio in (0.9, 1.1, 1.5):
            with self.subTest(load_ratio):
                self.setUp()
                self.run_load(load_ratio, 60.0)
                self.assertLess(self.calls[False], 0.01 * sum(self.calls.values()))

    def test_slots_stay_busy(self) -> None:
        self.run_load(1.3, 60.0)
        work_s = self.calls[True] * self.call_s + self.bookings[True] * self.booking_s
        self.assertGreater(work_s, 0.93 * 60.0 * SLOTS)


class RunTimesTest(unittest.TestCase):
    def test_run_times_are_kept_for_a_bounded_number_of_routes(self) -> None:
        run_times = RunTimes()
        for index in range(3 * MAX_TIMED_ROUTES):
            run_times.record(f"r-{index}", 0.1)
        self.assertEqual(len(run_times._by_route), MAX_TIMED_ROUTES)
        self.assertEqual(run_times.expected_s("r-0"), 0.1)
        self.assertEqual(run_times.expected_s("unknown"), run_times.mean_s)
