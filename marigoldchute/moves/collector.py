"""Collects, for one data centre, which member stands where."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import AuthError, PeerError
from marigoldchute.link.methods import Method
from marigoldchute.moves.model import MemberReport
from marigoldchute.overlay.duties import COLLECTOR

if TYPE_CHECKING:
    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.link.link import Handlers, Link
    from marigoldchute.link.pool import LinkPool
    from marigoldchute.membership.service import Membership
    from marigoldchute.moves.engine import MoveEngine

REPORT_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 2.0

_REPORT = msgspec.msgpack.Decoder(MemberReport)
_REPORTS = msgspec.msgpack.Decoder(list[MemberReport])


class Collector:
    """Keeps the last report of each member that reports to this node."""

    def __init__(self, handlers: Handlers) -> None:
        self._reports: dict[str, MemberReport] = {}
        handlers.register(Method.REPORT_EVIDENCE, self._take_report)
        handlers.register(Method.LIST_CONFIRMATIONS, self._list_reports)

    def take(self, report: MemberReport) -> None:
        """Keep a report unless a later one of the member is held."""
        held = self._reports.get(report.name)
        order = (report.incarnation, report.sequence)
        if held is None or (held.incarnation, held.sequence) < order:
            self._reports[report.name] = report

    def reports(self) -> list[MemberReport]:
        """Return the last report of each member."""
        return list(self._reports.values())

    async def _take_report(self, link: Link, body: bytes) -> bytes:
        self.take(_REPORT.decode(body))
        return b""

    async def _list_reports(self, link: Link, body: bytes) -> bytes:
        return msgspec.msgpack.encode(self.reports())


class Reporter:
    """Sends this node's reports to its collector and reads those of the others."""

    def __init__(
        self,
        membership: Membership,
        in_force: InForce,
        engine: MoveEngine,
        collector: Collector,
        control: LinkPool,
    ) -> None:
        self._membership = membership
        self._in_force = in_force
        self._engine = engine
        self._collector = collector
        self._control = control
        self._changed = trio.Event()
        self._sequence = 0
        in_force.on_swap(lambda bundle: self.wake())

    def wake(self) -> None:
        """Report soon, because something changed."""
        self._changed.set()

    async def run(self) -> None:
        """Report after each change and at intervals until cancelled."""
        while True:
            self._changed = trio.Event()
            await self._report()
            with trio.move_on_after(REPORT_INTERVAL_S):
                await self._changed.wait()

    async def _report(self) -> None:
        local = self._membership.local
        self._sequence += 1
        report = MemberReport(
            local.name,
            local.incarnation,
            self._sequence,
            self._in_force.version,
            self._engine.reports(),
        )
        self._collector.take(report)
        target = self._membership.duties.holder(COLLECTOR, local.data_centre)
        if target is None or target == local.name:
            return
        body = msgspec.msgpack.encode(report)
        try:
            link = await self._control.get(target)
            await link.call(Method.REPORT_EVIDENCE, body, CALL_TIMEOUT_S)
        except (PeerError, AuthError):
            await trio.sleep(0.1)

    async def gather(self) -> dict[str, MemberReport]:
        """Return the last reports of all data centres that answer, by member."""
        members = self._membership.all()
        gathered: dict[str, MemberReport] = {}
        async with trio.open_nursery() as nursery:
            for centre in {member.data_centre for member in members}:
                target = self._membership.duties.holder(COLLECTOR, centre)
                if target is not None:
                    nursery.start_soon(self._gather_from, target, gathered)
        return gathered

    async def _gather_from(self, name: str, into: dict[str, MemberReport]) -> None:
        if name == self._membership.local.name:
            reports = self._collector.reports()
        else:
            try:
                link = await self._control.get(name)
                body = await link.call(Method.LIST_CONFIRMATIONS, b"", CALL_TIMEOUT_S)
            except (PeerError, AuthError):
                return
            reports = _REPORTS.decode(body)
        for report in reports:
            held = into.get(report.name)
            if held is None or held.sequence < report.sequence:
                into[report.name] = report
