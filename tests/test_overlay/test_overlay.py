"""Selection of the links that the overlay keeps open or closes."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING, Any

import trio
from trio.testing import MockClock

from marigoldchute.errors import PeerError
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.handshake import PeerIdentity
from marigoldchute.overlay.overlay import (
    RETIRE_IDLE_S,
    UNWANTED_IDLE_S,
    Overlay,
)
from marigoldchute.overlay.records import RecordTable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LOCAL = PeerIdentity("vm-1", 1, "dc", "r")


class FakeLink:
    """Link that this node opened."""

    is_initiator = True
    is_suspected = False

    def is_usable(self, now: float) -> bool:
        return self.is_open and not self.is_suspected

    idle_s = 0.0
    age_s = 0.0

    def __init__(self, name: str) -> None:
        self.peer = PeerIdentity(name, 1, "dc", "r")
        self.calls = 0
        self.lost = self.closed = trio.Event()

    @property
    def is_open(self) -> bool:
        return not self.closed.is_set()

    def close(self) -> None:
        self.closed.set()

    async def call(self, method: int, body: bytes, timeout_s: float) -> bytes:
        self.calls += 1
        raise PeerError("no response")


class FakeEndpoint:
    """Opens a link to each dialled peer, whose address is its name."""

    local = LOCAL

    def __init__(self) -> None:
        self.links: dict[str, FakeLink] = {}
        self.dialled: list[str] = []

    async def connect(self, address: str, port: int, purpose: str) -> FakeLink:
        self.dialled.append(address)
        link = self.links[address] = FakeLink(address)
        return link

    async def run_link(self, link: FakeLink) -> None:
        await link.closed.wait()


class FakeDirectory:
    """Directory that wants links to the given peers."""

    def __init__(self, *names: str) -> None:
        self.names = set(names)
        self.seed_addresses: list[tuple[str, int]] = []

    def wanted_peers(self) -> dict[str, tuple[str, int]]:
        return {name: (name, 1) for name in self.names}

    def seeds(self) -> list[tuple[str, int]]:
        return self.seed_addresses

    def pop_one_time_addresses(self) -> list[tuple[str, int]]:
        return []

    def link_lost(self, name: str, refused: bool, now: float) -> None:
        pass

    def link_up(self, name: str, incarnation: int, now: float) -> None:
        pass


class SeedTest(unittest.TestCase):
    # Guards against two links that a starting node opens to a peer at the same time:
    # each end keeps another one, and both are closed 10 s later under open requests.
    def test_peer_that_is_also_a_seed_is_dialled_once(self) -> None:
        endpoint: Any = FakeEndpoint()
        directory = FakeDirectory("vm-2", "vm-3")
        directory.seed_addresses = [("vm-2", 1), ("vm-4", 1)]

        async def main() -> None:
            overlay = Overlay(endpoint, Handlers(), RecordTable(), random.Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(overlay.run, directory)
                await trio.sleep(2)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertEqual(sorted(endpoint.dialled), ["vm-2", "vm-3", "vm-4"])


class RequestedCompareTest(unittest.TestCase):
    """Two neighbours in one region, of which the second compares records later."""

    def test_requested_comparison_starts_at_once(self) -> None:
        # Guards against a first bundle that waits for a comparison which is put off.
        endpoint: Any = FakeEndpoint()
        directory = FakeDirectory("vm-2", "vm-3")

        async def main() -> None:
            overlay = Overlay(endpoint, Handlers(), RecordTable(), random.Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(overlay.run, directory)
                await trio.sleep(0.05)
                links = list(endpoint.links.values())
                waiting = [link for link in links if not link.calls]
                self.assertEqual(len(waiting), 1)
                overlay.request_compare(waiting[0])
                await trio.sleep(0.01)
                self.assertEqual(waiting[0].calls, 1)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))


class UnwantedLinkTest(unittest.TestCase):
    def test_unwanted_link_is_closed_only_when_idle(self) -> None:
        endpoint: Any = FakeEndpoint()
        directory = FakeDirectory("vm-2", "vm-3")

        async def main() -> None:
            overlay = Overlay(endpoint, Handlers(), RecordTable(), random.Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(overlay.run, directory)
                await trio.sleep(2)
                busy = endpoint.links["vm-3"]
                directory.names = {"vm-2"}
                await trio.sleep(4 * UNWANTED_IDLE_S)
                self.assertTrue(busy.is_open)
                busy.idle_s = UNWANTED_IDLE_S + 1
                await trio.sleep(2)
                self.assertFalse(busy.is_open)
                self.assertTrue(endpoint.links["vm-2"].is_open)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))


class SimultaneousLinksTest(unittest.TestCase):
    """Two nodes open a link to each other at the same time.

    The link that is given up must stay open for requests that the peer already sent.
    """

    def setUp(self) -> None:
        self.endpoint: Any = FakeEndpoint()
        self.accepted: Any = FakeLink("vm-2")
        self.accepted.is_initiator = False

    def run_overlay(self, accept: Callable[[Overlay], Awaitable[None]]) -> None:
        """Open a link to a peer, then call ``accept`` to add a link of the peer."""

        async def main() -> None:
            overlay = Overlay(
                self.endpoint, Handlers(), RecordTable(), random.Random(1)
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(overlay.run, FakeDirectory("vm-2"))
                await trio.sleep(1)
                await accept(overlay)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    async def check_closed_when_idle(self, link: FakeLink) -> None:
        """Check that a link stays open until it has been idle for some time."""
        self.assertTrue(link.is_open)
        link.idle_s = RETIRE_IDLE_S + 1
        await trio.sleep(1)
        self.assertFalse(link.is_open)

    def test_rejected_simultaneous_link_is_closed_only_when_idle(self) -> None:
        async def accept(overlay: Overlay) -> None:
            overlay.accept(self.accepted)
            await trio.sleep(4 * RETIRE_IDLE_S)
            self.assertIs(overlay.link_to("vm-2"), self.endpoint.links["vm-2"])
            await self.check_closed_when_idle(self.accepted)

        self.run_overlay(accept)

    def test_replaced_link_is_closed_only_when_idle(self) -> None:
        async def accept(overlay: Overlay) -> None:
            older = self.endpoint.links["vm-2"]
            older.age_s = 100.0
            overlay.accept(self.accepted)
            await trio.sleep(RETIRE_IDLE_S / 2)
            self.assertIs(overlay.link_to("vm-2"), self.accepted)
            await self.check_closed_when_idle(older)

        self.run_overlay(accept)

    # Guards against a long request that is cut off some time after its link was
    # replaced, as happens after the restart of a node.
    def test_replaced_link_stays_open_as_long_as_a_request_uses_it(self) -> None:
        async def accept(overlay: Overlay) -> None:
            older = self.endpoint.links["vm-2"]
            older.age_s = 100.0
            overlay.accept(self.accepted)
            await trio.sleep(60.0)
            await self.check_closed_when_idle(older)

        self.run_overlay(accept)

    # Guards against requests that are cut off by a new link to a peer which was only
    # paused for a moment and goes on running them.
    def test_replaced_link_of_a_paused_peer_is_closed_only_when_idle(self) -> None:
        async def accept(overlay: Overlay) -> None:
            older = self.endpoint.links["vm-2"]
            older.is_suspected = True
            overlay.accept(self.accepted)
            await trio.sleep(RETIRE_IDLE_S / 2)
            self.assertIs(overlay.link_to("vm-2"), self.accepted)
            await self.check_closed_when_idle(older)

        self.run_overlay(accept)

    def test_suspected_link_of_an_earlier_incarnation_is_closed_at_once(self) -> None:
        async def accept(overlay: Overlay) -> None:
            older = self.endpoint.links["vm-2"]
            older.is_suspected = True
            self.accepted.peer = PeerIdentity("vm-2", 2, "dc", "r")
            overlay.accept(self.accepted)
            await trio.sleep(RETIRE_IDLE_S / 2)
            self.assertFalse(older.is_open)

        self.run_overlay(accept)
