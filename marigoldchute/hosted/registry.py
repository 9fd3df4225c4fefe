"""The backend server on this VM, as its own reports tell."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.membership.model import BackendServer
from marigoldchute.overlay.records import Record, RecordKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.overlay.records import RecordTable

MISSED_REPORTS = 4  # Reports are at times seconds late; a dead server refuses at once.
CONNECTIONS_UNSTATED = 1_000
FIRST_SEQUENCE = -1  # Below that of every report.


@dataclasses.dataclass(frozen=True)
class StateReport:
    """What a backend server tells of itself.

    Parameters
    ----------
    instance : str
        Its id, which it may have had before.
    born_ms : int
        Wall-clock time of its start; tells two lives under one id apart.
    sequence : int
        Rises with each report of one life.
    service, release : str
        What it serves.
    port : int
        TCP port on the VM's own address.
    slots : int
        Requests that it can run at once.
    draining : bool
        Whether it is about to leave.
    warm_left_ms : int
        Time for which it is still slow after its start.
    """

    instance: str
    born_ms: int
    sequence: int
    service: str
    release: str
    port: int
    slots: int
    draining: bool
    warm_left_ms: int


class _Leaving(msgspec.Struct, frozen=True, array_like=True):
    born_ms: int


_LEAVING = msgspec.msgpack.Decoder(_Leaving)
_SERVER = msgspec.msgpack.Decoder(BackendServer)


class LocalRegistry:
    """Takes the reports of the backend server on this VM, in whatever order.

    The server with the latest start holds the VM. Within one life a report counts only
    when its sequence is higher, and a server that has said that it leaves never comes
    back in that life. That it leaves is replicated, so that a node that is restarted
    in between does not take a late report for a living server.

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
        Time without a report after which a backend server is taken as gone.
    """

    def __init__(
        self,
        node: str,
        table: RecordTable,
        publish: Callable[[tuple[BackendServer, ...]], None],
        log: EventLog,
        expiry_s: float,
    ) -> None:
        self._node = node
        self._table = table
        self._publish = publish
        self._log = log
        self._expiry_s = expiry_s
        self._current: StateReport | None = None
        self._warm_at_ms = 0
        self._heard_at: float | None = None
        self._published: tuple[BackendServer, ...] = ()
        self.max_connections: Callable[[str], int] = lambda service: 0
        table.subscribe(RecordKind.LEAVING, self._take_leaving)
        table.subscribe(RecordKind.VM_SERVER, self._take_server)

    @property
    def holds_server(self) -> bool:
        """Whether a backend server that has not left is known."""
        return bool(self._published)

    def take_report(self, report: StateReport, now: float, now_ms: int) -> None:
        """Take a report; one that is out of date changes nothing.

        Parameters
        ----------
        report : StateReport
            Checked report.
        now : float
            Monotonic time in seconds.
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        """
        held = self._current
        if held is not None and not _is_newer(report, held):
            return
        same_life = held is not None and _life(held) == _life(report)
        if not same_life:
            warm_left_ms = report.warm_left_ms
            self._warm_at_ms = now_ms + warm_left_ms if warm_left_ms else 0
            self._log.emit(
                "registry",
                "server_seen",
                f"{report.instance} of {report.service!r} {report.release!r} serves.",
                instance=report.instance,
                born_ms=report.born_ms,
                sequence=report.sequence,
                service=report.service,
                release=report.release,
                slots=report.slots,
            )
        leaving = report.draining or self._has_left(report.instance, report.born_ms)
        if same_life and held is not None and held.draining:
            leaving = True
        self._current = dataclasses.replace(report, draining=leaving)
        self._heard_at = now
        if leaving:
            self._announce_leaving(report.instance, report.born_ms, "draining")
        self._refresh()
        if not same_life:
            self._replicate()

    def take_leave(self, instance: str, now_ms: int) -> None:
        """Take a backend server's word that it leaves without having drained.

        It may come when this process does not know the server yet: after a restart,
        its record is still on the way. Each life that began before now is over then.

        Parameters
        ----------
        instance : str
            Id of the server.
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        """
        held = self._current
        if held is None or held.instance != instance:
            self._announce_leaving(instance, now_ms, "left before it was known")
            return
        self._current = dataclasses.replace(held, draining=True)
        self._announce_leaving(instance, held.born_ms, "left")
        self._refresh()

    def expire(self, now: float) -> None:
        """Drop a backend server that has not reported for too long."""
        held = self._current
        if held is None:
            return
        if self._heard_at is None:
            self._heard_at = now
        if now - self._heard_at <= self._expiry_s:
            return
        self._log.emit(
            "registry",
            "server_silent",
            f"{held.instance} has not reported for {now - self._heard_at:.1f} s.",
            instance=held.instance,
        )
        self._current = None
        self._refresh()

    def refresh_limits(self) -> None:
        """Publish again after a bundle may have changed what servers accept."""
        self._refresh()

    def _has_left(self, instance: str, born_ms: int) -> bool:
        record = self._table.get(RecordKind.LEAVING, instance)
        return record is not None and _LEAVING.decode(record.body).born_ms >= born_ms

    def _announce_leaving(self, instance: str, born_ms: int, why: str) -> None:
        body = msgspec.msgpack.encode(_Leaving(born_ms))
        record = Record(RecordKind.LEAVING, instance, (born_ms, 0), body)
        if self._table.offer(record):
            self._log.emit(
                "registry",
                "server_leaving",
                f"{instance} gets no new requests: {why}.",
                instance=instance,
                born_ms=born_ms,
            )

    def _take_leaving(self, record: Record) -> None:
        held = self._current
        if held is None or held.instance != record.key or held.draining:
            return
        if record.rank[0] >= held.born_ms:
            self._current = dataclasses.replace(held, draining=True)
            self._refresh()

    def _replicate(self) -> None:
        """Leave the backend server to the next node process of this VM."""
        assert self._current is not None
        body = msgspec.msgpack.encode(self._published[0])
        rank = (self._current.born_ms, 0)
        self._table.offer(Record(RecordKind.VM_SERVER, self._node, rank, body))

    def _take_server(self, record: Record) -> None:
        """Take the backend server that an earlier node process of this VM served.

        It saves the time until the next report. The server must still report to stay;
        one that has ended refuses connections, and another one at its address refuses
        requests for it.
        """
        if record.key != self._node or self._current is not None:
            return
        server = _SERVER.decode(record.body)
        instance, born_ms = server.instance, record.rank[0]
        self._current = StateReport(
            instance,
            born_ms,
            FIRST_SEQUENCE,
            server.service,
            server.release,
            server.port,
            server.slots,
            self._has_left(instance, born_ms),
            0,
        )
        self._warm_at_ms = server.warm_at_ms
        self._heard_at = None
        self._log.emit(
            "registry",
            "server_adopted",
            f"{instance} is taken over from an earlier process.",
            instance=instance,
            born_ms=born_ms,
        )
        self._refresh()

    def _refresh(self) -> None:
        held = self._current
        servers: tuple[BackendServer, ...] = ()
        if held is not None:
            connections = self.max_connections(held.service) or CONNECTIONS_UNSTATED
            servers = (
                BackendServer(
                    f"{held.instance}@{held.born_ms}",
                    held.service,
                    held.release,
                    held.port,
                    held.slots,
                    connections,
                    held.draining,
                    self._warm_at_ms,
                    held.instance,
                ),
            )
        if servers != self._published:
            self._published = servers
            self._publish(servers)


def _life(report: StateReport) -> tuple[str, int]:
    return report.instance, report.born_ms


def _is_newer(report: StateReport, held: StateReport) -> bool:
    if report.born_ms != held.born_ms:
        return report.born_ms > held.born_ms
    return report.instance != held.instance or report.sequence > held.sequence
