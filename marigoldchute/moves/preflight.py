"""Checks the new moves of a bundle before the bundle is rolled out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.errors import MoveError, ResultCode
from marigoldchute.moves.capacity import compute_capacity

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from marigoldchute.bundle.model import BundleContent, Move
    from marigoldchute.membership.model import Members
    from marigoldchute.moves.state import MoveState


def check_moves(
    content: BundleContent,
    existing: Iterable[MoveState],
    members: Members,
    concurrency: Mapping[str, float],
    now_ms: int,
    clock_error_ms: int,
) -> None:
    """Reject a bundle with a new move that cannot succeed.

    Parameters
    ----------
    content : BundleContent
        Validated content of the bundle to roll out.
    existing : iterable of MoveState
        Moves of the bundle in force, which are not checked again.
    members : Members
        Members of the mesh with their backend servers.
    concurrency : mapping of str to float
        Mean number of concurrent requests, by service.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    clock_error_ms : int
        Maximum difference between a clock and true time.

    Raises
    ------
    MoveError
        A deadline is too soon, or the new release has too few slots.
    """
    existing_ids = {state.move.move_id for state in existing}
    for move in content.moves:
        if move.move_id in existing_ids:
            continue
        _check_time(move, now_ms, clock_error_ms)
        _check_capacity(move, members, concurrency.get(move.service, 0.0), now_ms)


def _check_time(move: Move, now_ms: int, clock_error_ms: int) -> None:
    holds_ms = sum(step.hold_ms for step in move.steps[:-1])
    needed_ms = holds_ms + move.watch_ms + 2 * clock_error_ms
    left_ms = move.deadline_ms - max(now_ms, move.start_ms)
    if left_ms < needed_ms:
        raise MoveError(
            f"move {move.move_id!r}: {left_ms} ms remain until the deadline, but the "
            f"steps, the watch time and clock errors need {needed_ms} ms",
            ResultCode.MOVE_DEADLINE_TOO_SHORT,
        )


def _check_capacity(
    move: Move, members: Members, concurrency: float, now_ms: int
) -> None:
    capacity = compute_capacity(members, move, concurrency, max(now_ms, move.start_ms))
    if capacity.new_slots < capacity.concurrency:
        raise MoveError(
            f"move {move.move_id!r}: {move.new_release} has {capacity.new_slots} slots "
            f"for a mean of {capacity.concurrency:.1f} concurrent requests",
            ResultCode.MOVE_CAPACITY_TOO_SMALL,
        )
