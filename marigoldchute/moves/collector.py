"""Collects the move reports of the members of one data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marigoldchute.link.methods import Method
from marigoldchute.moves.data_centre_evidence import DataCentreEvidence, streams_of
from marigoldchute.moves.decision import confirmation_digest
from marigoldchute.moves.evidence import log_e_value, merge_streams, worst_stream
from marigoldchute.moves.local_detector import (
    SUSPECTED_THRESHOLD_FRACTION,
    describe_fault,
)
from marigoldchute.moves.model import (
    CollectorResponse,
    MemberReport,
    MoveSummary,
    Stage,
)
from marigoldchute.moves.sequential import log_threshold

if TYPE_CHECKING:
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.membership.model import Member, Members
    from marigoldchute.moves.engine import MoveEngine
    from marigoldchute.moves.model import ConfirmationDigest
    from marigoldchute.util.clock import Clock

_REPORT = msgspec.msgpack.Decoder(MemberReport)


class Collector:
    """Keeps the latest report of each member that reports to this node.

    Parameters
    ----------
    members : Members
        Members of the mesh.
    engine : MoveEngine
        Moves of the bundle in force.
    handlers : Handlers
        Registry of the methods that peers call.
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
        self._evidence: dict[str, DataCentreEvidence] = {}
        self._remote_summaries: dict[str, dict[str, MoveSummary]] = {}
        self._responses: dict[str, CollectorResponse] = {}
        handlers.register(Method.REPORT_EVIDENCE, self._handle_report)
        handlers.register(Method.LIST_MEMBER_REPORTS, self._handle_list_member_reports)
        handlers.register(
            Method.LIST_CONFIRMATION_DIGESTS, self._handle_list_confirmation_digests
        )
        handlers.register(Method.LIST_SUMMARIES, self._handle_list_summaries)

    def apply_report(self, report: MemberReport, now_ms: int) -> None:
        """Store a report and merge its counts, unless it is stale."""
        existing = self._reports.get(report.name)
        order = (report.incarnation, report.sequence)
        if existing is not None and (existing.incarnation, existing.sequence) >= order:
            return
        self._reports[report.name] = report
        for item in report.moves:
            state = self._engine.state(item.move_id)
            if state is None or state.verdict is not None:
                continue
            evidence = self._evidence.get(item.move_id)
            if evidence is None:
                evidence = DataCentreEvidence(state.move)
                self._evidence[item.move_id] = evidence
            evidence.apply_report(report.name, report.incarnation, item, now_ms)

    def reports(self) -> list[MemberReport]:
        """Return the latest report of each member."""
        return list(self._reports.values())

    def confirmation_digests(self) -> list[ConfirmationDigest]:
        """Return the confirmation digest of this data centre for each move."""
        members = self._local_members()
        return [
            confirmation_digest(state.move.move_id, members, self._reports)
            for state in self._engine.states()
        ]

    def summaries(self) -> list[MoveSummary]:
        """Return the evidence of this data centre about each undecided move."""
        return [
            self._evidence[state.move.move_id].summary()
            for state in self._engine.states()
            if state.verdict is None and state.move.move_id in self._evidence
        ]

    def apply_summaries(self, data_centre: str, summaries: list[MoveSummary]) -> None:
        """Store the latest summaries from the collector of another data centre."""
        for summary in summaries:
            existing = self._remote_summaries.setdefault(summary.move_id, {})
            existing[data_centre] = summary

    def responses(self) -> list[CollectorResponse]:
        """Return the response to a member's report, one item per undecided move."""
        return list(self._responses.values())

    def merge(self, now_ms: int) -> None:
        """Close windows, test the evidence of all data centres and publish faults."""
        names = {member.name for member in self._local_members()}
        self._reports = {n: r for n, r in self._reports.items() if n in names}
        undecided = [s for s in self._engine.states() if s.verdict is None]
        undecided_ids = {state.move.move_id for state in undecided}
        self._evidence = {m: e for m, e in self._evidence.items() if m in undecided_ids}
        self._remote_summaries = {
            m: s for m, s in self._remote_summaries.items() if m in undecided_ids
        }
        self._responses = {
            m: response for m, response in self._responses.items() if m in undecided_ids
        }
        for move_id, evidence in self._evidence.items():
            evidence.retain_members(names)
            self._merge_move(move_id, evidence, now_ms)

    def _merge_move(
        self, move_id: str, evidence: DataCentreEvidence, now_ms: int
    ) -> None:
        state = self._engine.state(move_id)
        recorder = self._engine.move_recorder(move_id)
        if state is None or recorder is None:
            return
        if state.is_comparing(now_ms):
            evidence.reset_history()
        evidence.close_windows(now_ms, state.share >= 1.0)
        summaries = [
            evidence.summary(),
            *self._remote_summaries.get(move_id, {}).values(),
        ]
        streams = merge_streams(streams_of(summary) for summary in summaries)
        log_e = log_e_value(streams)
        threshold = log_threshold(state.move.thresholds.false_alarm, 2)
        if log_e > threshold and state.fault is None:
            reason = describe_fault(recorder, worst_stream(streams))
            self._engine.report_fault(move_id, reason, now_ms)
        suspected = log_e > SUSPECTED_THRESHOLD_FRACTION * threshold
        self._responses[move_id] = self._build_response(move_id, summaries, suspected)

    def _build_response(
        self, move_id: str, summaries: list[MoveSummary], suspected: bool
    ) -> CollectorResponse:
        move_reports = [
            item
            for report in self._reports.values()
            for item in report.moves
            if item.move_id == move_id
        ]
        rolling_steps = [
            r.step
            for r in move_reports
            if r.stage == Stage.ROLLING and not r.joined_late
        ]
        p95_ms: dict[int, float] = {}
        for summary in reversed(summaries):
            p95_ms |= summary.p95_ms
        return CollectorResponse(
            move_id,
            min(rolling_steps, default=-1),
            sum(summary.outcomes for summary in summaries),
            sum(summary.concurrency for summary in summaries),
            suspected,
            any(summary.degraded for summary in summaries),
            sum(r.stage == Stage.CONFIRMED for r in move_reports),
            sum(r.stage == Stage.RETURNED for r in move_reports),
            p95_ms,
        )

    def _local_members(self) -> list[Member]:
        data_centre = self._members.local.data_centre
        return [m for m in self._members.all() if m.data_centre == data_centre]

    async def _handle_report(self, link: Link, body: bytes) -> bytes:
        self.apply_report(_REPORT.decode(body), self._clock.now_ms())
        return msgspec.msgpack.encode(self.responses())

    async def _handle_list_member_reports(self, link: Link, body: bytes) -> bytes:
        return msgspec.msgpack.encode(self.reports())

    async def _handle_list_confirmation_digests(self, link: Link, body: bytes) -> bytes:
        return msgspec.msgpack.encode(self.confirmation_digests())

    async def _handle_list_summaries(self, link: Link, body: bytes) -> bytes:
        return msgspec.msgpack.encode(self.summaries())
