"""Which step of a move is due, by its schedule, its evidence and the time left."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Move

MIN_ANSWERS = 30
CONFIRM_MARGIN_MS = 200


@dataclasses.dataclass(frozen=True)
class Progress:
    """How far a member has come and what it knows.

    Parameters
    ----------
    step : int
        Step in force, -1 before the start.
    since_ms : int
        Wall-clock time at which the step came in force.
    answers : int
        Answers of the new release since then.
    wary : bool
        Whether the evidence speaks against a further step for now.
    """

    step: int = -1
    since_ms: int = 0
    answers: int = 0
    wary: bool = False


def scheduled_step(move: Move, now_ms: int) -> int:
    """Return the index of the last step whose time has come, -1 before the start.

    Parameters
    ----------
    move : Move
        Checked move.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.

    Returns
    -------
    int
        Index into ``move.steps``.
    """
    begins_ms = move.start_ms
    index = -1
    for position, step in enumerate(move.steps):
        if now_ms < begins_ms:
            break
        index = position
        begins_ms += step.hold_ms
    return index


def latest_start_ms(move: Move, step: int, clock_error_ms: int) -> int:
    """Return the last time at which a step can begin for the move to be in time."""
    holds_ms = sum(item.hold_ms for item in move.steps[step:-1])
    needed_ms = holds_ms + move.watch_ms + clock_error_ms + CONFIRM_MARGIN_MS
    return move.deadline_ms - needed_ms


def due_step(move: Move, progress: Progress, now_ms: int, clock_error_ms: int) -> int:
    """Return the step that may be in force now: the present one or the next.

    The next step waits for its time and for the present step's hold. It then waits for
    enough answers, at most half the slack, and while the evidence is wary, at most
    until the last time at which the move can still be in time.

    Parameters
    ----------
    move : Move
        Checked move.
    progress : Progress
        Present step and evidence.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    clock_error_ms : int
        Greatest difference between a clock and true time.

    Returns
    -------
    int
        Index into ``move.steps``, -1 before the start.
    """
    following = progress.step + 1
    if following > scheduled_step(move, now_ms):
        return progress.step
    if progress.step < 0:
        return following
    due_ms = progress.since_ms + move.steps[progress.step].hold_ms
    if now_ms < due_ms:
        return progress.step
    latest_ms = latest_start_ms(move, following, clock_error_ms)
    if now_ms >= latest_ms:
        return following
    if progress.wary:
        return progress.step
    patience_ms = (latest_ms - due_ms) // 2
    if progress.answers >= MIN_ANSWERS or now_ms - due_ms >= patience_ms:
        return following
    return progress.step
