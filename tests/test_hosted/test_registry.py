"""Reports of the backend server on a VM, in every order in which they may come."""

from __future__ import annotations

import itertools
import unittest
from typing import TYPE_CHECKING

from marigoldchute.events import EventSink
from marigoldchute.hosted.registry import LocalRegistry, StateReport
from marigoldchute.overlay.records import RecordKind, RecordTable

if TYPE_CHECKING:
    from marigoldchute.membership.model import BackendServer

EXPIRY_S = 6.0


def report(
    sequence: int,
    instance: str = "i-1",
    born_ms: int = 1_000,
    draining: bool = False,
    service: str = "turnos",
) -> StateReport:
    return StateReport(instance, born_ms, sequence, service, "v1", 80, 12, draining, 0)


class RegistryTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RecordTable()
        self.registry = self.make_registry(self.table)

    def make_registry(self, table: RecordTable) -> LocalRegistry:
        self.servers: tuple[BackendServer, ...] = ()
        return LocalRegistry("vm", table, self.take_servers, EventSink(), EXPIRY_S)

    def take_servers(self, servers: tuple[BackendServer, ...]) -> None:
        self.servers = servers

    def take(self, *reports: StateReport, now: float = 0.0) -> None:
        for item in reports:
            self.registry.take_report(item, now, 0)

    def admits(self) -> list[str]:
        return [s.instance for s in self.servers if not s.draining]


class OrderTest(RegistryTestCase):
    def test_a_late_report_never_undoes_a_drain(self) -> None:
        reports = [report(1), report(2, draining=True), report(3, draining=True)]
        for order in itertools.permutations(reports):
            with self.subTest([r.sequence for r in order]):
                self.table = RecordTable()
                self.registry = self.make_registry(self.table)
                self.take(*order)
                self.assertEqual(self.admits(), [])

    def test_a_drain_holds_within_a_life_whatever_is_reported_later(self) -> None:
        self.take(report(1), report(2, draining=True), report(3))
        self.assertEqual(self.admits(), [])

    def test_the_latest_start_holds_the_address(self) -> None:
        old, new = report(9), report(1, "i-2", 5_000, service="reservas")
        self.take(old, new, report(10))
        self.assertEqual(self.admits(), ["i-2"])
        self.assertEqual(self.servers[0].service, "reservas")

    def test_a_restart_under_the_same_id_counts_anew(self) -> None:
        self.take(report(7, draining=True), report(1, born_ms=9_000))
        self.assertEqual(self.admits(), ["i-1"])
        first = self.servers[0].server_id
        self.take(report(8))
        self.assertEqual(self.servers[0].server_id, first)

    def test_leaving_without_a_drain_stops_new_requests(self) -> None:
        self.take(report(1))
        self.registry.take_leave("i-2", 0)
        self.assertEqual(self.admits(), ["i-1"])
        self.registry.take_leave("i-1", 0)
        self.assertEqual(self.admits(), [])


class RestartTest(RegistryTestCase):
    def test_a_restarted_node_keeps_what_its_predecessor_acknowledged(self) -> None:
        self.take(report(1), report(2, draining=True))
        successor = self.make_registry(self.table)
        successor.take_report(report(1), 0.0, 0)
        self.assertEqual(self.admits(), [])
        successor.take_report(report(1, born_ms=2_000), 0.0, 0)
        self.assertEqual(self.admits(), ["i-1"])

    def test_what_peers_tell_after_the_first_report_counts_too(self) -> None:
        self.take(report(1), report(2, draining=True))
        known = self.table
        self.table = RecordTable()
        self.registry = self.make_registry(self.table)
        self.take(report(1))
        self.assertEqual(self.admits(), ["i-1"])
        for record in known.of_kind(RecordKind.LEAVING):
            self.table.offer(record, "peer")
        self.assertEqual(self.admits(), [])


class AdoptionTest(RegistryTestCase):
    """A node process that takes over from one that has ended."""

    def restart(self) -> LocalRegistry:
        """Start a process that gets its records from peers only after its start."""
        held, self.table = self.table, RecordTable()
        successor = self.make_registry(self.table)
        for kind in (RecordKind.VM_SERVER, RecordKind.LEAVING):
            for record in held.of_kind(kind):
                self.table.offer(record, "peer")
        return successor

    def test_a_predecessors_server_is_used_before_it_reports(self) -> None:
        self.take(report(5))
        served = self.servers
        successor = self.restart()
        self.assertEqual(self.admits(), ["i-1"])
        successor.take_report(report(6), 1.0, 0)
        self.assertEqual(self.servers, served)

    def test_one_that_does_not_report_is_dropped(self) -> None:
        self.take(report(5))
        successor = self.restart()
        successor.expire(100.0)
        self.assertEqual(self.admits(), ["i-1"])
        successor.expire(100.1 + EXPIRY_S)
        self.assertEqual(self.admits(), [])

    def test_one_that_was_leaving_is_not_used(self) -> None:
        self.take(report(5), report(6, draining=True))
        self.restart()
        self.assertEqual(self.admits(), [])

    def test_a_report_that_came_first_stands(self) -> None:
        self.take(report(5))
        held = self.table
        self.table = RecordTable()
        successor = self.make_registry(self.table)
        successor.take_report(report(1, "i-2", 9_000), 0.0, 0)
        for record in held.of_kind(RecordKind.VM_SERVER):
            self.table.offer(record, "peer")
        self.assertEqual(self.admits(), ["i-2"])


class ExpiryTest(RegistryTestCase):
    def test_a_silent_server_is_dropped_and_taken_back(self) -> None:
        self.take(report(1), now=0.0)
        self.registry.expire(EXPIRY_S - 0.1)
        self.assertEqual(self.admits(), ["i-1"])
        self.registry.expire(EXPIRY_S + 0.1)
        self.assertEqual(self.admits(), [])
        self.take(report(2), now=EXPIRY_S + 1.0)
        self.assertEqual(self.admits(), ["i-1"])


class LeaveAfterRestartTest(RegistryTestCase):
    """A server leaves while the node's new process does not know it yet."""

    def restart(self) -> None:
        """Replace the process; what peers hold comes after the server's word."""
        self.take(report(1))
        peer = self.table
        self.table = RecordTable()
        self.registry = self.make_registry(self.table)
        self.registry.take_leave("i-1", 2_000)
        for record in peer.of_kind(RecordKind.VM_SERVER):
            self.table.offer(record, "peer")

    def test_it_is_not_taken_over_from_the_record(self) -> None:
        self.restart()
        self.assertEqual(self.admits(), [])
        self.take(report(5))
        self.assertEqual(self.admits(), [])

    def test_its_next_life_is_used(self) -> None:
        self.restart()
        self.take(report(1, born_ms=9_000))
        self.assertEqual(self.admits(), ["i-1"])
