"""Declares silent members gone, once they cannot be serving any more.

The store is marked first: a member that hears no majority serves only while it reads
that the mark is not there, so after the mark has stood for longer than such a reading
lasts, the member refuses requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import NotFoundError, PlatformError
from marigoldchute.events import wall_clock_ms
from marigoldchute.membership.contact import elapsed_clock
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
STORE_RETRY_S = 5.0


class SilenceJudge:
    """Watches the silent members of this node's data centre."""

    def __init__(
        self,
        membership: Membership,
        store: ObjectStore,
        clock: Callable[[], float] = elapsed_clock,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._store = store
        self._marked_at: dict[tuple[str, int, int], float] = {}
        self._retry_at = 0.0

    async def run(self) -> None:
        """Judge silent members until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            await self.step(self._clock())

    async def step(self, now: float) -> None:
        """Judge the silent members once, at a time of ``elapsed_clock``."""
        silent = self._silent(now)
        keys = {_key(member) for member in silent}
        for key in self._marked_at.keys() - keys:
            del self._marked_at[key]
        for member in silent:
            await self._judge(member, now)

    def _silent(self, now: float) -> list[Member]:
        recorded = self._membership.recorded()
        centres = {member.data_centre for member in recorded}
        contact = self._membership.contact
        return [
            member
            for member in recorded
            if member.data_centre == self._membership.local.data_centre
            and member.state is MemberState.UNREACHABLE
            and contact.is_silent(member.name, centres, now)
            and self._is_judge_of(member, recorded)
        ]

    def _is_judge_of(self, member: Member, recorded: list[Member]) -> bool:
        local = self._membership.local
        alive = [
            other
            for other in recorded
            if other.data_centre == local.data_centre
            and other.state is MemberState.ALIVE
        ]
        order = rendezvous_order(alive, f"gone/{member.name}")
        return bool(order) and order[0].name == local.name

    async def _judge(self, member: Member, now: float) -> None:
        marked_at = self._marked_at.get(_key(member))
        if marked_at is None:
            if now >= self._retry_at:
                await self._mark(member, now)
            return
        if now - marked_at > self._membership.times.mark_wait_s:
            why = "it was silent while all data centres were heard"
            now_ms = wall_clock_ms()
            self._membership.claim(member, MemberState.GONE, why, now_ms)

    async def _mark(self, member: Member, now: float) -> None:
        key = gone_key(member.name)
        value = str(member.incarnation).encode()
        try:
            try:
                held = await self._store.get(key)
                revision = held.revision
                written = int(held.value) >= member.incarnation
            except NotFoundError:
                revision, written = CREATE_ONLY, False
            if not written:
                await self._store.put(key, value, revision)
        except PlatformError:
            self._retry_at = now + STORE_RETRY_S
            return
        self._marked_at[_key(member)] = self._clock()


def _key(member: Member) -> tuple[str, int, int]:
    return member.name, member.incarnation, member.sequence
