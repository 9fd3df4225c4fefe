"""Selection of store readers and their leader as members join, leave or stop."""

from __future__ import annotations

import random
import types
import unittest
from typing import Any

import msgspec
import trio
import trio.testing

from marigoldchute.errors import PlatformError
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.reader import SLOW_TRANSFER_S, StoreReader
from marigoldchute.hosted.reader_duty import (
    BEACON_TIMEOUT_S,
    MAX_REPAIR_LINKS,
    NO_PEERS_DELAY_S,
    NUM_READERS,
    Beacon,
    ReaderDuty,
)
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.methods import Method
from marigoldchute.membership.model import Member
from marigoldchute.objectstore.documents import DocumentPage
from marigoldchute.platform.settings import STORE_TIMEOUT_MS

NAMES = [f"vm-{i}" for i in range(8)]


class FakeDirectory:
    """Members that one node knows and can reach."""

    def __init__(self, name: str, names: list[str], near: set[str]) -> None:
        self._members = [
            Member(n, 1, 1, "a", 1, "dc", "r", store_ms=5 if n in near else 65)
            for n in names
        ]
        self.lost: set[str] = set()
        self.local = next(m for m in self._members if m.name == name)

    def reachable(self) -> list[Member]:
        return [member for member in self._members if member.name not in self.lost]

    def all(self) -> list[Member]:
        return self._members

    @property
    def is_isolated(self) -> bool:
        return len(self.reachable()) <= 1


def make_duties(names: list[str], near: set[str]) -> dict[str, ReaderDuty]:
    return {n: ReaderDuty(FakeDirectory(n, names, near)) for n in names}  # type: ignore[arg-type]


class ReaderDutyTest(unittest.TestCase):
    def test_two_members_near_the_store_are_readers(self) -> None:
        near = set(NAMES[:4])
        duties = make_duties(NAMES, near)
        readers = {n for n, duty in duties.items() if duty.is_reader(0.1)}
        self.assertEqual(len(readers), NUM_READERS)
        self.assertLessEqual(readers, near)

    def test_backups_then_all_members_read_without_beacons(self) -> None:
        duties = make_duties(NAMES, set(NAMES))
        for duty in duties.values():
            duty.record_beacon("vm-0", 10.0)
        self.assertEqual(sum(d.is_reader(10.1) for d in duties.values()), NUM_READERS)
        after_timeout = 10.0 + BEACON_TIMEOUT_S + 0.1
        reading = sum(d.is_reader(after_timeout) for d in duties.values())
        self.assertGreater(reading, NUM_READERS)
        self.assertLess(reading, len(NAMES))
        after_backup_delay = 10.0 + NO_PEERS_DELAY_S + 0.1
        self.assertTrue(all(d.is_reader(after_backup_delay) for d in duties.values()))

    def test_backups_read_at_once_when_the_readers_stop(self) -> None:
        # Guards against nodes that wait for the beacons of a reader that reads no more.
        duties = make_duties(NAMES, set(NAMES))
        readers = [n for n, duty in duties.items() if duty.is_reader(0.0)]
        for duty in duties.values():
            for name in readers:
                duty.record_beacon(name, 10.0)
                duty.record_stop(name, 10.2)
        reading = [n for n, duty in duties.items() if duty.is_reader(10.3)]
        self.assertGreater(len(reading), NUM_READERS)
        self.assertEqual(duties["vm-7"].active_readers(10.2), [])

    def test_two_members_that_stand_in_do_not_both_stop(self) -> None:
        # Guards against a mesh that no member reads while backups hear each other.
        duties = make_duties(NAMES, set(NAMES))
        readers = [n for n, duty in duties.items() if duty.is_reader(0.0)]
        now = BEACON_TIMEOUT_S + 0.1
        backups = [n for n, duty in duties.items() if duty.is_reader(now)]
        backups = [name for name in backups if name not in readers]
        for name in backups:
            for other in backups:
                if other != name:
                    duties[name].record_beacon(other, now)
        reading = [n for n in backups if duties[n].is_reader(now + 0.1)]
        self.assertEqual(len(reading), NUM_READERS)

    def test_reader_that_hears_no_other_reader_links_to_other_data_centres(
        self,
    ) -> None:
        # Guards against two parts with a reader each that never link to each other.
        duties = make_duties(NAMES, set(NAMES)).values()
        duty = next(duty for duty in duties if duty.is_reader(0.0))
        for place, member in enumerate(duty.directory.reachable()):
            data_centre = "dc" if member is duty.directory.local else f"dc-{place % 2}"
            object.__setattr__(member, "data_centre", data_centre)
        duty.record_beacon("vm-0", 10.0)
        self.assertEqual(duty.next_repair_peers(10.1), [])
        later = 10.0 + BEACON_TIMEOUT_S + 0.1
        rounds = [duty.next_repair_peers(later) for _ in range(MAX_REPAIR_LINKS + 1)]
        self.assertEqual([len(names) for names in rounds], [2, 2, 2, 0])
        names = {name for names in rounds for name in names}
        self.assertEqual(len(names - {duty.directory.local.name}), 2 * MAX_REPAIR_LINKS)

    def test_backups_wait_for_first_beacons_after_start(self) -> None:
        duties = make_duties(NAMES, set(NAMES))
        for duty in duties.values():
            duty.start_timeout(1_000.0)
        self.assertEqual(
            sum(d.is_reader(1_000.5) for d in duties.values()), NUM_READERS
        )

    def test_isolated_node_is_reader(self) -> None:
        duty = make_duties(["vm-7"], set())["vm-7"]
        self.assertTrue(duty.is_reader(0.0))

    def test_exactly_one_active_reader_is_leader(self) -> None:
        duties = make_duties(NAMES, set(NAMES))
        readers = [n for n, duty in duties.items() if duty.is_reader(0.1)]
        for name in readers:
            for other in readers:
                if other != name:
                    duties[name].record_beacon(other, 1.0)
        self.assertEqual(sum(duties[n].is_leader(True, 1.1) for n in readers), 1)
        expired = 1.0 + BEACON_TIMEOUT_S + 0.1
        self.assertTrue(all(duties[n].is_leader(True, expired) for n in readers))

    def test_one_member_is_leader_without_active_reader(self) -> None:
        duties = make_duties(NAMES, set(NAMES))
        for duty in duties.values():
            duty.record_beacon("vm-0", 1.0)
        expired = 1.0 + BEACON_TIMEOUT_S + 0.1
        leaders = [n for n, duty in duties.items() if duty.is_leader(False, expired)]
        self.assertEqual(len(leaders), 1)
        for name, duty in duties.items():
            informed = {name, *duty.leader_candidates(expired)}
            self.assertIn(leaders[0], informed)

    def test_member_reaching_a_minority_is_leader_only_while_it_reads(self) -> None:
        duties = make_duties(NAMES, set(NAMES))
        for name, duty in duties.items():
            duty.directory.lost = set(NAMES) - {name, "vm-1", "vm-2"}  # type: ignore[attr-defined]
            self.assertFalse(duty.is_leader(False, 10.0))
            self.assertTrue(duty.is_leader(True, 10.0))

    def test_node_that_has_just_started_does_not_lead(self) -> None:
        # Guards against orders that are driven by a node which knows no state yet.
        duty = make_duties(NAMES, set(NAMES))["vm-7"]
        duty.start_timeout(100.0)
        duty.directory.lost = set(NAMES) - {"vm-7"}  # type: ignore[attr-defined]
        self.assertFalse(duty.is_leader(True, 100.1))
        self.assertFalse(duty.is_leader(True, 100.0 + 2 * NO_PEERS_DELAY_S))
        duty.directory.lost = set(NAMES) - {"vm-6", "vm-7"}  # type: ignore[attr-defined]
        self.assertFalse(duty.is_leader(True, 110.0))
        self.assertTrue(duty.is_leader(True, 110.1 + BEACON_TIMEOUT_S))

    def test_only_member_leads_after_its_start(self) -> None:
        duty = make_duties(["vm-7"], set())["vm-7"]
        duty.start_timeout(100.0)
        self.assertFalse(duty.is_leader(True, 100.1))
        self.assertTrue(duty.is_leader(True, 100.0 + NO_PEERS_DELAY_S))

    def test_repeated_or_older_beacon_is_not_newer(self) -> None:
        duty = make_duties(NAMES, set(NAMES))["vm-7"]
        self.assertTrue(duty.is_newer(Beacon("vm-0", 5, 1)))
        self.assertFalse(duty.is_newer(Beacon("vm-0", 5, 1)))
        self.assertFalse(duty.is_newer(Beacon("vm-0", 4, 9)))
        self.assertTrue(duty.is_newer(Beacon("vm-0", 5, 2)))
        self.assertTrue(duty.is_newer(Beacon("vm-0", 6, 0)))


class RelayedBeaconTest(unittest.TestCase):
    """Beacons are relayed in a mesh too large for links between all pairs."""

    def test_new_beacon_is_relayed_once_to_the_other_neighbours(self) -> None:
        sent: list[str] = []

        class FakeLink:
            def __init__(self, name: str) -> None:
                self.peer = types.SimpleNamespace(name=name)

            def notify(self, method: int, body: bytes) -> None:
                sent.append(self.peer.name)

        links = [FakeLink("vm-1"), FakeLink("vm-3")]
        for is_full_mesh, expected in ((False, ["vm-3"]), (True, [])):
            sent.clear()
            directory: Any = FakeDirectory("vm-2", NAMES, set(NAMES))
            directory.is_full_mesh = is_full_mesh
            duty = ReaderDuty(directory)
            overlay: Any = types.SimpleNamespace(
                flood_links=lambda source="": [
                    link for link in links if link.peer.name != source
                ]
            )
            handlers = Handlers()
            unused: Any = None
            StoreReader(unused, [], duty, overlay, handlers, unused, unused)
            handler: Any = handlers.find(Method.READER_BEACON)
            body = msgspec.msgpack.encode(Beacon("vm-0", 1, 1))

            async def deliver(
                handler: Any = handler, body: bytes = body, duty: ReaderDuty = duty
            ) -> None:
                for _ in range(2):
                    await handler(links[0], body)
                now = trio.current_time()
                self.assertEqual(duty.active_readers(now), ["vm-0"])

            trio.run(deliver)
            self.assertEqual(sent, expected)


class FakeTopic:
    """Documents of one kind."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.revision = 0

    def applied_revision(self) -> int:
        return self.revision

    def apply_page(self, page: DocumentPage, is_full_list: bool) -> None:
        self.revision = page.revision


class SlowStore:
    """Store that needs some time for the list of one kind."""

    def __init__(self, slow_kind: str) -> None:
        self.slow_kind = slow_kind
        self.listed: list[str] = []

    async def list(self, kind: str, on_piece: Any = None) -> DocumentPage:
        await trio.sleep(0.3 if kind == self.slow_kind else 0.01)
        self.listed.append(kind)
        return DocumentPage((), 7)

    async def changes(
        self, kind: str, position: int, wait_ms: int, on_piece: Any = None
    ) -> DocumentPage:
        await trio.sleep(wait_ms / 1000)
        return DocumentPage((), position)


class SettledReaderTest(unittest.TestCase):
    """A node that has been running for long takes over from the readers."""

    def test_node_that_becomes_a_reader_late_leads_at_once(self) -> None:
        # Guards against a mesh without a leader while a settled node takes over.
        duty = make_duties(NAMES, set(NAMES))["vm-7"]
        unused: Any = None
        reader = StoreReader(
            unused, [], duty, unused, Handlers(), MemoryEventLog(), unused
        )

        async def main() -> None:
            duty.start_timeout(trio.current_time())
            with trio.move_on_after(2 * BEACON_TIMEOUT_S):
                while True:
                    for name in NAMES[:2]:
                        duty.record_beacon(name, trio.current_time())
                    with trio.move_on_after(1.0):
                        await reader.run()
            duty.directory.lost = set(NAMES[:2])  # type: ignore[attr-defined]
            self.assertTrue(duty.is_settled(trio.current_time()))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class FailingStore:
    """Store whose first watch fails after the time limit of a call."""

    def __init__(self) -> None:
        self.reads: list[tuple[str, int]] = []

    async def list(self, kind: str, on_piece: Any = None) -> DocumentPage:
        self.reads.append(("list", 0))
        return DocumentPage((), 7)

    async def changes(
        self, kind: str, position: int, wait_ms: int, on_piece: Any = None
    ) -> DocumentPage:
        self.reads.append(("changes", wait_ms))
        if len(self.reads) == 1:
            await trio.sleep(STORE_TIMEOUT_MS / 1000)
            raise PlatformError("the store is silent")
        await trio.sleep(wait_ms / 1000)
        return DocumentPage((), position)


class SlowTransferStore:
    """Store that has a new version for each read, which takes long to receive."""

    def __init__(self) -> None:
        self.reads: list[str] = []

    async def list(self, kind: str, on_piece: Any = None) -> DocumentPage:
        return await self._read("list")

    async def changes(
        self, kind: str, position: int, wait_ms: int, on_piece: Any = None
    ) -> DocumentPage:
        return await self._read("changes")

    async def _read(self, method: str) -> DocumentPage:
        # The third version is the last one.
        self.reads.append(method)
        await trio.sleep(SLOW_TRANSFER_S)
        revision = 10 + min(len(self.reads), 3)
        return DocumentPage((), revision, SLOW_TRANSFER_S)


class EndlessTransferStore:
    """Store of which pieces of a response arrive, but never the last one."""

    async def changes(
        self, kind: str, position: int, wait_ms: int, on_piece: Any = None
    ) -> DocumentPage:
        if not wait_ms:
            return DocumentPage((), position)
        while True:
            await trio.sleep(0.3)
            on_piece()


class SlowStoreTest(unittest.TestCase):
    def read(self, store: Any, duration_s: float) -> bool:
        """Read a store for a time; return whether the reader then reads it."""
        topic: Any = FakeTopic("bundles")
        topic.revision = 5
        duty = make_duties(["vm-7"], set())["vm-7"]
        unused: Any = None
        log: Any = MemoryEventLog()
        reader = StoreReader(
            store, [topic], duty, unused, Handlers(), log, random.Random(1)
        )

        async def main() -> bool:
            with trio.move_on_after(duration_s):
                async with trio.open_nursery() as nursery:
                    reader.start_topics(nursery)
            return reader.is_reading(trio.current_time())

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_read_after_a_failed_one_does_not_wait(self) -> None:
        # Guards against a reader that waits for seconds after the store is back.
        store = FailingStore()
        self.assertTrue(self.read(store, 2.5))
        self.assertEqual(store.reads[0], ("changes", 0))
        self.assertEqual(store.reads[1][0], "list")

    def test_reader_keeps_its_duty_while_it_receives(self) -> None:
        # Guards against a mesh in which all nodes read a document that arrives slowly.
        for duration_s in (1.0, 2.0, 3.0):
            self.assertTrue(self.read(EndlessTransferStore(), duration_s))

    def test_reader_that_receives_for_too_long_gives_up_its_duty(self) -> None:
        # Guards against a mesh that waits for a reader behind a congested connection.
        self.assertFalse(self.read(EndlessTransferStore(), 4.0))

    def test_versions_that_arrive_slowly_are_not_all_received(self) -> None:
        # Guards against a reader that falls behind with each version it receives.
        store = SlowTransferStore()
        self.read(store, 4.5 * SLOW_TRANSFER_S)
        self.assertEqual(
            store.reads[:5], ["changes", "list", "list", "list", "changes"]
        )


class TopicOrderTest(unittest.TestCase):
    """Topics of a node that has just started."""

    def test_orders_are_known_before_the_first_bundle(self) -> None:
        # Guards against a node that serves a release which no order names.
        self.assertEqual(self.list_topics(), ["orders", "bundles"])

    def test_node_with_a_bundle_reads_all_topics_at_once(self) -> None:
        self.assertEqual(self.list_topics(bundle_revision=5), ["orders"])

    def list_topics(self, bundle_revision: int = 0) -> list[str]:
        """Return the kinds that are listed within half a second."""
        store: Any = SlowStore("orders")
        orders, bundles = FakeTopic("orders"), FakeTopic("bundles")
        bundles.revision = bundle_revision
        duty = make_duties(["vm-7"], set())["vm-7"]
        unused: Any = None
        topics: list[Any] = [orders, bundles]
        reader = StoreReader(store, topics, duty, unused, Handlers(), unused, unused)

        async def main() -> None:
            with trio.move_on_after(0.5):
                async with trio.open_nursery() as nursery:
                    reader.start_topics(nursery)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        listed: list[str] = store.listed
        return listed
