"""Client of the platform's store against a stand-in store with faults."""

from __future__ import annotations

import random
import unittest
import urllib.parse
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from marigoldchute.errors import (
    CompactedError,
    ConflictError,
    NotFoundError,
    PlatformError,
    UnknownOutcomeError,
)
from marigoldchute.objectstore.settings import StoreSettings
from marigoldchute.platform.store import PlatformDocumentStore
from marigoldchute.standins.loopback import LoopbackBlock
from tests.support.documents import DocumentStandIn
from tests.support.odd_entries import DEEP, make_object, make_page
from tests.support.servers import PORT as SCRIPT_PORT
from tests.support.servers import read_request, serve_script

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldchute.objectstore.documents import DocumentPage

PORT = 8627
MIN_NAMED_PARTS = 4  # Of a path; one with a name has more.


class StoreTestCase(unittest.TestCase):
    def run_with_store(
        self,
        scenario: Callable[[DocumentStandIn, PlatformDocumentStore], Awaitable[None]],
    ) -> None:
        async def main() -> None:
            block = LoopbackBlock()
            address = f"127.{block.number}.200.1"
            settings = StoreSettings(address, PORT, 1000.0, 1000.0, 500)
            standin = DocumentStandIn()
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    await nursery.start(standin.serve, address, PORT)
                    store = PlatformDocumentStore(settings, random.Random(1), address)
                    await scenario(standin, store)
                    nursery.cancel_scope.cancel()
            block.release()

        trio.run(main)


class DocumentTest(StoreTestCase):
    def test_documents_are_created_listed_replaced_and_deleted(self) -> None:
        async def scenario(
            standin: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            first = await store.create("members", "a b/c", {"x": 1})
            with self.assertRaises(ConflictError):
                await store.create("members", "a b/c", {"x": 2})
            second = await store.replace("members", "a b/c", {"x": 3}, first.revision)
            with self.assertRaises(ConflictError):
                await store.replace("members", "a b/c", {"x": 4}, first.revision)
            page = await store.list("members")
            self.assertEqual([d.content for d in page.documents], [{"x": 3}])
            self.assertEqual(page.documents[0].revision, second.revision)
            await store.delete("members", "a b/c")
            await store.delete("members", "a b/c")
            with self.assertRaises(NotFoundError):
                await store.get("members", "a b/c")

        self.run_with_store(scenario)

    def test_status_is_written_only_under_the_present_revision(self) -> None:
        async def scenario(
            standin: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            standin.put("orders", "s", {"to": "v2"})
            read = await store.get("orders", "s")
            written = await store.write_status("orders", "s", {"a": 1}, read.revision)
            self.assertEqual(written.content, {"to": "v2"})
            with self.assertRaises(ConflictError):
                await store.write_status("orders", "s", {"a": 2}, read.revision)
            self.assertEqual(standin.status_of("orders", "s"), {"a": 1})

        self.run_with_store(scenario)

    def test_watch_returns_changes_and_reports_a_compacted_history(self) -> None:
        async def scenario(
            standin: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            standin.put("config", "main", {"v": 1})
            page = await store.list("config")
            empty = await store.changes("config", page.revision, 50)
            self.assertEqual(empty.documents, ())
            standin.put("config", "main", {"v": 2})
            changed = await store.changes("config", page.revision, 1000)
            self.assertEqual([d.content for d in changed.documents], [{"v": 2}])
            standin.compact()
            with self.assertRaises(CompactedError):
                await store.changes("config", page.revision, 1000)

        self.run_with_store(scenario)


class FaultTest(StoreTestCase):
    def test_lost_response_to_a_write_is_an_unknown_outcome(self) -> None:
        async def scenario(
            standin: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            standin.faults.lose_replies = 1
            with self.assertRaises(UnknownOutcomeError):
                await store.create("members", "a", {})
            self.assertEqual(standin.names("members"), ["a"])

        self.run_with_store(scenario)

    def test_call_to_an_unavailable_store_fails_before_the_timeout(self) -> None:
        async def scenario(
            standin: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            for faults in ({"silent": True}, {"refused_status": 503}):
                for name, value in faults.items():
                    setattr(standin.faults, name, value)
                with self.assertRaises(PlatformError), trio.fail_after(2.0):
                    await store.list("members")

        self.run_with_store(scenario)


class SecondCopyTest(unittest.TestCase):
    """A store that writes each of its responses twice."""

    def run_with_copies(
        self, scenario: Callable[[PlatformDocumentStore], Awaitable[None]]
    ) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            while request := await read_request(stream):
                parts = urllib.parse.unquote(request.split()[1].decode()).split("/")
                content = request.partition(b"\r\n\r\n")[2]
                is_named = len(parts) > MIN_NAMED_PARTS
                name = (
                    parts[MIN_NAMED_PARTS]
                    if is_named
                    else msgspec.json.decode(content)["metadata"]["name"]
                )
                body = make_object(name, b"1")
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(body), body)
                    * 2
                )

        async def main() -> None:
            with trio.fail_after(10):
                async with serve_script(serve) as address:
                    settings = StoreSettings(address, SCRIPT_PORT, 1000.0, 1000.0, 900)
                    rng = random.Random(1)
                    await scenario(PlatformDocumentStore(settings, rng, address))

        trio.run(main)

    # Guards against the document of another call, when the response to that call is
    # read once more on its connection.
    def test_document_of_another_name_is_not_the_one_that_was_read(self) -> None:
        async def scenario(store: PlatformDocumentStore) -> None:
            for name in ("a", "b", "c d", "e"):
                self.assertEqual((await store.get("members", name)).name, name)

        self.run_with_copies(scenario)

    # Guards against a write that is taken for done, when the response to another call
    # is read once more on its connection.
    def test_document_of_another_name_confirms_no_write(self) -> None:
        async def scenario(store: PlatformDocumentStore) -> None:
            for write in (store.replace, store.write_status):
                await store.get("members", "a")
                with self.assertRaises(UnknownOutcomeError):
                    await write("members", "b", {}, 1)
            await store.get("members", "a")
            with self.assertRaises(UnknownOutcomeError):
                await store.create("members", "b", {})

        self.run_with_copies(scenario)


class _PagedCaller:
    """Caller of a store whose list is split into pages."""

    def __init__(self, pages: list[bytes]) -> None:
        self.paths: list[str] = []
        self._pages = pages

    async def call_timed(
        self, decode: Callable[..., Any], method: str, path: str, on_piece: Any = None
    ) -> tuple[Any, float]:
        self.paths.append(path)
        page = self._pages[min(len(self.paths), len(self._pages)) - 1]
        return decode(page, method=method), 0.0


class ListTest(unittest.TestCase):
    """Lists that another writer, or the store itself, makes hard to read."""

    def list_pages(self, *pages: bytes) -> tuple[DocumentPage, list[str]]:
        settings = StoreSettings("127.0.0.1", PORT, 1000.0, 1000.0, 500)
        store = PlatformDocumentStore(settings, random.Random(1), "127.0.0.1")
        caller = _PagedCaller(list(pages))
        store._caller = caller  # type: ignore[assignment]
        return trio.run(store.list, "members"), caller.paths

    def test_watch_continues_from_the_first_page(self) -> None:
        """A change between two pages may concern an entry of the first one."""
        page, paths = self.list_pages(
            make_page(make_object("a", b"1"), at=b"5", more=b"true"),
            make_page(make_object("b", b"2"), at=b"9"),
        )
        self.assertEqual(page.revision, 5)
        self.assertEqual([d.name for d in page.documents], ["a", "b"])
        self.assertTrue(paths[1].endswith("after=a"))

    def test_odd_last_entry_does_not_end_the_list(self) -> None:
        page, paths = self.list_pages(
            make_page(make_object("a", DEEP), at=b"5", more=b"true"),
            make_page(make_object("b", b"2"), at=b"9"),
        )
        self.assertEqual([d.name for d in page.documents], ["a", "b"])
        self.assertTrue(page.documents[0].error)
        self.assertTrue(paths[1].endswith("after=a"))

    def test_list_that_never_ends_raises_an_error(self) -> None:
        for more in (b"true", b"1"):
            with self.assertRaises(PlatformError):
                self.list_pages(make_page(make_object("a", b"1"), more=more))
