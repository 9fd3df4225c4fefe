"""When shares rise, and what a bad release gets before it is found."""

from __future__ import annotations

import unittest

from marigoldchute.orders.model import OrderStage, OrderState
from marigoldchute.orders.schedule import (
    LAST_CALL,
    Progress,
    advance,
    is_too_late,
    next_state,
)


def make_state(
    share: float = 0.0, stage: OrderStage = OrderStage.WAITING
) -> OrderState:
    return OrderState("turnos", "v2", 7, 0, share, stage, 16.0, ())


class ScheduleTest(unittest.TestCase):
    def walk(self, duration_s: float, per_s: float) -> tuple[float, float, float]:
        """Return when it was done, and the target's part before and at full share."""
        state = OrderState("s", "v2", 7, 0, 0.0, OrderStage.WAITING, duration_s, ())
        now = held_since = 0.5
        answers = before_full = 0.0
        while state.is_open:
            now += 0.1
            answers += 0.1 * per_s * state.share
            if state.share < 1.0:
                before_full += 0.1 * per_s * state.share
            progress = Progress(now, now - held_since, True, int(answers))
            following = next_state(state, progress)
            if following is not None:
                state, held_since = following, now
            self.assertLess(now, duration_s)
        return now, before_full, answers

    def test_a_good_order_is_done_in_time_at_every_rate(self) -> None:
        for duration_s in (5.0, 8.0, 12.0, 16.0, 60.0):
            for per_s in (0.5, 10, 80, 400):
                with self.subTest(duration_s=duration_s, per_s=per_s):
                    done_at, _, _ = self.walk(duration_s, per_s)
                    self.assertLess(done_at, LAST_CALL * duration_s)

    def test_the_target_gets_less_than_a_tenth_before_the_full_share(self) -> None:
        for duration_s, per_s in ((12.0, 80), (16.0, 160), (15.0, 400)):
            _, before_full, _ = self.walk(duration_s, per_s)
            self.assertLess(before_full, 0.1 * duration_s * per_s)

    def test_nothing_moves_without_servers_of_the_target(self) -> None:
        self.assertIsNone(next_state(make_state(), Progress(5.0, 5.0, False, 0)))
        state = make_state(0.15, OrderStage.RUNNING)
        self.assertIsNone(next_state(state, Progress(15.0, 5.0, False, 500)))

    def test_an_order_that_cannot_be_done_in_time_is_taken_back(self) -> None:
        running = make_state(0.35, OrderStage.RUNNING)
        self.assertFalse(is_too_late(running, 15.0))
        self.assertTrue(is_too_late(running, 15.3))
        self.assertTrue(is_too_late(make_state(), 15.3))
        self.assertFalse(is_too_late(make_state(1.0, OrderStage.RUNNING), 15.3))

    def test_no_share_ranks_above_a_verdict(self) -> None:
        running = make_state(0.35, OrderStage.RUNNING)
        verdict = advance(running, 0.0, OrderStage.TAKEN_BACK)
        self.assertGreater(verdict.step, advance(running, 1.0, OrderStage.RUNNING).step)

    def test_a_verdict_is_final(self) -> None:
        for stage in (OrderStage.DONE, OrderStage.TAKEN_BACK):
            state = make_state(1.0, stage)
            self.assertIsNone(next_state(state, Progress(15.0, 5.0, True, 500)))
