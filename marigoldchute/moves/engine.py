"""Share in force on this node for each move of the bundle in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marigoldchute.moves.model import (
    Fault,
    MoveReport,
    Split,
    Verdict,
    VerdictKind,
)
from marigoldchute.moves.schedule import scheduled_step
from marigoldchute.overlay.records import Record, RecordKind

if TYPE_CHECKING:
    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.bundle.model import Bundle, Move
    from marigoldchute.events import EventLog
    from marigoldchute.overlay.records import RecordTable

_VERDICT = msgspec.msgpack.Decoder(Verdict)
_FAULT = msgspec.msgpack.Decoder(Fault)


class MoveState:
    """What this node knows and does about one move."""

    def __init__(self, move: Move) -> None:
        self.move = move
        self.share = 0.0
        self.confirmed = False
        self.full_since_ms: int | None = None
        self.fault: Fault | None = None
        self.verdict: Verdict | None = None

    def advance(self, now_ms: int, clock_error_ms: int) -> bool:
        """Bring the share to what is allowed now.

        Returns
        -------
        bool
            Whether the share or the confirmation changed.
        """
        before = (self.share, self.confirmed)
        self.share = self._allowed_share(now_ms, clock_error_ms)
        if self.share < 1.0:
            self.full_since_ms = None
        elif self.full_since_ms is None:
            self.full_since_ms = now_ms
        self._confirm(now_ms, clock_error_ms)
        return before != (self.share, self.confirmed)

    def _allowed_share(self, now_ms: int, clock_error_ms: int) -> float:
        move = self.move
        if self.verdict is not None:
            return 1.0 if self.verdict.kind is VerdictKind.DONE else 0.0
        if self.confirmed:
            return 1.0
        if self.fault is not None:
            return 0.0
        if now_ms > move.deadline_ms + clock_error_ms:
            return 0.0
        step = scheduled_step(move, now_ms)
        return move.steps[step].share if step >= 0 else 0.0

    def _confirm(self, now_ms: int, clock_error_ms: int) -> None:
        if self.confirmed or self.verdict is not None or self.full_since_ms is None:
            return
        watched = now_ms - self.full_since_ms >= self.move.watch_ms
        in_time = now_ms + clock_error_ms < self.move.deadline_ms
        self.confirmed = watched and in_time


class MoveEngine:
    """Keeps a ``MoveState`` for each move of the bundle in force."""

    def __init__(
        self,
        in_force: InForce,
        table: RecordTable,
        log: EventLog,
        clock_error_ms: int,
    ) -> None:
        self._in_force = in_force
        self._table = table
        self._log = log
        self._clock_error_ms = clock_error_ms
        self._states: dict[str, MoveState] = {}
        self._by_service: dict[str, MoveState] = {}
        in_force.on_swap(self._take_bundle)
        table.subscribe(RecordKind.FAULT, self._take_fault)
        table.subscribe(RecordKind.VERDICT, self._take_verdict)

    def states(self) -> tuple[MoveState, ...]:
        """Return the state of every move of the bundle in force."""
        return tuple(self._states.values())

    def split(self, service: str, release: str) -> Split:
        """Return how the requests of a service divide now.

        Parameters
        ----------
        service : str
            Service name.
        release : str
            Release of the service when no move is under way.
        """
        state = self._by_service.get(service)
        if state is None:
            return Split(release, release, 0.0)
        move = state.move
        return Split(move.old_release, move.new_release, state.share, move.move_id)

    def reports(self) -> tuple[MoveReport, ...]:
        """Return where this node stands in each move."""
        return tuple(
            MoveReport(state.move.move_id, state.share, state.confirmed)
            for state in self._states.values()
        )

    def advance(self, now_ms: int) -> bool:
        """Bring every share to what is allowed now; return whether one changed."""
        changed = False
        for state in self._states.values():
            if state.advance(now_ms, self._clock_error_ms):
                changed = True
                self._log_share(state)
        return changed

    def report_fault(self, move_id: str, node: str, reason: str, now_ms: int) -> None:
        """Publish a fault of a new release."""
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
        )

    def _take_bundle(self, bundle: Bundle) -> None:
        states = {}
        for move in bundle.content.moves:
            held = self._states.get(move.move_id)
            states[move.move_id] = held if held is not None else MoveState(move)
        self._states = states
        self._by_service = {state.move.service: state for state in states.values()}
        for state in states.values():
            self._recall(state)

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
