"""Anti-entropy between the record tables of two nodes."""

from __future__ import annotations

import random
import types
import unittest
from typing import Any

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.link.handlers import Handlers
from marigoldchute.overlay.records import Record, RecordKind, RecordTable
from marigoldchute.overlay.repair import MAX_BATCH_BYTES, Repair, split_batches

MEMBER_COUNT = 870


def _make_record(key: str, rank: int, size: int = 300) -> Record:
    return Record(RecordKind.MEMBER, key, (rank, 0), bytes(size))


class _Node:
    """Record table and handlers of one node."""

    def __init__(self) -> None:
        self.table = RecordTable()
        self.handlers = Handlers()
        self.repair = Repair(self.table, self.handlers)


class _Link:
    """Link that calls the handlers of the other node and counts bytes."""

    def __init__(self, target: _Node) -> None:
        self.peer = types.SimpleNamespace(name="other")
        self.bytes_sent = 0
        self.bytes_received = 0
        self.largest_message = 0
        self._target = target
        self._notified: list[tuple[int, bytes]] = []

    async def call(self, method: int, body: bytes, timeout_s: float) -> bytes:
        handler = self._target.handlers.find(method)
        assert handler is not None
        link: Any = self
        response = await handler(link, body)
        self.bytes_sent += len(body)
        self.bytes_received += len(response)
        self.largest_message = max(self.largest_message, len(body), len(response))
        return response

    def notify(self, method: int, body: bytes) -> None:
        self.bytes_sent += len(body)
        self.largest_message = max(self.largest_message, len(body))
        self._notified.append((method, body))

    async def deliver(self) -> None:
        link: Any = self
        for method, body in self._notified:
            handler = self._target.handlers.find(method)
            assert handler is not None
            await handler(link, body)


def _synchronize(ours: _Node, theirs: _Node) -> _Link:
    link = _Link(theirs)
    end: Any = link

    async def body() -> None:
        await ours.repair.synchronize(end)
        await link.deliver()

    trio.run(body)
    return link


class RepairTest(unittest.TestCase):
    def test_equal_tables_exchange_digests_only(self) -> None:
        ours, theirs = _Node(), _Node()
        for i in range(MEMBER_COUNT):
            ours.table.apply(_make_record(str(i), 1))
            theirs.table.apply(_make_record(str(i), 1))
        link = _synchronize(ours, theirs)
        self.assertLess(link.bytes_sent + link.bytes_received, 400)

    def test_one_difference_costs_one_bucket_of_identities_and_one_body(self) -> None:
        ours, theirs = _Node(), _Node()
        for i in range(MEMBER_COUNT):
            ours.table.apply(_make_record(str(i), 1))
            theirs.table.apply(_make_record(str(i), 1 + (i == 5)))
        link = _synchronize(ours, theirs)
        self.assertEqual(ours.table.digests(), theirs.table.digests())
        self.assertLess(link.bytes_sent + link.bytes_received, 2000)

    def test_joining_node_receives_all_records_in_bounded_batches(self) -> None:
        ours, theirs = _Node(), _Node()
        for i in range(MEMBER_COUNT):
            theirs.table.apply(_make_record(str(i), 1))
        link = _synchronize(ours, theirs)
        self.assertEqual(ours.table.digests(), theirs.table.digests())
        self.assertLess(link.largest_message, 2 * MAX_BATCH_BYTES)

    def test_batches_are_bounded_and_complete(self) -> None:
        records = [_make_record(str(i), 1, 10_000) for i in range(50)]
        batches = list(split_batches(records))
        self.assertEqual([r for batch in batches for r in batch], records)
        self.assertGreater(len(batches), 1)
        for batch in batches:
            self.assertLessEqual(sum(len(r.body) for r in batch), MAX_BATCH_BYTES)

    @settings(derandomize=True, max_examples=60)
    @given(
        st.lists(st.tuples(st.integers(0, 30), st.integers(1, 4)), max_size=40),
        st.integers(0, 1000),
    )
    def test_tables_are_equal_after_one_synchronization(
        self, updates: list[tuple[int, int]], seed: int
    ) -> None:
        ours, theirs = _Node(), _Node()
        rng = random.Random(seed)
        for key, rank in updates:
            rng.choice((ours, theirs)).table.apply(_make_record(str(key), rank))
        _synchronize(ours, theirs)
        self.assertEqual(ours.table.digests(), theirs.table.digests())
