"""Decides, with pure functions, whether a move is done or taken back."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

from marigoldchute.moves.model import ConfirmationDigest, VerdictKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from marigoldchute.bundle.model import Move
    from marigoldchute.membership.model import Member
    from marigoldchute.moves.model import Fault, MemberReport


@dataclasses.dataclass(frozen=True)
class Decision:
    """Verdict that a driver may write.

    Parameters
    ----------
    kind : VerdictKind
        Outcome.
    reason : str
        Short explanation for operators.
    confirmed : int
        Number of members known to have confirmed.
    """

    kind: VerdictKind
    reason: str
    confirmed: int


def members_digest(members: Iterable[tuple[str, int]]) -> int:
    """Return an order-independent digest of member names and incarnations."""
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


def confirmation_digest(
    move_id: str, members: Iterable[Member], reports: Mapping[str, MemberReport]
) -> ConfirmationDigest:
    """Return digests of the members of a data centre that have confirmed a move.

    Parameters
    ----------
    move_id : str
        Move id.
    members : iterable of Member
        Members of the data centre that are not gone.
    reports : mapping of str to MemberReport
        Latest report of each member.
    """
    known = [(member.name, member.incarnation) for member in members]
    confirmed = [
        (name, incarnation)
        for name, incarnation in known
        if is_confirmed(reports.get(name), incarnation, move_id)
    ]
    return ConfirmationDigest(
        move_id, members_digest(known), members_digest(confirmed), len(confirmed)
    )


def decide_verdict(
    move: Move,
    fault: Fault | None,
    members: Iterable[Member],
    digests: Mapping[str, ConfirmationDigest],
    now_ms: int,
    clock_error_ms: int,
) -> Decision | None:
    """Return the verdict that may be written now, or None.

    *Done* requires that, in every data centre, the collector and this driver know the
    same members in the same incarnations, and that all of them have confirmed. A member
    confirms only while its clock plus the clock error is before the deadline, and it
    keeps the full share until it receives the verdict. *Done* therefore stays true
    however late it is written.

    Parameters
    ----------
    move : Move
        Move to decide.
    fault : Fault, optional
        Published fault of the new release.
    members : iterable of Member
        Members that are not gone, unreachable ones included.
    digests : mapping of str to ConfirmationDigest
        Latest confirmation digest of each data centre.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    clock_error_ms : int
        Maximum difference between a clock and true time.
    """
    by_data_centre: dict[str, list[tuple[str, int]]] = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, []).append(
            (member.name, member.incarnation)
        )
    total = sum(len(known) for known in by_data_centre.values())
    confirmed = sum(digests[name].count for name in by_data_centre if name in digests)
    if fault is not None:
        return Decision(VerdictKind.TAKEN_BACK, f"fault: {fault.reason}", confirmed)
    if by_data_centre and all(
        _all_confirmed(digests.get(data_centre), known)
        for data_centre, known in by_data_centre.items()
    ):
        return Decision(VerdictKind.DONE, "all members confirmed", confirmed)
    if now_ms > move.deadline_ms + clock_error_ms:
        unconfirmed = max(total - confirmed, 1)
        reason = f"{unconfirmed} members unconfirmed at the deadline"
        return Decision(VerdictKind.TAKEN_BACK, reason, confirmed)
    return None


def _all_confirmed(
    digest: ConfirmationDigest | None, known: list[tuple[str, int]]
) -> bool:
    if digest is None:
        return False
    return digest.members == digest.confirmed == members_digest(known)
