"""Members as one hosted node sees them."""

from __future__ import annotations

import unittest

from marigoldchute.events import EventSink
from marigoldchute.hosted.directory import FULL_MESH_MEMBERS, Directory
from marigoldchute.membership.model import BackendServer, Member, MemberState
from marigoldchute.overlay.records import RecordKind, RecordTable

SERVER = BackendServer("i@1", "turnos", "v1", 80, 12, 100, instance="i")


def make_member(name: str, incarnation: int = 1, zone: str = "a") -> Member:
    return Member(name, incarnation, 0, f"10.0.0.{name[3:]}", 7600, zone, "r")


def make_directory(
    name: str, table: RecordTable | None = None, incarnation: int = 1
) -> Directory:
    return Directory(
        make_member(name, incarnation),
        table or RecordTable(),
        EventSink(),  # type: ignore[arg-type]
    )


def spread(source: RecordTable, *targets: RecordTable) -> None:
    for record in source.of_kind(RecordKind.MEMBER):
        for target in targets:
            target.offer(record, "peer")


class ViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RecordTable()
        self.directory = make_directory("vm-1", self.table)
        other = RecordTable()
        self.peer = make_directory("vm-2", other)
        self.peer.publish_servers((SERVER,))
        spread(other, self.table)

    def test_a_peer_without_link_is_unreachable_here_only(self) -> None:
        self.directory.link_lost("vm-2", False, 0.0)
        member = self.directory.get("vm-2")
        assert member is not None
        self.assertIs(member.state, MemberState.UNREACHABLE)
        self.assertFalse(member.usable)
        self.assertIn("vm-2", self.directory.wanted())
        self.directory.link_up("vm-2", 1, 1.0)
        self.assertEqual(len(self.directory.reachable()), 2)

    def test_members_of_the_store_are_dialled_until_they_are_known(self) -> None:
        self.directory.add_found("vm-3", "10.0.0.3", 7600)
        self.directory.add_found("vm-1", "10.0.0.1", 7600)
        self.assertEqual(set(self.directory.wanted()), {"vm-2", "vm-3"})

    def test_a_large_mesh_is_not_linked_in_full(self) -> None:
        for index in range(3, 3 * FULL_MESH_MEMBERS):
            other = RecordTable()
            make_directory(f"vm-{index}", other)
            spread(other, self.table)
        self.assertLess(len(self.directory.wanted()), FULL_MESH_MEMBERS)


class LargeMeshTest(unittest.TestCase):
    """A mesh that grows beyond the size at which each pair has a link."""

    def setUp(self) -> None:
        self.table = RecordTable()
        self.directory = make_directory("vm-1", self.table)
        self.names = [f"vm-{index}" for index in range(2, 2 * FULL_MESH_MEMBERS)]

    def join(self) -> None:
        for name in self.names:
            other = RecordTable()
            make_directory(name, other)
            spread(other, self.table)

    def test_a_member_whose_link_was_not_needed_can_still_be_used(self) -> None:
        self.join()
        wanted = self.directory.wanted()
        for name in self.names:
            self.directory.link_lost(name, False, 1.0)
        for name in self.names:
            member = self.directory.get(name)
            assert member is not None
            self.assertEqual(member.usable, name not in wanted, name)

    def test_a_lost_member_is_not_forgotten_as_lost_for_good(self) -> None:
        make_directory("vm-2", other := RecordTable())
        spread(other, self.table)
        self.directory.link_lost("vm-2", False, 1.0)
        self.assertFalse(self.directory.get("vm-2").usable)  # type: ignore[union-attr]
        self.join()
        if "vm-2" not in self.directory.wanted():
            self.assertTrue(self.directory.get("vm-2").usable)  # type: ignore[union-attr]


class RestartTest(unittest.TestCase):
    def test_a_successor_outranks_the_record_that_was_left_behind(self) -> None:
        for incarnation in (3, 5, 9):  # Clocks may have been set back.
            for left in (False, True):
                with self.subTest(incarnation=incarnation, left=left):
                    held, table = RecordTable(), RecordTable()
                    first = make_directory("vm-1", held, 5)
                    first.publish_servers((SERVER,))
                    if left:
                        first.leave(1_000)
                    second = make_directory("vm-1", table, incarnation)
                    spread(held, table)
                    member = second.get("vm-1")
                    assert member is not None
                    self.assertIs(member.state, MemberState.ALIVE)
                    self.assertIs(second.local.state, MemberState.ALIVE)
                    left_behind = held.get(RecordKind.MEMBER, "vm-1")
                    record = table.get(RecordKind.MEMBER, "vm-1")
                    assert record is not None and left_behind is not None
                    self.assertGreater(record.rank, left_behind.rank)

    def test_one_that_left_is_not_shown(self) -> None:
        table = RecordTable()
        directory = make_directory("vm-1", table)
        other = RecordTable()
        peer = make_directory("vm-2", other)
        peer.leave(1_000)
        spread(other, table)
        self.assertEqual([m.name for m in directory.all()], ["vm-1"])
