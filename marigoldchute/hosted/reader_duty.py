"""Selection of the members that read the store for the mesh."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.hosted.reader_order import reader_order

if TYPE_CHECKING:
    from marigoldchute.hosted.directory import Directory
    from marigoldchute.membership.model import Member

NUM_READERS = 2  # If one freezes or is cut off, the other reads on without a gap.
BEACON_TIMEOUT_S = 1.3  # Two beacons may be lost before a backup starts to read.
NUM_BACKUPS = 4
# The other members of a data centre follow the backups one after the other, so that a
# part of the mesh without links to the backups has a reader as well.
STANDBY_DELAY_S = 0.3
STANDBY_STEP_S = 0.2  # For each doubling of the number of members that may read.
NO_PEERS_DELAY_S = 4.0
# Links that a member which stands in opens to each other data centre, one at a time.
MAX_REPAIR_LINKS = 3


class Beacon(msgspec.Struct, frozen=True, array_like=True):
    """Message that a member reads the store successfully.

    Parameters
    ----------
    member : str
        Name of the reader.
    incarnation : int
        Incarnation of the member.
    number : int
        Increases with each beacon of an incarnation.
    is_reading : bool
        False in the last beacon of a member that reads no longer.
    """

    member: str
    incarnation: int
    number: int
    is_reading: bool = True


class ReaderDuty:
    """Decides whether this node reads the store; beacons are its only messages.

    All nodes compute the same order of members, see ``reader_order``. The first
    ``NUM_READERS`` members read the store. A member that reads
    successfully sends a beacon twice a second. A node without a recent beacon reads the
    store in their place: at once when it is among the next ``NUM_BACKUPS`` members of
    the order or has no link to any member, otherwise after a delay that increases with
    its place among the members of its data centre. It stops once it receives beacons
    from ``NUM_READERS`` members before it in the order.

    Parameters
    ----------
    directory : Directory
        Members of the mesh.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self._started_at = 0.0
        self._is_settled = True
        self._contact_at: float | None = None
        self._last_beacon_at: dict[str, float] = {}
        self._latest: dict[str, tuple[int, int]] = {}
        # The order is needed many times a second and changes with the members only.
        self._ordered_from: list[Member] | None = None
        self._order: list[Member] = []
        self._positions: dict[str, int] = {}
        self._stands_in = False
        self._repair_round = 0

    def start_timeout(self, now: float) -> None:
        """Measure the time without beacons from ``now``, monotonic time in seconds."""
        self._started_at = now
        self._is_settled = False

    def is_settled(self, now: float) -> bool:
        """Return whether this node may act for the mesh.

        After its start it knows neither the states of orders nor who leads. It is
        settled once it has been in contact with another member for
        ``BEACON_TIMEOUT_S``, or has found none listed for ``NO_PEERS_DELAY_S``.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        if self._is_settled:
            return True
        if self._contact_at is None and len(self.directory.reachable()) > 1:
            self._contact_at = now
        if self._contact_at is not None:
            self._is_settled = now - self._contact_at >= BEACON_TIMEOUT_S
        elif len(self.directory.all()) <= 1:
            self._is_settled = now - self._started_at >= NO_PEERS_DELAY_S
        return self._is_settled

    def record_beacon(self, name: str, now: float) -> None:
        """Record a beacon of a member that reads the store successfully."""
        self._last_beacon_at[name] = now

    def record_stop(self, name: str, now: float) -> None:
        """Record that a member no longer reads the store, as if its beacon expired."""
        self._last_beacon_at[name] = now - BEACON_TIMEOUT_S

    def is_newer(self, beacon: Beacon) -> bool:
        """Return whether a beacon is its member's newest so far, and record it."""
        rank = (beacon.incarnation, beacon.number)
        is_newer = rank > self._latest.get(beacon.member, (-1, -1))
        if is_newer:
            self._latest[beacon.member] = rank
        return is_newer

    def is_reader(self, now: float) -> bool:
        """Return whether this node has to read the store now."""
        if self._position(self.directory.local.name) < NUM_READERS:
            return True
        self._stands_in = self._is_needed(now)
        if not self._stands_in:
            self._repair_round = 0
        return self._stands_in

    def next_repair_peers(self, now: float) -> list[str]:
        """Return members to link to, as this part of the mesh may be separated.

        While this node reads the store and stands in for readers that it does not
        hear, or hears no other reader, each call returns one more member of each other
        data centre, ``MAX_REPAIR_LINKS`` times.
        """
        if not self._stands_in and self.active_readers(now):
            self._repair_round = 0
        elif self._repair_round < MAX_REPAIR_LINKS:
            self._repair_round += 1
            return self._members_elsewhere(self._repair_round - 1)
        return []

    def _members_elsewhere(self, place: int) -> list[str]:
        """Return the member at a place in the order of each other data centre."""
        by_data_centre: dict[str, list[str]] = {}
        for member in self._ordered():
            by_data_centre.setdefault(member.data_centre, []).append(member.name)
        by_data_centre.pop(self.directory.local.data_centre, None)
        return [names[place] for names in by_data_centre.values() if len(names) > place]

    def _is_needed(self, now: float) -> bool:
        if self._stands_in:
            # Two members that stand in must not both stop because of each other.
            position = self._position(self.directory.local.name)
            active = self.active_readers(now)
            return sum(self._position(n) < position for n in active) < NUM_READERS
        last_beacon_at = max(self._last_beacon_at.values(), default=self._started_at)
        elapsed_s = now - last_beacon_at - BEACON_TIMEOUT_S
        return elapsed_s > 0.0 and elapsed_s > self._takeover_delay_s()

    def _takeover_delay_s(self) -> float:
        local = self.directory.local
        position = self._position(local.name)
        if position < NUM_READERS + NUM_BACKUPS or self.directory.is_isolated:
            return 0.0
        data_centre = [m for m in self._ordered() if m.data_centre == local.data_centre]
        place = sum(self._position(m.name) < position for m in data_centre)
        return STANDBY_DELAY_S + STANDBY_STEP_S * math.log2(1 + place)

    def active_readers(self, now: float) -> list[str]:
        """Return the names of other members with a recent beacon."""
        return [
            n for n, at in self._last_beacon_at.items() if now - at < BEACON_TIMEOUT_S
        ]

    def leader_candidates(self, now: float) -> list[str]:
        """Return the names of the other members that may be the leader.

        These are the members with a recent beacon or, when there are none, the first
        ``NUM_READERS`` members.
        """
        active = self.active_readers(now)
        if active:
            return active
        first = [member.name for member in self._ordered()[:NUM_READERS]]
        return [name for name in first if name != self.directory.local.name]

    def is_leader(self, is_reading: bool, now: float) -> bool:
        """Return whether this node is the leader, which decides for all readers.

        The leader is the first settled member of the order that reads the store. While
        no member reads it, the first member of the order is the leader if it reaches a
        majority of the members, so that rollouts in progress continue.

        Parameters
        ----------
        is_reading : bool
            Whether this node reads successfully.
        now : float
            Monotonic time in seconds.
        """
        if not self.is_settled(now):
            return False
        local = self.directory.local.name
        active = set(self.active_readers(now))
        if is_reading:
            active.add(local)
        ordered = [member.name for member in self._ordered()]
        if active:
            return next((n for n in ordered if n in active), local) == local
        reaches_most = 2 * len(ordered) > len(self.directory.all())
        return reaches_most and ordered[0] == local

    def _ordered(self) -> list[Member]:
        members = self.directory.reachable()
        if members is not self._ordered_from:
            self._ordered_from = members
            self._order = reader_order(members)
            self._positions = {m.name: i for i, m in enumerate(self._order)}
        return self._order

    def _position(self, name: str) -> int:
        order = self._ordered()
        return self._positions.get(name, len(order))
