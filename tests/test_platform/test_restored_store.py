"""The client of the store beside a store that comes back from an older copy."""

from __future__ import annotations

import random
import types
import unittest
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import BundleContent, Route, Service
from marigoldchute.errors import (
    CompactedError,
    ConflictError,
    PlatformError,
    UnknownOutcomeError,
)
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.bundle_topic import BundleTopic
from marigoldchute.hosted.catalog import Catalog
from marigoldchute.hosted.reader import StoreReader
from marigoldchute.hosted.rejections import Rejections
from marigoldchute.link.handlers import Handlers
from marigoldchute.objectstore.eras import make_position
from marigoldchute.objectstore.settings import StoreSettings
from marigoldchute.platform.store import PlatformDocumentStore, _parse_era
from marigoldchute.standins.loopback import LoopbackBlock
from tests.support.documents import DocumentStandIn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldchute.objectstore.documents import Document

    Scenario = Callable[[DocumentStandIn, PlatformDocumentStore], Awaitable[None]]

PORT = 9100
KIND = "rollouts"


def make_store(address: str) -> PlatformDocumentStore:
    settings = StoreSettings(address, PORT, 1000.0, 1000.0, 500)
    log: Any = MemoryEventLog()
    return PlatformDocumentStore(settings, random.Random(1), address, log)


class StoreTestCase(unittest.TestCase):
    def run_with_store(self, scenario: Scenario, era: int = 1) -> None:
        """Run a scenario with a store that has three revisions of one document."""
        block = LoopbackBlock()
        address = f"127.{block.number}.1.1"

        async def main() -> None:
            stand_in = DocumentStandIn()
            stand_in.era = era
            for number in range(3):
                stand_in.put(KIND, "a", {"n": number})
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    await nursery.start(stand_in.serve, address, PORT)
                    await scenario(stand_in, make_store(address))
                    nursery.cancel_scope.cancel()

        try:
            trio.run(main)
        finally:
            block.release()


class PositionTest(StoreTestCase):
    def test_revisions_are_positions_of_the_era(self) -> None:
        async def scenario(
            stand_in: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            page = await store.list(KIND)
            self.assertEqual(page.revision, make_position(1, 4))
            self.assertEqual(page.documents[0].revision, make_position(1, 4))
            document = await store.get(KIND, "a")
            written = await store.replace(KIND, "a", {"n": 9}, document.revision)
            self.assertEqual(written.revision, make_position(1, 5))
            changes = await store.changes(KIND, page.revision, 100)
            self.assertEqual(changes.documents[0].content, {"n": 9})
            self.assertEqual(changes.revision, make_position(1, 5))
            self.assertIn("watch=4", stand_in.calls[-1])

        self.run_with_store(scenario)

    def test_store_without_eras_is_used_as_before(self) -> None:
        async def scenario(
            stand_in: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            page = await store.list(KIND)
            self.assertEqual((page.revision, store.era), (4, 0))
            self.assertEqual((await store.write_status(KIND, "a", {}, 4)).revision, 5)

        self.run_with_store(scenario, era=0)

    def test_missing_or_malformed_era_is_that_known_before(self) -> None:
        for values in ([], [b""], [b"-1"], [b"1.0"], [b"x"], [b"9" * 8], [b"1", b"2"]):
            headers = [(b"Store-Era", value) for value in values]
            self.assertIsNone(_parse_era(headers))
        self.assertIsNone(_parse_era([(b"store-era", b"\xb2")]))
        self.assertEqual(_parse_era([(b"Store-Era", b" 12 ")]), 12)
        self.assertEqual(_parse_era([(b"store-era", b"3"), (b"store-era", b"3")]), 3)


class RestoredTest(StoreTestCase):
    def test_watch_from_an_earlier_era_is_not_sent(self) -> None:
        """Its bare revision may exist in the new era, with another history."""

        async def scenario(
            stand_in: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            position = (await store.list(KIND)).revision
            stand_in.restore(stand_in.take_copy())
            stand_in.put(KIND, "a", {"n": 10})
            await store.get(KIND, "a")  # The response states the new era.
            calls = len(stand_in.calls)
            with self.assertRaises(CompactedError):
                await store.changes(KIND, position, 0)
            self.assertEqual(len(stand_in.calls), calls)

        self.run_with_store(scenario)

    def test_watch_that_is_answered_in_a_new_era_is_compacted(self) -> None:
        """The store has the revision again, but not the changes before it."""

        async def scenario(
            stand_in: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            copy = stand_in.take_copy()
            stand_in.put(KIND, "a", {"n": 10})
            position = (await store.list(KIND)).revision
            stand_in.restore(copy)
            stand_in.put(KIND, "b", {"n": 11})
            stand_in.put(KIND, "c", {"n": 12})
            with self.assertRaises(CompactedError):
                await store.changes(KIND, position, 0)
            self.assertEqual(store.era, 2)
            page = await store.list(KIND)
            self.assertEqual({d.name for d in page.documents}, {"a", "b", "c"})
            self.assertGreater(page.revision, position)

        self.run_with_store(scenario)

    def test_condition_of_an_earlier_era_is_a_conflict_and_not_sent(self) -> None:
        async def scenario(
            stand_in: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            document = await store.get(KIND, "a")
            stand_in.restore(stand_in.take_copy())
            await store.list(KIND)
            calls = len(stand_in.calls)
            for write in (store.replace, store.write_status):
                with self.assertRaises(ConflictError):
                    await write(KIND, "a", {}, document.revision)
            self.assertEqual(len(stand_in.calls), calls)

        self.run_with_store(scenario)

    def test_write_that_is_confirmed_in_a_new_era_has_an_unknown_outcome(self) -> None:
        """Its condition matched a revision that was assigned to another change."""

        async def scenario(
            stand_in: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            document = await store.get(KIND, "a")
            stand_in.restore(stand_in.take_copy())
            with self.assertRaises(UnknownOutcomeError):
                await store.write_status(KIND, "a", {"s": 1}, document.revision)
            self.assertEqual(store.era, 2)

        self.run_with_store(scenario)

    def test_late_responses_of_an_older_era_are_not_used(self) -> None:
        async def scenario(
            stand_in: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            stand_in.era = 2
            document = await store.get(KIND, "a")
            stand_in.era = 1
            for read in (store.list(KIND), store.get(KIND, "a")):
                with self.assertRaises(PlatformError):
                    await read
            with self.assertRaises(CompactedError):
                await store.changes(KIND, document.revision, 0)
            for write in (
                store.create(KIND, "b", {}),
                store.replace(KIND, "a", {}, document.revision),
                store.delete(KIND, "a"),
            ):
                with self.assertRaises(UnknownOutcomeError):
                    await write
            self.assertEqual(store.era, 2)

        self.run_with_store(scenario)

    def test_restoration_is_reported_once(self) -> None:
        async def scenario(
            stand_in: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            reported: list[int] = []
            store.on_restored.append(lambda: reported.append(store.era))
            await store.list(KIND)
            stand_in.restore(stand_in.take_copy())
            await store.list(KIND)
            await store.list(KIND)
            self.assertEqual(reported, [2])
            self.assertEqual(store.restorations, 1)

        self.run_with_store(scenario)

    def test_refusal_states_the_era_as_well(self) -> None:
        async def scenario(
            stand_in: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            await store.list(KIND)
            stand_in.restore(stand_in.take_copy())
            with self.assertRaises(PlatformError):
                await store.get(KIND, "missing")
            self.assertEqual(store.era, 2)

        self.run_with_store(scenario)


class _VersionApi:
    kind, name = "config", "main"

    def decode(self, document: Document) -> tuple[int, BundleContent]:
        version = document.content["version"]
        route = Route("a", f"/{version}/", "turnos")
        return version, BundleContent((Service("turnos", ""),), (route,))


class FollowTest(StoreTestCase):
    """A reader follows the bundle while the store is away and comes back older."""

    def make_reader(self, store: PlatformDocumentStore) -> tuple[StoreReader, Catalog]:
        log: Any = MemoryEventLog()
        catalog = Catalog(InForce(), log)
        topic = BundleTopic(_VersionApi(), catalog, Rejections(), log)
        duty: Any = types.SimpleNamespace(is_reader=lambda now: True)
        no_overlay: Any = None
        reader = StoreReader(
            store, [topic], duty, no_overlay, Handlers(), log, random.Random(1)
        )
        return reader, catalog

    async def wait_for(self, is_true: Callable[[], bool]) -> None:
        with trio.fail_after(8):
            while not is_true():
                await trio.sleep(0.02)

    def test_lost_version_stays_in_force_and_later_ones_are_read(self) -> None:
        async def scenario(
            stand_in: DocumentStandIn, store: PlatformDocumentStore
        ) -> None:
            reader, catalog = self.make_reader(store)
            versions: list[int] = []
            catalog.on_update.append(lambda bundle: versions.append(bundle.version))
            stand_in.put("config", "main", {"version": 1})
            copy = stand_in.take_copy()
            stand_in.put("config", "main", {"version": 2})
            async with trio.open_nursery() as nursery:
                reader.start_topics(nursery)
                await self.wait_for(lambda: catalog.version == 2)
                stand_in.faults.refused_status = 503
                await trio.sleep(0.5)
                stand_in.restore(copy)
                stand_in.faults.refused_status = 0
                await self.wait_for(lambda: catalog.ignored_count > 0)
                self.assertEqual(catalog.version, 2)
                stand_in.put("config", "main", {"version": 2})
                await self.wait_for(lambda: catalog.revision > make_position(2, 1))
                stand_in.put("config", "main", {"version": 3})
                await self.wait_for(lambda: catalog.version == 3)
                nursery.cancel_scope.cancel()
            self.assertEqual(versions, [2, 3])

        self.run_with_store(scenario)


class _ChangingCaller:
    """Caller of a store that is restored between two pages of a list."""

    def __init__(self, store: PlatformDocumentStore) -> None:
        self._store = store
        self._count = 0

    async def call_timed(
        self, decode: Callable[..., Any], method: str, path: str, on_piece: Any = None
    ) -> tuple[Any, float]:
        self._count += 1
        item = {"metadata": {"name": f"n{self._count}", "revision": 1}}
        page = {"items": [item], "at": 5, "more": self._count == 1}
        self._store._record_response([(b"store-era", b"%d" % self._count)])
        return decode(msgspec.json.encode(page), method=method), 0.0


class PagesTest(unittest.TestCase):
    def test_list_with_pages_of_two_eras_is_read_again(self) -> None:
        store = make_store("127.0.0.1")
        store._caller = _ChangingCaller(store)  # type: ignore[assignment]
        with self.assertRaises(PlatformError):
            trio.run(store.list, KIND)
        self.assertEqual(store.era, 2)


if __name__ == "__main__":
    unittest.main()
