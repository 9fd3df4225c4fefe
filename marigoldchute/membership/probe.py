"""Probes of lost peers, and the claims of unreachable or gone members based on them."""

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

NUM_HELPERS = 3
PROBE_PURPOSE = "probe"
PROBE_TIMEOUT_S = 2.0
PROBE_RETRY_DELAY_S = 0.3
HELPER_TIMEOUT_S = 6.0
CHECK_INTERVAL_S = 0.5
MAX_CONCURRENT_CHECKS = 4


class ProbeOutcome(enum.IntEnum):
    """Outcome of probing the address of a member.

    ``REPLACED`` means that a member with another name and a later start responded.
    ``NOT_REACHED`` covers every failure other than a refused connection.
    """

    REACHED = 0
    REFUSED = 1
    NOT_REACHED = 2
    REPLACED = 3


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to a helper to probe the address of a member."""

    name: str
    incarnation: int
    address: str
    peer_port: int


_REQUEST = msgspec.msgpack.Decoder(ProbeRequest)
_OUTCOME = msgspec.msgpack.Decoder(ProbeOutcome)


class Prober:
    """Probes lost peers and claims those that no probe reaches.

    A member is claimed only if other members agree: helpers, which are peers linked to
    this node, probe the same address. If any of them reaches it, no claim is made, so a
    network fault between only two members does not change any state.
    """

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
        self._limiter = trio.CapacityLimiter(MAX_CONCURRENT_CHECKS)
        handlers.register(Method.PROBE, self._handle_probe)

    async def run(self) -> None:
        """Probe lost peers until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_INTERVAL_S)
                for name in self._membership.lost_peers.schedule_due(
                    trio.current_time()
                ):
                    nursery.start_soon(self._check_lost_peer, name)

    async def _check_lost_peer(self, name: str) -> None:
        async with self._limiter:
            member = self._membership.get_recorded(name)
            if member is None or self._overlay.is_linked(name):
                self._membership.lost_peers.remove(name)
                return
            if member.state is MemberState.GONE:
                self._membership.lost_peers.remove(name)
                return
            helpers = self._select_helpers(member)
            other_count = len(self._membership.recorded_members()) - 2
            if not helpers and other_count > 0:
                return
            outcomes = await self._collect_outcomes(member, helpers)
            if (
                ProbeOutcome.REACHED in outcomes
                and name not in self._membership.wanted_peers()
            ):
                # The link was closed because neither end needs it.
                self._membership.lost_peers.remove(name)
                return
            self._claim_if_lost(
                member, outcomes, await self._is_data_centre_reachable(member)
            )

    def _select_helpers(self, member: Member) -> list[Link]:
        links = [x for x in self._overlay.neighbours() if x.peer.name != member.name]
        self._rng.shuffle(links)
        links.sort(key=lambda link: link.peer.data_centre != member.data_centre)
        return links[:NUM_HELPERS]

    async def _collect_outcomes(
        self, member: Member, helpers: list[Link]
    ) -> list[ProbeOutcome]:
        request = ProbeRequest(
            member.name, member.incarnation, member.address, member.peer_port
        )
        outcomes: list[ProbeOutcome] = []

        async def probe_through_helper(link: Link) -> None:
            body = msgspec.msgpack.encode(request)
            try:
                response = await link.call(Method.PROBE, body, HELPER_TIMEOUT_S)
                outcomes.append(_OUTCOME.decode(response))
            except (PeerError, msgspec.DecodeError):
                return

        async def probe_directly() -> None:
            outcomes.append(await self._probe(request))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(probe_directly)
            for link in helpers:
                nursery.start_soon(probe_through_helper, link)
        return outcomes

    async def _handle_probe(self, link: Link, body: bytes) -> bytes:
        try:
            request = _REQUEST.decode(body)
        except msgspec.DecodeError as exc:
            raise PeerError(
                f"malformed probe request: {exc}", ResultCode.PEER_PROTOCOL
            ) from exc
        return msgspec.msgpack.encode(await self._probe(request))

    async def _probe(self, request: ProbeRequest) -> ProbeOutcome:
        """Probe an address; a refusal counts only when it occurs twice in a row."""
        if self._overlay.is_linked(request.name):
            return ProbeOutcome.REACHED
        outcome = await self._probe_once(request)
        if outcome is ProbeOutcome.REFUSED:
            await trio.sleep(PROBE_RETRY_DELAY_S)
            outcome = await self._probe_once(request)
        return outcome

    async def _probe_once(self, request: ProbeRequest) -> ProbeOutcome:
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                link = await self._endpoint.connect(
                    request.address, request.peer_port, PROBE_PURPOSE
                )
            except AuthError:
                return ProbeOutcome.NOT_REACHED
            except PeerError as exc:
                refused = exc.code is ResultCode.PEER_REFUSED
                return ProbeOutcome.REFUSED if refused else ProbeOutcome.NOT_REACHED
            peer = link.peer
            link.close()
            if peer.name == request.name:
                return ProbeOutcome.REACHED
            started_later = peer.incarnation > request.incarnation
            return ProbeOutcome.REPLACED if started_later else ProbeOutcome.NOT_REACHED
        return ProbeOutcome.NOT_REACHED

    async def _is_data_centre_reachable(self, member: Member) -> bool:
        """Return whether another member of a member's data centre can be reached.

        Also true for this node's own data centre, and if there is no other member.
        """
        others = [
            other
            for other in self._membership.recorded_members()
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
        return await self._probe(request) is ProbeOutcome.REACHED

    def _claim_if_lost(
        self,
        member: Member,
        outcomes: list[ProbeOutcome],
        data_centre_reachable: bool,
    ) -> None:
        now_ms = wall_clock_ms()
        min_outcomes = min(2, len(self._membership.recorded_members()) - 1)
        if ProbeOutcome.REACHED in outcomes:
            return
        if outcomes.count(ProbeOutcome.REPLACED) >= min_outcomes:
            reason = "another member responds at its address"
            self._membership.publish_claim(member, MemberState.GONE, reason, now_ms)
        elif outcomes.count(ProbeOutcome.REFUSED) >= min_outcomes:
            reason = "its address refuses connections"
            self._membership.publish_claim(member, MemberState.GONE, reason, now_ms)
        elif len(outcomes) >= min_outcomes and data_centre_reachable:
            reason = f"{len(outcomes)} members cannot reach it"
            self._membership.publish_claim(
                member, MemberState.UNREACHABLE, reason, now_ms
            )
