"""Schedule by which an order's share rises, from elapsed time and evidence."""

from __future__ import annotations

import dataclasses

import msgspec

from marigoldchute.orders.model import OrderStage, OrderState


@dataclasses.dataclass(frozen=True)
class ScheduleStep:
    """One share of the schedule and the conditions to leave it.

    Parameters
    ----------
    share : float
        Fraction of the requests that goes to the target.
    end_fraction : float
        Fraction of the order's duration after which the next share may begin.
    hold_fraction : float
        Fraction of the order's duration for which the share is held at least.
    max_hold_s : float
        Upper limit of that minimum hold time.
    min_responses : int
        Responses of the target to wait for before the next share, for at most
        ``MAX_RESPONSE_WAIT`` after ``end_fraction``.
    """

    share: float
    end_fraction: float
    hold_fraction: float
    max_hold_s: float
    min_responses: int

    def hold_s(self, duration_s: float) -> float:
        """Return the minimum time in seconds at this share."""
        return min(self.max_hold_s, self.hold_fraction * duration_s)


# A faulty release may get up to a tenth of the requests during an order. The first
# shares detect a release that fails from the start or after some time. They leave
# enough of that tenth for one second at the full share, at which a release that fails
# under load is detected. The hold time at the full share lets running requests to the
# old release end.
SCHEDULE = (
    ScheduleStep(0.07, 0.46, 0.26, 3.5, 25),
    ScheduleStep(0.15, 0.57, 0.08, 1.2, 45),
    ScheduleStep(0.3, 0.62, 0.05, 0.8, 60),
    ScheduleStep(1.0, 0.72, 0.16, 2.2, 120),
)
MAX_RESPONSE_WAIT = 0.08  # Fraction of the duration to wait for ``min_responses``.
# Evidence below the fault threshold delays the next raise. The delay ends while there
# is still time to hold the full share for its minimum.
MAX_RAISE_EVIDENCE = 0.3  # Fraction of the fault threshold.
EVIDENCE_DELAY_END = 0.76  # Fraction of the duration.
# Most releases with more evidence than this at the end of the delay are faulty.
LATE_FAULT_EVIDENCE = 0.5
FULL_SHARE_DEADLINE = 0.95  # Fraction of the duration to reach the full share by.
VERDICT_STEP_OFFSET = 1_000_000


@dataclasses.dataclass(frozen=True)
class Progress:
    """Observations that decide whether the share rises.

    Parameters
    ----------
    elapsed_s : float
        Seconds since the order.
    held_s : float
        Seconds at the present share.
    has_servers : bool
        Whether backend servers with the target release accept requests.
    responses : int
        Counted responses of the target.
    fault_evidence : float
        Evidence that the target is faulty, as a fraction of the fault threshold.
    """

    elapsed_s: float
    held_s: float
    has_servers: bool
    responses: int
    fault_evidence: float = 0.0


def next_state(state: OrderState, progress: Progress) -> OrderState | None:
    """Return the next state, or None while the present one is kept.

    The final state is ``DONE``; the caller writes the verdict before publishing it.
    """
    if not state.is_open:
        return None
    if state.stage == OrderStage.WAITING or state.share <= 0.0:
        if not progress.has_servers:
            return None
        return advance(state, SCHEDULE[0].share, OrderStage.RUNNING)
    schedule_step = _schedule_step(state.share)
    duration_s = state.duration_s
    if progress.held_s < schedule_step.hold_s(duration_s):
        return None
    if not progress.has_servers:
        return None
    if (
        progress.fault_evidence > MAX_RAISE_EVIDENCE
        and progress.elapsed_s < EVIDENCE_DELAY_END * duration_s
    ):
        return None
    is_due = progress.elapsed_s >= schedule_step.end_fraction * duration_s
    if not is_due or (
        progress.responses < schedule_step.min_responses
        and progress.elapsed_s
        < (schedule_step.end_fraction + MAX_RESPONSE_WAIT) * duration_s
    ):
        return None
    later_steps = [step for step in SCHEDULE if step.share > state.share]
    if later_steps:
        return advance(state, later_steps[0].share, OrderStage.RUNNING)
    return advance(state, 1.0, OrderStage.DONE)


def advance(state: OrderState, share: float, stage: OrderStage) -> OrderState:
    """Return a copy of a state with the next step, a share and a stage."""
    step = state.step + 1
    if stage > OrderStage.RUNNING:
        step += VERDICT_STEP_OFFSET  # A concurrent raise must not outrank a verdict.
    return msgspec.structs.replace(state, step=step, share=share, stage=stage)


def is_too_late(state: OrderState, elapsed_s: float) -> bool:
    """Return whether the full share was not reached in time, so that an order fails."""
    return state.share < 1.0 and elapsed_s >= FULL_SHARE_DEADLINE * state.duration_s


def has_late_fault_evidence(state: OrderState, progress: Progress) -> bool:
    """Return whether the evidence at the end of the delay makes the target faulty."""
    is_late = progress.elapsed_s >= EVIDENCE_DELAY_END * state.duration_s
    return state.is_open and is_late and progress.fault_evidence > LATE_FAULT_EVIDENCE


def _schedule_step(share: float) -> ScheduleStep:
    for schedule_step in SCHEDULE:
        if share <= schedule_step.share:
            return schedule_step
    return SCHEDULE[-1]
