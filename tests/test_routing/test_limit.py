"""Adaptive limit where the announced slots mislead."""

from __future__ import annotations

import unittest

from marigoldchute.routing.limit import FLOOR_SHARE, AdaptiveLimit


def feed(limit: AdaptiveLimit, run_s: float, running: int, start: float) -> float:
    """Feed one window of samples; return the time at its end."""
    for index in range(40):
        limit.take_sample(run_s, running, start + index * 0.01)
    return start + 0.4


class AdaptiveLimitTest(unittest.TestCase):
    def test_starts_at_the_announced_slots(self) -> None:
        self.assertEqual(AdaptiveLimit(12).value, 12)

    def test_slow_answers_under_load_lower_it(self) -> None:
        limit = AdaptiveLimit(12)
        now = feed(limit, 0.002, 2, 1.0)
        for _ in range(20):
            now = feed(limit, 0.010, limit.value, now)
        self.assertLess(limit.value, 6)
        self.assertGreaterEqual(limit.value, 12 * FLOOR_SHARE)

    def test_slow_answers_without_load_do_not(self) -> None:
        limit = AdaptiveLimit(12)
        now = feed(limit, 0.002, 2, 1.0)
        for _ in range(10):
            now = feed(limit, 0.010, 2, now)
        self.assertEqual(limit.value, 12)

    def test_refusals_lower_it_and_good_windows_raise_it_again(self) -> None:
        limit = AdaptiveLimit(12)
        limit.take_refusal(1.0)
        limit.take_refusal(1.1)
        self.assertEqual(limit.value, 8)
        now = 2.0
        for _ in range(10):
            now = feed(limit, 0.002, limit.value, now)
        self.assertEqual(limit.value, 12)

    def test_a_new_announcement_is_taken(self) -> None:
        limit = AdaptiveLimit(12)
        limit.set_slots(4)
        self.assertEqual(limit.value, 4)
