"""Peers whose links were lost, until they are linked again or claimed."""

from __future__ import annotations

import dataclasses

SILENT_AFTER_S = 3.0
REFUSALS_NEEDED = 2
INVESTIGATE_AGAIN_S = 5.0


@dataclasses.dataclass(frozen=True)
class Loss:
    """One lost peer.

    Parameters
    ----------
    since : float
        Monotonic time at which the peer was lost.
    refusals : int
        Connections that its address refused since.
    not_before : float
        Monotonic time of the next investigation.
    """

    since: float
    refusals: int = 0
    not_before: float = 0.0

    def is_due(self, now: float) -> bool:
        """Whether the loss should be investigated."""
        if now < self.not_before:
            return False
        return self.refusals >= REFUSALS_NEEDED or now - self.since >= SILENT_AFTER_S


class Losses:
    """The lost peers of this node."""

    def __init__(self) -> None:
        self._losses: dict[str, Loss] = {}

    def add(self, name: str, refused: bool, now: float) -> None:
        """Take note that a peer was lost, or that it refused a connection."""
        loss = self._losses.get(name, Loss(now))
        refusals = loss.refusals + refused
        self._losses[name] = dataclasses.replace(loss, refusals=refusals)

    def clear(self, name: str) -> None:
        """Take note that a peer was heard."""
        self._losses.pop(name, None)

    def restart(self, name: str) -> None:
        """Drop the refusals counted so far."""
        loss = self._losses.get(name)
        if loss is not None:
            self._losses[name] = dataclasses.replace(loss, refusals=0)

    def due(self, now: float) -> list[str]:
        """Return the peers to investigate and put each off until the next time."""
        names = [name for name, loss in self._losses.items() if loss.is_due(now)]
        for name in names:
            self._losses[name] = dataclasses.replace(
                self._losses[name], refusals=0, not_before=now + INVESTIGATE_AGAIN_S
            )
        return names
