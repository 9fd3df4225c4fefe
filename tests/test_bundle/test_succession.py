"""No bundle upsets a move or sends traffic back."""

from __future__ import annotations

import dataclasses
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.bundle.model import BundleContent
from marigoldchute.bundle.succession import (
    DONE,
    TAKEN_BACK,
    check_successor,
    settled_releases,
)
from marigoldchute.errors import MoveError, ResultCode
from tests.test_bundle.bundles import content, move

MOVING = content("r1", move())
BACK = move("turnos-back", old_release="r2", new_release="r1")
ONWARD = move("turnos-r3", old_release="r2", new_release="r3")


class SuccessionTest(unittest.TestCase):
    def assert_refused(
        self, following: BundleContent, code: ResultCode, **verdicts: str
    ) -> None:
        with self.assertRaises(MoveError) as caught:
            check_successor(MOVING, following, _named(verdicts))
        self.assertEqual(caught.exception.code, code, caught.exception)

    def assert_accepted(self, following: BundleContent, **verdicts: str) -> None:
        check_successor(MOVING, following, _named(verdicts))

    def test_undecided_move_stays_as_it_is(self) -> None:
        code = ResultCode.MOVE_UNDECIDED_CHANGED
        self.assert_accepted(MOVING)
        self.assert_refused(content("r1"), code)
        self.assert_refused(content("r2", move()), code)
        self.assert_refused(content("r1", move(deadline_ms=90_000)), code)
        self.assert_refused(content("r1", move("other")), code)
        self.assert_refused(BundleContent((), ()), code)

    def test_done_move_may_stay_or_leave_the_new_release(self) -> None:
        self.assert_accepted(MOVING, turnos_r2=DONE)
        self.assert_accepted(content("r2", move()), turnos_r2=DONE)
        self.assert_accepted(content("r2"), turnos_r2=DONE)
        self.assert_accepted(content("r2", ONWARD), turnos_r2=DONE)
        self.assert_accepted(content("r2", BACK), turnos_r2=DONE)
        code = ResultCode.MOVE_OUTCOME_CONTRADICTED
        self.assert_refused(content("r1"), code, turnos_r2=DONE)
        self.assert_refused(content("r3"), code, turnos_r2=DONE)
        again = move("again", old_release="r1")
        self.assert_refused(content("r1", again), code, turnos_r2=DONE)

    def test_taken_back_move_leaves_the_old_release(self) -> None:
        self.assert_accepted(MOVING, turnos_r2=TAKEN_BACK)
        self.assert_accepted(content("r1"), turnos_r2=TAKEN_BACK)
        self.assert_accepted(content("r1", move("again")), turnos_r2=TAKEN_BACK)
        code = ResultCode.MOVE_OUTCOME_CONTRADICTED
        self.assert_refused(content("r2"), code, turnos_r2=TAKEN_BACK)
        self.assert_refused(content("r2", ONWARD), code, turnos_r2=TAKEN_BACK)

    def test_decided_move_is_neither_altered_nor_used_again(self) -> None:
        code = ResultCode.MOVE_ALREADY_DECIDED
        altered = content("r1", move(deadline_ms=90_000))
        self.assert_refused(altered, code, turnos_r2=DONE)
        with self.assertRaises(MoveError) as caught:
            check_successor(content("r1"), MOVING, {"turnos-r2": TAKEN_BACK})
        self.assertEqual(caught.exception.code, code)

    def test_release_changes_only_by_a_move(self) -> None:
        with self.assertRaises(MoveError) as caught:
            check_successor(content("r1"), content("r2"), {})
        self.assertEqual(caught.exception.code, ResultCode.MOVE_OUTCOME_CONTRADICTED)
        check_successor(content("r1"), MOVING, {})

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["r1", "r2", "r3"]),
                st.sampled_from(["", "r1>r2", "r2>r3", "r2>r1", "r3>r1"]),
                st.integers(0, 3),
                st.sampled_from([None, DONE, TAKEN_BACK]),
            ),
            max_size=12,
        )
    )
    def test_accepted_bundles_never_shift_settled_traffic(
        self, attempts: list[tuple[str, str, int, str | None]]
    ) -> None:
        held = content("r1")
        verdicts: dict[str, str] = {}
        for release, direction, number, verdict in attempts:
            moves = []
            if direction:
                old, new = direction.split(">")
                name = f"m{number}"
                moves = [move(name, old_release=old, new_release=new)]
            following = dataclasses.replace(content(release), moves=tuple(moves))
            before = settled_releases(held, verdicts)
            try:
                check_successor(held, following, verdicts)
            except MoveError:
                continue
            for item in following.moves:
                if item not in held.moves:
                    self.assertEqual(item.old_release, before["turnos"])
                    self.assertNotIn(item.move_id, verdicts)
            if not following.moves:
                after = settled_releases(following, verdicts)
                self.assertEqual(after["turnos"], before["turnos"])
            held = following
            if verdict is not None:
                for item in held.moves:
                    verdicts.setdefault(item.move_id, verdict)


def _named(verdicts: dict[str, str]) -> dict[str, str]:
    return {name.replace("_", "-"): verdict for name, verdict in verdicts.items()}
