"""Member records and the order among them.

The rank of a member record is its incarnation, then an order in which the member's own
sequence counts ``STEP``: a claim of unreachability stands just above the sequence that
it is about, and below the member's next one. Nothing of an incarnation ranks above its
end.
"""

from __future__ import annotations

import dataclasses

import msgspec

from marigoldchute.membership.model import Member, MemberState
from marigoldchute.overlay.records import Record, RecordKind

STEP = 2
GONE_ORDER = 2**62


def own_record(member: Member) -> Record:
    """Return the record with which a member states itself."""
    return _record(member, STEP * member.sequence)


def claim_record(member: Member, state: MemberState, now_ms: int) -> Record:
    """Return the record that claims a member unreachable or gone.

    Parameters
    ----------
    member : Member
        Member as it was last known.
    state : MemberState
        ``UNREACHABLE`` or ``GONE``.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    """
    if state is MemberState.GONE:
        ended = dataclasses.replace(
            member, state=MemberState.GONE, servers=(), gone_at_ms=now_ms
        )
        return _record(ended, GONE_ORDER)
    claimed = dataclasses.replace(member, state=MemberState.UNREACHABLE)
    return _record(claimed, STEP * member.sequence + 1)


def _record(member: Member, order: int) -> Record:
    body = msgspec.msgpack.encode(member)
    rank = (member.incarnation, order)
    return Record(RecordKind.MEMBER, member.name, rank, body)
