"""Declares silent members gone once they can no longer serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import NotFoundError, PlatformError
from marigoldchute.events import wall_clock_ms
from marigoldchute.membership.contact import boottime_clock
from marigoldchute.membership.exchange import gone_key
from marigoldchute.membership.model import MemberState
from marigoldchute.objectstore.api import CREATE_ONLY
from marigoldchute.overlay.topology import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.membership.model import Member
    from marigoldchute.membership.service import Membership
    from marigoldchute.objectstore.api import ObjectStore

CHECK_INTERVAL_S = 1.0
STORE_RETRY_DELAY_S = 5.0


class SilenceDetector:
    """Declares the silent members of this node's data centre gone.

    A gone marker is written to the store before the declaration. A member without
    contact to a majority serves only while it reads that the marker does not exist.
    Once the marker has existed for longer than such a read is valid, the member refuses
    requests and can be declared gone.
    """

    def __init__(
        self,
        membership: Membership,
        store: ObjectStore,
        clock: Callable[[], float] = boottime_clock,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._store = store
        self._marked_at: dict[tuple[str, int, int], float] = {}
        self._store_retry_at = 0.0

    async def run(self) -> None:
        """Check silent members until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            await self.check(self._clock())

    async def check(self, now: float) -> None:
        """Check the silent members once, at a time of ``boottime_clock``."""
        silent = self._silent_members(now)
        keys = {_marker_key(member) for member in silent}
        for key in self._marked_at.keys() - keys:
            del self._marked_at[key]
        for member in silent:
            await self._mark_or_declare_gone(member, now)

    def _silent_members(self, now: float) -> list[Member]:
        recorded = self._membership.recorded_members()
        data_centres = {member.data_centre for member in recorded}
        contact = self._membership.contact
        return [
            member
            for member in recorded
            if member.data_centre == self._membership.local.data_centre
            and member.state is MemberState.UNREACHABLE
            and contact.is_silent(member.name, data_centres, now)
            and self._is_responsible_for(member, recorded)
        ]

    def _is_responsible_for(self, member: Member, recorded: list[Member]) -> bool:
        local = self._membership.local
        alive = [
            other
            for other in recorded
            if other.data_centre == local.data_centre
            and other.state is MemberState.ALIVE
        ]
        candidates = rendezvous_order(alive, f"gone/{member.name}")
        return bool(candidates) and candidates[0].name == local.name

    async def _mark_or_declare_gone(self, member: Member, now: float) -> None:
        marked_at = self._marked_at.get(_marker_key(member))
        if marked_at is None:
            if now >= self._store_retry_at:
                await self._write_gone_marker(member, now)
            return
        if now - marked_at > self._membership.contact_timeouts.gone_marker_wait_s:
            reason = (
                "it had no contact while majorities of all data centres were in contact"
            )
            now_ms = wall_clock_ms()
            self._membership.publish_claim(member, MemberState.GONE, reason, now_ms)

    async def _write_gone_marker(self, member: Member, now: float) -> None:
        key = gone_key(member.name)
        value = str(member.incarnation).encode()
        try:
            try:
                stored = await self._store.get(key)
                revision = stored.revision
                is_marked = int(stored.value) >= member.incarnation
            except NotFoundError:
                revision, is_marked = CREATE_ONLY, False
            if not is_marked:
                await self._store.put(key, value, revision)
        except PlatformError:
            self._store_retry_at = now + STORE_RETRY_DELAY_S
            return
        self._marked_at[_marker_key(member)] = self._clock()


def _marker_key(member: Member) -> tuple[str, int, int]:
    return member.name, member.incarnation, member.sequence
