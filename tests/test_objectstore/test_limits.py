"""Call budget, back-off and circuit breaker."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.errors import PlatformError, ResultCode
from marigoldchute.objectstore.backoff import Backoff
from marigoldchute.objectstore.budget import CallBudget
from marigoldchute.objectstore.circuit import (
    FAILURE_THRESHOLD,
    MAX_OPEN_S,
    CircuitBreaker,
)


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

    def test_refused_call_reserves_nothing(self) -> None:
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

    def test_delays_of_clients_are_spread(self) -> None:
        delays = [Backoff(1.0, 1.0, random.Random(s)).next_delay_s() for s in range(50)]
        self.assertLess(min(delays), 0.2)
        self.assertGreater(max(delays), 0.8)


class CircuitBreakerTest(unittest.TestCase):
    def open_circuit(self) -> CircuitBreaker:
        circuit = CircuitBreaker(random.Random(1))
        for _ in range(FAILURE_THRESHOLD):
            circuit.admit(0.0)
            circuit.record_failure(0.0)
        return circuit

    def test_opens_only_after_consecutive_failures(self) -> None:
        circuit = CircuitBreaker(random.Random(1))
        for _ in range(10):
            for _ in range(FAILURE_THRESHOLD - 1):
                circuit.admit(0.0)
                circuit.record_failure(0.0)
            circuit.record_success()
        self.assertFalse(circuit.is_open)

    def test_refuses_with_its_code_while_open(self) -> None:
        circuit = self.open_circuit()
        with self.assertRaises(PlatformError) as caught:
            circuit.admit(0.1)
        self.assertEqual(caught.exception.code, ResultCode.STORE_CIRCUIT_OPEN)

    def test_successful_trial_call_closes_the_circuit(self) -> None:
        circuit = self.open_circuit()
        circuit.admit(1.0)
        with self.assertRaises(PlatformError):
            circuit.admit(1.0)
        circuit.record_success()
        circuit.admit(1.0)

    def test_cancelled_trial_call_admits_the_next_one(self) -> None:
        circuit = self.open_circuit()
        circuit.admit(1.0)
        circuit.record_cancelled()
        circuit.admit(1.0)

    def test_open_time_is_bounded_after_many_failures(self) -> None:
        circuit = self.open_circuit()
        now = 0.0
        for _ in range(50):
            now += MAX_OPEN_S
            circuit.admit(now)
            circuit.record_failure(now)
        circuit.admit(now + MAX_OPEN_S)
