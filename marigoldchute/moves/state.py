"""What one member knows of one move, and the share that follows from it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from marigoldchute.moves.capacity import Capacity
from marigoldchute.moves.model import Guidance, Stage, VerdictKind
from marigoldchute.moves.schedule import MIN_ANSWERS, Progress, due_step

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Move
    from marigoldchute.moves.model import Fault, Verdict

PROBE_MS = 3000


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """What a member knows beside the time.

    Parameters
    ----------
    capacity : Capacity
        Slots and load of both releases.
    answered : int
        Answers of the new release so far, as far as this member knows.
    wary : bool
        Whether the evidence speaks against a further step for now.
    suspicious : bool
        Whether the new release alone fails more than the old one did.
    guidance : Guidance, optional
        Last answer of the data centre's collector.
    by_schedule : bool
        Whether steps wait for no answers.
    """

    capacity: Capacity = Capacity(1, 1)
    answered: int = 0
    wary: bool = False
    suspicious: bool = False
    guidance: Guidance | None = None
    by_schedule: bool = False


class MoveState:
    """State of one member in one move.

    Parameters
    ----------
    move : Move
        Move of the bundle in force.
    late : bool
        Whether the member joined so late that a driver may not have counted it. Such
        a member never falls back by itself at the deadline.
    """

    def __init__(self, move: Move, late: bool = False) -> None:
        self.move = move
        self.late = late
        self.share = 0.0
        self.confirmed = False
        self.stage = Stage.ROLLING
        self.full_since_ms: int | None = None
        self.fault: Fault | None = None
        self.verdict: Verdict | None = None
        self.progress = Progress()
        self._answered_before = 0
        self._probe_until_ms = 0

    def advance(
        self, now_ms: int, clock_error_ms: int, around: Surroundings = Surroundings()
    ) -> bool:
        """Bring the share to what is allowed now.

        Parameters
        ----------
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        clock_error_ms : int
            Greatest difference between a clock and true time.
        around : Surroundings
            Capacity and evidence.

        Returns
        -------
        bool
            Whether the share, the stage or the confirmation changed.
        """
        before = (self.share, self.confirmed, self.stage, self.progress.step)
        self.stage = self._find_stage(now_ms, clock_error_ms)
        self.share = self._allowed_share(now_ms, clock_error_ms, around)
        self._confirm(now_ms, clock_error_ms, around)
        return before != (
            self.share,
            self.confirmed,
            self.stage,
            self.progress.step,
        )

    def probing(self, now_ms: int) -> bool:
        """Whether the old release takes a part again, for comparison."""
        return now_ms < self._probe_until_ms

    def rejoin(self) -> None:
        """Take note that others may have held this member for gone meanwhile."""
        if not self.confirmed:
            self.late = True

    def _find_stage(self, now_ms: int, clock_error_ms: int) -> Stage:
        if self.verdict is not None:
            return Stage.DECIDED
        if self.confirmed:
            return Stage.CONFIRMED
        if now_ms <= self.move.deadline_ms + clock_error_ms:
            return Stage.ROLLING
        return Stage.UNDECIDED if self.late else Stage.RETURNED

    def _allowed_share(
        self, now_ms: int, clock_error_ms: int, around: Surroundings
    ) -> float:
        if self.verdict is not None:
            return 1.0 if self.verdict.kind is VerdictKind.DONE else 0.0
        if self.stage is Stage.CONFIRMED:
            return 1.0
        if self.fault is not None or self.stage is Stage.RETURNED:
            return 0.0
        if self.stage is Stage.UNDECIDED:
            return self._share_of_peers(around)
        self._step(now_ms, clock_error_ms, around)
        return self._step_share(now_ms, around)

    def _share_of_peers(self, around: Surroundings) -> float:
        guidance = around.guidance
        if guidance is None or guidance.returned or not guidance.confirmed:
            return 0.0
        return 1.0

    def knows_its_share(self, guidance: Guidance | None) -> bool:
        """Whether the share in force follows from what is known.

        A late member that finds neither the verdict nor a peer that was surely counted
        can only guess after the deadline, and must not.
        """
        if self.stage is not Stage.UNDECIDED or self.fault is not None:
            return True
        return guidance is not None and bool(guidance.returned or guidance.confirmed)

    def _step(self, now_ms: int, clock_error_ms: int, around: Surroundings) -> None:
        progress = dataclasses.replace(
            self.progress,
            answers=self._answers(around),
            wary=around.wary,
        )
        step = due_step(self.move, progress, now_ms, clock_error_ms)
        if self.late and around.guidance is not None:
            step = max(step, around.guidance.step)
        if step != self.progress.step:
            self._answered_before = around.answered
            progress = Progress(step, now_ms)
        self.progress = progress

    def _answers(self, around: Surroundings) -> int:
        if around.by_schedule:
            return MIN_ANSWERS
        return max(0, around.answered - self._answered_before)

    def _step_share(self, now_ms: int, around: Surroundings) -> float:
        if self.progress.step < 0:
            return 0.0
        steps = self.move.steps
        share = steps[self.progress.step].share
        if share >= 1.0 and len(steps) > 1:
            if around.suspicious and around.capacity.old_slots:
                self._probe_until_ms = now_ms + PROBE_MS
            if self.probing(now_ms):
                share = steps[-2].share
        return min(share, around.capacity.greatest_share)

    def _confirm(self, now_ms: int, clock_error_ms: int, around: Surroundings) -> None:
        if self.share < 1.0 or self.stage is not Stage.ROLLING:
            self.full_since_ms = None
            return
        if self.full_since_ms is None:
            self.full_since_ms = now_ms
        if around.wary:
            return
        watched = now_ms - self.full_since_ms >= self.move.watch_ms
        in_time = now_ms + clock_error_ms < self.move.deadline_ms
        if watched and in_time:
            self.confirmed = True
            self.stage = Stage.CONFIRMED
