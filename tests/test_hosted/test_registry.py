"""Reports and leaves of the backend server on a VM in every order of arrival."""

from __future__ import annotations

import dataclasses
import itertools
import unittest
from typing import TYPE_CHECKING

from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.node_entry import Leave
from marigoldchute.hosted.registry import LocalRegistry, StateReport
from marigoldchute.overlay.records import RecordKind, RecordTable

if TYPE_CHECKING:
    from marigoldchute.membership.model import BackendServer

EXPIRY_S = 6.0


def make_report(
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

    def make_registry(
        self, table: RecordTable, awaits_leaves: bool = False
    ) -> LocalRegistry:
        self.servers: tuple[BackendServer, ...] = ()
        return LocalRegistry(
            "vm",
            table,
            self.store_servers,
            MemoryEventLog(),
            EXPIRY_S,
            awaits_leaves,
        )

    def store_servers(self, servers: tuple[BackendServer, ...]) -> None:
        self.servers = servers

    def apply_reports(self, *reports: StateReport, now: float = 0.0) -> None:
        for report in reports:
            self.registry.handle_report(report, now, 0)

    def accepting(self) -> list[str]:
        return [s.instance for s in self.servers if not s.draining]


class ReportOrderTest(RegistryTestCase):
    def test_late_report_does_not_end_a_drain(self) -> None:
        reports = [
            make_report(1),
            make_report(2, draining=True),
            make_report(3, draining=True),
        ]
        for order in itertools.permutations(reports):
            with self.subTest([r.sequence for r in order]):
                self.table = RecordTable()
                self.registry = self.make_registry(self.table)
                self.apply_reports(*order)
                self.assertEqual(self.accepting(), [])

    def test_drain_is_final_within_an_incarnation(self) -> None:
        self.apply_reports(
            make_report(1), make_report(2, draining=True), make_report(3)
        )
        self.assertEqual(self.accepting(), [])

    def test_server_with_latest_start_is_current(self) -> None:
        old, new = make_report(9), make_report(1, "i-2", 5_000, service="reservas")
        self.apply_reports(old, new, make_report(10))
        self.assertEqual(self.accepting(), ["i-2"])
        self.assertEqual(self.servers[0].service, "reservas")

    def test_restart_with_same_id_is_new_incarnation(self) -> None:
        self.apply_reports(make_report(7, draining=True), make_report(1, born_ms=9_000))
        self.assertEqual(self.accepting(), ["i-1"])
        first = self.servers[0].server_id
        self.apply_reports(make_report(8))
        self.assertEqual(self.servers[0].server_id, first)

    def test_leave_without_drain_stops_new_requests(self) -> None:
        self.apply_reports(make_report(1))
        self.registry.handle_deregistration("i-2", 0)
        self.assertEqual(self.accepting(), ["i-1"])
        self.registry.handle_deregistration("i-1", 0)
        self.assertEqual(self.accepting(), [])


class RestartTest(RegistryTestCase):
    def test_restarted_node_keeps_acknowledged_drain(self) -> None:
        self.apply_reports(make_report(1), make_report(2, draining=True))
        successor = self.make_registry(self.table)
        successor.handle_report(make_report(1), 0.0, 0)
        self.assertEqual(self.accepting(), [])
        successor.handle_report(make_report(1, born_ms=2_000), 0.0, 0)
        self.assertEqual(self.accepting(), ["i-1"])

    def test_leave_record_received_after_first_report_is_applied(self) -> None:
        self.apply_reports(make_report(1), make_report(2, draining=True))
        old_table = self.table
        self.table = RecordTable()
        self.registry = self.make_registry(self.table)
        self.apply_reports(make_report(1))
        self.assertEqual(self.accepting(), ["i-1"])
        for record in old_table.of_kind(RecordKind.LEAVING):
            self.table.apply(record, "peer")
        self.assertEqual(self.accepting(), [])


class AdoptionTest(RegistryTestCase):
    """A restarted node process adopts the backend server of its predecessor."""

    def restart(self) -> LocalRegistry:
        """Start a process that receives its records from peers after its start."""
        old_table, self.table = self.table, RecordTable()
        successor = self.make_registry(self.table)
        for kind in (RecordKind.VM_SERVER, RecordKind.LEAVING):
            for record in old_table.of_kind(kind):
                self.table.apply(record, "peer")
        return successor

    def test_adopted_server_is_used_before_its_report(self) -> None:
        self.apply_reports(make_report(5))
        published = self.servers
        successor = self.restart()
        self.assertEqual(self.accepting(), ["i-1"])
        successor.handle_report(make_report(6), 1.0, 0)
        self.assertEqual(self.servers, published)

    def test_adopted_server_without_report_expires(self) -> None:
        self.apply_reports(make_report(5))
        successor = self.restart()
        successor.expire(100.0)
        self.assertEqual(self.accepting(), ["i-1"])
        successor.expire(100.1 + EXPIRY_S)
        self.assertEqual(self.accepting(), [])

    def test_adopted_server_that_was_leaving_is_not_used(self) -> None:
        self.apply_reports(make_report(5), make_report(6, draining=True))
        self.restart()
        self.assertEqual(self.accepting(), [])

    def test_newer_report_is_not_replaced_by_adoption(self) -> None:
        self.apply_reports(make_report(5))
        old_table = self.table
        self.table = RecordTable()
        successor = self.make_registry(self.table)
        successor.handle_report(make_report(1, "i-2", 9_000), 0.0, 0)
        for record in old_table.of_kind(RecordKind.VM_SERVER):
            self.table.apply(record, "peer")
        self.assertEqual(self.accepting(), ["i-2"])


class ExpiryTest(RegistryTestCase):
    def test_server_without_reports_expires_and_returns_with_next_report(self) -> None:
        self.apply_reports(make_report(1), now=0.0)
        self.registry.expire(EXPIRY_S - 0.1)
        self.assertEqual(self.accepting(), ["i-1"])
        self.registry.expire(EXPIRY_S + 0.1)
        self.assertEqual(self.accepting(), [])
        self.apply_reports(make_report(2), now=EXPIRY_S + 1.0)
        self.assertEqual(self.accepting(), ["i-1"])

    # Guards against a server that is withdrawn because its node was paused.
    def test_pause_of_this_process_does_not_count_as_silence(self) -> None:
        self.apply_reports(make_report(1), now=0.0)
        self.registry.expire(1.0)
        self.registry.expire(1.25 + 2 * EXPIRY_S, 2 * EXPIRY_S)
        self.assertEqual(self.accepting(), ["i-1"])
        self.registry.expire(1.25 + 3 * EXPIRY_S)
        self.assertEqual(self.accepting(), [])


class LeaveAfterRestartTest(RegistryTestCase):
    """A server leaves before the restarted node process has registered it."""

    def restart(self) -> None:
        """Restart the process; the records of peers arrive after the leave."""
        self.apply_reports(make_report(1))
        peer = self.table
        self.table = RecordTable()
        self.registry = self.make_registry(self.table)
        self.registry.handle_deregistration("i-1", 2_000)
        for record in peer.of_kind(RecordKind.VM_SERVER):
            self.table.apply(record, "peer")

    def test_server_that_left_is_not_adopted(self) -> None:
        self.restart()
        self.assertEqual(self.accepting(), [])
        self.apply_reports(make_report(5))
        self.assertEqual(self.accepting(), [])

    def test_next_incarnation_is_used(self) -> None:
        self.restart()
        self.apply_reports(make_report(1, born_ms=9_000))
        self.assertEqual(self.accepting(), ["i-1"])


class StoredLeaveTest(RegistryTestCase):
    """A restarted process does not know yet which servers have left."""

    def setUp(self) -> None:
        self.table = RecordTable()
        self.registry = self.make_registry(self.table, awaits_leaves=True)

    # Guards against requests for a server that left before all nodes were killed.
    def test_late_report_of_a_server_that_left_publishes_nothing(self) -> None:
        for reports_first in (True, False):
            with self.subTest(reports_first=reports_first):
                self.setUp()
                leaves = (Leave("i-1", 1_000),)
                if not reports_first:
                    self.registry.restore_leaves(leaves)
                self.apply_reports(make_report(1), make_report(2))
                self.assertEqual(self.accepting(), [])
                self.registry.restore_leaves(leaves)
                self.assertEqual(self.accepting(), [])
                self.apply_reports(make_report(3), now=2.0)
                self.assertEqual(self.accepting(), [])
                self.apply_reports(make_report(1, born_ms=2_000), now=3.0)
                self.assertEqual(self.accepting(), ["i-1"])

    # Guards against requests for a server whose leave had not reached the peers.
    def test_adopted_server_is_used_only_once_the_leaves_are_known(self) -> None:
        old_table = RecordTable()
        self.make_registry(old_table).handle_report(make_report(5), 0.0, 0)
        for leaves, expected in (((), ["i-1"]), ((Leave("i-1", 1_000),), [])):
            with self.subTest(expected=expected):
                self.setUp()
                for record in old_table.of_kind(RecordKind.VM_SERVER):
                    self.table.apply(record, "peer")
                self.assertEqual(self.accepting(), [])
                self.registry.restore_leaves(leaves)
                self.assertEqual(self.accepting(), expected)

    def test_known_leaves_publish_a_server_at_once(self) -> None:
        self.apply_reports(make_report(1))
        self.registry.restore_leaves((Leave("i-0", 9_000),))
        self.assertEqual(self.accepting(), ["i-1"])

    def test_server_that_goes_on_reporting_is_used_without_the_store(self) -> None:
        interval_s = EXPIRY_S / 4
        self.apply_reports(make_report(1), make_report(2), now=0.0)
        self.assertEqual(self.accepting(), [])
        self.apply_reports(make_report(3), now=interval_s)
        self.assertEqual(self.accepting(), ["i-1"])
        self.apply_reports(make_report(1, born_ms=9_000), now=2 * interval_s)
        self.assertEqual(self.accepting(), [])
        self.apply_reports(make_report(2, born_ms=9_000), now=3 * interval_s)
        self.assertEqual(self.accepting(), ["i-1"])

    def test_leave_has_to_be_stored_before_each_acknowledgement(self) -> None:
        leave = Leave("i-1", 1_000)
        apply = self.registry.handle_report
        self.assertIsNone(apply(make_report(1), 0.0, 0))
        self.assertEqual(apply(make_report(2, draining=True), 0.0, 0), leave)
        self.assertEqual(apply(make_report(2, draining=True), 0.0, 0), leave)
        self.assertEqual(apply(make_report(3), 0.0, 0), leave)
        self.assertEqual(self.registry.handle_deregistration("i-1", 5_000), leave)
        unknown = self.registry.handle_deregistration("i-2", 5_000, 4_000)
        self.assertEqual(unknown, Leave("i-2", 4_000))


class WarmupTest(RegistryTestCase):
    """A server that becomes cold again while it runs."""

    def apply(self, sequence: int, warmup_left_ms: int, now_ms: int) -> int:
        """Apply a report; return when the announced server is warm."""
        report = dataclasses.replace(
            make_report(sequence), warmup_left_ms=warmup_left_ms
        )
        self.registry.handle_report(report, now_ms / 1000, now_ms)
        return self.servers[0].warm_at_ms

    def test_server_that_becomes_cold_again_is_announced(self) -> None:
        """Guards against entries that send full load to a cold server."""
        self.registry.limits_warmup = lambda service: service == "turnos"
        self.assertEqual(self.apply(1, 3_000, 1_000), 4_000)
        self.assertEqual(self.apply(2, 0, 5_000), 4_000)
        self.assertEqual(self.apply(3, 2_500, 9_000), 11_500)
        # Reports of the same cold start do not change the announcement.
        self.assertEqual(self.apply(4, 1_100, 10_500), 11_500)
        self.assertEqual(self.apply(5, 0, 10_600), 10_600)

    def test_servers_of_other_services_are_announced_once(self) -> None:
        """Guards against messages in meshes without a warm-up limit."""
        self.assertEqual(self.apply(1, 3_000, 1_000), 4_000)
        self.assertEqual(self.apply(2, 2_500, 9_000), 4_000)

    def test_each_report_is_passed_on(self) -> None:
        reports: list[tuple[str, float, float]] = []
        self.registry.on_report = lambda *values: reports.append(values)
        self.apply(1, 3_000, 1_000)
        self.apply(2, 0, 5_000)
        self.apply(1, 3_000, 6_000)  # It is late.
        self.assertEqual(reports, [("i-1@1000", 3.0, 1.0), ("i-1@1000", 0.0, 5.0)])
