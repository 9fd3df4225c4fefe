"""Which members were heard, how long ago, and whether this node may serve."""

from __future__ import annotations

import dataclasses
import hashlib
import math
import time
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

GONE_FACTOR = 1.5
FRESH_FACTOR = 0.6
MARK_FACTOR = 1.1
AGE_UNIT_S = 0.25
MAX_AGE = 255
NEVER = -math.inf


@dataclasses.dataclass(frozen=True)
class ContactTimes:
    """Time limits of contact, all derived from one.

    Parameters
    ----------
    fence_after_s : float
        Time without contact after which a node refuses requests.
    """

    fence_after_s: float = 20.0

    @property
    def gone_after_s(self) -> float:
        """Silence after which a member may be declared gone."""
        return GONE_FACTOR * self.fence_after_s

    @property
    def fresh_s(self) -> float:
        """Age up to which a majority counts as heard now."""
        return FRESH_FACTOR * self.fence_after_s

    @property
    def mark_wait_s(self) -> float:
        """Wait between the mark in the store and the declaration."""
        return MARK_FACTOR * self.fence_after_s


def elapsed_clock() -> float:
    """Return seconds of a clock that runs on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class CentreAge(msgspec.Struct, frozen=True, array_like=True):
    """How long ago a majority of a data centre was heard, in ``AGE_UNIT_S``."""

    data_centre: str
    age: int


class View(msgspec.Struct, frozen=True, array_like=True):
    """What one member tells another of whom it hears.

    Parameters
    ----------
    data_centre : str
        Data centre of the sender.
    roster : bytes
        Digest of the names to which ``ages`` belong, in their order.
    ages : bytes
        One byte a member: time since it was heard, in ``AGE_UNIT_S``.
    centres : list of CentreAge
        Majorities heard.
    settled : bool
        Whether the sender, or one of its data centre that it heard, counts majorities.
    """

    data_centre: str
    roster: bytes
    ages: bytes
    centres: list[CentreAge]
    settled: bool


def roster_digest(names: Iterable[str]) -> bytes:
    """Return a digest of names in order."""
    return hashlib.blake2b("\n".join(names).encode(), digest_size=6).digest()


class Contact:
    """Times at which members and majorities of data centres were last heard.

    Every time is a lower bound: what a peer tells counts from the moment at which it
    was asked, so a late answer never looks fresh. A member serves while it hears,
    directly or through others, a majority of any data centre's voters, or reads in
    the store that it has not been declared gone.

    Parameters
    ----------
    name, data_centre : str
        This node and its place.
    now : float
        Time of ``elapsed_clock``.
    times : ContactTimes
        Time limits.
    """

    def __init__(
        self, name: str, data_centre: str, now: float, times: ContactTimes
    ) -> None:
        self._times = times
        self._name = name
        self._data_centre = data_centre
        self._started_at = now
        self._granted_at = now
        self._heard: dict[str, float] = {}
        self._noted: dict[str, float] = {}
        self._centres: dict[str, float] = {}
        self._voters: set[str] = set()
        self._settled = False
        self._settled_seen = False

    @property
    def settled(self) -> bool:
        """Whether this node counts the majority of its data centre itself."""
        return self._settled

    @property
    def contact_at(self) -> float:
        """Latest time at which this node was allowed to serve."""
        return max(self._granted_at, max(self._centres.values(), default=NEVER))

    def is_fenced(self, now: float) -> bool:
        """Whether requests must be refused."""
        return now - self.contact_at > self._times.fence_after_s

    def heard_at(self, name: str) -> float:
        """Return when a member of this data centre was last heard."""
        return self._heard.get(name, NEVER)

    def centre_heard_at(self, data_centre: str) -> float:
        """Return when a majority of a data centre was last heard."""
        return self._centres.get(data_centre, NEVER)

    def centre_silent_since(self, data_centre: str) -> float:
        """Return since when a data centre could have been heard and was not.

        A node that has just started, or was paused, first waits until majorities are
        counted.
        """
        settled_at = self._started_at + self._times.fence_after_s
        return max(settled_at, self.centre_heard_at(data_centre))

    def hear(self, name: str, at: float) -> None:
        """Take note that a member answered a question that was asked at a time."""
        self._heard[name] = max(at, self._heard.get(name, NEVER))

    def note(self, name: str, now: float) -> None:
        """Take note of a sign of life of unknown age; it delays a declaration only."""
        self._noted[name] = now

    def grant(self, at: float) -> None:
        """Take note that the store does not hold this node for gone."""
        self._granted_at = max(self._granted_at, at)

    def forget(self, now: float) -> None:
        """Drop what was heard, after this process was paused."""
        self._heard.clear()
        self._centres.clear()
        self._granted_at = NEVER
        self._started_at = now

    def advance(self, roster: set[str], now: float) -> None:
        """Adopt voters and count the majority of the own data centre.

        Parameters
        ----------
        roster : set of str
            Members of the data centre that are not gone, this node included.
        now : float
            Time of ``elapsed_clock``.
        """
        for times in (self._heard, self._noted):
            for name in times.keys() - roster:
                del times[name]
        self._voters &= roster
        in_contact = now - self.centre_heard_at(self._data_centre) < self._times.fresh_s
        if not self._settled:
            waited = now - self._started_at >= self._times.fence_after_s
            self._settled = waited and (in_contact or not self._settled_seen)
            in_contact = self._settled
        if in_contact:
            self._voters = set(roster)
        if self._settled:
            self._settled_seen = True
            self._count_majority(now)

    def _count_majority(self, now: float) -> None:
        heard = [now if v == self._name else self.heard_at(v) for v in self._voters]
        heard.sort(reverse=True)
        majority_at = heard[len(heard) // 2]
        held = self._centres.get(self._data_centre, NEVER)
        self._centres[self._data_centre] = max(held, majority_at)

    def tell(self, roster: set[str], now: float) -> View:
        """Return what to tell a peer."""
        names = sorted(roster)
        ages = bytes(
            0 if name == self._name else _age(now - self.heard_at(name))
            for name in names
        )
        centres = [CentreAge(c, _age(now - at)) for c, at in self._centres.items()]
        digest = roster_digest(names)
        return View(self._data_centre, digest, ages, centres, self._settled_seen)

    def take(self, view: View, roster: set[str], asked_at: float) -> None:
        """Merge what a peer answered to a question asked at a time."""
        for item in view.centres:
            if item.age < MAX_AGE:
                at = asked_at - item.age * AGE_UNIT_S
                self._centres[item.data_centre] = max(
                    at, self._centres.get(item.data_centre, NEVER)
                )
        if view.data_centre != self._data_centre:
            return
        self._settled_seen |= view.settled
        names = sorted(roster)
        if view.roster != roster_digest(names):
            return
        for name, age in zip(names, view.ages, strict=False):
            if age < MAX_AGE and name != self._name:
                self.hear(name, asked_at - age * AGE_UNIT_S)

    def is_silent(self, name: str, centres: Iterable[str], now: float) -> bool:
        """Whether a member of this data centre cannot be serving for want of peers.

        Parameters
        ----------
        name : str
            Member that is not heard.
        centres : iterable of str
            Every data centre with members; a majority of each has to be heard, so
            that the silent member hears the majority of none.
        now : float
            Time of ``elapsed_clock``.
        """
        gone_after_s = self._times.gone_after_s
        if not self._settled or now - self._started_at <= gone_after_s:
            return False
        last_at = max(self.heard_at(name), self._noted.get(name, NEVER))
        if now - last_at <= gone_after_s:
            return False
        fresh_s = self._times.fresh_s
        return all(now - self.centre_heard_at(c) <= fresh_s for c in centres)


def _age(seconds: float) -> int:
    if seconds > MAX_AGE * AGE_UNIT_S:
        return MAX_AGE
    return min(MAX_AGE, math.ceil(max(0.0, seconds) / AGE_UNIT_S))
