"""Assignment of duties to members, derived from the member list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from marigoldchute.membership.model import MemberState
from marigoldchute.overlay.topology import rendezvous_order

if TYPE_CHECKING:
    from marigoldchute.membership.model import Member

READER = "reader"
COLLECTOR = "collector"
DRIVER = "driver"


class MemberList(Protocol):
    """Members with a generation number that increases with each change."""

    @property
    def local(self) -> Member:
        """Member record of this node."""

    @property
    def generation(self) -> int:
        """Number that increases with each change of the members."""

    def all(self) -> tuple[Member, ...]:
        """Return every known member that is not gone."""


class Duties:
    """Determines the holder of each duty and caches it until the members change.

    Parameters
    ----------
    members : MemberList
        Members of the mesh.
    """

    def __init__(self, members: MemberList) -> None:
        self._members = members
        self._generation = -1
        self._holders: dict[tuple[str, str], str | None] = {}

    def holder(self, duty: str, data_centre: str = "") -> str | None:
        """Return the name of the member that holds a duty.

        Parameters
        ----------
        duty : str
            ``READER``, ``COLLECTOR`` or ``DRIVER``.
        data_centre : str
            Data centre of the duty; empty for a duty of the whole mesh.

        Returns
        -------
        str or None
            First reachable member in rendezvous order, None when there is none.
        """
        if self._generation != self._members.generation:
            self._generation = self._members.generation
            self._holders.clear()
        key = (duty, data_centre)
        if key not in self._holders:
            self._holders[key] = self._find_holder(duty, data_centre)
        return self._holders[key]

    def is_held_here(self, duty: str, data_centre: str = "") -> bool:
        """Return whether this node holds a duty."""
        return self.holder(duty, data_centre) == self._members.local.name

    def _find_holder(self, duty: str, data_centre: str) -> str | None:
        candidates = [
            member
            for member in self._members.all()
            if member.state is MemberState.ALIVE
            and data_centre in ("", member.data_centre)
        ]
        order = rendezvous_order(candidates, duty)
        return order[0].name if order else None
