"""Shares that the backend servers of two releases can carry."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Move
    from marigoldchute.membership.model import Members


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Slots of two releases and the load that they share.

    Parameters
    ----------
    old_slots, new_slots : int
        Slots of the usable backend servers of each release.
    busy : float
        Mean number of requests that run at a time, of both releases.
    """

    old_slots: int
    new_slots: int
    busy: float = 0.0

    @property
    def greatest_share(self) -> float:
        """Share that the new release's slots can carry."""
        if self.new_slots == 0:
            return 0.0
        return min(1.0, self.new_slots / self.busy) if self.busy > 0.0 else 1.0


def measure_capacity(
    members: Members, move: Move, busy: float, now_ms: int
) -> Capacity:
    """Return the slots of a move's releases on the members that may be used.

    Parameters
    ----------
    members : Members
        Members with their backend servers.
    move : Move
        Move of one service.
    busy : float
        Mean number of the service's requests that run at a time.
    now_ms : int
        Wall-clock time in milliseconds since the epoch; a backend server in its cold
        start does not count.
    """
    slots = {move.old_release: 0, move.new_release: 0}
    for member in members.all():
        if not member.usable:
            continue
        for server in member.servers:
            if server.service != move.service or server.release not in slots:
                continue
            if not server.draining and server.warm_at_ms <= now_ms:
                slots[server.release] += server.slots
    return Capacity(slots[move.old_release], slots[move.new_release], busy)
