"""Members and their state in the directory of one hosted node."""

from __future__ import annotations

import dataclasses
import unittest
from unittest import mock

from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted import directory as directory_module
from marigoldchute.hosted import reader_duty as duty_module
from marigoldchute.hosted.directory import MAX_FULL_MESH_MEMBERS, Directory
from marigoldchute.hosted.reader_duty import ReaderDuty
from marigoldchute.membership.claims import claim_record, own_record
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
        MemoryEventLog(),  # type: ignore[arg-type]
    )


def replicate(source: RecordTable, *targets: RecordTable) -> None:
    for record in source.of_kind(RecordKind.MEMBER):
        for target in targets:
            target.apply(record, "peer")


class ViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RecordTable()
        self.directory = make_directory("vm-1", self.table)
        other = RecordTable()
        self.peer = make_directory("vm-2", other)
        self.peer.publish_servers((SERVER,))
        replicate(other, self.table)

    def test_peer_with_lost_link_is_unreachable_until_linked_again(self) -> None:
        self.directory.link_lost("vm-2", False, 0.0)
        member = self.directory.get("vm-2")
        assert member is not None
        self.assertIs(member.state, MemberState.UNREACHABLE)
        self.assertFalse(member.accepts_requests)
        self.assertIn("vm-2", self.directory.wanted_peers())
        self.directory.link_up("vm-2", 1, 1.0)
        self.assertEqual(len(self.directory.reachable()), 2)

    def test_members_from_the_store_are_wanted(self) -> None:
        listed = {"vm-3": ("10.0.0.3", 7600), "vm-1": ("10.0.0.1", 7600)}
        self.directory.set_discovered(listed)
        self.assertEqual(set(self.directory.wanted_peers()), {"vm-2", "vm-3"})

    def test_member_that_was_removed_from_the_store_is_not_dialled_any_more(
        self,
    ) -> None:
        """Answers a VM that was removed for good and dialled for ever."""
        listed = {"vm-3": ("10.0.0.3", 7600), "vm-4": ("10.0.0.4", 7600)}
        self.directory.set_discovered(listed)
        self.directory.set_discovered({"vm-4": ("10.0.0.4", 7600)})
        self.assertEqual(set(self.directory.wanted_peers()), {"vm-2", "vm-4"})
        self.assertEqual(self.directory.seeds(), [("10.0.0.4", 7600)])

    def test_requested_link_is_dialled_once(self) -> None:
        self.directory.request_links(["vm-2", "vm-unknown"])
        addresses = self.directory.pop_one_time_addresses()
        self.assertEqual(addresses, [("10.0.0.2", 7600)])
        self.assertEqual(self.directory.pop_one_time_addresses(), [])

    def test_large_mesh_wants_fewer_links_than_members(self) -> None:
        for index in range(3, 3 * MAX_FULL_MESH_MEMBERS):
            other = RecordTable()
            make_directory(f"vm-{index}", other)
            replicate(other, self.table)
        self.assertLess(len(self.directory.wanted_peers()), MAX_FULL_MESH_MEMBERS)


class LargeMeshTest(unittest.TestCase):
    """Mesh that grows beyond the size up to which every pair has a link."""

    def setUp(self) -> None:
        self.table = RecordTable()
        self.directory = make_directory("vm-1", self.table)
        self.names = [f"vm-{index}" for index in range(2, 2 * MAX_FULL_MESH_MEMBERS)]

    def add_members(self) -> None:
        for name in self.names:
            other = RecordTable()
            make_directory(name, other)
            replicate(other, self.table)

    def test_member_is_usable_after_loss_of_unwanted_link(self) -> None:
        self.add_members()
        wanted = self.directory.wanted_peers()
        for name in self.names:
            self.directory.link_lost(name, False, 1.0)
        for name in self.names:
            member = self.directory.get(name)
            assert member is not None
            self.assertEqual(member.accepts_requests, name not in wanted, name)

    def test_lost_member_is_usable_once_its_link_is_unwanted(self) -> None:
        make_directory("vm-2", other := RecordTable())
        replicate(other, self.table)
        self.directory.link_lost("vm-2", False, 1.0)
        self.assertFalse(self.directory.get("vm-2").accepts_requests)  # type: ignore[union-attr]
        self.add_members()
        if "vm-2" not in self.directory.wanted_peers():
            self.assertTrue(self.directory.get("vm-2").accepts_requests)  # type: ignore[union-attr]


class RestartTest(unittest.TestCase):
    def test_restarted_node_supersedes_record_of_its_predecessor(self) -> None:
        for incarnation in (3, 5, 9):  # The clock may have been set back.
            for left in (False, True):
                with self.subTest(incarnation=incarnation, left=left):
                    old_table, table = RecordTable(), RecordTable()
                    predecessor = make_directory("vm-1", old_table, 5)
                    predecessor.publish_servers((SERVER,))
                    if left:
                        predecessor.leave(1_000)
                    successor = make_directory("vm-1", table, incarnation)
                    replicate(old_table, table)
                    member = successor.get("vm-1")
                    assert member is not None
                    self.assertIs(member.state, MemberState.ALIVE)
                    self.assertIs(successor.local.state, MemberState.ALIVE)
                    old_record = old_table.get(RecordKind.MEMBER, "vm-1")
                    record = table.get(RecordKind.MEMBER, "vm-1")
                    assert record is not None and old_record is not None
                    self.assertGreater(record.rank, old_record.rank)

    def test_member_that_left_is_not_listed(self) -> None:
        table = RecordTable()
        directory = make_directory("vm-1", table)
        other = RecordTable()
        peer = make_directory("vm-2", other)
        peer.leave(1_000)
        replicate(other, table)
        self.assertEqual([m.name for m in directory.all()], ["vm-1"])


class UnchangedMembersTest(unittest.TestCase):
    """195 members: what is asked many times a second must not be computed each time."""

    def setUp(self) -> None:
        self.table = RecordTable()
        self.directory = make_directory("vm-1", self.table)
        for index in range(2, 196):
            self.table.apply(own_record(make_member(f"vm-{index}")), "peer")

    def test_peers_and_order_are_computed_once_for_the_same_members(self) -> None:
        duty = ReaderDuty(self.directory)
        with (
            mock.patch.object(
                directory_module, "wanted_peers", wraps=directory_module.wanted_peers
            ) as select,
            mock.patch.object(
                duty_module, "reader_order", wraps=duty_module.reader_order
            ) as order,
        ):
            for _ in range(100):
                self.directory.wanted_peers()
                duty.is_reader(0.0)
                duty.is_leader(True, 0.0)
            self.assertEqual((select.call_count, order.call_count), (1, 1))
            # Servers do not change links, but members that leave do.
            changed = dataclasses.replace(
                make_member("vm-2"), sequence=1, servers=(SERVER,)
            )
            self.table.apply(own_record(changed), "peer")
            self.directory.wanted_peers()
            self.assertEqual(select.call_count, 1)
            gone = claim_record(changed, MemberState.GONE, 5)
            self.table.apply(gone, "peer")
            self.assertNotIn("vm-2", self.directory.wanted_peers())
            self.assertEqual(select.call_count, 2)

    def test_member_that_leaves_and_returns_is_counted_once(self) -> None:
        for incarnation in range(2, 6):
            member = make_member("vm-9", incarnation)
            self.table.apply(own_record(member), "peer")
            self.table.apply(own_record(member), "peer")
            self.assertEqual(self.directory._present_count, 195)
            self.table.apply(claim_record(member, MemberState.GONE, 5), "peer")
            self.assertEqual(self.directory._present_count, 194)
