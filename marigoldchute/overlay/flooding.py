"""Selection of the neighbours to which a new record is forwarded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.overlay.topology import (
    data_centre_topic,
    region_topic,
    rendezvous_names,
    ring_fingers,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from marigoldchute.link.handshake import PeerIdentity

# Gateways on each side between two data centres or regions; one of them may be frozen.
GATEWAYS_PER_SIDE = 2


class _NeighbourGroups:
    """Names of the reachable neighbours, grouped by data centre and region.

    ``same_data_centre`` and ``same_region`` include this member. ``data_centres`` holds
    the other data centres of its region, ``regions`` all other regions.
    """

    def __init__(self, local: PeerIdentity, neighbours: Iterable[PeerIdentity]) -> None:
        self.same_data_centre, self.same_region = [local.name], [local.name]
        self.data_centres: dict[str, list[str]] = {}
        self.regions: dict[str, list[str]] = {}
        for peer in neighbours:
            if peer.region != local.region:
                self.regions.setdefault(peer.region, []).append(peer.name)
                continue
            self.same_region.append(peer.name)
            if peer.data_centre == local.data_centre:
                self.same_data_centre.append(peer.name)
            else:
                self.data_centres.setdefault(peer.data_centre, []).append(peer.name)


class Flooding:
    """Forwards records to many neighbours in a data centre and to few outside of it.

    The member where a record originates or enters a data centre sends it to every
    neighbour in that data centre. These forward it to a few members along the ring in
    case the first member is interrupted before it has sent the record to all. The
    originating member and the gateways, which come first in an order that all members
    compute alike, send it to other data centres and regions, each to the first
    ``GATEWAYS_PER_SIDE`` members there. Unreachable members are skipped. Anti-entropy
    delivers records that were lost on all paths.

    Parameters
    ----------
    local : PeerIdentity
        Identity of this member.
    """

    def __init__(self, local: PeerIdentity) -> None:
        self._local = local
        self._cached_neighbours: tuple[PeerIdentity, ...] = ()
        self._cached_targets: dict[str, frozenset[str]] = {}

    def targets(
        self, source: PeerIdentity | None, neighbours: Iterable[PeerIdentity]
    ) -> set[str]:
        """Return the names of the neighbours to send a new record to.

        They are computed once for each source while the neighbours are the same.

        Parameters
        ----------
        source : PeerIdentity or None
            Neighbour that sent the record; None for a record of this member.
        neighbours : iterable of PeerIdentity
            Reachable linked members.
        """
        present = tuple(neighbours)
        if present != self._cached_neighbours:
            self._cached_neighbours = present
            self._cached_targets.clear()
        key = source.name if source is not None else ""
        targets = self._cached_targets.get(key)
        if targets is None:
            targets = frozenset(self._compute_targets(source, present))
            self._cached_targets[key] = targets
        return set(targets)

    def _compute_targets(
        self, source: PeerIdentity | None, neighbours: Iterable[PeerIdentity]
    ) -> set[str]:
        local = self._local
        groups = _NeighbourGroups(local, neighbours)
        targets = self._targets_in_data_centre(source, groups.same_data_centre)
        enters_region = source is None or source.region != local.region
        if enters_region:
            targets |= _remote_targets(
                groups.data_centres, local.data_centre, data_centre_topic
            )
        elif source is not None and source.data_centre == local.data_centre:
            targets |= self._gateway_targets(
                groups.data_centres,
                groups.same_data_centre,
                local.data_centre,
                data_centre_topic,
            )
        if source is None:
            targets |= _remote_targets(groups.regions, local.region, region_topic)
        elif not enters_region:
            targets |= self._gateway_targets(
                groups.regions, groups.same_region, local.region, region_topic
            )
        return targets - {local.name, source.name if source is not None else ""}

    def _targets_in_data_centre(
        self, source: PeerIdentity | None, same_data_centre: list[str]
    ) -> set[str]:
        if source is None or source.data_centre != self._local.data_centre:
            return set(same_data_centre)
        return ring_fingers(
            self._local.name, rendezvous_names(same_data_centre, "ring")
        )

    def _gateway_targets(
        self,
        others: dict[str, list[str]],
        local_names: list[str],
        local_group: str,
        topic_of: Callable[[str, str], str],
    ) -> set[str]:
        assigned = {
            other: names
            for other, names in others.items()
            if self._local.name
            in _select_gateways(local_names, topic_of(local_group, other))
        }
        return _remote_targets(assigned, local_group, topic_of)


def _remote_targets(
    others: dict[str, list[str]], local_group: str, topic_of: Callable[[str, str], str]
) -> set[str]:
    targets: set[str] = set()
    for other, names in others.items():
        targets.update(_select_gateways(names, topic_of(local_group, other)))
    return targets


def _select_gateways(names: list[str], topic: str) -> list[str]:
    return rendezvous_names(names, topic)[:GATEWAYS_PER_SIDE]
