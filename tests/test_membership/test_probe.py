"""Probes of lost peers that can be reached."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import trio
import trio.testing

from marigoldchute.link.handlers import Handlers
from marigoldchute.membership.lost_peers import LostPeers
from marigoldchute.membership.model import Member
from marigoldchute.membership.probe import Prober

if TYPE_CHECKING:
    from marigoldchute.link.methods import Method

LOCAL, PEER, OTHER = "a", "b", "c"
RUN_S = 60.0


def _member(name: str) -> Member:
    return Member(name, 1, 1, "127.0.0.1", 7000, "centre", "region")


class _Endpoint:
    """Endpoint that reaches every address and counts its connections."""

    def __init__(self) -> None:
        self.connections = 0

    async def connect(self, address: str, port: int, purpose: str) -> Any:
        self.connections += 1
        peer = SimpleNamespace(name=PEER, incarnation=1)
        return SimpleNamespace(peer=peer, close=lambda: None)


class _Membership:
    """Membership of three members of one data centre, with given wanted links."""

    def __init__(self, wanted: set[str]) -> None:
        self.local = _member(LOCAL)
        self.lost_peers = LostPeers()
        self.claims: list[str] = []
        self._members = {name: _member(name) for name in (LOCAL, PEER, OTHER)}
        self._wanted = wanted

    def get_recorded(self, name: str) -> Member | None:
        return self._members.get(name)

    def recorded_members(self) -> list[Member]:
        return list(self._members.values())

    def wanted_peers(self) -> dict[str, tuple[str, int]]:
        return {name: ("127.0.0.1", 7000) for name in self._wanted}

    def publish_claim(self, member: Member, *args: object) -> None:
        self.claims.append(member.name)


class _Helper:
    """Linked peer that sends no valid response to a probe request."""

    peer = SimpleNamespace(name=OTHER, data_centre="centre")

    async def call(self, method: Method, body: bytes, timeout_s: float) -> bytes:
        return b""


class ProberTest(unittest.TestCase):
    def _run_prober(self, wanted: set[str]) -> tuple[_Membership, _Endpoint]:
        membership, endpoint = _Membership(wanted), _Endpoint()
        overlay = SimpleNamespace(
            is_linked=lambda name: False, neighbours=lambda: [_Helper()]
        )
        args: list[Any] = [membership, endpoint, overlay, Handlers()]
        prober = Prober(*args, random.Random(1))

        async def run() -> None:
            membership.lost_peers.record_failure(PEER, False, trio.current_time())
            with trio.move_on_after(RUN_S):
                await prober.run()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return membership, endpoint

    def test_reached_peer_without_a_wanted_link_is_probed_only_once(self) -> None:
        membership, endpoint = self._run_prober(set())
        self.assertEqual(endpoint.connections, 1)
        self.assertEqual(membership.claims, [])

    def test_reached_peer_with_a_wanted_link_is_probed_repeatedly(self) -> None:
        membership, endpoint = self._run_prober({PEER})
        self.assertGreater(endpoint.connections, 1)
        self.assertEqual(membership.claims, [])
