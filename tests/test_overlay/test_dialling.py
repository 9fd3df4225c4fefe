"""Rate limit and back-off of attempts to open links."""

from __future__ import annotations

import random
import unittest

from marigoldchute.overlay.dialling import (
    DIAL_BURST,
    DIALS_PER_S,
    MAX_RECONNECT_DELAY_S,
    DialSchedule,
)


class DialScheduleTest(unittest.TestCase):
    def test_rate_of_attempts_is_limited(self) -> None:
        schedule = DialSchedule(random.Random(1))
        admitted = sum(
            schedule.admit(f"peer-{i}", 100.0 + second)
            for second in range(10)
            for i in range(870)
        )
        self.assertLessEqual(admitted, DIAL_BURST + 9 * DIALS_PER_S)

    def test_waits_after_failures_are_spread_up_to_the_maximum(self) -> None:
        waits = []
        for seed in range(200):
            schedule = DialSchedule(random.Random(seed))
            for _ in range(8):
                schedule.record_failure("peer", 100.0)
            wait = next(
                tenth / 10
                for tenth in range(100)
                if schedule.admit("peer", 100.0 + tenth / 10)
            )
            waits.append(wait)
        self.assertLessEqual(max(waits), MAX_RECONNECT_DELAY_S + 0.1)
        self.assertGreater(max(waits), 0.8 * MAX_RECONNECT_DELAY_S)
        self.assertLess(min(waits), 0.2 * MAX_RECONNECT_DELAY_S)

    def test_success_clears_the_back_off(self) -> None:
        schedule = DialSchedule(random.Random(1))
        for _ in range(8):
            schedule.record_failure("peer", 100.0)
        schedule.record_success("peer")
        self.assertTrue(schedule.admit("peer", 100.0))
