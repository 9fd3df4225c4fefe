"""Planned stops of a soak and the check that no request is lost around them."""

from __future__ import annotations

import dataclasses
import math
import random
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.support.soak_backend import Run
    from tests.support.soak_callers import CallerResult

GRACE_S = 6.0
STABLE_S = 4.0  # A fault excuses requests that begin up to this time after its end.
MAX_EXCUSED_AGE_S = 3.0  # Of a stop when a request is sent that may be cut.
CUT_AT_S = GRACE_S * 5 / 6
STOP_TAIL_S = 1.0
LOSS_SLACK_S = 0.2  # A request that did not run is lost when it ends later than this.
CLOCK_ERROR_S = 0.005
ALL_VMS = "*"


@dataclasses.dataclass(frozen=True)
class PlannedStop:
    """Planned stop of one node.

    Parameters
    ----------
    at_s : float
        Seconds after the start of traffic.
    vm : str
        VM of the node.
    down_s : float
        Seconds from the exit of the process to the start of the next one.
    signals : tuple of (float, signal.Signals)
        Further signals, each with the seconds after the first one.
    """

    at_s: float
    vm: str
    down_s: float
    signals: tuple[tuple[float, signal.Signals], ...] = ()


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """Span of time in which an unplanned fault affects a VM.

    Parameters
    ----------
    vm : str
        Affected VM, or ``ALL_VMS``.
    begin_s, end_s : float
        Span of the fault.
    """

    vm: str
    begin_s: float
    end_s: float

    def touches(self, vms: set[str], begin_s: float, end_s: float) -> bool:
        """Return whether it affects one of some VMs within a span of time."""
        is_affected = self.vm == ALL_VMS or self.vm in vms
        return is_affected and self.begin_s <= end_s and self.end_s >= begin_s


def draw_stops(
    seed: int, begin_s: float, end_s: float, names: list[str]
) -> list[PlannedStop]:
    """Return series of overlapping stops, always the same for a seed.

    Parameters
    ----------
    seed : int
        Seed of the stops.
    begin_s, end_s : float
        Span in which series may begin, in seconds after the start of traffic.
    names : list of str
        Names of the VMs.
    """
    rng = random.Random(f"stops {seed}")
    stops = []
    at_s = begin_s + rng.uniform(0.0, 1.0)
    while at_s < end_s:
        for vm in rng.sample(names, rng.randint(2, max(2, len(names) - 2))):
            signals = []
            for number in (signal.SIGHUP, signal.SIGTERM):
                if rng.random() < 0.4:
                    signals.append((rng.uniform(0.05, 4.0), number))
            stops.append(
                PlannedStop(at_s, vm, rng.uniform(0.1, 1.5), tuple(sorted(signals)))
            )
            at_s += rng.uniform(0.3, 1.3)
        at_s += rng.uniform(2.0, 6.0)
    return stops


def find_losses(
    results: list[CallerResult],
    runs: dict[str, list[Run]],
    stops: list[tuple[str, float]],
    disturbances: list[Disturbance],
) -> list[str]:
    """Return the requests that ended without a complete response.

    They are those that were run, and those that a stopped node held without a run for
    longer than ``LOSS_SLACK_S``. A request is excused when a fault affected its node or
    backend server, when its time was over, or when it was sent early in a stop and ran
    late in the grace period.

    Parameters
    ----------
    results : list of CallerResult
        Results of the callers.
    runs : dict of str to list of Run
        Runs of each request on backend servers, by request id.
    stops : list of (str, float)
        VM and time of each stop signal.
    disturbances : list of Disturbance
        Unplanned faults.
    """
    losses = []
    for result in results:
        run = runs[result.request_id][-1] if result.request_id in runs else None
        if not _is_lost(result, run) or _has_timed_out(result):
            continue
        vms = {result.vm} | ({run.vm} if run else set())
        begin_s = result.started_s - STABLE_S
        if any(d.touches(vms, begin_s, result.ended_s) for d in disturbances):
            continue
        ages = _stop_ages(result, vms, stops)
        if run is None and not ages:
            continue
        if any(_is_excused(result, run, age_s) for age_s in ages.values()):
            continue
        losses.append(_describe(result, run, ages))
    return losses


def _stop_ages(
    result: CallerResult, vms: set[str], stops: list[tuple[str, float]]
) -> dict[str, float]:
    """Return the seconds from the last stop of each VM to the end of a request."""
    ages: dict[str, float] = {}
    for vm, at_s in stops:
        is_around = result.started_s - GRACE_S - STOP_TAIL_S <= at_s <= result.ended_s
        if vm in vms and is_around:
            ages[vm] = min(ages.get(vm, math.inf), result.ended_s - at_s)
    return ages


def _is_lost(result: CallerResult, run: Run | None) -> bool:
    if run is None:
        return result.status == 0 and result.ended_s - result.sent_s > LOSS_SLACK_S
    if result.status == 0:
        return True
    if result.status not in (502, 504) or result.status == run.status:
        return False
    return run.status == 0 or run.ended_s > result.ended_s


def _has_timed_out(result: CallerResult) -> bool:
    return result.ended_s - result.started_s >= result.time_limit_s - CLOCK_ERROR_S


def _is_excused(result: CallerResult, run: Run | None, age_s: float) -> bool:
    """Return whether a stop of some age at the end of a request excuses its loss."""
    if run is None:
        return False
    stopped_s = result.ended_s - age_s
    was_sent_early = result.sent_s <= stopped_s + MAX_EXCUSED_AGE_S
    return was_sent_early and run.ended_s >= stopped_s + CUT_AT_S


def _describe(result: CallerResult, run: Run | None, ages: dict[str, float]) -> str:
    around = " and ".join(
        f"{age_s:.2f} s after the stop of {vm}" for vm, age_s in sorted(ages.items())
    )
    took_s = result.ended_s - result.started_s
    sending_s = result.sent_s - result.started_s
    ran = "not run"
    if run is not None:
        run_s = run.ended_s - run.started_s
        ran = f"ran on {run.vm} for {run_s:.2f} s with status {run.status}"
    return (
        f"LOST: {result.request_id} at {result.vm} ended '{result.end}' with status "
        f"{result.status} {around or 'without a stop'}, {took_s:.2f} s after its "
        f"start, sent in {sending_s:.2f} s, {ran}"
    )
