"""Peers to which the link was lost, until they are in contact again or gone."""

from __future__ import annotations

import dataclasses

PROBE_AFTER_S = 3.0
MIN_REFUSED_COUNT = 2
PROBE_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True)
class LostPeer:
    """Peer to which the link was lost.

    Parameters
    ----------
    since : float
        Monotonic time at which the link was lost.
    refused_count : int
        Number of connections that the peer's address has refused since the link was
        lost or the count was reset.
    next_probe_at : float
        Monotonic time before which the peer is not probed.
    """

    since: float
    refused_count: int = 0
    next_probe_at: float = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether the peer should be probed."""
        if now < self.next_probe_at:
            return False
        return (
            self.refused_count >= MIN_REFUSED_COUNT or now - self.since >= PROBE_AFTER_S
        )


class LostPeers:
    """Lost peers of this node, by name."""

    def __init__(self) -> None:
        self._peers: dict[str, LostPeer] = {}

    def record_failure(self, name: str, refused: bool, now: float) -> None:
        """Record that a link was lost or that a connection could not be opened."""
        peer = self._peers.get(name, LostPeer(now))
        refused_count = peer.refused_count + refused
        self._peers[name] = dataclasses.replace(peer, refused_count=refused_count)

    def remove(self, name: str) -> None:
        """Remove a peer that is in contact again or is no longer of interest."""
        self._peers.pop(name, None)

    def reset_refused_count(self, name: str) -> None:
        """Reset the number of connections that a peer has refused."""
        peer = self._peers.get(name)
        if peer is not None:
            self._peers[name] = dataclasses.replace(peer, refused_count=0)

    def schedule_due(self, now: float) -> list[str]:
        """Return the peers to probe now and schedule their next probe."""
        names = [name for name, peer in self._peers.items() if peer.is_due(now)]
        for name in names:
            self._peers[name] = dataclasses.replace(
                self._peers[name],
                refused_count=0,
                next_probe_at=now + PROBE_INTERVAL_S,
            )
        return names
