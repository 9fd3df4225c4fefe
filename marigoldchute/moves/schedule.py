"""Greatest share that a move's schedule allows at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Move


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
