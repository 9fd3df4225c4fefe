"""Who may fetch chunks from another region or from the store, and when.

The first of a region's gateways fetches at once; whoever comes later in the order
waits longer, and finds the chunks inside the region meanwhile. So each changed chunk
crosses the link between the regions once while nothing fails, and no lease is needed.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from marigoldchute.membership.model import MemberState
from marigoldchute.overlay.duties import READER
from marigoldchute.overlay.topology import region_topic, rendezvous_order

if TYPE_CHECKING:
    from marigoldchute.membership.service import Membership

RANK_DELAY_S = 0.5
STORE_DELAY_S = 0.5
MAX_RANK = 4


class TransferPolicy(Protocol):
    """From when on which sources of chunks may be asked."""

    asks_peers: bool

    def outside_delay_s(self) -> float:
        """Return the seconds to wait before peers of other regions are asked."""

    def store_delay_s(self) -> float | None:
        """Return the seconds to wait before the store is asked; None for never."""


class StoreOnlyPolicy:
    """Every node asks the store at once and peers never, for comparison."""

    asks_peers = False

    def outside_delay_s(self) -> float:
        """Return that no peer of another region is ever asked."""
        return math.inf

    def store_delay_s(self) -> float | None:
        """Return that the store is asked at once."""
        return 0.0


class RankedPolicy:
    """Delays by rank before this node leaves its region for chunks."""

    asks_peers = True

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    def outside_delay_s(self) -> float:
        """Return the seconds to wait before peers of other regions are asked."""
        local = self._membership.local
        alive = [m for m in self._membership.all() if m.state is MemberState.ALIVE]
        home = [m for m in alive if m.region == local.region]
        regions = {m.region for m in alive} - {local.region}
        ranks = [
            [m.name for m in rendezvous_order(home, region_topic(local.region, region))]
            for region in regions
        ]
        lowest = min(
            (names.index(local.name) for names in ranks if local.name in names),
            default=MAX_RANK,
        )
        return min(lowest, MAX_RANK) * RANK_DELAY_S

    def store_delay_s(self) -> float | None:
        """Return the seconds to wait before the store is asked; None for never."""
        local = self._membership.local
        duties = self._membership.duties
        if not duties.is_held_here(READER, local.data_centre):
            return None
        region = [m for m in self._membership.all() if m.region == local.region]
        readers = [m for m in region if m.name == duties.holder(READER, m.data_centre)]
        names = [m.name for m in rendezvous_order(readers, READER)]
        rank = names.index(local.name) if local.name in names else 0
        return STORE_DELAY_S + min(rank, MAX_RANK) * RANK_DELAY_S
