"""Checks of a whole bundle before it may come into force."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from marigoldchute.errors import BundleError, MoveError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldchute.bundle.model import BundleContent, Move


def validate_content(content: BundleContent) -> None:
    """Check names and references over a whole bundle.

    Raises
    ------
    BundleError
        A name stands twice, or a route points at a service that is not there.
    MoveError
        A move is not well formed or overlaps another.
    """
    _check_unique("service", (service.name for service in content.services))
    _check_unique("route", (route.name for route in content.routes))
    _check_unique("route path", (route.path_prefix for route in content.routes))
    _check_unique("move", (move.move_id for move in content.moves))
    names = {service.name for service in content.services}
    for route in content.routes:
        _check_reference(f"route {route.name!r}", route.service, names)
    for move in content.moves:
        _check_reference(f"move {move.move_id!r}", move.service, names)
        _check_move(move)
    moving = collections.Counter(move.service for move in content.moves)
    for service, count in moving.items():
        if count > 1:
            raise MoveError(
                f"service {service!r} has {count} moves at once",
                ResultCode.MOVE_OVERLAP,
            )


def _check_unique(what: str, names: Iterable[str]) -> None:
    for name, count in collections.Counter(names).items():
        if count > 1:
            raise BundleError(f"{what} {name!r} stands {count} times")


def _check_reference(what: str, service: str, names: set[str]) -> None:
    if service not in names:
        raise BundleError(
            f"{what} points at service {service!r}, which the bundle lacks",
            ResultCode.BUNDLE_REFERENCE_MISSING,
        )


def _check_move(move: Move) -> None:
    shares = [step.share for step in move.steps]
    if not shares or shares[-1] != 1.0 or shares != sorted(set(shares)):
        raise MoveError(
            f"move {move.move_id!r}: steps must rise and end at share 1, not {shares}"
        )
    needed_ms = sum(step.hold_ms for step in move.steps[:-1]) + move.watch_ms
    allowed_ms = move.deadline_ms - move.start_ms
    if needed_ms >= allowed_ms:
        raise MoveError(
            f"move {move.move_id!r}: steps and watch need {needed_ms} ms, "
            f"the deadline leaves {allowed_ms} ms",
            ResultCode.MOVE_DEADLINE_TOO_SHORT,
        )
