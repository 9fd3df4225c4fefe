"""Error bound and power of the sequential test and of the history test."""

from __future__ import annotations

import math
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.moves.sequential import (
    HistoryTest,
    SequentialTest,
    log_factor,
    log_mean_exp,
    log_threshold,
)

rates = st.floats(0.002, 0.99)
sizes = st.integers(1, 6)


def _binomial(total: int, failures: int, rate: float) -> float:
    combinations = math.comb(total, failures)
    return combinations * rate**failures * (1.0 - rate) ** (total - failures)


class LogFactorTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(sizes, sizes, rates, rates, rates, rates, st.floats(0.0, 0.2))
    def test_expected_factor_is_at_most_one_under_every_null(
        self,
        old_size: int,
        new_size: int,
        old_rate: float,
        new_rate: float,
        true_old: float,
        fraction: float,
        tolerance: float,
    ) -> None:
        true_new = min(1.0, true_old + tolerance) * fraction
        expected = sum(
            _binomial(old_size, a, true_old)
            * _binomial(new_size, b, true_new)
            * math.exp(
                log_factor((old_size, a), (new_size, b), old_rate, new_rate, tolerance)
            )
            for a in range(old_size + 1)
            for b in range(new_size + 1)
        )
        self.assertLessEqual(expected, 1.0 + 1e-6)


class SequentialTestTest(unittest.TestCase):
    def test_single_window_is_never_enough(self) -> None:
        test = SequentialTest(0.02)
        test.observe((1000, 5), (12, 12))
        self.assertLessEqual(log_mean_exp(test.log_values), 0.0)

    def test_release_that_always_fails_is_detected_in_third_window(self) -> None:
        test = SequentialTest(0.02)
        for _ in range(3):
            test.observe((100, 1), (5, 5))
        self.assertGreater(log_mean_exp(test.log_values), log_threshold(0.001, 2))

    def test_failures_of_both_releases_are_not_detected(self) -> None:
        rng = random.Random(4)
        test = SequentialTest(0.02)
        for window in range(200):
            rate = 0.01 if window < 100 else 0.6
            old = sum(rng.random() < rate for _ in range(50))
            new = sum(rng.random() < rate for _ in range(50))
            test.observe((50, old), (50, new))
        self.assertLess(log_mean_exp(test.log_values), log_threshold(0.001, 2))


class HistoryTestTest(unittest.TestCase):
    def test_sum_rises_with_failures_and_returns_to_zero_without(self) -> None:
        test = HistoryTest(0.02)
        for _ in range(3):
            test.observe(0.01, (50, 20))
        self.assertGreater(test.log_value, 5.0)
        for _ in range(200):
            test.observe(0.01, (50, 0))
        self.assertEqual(test.log_value, 0.0)
