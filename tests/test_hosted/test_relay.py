"""Bundles that pass from node to node while links fail."""

from __future__ import annotations

import random
import types
import unittest
from typing import Any

import trio
from trio.testing import MockClock

from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import BundleContent, Route, Service
from marigoldchute.errors import PeerError
from marigoldchute.events import EventSink
from marigoldchute.hosted.catalog import Catalog, Snapshot, make_snapshot
from marigoldchute.hosted.relay import REOFFER_S, BundleRelay
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.methods import Method

CALL_S = 0.06  # A trip to another region and back.


def make_bundle(revision: int, service: str = "turnos") -> Snapshot:
    """Return a bundle with one route."""
    routes = (Route("a", "/a/", service),)
    return make_snapshot(
        revision, revision, BundleContent((Service("turnos", ""),), routes)
    )


class FakeLink:
    """One direction of a link between two nodes of a test."""

    alive = True

    def __init__(self, peer: Node, back: FakeLink | None = None) -> None:
        self.peer = types.SimpleNamespace(name=peer.name)
        self.node = peer
        self.back = back or self
        self.failures = 0
        self.calls = 0
        self.loses_offers = False

    def notify(self, method: int, body: bytes) -> None:
        if not self.loses_offers:
            self.node.nursery.start_soon(self._deliver, method, body)

    async def _deliver(self, method: int, body: bytes) -> None:
        await self.node.handle(method, self.back, body)

    async def call(self, method: int, body: bytes, timeout_s: float) -> bytes:
        await trio.sleep(CALL_S)
        self.calls += 1
        if self.failures:
            self.failures -= 1
            raise PeerError("no reply in time")
        return await self.node.handle(method, self.back, body)


class Node:
    """Relay and catalog of one node."""

    def __init__(self, name: str, nursery: trio.Nursery) -> None:
        self.name = name
        self.nursery = nursery
        self.links: list[FakeLink] = []
        self.catalog = Catalog(InForce(), EventSink())  # type: ignore[arg-type]
        self._handlers = Handlers()
        overlay: Any = types.SimpleNamespace(
            on_neighbour=[], neighbours=lambda: self.links
        )
        log: Any = EventSink()
        self.relay = BundleRelay(
            self.catalog, overlay, self._handlers, log, random.Random(1)
        )
        nursery.start_soon(self.relay.run)

    async def handle(self, method: int, link: Any, body: bytes) -> bytes:
        """Serve a message of a peer."""
        handler: Any = self._handlers.find(Method(method))
        reply: bytes = await handler(link, body)
        return reply

    def link_to(self, other: Node) -> FakeLink:
        """Link to another node; return this end."""
        link = FakeLink(other)
        link.back = FakeLink(self, link)
        self.links.append(link)
        other.links.append(link.back)
        return link


class RelayTest(unittest.TestCase):
    """Two nodes with a link; the first gets a bundle from the store."""

    def play(self, *, failures: int = 0, loses: bool = False, bad: bool = False) -> int:
        """Return the revision that the second node holds after three seconds."""
        self.calls = 0

        async def main() -> int:
            async with trio.open_nursery() as nursery:
                first, second = Node("vm-1", nursery), Node("vm-2", nursery)
                link = first.link_to(second)
                link.back.failures = failures
                link.loses_offers = loses
                service = "nowhere" if bad else "turnos"
                if bad:
                    first.catalog.newest = make_bundle(5, service)
                    link.notify(Method.OFFER_BUNDLE, (5).to_bytes(8, "big"))
                else:
                    first.catalog.take(make_bundle(5), "the store")
                await trio.sleep(0.5)
                link.loses_offers = False
                await trio.sleep(2.5)
                self.calls = link.back.calls
                nursery.cancel_scope.cancel()
            return second.catalog.revision

        return trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_a_bundle_is_fetched_once(self) -> None:
        self.assertEqual(self.play(), 5)
        self.assertEqual(self.calls, 1)

    def test_a_fetch_that_failed_is_made_again(self) -> None:
        self.assertEqual(self.play(failures=4), 5)
        self.assertEqual(self.calls, 5)

    def test_an_offer_that_was_lost_is_repeated(self) -> None:
        self.assertLess(REOFFER_S, 1.5)
        self.assertEqual(self.play(loses=True), 5)

    def test_a_bundle_that_is_not_allowed_is_not_fetched_without_end(self) -> None:
        self.assertEqual(self.play(bad=True), 0)
        self.assertLess(self.calls, 5)


if __name__ == "__main__":
    unittest.main()
