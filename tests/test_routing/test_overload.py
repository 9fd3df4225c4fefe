"""Loads at which a backend server cannot run all that is asked of it."""

from __future__ import annotations

import random
import unittest

import trio
import trio.testing

from marigoldchute.errors import NotRunError
from marigoldchute.membership.model import BackendServer
from marigoldchute.routing.admission import QUEUE_PER_SLOT, AdmissionGate

SLOTS = 6
RUN_S = 0.22
OBJECTIVE_S = 0.8
DEADLINE_S = 1.5


class Load:
    """Requests that arrive at random at one gate, in simulated time."""

    def __init__(self, per_s: float, seconds: float, seed: int) -> None:
        self.gate = AdmissionGate(
            BackendServer("v/1", "s", "r1", 1, SLOTS, 100), adaptive=False
        )
        self.rng = random.Random(seed)
        self.in_time = self.late = self.refused = 0
        self.slowest_refusal_s = 0.0
        self._per_s = per_s
        self._seconds = seconds

    def run(self) -> None:
        trio.run(self._run, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            while trio.current_time() < self._seconds:
                await trio.sleep(self.rng.expovariate(self._per_s))
                nursery.start_soon(self._ask, trio.current_time())

    async def _ask(self, asked_at: float) -> None:
        try:
            if not self.gate.try_enter():
                await self.gate.enter(1, DEADLINE_S, OBJECTIVE_S)
        except NotRunError:
            self.refused += 1
            waited_s = trio.current_time() - asked_at
            self.slowest_refusal_s = max(self.slowest_refusal_s, waited_s)
            return
        run_s = self.rng.lognormvariate(-0.125, 0.5) * RUN_S
        running = self.gate.running
        await trio.sleep(run_s)
        self.gate.take_sample(run_s, running, trio.current_time())
        self.gate.leave()
        if trio.current_time() - asked_at <= OBJECTIVE_S:
            self.in_time += 1
        else:
            self.late += 1


class SustainedOverloadTest(unittest.TestCase):
    """A third more is asked than can run, for as long as it takes queues to fill."""

    def test_what_is_admitted_is_answered_in_time_and_no_slot_idles(self) -> None:
        load = Load(1.33 * SLOTS / RUN_S, 60.0, 5)
        load.run()
        answered = load.in_time + load.late
        self.assertGreater(load.in_time, 0.9 * answered)
        self.assertGreater(answered, 0.95 * 60.0 * SLOTS / RUN_S)

    def test_what_is_refused_is_refused_at_once(self) -> None:
        load = Load(1.33 * SLOTS / RUN_S, 60.0, 6)
        load.run()
        self.assertGreater(load.refused, 100)
        self.assertLess(load.slowest_refusal_s, OBJECTIVE_S / 8)


class ModerateLoadTest(unittest.TestCase):
    """Four fifths of the slots are in use on average."""

    def test_nearly_nothing_is_refused(self) -> None:
        load = Load(0.8 * SLOTS / RUN_S, 60.0, 7)
        load.run()
        asked = load.in_time + load.late + load.refused
        self.assertLess(load.refused, 0.01 * asked)


class StarvedClassTest(unittest.TestCase):
    """More urgent requests come in a burst behind less urgent ones that wait."""

    def test_who_is_overtaken_is_refused_while_a_return_is_worth_it(self) -> None:
        run = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._overtake, clock=run)

    async def _overtake(self) -> None:
        gate = AdmissionGate(
            BackendServer("v/1", "s", "r1", 1, SLOTS, 100), adaptive=False
        )
        for _ in range(100):
            gate.take_sample(RUN_S, 1, 0.0)
        for _ in range(SLOTS):
            self.assertTrue(gate.try_enter())
        waited: list[float] = []

        async def wait_last() -> None:
            with self.assertRaises(NotRunError):
                await gate.enter(2, 2 * OBJECTIVE_S, OBJECTIVE_S)
            waited.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait_last)
            await trio.testing.wait_all_tasks_blocked()
            for _ in range(QUEUE_PER_SLOT * SLOTS - 1):
                nursery.start_soon(gate.enter, 0, 60.0, 60.0)
            await trio.sleep(2 * OBJECTIVE_S)
            nursery.cancel_scope.cancel()
        self.assertEqual(len(waited), 1)
        self.assertLess(waited[0], OBJECTIVE_S / 8)
