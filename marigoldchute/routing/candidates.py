"""Tables of candidate targets by release, in tiers by distance."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from marigoldchute.routing.evacuation import NO_EVACUATIONS
from marigoldchute.routing.regions import is_allowed
from marigoldchute.routing.target import PRESUMED_COLD_S, ServiceLoad, Target

if TYPE_CHECKING:
    from marigoldchute.membership.model import Member, Members
    from marigoldchute.routing.evacuation import Evacuations
    from marigoldchute.routing.regions import AllowedRegions

REBUILD_INTERVAL_S = 0.1
# More combinations of a release with allowed regions than a rebuild usually leaves.
MAX_FILTERED_TABLES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Candidates:
    """Targets of one release, in tiers by distance.

    Parameters
    ----------
    own : tuple of Target
        Targets on this node's VM.
    data_centre, region, remote : tuple of Target
        Targets in the data centre (including those of the own VM), elsewhere in the
        region, and in other regions.
    """

    own: tuple[Target, ...] = ()
    data_centre: tuple[Target, ...] = ()
    region: tuple[Target, ...] = ()
    remote: tuple[Target, ...] = ()


NO_CANDIDATES = Candidates()


class CandidateTables:
    """Tables of candidates by service and release.

    The tables are rebuilt by the first request after a change of the members, at most
    once in ``REBUILD_INTERVAL_S``, which bounds the cost of a burst of changes. The
    statistics of a backend server are kept over a rebuild while its member's
    incarnation and its release stay the same.

    Parameters
    ----------
    members : Members
        Members of the mesh.
    evacuations : Evacuations
        Data centres whose backend servers are no candidates.
    """

    def __init__(
        self, members: Members, evacuations: Evacuations = NO_EVACUATIONS
    ) -> None:
        self._members = members
        self._evacuations = evacuations
        self._evacuated: set[tuple[str, str]] = set()
        self._tables: dict[tuple[str, str], Candidates] = {}
        self._filtered: dict[tuple[str, str, tuple[str, ...]], Candidates] = {}
        self._targets: dict[tuple[str, int, str, str], Target] = {}
        self._loads: dict[tuple[str, str], ServiceLoad] = {}
        self._is_stale = True
        self._built_at = float("-inf")
        self._first_built_at: float | None = None

    def mark_stale(self) -> None:
        """Mark the tables as stale after a change of a member."""
        self._is_stale = True

    def find(
        self, service: str, release: str, now: float, regions: AllowedRegions = None
    ) -> Candidates:
        """Return the candidates of a release.

        Parameters
        ----------
        service, release : str
            Service and release to look up.
        now : float
            Monotonic time in seconds.
        regions : tuple of str, optional
            Regions whose targets are returned; None for all.
        """
        if self._is_stale and now - self._built_at >= REBUILD_INTERVAL_S:
            self._rebuild(now)
        matches = self._tables.get((service, release))
        if matches is None and self._is_stale:
            self._rebuild(now)
            matches = self._tables.get((service, release))
        if matches is None:
            return NO_CANDIDATES
        if regions is None:
            return matches
        key = (service, release, regions)
        filtered = self._filtered.get(key)
        if filtered is None:
            if len(self._filtered) >= MAX_FILTERED_TABLES:
                self._filtered.clear()
            filtered = self._filtered[key] = _filter_by_region(matches, regions)
        return filtered

    def is_evacuated(self, service: str, release: str) -> bool:
        """Return whether an evacuated data centre has backend servers of a release."""
        return (service, release) in self._evacuated

    def _load_of(self, release_key: tuple[str, str]) -> ServiceLoad:
        load = self._loads.get(release_key)
        if load is None:
            load = self._loads[release_key] = ServiceLoad()
        return load

    def _rebuild(self, now: float) -> None:
        self._is_stale = False
        self._built_at = now
        if self._first_built_at is None:
            self._first_built_at = now
        targets: dict[tuple[str, int, str, str], Target] = {}
        by_release: dict[tuple[str, str], list[Target]] = {}
        self._evacuated = set()
        for member in self._members.all():
            if not member.accepts_requests:
                continue
            is_evacuated = self._evacuations.is_evacuated(member.data_centre)
            for server in member.servers:
                if server.draining:
                    continue
                if is_evacuated:
                    self._evacuated.add((server.service, server.release))
                    continue
                key = (
                    member.name,
                    member.incarnation,
                    server.server_id,
                    server.release,
                )
                release_key = (server.service, server.release)
                target = self._targets.get(key)
                if target is None:
                    target = Target(member, server, self._load_of(release_key))
                    self._presume_cold(target, now)
                target.member = member
                target.server = server
                targets[key] = target
                by_release.setdefault(release_key, []).append(target)
        self._targets = targets
        self._filtered.clear()
        self._loads = {key: self._load_of(key) for key in by_release}
        local = self._members.local
        self._tables = {
            key: _split_by_distance(local, matches)
            for key, matches in by_release.items()
        }

    def _presume_cold(self, target: Target, now: float) -> None:
        # The first members that this node learns of are not new.
        if self._first_built_at is not None and (
            now - self._first_built_at >= PRESUMED_COLD_S
        ):
            target.presume_cold(now)


def _filter_by_region(candidates: Candidates, regions: tuple[str, ...]) -> Candidates:
    tiers = (
        candidates.own,
        candidates.data_centre,
        candidates.region,
        candidates.remote,
    )
    return Candidates(
        *(
            tuple(t for t in tier if is_allowed(t.member.region, regions))
            for tier in tiers
        )
    )


def _split_by_distance(local: Member, targets: list[Target]) -> Candidates:
    own, data_centre, region, remote = [], [], [], []
    for target in targets:
        member = target.member
        if member.name == local.name:
            own.append(target)
        if member.data_centre == local.data_centre:
            data_centre.append(target)
        elif member.region == local.region:
            region.append(target)
        else:
            remote.append(target)
    return Candidates(tuple(own), tuple(data_centre), tuple(region), tuple(remote))
