"""Shares in force on this node for the moves of the bundle in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.moves.capacity import Capacity, compute_capacity
from marigoldchute.moves.local_detector import LocalFaultDetector
from marigoldchute.moves.model import (
    CollectorResponse,
    CountsReport,
    Fault,
    MoveReport,
    Split,
    Verdict,
)
from marigoldchute.moves.preflight import check_moves
from marigoldchute.moves.recorder import EvidenceRecorder
from marigoldchute.moves.state import MoveInputs, MoveState
from marigoldchute.overlay.records import Record, RecordKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.bundle.model import Bundle, BundleContent, Move
    from marigoldchute.events import EventLog
    from marigoldchute.membership.model import Members
    from marigoldchute.moves.recorder import MoveRecorder
    from marigoldchute.overlay.records import RecordTable
    from marigoldchute.util.clock import Clock

# A driver may not know a node that started less than this before a move's start.
JOIN_MARGIN_MS = 5000
CAPACITY_INTERVAL_MS = 500
SMALL_HISTOGRAM_COUNT = 400

_VERDICT = msgspec.msgpack.Decoder(Verdict)
_FAULT = msgspec.msgpack.Decoder(Fault)


class MoveEngine:
    """Keeps a ``MoveState`` for each move of the bundle in force.

    Parameters
    ----------
    in_force : InForce
        The bundle in force.
    members : Members
        Members of the mesh.
    table : RecordTable
        Replicated records, which distribute faults and verdicts.
    log : EventLog
        Event log.
    clock : Clock
        Wall clock.
    clock_error_ms : int
        Maximum difference between a clock and true time.
    use_evidence : bool
        Whether request outcomes affect moves; benchmarks disable this to compare.
    """

    def __init__(
        self,
        in_force: InForce,
        members: Members,
        table: RecordTable,
        log: EventLog,
        clock: Clock,
        clock_error_ms: int,
        use_evidence: bool = True,
    ) -> None:
        self._members = members
        self._table = table
        self._log = log
        self._clock = clock
        self._clock_error_ms = clock_error_ms
        self._use_evidence = use_evidence
        self._states: dict[str, MoveState] = {}
        self._by_service: dict[str, MoveState] = {}
        self._detectors: dict[str, LocalFaultDetector] = {}
        self._collector_responses: dict[str, CollectorResponse] = {}
        self._capacity: dict[str, tuple[int, Capacity]] = {}
        self.recorder = EvidenceRecorder()
        in_force.add_swap_listener(self._apply_bundle)
        table.subscribe(RecordKind.FAULT, self._handle_fault)
        table.subscribe(RecordKind.VERDICT, self._handle_verdict)

    def states(self) -> tuple[MoveState, ...]:
        """Return the state of every move of the bundle in force."""
        return tuple(self._states.values())

    def state(self, move_id: str) -> MoveState | None:
        """Return the state of a move of the bundle in force."""
        return self._states.get(move_id)

    def move_recorder(self, move_id: str) -> MoveRecorder | None:
        """Return the recorder of a move on this node."""
        return self.recorder.move_recorder(move_id)

    def split(self, service: str, release: str) -> Split:
        """Return the current split of a service's requests between releases.

        Parameters
        ----------
        service : str
            Service name.
        release : str
            Release of the service when no move is in progress.

        Raises
        ------
        NotRunError
            The deadline of a move has passed, this node joined late and it does not
            know the outcome of the move yet.
        """
        state = self._by_service.get(service)
        if state is None:
            return Split(release, release, 0.0)
        move = state.move
        if not state.is_share_known(self._collector_responses.get(move.move_id)):
            raise NotRunError(
                f"the verdict of move {move.move_id} is not known on this node",
                ResultCode.REQUEST_NOT_RUN_MOVE_UNDECIDED,
            )
        return Split(move.old_release, move.new_release, state.share, move.move_id)

    def reports(self, include_latencies: bool = False) -> tuple[MoveReport, ...]:
        """Return the state and the counts of this node for each move.

        Parameters
        ----------
        include_latencies : bool
            Whether to include latency histograms of ``SMALL_HISTOGRAM_COUNT`` or more
            latencies; smaller ones are always included.
        """
        return tuple(
            self._build_report(state, include_latencies)
            for state in self._states.values()
        )

    def _build_report(self, state: MoveState, include_latencies: bool) -> MoveReport:
        move_id = state.move.move_id
        recorder = self.recorder.move_recorder(move_id)
        if recorder is None or state.verdict is not None:
            return MoveReport(move_id, state.share, state.confirmed, state.stage)
        counts_reports = tuple(
            CountsReport(*key, counts) for key, counts in recorder.counts_by_key.items()
        )
        latencies = {
            route: dict(histogram.counts)
            for route, histogram in recorder.latencies.items()
            if include_latencies or histogram.total < SMALL_HISTOGRAM_COUNT
        }
        return MoveReport(
            move_id,
            state.share,
            state.confirmed,
            state.stage,
            state.progress.step,
            round(self.recorder.concurrency_of(state.move.service), 2),
            counts_reports,
            latencies,
            state.joined_late,
        )

    def apply_collector_responses(self, responses: Iterable[CollectorResponse]) -> None:
        """Store the latest response of the data centre's collector, by move."""
        for item in responses:
            self._collector_responses[item.move_id] = item
            recorder = self.recorder.move_recorder(item.move_id)
            if recorder is not None:
                recorder.collector_p95_ms = item.p95_ms

    def check_moves(self, content: BundleContent) -> None:
        """Reject a bundle whose new moves would be late or overload the new release.

        Raises
        ------
        MoveError
            A new move fails one of these checks; the first one is reported.
        """
        nodes = len(self._members.all())
        concurrency = {
            service.name: nodes * self.recorder.concurrency_of(service.name)
            for service in content.services
        }
        now_ms = self._clock.now_ms()
        check_moves(
            content,
            self.states(),
            self._members,
            concurrency,
            now_ms,
            self._clock_error_ms,
        )

    def on_new_incarnation(self) -> None:
        """Mark this node as a late member of every move it has not confirmed.

        Called when this node starts a new incarnation: other members may have treated
        the previous one as gone.
        """
        for state in self._states.values():
            state.on_new_incarnation()

    def advance(self, now_ms: int) -> bool:
        """Update the share of every move; return whether any state changed."""
        changed = False
        self.recorder.update_concurrency(now_ms)
        for state in self._states.values():
            inputs = MoveInputs()
            if state.verdict is None:
                self._detect_fault(state, now_ms)
                inputs = self._build_inputs(state, now_ms)
            if state.advance(now_ms, self._clock_error_ms, inputs):
                changed = True
                self._log_share(state)
        return changed

    def _detect_fault(self, state: MoveState, now_ms: int) -> None:
        if not self._use_evidence:
            return
        detector = self._detectors[state.move.move_id]
        if state.is_comparing(now_ms):
            detector.reset_history()
        nodes = len(self._members.all())
        reason = detector.detect(now_ms, state.share, nodes)
        if reason is not None and state.fault is None:
            self.report_fault(state.move.move_id, reason, now_ms)

    def _build_inputs(self, state: MoveState, now_ms: int) -> MoveInputs:
        move = state.move
        response = self._collector_responses.get(move.move_id)
        detector = self._detectors[move.move_id]
        totals = response if response is not None else CollectorResponse(move.move_id)
        capacity = self._cached_capacity(move, totals.concurrency, now_ms)
        if not self._use_evidence:
            return MoveInputs(capacity, collector_response=response, schedule_only=True)
        return MoveInputs(
            capacity,
            max(totals.outcomes, detector.outcomes),
            totals.suspected or detector.suspected,
            totals.degraded or detector.degraded,
            response,
        )

    def _cached_capacity(self, move: Move, concurrency: float, now_ms: int) -> Capacity:
        computed_ms, existing = self._capacity.get(move.move_id, (0, None))
        if existing is None or now_ms - computed_ms >= CAPACITY_INTERVAL_MS:
            existing = compute_capacity(self._members, move, concurrency, now_ms)
            self._capacity[move.move_id] = (now_ms, existing)
        return existing

    def report_fault(self, move_id: str, reason: str, now_ms: int) -> None:
        """Publish a fault of a new release that this node has detected."""
        if not self._use_evidence:
            return
        node = self._members.local.name
        body = msgspec.msgpack.encode(Fault(move_id, node, reason, now_ms))
        # All faults of a move have the same rank, so a node keeps the first one.
        self._table.apply(Record(RecordKind.FAULT, move_id, (1, 0), body))

    def publish_verdict(self, verdict: Verdict) -> None:
        """Publish a verdict read from the store."""
        body = msgspec.msgpack.encode(verdict)
        self._table.apply(Record(RecordKind.VERDICT, verdict.move_id, (1, 0), body))

    def _log_share(self, state: MoveState) -> None:
        confirmed = ", confirmed" if state.confirmed else ""
        self._log.emit(
            "moves",
            "share",
            f"{state.move.move_id} is at share {state.share:g}{confirmed}.",
            move=state.move.move_id,
            share=state.share,
            confirmed=state.confirmed,
            stage=state.stage.name.lower(),
            step=state.progress.step,
        )

    def _apply_bundle(self, bundle: Bundle) -> None:
        now_ms = self._clock.now_ms()
        states = {}
        for move in bundle.content.moves:
            existing = self._states.get(move.move_id)
            if existing is None:
                existing = MoveState(move, self._joined_late(move, now_ms))
            states[move.move_id] = existing
        self._states = states
        self._by_service = {state.move.service: state for state in states.values()}
        self.recorder.apply_bundle(bundle)
        self._detectors = {
            move_id: self._detector_for(move_id, recorder)
            for move_id in states
            if (recorder := self.recorder.move_recorder(move_id)) is not None
        }
        for state in states.values():
            self._restore_records(state)

    def _detector_for(self, move_id: str, recorder: MoveRecorder) -> LocalFaultDetector:
        existing = self._detectors.get(move_id)
        if existing is not None and existing.recorder is recorder:
            return existing
        return LocalFaultDetector(recorder)

    def _joined_late(self, move: Move, now_ms: int) -> bool:
        if now_ms + self._clock_error_ms <= move.start_ms:
            return False
        started_ms = self._members.local.incarnation
        return started_ms > move.start_ms - JOIN_MARGIN_MS

    def _restore_records(self, state: MoveState) -> None:
        fault = self._table.get(RecordKind.FAULT, state.move.move_id)
        verdict = self._table.get(RecordKind.VERDICT, state.move.move_id)
        if fault is not None:
            state.fault = _FAULT.decode(fault.body)
        if verdict is not None:
            state.verdict = _VERDICT.decode(verdict.body)

    def _handle_fault(self, record: Record) -> None:
        fault = _FAULT.decode(record.body)
        state = self._states.get(fault.move_id)
        if state is None:
            return
        state.fault = fault
        self._log.emit(
            "moves",
            "fault",
            f"{fault.move_id} has a fault detected by {fault.node}: {fault.reason}.",
            move=fault.move_id,
            seen_by=fault.node,
        )

    def _handle_verdict(self, record: Record) -> None:
        verdict = _VERDICT.decode(record.body)
        state = self._states.get(verdict.move_id)
        if state is None:
            return
        state.verdict = verdict
        self._log.emit(
            "moves",
            "verdict",
            f"{verdict.move_id} is {verdict.kind.value}: {verdict.reason}.",
            move=verdict.move_id,
            verdict=verdict.kind.value,
        )
