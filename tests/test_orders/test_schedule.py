"""Schedule of an order: when shares rise and how many requests the target gets."""

from __future__ import annotations

import unittest

from marigoldchute.orders.exposure import OrderTraffic
from marigoldchute.orders.model import OrderStage, OrderState
from marigoldchute.orders.schedule import (
    FULL_SHARE_DEADLINE_FRACTION,
    SCHEDULE,
    Progress,
    advance,
    expiry_reason,
    is_too_late,
    next_state,
    planned_share,
)


def make_state(
    share: float = 0.0, stage: OrderStage = OrderStage.WAITING
) -> OrderState:
    return OrderState("turnos", "v2", 7, 0, share, stage, 16.0, ())


def make_progress(
    elapsed_s: float,
    held_s: float,
    fault_evidence: float = 0.0,
    exposed: int = 80,
    rate: int = 100,
) -> Progress:
    """Return the progress of an order with some requests a second."""
    traffic = OrderTraffic(int(rate * (elapsed_s - 0.2)), exposed, 0.2)
    return Progress(elapsed_s, held_s, True, 500, fault_evidence, traffic)


class PauseTest(unittest.TestCase):
    """Evidence short of a proof at a larger share."""

    full = OrderState("turnos", "v2", 7, 4, 1.0, OrderStage.RUNNING, 16.0, (), 4)

    def pause(self) -> OrderState:
        paused = next_state(self.full, make_progress(10.0, 0.5, 0.5))
        assert paused is not None
        return paused

    def test_share_falls_to_the_first_one_before_the_fault_is_proved(self) -> None:
        # Guards against a full share that is held while evidence is collected.
        paused = self.pause()
        self.assertTrue(paused.paused)
        self.assertLessEqual(paused.share, SCHEDULE[0].share)

    def test_share_returns_when_the_evidence_is_refuted(self) -> None:
        paused = self.pause()
        self.assertIsNone(next_state(paused, make_progress(10.5, 0.5)))
        resumed = next_state(paused, make_progress(11.0, 1.0))
        assert resumed is not None
        self.assertEqual((resumed.share, resumed.paused), (1.0, False))

    def test_share_does_not_return_beyond_the_exposure_limit(self) -> None:
        # Guards against a fault at the full share that costs its exposure twice.
        exposed = 150
        progress = make_progress(11.0, 1.0, exposed=exposed)
        self.assertIsNone(next_state(self.pause(), progress))

    def test_pause_ends_with_a_fault_while_the_rule_for_bad_responses_holds(
        self,
    ) -> None:
        # Guards against a release that gets requests 5 s after it was found bad.
        paused = self.pause()
        self.assertEqual(expiry_reason(paused, make_progress(13.0, 3.0)), "")
        self.assertIn("refuted", expiry_reason(paused, make_progress(13.3, 3.3)))


class PlannedShareTest(unittest.TestCase):
    """Share of a level while it is held."""

    def test_share_is_not_reduced_for_time_that_has_passed(self) -> None:
        # Guards against a share that falls until its level ends, for want of evidence.
        duration_s, rate, level = 16.0, 300, 3
        start_s = 0.58 * duration_s
        at_start = make_progress(start_s, 0.0, rate=rate, exposed=90)
        share = planned_share(level, duration_s, at_start)
        held_s = 0.6
        exposed = 90 + int(held_s * rate * share)
        later = make_progress(start_s + held_s, held_s, rate=rate, exposed=exposed)
        planned = planned_share(level, duration_s, later, later.held_s)
        self.assertGreaterEqual(planned, 0.9 * share)


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
                    self.assertLess(done_at, FULL_SHARE_DEADLINE_FRACTION * duration_s)

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
