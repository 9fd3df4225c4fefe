"""Anti-entropy between two tables."""

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

MEMBERS = 870


def _record(key: str, rank: int, size: int = 300) -> Record:
    return Record(RecordKind.MEMBER, key, (rank, 0), bytes(size))


class _Side:
    """One end of a repair."""

    def __init__(self) -> None:
        self.table = RecordTable()
        self.handlers = Handlers()
        self.repair = Repair(self.table, self.handlers)


class _Link:
    """Calls the handlers of the other end and counts the bytes."""

    def __init__(self, target: _Side) -> None:
        self.peer = types.SimpleNamespace(name="other")
        self.bytes_sent = 0
        self.bytes_received = 0
        self.largest = 0
        self._target = target
        self._notified: list[tuple[int, bytes]] = []

    async def call(self, method: int, body: bytes, timeout_s: float) -> bytes:
        handler = self._target.handlers.find(method)
        assert handler is not None
        link: Any = self
        reply = await handler(link, body)
        self.bytes_sent += len(body)
        self.bytes_received += len(reply)
        self.largest = max(self.largest, len(body), len(reply))
        return reply

    def notify(self, method: int, body: bytes) -> None:
        self.bytes_sent += len(body)
        self.largest = max(self.largest, len(body))
        self._notified.append((method, body))

    async def deliver(self) -> None:
        link: Any = self
        for method, body in self._notified:
            handler = self._target.handlers.find(method)
            assert handler is not None
            await handler(link, body)


def _repair(ours: _Side, theirs: _Side) -> _Link:
    link = _Link(theirs)
    end: Any = link

    async def body() -> None:
        await ours.repair.run_once(end)
        await link.deliver()

    trio.run(body)
    return link


class RepairTest(unittest.TestCase):
    def test_equal_tables_exchange_digests_only(self) -> None:
        ours, theirs = _Side(), _Side()
        for i in range(MEMBERS):
            ours.table.offer(_record(str(i), 1))
            theirs.table.offer(_record(str(i), 1))
        link = _repair(ours, theirs)
        self.assertLess(link.bytes_sent + link.bytes_received, 400)

    def test_one_difference_costs_one_bucket_of_names_and_one_body(self) -> None:
        ours, theirs = _Side(), _Side()
        for i in range(MEMBERS):
            ours.table.offer(_record(str(i), 1))
            theirs.table.offer(_record(str(i), 1 + (i == 5)))
        link = _repair(ours, theirs)
        self.assertEqual(ours.table.digests(), theirs.table.digests())
        self.assertLess(link.bytes_sent + link.bytes_received, 2000)

    def test_joining_node_gets_everything_in_bounded_batches(self) -> None:
        ours, theirs = _Side(), _Side()
        for i in range(MEMBERS):
            theirs.table.offer(_record(str(i), 1))
        link = _repair(ours, theirs)
        self.assertEqual(ours.table.digests(), theirs.table.digests())
        self.assertLess(link.largest, 2 * MAX_BATCH_BYTES)

    def test_batches_are_bounded_and_whole(self) -> None:
        records = [_record(str(i), 1, 10_000) for i in range(50)]
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
    def test_tables_are_equal_after_one_repair(
        self, updates: list[tuple[int, int]], seed: int
    ) -> None:
        ours, theirs = _Side(), _Side()
        rng = random.Random(seed)
        for key, rank in updates:
            rng.choice((ours, theirs)).table.offer(_record(str(key), rank))
        _repair(ours, theirs)
        self.assertEqual(ours.table.digests(), theirs.table.digests())
