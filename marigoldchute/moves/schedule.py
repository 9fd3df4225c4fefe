"""Determines the due step of a move from schedule, evidence and remaining time."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Move

MIN_OUTCOMES = 30
CONFIRM_MARGIN_MS = 200


@dataclasses.dataclass(frozen=True)
class Progress:
    """Current step of a member and the evidence since it started.

    Parameters
    ----------
    step : int
        Step in force, -1 before the start.
    since_ms : int
        Wall-clock time in milliseconds since the epoch at which the step started.
    outcomes : int
        Number of outcomes of the new release since the step started.
    suspected : bool
        Whether evidence against the new release delays the next step.
    """

    step: int = -1
    since_ms: int = 0
    outcomes: int = 0
    suspected: bool = False


def scheduled_step(move: Move, now_ms: int) -> int:
    """Return the latest step that the schedule allows, -1 before the start.

    Parameters
    ----------
    move : Move
        Validated move.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.

    Returns
    -------
    int
        Index into ``move.steps``.
    """
    step_start_ms = move.start_ms
    index = -1
    for position, step in enumerate(move.steps):
        if now_ms < step_start_ms:
            break
        index = position
        step_start_ms += step.hold_ms
    return index


def latest_start_ms(move: Move, step: int, clock_error_ms: int) -> int:
    """Return the latest start of a step that still meets the move's deadline."""
    holds_ms = sum(item.hold_ms for item in move.steps[step:-1])
    needed_ms = holds_ms + move.watch_ms + clock_error_ms + CONFIRM_MARGIN_MS
    return move.deadline_ms - needed_ms


def due_step(move: Move, progress: Progress, now_ms: int, clock_error_ms: int) -> int:
    """Return the step that is due now: the current one or the next.

    The next step waits for its scheduled time and for the hold time of the current
    step. It then waits for ``MIN_OUTCOMES`` outcomes, but at most half the slack. While
    the new release is suspected, it waits until the latest start that still meets the
    deadline.

    Parameters
    ----------
    move : Move
        Validated move.
    progress : Progress
        Current step and evidence.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    clock_error_ms : int
        Maximum difference between a clock and true time.

    Returns
    -------
    int
        Index into ``move.steps``, -1 before the start.
    """
    next_step = progress.step + 1
    if next_step > scheduled_step(move, now_ms):
        return progress.step
    if progress.step < 0:
        return next_step
    due_ms = progress.since_ms + move.steps[progress.step].hold_ms
    if now_ms < due_ms:
        return progress.step
    latest_ms = latest_start_ms(move, next_step, clock_error_ms)
    if now_ms >= latest_ms:
        return next_step
    if progress.suspected:
        return progress.step
    max_wait_ms = (latest_ms - due_ms) // 2
    if progress.outcomes >= MIN_OUTCOMES or now_ms - due_ms >= max_wait_ms:
        return next_step
    return progress.step
