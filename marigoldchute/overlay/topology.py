"""Selection of the peers to which a node keeps links, from the member list alone.

Within a data centre the members form a ring in the order of their hashed names, with
fingers to the members 1, 2, 4, ... places ahead, so that a record reaches every member
in a logarithmic number of hops. A few members, the gateways, are selected by
rendezvous hashing to keep links between data centres and between regions.
"""

from __future__ import annotations

import functools
import hashlib
from typing import TYPE_CHECKING

from marigoldchute.membership.model import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldchute.membership.model import Member

# Gateways on each side between two data centres or regions, linked one to one.
GATEWAYS_PER_PAIR = 2
# Takes 0.5 MB; flooding a record to 100 members in 6 data centres needs 1,000 entries.
WEIGHT_CACHE_SIZE = 4096


def rendezvous_order(members: Iterable[Member], topic: str) -> list[Member]:
    """Return members in the order that all nodes compute alike for a topic.

    This is highest-random-weight hashing after Thaler and Ravishankar (1996): the loss
    of a member reassigns only its own duties.
    """
    return sorted(members, key=lambda member: _weight(member.name, topic))


def rendezvous_names(names: Iterable[str], topic: str) -> list[str]:
    """Return names of members in the order of ``rendezvous_order``."""
    return sorted(names, key=lambda name: _weight(name, topic))


@functools.lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def _weight(name: str, topic: str) -> bytes:
    return hashlib.blake2b(f"{topic}/{name}".encode(), digest_size=8).digest()


def region_topic(region: str, other: str) -> str:
    """Return the topic whose order selects the gateways between two regions."""
    first, second = sorted((region, other))
    return f"region/{first}/{second}"


def data_centre_topic(data_centre: str, other: str) -> str:
    """Return the topic whose order selects the gateways between data centres."""
    first, second = sorted((data_centre, other))
    return f"centre/{first}/{second}"


def ring_fingers(name: str, ring: list[str]) -> set[str]:
    """Return the names 1, 2, 4, ... places ahead of a name in a ring."""
    position = ring.index(name)
    fingers: set[str] = set()
    distance = 1
    while distance < len(ring):
        fingers.add(ring[(position + distance) % len(ring)])
        distance *= 2
    return fingers - {name}


def wanted_peers(local: Member, members: Iterable[Member]) -> set[str]:
    """Return the names of the peers to which this node opens links.

    Parameters
    ----------
    local : Member
        Member record of this node.
    members : iterable of Member
        Every known member, this node included.

    Returns
    -------
    set of str
        Names of the peers; peers may open further links to this node.
    """
    reachable = [
        member
        for member in members
        if member.state in (MemberState.ALIVE, MemberState.DRAINING)
    ]
    return _ring_peers(local, reachable) | _gateway_peers(local, reachable)


def _ring_peers(local: Member, members: list[Member]) -> set[str]:
    candidates = [
        member for member in members if member.data_centre == local.data_centre
    ]
    ring = rendezvous_order(candidates, "ring")
    names = [member.name for member in ring]
    if local.name not in names:
        return set(names[:GATEWAYS_PER_PAIR])
    return ring_fingers(local.name, names)


def _gateway_peers(local: Member, members: list[Member]) -> set[str]:
    peers: set[str] = set()
    by_data_centre: dict[str, list[Member]] = {}
    by_region: dict[str, list[Member]] = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, []).append(member)
        by_region.setdefault(member.region, []).append(member)
    same_data_centre = by_data_centre.get(local.data_centre, [])
    for data_centre, others in by_data_centre.items():
        if data_centre > local.data_centre and others[0].region == local.region:
            topic = data_centre_topic(local.data_centre, data_centre)
            peers |= _select_paired_gateways(local, same_data_centre, others, topic)
    same_region = by_region.get(local.region, [])
    for region, others in by_region.items():
        if region > local.region:
            topic = region_topic(local.region, region)
            peers |= _select_paired_gateways(local, same_region, others, topic)
    return peers


def _select_paired_gateways(
    local: Member, local_members: list[Member], others: list[Member], topic: str
) -> set[str]:
    local_gateways = rendezvous_order(local_members, topic)[:GATEWAYS_PER_PAIR]
    other_gateways = rendezvous_order(others, topic)[:GATEWAYS_PER_PAIR]
    return {
        other.name
        for gateway, other in zip(local_gateways, other_gateways, strict=False)
        if gateway.name == local.name
    }
