"""When an order's share rises, as a function of time and of what was seen."""

from __future__ import annotations

import dataclasses

import msgspec

from marigoldchute.orders.model import OrderStage, OrderState


@dataclasses.dataclass(frozen=True)
class Stage:
    """One share of the schedule.

    Parameters
    ----------
    share : float
        Part of the requests for the target.
    until : float
        Part of the order's duration after which the next one may begin.
    hold : float
        Part of the order's duration for which the share is held at least.
    max_hold_s : float
        Longest such time.
    min_answers : int
        Answers of the target that must have been seen by its end.
    """

    share: float
    until: float
    hold: float
    max_hold_s: float
    min_answers: int

    def hold_s(self, duration_s: float) -> float:
        """Return the shortest time at this share."""
        return min(self.max_hold_s, self.hold * duration_s)


# The first shares find a release that fails from the start or late; they leave enough
# of a tenth of all requests for a second of full share, at which a release that is bad
# under load is found. The last one lets requests to the old release end.
STAGES = (
    Stage(0.07, 0.46, 0.26, 3.5, 25),
    Stage(0.15, 0.57, 0.08, 1.2, 45),
    Stage(0.3, 0.62, 0.05, 0.8, 60),
    Stage(1.0, 0.72, 0.16, 2.2, 120),
)
# Some failures that are no proof yet keep the share down, but not beyond the time at
# which the full share can still be held as long as it must.
DOUBT_LIMIT = 0.3  # Part of the evidence that convicts.
DOUBT_UNTIL = 0.76  # Part of the duration.
DOUBT_CONVICTS = 0.5  # Of releases of which so much is seen by then, most are faulty.
LAST_CALL = 0.95  # Part of the duration by which the full share must be reached.
VERDICT_STEP = 1_000_000


@dataclasses.dataclass(frozen=True)
class Progress:
    """What a step needs to know.

    Parameters
    ----------
    elapsed_s : float
        Time since the order.
    held_s : float
        Time at the present share.
    has_servers : bool
        Whether the target has backend servers to take requests.
    answers : int
        Answers of the target that were counted.
    doubt : float
        Evidence that the target is faulty; 1 convicts it.
    """

    elapsed_s: float
    held_s: float
    has_servers: bool
    answers: int
    doubt: float = 0.0


def next_state(state: OrderState, progress: Progress) -> OrderState | None:
    """Return the state to go to, or None while the present one stands.

    The final state is ``DONE``; its caller writes the verdict first.
    """
    if not state.is_open:
        return None
    if state.stage == OrderStage.WAITING or state.share <= 0.0:
        if not progress.has_servers:
            return None
        return advance(state, STAGES[0].share, OrderStage.RUNNING)
    stage = _stage_of(state.share)
    duration_s = state.duration_s
    if progress.held_s < stage.hold_s(duration_s):
        return None
    if not progress.has_servers:
        return None
    if progress.doubt > DOUBT_LIMIT and progress.elapsed_s < DOUBT_UNTIL * duration_s:
        return None
    due = progress.elapsed_s >= stage.until * duration_s
    if not due or (
        progress.answers < stage.min_answers
        and progress.elapsed_s < (stage.until + 0.08) * duration_s
    ):
        return None
    later = [s for s in STAGES if s.share > state.share]
    if later:
        return advance(state, later[0].share, OrderStage.RUNNING)
    return advance(state, 1.0, OrderStage.DONE)


def advance(state: OrderState, share: float, stage: OrderStage) -> OrderState:
    """Return the state that follows another one."""
    step = state.step + 1
    if stage > OrderStage.RUNNING:
        step += VERDICT_STEP  # No share that is raised meanwhile ranks above it.
    return msgspec.structs.replace(state, step=step, share=share, stage=stage)


def is_too_late(state: OrderState, elapsed_s: float) -> bool:
    """Return whether an order can no longer be done in time, so it is taken back."""
    return state.share < 1.0 and elapsed_s >= LAST_CALL * state.duration_s


def is_doubtful(state: OrderState, progress: Progress) -> bool:
    """Return whether too much speaks against an order's target to go on with it."""
    late = progress.elapsed_s >= DOUBT_UNTIL * state.duration_s
    return state.is_open and late and progress.doubt > DOUBT_CONVICTS


def _stage_of(share: float) -> Stage:
    for stage in STAGES:
        if share <= stage.share:
            return stage
    return STAGES[-1]
