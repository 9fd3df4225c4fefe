"""Checks of the moves of a bundle before it is rolled out."""

from __future__ import annotations

import dataclasses
import unittest

from marigoldchute.bundle.model import BundleContent, Move, Service, Step
from marigoldchute.errors import MoveError, ResultCode
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.moves.preflight import check_moves
from marigoldchute.moves.state import MoveState

MOVE = Move(
    "m", "turnos", "r1", "r2", 1000, 6000, (Step(0.1, 1000), Step(1.0, 0)), 1000
)


class FakeMembers:
    """One member with a backend server of each release."""

    def __init__(self, slots: int, warm_at_ms: int = 0) -> None:
        old = BackendServer("n/1", "turnos", "r1", 1, 12, 110)
        new = BackendServer("n/2", "turnos", "r2", 2, slots, 110, False, warm_at_ms)
        self.local = Member("n", 1, 0, "127.0.0.1", 1, "a", "r", servers=(old, new))

    def all(self) -> tuple[Member, ...]:
        return (self.local,)


def check(move: Move, members: FakeMembers, concurrency: float, now_ms: int) -> None:
    content = BundleContent((Service("turnos", "r1"),), (), (move,))
    check_moves(content, (), members, {"turnos": concurrency}, now_ms, 250)  # type: ignore[arg-type]


class PreflightTest(unittest.TestCase):
    def assert_refused(self, code: ResultCode, *args: object) -> None:
        with self.assertRaises(MoveError) as caught:
            check(*args)  # type: ignore[arg-type]
        self.assertIs(caught.exception.code, code)

    def test_move_with_enough_time_and_slots_is_accepted(self) -> None:
        check(MOVE, FakeMembers(12), 6.0, 0)

    def test_deadline_too_soon_is_refused(self) -> None:
        code = ResultCode.MOVE_DEADLINE_TOO_SHORT
        self.assert_refused(code, MOVE, FakeMembers(12), 0.0, 4000)

    def test_new_release_with_too_few_slots_is_refused(self) -> None:
        code = ResultCode.MOVE_CAPACITY_TOO_SMALL
        self.assert_refused(code, MOVE, FakeMembers(4), 6.0, 0)

    def test_slots_in_cold_start_are_not_counted(self) -> None:
        code = ResultCode.MOVE_CAPACITY_TOO_SMALL
        self.assert_refused(code, MOVE, FakeMembers(12, 5000), 6.0, 0)

    def test_move_in_progress_is_not_checked_again(self) -> None:
        short_deadline = dataclasses.replace(MOVE, deadline_ms=2500)
        content = BundleContent((Service("turnos", "r1"),), (), (short_deadline,))
        members = FakeMembers(0)
        check_moves(content, [MoveState(short_deadline)], members, {}, 2400, 250)  # type: ignore[arg-type]
