"""When a move is done and when it is taken back, as pure functions."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

from marigoldchute.moves.model import Stand, VerdictKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from marigoldchute.bundle.model import Move
    from marigoldchute.membership.model import Member
    from marigoldchute.moves.model import Fault, MemberReport


@dataclasses.dataclass(frozen=True)
class Decision:
    """A verdict that may be written.

    Parameters
    ----------
    kind : VerdictKind
        Outcome.
    reason : str
        Short sentence.
    confirmed : int
        Members known to have confirmed.
    """

    kind: VerdictKind
    reason: str
    confirmed: int


def members_digest(members: Iterable[tuple[str, int]]) -> int:
    """Return a digest of names and incarnations that does not depend on their order."""
    digest = 0
    for name, incarnation in members:
        text = f"{name}/{incarnation}".encode()
        digest ^= int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
    return digest


def is_confirmed(report: MemberReport | None, incarnation: int, move_id: str) -> bool:
    """Whether a report confirms a move for an incarnation of a member."""
    if report is None or report.incarnation != incarnation:
        return False
    return any(m.move_id == move_id and m.confirmed for m in report.moves)


def stand_of_centre(
    move_id: str, members: Iterable[Member], reports: Mapping[str, MemberReport]
) -> Stand:
    """Return which members of a data centre have confirmed a move.

    Parameters
    ----------
    move_id : str
        Move.
    members : iterable of Member
        Members of the data centre that are not gone.
    reports : mapping of str to MemberReport
        Last report of each member.
    """
    known = [(member.name, member.incarnation) for member in members]
    confirmed = [
        (name, incarnation)
        for name, incarnation in known
        if is_confirmed(reports.get(name), incarnation, move_id)
    ]
    return Stand(
        move_id, members_digest(known), members_digest(confirmed), len(confirmed)
    )


def judge(
    move: Move,
    fault: Fault | None,
    members: Iterable[Member],
    stands: Mapping[str, Stand],
    now_ms: int,
    clock_error_ms: int,
) -> Decision | None:
    """Return the verdict that may be written now, if any.

    *Done* needs that in every data centre the collector and this driver know the same
    members in the same incarnations, and that all of them have confirmed. A member
    confirms only while its clock plus the clock error is before the deadline, and it
    holds the full share until it learns the verdict, so *done* stays true however late
    it is written.

    Parameters
    ----------
    move : Move
        Move to decide.
    fault : Fault, optional
        Known fault of the new release.
    members : iterable of Member
        Members that are not gone, unreachable ones included.
    stands : mapping of str to Stand
        Last stand of each data centre.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    clock_error_ms : int
        Greatest difference between a clock and true time.
    """
    by_centre: dict[str, list[tuple[str, int]]] = {}
    for member in members:
        by_centre.setdefault(member.data_centre, []).append(
            (member.name, member.incarnation)
        )
    total = sum(len(known) for known in by_centre.values())
    confirmed = sum(stands[name].count for name in by_centre if name in stands)
    if fault is not None:
        return Decision(VerdictKind.TAKEN_BACK, f"fault: {fault.reason}", confirmed)
    if by_centre and all(
        _all_confirmed(stands.get(centre), known) for centre, known in by_centre.items()
    ):
        return Decision(VerdictKind.DONE, "all members confirmed", confirmed)
    if now_ms > move.deadline_ms + clock_error_ms:
        missing = max(total - confirmed, 1)
        reason = f"{missing} members unconfirmed at the deadline"
        return Decision(VerdictKind.TAKEN_BACK, reason, confirmed)
    return None


def _all_confirmed(stand: Stand | None, known: list[tuple[str, int]]) -> bool:
    if stand is None:
        return False
    return stand.members == stand.confirmed == members_digest(known)
