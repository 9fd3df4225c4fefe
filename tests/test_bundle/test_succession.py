"""Checks of a bundle against the moves and verdicts of its predecessor."""

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
    effective_releases,
)
from marigoldchute.errors import MoveError, ResultCode
from tests.test_bundle.bundles import make_content, make_move

CONTENT_WITH_MOVE = make_content("r1", make_move())
BACK_MOVE = make_move("turnos-back", old_release="r2", new_release="r1")
NEXT_MOVE = make_move("turnos-r3", old_release="r2", new_release="r3")


class SuccessionTest(unittest.TestCase):
    def assert_refused(
        self, successor: BundleContent, code: ResultCode, **verdicts: str
    ) -> None:
        with self.assertRaises(MoveError) as caught:
            check_successor(
                CONTENT_WITH_MOVE, successor, _verdicts_by_move_id(verdicts)
            )
        self.assertEqual(caught.exception.code, code, caught.exception)

    def assert_accepted(self, successor: BundleContent, **verdicts: str) -> None:
        check_successor(CONTENT_WITH_MOVE, successor, _verdicts_by_move_id(verdicts))

    def test_change_of_an_undecided_move_is_refused(self) -> None:
        code = ResultCode.MOVE_UNDECIDED_CHANGED
        self.assert_accepted(CONTENT_WITH_MOVE)
        self.assert_refused(make_content("r1"), code)
        self.assert_refused(make_content("r2", make_move()), code)
        self.assert_refused(make_content("r1", make_move(deadline_ms=90_000)), code)
        self.assert_refused(make_content("r1", make_move("other")), code)
        self.assert_refused(BundleContent((), ()), code)

    def test_successor_of_a_done_move_must_keep_the_new_release(self) -> None:
        self.assert_accepted(CONTENT_WITH_MOVE, turnos_r2=DONE)
        self.assert_accepted(make_content("r2", make_move()), turnos_r2=DONE)
        self.assert_accepted(make_content("r2"), turnos_r2=DONE)
        self.assert_accepted(make_content("r2", NEXT_MOVE), turnos_r2=DONE)
        self.assert_accepted(make_content("r2", BACK_MOVE), turnos_r2=DONE)
        code = ResultCode.MOVE_OUTCOME_CONTRADICTED
        self.assert_refused(make_content("r1"), code, turnos_r2=DONE)
        self.assert_refused(make_content("r3"), code, turnos_r2=DONE)
        restarted = make_move("again", old_release="r1")
        self.assert_refused(make_content("r1", restarted), code, turnos_r2=DONE)

    def test_successor_of_a_move_taken_back_must_keep_the_old_release(self) -> None:
        self.assert_accepted(CONTENT_WITH_MOVE, turnos_r2=TAKEN_BACK)
        self.assert_accepted(make_content("r1"), turnos_r2=TAKEN_BACK)
        self.assert_accepted(
            make_content("r1", make_move("again")), turnos_r2=TAKEN_BACK
        )
        code = ResultCode.MOVE_OUTCOME_CONTRADICTED
        self.assert_refused(make_content("r2"), code, turnos_r2=TAKEN_BACK)
        self.assert_refused(make_content("r2", NEXT_MOVE), code, turnos_r2=TAKEN_BACK)

    def test_changed_or_reused_decided_move_is_refused(self) -> None:
        code = ResultCode.MOVE_ALREADY_DECIDED
        altered = make_content("r1", make_move(deadline_ms=90_000))
        self.assert_refused(altered, code, turnos_r2=DONE)
        with self.assertRaises(MoveError) as caught:
            check_successor(
                make_content("r1"), CONTENT_WITH_MOVE, {"turnos-r2": TAKEN_BACK}
            )
        self.assertEqual(caught.exception.code, code)

    def test_change_of_release_without_a_move_is_refused(self) -> None:
        with self.assertRaises(MoveError) as caught:
            check_successor(make_content("r1"), make_content("r2"), {})
        self.assertEqual(caught.exception.code, ResultCode.MOVE_OUTCOME_CONTRADICTED)
        check_successor(make_content("r1"), CONTENT_WITH_MOVE, {})

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
    def test_accepted_bundles_never_change_a_release_without_a_move(
        self, rolls: list[tuple[str, str, int, str | None]]
    ) -> None:
        current = make_content("r1")
        verdicts: dict[str, str] = {}
        for release, direction, number, verdict in rolls:
            moves = []
            if direction:
                old, new = direction.split(">")
                name = f"m{number}"
                moves = [make_move(name, old_release=old, new_release=new)]
            successor = dataclasses.replace(make_content(release), moves=tuple(moves))
            before = effective_releases(current, verdicts)
            try:
                check_successor(current, successor, verdicts)
            except MoveError:
                continue
            for item in successor.moves:
                if item not in current.moves:
                    self.assertEqual(item.old_release, before["turnos"])
                    self.assertNotIn(item.move_id, verdicts)
            if not successor.moves:
                after = effective_releases(successor, verdicts)
                self.assertEqual(after["turnos"], before["turnos"])
            current = successor
            if verdict is not None:
                for item in current.moves:
                    verdicts.setdefault(item.move_id, verdict)


def _verdicts_by_move_id(verdicts: dict[str, str]) -> dict[str, str]:
    return {name.replace("_", "-"): verdict for name, verdict in verdicts.items()}
