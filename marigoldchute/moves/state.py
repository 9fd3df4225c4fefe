"""State of one member in one move and the share that results from it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from marigoldchute.moves.capacity import Capacity
from marigoldchute.moves.model import CollectorResponse, Stage, VerdictKind
from marigoldchute.moves.schedule import MIN_OUTCOMES, Progress, due_step

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Move
    from marigoldchute.moves.model import Fault, Verdict

COMPARISON_MS = 3000


@dataclasses.dataclass(frozen=True)
class MoveInputs:
    """Inputs of ``MoveState.advance`` besides the time.

    Parameters
    ----------
    capacity : Capacity
        Slots and concurrency of both releases.
    outcomes : int
        Number of outcomes of the new release so far that this member knows of.
    suspected : bool
        Whether evidence against the new release delays the next step and the
        confirmation.
    degraded : bool
        Whether the new release, running alone, fails more than the old one did.
    collector_response : CollectorResponse, optional
        Latest response of the data centre's collector about this move.
    schedule_only : bool
        Whether steps follow the schedule without waiting for outcomes.
    """

    capacity: Capacity = Capacity(1, 1)
    outcomes: int = 0
    suspected: bool = False
    degraded: bool = False
    collector_response: CollectorResponse | None = None
    schedule_only: bool = False


class MoveState:
    """State of one member in one move.

    Parameters
    ----------
    move : Move
        Move of the bundle in force.
    joined_late : bool
        Whether the member joined so late that a driver may not have counted it. Such
        a member does not return to share 0 by itself at the deadline.
    """

    def __init__(self, move: Move, joined_late: bool = False) -> None:
        self.move = move
        self.joined_late = joined_late
        self.share = 0.0
        self.confirmed = False
        self.stage = Stage.ROLLING
        self.full_share_since_ms: int | None = None
        self.fault: Fault | None = None
        self.verdict: Verdict | None = None
        self.progress = Progress()
        self._outcomes_before_step = 0
        self._comparison_until_ms = 0

    def advance(
        self, now_ms: int, clock_error_ms: int, inputs: MoveInputs = MoveInputs()
    ) -> bool:
        """Update stage, share and confirmation for the current time.

        Parameters
        ----------
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        clock_error_ms : int
            Maximum difference between a clock and true time.
        inputs : MoveInputs
            Capacity and evidence.

        Returns
        -------
        bool
            Whether the share, the confirmation, the stage or the step changed.
        """
        previous = (self.share, self.confirmed, self.stage, self.progress.step)
        self.stage = self._find_stage(now_ms, clock_error_ms)
        self.share = self._allowed_share(now_ms, clock_error_ms, inputs)
        self._update_confirmation(now_ms, clock_error_ms, inputs)
        return previous != (
            self.share,
            self.confirmed,
            self.stage,
            self.progress.step,
        )

    def is_comparing(self, now_ms: int) -> bool:
        """Whether the old release gets traffic again for a side-by-side comparison."""
        return now_ms < self._comparison_until_ms

    def on_new_incarnation(self) -> None:
        """Mark the member as late unless it has confirmed.

        Other members may have treated its previous incarnation as gone.
        """
        if not self.confirmed:
            self.joined_late = True

    def _find_stage(self, now_ms: int, clock_error_ms: int) -> Stage:
        if self.verdict is not None:
            return Stage.DECIDED
        if self.confirmed:
            return Stage.CONFIRMED
        if now_ms <= self.move.deadline_ms + clock_error_ms:
            return Stage.ROLLING
        return Stage.UNDECIDED if self.joined_late else Stage.RETURNED

    def _allowed_share(
        self, now_ms: int, clock_error_ms: int, inputs: MoveInputs
    ) -> float:
        if self.verdict is not None:
            return 1.0 if self.verdict.kind is VerdictKind.DONE else 0.0
        if self.stage is Stage.CONFIRMED:
            return 1.0
        if self.fault is not None or self.stage is Stage.RETURNED:
            return 0.0
        if self.stage is Stage.UNDECIDED:
            return self._share_from_peers(inputs)
        self._update_step(now_ms, clock_error_ms, inputs)
        return self._step_share(now_ms, inputs)

    def _share_from_peers(self, inputs: MoveInputs) -> float:
        response = inputs.collector_response
        if response is None or response.returned or not response.confirmed:
            return 0.0
        return 1.0

    def is_share_known(self, response: CollectorResponse | None) -> bool:
        """Whether the share that the member must have is known.

        After the deadline, a late member without the verdict needs a peer that a driver
        has certainly counted. Without one it must not choose a share.
        """
        if self.stage is not Stage.UNDECIDED or self.fault is not None:
            return True
        return response is not None and bool(response.returned or response.confirmed)

    def _update_step(
        self, now_ms: int, clock_error_ms: int, inputs: MoveInputs
    ) -> None:
        progress = dataclasses.replace(
            self.progress,
            outcomes=self._outcomes_in_step(inputs),
            suspected=inputs.suspected,
        )
        step = due_step(self.move, progress, now_ms, clock_error_ms)
        if self.joined_late and inputs.collector_response is not None:
            step = max(step, inputs.collector_response.step)
        if step != self.progress.step:
            self._outcomes_before_step = inputs.outcomes
            progress = Progress(step, now_ms)
        self.progress = progress

    def _outcomes_in_step(self, inputs: MoveInputs) -> int:
        if inputs.schedule_only:
            return MIN_OUTCOMES
        return max(0, inputs.outcomes - self._outcomes_before_step)

    def _step_share(self, now_ms: int, inputs: MoveInputs) -> float:
        if self.progress.step < 0:
            return 0.0
        steps = self.move.steps
        share = steps[self.progress.step].share
        if share >= 1.0 and len(steps) > 1:
            if inputs.degraded and inputs.capacity.old_slots:
                self._comparison_until_ms = now_ms + COMPARISON_MS
            if self.is_comparing(now_ms):
                share = steps[-2].share
        return min(share, inputs.capacity.max_share)

    def _update_confirmation(
        self, now_ms: int, clock_error_ms: int, inputs: MoveInputs
    ) -> None:
        if self.share < 1.0 or self.stage is not Stage.ROLLING:
            self.full_share_since_ms = None
            return
        if self.full_share_since_ms is None:
            self.full_share_since_ms = now_ms
        if inputs.suspected:
            return
        watch_elapsed = now_ms - self.full_share_since_ms >= self.move.watch_ms
        in_time = now_ms + clock_error_ms < self.move.deadline_ms
        if watch_elapsed and in_time:
            self.confirmed = True
            self.stage = Stage.CONFIRMED
