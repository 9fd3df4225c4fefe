"""Checks of a bundle against the one that it follows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.errors import MoveError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from marigoldchute.bundle.model import BundleContent, Move

DONE = "done"
TAKEN_BACK = "taken back"


def check_successor(
    previous: BundleContent, following: BundleContent, verdicts: Mapping[str, str]
) -> None:
    """Check that a bundle neither upsets a move nor sends traffic back.

    A move without a verdict stays as it is. When a decided move goes, its service keeps
    the release that the verdict gave it. No service changes its release without a move,
    and a new move starts from the release in force.

    Parameters
    ----------
    previous : BundleContent
        Bundle in force.
    following : BundleContent
        Validated bundle that is to follow it.
    verdicts : mapping of str to str
        ``done`` or ``taken back`` by move, for every decided move of both bundles.

    Raises
    ------
    MoveError
        The bundle must not follow; names the move or the service.
    """
    for move in previous.moves:
        _check_kept(move, previous, following, verdicts.get(move.move_id))
    known = {move.move_id for move in previous.moves}
    for move in following.moves:
        if move.move_id not in known and move.move_id in verdicts:
            raise MoveError(
                f"move {move.move_id!r} was {verdicts[move.move_id]} before; "
                "a new move needs a new move_id",
                ResultCode.MOVE_ALREADY_DECIDED,
            )
    settled = settled_releases(previous, verdicts)
    for service in following.services:
        if service.name in settled:
            _check_release(service.name, settled[service.name], known, following)


def settled_releases(
    content: BundleContent, verdicts: Mapping[str, str]
) -> dict[str, str]:
    """Return the release that takes each service's traffic; none while undecided."""
    releases = {service.name: service.release for service in content.services}
    for move in content.moves:
        verdict = verdicts.get(move.move_id)
        if verdict is None:
            releases.pop(move.service, None)
        else:
            done = verdict == DONE
            releases[move.service] = move.new_release if done else move.old_release
    return releases


def _check_kept(
    move: Move,
    previous: BundleContent,
    following: BundleContent,
    verdict: str | None,
) -> None:
    kept = next((m for m in following.moves if m.move_id == move.move_id), None)
    if verdict is not None:
        if kept is not None and kept != move:
            raise MoveError(
                f"move {move.move_id!r} is {verdict} and can't be altered",
                ResultCode.MOVE_ALREADY_DECIDED,
            )
        return
    same_release = _release_of(previous, move.service) == _release_of(
        following, move.service
    )
    if kept != move or not same_release:
        what = "missing" if kept is None else "altered"
        raise MoveError(
            f"move {move.move_id!r} has no verdict yet and is {what}; "
            "cancel it first or leave it and its service's release as they are",
            ResultCode.MOVE_UNDECIDED_CHANGED,
        )


def _check_release(
    name: str, settled: str, known: set[str], following: BundleContent
) -> None:
    move = next((m for m in following.moves if m.service == name), None)
    if move is None:
        release = _release_of(following, name)
        if release != settled:
            raise MoveError(
                f"service {name!r} has release {settled!r} in force and would go to "
                f"{release!r} without a move",
                ResultCode.MOVE_OUTCOME_CONTRADICTED,
            )
    elif move.move_id not in known and move.old_release != settled:
        raise MoveError(
            f"move {move.move_id!r} starts from {move.old_release!r}, but {name!r} has "
            f"release {settled!r} in force",
            ResultCode.MOVE_OUTCOME_CONTRADICTED,
        )


def _release_of(content: BundleContent, name: str) -> str | None:
    return next((s.release for s in content.services if s.name == name), None)
