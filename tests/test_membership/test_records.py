"""Ranks, refutation and expiry of member records."""

from __future__ import annotations

import dataclasses
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.config import NodeSettings, StoreSettings
from marigoldchute.events import MemoryEventLog, wall_clock_ms
from marigoldchute.membership.claims import claim_record, own_record
from marigoldchute.membership.model import Member, MemberState
from marigoldchute.membership.service import TOMBSTONE_TTL_MS, Membership
from marigoldchute.overlay.records import Record, RecordKind, RecordTable

MEMBER = Member("b", 5, 1, "127.0.0.2", 7000, "dc", "region")


def _membership(table: RecordTable) -> Membership:
    cfg = NodeSettings(
        "a", "127.0.0.1", "dc", "region", StoreSettings("127.0.0.1", 9000), ()
    )
    log = MemoryEventLog()
    return Membership(cfg, 10, table, log)  # type: ignore[arg-type]


def _record(kind: int, incarnation: int, sequence: int) -> Record:
    member = dataclasses.replace(MEMBER, incarnation=incarnation, sequence=sequence)
    if kind == 0:
        return own_record(member)
    state = MemberState.UNREACHABLE if kind == 1 else MemberState.GONE
    return claim_record(member, state, wall_clock_ms())


class MemberRecordTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150)
    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.integers(1, 3), st.integers(0, 3)),
            min_size=1,
            max_size=20,
        ),
        st.integers(0, 1000),
    )
    def test_result_does_not_depend_on_the_order_of_records(
        self, inputs: list[tuple[int, int, int]], seed: int
    ) -> None:
        records = [_record(*item) for item in inputs]
        results = []
        for arrival_order in (
            records,
            random.Random(seed).sample(records, len(records)),
        ):
            table = RecordTable()
            membership = _membership(table)
            for record in arrival_order:
                table.apply(record)
            member = membership.get_recorded("b")
            assert member is not None
            results.append((member.incarnation, member.sequence, member.state))
        gone = [values for values in inputs if values[0] == 2]
        if not gone:
            self.assertEqual(results[0], results[1])
        self.assertEqual(results[0][0], results[1][0])
        self.assertEqual(results[0][2], results[1][2])

    def test_gone_member_returns_only_with_a_later_incarnation(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        table.apply(claim_record(MEMBER, MemberState.GONE, wall_clock_ms()))
        same_incarnation = dataclasses.replace(MEMBER, sequence=9)
        self.assertFalse(table.apply(own_record(same_incarnation)))
        self.assertEqual([m.name for m in membership.all()], ["a"])
        later_incarnation = dataclasses.replace(MEMBER, incarnation=6, sequence=0)
        self.assertTrue(table.apply(own_record(later_incarnation)))
        self.assertEqual(len(membership.all()), 2)

    def test_next_sequence_outranks_a_claim_of_unreachability(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        table.apply(own_record(MEMBER))
        table.apply(claim_record(MEMBER, MemberState.UNREACHABLE, 0))
        refutation = dataclasses.replace(MEMBER, sequence=2)
        self.assertTrue(table.apply(own_record(refutation)))
        member = membership.get("b")
        assert member is not None
        self.assertIs(member.state, MemberState.ALIVE)

    def test_records_of_gone_members_expire_and_are_not_accepted_again(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        now_ms = wall_clock_ms()
        table.apply(claim_record(MEMBER, MemberState.GONE, now_ms))
        membership.expire_tombstones(now_ms + TOMBSTONE_TTL_MS)
        self.assertIsNotNone(table.get(RecordKind.MEMBER, "b"))
        membership.expire_tombstones(now_ms + TOMBSTONE_TTL_MS + 1)
        self.assertIsNone(table.get(RecordKind.MEMBER, "b"))
        expired = claim_record(MEMBER, MemberState.GONE, now_ms - TOMBSTONE_TTL_MS - 1)
        self.assertFalse(table.apply(expired))

    def test_unreachable_data_centre_is_listed_without_new_records(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        table.apply(own_record(dataclasses.replace(MEMBER, data_centre="other")))
        digests = table.digests()
        membership.set_unreachable_data_centres(frozenset({"other"}))
        member = membership.get("b")
        assert member is not None
        self.assertIs(member.state, MemberState.UNREACHABLE)
        self.assertIn("b", membership.wanted_peers())
        membership.set_unreachable_data_centres(frozenset())
        self.assertEqual(table.digests(), digests)


class SupersededTest(unittest.TestCase):
    def test_node_is_fenced_when_a_later_vm_has_the_same_name(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        other = dataclasses.replace(
            membership.local, incarnation=11, address="127.0.0.9"
        )
        table.apply(own_record(other))
        self.assertTrue(membership.fenced)
        self.assertEqual(membership.local.incarnation, 10)

    def test_incarnation_exceeds_that_of_an_earlier_process_here(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        earlier = dataclasses.replace(membership.local, incarnation=10**15)
        table.apply(own_record(earlier))
        self.assertGreater(membership.local.incarnation, 10**15)
