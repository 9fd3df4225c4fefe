"""Schedule by which an order's share rises, from elapsed time and evidence."""

from __future__ import annotations

import dataclasses

import msgspec

from marigoldchute.orders.exposure import OrderTraffic, may_detect_at, share_scale
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
        ``MAX_RESPONSE_WAIT_FRACTION`` after ``end_fraction``.
    """

    share: float
    end_fraction: float
    hold_fraction: float
    max_hold_s: float
    min_responses: int

    def hold_s(self, duration_s: float) -> float:
        """Return the minimum time in seconds at this share."""
        return min(self.max_hold_s, self.hold_fraction * duration_s)


# The first shares detect a release that fails from the start or after some time. They
# are reduced where the full share, at which a release that fails under load is
# detected, needs more of the exposure limit, see ``share_scale``. The hold time at the
# full share lets running requests to the old release end.
SCHEDULE = (
    ScheduleStep(0.07, 0.46, 0.26, 3.5, 25),
    ScheduleStep(0.15, 0.57, 0.08, 1.2, 45),
    ScheduleStep(0.3, 0.62, 0.05, 0.8, 60),
    ScheduleStep(1.0, 0.72, 0.16, 2.2, 120),
)
# Fraction of the duration to wait for ``min_responses``.
MAX_RESPONSE_WAIT_FRACTION = 0.08
# Evidence below the fault threshold delays the next raise, and pauses a larger share
# than the first: it falls to the first one. The delay ends while there is still time
# to hold the full share for its minimum.
MAX_RAISE_EVIDENCE = 0.3  # Fraction of the fault threshold.
EVIDENCE_DELAY_END_FRACTION = 0.76  # Fraction of the duration.
# A pause ends when responses to what was sent before it have refuted the evidence.
RESUME_EVIDENCE = 0.1  # Fraction of the fault threshold.
# Both on top of the time of a response. After the maximum the order fails.
MIN_PAUSE_S, MAX_PAUSE_S = 0.6, 3.0
# Most releases with more evidence than this at the end of the delay are faulty.
LATE_FAULT_EVIDENCE = 0.5  # Fraction of the fault threshold.
# A share is reduced within its level when the planned one is below this part of it. It
# is not raised there: a driver that has just taken over counts too few requests.
REDUCED_SHARE_RATIO = 0.8
MIN_PLANNED_S = 0.1  # A share lasts until the next tick at least.
# Time to wait for counts before the first share.
MAX_TRAFFIC_WAIT_S = 1.0
# Fraction of the duration to reach the full share by.
FULL_SHARE_DEADLINE_FRACTION = 0.95
# Added to the step of a verdict, which a concurrent raise must not outrank.
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
    traffic : OrderTraffic
        Requests since the order.
    """

    elapsed_s: float
    held_s: float
    has_servers: bool
    responses: int
    fault_evidence: float = 0.0
    traffic: OrderTraffic = OrderTraffic()


def next_state(state: OrderState, progress: Progress) -> OrderState | None:
    """Return the next state, or None while the present one is kept.

    The final state is ``DONE``; the caller writes the verdict before publishing it.
    """
    if not state.is_open:
        return None
    if state.stage == OrderStage.WAITING or state.share <= 0.0:
        if not progress.has_servers or not _is_rate_known(progress):
            return None
        return _enter_level(state, 1, progress)
    if state.paused:
        return _resume(state, progress)
    level = level_of(state)
    if level > 1 and _has_doubt(state, progress):
        share = min(state.share, planned_share(1, state.duration_s, progress))
        return advance(state, share, OrderStage.RUNNING, level, paused=True)
    planned = planned_share(level, state.duration_s, progress, progress.held_s)
    if planned < REDUCED_SHARE_RATIO * state.share:
        return advance(state, planned, OrderStage.RUNNING, level)
    if not _may_leave(SCHEDULE[level - 1], state, progress):
        return None
    if level < len(SCHEDULE):
        return _enter_level(state, level + 1, progress)
    return advance(state, 1.0, OrderStage.DONE, level)


def _has_doubt(state: OrderState, progress: Progress) -> bool:
    """Return whether evidence stops the order from going on, while there is time."""
    is_late = progress.elapsed_s >= EVIDENCE_DELAY_END_FRACTION * state.duration_s
    return progress.fault_evidence > MAX_RAISE_EVIDENCE and not is_late


def _may_leave(
    schedule_step: ScheduleStep, state: OrderState, progress: Progress
) -> bool:
    """Return whether the share of a level was held for long enough."""
    if progress.held_s < schedule_step.hold_s(state.duration_s):
        return False
    if not progress.has_servers or _has_doubt(state, progress):
        return False
    end_fraction = schedule_step.end_fraction
    if progress.responses < schedule_step.min_responses:
        end_fraction += MAX_RESPONSE_WAIT_FRACTION
    return progress.elapsed_s >= end_fraction * state.duration_s


def planned_share(
    level: int, duration_s: float, progress: Progress, held_s: float = 0.0
) -> float:
    """Return the share of a level for the traffic so far.

    Parameters
    ----------
    level : int
        Number of the step of ``SCHEDULE``, from 1.
    duration_s : float
        Seconds from the order to its deadline.
    progress : Progress
        Observations; the share falls with the rate of requests and the time of a
        response.
    held_s : float
        Seconds for which the level was held.
    """
    share = SCHEDULE[level - 1].share
    if level == len(SCHEDULE):
        return share
    planned, start_s = [], progress.elapsed_s
    for schedule_step in SCHEDULE[level - 1 : -1]:
        end_s = schedule_step.end_fraction * duration_s
        hold_s = schedule_step.hold_s(duration_s) - held_s
        seconds = max(hold_s, end_s - start_s, MIN_PLANNED_S)
        planned.append((schedule_step.share, seconds))
        start_s, held_s = start_s + seconds, 0.0
    return share * share_scale(
        progress.traffic, progress.elapsed_s, duration_s, planned
    )


def _resume(state: OrderState, progress: Progress) -> OrderState | None:
    """Return the state with its level's share again, None while evidence is left."""
    if progress.fault_evidence > RESUME_EVIDENCE or not progress.has_servers:
        return None
    if progress.held_s < MIN_PAUSE_S + progress.traffic.response_s:
        return None
    # A fault that shows at the larger share only is not refuted by the smaller one.
    share = SCHEDULE[level_of(state) - 1].share
    if not may_detect_at(share, progress.traffic, progress.elapsed_s, state.duration_s):
        return None
    return _enter_level(state, level_of(state), progress)


def _is_rate_known(progress: Progress) -> bool:
    rate = progress.traffic.requests_per_s(progress.elapsed_s)
    return rate > 0.0 or progress.elapsed_s >= MAX_TRAFFIC_WAIT_S


def _enter_level(state: OrderState, level: int, progress: Progress) -> OrderState:
    share = planned_share(level, state.duration_s, progress)
    return advance(state, share, OrderStage.RUNNING, level)


def advance(
    state: OrderState,
    share: float,
    stage: OrderStage,
    level: int = 0,
    paused: bool = False,
) -> OrderState:
    """Return a copy of a state with the next step and other values."""
    step = state.step + 1
    if stage > OrderStage.RUNNING:
        step += VERDICT_STEP_OFFSET
    return msgspec.structs.replace(
        state, step=step, share=share, stage=stage, level=level, paused=paused
    )


def phase_of(state: OrderState) -> tuple[str, int, bool]:
    """Return what the hold time of a share belongs to."""
    return state.order_id, level_of(state), state.paused


def expiry_reason(state: OrderState, progress: Progress) -> str:
    """Return why an order fails without a proof of a fault, empty if it does not."""
    if is_too_late(state, progress.elapsed_s):
        return "the full share was not reached in time"
    max_pause_s = MAX_PAUSE_S + progress.traffic.response_s
    if state.paused and progress.held_s > max_pause_s:
        return "bad responses at a larger share were not refuted"
    return ""


def is_too_late(state: OrderState, elapsed_s: float) -> bool:
    """Return whether the full share was not reached in time."""
    return (
        state.share < 1.0
        and elapsed_s >= FULL_SHARE_DEADLINE_FRACTION * state.duration_s
    )


def has_late_fault_evidence(state: OrderState, progress: Progress) -> bool:
    """Return whether the evidence at the end of the delay makes the target faulty."""
    is_late = progress.elapsed_s >= EVIDENCE_DELAY_END_FRACTION * state.duration_s
    return state.is_open and is_late and progress.fault_evidence > LATE_FAULT_EVIDENCE


def level_of(state: OrderState) -> int:
    """Return the level of an order, from its share if the state has none."""
    if state.level or state.share <= 0.0:
        return state.level
    for level, schedule_step in enumerate(SCHEDULE, 1):
        if state.share <= schedule_step.share:
            return level
    return len(SCHEDULE)
