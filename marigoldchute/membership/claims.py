"""Member records and their ranks."""

from __future__ import annotations

import dataclasses

import msgspec

from marigoldchute.membership.model import Member, MemberState
from marigoldchute.overlay.records import Record, RecordKind

# A member record is ranked by incarnation, then by a minor rank. The member's own
# records use multiples of SEQUENCE_STEP, so that a claim of unreachability ranks above
# the sequence that it is about and below the member's next one. The record that ends
# an incarnation ranks above every other record of that incarnation.
SEQUENCE_STEP = 2
GONE_MINOR_RANK = 2**62

_MEMBER = msgspec.msgpack.Decoder(Member)


def decode_member(record: Record) -> Member:
    """Return the member that a record describes."""
    return _MEMBER.decode(record.body)


def own_record(member: Member) -> Record:
    """Return the record that a member publishes about itself."""
    return _member_record(member, SEQUENCE_STEP * member.sequence)


def claim_record(member: Member, state: MemberState, now_ms: int) -> Record:
    """Return the record that claims that a member is unreachable or gone.

    Parameters
    ----------
    member : Member
        Latest known state of the member.
    state : MemberState
        ``UNREACHABLE`` or ``GONE``.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    """
    if state is MemberState.GONE:
        gone_member = dataclasses.replace(
            member, state=MemberState.GONE, servers=(), gone_at_ms=now_ms
        )
        return _member_record(gone_member, GONE_MINOR_RANK)
    unreachable_member = dataclasses.replace(member, state=MemberState.UNREACHABLE)
    return _member_record(unreachable_member, SEQUENCE_STEP * member.sequence + 1)


def _member_record(member: Member, minor_rank: int) -> Record:
    body = msgspec.msgpack.encode(member)
    rank = (member.incarnation, minor_rank)
    return Record(RecordKind.MEMBER, member.name, rank, body)
