"""Registry of the backend server on this VM, kept from its reports."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.hosted.node_entry import Leave
from marigoldchute.membership.model import BackendServer
from marigoldchute.overlay.records import Record, RecordKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.overlay.records import RecordTable

# Reports can be seconds late, and a server that has ended refuses connections at once.
MAX_MISSED_REPORTS = 4
DEFAULT_MAX_CONNECTIONS = 1_000  # Used when the bundle sets no limit for the service.
ADOPTED_SEQUENCE = -1  # Lower than the sequence of every report.
# Reports of one cold start differ by their delays; a change of the announcement is sent
# to all nodes.
WARM_AT_TOLERANCE_MS = 500
# Two reports that are this part of the expiry time apart, half of their interval, show
# that a server goes on reporting; reports that are late arrive together.
CONFIRMING_SPAN = 0.125


@dataclasses.dataclass(frozen=True)
class StateReport:
    """State that a backend server reports about itself.

    Parameters
    ----------
    instance : str
        Id of the server; a restarted server may reuse it.
    born_ms : int
        Wall-clock time of its start; distinguishes incarnations with the same id.
    sequence : int
        Increases with each report of one incarnation.
    service, release : str
        Service and release that it serves.
    port : int
        TCP port at the address of the VM.
    slots : int
        Number of requests that it can run concurrently.
    draining : bool
        Whether it is draining before it leaves.
    warmup_left_ms : int
        Remaining duration of its cold start.
    """

    instance: str
    born_ms: int
    sequence: int
    service: str
    release: str
    port: int
    slots: int
    draining: bool
    warmup_left_ms: int


class _LeaveBody(msgspec.Struct, frozen=True, array_like=True):
    born_ms: int


_LEAVE_BODY = msgspec.msgpack.Decoder(_LeaveBody)
_SERVER = msgspec.msgpack.Decoder(BackendServer)


def decode_leave(record: Record) -> int:
    """Return the start, in wall-clock milliseconds, up to which a server has left."""
    return _LEAVE_BODY.decode(record.body).born_ms


def decode_server(record: Record) -> BackendServer:
    """Return the backend server of a VM that a record describes."""
    return _SERVER.decode(record.body)


def _ignore_report(server_id: str, warmup_left_s: float, now: float) -> None:
    pass


def _is_not_limited(service: str) -> bool:
    return False


class LocalRegistry:
    """Tracks the backend server on this VM from reports in any order.

    The server with the latest start is the current one. Within an incarnation a report
    is applied only when its sequence is higher, and a server that has announced its
    leave never accepts requests again. The leave is replicated, so that a node that
    restarts meanwhile does not treat a late report as one of a running server.

    Records of peers are lost when all nodes are killed. Until the leaves that earlier
    processes of this VM acknowledged are known, a server is only used once it goes on
    reporting, which one that has left does not.

    Parameters
    ----------
    node : str
        Name of this VM.
    table : RecordTable
        Replicated records.
    publish : callable
        Called with the backend servers of this VM when they change.
    log : EventLog
        Event log of the process.
    expiry_s : float
        Time without a report after which a backend server is considered gone.
    awaits_leaves : bool
        Whether ``restore_leaves`` will be called.

    Attributes
    ----------
    on_report : callable
        Called with the id of the server, the seconds for which it stays cold and the
        monotonic time of each report that was applied.
    limits_warmup : callable
        Returns whether cold servers of a service are limited, so that other nodes have
        to know when a server becomes cold again.
    """

    def __init__(
        self,
        node: str,
        table: RecordTable,
        publish: Callable[[tuple[BackendServer, ...]], None],
        log: EventLog,
        expiry_s: float,
        awaits_leaves: bool = False,
    ) -> None:
        self._node = node
        self._table = table
        self._publish = publish
        self._log = log
        self._expiry_s = expiry_s
        self._current: StateReport | None = None
        self._warm_at_ms = 0
        self._last_report_at: float | None = None
        self._first_report_at: float | None = None  # Of the current incarnation.
        self._awaits_leaves = awaits_leaves
        self._goes_on_reporting = False
        self._published: tuple[BackendServer, ...] = ()
        self.max_connections: Callable[[str], int] = lambda service: 0
        self.on_report: Callable[[str, float, float], None] = _ignore_report
        self.limits_warmup: Callable[[str], bool] = _is_not_limited
        table.subscribe(RecordKind.LEAVING, self._handle_leave_record)
        table.subscribe(RecordKind.VM_SERVER, self._adopt_server)

    @property
    def has_server(self) -> bool:
        """Whether this VM has a backend server."""
        return self._current is not None

    def restore_leaves(self, leaves: tuple[Leave, ...]) -> None:
        """Apply the leaves that earlier processes of this VM acknowledged."""
        self._awaits_leaves = False
        for leave in leaves:
            self._record_leave(leave, "left before the node started")
        self._publish_changes()

    def handle_report(
        self, report: StateReport, now: float, now_ms: int
    ) -> Leave | None:
        """Apply a report unless it is stale.

        Parameters
        ----------
        report : StateReport
            Validated report.
        now : float
            Monotonic time in seconds.
        now_ms : int
            Wall-clock time in milliseconds since the epoch.

        Returns
        -------
        Leave or None
            Leave that has to be stored before the report is acknowledged.
        """
        current = self._current
        if current is not None and not _is_newer(report, current):
            return self._reported_leave(report)
        same_incarnation = current is not None and _incarnation(
            current
        ) == _incarnation(report)
        if not same_incarnation or self._first_report_at is None:
            self._first_report_at = now
        span_s = now - self._first_report_at
        self._goes_on_reporting = span_s >= CONFIRMING_SPAN * self._expiry_s
        if not same_incarnation:
            warmup_left_ms = report.warmup_left_ms
            self._warm_at_ms = now_ms + warmup_left_ms if warmup_left_ms else 0
            self._log.emit(
                "registry",
                "server_seen",
                f"{report.instance} of {report.service!r} {report.release!r} runs.",
                instance=report.instance,
                born_ms=report.born_ms,
                sequence=report.sequence,
                service=report.service,
                release=report.release,
                slots=report.slots,
            )
        elif self.limits_warmup(report.service):
            self._update_warmup(report, now_ms)
        is_leaving = report.draining or self._has_left(report.instance, report.born_ms)
        if same_incarnation and current is not None and current.draining:
            is_leaving = True
        self._current = dataclasses.replace(report, draining=is_leaving)
        self._last_report_at = now
        if is_leaving:
            self._record_leave(Leave(report.instance, report.born_ms), "draining")
        self._publish_changes()
        if not same_incarnation:
            self._replicate_server()
        self.on_report(_server_id(report), report.warmup_left_ms / 1000, now)
        return self._reported_leave(report)

    def _update_warmup(self, report: StateReport, now_ms: int) -> None:
        """Apply the warm-up of a server that was seen before."""
        is_cold = report.warmup_left_ms > 0
        warm_at_ms = now_ms + report.warmup_left_ms
        if not is_cold and self._warm_at_ms <= now_ms + WARM_AT_TOLERANCE_MS:
            return
        if abs(warm_at_ms - self._warm_at_ms) <= WARM_AT_TOLERANCE_MS:
            return
        self._warm_at_ms = warm_at_ms
        self._log.emit(
            "registry",
            "server_cold" if is_cold else "server_warm",
            f"{report.instance} is {'cold' if is_cold else 'warm'}.",
            instance=report.instance,
            warmup_left_ms=report.warmup_left_ms,
            sequence=report.sequence,
        )

    def _reported_leave(self, report: StateReport) -> Leave | None:
        if report.draining or self._has_left(report.instance, report.born_ms):
            return Leave(report.instance, report.born_ms)
        return None

    def handle_deregistration(
        self, instance: str, now_ms: int, born_ms: int | None = None
    ) -> Leave:
        """Handle the leave of a backend server that has not drained before.

        After a restart of the node it may arrive before the record of the server, and
        seconds after the next incarnation has started.

        Parameters
        ----------
        instance : str
            Id of the server.
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        born_ms : int, optional
            Wall-clock time in milliseconds at which the server started. If it is not
            known, the current incarnation leaves, and without one each that started
            before ``now_ms``.

        Returns
        -------
        Leave
            Leave that has to be stored before the call is acknowledged.
        """
        current = self._current
        if current is None or current.instance != instance:
            leave = Leave(instance, now_ms if born_ms is None else born_ms)
            self._record_leave(leave, "left before it was registered")
            return leave
        # The record of the leave withdraws the incarnations that it covers.
        leave = Leave(instance, current.born_ms if born_ms is None else born_ms)
        self._record_leave(leave, "left")
        return leave

    def expire(self, now: float, delay_s: float = 0.0) -> None:
        """Remove a backend server without a report within the expiry time.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        delay_s : float
            Delay of this check in seconds. It does not count as silence of the server:
            this process did not run, and reports that have arrived may not be read yet.
        """
        current = self._current
        if current is None:
            return
        if self._last_report_at is None:
            self._last_report_at = now
        self._last_report_at = min(now, self._last_report_at + delay_s)
        if now - self._last_report_at <= self._expiry_s:
            return
        self._log.emit(
            "registry",
            "server_silent",
            f"{current.instance} sent no report in {now - self._last_report_at:.1f} s.",
            instance=current.instance,
        )
        self._current = None
        self._first_report_at = None
        self._publish_changes()

    def refresh_limits(self) -> None:
        """Publish again after a bundle may have changed connection limits."""
        self._publish_changes()

    def _has_left(self, instance: str, born_ms: int) -> bool:
        record = self._table.get(RecordKind.LEAVING, instance)
        return record is not None and decode_leave(record) >= born_ms

    def _record_leave(self, leave: Leave, reason: str) -> None:
        body = msgspec.msgpack.encode(_LeaveBody(leave.born_ms))
        rank = (leave.born_ms, 0)
        record = Record(RecordKind.LEAVING, leave.instance, rank, body)
        if self._table.apply(record):
            self._log.emit(
                "registry",
                "server_leaving",
                f"{leave.instance} receives no new requests: {reason}.",
                instance=leave.instance,
                born_ms=leave.born_ms,
            )

    def _handle_leave_record(self, record: Record) -> None:
        current = self._current
        if current is None or current.instance != record.key or current.draining:
            return
        if record.rank[0] >= current.born_ms:
            self._current = dataclasses.replace(current, draining=True)
            self._publish_changes()

    def _replicate_server(self) -> None:
        """Replicate the backend server for the next node process of this VM."""
        assert self._current is not None
        body = msgspec.msgpack.encode(self._describe(self._current))
        rank = (self._current.born_ms, 0)
        self._table.apply(Record(RecordKind.VM_SERVER, self._node, rank, body))

    def _adopt_server(self, record: Record) -> None:
        """Adopt the backend server that an earlier node process of this VM registered.

        This makes it available before its next report. It expires unless it reports. A
        server that has ended refuses connections, and another server at its address
        refuses requests for it.
        """
        if record.key != self._node or self._current is not None:
            return
        server = decode_server(record)
        instance, born_ms = server.instance, record.rank[0]
        self._current = StateReport(
            instance,
            born_ms,
            ADOPTED_SEQUENCE,
            server.service,
            server.release,
            server.port,
            server.slots,
            self._has_left(instance, born_ms),
            0,
        )
        self._warm_at_ms = server.warm_at_ms
        self._last_report_at = None
        self._log.emit(
            "registry",
            "server_adopted",
            f"{instance} is adopted from an earlier node process.",
            instance=instance,
            born_ms=born_ms,
        )
        self._publish_changes()

    def _publish_changes(self) -> None:
        current = self._current
        servers: tuple[BackendServer, ...] = ()
        if current is not None and (self._goes_on_reporting or not self._awaits_leaves):
            servers = (self._describe(current),)
        if servers != self._published:
            self._published = servers
            self._publish(servers)

    def _describe(self, report: StateReport) -> BackendServer:
        connections = self.max_connections(report.service) or DEFAULT_MAX_CONNECTIONS
        return BackendServer(
            _server_id(report),
            report.service,
            report.release,
            report.port,
            report.slots,
            connections,
            report.draining,
            self._warm_at_ms,
            report.instance,
        )


def _server_id(report: StateReport) -> str:
    return f"{report.instance}@{report.born_ms}"


def _incarnation(report: StateReport) -> tuple[str, int]:
    return report.instance, report.born_ms


def _is_newer(report: StateReport, current: StateReport) -> bool:
    if report.born_ms != current.born_ms:
        return report.born_ms > current.born_ms
    return report.instance != current.instance or report.sequence > current.sequence
