"""Checks of a bundle against its predecessor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.errors import MoveError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from marigoldchute.bundle.model import BundleContent, Move

DONE = "done"
TAKEN_BACK = "taken back"


def check_successor(
    previous: BundleContent, successor: BundleContent, verdicts: Mapping[str, str]
) -> None:
    """Check that a bundle changes no undecided move and reverts no verdict.

    A move without a verdict must remain unchanged. When a decided move is removed, its
    service must keep the release that follows from the verdict. No service changes its
    release without a move, and a new move must start from the release in force.

    Parameters
    ----------
    previous : BundleContent
        Bundle in force.
    successor : BundleContent
        Validated bundle that is to replace it.
    verdicts : mapping of str to str
        ``done`` or ``taken back`` by move id, for every decided move of both bundles.

    Raises
    ------
    MoveError
        The bundle is refused; the message contains the move or the service.
    """
    for move in previous.moves:
        _check_move_kept(move, previous, successor, verdicts.get(move.move_id))
    previous_move_ids = {move.move_id for move in previous.moves}
    for move in successor.moves:
        if move.move_id not in previous_move_ids and move.move_id in verdicts:
            raise MoveError(
                f"move {move.move_id!r} already has the verdict "
                f"{verdicts[move.move_id]}; a new move needs a new move_id",
                ResultCode.MOVE_ALREADY_DECIDED,
            )
    releases = effective_releases(previous, verdicts)
    for service in successor.services:
        if service.name in releases:
            _check_release(
                service.name, releases[service.name], previous_move_ids, successor
            )


def effective_releases(
    content: BundleContent, verdicts: Mapping[str, str]
) -> dict[str, str]:
    """Return the release in force of each service that has no undecided move."""
    releases = {service.name: service.release for service in content.services}
    for move in content.moves:
        verdict = verdicts.get(move.move_id)
        if verdict is None:
            releases.pop(move.service, None)
        else:
            is_done = verdict == DONE
            releases[move.service] = move.new_release if is_done else move.old_release
    return releases


def _check_move_kept(
    move: Move,
    previous: BundleContent,
    successor: BundleContent,
    verdict: str | None,
) -> None:
    successor_move = next(
        (m for m in successor.moves if m.move_id == move.move_id), None
    )
    if verdict is not None:
        if successor_move is not None and successor_move != move:
            raise MoveError(
                f"move {move.move_id!r} has the verdict {verdict} and cannot "
                "be changed",
                ResultCode.MOVE_ALREADY_DECIDED,
            )
        return
    same_release = _find_release(previous, move.service) == _find_release(
        successor, move.service
    )
    if successor_move != move or not same_release:
        change = "missing" if successor_move is None else "altered"
        raise MoveError(
            f"move {move.move_id!r} has no verdict yet and is {change} in the new "
            "bundle; cancel it first, or keep it and the release of its service",
            ResultCode.MOVE_UNDECIDED_CHANGED,
        )


def _check_release(
    name: str,
    current_release: str,
    previous_move_ids: set[str],
    successor: BundleContent,
) -> None:
    move = next((m for m in successor.moves if m.service == name), None)
    if move is None:
        release = _find_release(successor, name)
        if release != current_release:
            raise MoveError(
                f"service {name!r} has release {current_release!r} in force and "
                f"would change to {release!r} without a move",
                ResultCode.MOVE_OUTCOME_CONTRADICTED,
            )
    elif move.move_id not in previous_move_ids and move.old_release != current_release:
        raise MoveError(
            f"move {move.move_id!r} starts from {move.old_release!r}, but {name!r} has "
            f"release {current_release!r} in force",
            ResultCode.MOVE_OUTCOME_CONTRADICTED,
        )


def _find_release(content: BundleContent, name: str) -> str | None:
    return next((s.release for s in content.services if s.name == name), None)
