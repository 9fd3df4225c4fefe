"""Source file of an operator, from which a bundle is built."""

from __future__ import annotations

import dataclasses
from typing import Any

from marigoldchute.bundle.model import (
    BundleContent,
    Move,
    Route,
    Service,
    Step,
    Thresholds,
)
from marigoldchute.errors import BundleError
from marigoldchute.util.convert import ConversionError, convert


@dataclasses.dataclass(frozen=True)
class MoveSource:
    """Move of a source file, with times relative to the roll.

    Parameters
    ----------
    move_id, service, old_release, new_release : str
        As in ``Move``.
    complete_within_ms : int
        Time from the start to the deadline.
    start_after_ms : int
        Time from the roll to the start.
    steps : tuple of Step
        Steps with increasing shares; the last share is 1.
    watch_ms : int
        Time at full share during which a fault still causes the move to be taken back.
    thresholds : Thresholds
        Limits beyond which the new release counts as faulty.
    """

    move_id: str
    service: str
    old_release: str
    new_release: str
    complete_within_ms: int
    steps: tuple[Step, ...]
    start_after_ms: int = 1000
    watch_ms: int = 2000
    thresholds: Thresholds = Thresholds()


@dataclasses.dataclass(frozen=True)
class BundleSource:
    """Content of a source file."""

    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    moves: tuple[MoveSource, ...] = ()


def parse_source(value: Any, source: str) -> BundleSource:
    """Convert and check a decoded source file.

    Raises
    ------
    BundleError
        A value is missing or not allowed; the message contains its key path.
    """
    try:
        return convert(value, BundleSource)
    except ConversionError as exc:
        raise BundleError(f"{source}: {exc}") from exc


def build_content(
    source: BundleSource, now_ms: int, complete_within_ms: int | None = None
) -> BundleContent:
    """Return the content to sign, with absolute times for the moves.

    Parameters
    ----------
    source : BundleSource
        Checked source file.
    now_ms : int
        Wall-clock time of the roll in milliseconds since the epoch.
    complete_within_ms : int, optional
        Replaces the time limit of every move.
    """
    moves = tuple(
        _with_absolute_times(move, now_ms, complete_within_ms) for move in source.moves
    )
    return BundleContent(source.services, source.routes, moves)


def _with_absolute_times(
    move: MoveSource, now_ms: int, complete_within_ms: int | None
) -> Move:
    start_ms = now_ms + move.start_after_ms
    time_limit_ms = complete_within_ms or move.complete_within_ms
    return Move(
        move.move_id,
        move.service,
        move.old_release,
        move.new_release,
        start_ms,
        start_ms + time_limit_ms,
        move.steps,
        move.watch_ms,
        move.thresholds,
    )
