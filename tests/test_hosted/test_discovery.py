"""Entries of members in the store, among them odd ones of another writer."""

from __future__ import annotations

import random
import unittest
from typing import Any

import trio
import trio.testing

from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.directory import Directory
from marigoldchute.hosted.discovery import MEMBER_KIND, Discovery
from marigoldchute.hosted.rejections import MAX_REMEMBERED, Rejections
from marigoldchute.membership.model import Member
from marigoldchute.objectstore.documents import Document, DocumentPage
from marigoldchute.overlay.records import RecordTable
from marigoldchute.platform.objects import MalformedObject, decode_page
from tests.support.odd_entries import ODD_CONTENTS, make_object, make_page

LIST_ROUNDS_S = 40.0


class _ListedStore:
    min_latency_s = 0.004

    def __init__(self, documents: list[Document]) -> None:
        self.documents = documents
        self.lists = 0

    async def create(self, kind: str, name: str, content: Any) -> Document:
        return Document(kind, name, 1, content)

    async def list(self, kind: str, stale_allowed: bool = False) -> DocumentPage:
        self.lists += 1
        return DocumentPage(tuple(self.documents), 9)


def make_documents() -> list[Document]:
    """Return an entry of a member between odd entries, as the adapter decodes them."""
    good = make_object("vm-2", b'{"address": "10.0.0.2", "peer_port": 7600}')
    odd = [make_object(f"odd-{i}", text) for i, text in enumerate(ODD_CONTENTS)]
    page = decode_page(make_page(*odd[:4], good, *odd[4:]), "GET")
    return [
        Document(
            MEMBER_KIND,
            item.metadata.name,
            item.metadata.revision,
            item.spec,
            error=item.error if isinstance(item, MalformedObject) else "",
        )
        for item in page.items
    ]


class OddEntryTest(unittest.TestCase):
    def test_odd_entries_are_logged_once_and_the_others_are_used(self) -> None:
        log = MemoryEventLog()
        local = Member("vm-1", 1, 0, "10.0.0.1", 7600, "a", "r")
        directory = Directory(local, RecordTable(), log)  # type: ignore[arg-type]
        rejections = Rejections()
        store = _ListedStore(make_documents())
        discovery = Discovery(
            store,  # type: ignore[arg-type]
            directory,
            rejections,
            log,  # type: ignore[arg-type]
            random.Random(1),
        )

        async def main() -> None:
            with trio.move_on_after(LIST_ROUNDS_S):
                await discovery.run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertGreater(store.lists, 2)
        self.assertEqual(directory.seeds(), [("10.0.0.2", 7600)])
        self.assertEqual(rejections.count, len(ODD_CONTENTS))
        events = [event.event for event in log.events]
        self.assertEqual(events.count("entry_malformed"), len(ODD_CONTENTS))


class RejectionsTest(unittest.TestCase):
    def test_each_revision_is_new_once_and_memory_is_bounded(self) -> None:
        rejections = Rejections()
        for revision in (3, 3, 4, 4):
            rejections.is_new(Document("k", "a", revision, None))
        self.assertEqual(rejections.count, 2)
        for index in range(3 * MAX_REMEMBERED):
            rejections.is_new(Document("k", f"n-{index}", 1, None))
        self.assertEqual(len(rejections._revisions), MAX_REMEMBERED)
