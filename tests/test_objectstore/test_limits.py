"""Call budget, back-off and circuit."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.errors import PlatformError, ResultCode
from marigoldchute.objectstore.backoff import Backoff
from marigoldchute.objectstore.budget import CallBudget
from marigoldchute.objectstore.circuit import FAILURES_TO_OPEN, OPEN_MAX_S, Circuit


class CallBudgetTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(
        st.floats(0.5, 50.0),
        st.integers(1, 50),
        st.lists(st.floats(0.0, 2.0), max_size=100),
    )
    def test_calls_never_exceed_rate_and_burst(
        self, rate: float, burst: int, gaps: list[float]
    ) -> None:
        budget = CallBudget(rate, burst, 0.0)
        now = 0.0
        starts: list[float] = []
        for gap in gaps:
            now += gap
            wait_s = budget.reserve(now, 1.0)
            if wait_s is not None:
                self.assertLessEqual(wait_s, 1.0)
                starts.append(now + wait_s)
        for first, start in enumerate(starts):
            for last in range(first, len(starts)):
                allowed = burst + rate * (starts[last] - start) + 1e-6
                self.assertLessEqual(last - first + 1, allowed)

    def test_refusal_reserves_nothing(self) -> None:
        budget = CallBudget(1.0, 1.0, 0.0)
        self.assertEqual(budget.reserve(0.0, 0.0), 0.0)
        for _ in range(10):
            self.assertIsNone(budget.reserve(0.0, 0.5))
        self.assertEqual(budget.reserve(1.0, 0.0), 0.0)


class BackoffTest(unittest.TestCase):
    def test_delays_stay_below_a_doubling_bound(self) -> None:
        backoff = Backoff(0.1, 1.0, random.Random(1))
        bounds = [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]
        for bound in bounds:
            self.assertLessEqual(backoff.next_delay_s(), bound)
        backoff.reset()
        self.assertLessEqual(backoff.next_delay_s(), 0.1)

    def test_clients_do_not_return_together(self) -> None:
        delays = [Backoff(1.0, 1.0, random.Random(s)).next_delay_s() for s in range(50)]
        self.assertLess(min(delays), 0.2)
        self.assertGreater(max(delays), 0.8)


class CircuitTest(unittest.TestCase):
    def opened(self) -> Circuit:
        circuit = Circuit(random.Random(1))
        for _ in range(FAILURES_TO_OPEN):
            circuit.enter(0.0)
            circuit.fail(0.0)
        return circuit

    def test_opens_after_failures_in_a_row_only(self) -> None:
        circuit = Circuit(random.Random(1))
        for _ in range(10):
            for _ in range(FAILURES_TO_OPEN - 1):
                circuit.enter(0.0)
                circuit.fail(0.0)
            circuit.succeed()
        self.assertFalse(circuit.is_open)

    def test_refuses_with_its_code_while_open(self) -> None:
        circuit = self.opened()
        with self.assertRaises(PlatformError) as caught:
            circuit.enter(0.1)
        self.assertEqual(caught.exception.code, ResultCode.STORE_CIRCUIT_OPEN)

    def test_one_trial_call_passes_and_closes_it(self) -> None:
        circuit = self.opened()
        circuit.enter(1.0)
        with self.assertRaises(PlatformError):
            circuit.enter(1.0)
        circuit.succeed()
        circuit.enter(1.0)

    def test_abandoned_trial_call_lets_the_next_one_pass(self) -> None:
        circuit = self.opened()
        circuit.enter(1.0)
        circuit.abandon()
        circuit.enter(1.0)

    def test_is_tried_again_within_a_bounded_time_however_long_it_failed(self) -> None:
        circuit = self.opened()
        now = 0.0
        for _ in range(50):
            now += OPEN_MAX_S
            circuit.enter(now)
            circuit.fail(now)
        circuit.enter(now + OPEN_MAX_S)
