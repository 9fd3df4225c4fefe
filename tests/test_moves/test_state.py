"""Due step, share, confirmation and fallback of one member in a move."""

from __future__ import annotations

import unittest

from marigoldchute.bundle.model import Move, Step
from marigoldchute.moves.capacity import Capacity
from marigoldchute.moves.model import CollectorResponse, Stage
from marigoldchute.moves.schedule import MIN_OUTCOMES, Progress, due_step
from marigoldchute.moves.state import MoveInputs, MoveState

CLOCK_ERROR_MS = 100
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
MANY_OUTCOMES = 10**6


def advance(state: MoveState, until_ms: int, inputs: MoveInputs) -> list[float]:
    shares = []
    for now_ms in range(0, until_ms, 50):
        state.advance(now_ms, CLOCK_ERROR_MS, inputs)
        shares.append(state.share)
    return shares


class DueStepTest(unittest.TestCase):
    def test_step_waits_for_outcomes_up_to_half_the_slack(self) -> None:
        few_outcomes = Progress(0, 0, MIN_OUTCOMES - 1)
        self.assertEqual(due_step(MOVE, few_outcomes, 2000, CLOCK_ERROR_MS), 0)
        self.assertEqual(due_step(MOVE, few_outcomes, 6000, CLOCK_ERROR_MS), 1)

    def test_suspected_release_delays_step_to_its_latest_start(self) -> None:
        suspected = Progress(0, 0, MANY_OUTCOMES, suspected=True)
        self.assertEqual(due_step(MOVE, suspected, 6000, CLOCK_ERROR_MS), 0)
        self.assertEqual(due_step(MOVE, suspected, 8300, CLOCK_ERROR_MS), 1)


class MoveStateTest(unittest.TestCase):
    def test_move_without_traffic_is_confirmed_in_time(self) -> None:
        state = MoveState(MOVE)
        shares = advance(state, 10_000, MoveInputs())
        self.assertTrue(state.confirmed)
        self.assertEqual(shares, sorted(shares))

    def test_unconfirmed_member_returns_to_share_zero_after_deadline(self) -> None:
        state = MoveState(MOVE)
        limited = MoveInputs(Capacity(12, 12, 24.0))
        advance(state, 10_200, limited)
        self.assertEqual((state.share, state.stage), (0.0, Stage.RETURNED))

    def test_full_share_reached_too_late_is_not_confirmed(self) -> None:
        state = MoveState(MOVE)
        advance(state, 9450, MoveInputs(Capacity(12, 12, 24.0)))
        for now_ms in range(9450, 10_100, 50):
            state.advance(now_ms, CLOCK_ERROR_MS, MoveInputs(outcomes=MANY_OUTCOMES))
        self.assertEqual((state.share, state.confirmed), (1.0, False))
        state.advance(10_150, CLOCK_ERROR_MS, MoveInputs())
        self.assertEqual(state.share, 0.0)

    def test_share_is_limited_by_slots_of_new_release(self) -> None:
        state = MoveState(MOVE)
        inputs = MoveInputs(Capacity(12, 6, 12.0), MANY_OUTCOMES)
        self.assertEqual(max(advance(state, 9000, inputs)), 0.5)
        self.assertFalse(state.confirmed)

    def test_degradation_at_full_share_returns_to_previous_step(self) -> None:
        state = MoveState(MOVE)
        advance(state, 3000, MoveInputs(outcomes=MANY_OUTCOMES))
        for now_ms in range(3000, 9000, 50):
            if state.progress.step == 2:
                break
            state.advance(now_ms, CLOCK_ERROR_MS, MoveInputs(outcomes=now_ms * 100))
        degraded = MoveInputs(outcomes=MANY_OUTCOMES, degraded=True)
        state.advance(now_ms, CLOCK_ERROR_MS, degraded)
        self.assertEqual(state.share, 0.5)


class LateMemberTest(unittest.TestCase):
    def test_late_member_follows_its_peers_after_deadline(self) -> None:
        cases = (((1, 0), 1.0), ((1, 1), 0.0), ((0, 1), 0.0))
        for (confirmed, returned), share in cases:
            state = MoveState(MOVE, joined_late=True)
            response = CollectorResponse("m", confirmed=confirmed, returned=returned)
            state.advance(
                11_000, CLOCK_ERROR_MS, MoveInputs(collector_response=response)
            )
            self.assertEqual(state.share, share)
            self.assertTrue(state.is_share_known(response))

    def test_late_member_without_peers_does_not_know_its_share(self) -> None:
        state = MoveState(MOVE, joined_late=True)
        state.advance(11_000, CLOCK_ERROR_MS, MoveInputs())
        self.assertIs(state.stage, Stage.UNDECIDED)
        self.assertFalse(state.is_share_known(None))

    def test_late_member_starts_at_step_in_force(self) -> None:
        state = MoveState(MOVE, joined_late=True)
        state.advance(
            3000,
            CLOCK_ERROR_MS,
            MoveInputs(collector_response=CollectorResponse("m", step=1)),
        )
        self.assertEqual(state.share, 0.5)
