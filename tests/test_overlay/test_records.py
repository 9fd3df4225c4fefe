"""Ranks, validation and convergence of replicated records."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.overlay.records import Record, RecordKind, RecordTable


def _make_record(key: str, rank: int) -> Record:
    return Record(RecordKind.MEMBER, key, (rank, 0), f"{key}{rank}".encode())


class RecordTableTest(unittest.TestCase):
    def test_record_with_lower_rank_is_rejected(self) -> None:
        table = RecordTable()
        self.assertTrue(table.apply(_make_record("a", 2)))
        self.assertFalse(table.apply(_make_record("a", 1)))
        self.assertEqual(table.get(RecordKind.MEMBER, "a"), _make_record("a", 2))

    def test_record_rejected_by_validator_is_not_stored(self) -> None:
        table = RecordTable()
        table.register_validator(RecordKind.MEMBER, lambda record: record.key != "bad")
        self.assertFalse(table.apply(_make_record("bad", 1)))
        self.assertIsNone(table.get(RecordKind.MEMBER, "bad"))

    def test_newer_than_returns_records_missing_in_the_other_table(self) -> None:
        ours, theirs = RecordTable(), RecordTable()
        ours.apply(_make_record("a", 1))
        theirs.apply(_make_record("b", 1))
        buckets = [
            i
            for i, pair in enumerate(zip(ours.digests(), theirs.digests(), strict=True))
            if pair[0] != pair[1]
        ]
        newer = theirs.newer_than(ours.ids_in_buckets(buckets), buckets)
        self.assertEqual(newer, [_make_record("b", 1)])

    @settings(derandomize=True, max_examples=100)
    @given(
        st.lists(st.tuples(st.sampled_from("abcd"), st.integers(1, 6)), max_size=30),
        st.integers(0, 1000),
    )
    def test_tables_converge_in_any_order(
        self, updates: list[tuple[str, int]], seed: int
    ) -> None:
        first, second = RecordTable(), RecordTable()
        shuffled = list(updates)
        random.Random(seed).shuffle(shuffled)
        for key, rank in updates:
            first.apply(_make_record(key, rank))
        for key, rank in shuffled + shuffled:
            second.apply(_make_record(key, rank))
        self.assertEqual(first.digests(), second.digests())
