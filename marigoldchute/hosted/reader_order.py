"""Order in which members read the store for the mesh."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from marigoldchute.overlay.topology import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldchute.membership.model import Member

# A member is near the store up to this multiple of the lowest latency of a member.
NEAR_LATENCY_FACTOR = 3.0
# A member has a wide connection from this share of the widest one near the store.
WIDE_LINK_SHARE = 0.5


def reader_order(members: Iterable[Member]) -> list[Member]:
    """Return members in the order in which they read the store for the mesh.

    All nodes compute the same order. Members near the store come first, of these the
    ones with wide connections, because a reader receives each document in full and
    sends it on. Members that are alike in this alternate between data centres, so that
    a fault of one of them spares the next reader.

    Parameters
    ----------
    members : iterable of Member
        Members that this node reaches.
    """
    order = rendezvous_order(members, "store-reader")
    times = [member.store_ms for member in order if member.store_ms]
    limit_ms = NEAR_LATENCY_FACTOR * min(times, default=0)
    near = {m.name for m in order if 0 < m.store_ms <= limit_ms}
    widest_mbps = max((m.link_mbps for m in order if m.name in near), default=0.0)
    ranks: dict[str, tuple[bool, bool, int]] = {}
    counts: collections.Counter[tuple[bool, bool, str]] = collections.Counter()
    for member in order:
        is_far = member.name not in near
        is_narrow = member.link_mbps < WIDE_LINK_SHARE * widest_mbps
        kind = (is_far, is_narrow, member.data_centre)
        ranks[member.name] = (is_far, is_narrow, counts[kind])
        counts[kind] += 1
    return sorted(order, key=lambda member: ranks[member.name])
