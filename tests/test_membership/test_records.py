"""Member records: order, refutation and expiry."""

from __future__ import annotations

import dataclasses
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.config import NodeSettings, StoreSettings
from marigoldchute.events import EventSink, wall_clock_ms
from marigoldchute.membership.claims import claim_record, own_record
from marigoldchute.membership.model import Member, MemberState
from marigoldchute.membership.service import TOMBSTONE_TTL_MS, Membership
from marigoldchute.overlay.records import Record, RecordKind, RecordTable

MEMBER = Member("b", 5, 1, "127.0.0.2", 7000, "dc", "region")


def _membership(table: RecordTable) -> Membership:
    cfg = NodeSettings(
        "a", "127.0.0.1", "dc", "region", StoreSettings("127.0.0.1", 9000), ()
    )
    log = EventSink()
    return Membership(cfg, 10, table, log)  # type: ignore[arg-type]


def _write(kind: int, incarnation: int, sequence: int) -> Record:
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
    def test_members_agree_whatever_the_order(
        self, writes: list[tuple[int, int, int]], seed: int
    ) -> None:
        records = [_write(*write) for write in writes]
        seen = []
        for order in (records, random.Random(seed).sample(records, len(records))):
            table = RecordTable()
            membership = _membership(table)
            for record in order:
                table.offer(record)
            member = membership.record_of("b")
            assert member is not None
            seen.append((member.incarnation, member.sequence, member.state))
        gone = [w for w in writes if w[0] == 2]
        if not gone:
            self.assertEqual(seen[0], seen[1])
        self.assertEqual(seen[0][0], seen[1][0])
        self.assertEqual(seen[0][2], seen[1][2])

    def test_stale_rumour_does_not_bring_a_member_back(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        table.offer(claim_record(MEMBER, MemberState.GONE, wall_clock_ms()))
        late = dataclasses.replace(MEMBER, sequence=9)
        self.assertFalse(table.offer(own_record(late)))
        self.assertEqual([m.name for m in membership.all()], ["a"])
        again = dataclasses.replace(MEMBER, incarnation=6, sequence=0)
        self.assertTrue(table.offer(own_record(again)))
        self.assertEqual(len(membership.all()), 2)

    def test_refutation_outranks_the_claim(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        table.offer(own_record(MEMBER))
        table.offer(claim_record(MEMBER, MemberState.UNREACHABLE, 0))
        refuted = dataclasses.replace(MEMBER, sequence=2)
        self.assertTrue(table.offer(own_record(refuted)))
        member = membership.get("b")
        assert member is not None
        self.assertIs(member.state, MemberState.ALIVE)

    def test_records_of_gone_members_expire_and_are_not_taken_again(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        now_ms = wall_clock_ms()
        table.offer(claim_record(MEMBER, MemberState.GONE, now_ms))
        membership.expire_tombstones(now_ms + TOMBSTONE_TTL_MS)
        self.assertIsNotNone(table.get(RecordKind.MEMBER, "b"))
        membership.expire_tombstones(now_ms + TOMBSTONE_TTL_MS + 1)
        self.assertIsNone(table.get(RecordKind.MEMBER, "b"))
        old = claim_record(MEMBER, MemberState.GONE, now_ms - TOMBSTONE_TTL_MS - 1)
        self.assertFalse(table.offer(old))

    def test_cut_data_centre_is_shown_without_records(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        table.offer(own_record(dataclasses.replace(MEMBER, data_centre="other")))
        digests = table.digests()
        membership.set_cut_centres(frozenset({"other"}))
        member = membership.get("b")
        assert member is not None
        self.assertIs(member.state, MemberState.UNREACHABLE)
        self.assertIn("b", membership.wanted())
        membership.set_cut_centres(frozenset())
        self.assertEqual(table.digests(), digests)


class SupersededTest(unittest.TestCase):
    def test_later_vm_of_the_same_name_ends_the_serving_of_this_one(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        other = dataclasses.replace(
            membership.local, incarnation=11, address="127.0.0.9"
        )
        table.offer(own_record(other))
        self.assertTrue(membership.fenced)
        self.assertEqual(membership.local.incarnation, 10)

    def test_former_process_at_this_address_is_followed(self) -> None:
        table = RecordTable()
        membership = _membership(table)
        former = dataclasses.replace(membership.local, incarnation=10**15)
        table.offer(own_record(former))
        self.assertGreater(membership.local.incarnation, 10**15)
