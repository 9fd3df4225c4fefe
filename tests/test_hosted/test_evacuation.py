"""Evacuations: what readers publish, and what nodes conclude from the records."""

from __future__ import annotations

import itertools
import random
import unittest
from typing import Any

import trio
import trio.testing

from marigoldchute.errors import EvacuationError
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.evacuation import (
    MAX_UNKNOWN_S,
    EvacuationBook,
    EvacuationTopic,
    accepts_absence,
)
from marigoldchute.hosted.node import HostedNode
from marigoldchute.hosted.record_checks import register_checks
from marigoldchute.hosted.rejections import Rejections
from marigoldchute.objectstore.documents import Document, DocumentPage
from marigoldchute.objectstore.eras import ABSENCE_GRACE_S, ERA_SHIFT
from marigoldchute.overlay.records import Record, RecordKind, RecordTable
from marigoldchute.platform.adapter import PlatformAdapter
from marigoldchute.platform.evacuations import PlatformEvacuationApi
from marigoldchute.platform.settings import parse_settings
from tests.test_platform.test_adapter import make_settings

ERA = 1 << ERA_SHIFT
DATA_CENTRES = ("norte", "sur", "este")


def make_document(
    name: str, revision: int, content: Any = None, deleted: bool = False
) -> Document:
    spec = {} if content is None else content
    return Document("evacuations", name, revision, spec, deleted=deleted)


class Node:
    """Records and evacuations of one node, which may read the store."""

    def __init__(self, is_enabled: bool = True) -> None:
        self.log = MemoryEventLog()
        log: Any = self.log
        self.table = RecordTable()
        register_checks(self.table)
        self.received: list[Record] = []
        self.table.on_change(lambda record, source: self.received.append(record))
        self.book = EvacuationBook(self.table, log, is_enabled)
        self.rejections = Rejections()
        api = PlatformEvacuationApi(DATA_CENTRES)
        self.topic = EvacuationTopic(api, self.book, self.rejections, log)

    def list(self, at: int, *documents: Document) -> None:
        self.topic.apply_page(DocumentPage(documents, at), True)

    def watch(self, at: int, *documents: Document) -> None:
        self.topic.apply_page(DocumentPage(documents, at), False)

    def records(self) -> list[Record]:
        kinds = (RecordKind.EVACUATION, RecordKind.EVACUATION_LIST)
        return [record for kind in kinds for record in self.table.of_kind(kind)]

    def evacuated(self) -> list[str]:
        return sorted(self.book.evacuated)


class EvacuationTestCase(unittest.TestCase):
    """Runs each test in simulated time."""

    def run_test(self, body: Any) -> None:
        trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


class ReaderTest(EvacuationTestCase):
    def test_evacuation_begins_and_ends_with_its_object(self) -> None:
        async def body() -> None:
            node = Node()
            node.list(10)
            self.assertEqual(node.evacuated(), [])
            node.watch(11, make_document("norte", 11))
            self.assertEqual(node.evacuated(), ["norte"])
            node.watch(12, make_document("norte", 11, deleted=True))
            self.assertEqual(node.evacuated(), [])
            events = [event.event for event in node.log.events]
            self.assertEqual(events, ["started", "ended"])

        self.run_test(body)

    def test_two_objects_are_independent(self) -> None:
        async def body() -> None:
            node = Node()
            node.list(10, make_document("norte", 8), make_document("sur", 9))
            self.assertEqual(node.evacuated(), ["norte", "sur"])
            node.watch(12, make_document("norte", 8, deleted=True))
            self.assertEqual(node.evacuated(), ["sur"])

        self.run_test(body)

    def test_object_that_disappears_in_a_list_ends_its_evacuation(self) -> None:
        """Guards against a data centre that stays empty after a compacted watch."""

        async def body() -> None:
            node = Node()
            node.list(10, make_document("norte", 8))
            node.list(20)
            self.assertEqual(node.evacuated(), [])

        self.run_test(body)

    def test_object_that_is_removed_and_written_again_counts(self) -> None:
        async def body() -> None:
            node = Node()
            node.list(10, make_document("norte", 8))
            node.watch(
                14,
                make_document("norte", 8, deleted=True),
                make_document("norte", 13),
            )
            self.assertEqual(node.evacuated(), ["norte"])

        self.run_test(body)

    def test_unchanged_pages_publish_nothing(self) -> None:
        """Guards against a record that is flooded with each poll of the store."""

        async def body() -> None:
            node = Node()
            node.list(10, make_document("norte", 8))
            count = len(node.received)
            for at in range(11, 40):
                node.watch(at)
            self.assertEqual(len(node.received), count)

        self.run_test(body)

    def test_malformed_object_changes_nothing_and_is_logged_once(self) -> None:
        async def body() -> None:
            node = Node()
            node.list(10, make_document("sur", 8))
            for content, name in (({}, "atlantis"), ([], "norte"), (7, "norte")):
                node.watch(11, make_document(name, 11, content))
                node.watch(12, make_document(name, 11, content))
            self.assertEqual(node.evacuated(), ["sur"])
            # The object of an evacuation that is in force becomes malformed.
            node.watch(13, make_document("sur", 13, "x"))
            node.list(14, make_document("sur", 13, "x"))
            self.assertEqual(node.evacuated(), ["sur"])
            codes = [e.fields["code"] for e in node.log.events if "code" in e.fields]
            self.assertEqual(codes, [104, 104, 104])

        self.run_test(body)

    def test_names_of_a_mesh_without_listed_data_centres_are_accepted(self) -> None:
        api = PlatformEvacuationApi(())
        self.assertEqual(api.decode(make_document("a", 1)), "a")
        for name in ("", "x" * 300):
            with self.assertRaises(EvacuationError):
                api.decode(make_document(name, 1))


class TwoReadersTest(EvacuationTestCase):
    """Two readers whose reads interleave, and a third node."""

    def test_records_converge_in_every_order_of_arrival(self) -> None:
        """Guards against a reader that lags behind and ends a new evacuation."""

        async def body() -> None:
            reads = [
                (10, (make_document("norte", 8),)),
                (16, ()),
                (20, (make_document("norte", 18), make_document("sur", 19))),
            ]
            records: set[Record] = set()
            for at, documents in reads:
                reader = Node()
                reader.list(10, make_document("norte", 8))
                reader.list(at, *documents)
                records.update(reader.records())
            for order in itertools.permutations(records):
                node = Node()
                for record in order:
                    node.table.apply(record, "peer")
                self.assertEqual(node.evacuated(), ["norte", "sur"], order)

        self.run_test(body)

    def test_late_record_of_a_lost_reader_does_not_last(self) -> None:
        """Guards against an evacuation whose end only a killed reader had read."""

        async def body() -> None:
            lost, reader = Node(), Node()
            lost.list(10, make_document("norte", 9))
            reader.list(12)
            for record in lost.records():
                reader.table.apply(record, "lost")
            self.assertEqual(reader.evacuated(), ["norte"])
            reader.watch(13)
            self.assertEqual(reader.evacuated(), [])

        self.run_test(body)

    def test_lagging_reader_does_not_end_a_newer_evacuation(self) -> None:
        async def body() -> None:
            ahead, behind = Node(), Node()
            behind.list(10)
            ahead.list(20, make_document("norte", 19))
            for record in ahead.records():
                behind.table.apply(record, "ahead")
            behind.watch(12)
            self.assertEqual(behind.evacuated(), ["norte"])

        self.run_test(body)


class RestoredStoreTest(EvacuationTestCase):
    """The store comes back from an older copy without the object."""

    def test_rule(self) -> None:
        self.assertTrue(accepts_absence(5, 9, 0.0, 0.0))
        self.assertTrue(accepts_absence(ERA + 5, ERA + 9, 0.0, 0.0))
        self.assertFalse(accepts_absence(5, ERA + 2, 100.0, 100.1))
        self.assertTrue(accepts_absence(5, ERA + 2, 100.0, 100.0 + ABSENCE_GRACE_S))

    def test_evacuation_lasts_until_the_operator_had_time_to_write_again(self) -> None:
        """Guards against requests to a data centre whose object the store lost."""

        async def body() -> None:
            node = Node()
            node.list(10, make_document("norte", 9))
            await trio.sleep(5)
            node.list(ERA + 7)
            for at in range(8, 28):
                await trio.sleep(1)
                node.watch(ERA + at)
                self.assertEqual(node.evacuated(), ["norte"])
            await trio.sleep(ABSENCE_GRACE_S)
            node.watch(ERA + 30)
            self.assertEqual(node.evacuated(), [])

        self.run_test(body)

    def test_rewritten_object_is_removed_at_once(self) -> None:
        """Guards against a data centre that stays empty for the grace time."""

        async def body() -> None:
            node = Node()
            node.list(10, make_document("norte", 9))
            node.list(ERA + 7)
            await trio.sleep(2)
            node.watch(ERA + 8, make_document("norte", ERA + 8))
            await trio.sleep(2)
            node.watch(ERA + 9, make_document("norte", ERA + 8, deleted=True))
            self.assertEqual(node.evacuated(), [])

        self.run_test(body)

    def test_reader_that_starts_after_the_restore_does_not_end_it(self) -> None:
        async def body() -> None:
            old, new = Node(), Node()
            old.list(10, make_document("norte", 9))
            new.list(ERA + 7)
            for record in old.records():
                new.table.apply(record, "old")
            for record in new.records():
                old.table.apply(record, "new")
            new.watch(ERA + 8)
            for node in (old, new):
                self.assertEqual(node.evacuated(), ["norte"])

        self.run_test(body)


class StartTest(EvacuationTestCase):
    """A node that has just started."""

    def test_list_of_a_reader_makes_the_evacuations_known(self) -> None:
        """Guards against requests that a new node sends before the records arrive."""

        async def body() -> None:
            reader = Node()
            reader.list(10, make_document("norte", 9))
            (list_record,) = reader.table.of_kind(RecordKind.EVACUATION_LIST)
            node = Node()
            self.assertFalse(node.book.is_known)
            changes: list[bool] = []
            node.book.on_change.append(lambda: changes.append(node.book.is_known))
            node.table.apply(list_record, "reader")
            self.assertEqual(node.evacuated(), ["norte"])
            self.assertEqual(changes, [True])

        self.run_test(body)

    def test_end_of_an_evacuation_ranks_above_the_list(self) -> None:
        async def body() -> None:
            reader, node = Node(), Node()
            reader.list(10, make_document("norte", 9))
            (list_record,) = reader.table.of_kind(RecordKind.EVACUATION_LIST)
            reader.list(12)
            for record in reader.table.of_kind(RecordKind.EVACUATION):
                node.table.apply(record, "reader")
            node.table.apply(list_record, "reader")
            self.assertEqual(node.evacuated(), [])

        self.run_test(body)

    def test_node_serves_when_the_evacuations_are_overdue(self) -> None:
        """Guards against a mesh that serves nothing while it cannot read the kind."""
        node = Node()
        node.book.check_overdue(50.0)
        node.book.check_overdue(50.0 + MAX_UNKNOWN_S - 0.1)
        self.assertFalse(node.book.is_known)
        node.book.check_overdue(50.0 + MAX_UNKNOWN_S)
        self.assertTrue(node.book.is_known)
        self.assertEqual([event.event for event in node.log.events], ["unknown"])

    def test_mesh_without_evacuations_waits_for_and_reads_nothing(self) -> None:
        """Guards against store calls in a mesh that has no such bound."""
        self.assertTrue(Node(is_enabled=False).book.is_known)
        for bounds, count in (([], 0), (["evacuate_ms=5000"], 1)):
            cfg = parse_settings(make_settings(bounds=bounds), "node.json")
            log: Any = MemoryEventLog()
            rng = random.Random(1)
            node = HostedNode(cfg, PlatformAdapter(cfg, rng), log, rng)
            kinds = [topic.kind for topic in node._reader._topics]
            self.assertEqual(kinds.count("evacuations"), count)
