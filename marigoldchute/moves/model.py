"""Messages and state of moves."""

from __future__ import annotations

import dataclasses
import enum

import msgspec


class VerdictKind(enum.StrEnum):
    """Outcome of a move."""

    DONE = "done"
    TAKEN_BACK = "taken back"


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The one decision about a move, written once to the store.

    Parameters
    ----------
    move_id : str
        Move that is decided.
    kind : VerdictKind
        Outcome.
    reason : str
        Short sentence.
    author : str
        Node or operator who wrote it.
    at_ms : int
        Wall-clock time of the writer in milliseconds since the epoch.
    token : str
        Unique token by which the writer recognises its own write.
    members : int
        Number of members that had confirmed when it was written.
    """

    move_id: str
    kind: VerdictKind
    reason: str
    author: str
    at_ms: int
    token: str
    members: int


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of a new release; once known it is never forgotten."""

    move_id: str
    node: str
    reason: str
    at_ms: int


class MoveReport(msgspec.Struct, frozen=True, array_like=True):
    """Where one member stands in one move.

    Parameters
    ----------
    move_id : str
        Move.
    share : float
        Share of requests for the new release in force on the member.
    confirmed : bool
        Whether the member has confirmed the full share, which it then holds until
        it learns the verdict.
    """

    move_id: str
    share: float
    confirmed: bool


class MemberReport(msgspec.Struct, frozen=True, array_like=True):
    """What one member tells the collector of its data centre.

    Parameters
    ----------
    name : str
        Member.
    incarnation : int
        Start of its process.
    sequence : int
        Rises with each report of an incarnation.
    version : int
        Bundle version in force.
    moves : tuple of MoveReport
        Its moves.
    """

    name: str
    incarnation: int
    sequence: int
    version: int
    moves: tuple[MoveReport, ...]


@dataclasses.dataclass(frozen=True)
class Split:
    """How the requests of a service divide between two releases now.

    Parameters
    ----------
    old_release, new_release : str
        Releases; equal when no move is under way.
    share : float
        Share for the new release, 0 to 1.
    move_id : str
        Move that decides the share; empty when there is none.
    """

    old_release: str
    new_release: str
    share: float
    move_id: str = ""
