"""Who reads the store for a mesh, as members come, go and fall silent."""

from __future__ import annotations

import types
import unittest
from typing import Any

import msgspec
import trio

from marigoldchute.hosted.reader import (
    BACKUP_AFTER_S,
    BEACON_FRESH_S,
    READERS,
    Beacon,
    ReaderDuty,
    StoreReader,
)
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.methods import Method
from marigoldchute.membership.model import Member

NAMES = [f"vm-{i}" for i in range(8)]


class FakeDirectory:
    """Members that one node can reach."""

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


def duties(names: list[str], near: set[str]) -> dict[str, ReaderDuty]:
    return {n: ReaderDuty(FakeDirectory(n, names, near)) for n in names}  # type: ignore[arg-type]


class ReaderDutyTest(unittest.TestCase):
    def test_two_members_near_the_store_read(self) -> None:
        near = set(NAMES[:4])
        found = duties(NAMES, near)
        readers = {n for n, duty in found.items() if duty.is_reader(0.1)}
        self.assertEqual(len(readers), READERS)
        self.assertLessEqual(readers, near)

    def test_others_step_in_when_no_beacon_is_heard(self) -> None:
        found = duties(NAMES, set(NAMES))
        for duty in found.values():
            duty.take_beacon("vm-0", 10.0)
        self.assertEqual(sum(d.is_reader(10.1) for d in found.values()), READERS)
        soon = 10.0 + BEACON_FRESH_S + 0.1
        some = sum(d.is_reader(soon) for d in found.values())
        self.assertGreater(some, READERS)
        self.assertLess(some, len(NAMES))
        late = 10.0 + BACKUP_AFTER_S + 0.1
        self.assertTrue(all(d.is_reader(late) for d in found.values()))

    def test_a_start_leaves_the_first_readers_time_to_tell(self) -> None:
        found = duties(NAMES, set(NAMES))
        for duty in found.values():
            duty.begin(1_000.0)
        self.assertEqual(sum(d.is_reader(1_000.5) for d in found.values()), READERS)

    def test_a_node_that_is_cut_off_reads_by_itself(self) -> None:
        duty = duties(["vm-7"], set())["vm-7"]
        self.assertTrue(duty.is_reader(0.0))

    def test_one_of_the_active_readers_leads(self) -> None:
        found = duties(NAMES, set(NAMES))
        readers = [n for n, duty in found.items() if duty.is_reader(0.1)]
        for name in readers:
            for other in readers:
                if other != name:
                    found[name].take_beacon(other, 1.0)
        self.assertEqual(sum(found[n].leads(True, 1.1) for n in readers), 1)
        gone = 1.0 + BEACON_FRESH_S + 0.1
        self.assertTrue(all(found[n].leads(True, gone) for n in readers))

    def test_one_member_leads_while_nobody_reads(self) -> None:
        found = duties(NAMES, set(NAMES))
        for duty in found.values():
            duty.take_beacon("vm-0", 1.0)
        gone = 1.0 + BEACON_FRESH_S + 0.1
        leaders = [n for n, duty in found.items() if duty.leads(False, gone)]
        self.assertEqual(len(leaders), 1)
        for name, duty in found.items():
            told = {name, *duty.deciders(gone)}
            self.assertIn(leaders[0], told)

    def test_who_reaches_a_minority_leads_only_while_it_reads(self) -> None:
        found = duties(NAMES, set(NAMES))
        for name, duty in found.items():
            duty.directory.lost = set(NAMES) - {name, "vm-1", "vm-2"}  # type: ignore[attr-defined]
            self.assertFalse(duty.leads(False, 10.0))
            self.assertTrue(duty.leads(True, 10.0))

    def test_a_beacon_that_went_round_is_no_news(self) -> None:
        duty = duties(NAMES, set(NAMES))["vm-7"]
        self.assertTrue(duty.is_news(Beacon("vm-0", 5, 1)))
        self.assertFalse(duty.is_news(Beacon("vm-0", 5, 1)))
        self.assertFalse(duty.is_news(Beacon("vm-0", 4, 9)))
        self.assertTrue(duty.is_news(Beacon("vm-0", 5, 2)))
        self.assertTrue(duty.is_news(Beacon("vm-0", 6, 0)))


class RelayedBeaconTest(unittest.TestCase):
    """A mesh too large for links between all pairs: beacons go from link to link."""

    def test_a_chain_of_members_hears_the_reader(self) -> None:
        sent: list[str] = []

        class FakeLink:
            def __init__(self, name: str) -> None:
                self.peer = types.SimpleNamespace(name=name)

            def notify(self, method: int, body: bytes) -> None:
                sent.append(self.peer.name)

        links = [FakeLink("vm-1"), FakeLink("vm-3")]
        for all_pairs, expected in ((False, ["vm-3"]), (True, [])):
            sent.clear()
            directory: Any = FakeDirectory("vm-2", NAMES, set(NAMES))
            directory.links_all_pairs = all_pairs
            duty = ReaderDuty(directory)
            overlay: Any = types.SimpleNamespace(
                spread_links=lambda source="": [
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
