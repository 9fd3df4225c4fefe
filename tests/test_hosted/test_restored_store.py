"""Bundles and node entries when the store comes back from an older copy."""

from __future__ import annotations

import copy
import dataclasses
import random
import unittest
from typing import TYPE_CHECKING, Any

import trio
import trio.testing

from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import BundleContent, Route, Service
from marigoldchute.errors import ConflictError, NotFoundError, PlatformError
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.catalog import Catalog, Snapshot, make_snapshot
from marigoldchute.hosted.directory import Directory
from marigoldchute.hosted.node_entry import (
    MAX_STORED_LEAVES,
    REWRITES_PER_S,
    Leave,
    NodeEntry,
)
from marigoldchute.hosted.relay import Offer, decode_offer, encode_offer
from marigoldchute.membership.model import Member
from marigoldchute.objectstore.documents import Document
from marigoldchute.objectstore.eras import make_position
from marigoldchute.overlay.records import RecordTable
from tests.test_hosted.test_relay import Node

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

NAME = "vm-1"
LEAVE = Leave("i-1", 1_000)


def make_bundle(era: int, revision: int, version: int, path: str = "") -> Snapshot:
    """Return a bundle whose route names its version."""
    routes = (Route("a", path or f"/{version}/", "turnos"),)
    content = BundleContent((Service("turnos", ""),), routes)
    return make_snapshot(make_position(era, revision), version, content)


class CatalogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = MemoryEventLog()
        self.in_force = InForce()
        self.catalog = Catalog(self.in_force, self.log)  # type: ignore[arg-type]

    def apply(self, era: int, revision: int, version: int, path: str = "") -> bool:
        return self.catalog.apply(make_bundle(era, revision, version, path), "test")

    def prefix(self) -> str:
        bundle = self.in_force.bundle
        assert bundle is not None
        return bundle.content.routes[0].path_prefix

    def events(self, event: str) -> int:
        return sum(e.event == event for e in self.log.events)

    def test_older_version_of_a_later_era_is_ignored(self) -> None:
        self.apply(1, 50, 7)
        self.assertFalse(self.apply(2, 45, 6))
        self.assertFalse(self.apply(2, 45, 6))
        self.assertEqual((self.prefix(), self.catalog.version), ("/7/", 7))
        self.assertEqual(self.events("older_ignored"), 1)

    def test_newer_version_of_a_later_era_is_put_in_force(self) -> None:
        self.apply(1, 50, 7)
        self.assertTrue(self.apply(2, 46, 8))
        self.assertEqual(self.prefix(), "/8/")

    def test_same_version_of_a_later_era_only_moves_the_position(self) -> None:
        self.apply(1, 50, 7)
        bundle, updates = self.in_force.bundle, []
        self.catalog.on_update.append(updates.append)
        self.assertFalse(self.apply(2, 60, 7))
        self.assertIs(self.in_force.bundle, bundle)
        self.assertEqual(self.catalog.revision, make_position(2, 60))
        self.assertEqual(updates, [])
        self.assertIsNotNone(self.catalog.get_snapshot(make_position(1, 50)))

    def test_same_version_with_other_content_is_put_in_force(self) -> None:
        """Otherwise nodes with the same position would have different bundles."""
        self.apply(1, 50, 7)
        self.assertTrue(self.apply(2, 60, 7, "/changed/"))
        self.assertEqual(self.prefix(), "/changed/")

    def test_revision_decides_within_an_era(self) -> None:
        for era in (0, 1):
            self.setUp()
            self.apply(era, 50, 7)
            self.assertTrue(self.apply(era, 51, 6))
            self.assertFalse(self.apply(era, 49, 9))
            self.assertEqual(self.prefix(), "/6/")

    def test_started_node_gets_the_version_that_the_store_lost(self) -> None:
        self.apply(2, 45, 6)
        self.assertTrue(self.catalog.wants(make_position(1, 50), 7))
        self.assertTrue(self.apply(1, 50, 7))
        self.assertEqual(self.prefix(), "/7/")
        self.assertFalse(self.catalog.wants(make_position(2, 45), 6))
        self.assertTrue(self.apply(2, 46, 8))
        self.assertEqual(self.prefix(), "/8/")

    def test_newest_snapshot_is_kept_as_a_base(self) -> None:
        for revision in range(40, 60):
            self.apply(2, revision, revision)
        self.apply(1, 90, 90)
        self.assertIsNotNone(self.catalog.get_snapshot(make_position(1, 90)))


class OfferTest(unittest.TestCase):
    def test_offer_has_a_version_only_in_a_store_with_eras(self) -> None:
        self.assertEqual(encode_offer(9, 7), (9).to_bytes(8, "big"))
        self.assertEqual(decode_offer(encode_offer(9, 7)), Offer(9))
        position = make_position(2, 9)
        self.assertEqual(decode_offer(encode_offer(position, 7)), Offer(position, 7))

    def test_version_that_does_not_fit_is_left_out(self) -> None:
        position = make_position(2, 9)
        self.assertEqual(decode_offer(encode_offer(position, 2**64)), Offer(position))


class RelayTest(unittest.TestCase):
    """A started node has read an older bundle from the restored store."""

    def run_nodes(
        self, first: Snapshot, second: Snapshot, duration_s: float
    ) -> tuple[Node, Node, int]:
        async def main() -> tuple[Node, Node, int]:
            async with trio.open_nursery() as nursery:
                nodes = Node("a", nursery), Node("b", nursery)
                link = nodes[0].link_to(nodes[1])
                nodes[0].catalog.apply(first, "the store")
                nodes[1].catalog.apply(second, "the store")
                await trio.sleep(duration_s)
                nursery.cancel_scope.cancel()
            return *nodes, link.calls + link.reverse.calls

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_version_that_the_store_lost_spreads_and_the_older_does_not(self) -> None:
        lost, restored = make_bundle(1, 50, 7), make_bundle(2, 45, 6)
        for pair in ((lost, restored), (restored, lost)):
            first, second, calls = self.run_nodes(*pair, duration_s=20.0)
            self.assertEqual((first.catalog.version, second.catalog.version), (7, 7))
            self.assertEqual(calls, 1)

    def test_new_position_of_the_same_version_is_fetched_once(self) -> None:
        before = make_bundle(1, 50, 7)
        after = dataclasses.replace(before, revision=make_position(2, 60))
        first, second, calls = self.run_nodes(before, after, duration_s=20.0)
        self.assertEqual(first.catalog.revision, second.catalog.revision)
        self.assertEqual(calls, 1)


class FakeStore:
    """Store with one document that may be restored from a copy."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 10
        self.document: tuple[int, Any] | None = None
        self.calls: list[str] = []
        self.failures = 0

    def copy(self) -> Any:
        return copy.deepcopy((self.revision, self.document))

    def restore(self, stored: Any) -> None:
        self.revision, self.document = stored
        self.era += 1

    @property
    def left(self) -> list[str]:
        assert self.document is not None
        return [leave["instance"] for leave in self.document[1].get("left", [])]

    async def create(self, kind: str, name: str, content: Any) -> Document:
        self.calls.append("create")
        if self.document is not None:
            raise ConflictError("exists")
        return self._write(name, content)

    async def get(self, kind: str, name: str) -> Document:
        self.calls.append("get")
        if self.failures:
            self.failures -= 1
            raise PlatformError("no response")
        if self.document is None:
            raise NotFoundError(name)
        revision, content = self.document
        return Document(kind, name, make_position(self.era, revision), content)

    async def replace(
        self, kind: str, name: str, content: Any, expected_revision: int
    ) -> Document:
        self.calls.append("replace")
        if self.document is None:
            raise NotFoundError(name)
        if expected_revision != make_position(self.era, self.document[0]):
            raise ConflictError("changed")
        return self._write(name, content)

    def _write(self, name: str, content: Any) -> Document:
        self.revision += 1
        self.document = self.revision, content
        position = make_position(self.era, self.revision)
        return Document("k", name, position, content)


class NodeEntryTest(unittest.TestCase):
    """An acknowledged leave must not be lost with the store's last writes."""

    def setUp(self) -> None:
        self.store = FakeStore()

    def run_entry(self, body: Callable[[NodeEntry], Awaitable[None]]) -> None:
        async def main() -> None:
            log: Any = MemoryEventLog()
            local = Member(NAME, 1, 0, "10.0.0.1", 7600, "a", "r")
            directory = Directory(local, RecordTable(), log)
            store: Any = self.store
            entry = NodeEntry(store, directory, log, random.Random(1))
            async with trio.open_nursery() as nursery:
                await entry.load()
                nursery.start_soon(entry.run)
                await body(entry)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_lost_leave_is_written_again(self) -> None:
        async def body(entry: NodeEntry) -> None:
            stored = self.store.copy()
            self.assertTrue(await entry.store_leave(LEAVE))
            self.store.restore(stored)
            self.assertEqual(self.store.left, [])
            entry.handle_restored()
            await trio.sleep(5)
            self.assertEqual(self.store.left, ["i-1"])

        self.run_entry(body)

    def test_lost_entry_is_created_again_with_its_leaves(self) -> None:
        async def body(entry: NodeEntry) -> None:
            await entry.store_leave(LEAVE)
            self.store.restore((5, None))
            entry.handle_restored()
            await trio.sleep(5)
            self.assertEqual(self.store.left, ["i-1"])

        self.run_entry(body)

    def test_entry_that_the_copy_contains_costs_one_read(self) -> None:
        async def body(entry: NodeEntry) -> None:
            await entry.store_leave(LEAVE)
            self.store.restore(self.store.copy())
            self.store.calls.clear()
            entry.handle_restored()
            await trio.sleep(20)
            self.assertEqual(self.store.calls, ["get"])

        self.run_entry(body)

    def test_leave_after_the_restoration_keeps_the_lost_ones(self) -> None:
        """The write may notice the restoration before the entry is checked."""

        async def body(entry: NodeEntry) -> None:
            stored = self.store.copy()
            await entry.store_leave(LEAVE)
            self.store.restore(stored)
            await entry.store_leave(Leave("i-2", 2_000))
            await trio.sleep(5)
            self.assertEqual(sorted(self.store.left), ["i-1", "i-2"])

        self.run_entry(body)

    def test_leave_is_not_delayed_by_the_check(self) -> None:
        async def body(entry: NodeEntry) -> None:
            entry._rewrite_spread_s = lambda: 1_000.0  # type: ignore[method-assign]
            entry.handle_restored()
            started_at = trio.current_time()
            self.assertTrue(await entry.store_leave(LEAVE))
            self.assertLess(trio.current_time() - started_at, 0.1)

        self.run_entry(body)

    def test_check_is_repeated_while_the_store_is_away(self) -> None:
        async def body(entry: NodeEntry) -> None:
            stored = self.store.copy()
            await entry.store_leave(LEAVE)
            self.store.restore(stored)
            self.store.failures = 3
            entry.handle_restored()
            await trio.sleep(10)
            self.assertEqual(self.store.left, ["i-1"])

        self.run_entry(body)

    def test_more_leaves_than_the_entry_holds_end_the_writes(self) -> None:
        async def body(entry: NodeEntry) -> None:
            stored = self.store.copy()
            for number in range(MAX_STORED_LEAVES):
                await entry.store_leave(Leave(f"i-{number}", 1_000))
            self.store.restore(stored)
            entry.handle_restored()
            await entry.store_leave(Leave("i-9", 1_000))
            await trio.sleep(5)
            self.store.calls.clear()
            await trio.sleep(20)
            self.assertEqual(self.store.calls, [])
            self.assertEqual(len(self.store.left), MAX_STORED_LEAVES)
            self.assertIn("i-9", self.store.left)

        self.run_entry(body)

    def test_checks_of_many_nodes_are_spread(self) -> None:
        log: Any = MemoryEventLog()
        local = Member(NAME, 1, 0, "10.0.0.1", 7600, "a", "r")
        directory: Any = Directory(local, RecordTable(), log)
        store: Any = self.store
        entry = NodeEntry(store, directory, log, random.Random(1))
        directory.all = lambda: (local,) * 874
        self.assertAlmostEqual(entry._rewrite_spread_s(), 874 / REWRITES_PER_S)


if __name__ == "__main__":
    unittest.main()
