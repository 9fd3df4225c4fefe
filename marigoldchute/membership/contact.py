"""Times of the latest contact with members, and the fencing derived from them."""

from __future__ import annotations

import dataclasses
import hashlib
import math
import time
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

# Multiples of ``fence_after_s``.
GONE_AFTER_FACTOR = 1.5
MAX_CONTACT_AGE_FACTOR = 0.6
GONE_MARKER_WAIT_FACTOR = 1.1  # Above 1 because clock rates differ.

AGE_UNIT_S = 0.25
MAX_AGE_UNITS = 255  # The largest value of a byte, which also means "no contact".
NEVER = -math.inf


@dataclasses.dataclass(frozen=True)
class ContactTimeouts:
    """Time limits of contact, all derived from one.

    Parameters
    ----------
    fence_after_s : float
        Time without contact after which a node refuses requests.
    """

    fence_after_s: float = 20.0

    @property
    def gone_after_s(self) -> float:
        """Time without contact after which a member may be declared gone."""
        return GONE_AFTER_FACTOR * self.fence_after_s

    @property
    def max_contact_age_s(self) -> float:
        """Age up to which contact with a majority counts as current."""
        return MAX_CONTACT_AGE_FACTOR * self.fence_after_s

    @property
    def gone_marker_wait_s(self) -> float:
        """Time between writing a gone marker to the store and the declaration."""
        return GONE_MARKER_WAIT_FACTOR * self.fence_after_s


def boottime_clock() -> float:
    """Return the seconds of a clock that also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DataCentreContactAge(msgspec.Struct, frozen=True, array_like=True):
    """Age of the contact with a majority of a data centre, in ``AGE_UNIT_S``."""

    data_centre: str
    age: int


class ContactReport(msgspec.Struct, frozen=True, array_like=True):
    """Contact times that one member reports to another.

    Parameters
    ----------
    data_centre : str
        Data centre of the sender.
    names_digest : bytes
        Digest of the sorted member names to which ``ages`` refer.
    ages : bytes
        One byte per member: age of the latest contact, in ``AGE_UNIT_S``.
    majority_ages : list of DataCentreContactAge
        Ages of the contact with the majorities of data centres.
    majority_established : bool
        Whether the sender, or a member of its data centre whose report it received,
        has determined its voters.
    """

    data_centre: str
    names_digest: bytes
    ages: bytes
    majority_ages: list[DataCentreContactAge]
    majority_established: bool


def digest_names(names: Iterable[str]) -> bytes:
    """Return a digest of names in the given order."""
    return hashlib.blake2b("\n".join(names).encode(), digest_size=6).digest()


class ContactTracker:
    """Times of the latest contact with members and with majorities of data centres.

    Every time is a lower bound: the ages in a peer's report are counted back from the
    time at which the report was requested, so a delayed response does not make a
    contact look recent. A member serves while it is in contact, directly or through
    others, with a majority of any data centre's voters, or while it reads in the store
    that it is not marked as gone. Voters are the members of a data centre that count
    for its majority.

    Parameters
    ----------
    name, data_centre : str
        Name of this node and its data centre.
    now : float
        Time of ``boottime_clock``.
    timeouts : ContactTimeouts
        Time limits.
    """

    def __init__(
        self, name: str, data_centre: str, now: float, timeouts: ContactTimeouts
    ) -> None:
        self._timeouts = timeouts
        self._name = name
        self._data_centre = data_centre
        self._started_at = now
        self._store_confirmed_at = now
        self._last_contact_at: dict[str, float] = {}
        self._last_activity_at: dict[str, float] = {}
        self._majority_contact_at: dict[str, float] = {}
        self._voters: set[str] = set()
        self._has_voters = False
        self._majority_established = False

    @property
    def has_voters(self) -> bool:
        """Whether this node has determined the voters of its data centre."""
        return self._has_voters

    @property
    def last_confirmed_at(self) -> float:
        """Latest time at which a majority or the store allowed this node to serve."""
        return max(
            self._store_confirmed_at,
            max(self._majority_contact_at.values(), default=NEVER),
        )

    def is_fenced(self, now: float) -> bool:
        """Return whether requests must be refused."""
        return now - self.last_confirmed_at > self._timeouts.fence_after_s

    def last_contact_at(self, name: str) -> float:
        """Return the time of the latest contact with a member of this data centre."""
        return self._last_contact_at.get(name, NEVER)

    def majority_contact_at(self, data_centre: str) -> float:
        """Return the time of the latest contact with a majority of a data centre."""
        return self._majority_contact_at.get(data_centre, NEVER)

    def majority_lost_since(self, data_centre: str) -> float:
        """Return the time since which contact with a data centre has been missing.

        A node that has just started or was paused first has ``fence_after_s`` to make
        contact.
        """
        grace_ends_at = self._started_at + self._timeouts.fence_after_s
        return max(grace_ends_at, self.majority_contact_at(data_centre))

    def record_contact(self, name: str, contact_at: float) -> None:
        """Record a contact with a member.

        Parameters
        ----------
        name : str
            Member that responded.
        contact_at : float
            Time at which the request was sent.
        """
        self._last_contact_at[name] = max(
            contact_at, self._last_contact_at.get(name, NEVER)
        )

    def record_activity(self, name: str, now: float) -> None:
        """Record a sign of life of unknown age, which only delays a declaration."""
        self._last_activity_at[name] = now

    def record_store_confirmation(self, confirmed_at: float) -> None:
        """Record that the store does not mark this node as gone."""
        self._store_confirmed_at = max(self._store_confirmed_at, confirmed_at)

    def reset(self, now: float) -> None:
        """Discard all contacts, after a pause of this process or a new incarnation."""
        self._last_contact_at.clear()
        self._majority_contact_at.clear()
        self._store_confirmed_at = NEVER
        self._started_at = now

    def update(self, names: set[str], now: float) -> None:
        """Update the voters and the contact with the majority of this data centre.

        New members become voters only while the majority of the present voters is in
        contact, so that they cannot turn a minority into a majority.

        Parameters
        ----------
        names : set of str
            Members of the data centre that are not gone, this node included.
        now : float
            Time of ``boottime_clock``.
        """
        for times in (self._last_contact_at, self._last_activity_at):
            for name in times.keys() - names:
                del times[name]
        self._voters &= names
        in_contact = (
            now - self.majority_contact_at(self._data_centre)
            < self._timeouts.max_contact_age_s
        )
        if not self._has_voters:
            has_waited = now - self._started_at >= self._timeouts.fence_after_s
            self._has_voters = has_waited and (
                in_contact or not self._majority_established
            )
            in_contact = self._has_voters
        if in_contact:
            self._voters = set(names)
        if self._has_voters:
            self._majority_established = True
            self._update_majority_contact(now)

    def _update_majority_contact(self, now: float) -> None:
        contact_times = [
            now if voter == self._name else self.last_contact_at(voter)
            for voter in self._voters
        ]
        contact_times.sort(reverse=True)
        majority_at = contact_times[len(contact_times) // 2]
        previous_at = self._majority_contact_at.get(self._data_centre, NEVER)
        self._majority_contact_at[self._data_centre] = max(previous_at, majority_at)

    def build_report(self, names: set[str], now: float) -> ContactReport:
        """Return the report of this node's contact times for a peer."""
        sorted_names = sorted(names)
        ages = bytes(
            0 if name == self._name else _encode_age(now - self.last_contact_at(name))
            for name in sorted_names
        )
        majority_ages = [
            DataCentreContactAge(data_centre, _encode_age(now - contact_at))
            for data_centre, contact_at in self._majority_contact_at.items()
        ]
        digest = digest_names(sorted_names)
        return ContactReport(
            self._data_centre, digest, ages, majority_ages, self._majority_established
        )

    def apply_report(
        self, report: ContactReport, names: set[str], requested_at: float
    ) -> None:
        """Merge the contact times of a peer's report.

        Parameters
        ----------
        report : ContactReport
            Report of the peer.
        names : set of str
            Members of this node's data centre that are not gone.
        requested_at : float
            Time of ``boottime_clock`` at which the report was requested.
        """
        for item in report.majority_ages:
            if item.age < MAX_AGE_UNITS:
                contact_at = requested_at - item.age * AGE_UNIT_S
                self._majority_contact_at[item.data_centre] = max(
                    contact_at, self._majority_contact_at.get(item.data_centre, NEVER)
                )
        if report.data_centre != self._data_centre:
            return
        self._majority_established |= report.majority_established
        sorted_names = sorted(names)
        if report.names_digest != digest_names(sorted_names):
            return
        for name, age in zip(sorted_names, report.ages, strict=False):
            if age < MAX_AGE_UNITS and name != self._name:
                self.record_contact(name, requested_at - age * AGE_UNIT_S)

    def is_silent(self, name: str, data_centres: Iterable[str], now: float) -> bool:
        """Return whether a member of this data centre can no longer reach a majority.

        Parameters
        ----------
        name : str
            Member without contact.
        data_centres : iterable of str
            Every data centre with members. Contact with a majority of each is required,
            because the silent member is then in contact with no majority.
        now : float
            Time of ``boottime_clock``.
        """
        gone_after_s = self._timeouts.gone_after_s
        if not self._has_voters or now - self._started_at <= gone_after_s:
            return False
        last_at = max(
            self.last_contact_at(name), self._last_activity_at.get(name, NEVER)
        )
        if now - last_at <= gone_after_s:
            return False
        max_age_s = self._timeouts.max_contact_age_s
        return all(
            now - self.majority_contact_at(data_centre) <= max_age_s
            for data_centre in data_centres
        )


def _encode_age(seconds: float) -> int:
    if seconds > MAX_AGE_UNITS * AGE_UNIT_S:
        return MAX_AGE_UNITS
    return min(MAX_AGE_UNITS, math.ceil(max(0.0, seconds) / AGE_UNIT_S))
