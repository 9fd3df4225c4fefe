"""Delays before chunks are fetched from other regions or from the store.

The first gateway of a region fetches at once. Each later one in the order waits longer
and usually finds the chunks inside the region by then. Without failures each changed
chunk therefore crosses the link between two regions once, and no lease is needed.
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
MAX_RANK = 4  # Members of a higher rank wait no longer than this one.


class TransferPolicy(Protocol):
    """Delays after which each source of chunks may be used."""

    uses_peers: bool

    def other_region_delay_s(self) -> float:
        """Return the delay in seconds before using peers in other regions."""

    def store_delay_s(self) -> float | None:
        """Return the delay in seconds before using the store, or None for never."""


class StoreOnlyPolicy:
    """Fetches from the store only and at once; a baseline for comparison."""

    uses_peers = False

    def other_region_delay_s(self) -> float:
        """Return infinity, because peers are never used."""
        return math.inf

    def store_delay_s(self) -> float | None:
        """Return zero, because the store is used at once."""
        return 0.0


class RankedPolicy:
    """Delays fetches from outside the region by the rank of this node."""

    uses_peers = True

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    def other_region_delay_s(self) -> float:
        """Return the delay in seconds before using peers in other regions."""
        local = self._membership.local
        alive = [m for m in self._membership.all() if m.state is MemberState.ALIVE]
        region_members = [m for m in alive if m.region == local.region]
        regions = {m.region for m in alive} - {local.region}
        gateway_orders = [
            [
                m.name
                for m in rendezvous_order(
                    region_members, region_topic(local.region, region)
                )
            ]
            for region in regions
        ]
        best_rank = min(
            (
                names.index(local.name)
                for names in gateway_orders
                if local.name in names
            ),
            default=MAX_RANK,
        )
        return min(best_rank, MAX_RANK) * RANK_DELAY_S

    def store_delay_s(self) -> float | None:
        """Return the delay in seconds before using the store, or None for never."""
        local = self._membership.local
        duties = self._membership.duties
        if not duties.is_held_here(READER, local.data_centre):
            return None
        region_members = [m for m in self._membership.all() if m.region == local.region]
        readers = [
            m for m in region_members if m.name == duties.holder(READER, m.data_centre)
        ]
        names = [m.name for m in rendezvous_order(readers, READER)]
        rank = names.index(local.name) if local.name in names else 0
        return STORE_DELAY_S + min(rank, MAX_RANK) * RANK_DELAY_S
