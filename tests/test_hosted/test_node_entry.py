"""Entry of a node in the store and the leaves that it keeps."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING, Any

import trio
import trio.testing

from marigoldchute.errors import (
    ConflictError,
    PlatformError,
    UnknownOutcomeError,
)
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.directory import Directory
from marigoldchute.hosted.node_entry import (
    LEAVE_STORE_TIMEOUT_S,
    MAX_STORED_LEAVES,
    Leave,
    NodeEntry,
    merge_leaves,
)
from marigoldchute.membership.model import Member
from marigoldchute.objectstore.documents import Document
from marigoldchute.overlay.records import RecordTable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

NAME = "vm-1"
ADDRESS = {"address": "10.0.0.1", "peer_port": 7600}
LEAVE = Leave("i-1", 1_000)


class FakeStore:
    """Store with one document, whose next calls may fail."""

    def __init__(self) -> None:
        self.content: Any = None
        self.revision = 0
        self.calls: list[str] = []
        # Raised by the next calls; an ``UnknownOutcomeError`` after the write.
        self.errors: list[PlatformError | None] = []

    async def create(self, kind: str, name: str, content: Any) -> Document:
        if self.content is not None:
            self.calls.append("create")
            raise ConflictError("exists")
        return self._write("create", content)

    async def get(self, kind: str, name: str) -> Document:
        self.calls.append("get")
        return Document(kind, name, self.revision, self.content)

    async def replace(
        self, kind: str, name: str, content: Any, expected_revision: int
    ) -> Document:
        if expected_revision != self.revision:
            self.calls.append("replace")
            raise ConflictError("changed")
        return self._write("replace", content)

    async def delete(self, kind: str, name: str) -> None:
        self.content = None

    def _write(self, call: str, content: Any) -> Document:
        self.calls.append(call)
        error = self.errors.pop(0) if self.errors else None
        if error is None or isinstance(error, UnknownOutcomeError):
            self.content = content
            self.revision += 1
        if error is not None:
            raise error
        return Document("k", NAME, self.revision, content)


class EntryTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        self.loaded: list[tuple[Leave, ...]] = []

    def make_entry(self) -> NodeEntry:
        log = MemoryEventLog()
        local = Member(NAME, 1, 0, "10.0.0.1", 7600, "a", "r")
        directory = Directory(local, RecordTable(), log)  # type: ignore[arg-type]
        entry = NodeEntry(
            self.store,  # type: ignore[arg-type]
            directory,
            log,  # type: ignore[arg-type]
            random.Random(1),
        )
        entry.on_loaded = self.loaded.append
        return entry

    def run_entry(self, body: Callable[[NodeEntry], Awaitable[None]]) -> None:
        async def main() -> None:
            entry = self.make_entry()
            async with trio.open_nursery() as nursery:
                await entry.load()
                nursery.start_soon(entry.run)
                await body(entry)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class LoadTest(EntryTestCase):
    async def ignore(self, entry: NodeEntry) -> None:
        """Do nothing beyond loading."""

    def test_first_start_creates_the_entry_with_one_call(self) -> None:
        self.run_entry(self.ignore)
        self.assertEqual(self.store.calls, ["create"])
        self.assertEqual(self.store.content, ADDRESS)
        self.assertEqual(self.loaded, [()])

    def test_restart_reads_the_leaves_and_writes_nothing(self) -> None:
        content = ADDRESS | {"left": [{"instance": "i-1", "born_ms": 1_000}]}
        self.store.content = content
        self.run_entry(self.ignore)
        self.assertEqual(self.store.calls, ["create", "get"])
        self.assertEqual(self.loaded, [(LEAVE,)])

    def test_new_address_keeps_the_leaves(self) -> None:
        left = [{"instance": "i-1", "born_ms": 1_000}]
        self.store.content = ADDRESS | {"address": "10.9.9.9", "left": left}
        self.run_entry(self.ignore)
        self.assertEqual(self.store.content, ADDRESS | {"left": left})

    def test_malformed_entry_is_replaced(self) -> None:
        for odd in (5, "x", {"address": 3}, ADDRESS | {"left": [{"instance": "i"}]}):
            with self.subTest(odd):
                self.setUp()
                self.store.content = odd
                self.run_entry(self.ignore)
                self.assertEqual(self.store.content, ADDRESS)


class StoreLeaveTest(EntryTestCase):
    """Guards against an acknowledgement of a leave that does not outlast the node."""

    def stored(self) -> list[Any]:
        return list(self.store.content.get("left", []))

    def test_leave_is_confirmed_once_it_is_in_the_store(self) -> None:
        async def body(entry: NodeEntry) -> None:
            self.assertTrue(await entry.store_leave(LEAVE))
            self.assertEqual(self.stored(), [{"instance": "i-1", "born_ms": 1_000}])
            calls = len(self.store.calls)
            self.assertTrue(await entry.store_leave(LEAVE))
            self.assertTrue(await entry.store_leave(Leave("i-1", 900)))
            self.assertEqual(len(self.store.calls), calls)

        self.run_entry(body)

    def test_refused_write_is_not_confirmed_until_it_has_succeeded(self) -> None:
        async def body(entry: NodeEntry) -> None:
            self.store.errors = [PlatformError("down")] * 5
            started_at = trio.current_time()
            self.assertFalse(await entry.store_leave(LEAVE))
            elapsed_s = trio.current_time() - started_at
            self.assertLess(elapsed_s, LEAVE_STORE_TIMEOUT_S + 0.01)
            await trio.sleep(2.0)
            calls = len(self.store.calls)
            self.assertTrue(await entry.store_leave(LEAVE))
            self.assertEqual(len(self.store.calls), calls)

        self.run_entry(body)

    def test_lost_response_is_resolved_by_reading(self) -> None:
        async def body(entry: NodeEntry) -> None:
            self.store.errors = [UnknownOutcomeError("lost")]
            self.assertTrue(await entry.store_leave(LEAVE))
            self.assertEqual(self.store.calls[-3:], ["replace", "create", "get"])

        self.run_entry(body)

    def test_leave_is_added_to_what_another_process_wrote(self) -> None:
        async def body(entry: NodeEntry) -> None:
            left = [{"instance": "i-0", "born_ms": 5}]
            self.store.content = ADDRESS | {"left": left}
            self.store.revision += 1
            self.assertTrue(await entry.store_leave(LEAVE))
            self.assertEqual(
                [item["instance"] for item in self.stored()], ["i-0", "i-1"]
            )

        self.run_entry(body)

    def test_deleted_entry_is_created_again_unless_the_vm_is_removed(self) -> None:
        for removed in (False, True):

            async def body(entry: NodeEntry, removed: bool = removed) -> None:
                if removed:
                    await entry.remove()
                    self.assertFalse(await entry.store_leave(LEAVE))
                    self.assertIsNone(self.store.content)
                else:
                    self.store.content, self.store.revision = None, 7
                    self.assertTrue(await entry.store_leave(LEAVE))
                    self.assertEqual(len(self.stored()), 1)

            with self.subTest(removed=removed):
                self.setUp()
                self.run_entry(body)


class MergeTest(unittest.TestCase):
    def test_last_leaves_are_kept_once(self) -> None:
        leaves = [Leave(f"i-{i}", 10) for i in range(9)]
        self.assertEqual(merge_leaves(leaves, ()), tuple(leaves[-MAX_STORED_LEAVES:]))
        later, earlier = Leave("i-1", 20), Leave("i-1", 10)
        self.assertEqual(merge_leaves((earlier,), (later, earlier)), (later,))
        self.assertEqual(merge_leaves((later,), (earlier,)), (later,))
