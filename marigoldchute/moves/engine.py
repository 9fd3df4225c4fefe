"""Share in force on this node for each move of the bundle in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.moves.capacity import Capacity, measure_capacity
from marigoldchute.moves.model import (
    CellReport,
    Fault,
    Guidance,
    MoveReport,
    Split,
    Verdict,
)
from marigoldchute.moves.preflight import check_moves
from marigoldchute.moves.recorder import EvidenceRecorder
from marigoldchute.moves.state import MoveState, Surroundings
from marigoldchute.moves.watch import LocalWatch
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

JOIN_MARGIN_MS = 5000
CAPACITY_INTERVAL_MS = 500
FEW_LATENCIES = 400

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
        Replicated records; faults and verdicts travel in it.
    log : EventLog
        Event log.
    clock : Clock
        Wall clock.
    clock_error_ms : int
        Greatest difference between a clock and true time.
    use_evidence : bool
        Whether outcomes of requests act on moves; benches compare without.
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
        self._watches: dict[str, LocalWatch] = {}
        self._guidance: dict[str, Guidance] = {}
        self._capacity: dict[str, tuple[int, Capacity]] = {}
        self.recorder = EvidenceRecorder()
        in_force.on_swap(self._take_bundle)
        table.subscribe(RecordKind.FAULT, self._take_fault)
        table.subscribe(RecordKind.VERDICT, self._take_verdict)

    def states(self) -> tuple[MoveState, ...]:
        """Return the state of every move of the bundle in force."""
        return tuple(self._states.values())

    def state(self, move_id: str) -> MoveState | None:
        """Return the state of a move of the bundle in force."""
        return self._states.get(move_id)

    def recorder_of(self, move_id: str) -> MoveRecorder | None:
        """Return the counts of a move on this node."""
        return self.recorder.of_move(move_id)

    def split(self, service: str, release: str) -> Split:
        """Return how the requests of a service divide now.

        Parameters
        ----------
        service : str
            Service name.
        release : str
            Release of the service when no move is under way.

        Raises
        ------
        NotRunError
            The deadline of a move has passed and this node, which joined late, has not
            found out how it ended.
        """
        state = self._by_service.get(service)
        if state is None:
            return Split(release, release, 0.0)
        move = state.move
        if not state.knows_its_share(self._guidance.get(move.move_id)):
            raise NotRunError(
                f"the verdict of {move.move_id} is not known",
                ResultCode.REQUEST_NOT_RUN_MOVE_UNDECIDED,
            )
        return Split(move.old_release, move.new_release, state.share, move.move_id)

    def reports(self, with_latencies: bool = False) -> tuple[MoveReport, ...]:
        """Return where this node stands in each move and what it has counted.

        Parameters
        ----------
        with_latencies : bool
            Whether to include histograms that have become large.
        """
        return tuple(
            self._report(state, with_latencies) for state in self._states.values()
        )

    def _report(self, state: MoveState, with_latencies: bool) -> MoveReport:
        move_id = state.move.move_id
        recorder = self.recorder.of_move(move_id)
        if recorder is None or state.verdict is not None:
            return MoveReport(move_id, state.share, state.confirmed, state.stage)
        cells = tuple(
            CellReport(*key, counts) for key, counts in recorder.cells.items()
        )
        latencies = {
            route: dict(histogram.counts)
            for route, histogram in recorder.latencies.items()
            if with_latencies or histogram.total < FEW_LATENCIES
        }
        return MoveReport(
            move_id,
            state.share,
            state.confirmed,
            state.stage,
            state.progress.step,
            round(self.recorder.busy_of(state.move.service), 2),
            cells,
            latencies,
            state.late,
        )

    def guide(self, guidance: Iterable[Guidance]) -> None:
        """Take what the collector of the data centre knows."""
        for item in guidance:
            self._guidance[item.move_id] = item
            recorder = self.recorder.of_move(item.move_id)
            if recorder is not None:
                recorder.shared_p95_ms = item.p95_ms

    def check_moves(self, content: BundleContent) -> None:
        """Refuse a bundle whose moves cannot be in time or overload a new release.

        Raises
        ------
        MoveError
            The first such move.
        """
        nodes = len(self._members.all())
        busy = {
            service.name: nodes * self.recorder.busy_of(service.name)
            for service in content.services
        }
        now_ms = self._clock.now_ms()
        check_moves(
            content, self.states(), self._members, busy, now_ms, self._clock_error_ms
        )

    def rejoin(self) -> None:
        """Take note that others may have held this node for gone meanwhile."""
        for state in self._states.values():
            state.rejoin()

    def advance(self, now_ms: int) -> bool:
        """Bring every share to what is allowed now; return whether one changed."""
        changed = False
        self.recorder.measure_busy(now_ms)
        for state in self._states.values():
            around = Surroundings()
            if state.verdict is None:
                self._look(state, now_ms)
                around = self._surroundings(state, now_ms)
            if state.advance(now_ms, self._clock_error_ms, around):
                changed = True
                self._log_share(state)
        return changed

    def _look(self, state: MoveState, now_ms: int) -> None:
        if not self._use_evidence:
            return
        watch = self._watches[state.move.move_id]
        if state.probing(now_ms):
            watch.forget_suspicion()
        nodes = len(self._members.all())
        reason = watch.look(now_ms, state.share, nodes)
        if reason is not None and state.fault is None:
            self.report_fault(state.move.move_id, reason, now_ms)

    def _surroundings(self, state: MoveState, now_ms: int) -> Surroundings:
        move = state.move
        guidance = self._guidance.get(move.move_id)
        watch = self._watches[move.move_id]
        known = guidance if guidance is not None else Guidance(move.move_id)
        capacity = self._capacity_of(move, known.busy, now_ms)
        if not self._use_evidence:
            return Surroundings(capacity, guidance=guidance, by_schedule=True)
        return Surroundings(
            capacity,
            max(known.answered, watch.answered),
            known.wary or watch.wary,
            known.suspicious or watch.suspicious,
            guidance,
        )

    def _capacity_of(self, move: Move, busy: float, now_ms: int) -> Capacity:
        measured_ms, held = self._capacity.get(move.move_id, (0, None))
        if held is None or now_ms - measured_ms >= CAPACITY_INTERVAL_MS:
            held = measure_capacity(self._members, move, busy, now_ms)
            self._capacity[move.move_id] = (now_ms, held)
        return held

    def report_fault(self, move_id: str, reason: str, now_ms: int) -> None:
        """Publish a fault of a new release that this node has found."""
        if not self._use_evidence:
            return
        node = self._members.local.name
        body = msgspec.msgpack.encode(Fault(move_id, node, reason, now_ms))
        self._table.offer(Record(RecordKind.FAULT, move_id, (1, 0), body))

    def publish_verdict(self, verdict: Verdict) -> None:
        """Publish a verdict that the store holds."""
        body = msgspec.msgpack.encode(verdict)
        self._table.offer(Record(RecordKind.VERDICT, verdict.move_id, (1, 0), body))

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

    def _take_bundle(self, bundle: Bundle) -> None:
        now_ms = self._clock.now_ms()
        states = {}
        for move in bundle.content.moves:
            held = self._states.get(move.move_id)
            if held is None:
                held = MoveState(move, self._joined_late(move, now_ms))
            states[move.move_id] = held
        self._states = states
        self._by_service = {state.move.service: state for state in states.values()}
        self.recorder.take_bundle(bundle)
        self._watches = {
            move_id: self._watch_of(move_id, recorder)
            for move_id in states
            if (recorder := self.recorder.of_move(move_id)) is not None
        }
        for state in states.values():
            self._recall(state)

    def _watch_of(self, move_id: str, recorder: MoveRecorder) -> LocalWatch:
        held = self._watches.get(move_id)
        if held is not None and held.recorder is recorder:
            return held
        return LocalWatch(recorder)

    def _joined_late(self, move: Move, now_ms: int) -> bool:
        if now_ms + self._clock_error_ms <= move.start_ms:
            return False
        started_ms = self._members.local.incarnation
        return started_ms > move.start_ms - JOIN_MARGIN_MS

    def _recall(self, state: MoveState) -> None:
        fault = self._table.get(RecordKind.FAULT, state.move.move_id)
        verdict = self._table.get(RecordKind.VERDICT, state.move.move_id)
        if fault is not None:
            state.fault = _FAULT.decode(fault.body)
        if verdict is not None:
            state.verdict = _VERDICT.decode(verdict.body)

    def _take_fault(self, record: Record) -> None:
        fault = _FAULT.decode(record.body)
        state = self._states.get(fault.move_id)
        if state is None:
            return
        state.fault = fault
        self._log.emit(
            "moves",
            "fault",
            f"{fault.move_id} has a fault seen by {fault.node}: {fault.reason}.",
            move=fault.move_id,
            seen_by=fault.node,
        )

    def _take_verdict(self, record: Record) -> None:
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
