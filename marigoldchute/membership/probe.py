"""Investigates lost peers and claims them unreachable or gone on evidence.

A member is claimed only if others agree: helpers that are linked to this node try the
same address. One that reaches it ends the investigation, so a fault between two members
alone changes nothing.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import AuthError, PeerError, ResultCode
from marigoldchute.events import wall_clock_ms
from marigoldchute.link.methods import Method
from marigoldchute.membership.model import MemberState

if TYPE_CHECKING:
    import random

    from marigoldchute.link.endpoint import LinkEndpoint
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.membership.model import Member
    from marigoldchute.membership.service import Membership
    from marigoldchute.overlay.overlay import Overlay

HELPERS = 3
PROBE_PURPOSE = "probe"
PROBE_TIMEOUT_S = 2.0
PROBE_AGAIN_S = 0.3
HELP_TIMEOUT_S = 6.0
CHECK_INTERVAL_S = 0.5
MAX_INVESTIGATIONS = 4


class Outcome(enum.IntEnum):
    """What came of probing an address.

    ``REPLACED`` means that a member of another name and a later start answered there.
    """

    REACHED = 0
    REFUSED = 1
    SILENT = 2
    REPLACED = 3


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """The member whose address a helper is asked to try."""

    name: str
    incarnation: int
    address: str
    peer_port: int


_REQUEST = msgspec.msgpack.Decoder(ProbeRequest)
_OUTCOME = msgspec.msgpack.Decoder(Outcome)


class Prober:
    """Investigates the lost peers of this node."""

    def __init__(
        self,
        membership: Membership,
        endpoint: LinkEndpoint,
        overlay: Overlay,
        handlers: Handlers,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._endpoint = endpoint
        self._overlay = overlay
        self._rng = rng
        self._limit = trio.CapacityLimiter(MAX_INVESTIGATIONS)
        handlers.register(Method.PROBE, self._help)

    async def run(self) -> None:
        """Investigate losses until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_INTERVAL_S)
                for name in self._membership.losses.due(trio.current_time()):
                    nursery.start_soon(self._investigate, name)

    async def _investigate(self, name: str) -> None:
        async with self._limit:
            member = self._membership.record_of(name)
            if member is None or self._overlay.is_linked(name):
                self._membership.losses.clear(name)
                return
            if member.state is MemberState.GONE:
                self._membership.losses.clear(name)
                return
            helpers = self._helpers(member)
            others = len(self._membership.recorded()) - 2
            if not helpers and others > 0:
                return
            outcomes = await self._ask(member, helpers)
            if Outcome.REACHED in outcomes and name not in self._membership.wanted():
                # The link was closed because neither end needs it.
                self._membership.losses.clear(name)
                return
            self._conclude(member, outcomes, await self._is_centre_heard(member))

    def _helpers(self, member: Member) -> list[Link]:
        links = [x for x in self._overlay.neighbours() if x.peer.name != member.name]
        self._rng.shuffle(links)
        links.sort(key=lambda link: link.peer.data_centre != member.data_centre)
        return links[:HELPERS]

    async def _ask(self, member: Member, helpers: list[Link]) -> list[Outcome]:
        request = ProbeRequest(
            member.name, member.incarnation, member.address, member.peer_port
        )
        outcomes: list[Outcome] = []

        async def ask_helper(link: Link) -> None:
            body = msgspec.msgpack.encode(request)
            try:
                reply = await link.call(Method.PROBE, body, HELP_TIMEOUT_S)
                outcomes.append(_OUTCOME.decode(reply))
            except (PeerError, msgspec.DecodeError):
                return

        async def probe_here() -> None:
            outcomes.append(await self._probe(request))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(probe_here)
            for link in helpers:
                nursery.start_soon(ask_helper, link)
        return outcomes

    async def _help(self, link: Link, body: bytes) -> bytes:
        try:
            request = _REQUEST.decode(body)
        except msgspec.DecodeError as exc:
            raise PeerError(f"bad probe: {exc}", ResultCode.PEER_PROTOCOL) from exc
        return msgspec.msgpack.encode(await self._probe(request))

    async def _probe(self, request: ProbeRequest) -> Outcome:
        """Try an address; a refusal counts only when it is seen twice."""
        if self._overlay.is_linked(request.name):
            return Outcome.REACHED
        outcome = await self._probe_once(request)
        if outcome is Outcome.REFUSED:
            await trio.sleep(PROBE_AGAIN_S)
            outcome = await self._probe_once(request)
        return outcome

    async def _probe_once(self, request: ProbeRequest) -> Outcome:
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                link = await self._endpoint.connect(
                    request.address, request.peer_port, PROBE_PURPOSE
                )
            except AuthError:
                return Outcome.SILENT
            except PeerError as exc:
                refused = exc.code is ResultCode.PEER_REFUSED
                return Outcome.REFUSED if refused else Outcome.SILENT
            peer = link.peer
            link.close()
            if peer.name == request.name:
                return Outcome.REACHED
            later = peer.incarnation > request.incarnation
            return Outcome.REPLACED if later else Outcome.SILENT
        return Outcome.SILENT

    async def _is_centre_heard(self, member: Member) -> bool:
        """Whether some other member of a data centre answers, or it has no other."""
        others = [
            other
            for other in self._membership.recorded()
            if other.data_centre == member.data_centre and other.name != member.name
        ]
        if not others or member.data_centre == self._membership.local.data_centre:
            return True
        if any(self._overlay.is_linked(other.name) for other in others):
            return True
        other = self._rng.choice(others)
        request = ProbeRequest(
            other.name, other.incarnation, other.address, other.peer_port
        )
        return await self._probe(request) is Outcome.REACHED

    def _conclude(
        self, member: Member, outcomes: list[Outcome], centre_heard: bool
    ) -> None:
        now_ms = wall_clock_ms()
        needed = min(2, len(self._membership.recorded()) - 1)
        if Outcome.REACHED in outcomes:
            return
        if outcomes.count(Outcome.REPLACED) >= needed:
            why = "another member answers at its address"
            self._membership.claim(member, MemberState.GONE, why, now_ms)
        elif outcomes.count(Outcome.REFUSED) >= needed:
            why = "its address refuses connections"
            self._membership.claim(member, MemberState.GONE, why, now_ms)
        elif len(outcomes) >= needed and centre_heard:
            why = f"{len(outcomes)} members cannot reach it"
            self._membership.claim(member, MemberState.UNREACHABLE, why, now_ms)
