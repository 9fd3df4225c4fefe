"""Tests of the adaptive concurrency limit."""

from __future__ import annotations

import unittest

from marigoldchute.routing.limit import MIN_LIMIT_RATIO, AdaptiveLimit


def record_window(
    limit: AdaptiveLimit, run_s: float, running: int, start: float
) -> float:
    """Record one window of samples; return the time at its end."""
    for index in range(40):
        limit.record_sample(run_s, running, start + index * 0.01)
    return start + 0.4


class AdaptiveLimitTest(unittest.TestCase):
    def test_starts_at_the_announced_slots(self) -> None:
        self.assertEqual(AdaptiveLimit(12).value, 12)

    def test_slow_responses_under_load_lower_limit(self) -> None:
        limit = AdaptiveLimit(12)
        now = record_window(limit, 0.002, 2, 1.0)
        for _ in range(20):
            now = record_window(limit, 0.010, limit.value, now)
        self.assertLess(limit.value, 6)
        self.assertGreaterEqual(limit.value, 12 * MIN_LIMIT_RATIO)

    def test_slow_responses_without_load_keep_limit(self) -> None:
        limit = AdaptiveLimit(12)
        now = record_window(limit, 0.002, 2, 1.0)
        for _ in range(10):
            now = record_window(limit, 0.010, 2, now)
        self.assertEqual(limit.value, 12)

    def test_refusals_lower_limit_and_fast_windows_raise_it(self) -> None:
        limit = AdaptiveLimit(12)
        limit.record_refusal(1.0)
        limit.record_refusal(1.1)
        self.assertEqual(limit.value, 8)
        now = 2.0
        for _ in range(10):
            now = record_window(limit, 0.002, limit.value, now)
        self.assertEqual(limit.value, 12)

    def test_new_announced_slots_become_the_limit(self) -> None:
        limit = AdaptiveLimit(12)
        limit.set_slots(4)
        self.assertEqual(limit.value, 4)
