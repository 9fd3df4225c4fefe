"""Share, confirmation and fallback of one member."""

from __future__ import annotations

import unittest

from marigoldchute.bundle.model import Move, Step
from marigoldchute.moves.capacity import Capacity
from marigoldchute.moves.model import Guidance, Stage
from marigoldchute.moves.schedule import MIN_ANSWERS, Progress, due_step
from marigoldchute.moves.state import MoveState, Surroundings

ERROR_MS = 100
MOVE = Move(
    "m",
    "turnos",
    "r1",
    "r2",
    0,
    10_000,
    (Step(0.1, 1000), Step(0.5, 1000), Step(1.0, 0)),
    500,
)
ENOUGH = 10**6


def advance(state: MoveState, until_ms: int, around: Surroundings) -> list[float]:
    shares = []
    for now_ms in range(0, until_ms, 50):
        state.advance(now_ms, ERROR_MS, around)
        shares.append(state.share)
    return shares


class DueStepTest(unittest.TestCase):
    def test_step_waits_for_answers_up_to_half_the_slack(self) -> None:
        few = Progress(0, 0, MIN_ANSWERS - 1)
        self.assertEqual(due_step(MOVE, few, 2000, ERROR_MS), 0)
        self.assertEqual(due_step(MOVE, few, 6000, ERROR_MS), 1)

    def test_wary_step_waits_to_the_last_moment(self) -> None:
        wary = Progress(0, 0, ENOUGH, wary=True)
        self.assertEqual(due_step(MOVE, wary, 6000, ERROR_MS), 0)
        self.assertEqual(due_step(MOVE, wary, 8300, ERROR_MS), 1)


class MoveStateTest(unittest.TestCase):
    def test_low_traffic_goes_by_schedule_and_is_in_time(self) -> None:
        state = MoveState(MOVE)
        shares = advance(state, 10_000, Surroundings())
        self.assertTrue(state.confirmed)
        self.assertEqual(shares, sorted(shares))

    def test_member_that_did_not_confirm_falls_back_after_the_deadline(self) -> None:
        state = MoveState(MOVE)
        halted = Surroundings(Capacity(12, 12, 24.0))
        advance(state, 10_200, halted)
        self.assertEqual((state.share, state.stage), (0.0, Stage.RETURNED))

    def test_full_share_too_late_is_not_confirmed(self) -> None:
        state = MoveState(MOVE)
        advance(state, 9450, Surroundings(Capacity(12, 12, 24.0)))
        for now_ms in range(9450, 10_100, 50):
            state.advance(now_ms, ERROR_MS, Surroundings(answered=ENOUGH))
        self.assertEqual((state.share, state.confirmed), (1.0, False))
        state.advance(10_150, ERROR_MS, Surroundings())
        self.assertEqual(state.share, 0.0)

    def test_share_stays_within_the_new_slots(self) -> None:
        state = MoveState(MOVE)
        around = Surroundings(Capacity(12, 6, 12.0), ENOUGH)
        self.assertEqual(max(advance(state, 9000, around)), 0.5)
        self.assertFalse(state.confirmed)

    def test_suspicion_at_full_share_steps_back_to_compare(self) -> None:
        state = MoveState(MOVE)
        advance(state, 3000, Surroundings(answered=ENOUGH))
        for now_ms in range(3000, 9000, 50):
            if state.progress.step == 2:
                break
            state.advance(now_ms, ERROR_MS, Surroundings(answered=now_ms * 100))
        suspicious = Surroundings(answered=ENOUGH, suspicious=True)
        state.advance(now_ms, ERROR_MS, suspicious)
        self.assertEqual(state.share, 0.5)


class LateMemberTest(unittest.TestCase):
    def test_it_follows_its_peers_after_the_deadline(self) -> None:
        cases = (((1, 0), 1.0), ((1, 1), 0.0), ((0, 1), 0.0))
        for (confirmed, returned), share in cases:
            state = MoveState(MOVE, late=True)
            guidance = Guidance("m", confirmed=confirmed, returned=returned)
            state.advance(11_000, ERROR_MS, Surroundings(guidance=guidance))
            self.assertEqual(state.share, share)
            self.assertTrue(state.knows_its_share(guidance))

    def test_it_does_not_guess(self) -> None:
        state = MoveState(MOVE, late=True)
        state.advance(11_000, ERROR_MS, Surroundings())
        self.assertIs(state.stage, Stage.UNDECIDED)
        self.assertFalse(state.knows_its_share(None))

    def test_it_starts_at_the_step_in_force(self) -> None:
        state = MoveState(MOVE, late=True)
        state.advance(3000, ERROR_MS, Surroundings(guidance=Guidance("m", step=1)))
        self.assertEqual(state.share, 0.5)
