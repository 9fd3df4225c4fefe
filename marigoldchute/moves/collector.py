"""Collects, for one data centre, where each member stands and what it has counted."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marigoldchute.link.methods import Method
from marigoldchute.moves.centre import CentreEvidence, streams_of
from marigoldchute.moves.evidence import log_e_value, merge_streams, worst_stream
from marigoldchute.moves.judge import stand_of_centre
from marigoldchute.moves.model import Guidance, MemberReport, MoveSummary, Stage
from marigoldchute.moves.sequential import log_threshold
from marigoldchute.moves.watch import WARY_SHARE_OF_THRESHOLD, describe

if TYPE_CHECKING:
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.membership.model import Member, Members
    from marigoldchute.moves.engine import MoveEngine
    from marigoldchute.moves.model import Stand
    from marigoldchute.util.clock import Clock

_REPORT = msgspec.msgpack.Decoder(MemberReport)


class Collector:
    """Keeps the last report of each member that reports to this node.

    Parameters
    ----------
    members : Members
        Members of the mesh.
    engine : MoveEngine
        Moves of the bundle in force.
    handlers : Handlers
        Where the methods that peers call are registered.
    clock : Clock
        Wall clock.
    """

    def __init__(
        self, members: Members, engine: MoveEngine, handlers: Handlers, clock: Clock
    ) -> None:
        self._members = members
        self._engine = engine
        self._clock = clock
        self._reports: dict[str, MemberReport] = {}
        self._evidence: dict[str, CentreEvidence] = {}
        self._abroad: dict[str, dict[str, MoveSummary]] = {}
        self._guidance: dict[str, Guidance] = {}
        handlers.register(Method.REPORT_EVIDENCE, self._take_report)
        handlers.register(Method.LIST_CONFIRMATIONS, self._list_reports)
        handlers.register(Method.LIST_STANDS, self._list_stands)
        handlers.register(Method.LIST_SUMMARIES, self._list_summaries)

    def take(self, report: MemberReport, now_ms: int) -> None:
        """Keep a report unless a later one of the member is held."""
        held = self._reports.get(report.name)
        order = (report.incarnation, report.sequence)
        if held is not None and (held.incarnation, held.sequence) >= order:
            return
        self._reports[report.name] = report
        for item in report.moves:
            state = self._engine.state(item.move_id)
            if state is None or state.verdict is not None:
                continue
            evidence = self._evidence.get(item.move_id)
            if evidence is None:
                evidence = CentreEvidence(state.move)
                self._evidence[item.move_id] = evidence
            evidence.take(report.name, report.incarnation, item, now_ms)

    def reports(self) -> list[MemberReport]:
        """Return the last report of each member."""
        return list(self._reports.values())

    def stands(self) -> list[Stand]:
        """Return which members of this data centre have confirmed each move."""
        members = self._home_members()
        return [
            stand_of_centre(state.move.move_id, members, self._reports)
            for state in self._engine.states()
        ]

    def summaries(self) -> list[MoveSummary]:
        """Return this data centre's evidence about each undecided move."""
        return [
            self._evidence[state.move.move_id].summary()
            for state in self._engine.states()
            if state.verdict is None and state.move.move_id in self._evidence
        ]

    def take_summaries(self, data_centre: str, summaries: list[MoveSummary]) -> None:
        """Keep what the collector of another data centre has found."""
        for summary in summaries:
            held = self._abroad.setdefault(summary.move_id, {})
            held[data_centre] = summary

    def guidance(self) -> list[Guidance]:
        """Return what the members of this data centre need to know of each move."""
        return list(self._guidance.values())

    def merge(self, now_ms: int) -> None:
        """Close windows, test the evidence of all data centres, publish faults."""
        names = {member.name for member in self._home_members()}
        self._reports = {n: r for n, r in self._reports.items() if n in names}
        undecided = [s for s in self._engine.states() if s.verdict is None]
        known = {state.move.move_id for state in undecided}
        self._evidence = {m: e for m, e in self._evidence.items() if m in known}
        self._abroad = {m: s for m, s in self._abroad.items() if m in known}
        self._guidance = {m: g for m, g in self._guidance.items() if m in known}
        for move_id, evidence in self._evidence.items():
            evidence.keep_members(names)
            self._merge_move(move_id, evidence, now_ms)

    def _merge_move(self, move_id: str, evidence: CentreEvidence, now_ms: int) -> None:
        state = self._engine.state(move_id)
        recorder = self._engine.recorder_of(move_id)
        if state is None or recorder is None:
            return
        if state.probing(now_ms):
            evidence.forget_suspicion()
        evidence.close_windows(now_ms, state.share >= 1.0)
        parts = [evidence.summary(), *self._abroad.get(move_id, {}).values()]
        streams = merge_streams(streams_of(part) for part in parts)
        log_e = log_e_value(streams)
        limit = log_threshold(state.move.thresholds.false_alarm, 2)
        if log_e > limit and state.fault is None:
            reason = describe(recorder, worst_stream(streams))
            self._engine.report_fault(move_id, reason, now_ms)
        wary = log_e > WARY_SHARE_OF_THRESHOLD * limit
        self._guidance[move_id] = self._guide(move_id, parts, wary)

    def _guide(self, move_id: str, parts: list[MoveSummary], wary: bool) -> Guidance:
        reported = [
            item
            for report in self._reports.values()
            for item in report.moves
            if item.move_id == move_id
        ]
        rolling = [r.step for r in reported if r.stage == Stage.ROLLING and not r.late]
        p95_ms: dict[int, float] = {}
        for part in reversed(parts):
            p95_ms |= part.p95_ms
        return Guidance(
            move_id,
            min(rolling, default=-1),
            sum(part.answered for part in parts),
            sum(part.busy for part in parts),
            wary,
            any(part.suspicious for part in parts),
            sum(r.stage == Stage.CONFIRMED for r in reported),
            sum(r.stage == Stage.RETURNED for r in reported),
            p95_ms,
        )

    def _home_members(self) -> list[Member]:
        home = self._members.local.data_centre
        return [m for m in self._members.all() if m.data_centre == home]

    async def _take_report(self, link: Link, body: bytes) -> bytes:
        self.take(_REPORT.decode(body), self._clock.now_ms())
        return msgspec.msgpack.encode(self.guidance())

    async def _list_reports(self, link: Link, body: bytes) -> bytes:
        return msgspec.msgpack.encode(self.reports())

    async def _list_stands(self, link: Link, body: bytes) -> bytes:
        return msgspec.msgpack.encode(self.stands())

    async def _list_summaries(self, link: Link, body: bytes) -> bytes:
        return msgspec.msgpack.encode(self.summaries())
