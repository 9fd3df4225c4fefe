"""To which neighbours a new record goes on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.overlay.topology import (
    centre_topic,
    region_topic,
    rendezvous_names,
    ring_fingers,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from marigoldchute.link.handshake import PeerIdentity

CROSSINGS = 2  # Members on either side of a pair of places: one may be frozen.


class _Surroundings:
    """Names of the members that are heard, by how near they are.

    ``home`` and ``region_home`` hold this member too; ``centres`` are the others of its
    region, ``regions`` all other regions.
    """

    def __init__(self, local: PeerIdentity, neighbours: Iterable[PeerIdentity]) -> None:
        self.home, self.region_home = [local.name], [local.name]
        self.centres: dict[str, list[str]] = {}
        self.regions: dict[str, list[str]] = {}
        for peer in neighbours:
            if peer.region != local.region:
                self.regions.setdefault(peer.region, []).append(peer.name)
                continue
            self.region_home.append(peer.name)
            if peer.data_centre == local.data_centre:
                self.home.append(peer.name)
            else:
                self.centres.setdefault(peer.data_centre, []).append(peer.name)


class Flooding:
    """Spreads records widely within a data centre and over few links between places.

    Where a record begins, and where it enters a data centre, it goes to every neighbour
    of the data centre; these pass it on to a few along the ring, should the first be
    interrupted. To another data centre or region it is passed on by the member where
    it began and by those that come first in an order that all compute alike, each to
    the first ``CROSSINGS`` members on the other side. Members that are not heard are
    passed over. Anti-entropy finds what was lost with all of them.

    Parameters
    ----------
    local : PeerIdentity
        This member.
    """

    def __init__(self, local: PeerIdentity) -> None:
        self._local = local

    def targets(
        self, source: PeerIdentity | None, neighbours: Iterable[PeerIdentity]
    ) -> set[str]:
        """Return the names of the neighbours to send a new record to.

        Parameters
        ----------
        source : PeerIdentity or None
            Neighbour that the record came from; None for a record of this member.
        neighbours : iterable of PeerIdentity
            Linked members that are heard.
        """
        local = self._local
        here = _Surroundings(local, neighbours)
        targets = self._in_centre(source, here.home)
        entered = source is None or source.region != local.region
        if entered:
            targets |= _across(here.centres, local.data_centre, centre_topic)
        elif source is not None and source.data_centre == local.data_centre:
            targets |= self._as_gateway(
                here.centres, here.home, local.data_centre, centre_topic
            )
        if source is None:
            targets |= _across(here.regions, local.region, region_topic)
        elif not entered:
            targets |= self._as_gateway(
                here.regions, here.region_home, local.region, region_topic
            )
        return targets - {local.name, source.name if source is not None else ""}

    def _in_centre(self, source: PeerIdentity | None, home: list[str]) -> set[str]:
        if source is None or source.data_centre != self._local.data_centre:
            return set(home)
        return ring_fingers(self._local.name, rendezvous_names(home, "ring"))

    def _as_gateway(
        self,
        others: dict[str, list[str]],
        home: list[str],
        place: str,
        topic_of: Callable[[str, str], str],
    ) -> set[str]:
        mine = {
            other: names
            for other, names in others.items()
            if self._local.name in _first(home, topic_of(place, other))
        }
        return _across(mine, place, topic_of)


def _across(
    others: dict[str, list[str]], place: str, topic_of: Callable[[str, str], str]
) -> set[str]:
    targets: set[str] = set()
    for other, names in others.items():
        targets.update(_first(names, topic_of(place, other)))
    return targets


def _first(names: list[str], topic: str) -> list[str]:
    return rendezvous_names(names, topic)[:CROSSINGS]
