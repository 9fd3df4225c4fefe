"""Checks of a bundle's moves against what is in force, before the bundle is rolled."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.errors import MoveError, ResultCode
from marigoldchute.moves.capacity import measure_capacity

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from marigoldchute.bundle.model import BundleContent, Move
    from marigoldchute.membership.model import Members
    from marigoldchute.moves.state import MoveState


def check_moves(
    content: BundleContent,
    held: Iterable[MoveState],
    members: Members,
    busy: Mapping[str, float],
    now_ms: int,
    clock_error_ms: int,
) -> None:
    """Refuse a bundle whose moves cannot go well.

    Parameters
    ----------
    content : BundleContent
        Validated content of the bundle to roll.
    held : iterable of MoveState
        Moves of the bundle in force.
    members : Members
        Members with their backend servers.
    busy : mapping of str to float
        Mean number of requests that run at a time, by service.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    clock_error_ms : int
        Greatest difference between a clock and true time.

    Raises
    ------
    MoveError
        A deadline is too near, or the new release has too few slots.
    """
    known = {state.move.move_id for state in held}
    for move in content.moves:
        if move.move_id in known:
            continue
        _check_time(move, now_ms, clock_error_ms)
        _check_capacity(move, members, busy.get(move.service, 0.0), now_ms)


def _check_time(move: Move, now_ms: int, clock_error_ms: int) -> None:
    holds_ms = sum(step.hold_ms for step in move.steps[:-1])
    needed_ms = holds_ms + move.watch_ms + 2 * clock_error_ms
    left_ms = move.deadline_ms - max(now_ms, move.start_ms)
    if left_ms < needed_ms:
        raise MoveError(
            f"move {move.move_id!r}: {left_ms} ms are left to the deadline, steps, "
            f"watch and clock errors need {needed_ms} ms",
            ResultCode.MOVE_DEADLINE_TOO_SHORT,
        )


def _check_capacity(move: Move, members: Members, busy: float, now_ms: int) -> None:
    capacity = measure_capacity(members, move, busy, max(now_ms, move.start_ms))
    if capacity.new_slots < capacity.busy:
        raise MoveError(
            f"move {move.move_id!r}: {move.new_release} has {capacity.new_slots} slots "
            f"for {capacity.busy:.1f} requests at a time",
            ResultCode.MOVE_CAPACITY_TOO_SMALL,
        )
