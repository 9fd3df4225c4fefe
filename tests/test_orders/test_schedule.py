"""Schedule of an order: when shares rise and how many requests the target gets."""

from __future__ import annotations

import unittest

from marigoldchute.orders.model import OrderStage, OrderState
from marigoldchute.orders.schedule import (
    FULL_SHARE_DEADLINE,
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
    def run_schedule(
        self, duration_s: float, requests_per_s: float
    ) -> tuple[float, float, float]:
        """Return end time, and requests of the target before full share and in all."""
        state = OrderState("s", "v2", 7, 0, 0.0, OrderStage.WAITING, duration_s, ())
        now = raised_at = 0.5
        responses = before_full = 0.0
        while state.is_open:
            now += 0.1
            responses += 0.1 * requests_per_s * state.share
            if state.share < 1.0:
                before_full += 0.1 * requests_per_s * state.share
            progress = Progress(now, now - raised_at, True, int(responses))
            new_state = next_state(state, progress)
            if new_state is not None:
                state, raised_at = new_state, now
            self.assertLess(now, duration_s)
        return now, before_full, responses

    def test_good_order_is_done_before_the_deadline_at_every_rate(self) -> None:
        for duration_s in (5.0, 8.0, 12.0, 16.0, 60.0):
            for requests_per_s in (0.5, 10, 80, 400):
                with self.subTest(duration_s=duration_s, requests_per_s=requests_per_s):
                    done_at, _, _ = self.run_schedule(duration_s, requests_per_s)
                    self.assertLess(done_at, FULL_SHARE_DEADLINE * duration_s)

    def test_target_gets_less_than_a_tenth_before_the_full_share(self) -> None:
        for duration_s, requests_per_s in ((12.0, 80), (16.0, 160), (15.0, 400)):
            _, before_full, _ = self.run_schedule(duration_s, requests_per_s)
            self.assertLess(before_full, 0.1 * duration_s * requests_per_s)

    def test_share_does_not_rise_without_servers_of_the_target(self) -> None:
        self.assertIsNone(next_state(make_state(), Progress(5.0, 5.0, False, 0)))
        state = make_state(0.15, OrderStage.RUNNING)
        self.assertIsNone(next_state(state, Progress(15.0, 5.0, False, 500)))

    def test_order_without_full_share_at_its_deadline_is_too_late(self) -> None:
        running = make_state(0.35, OrderStage.RUNNING)
        self.assertFalse(is_too_late(running, 15.0))
        self.assertTrue(is_too_late(running, 15.3))
        self.assertTrue(is_too_late(make_state(), 15.3))
        self.assertFalse(is_too_late(make_state(1.0, OrderStage.RUNNING), 15.3))

    def test_verdict_outranks_a_concurrent_raise(self) -> None:
        running = make_state(0.35, OrderStage.RUNNING)
        verdict = advance(running, 0.0, OrderStage.TAKEN_BACK)
        self.assertGreater(verdict.step, advance(running, 1.0, OrderStage.RUNNING).step)

    def test_decided_order_has_no_next_state(self) -> None:
        for stage in (OrderStage.DONE, OrderStage.TAKEN_BACK):
            state = make_state(1.0, stage)
            self.assertIsNone(next_state(state, Progress(15.0, 5.0, True, 500)))
