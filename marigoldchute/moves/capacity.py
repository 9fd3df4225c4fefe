"""Capacity of the backend servers of two releases."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Move
    from marigoldchute.membership.model import Members


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Slots of both releases of a move and their combined load.

    Parameters
    ----------
    old_slots, new_slots : int
        Slots of the backend servers of each release that accept new requests and
        are not in their cold start.
    concurrency : float
        Mean number of concurrent requests of both releases together.
    """

    old_slots: int
    new_slots: int
    concurrency: float = 0.0

    @property
    def max_share(self) -> float:
        """Largest share for which the new release has enough slots."""
        if self.new_slots == 0:
            return 0.0
        return (
            min(1.0, self.new_slots / self.concurrency)
            if self.concurrency > 0.0
            else 1.0
        )


def compute_capacity(
    members: Members, move: Move, concurrency: float, now_ms: int
) -> Capacity:
    """Return the slots of both releases of a move on the members that accept requests.

    Parameters
    ----------
    members : Members
        Members of the mesh with their backend servers.
    move : Move
        Move of one service.
    concurrency : float
        Mean number of concurrent requests of the service.
    now_ms : int
        Wall-clock time in milliseconds since the epoch; backend servers in
        their cold start are not counted.
    """
    slots = {move.old_release: 0, move.new_release: 0}
    for member in members.all():
        if not member.accepts_requests:
            continue
        for server in member.servers:
            if server.service != move.service or server.release not in slots:
                continue
            if not server.draining and server.warm_at_ms <= now_ms:
                slots[server.release] += server.slots
    return Capacity(slots[move.old_release], slots[move.new_release], concurrency)
