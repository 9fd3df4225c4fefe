"""Transfer of bundles between nodes over failing links."""

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
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.catalog import Catalog, Snapshot, make_snapshot
from marigoldchute.hosted.relay import REOFFER_INTERVAL_S, BundleRelay
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.methods import Method

ROUND_TRIP_S = 0.06  # Round trip to another region.


def make_bundle(revision: int, service: str = "turnos") -> Snapshot:
    """Return a bundle with one route."""
    routes = (Route("a", "/a/", service),)
    return make_snapshot(
        revision, revision, BundleContent((Service("turnos", ""),), routes)
    )


class FakeLink:
    """One end of a link between two nodes."""

    is_open = True

    def __init__(self, peer: Node, reverse: FakeLink | None = None) -> None:
        self.peer = types.SimpleNamespace(name=peer.name)
        self.node = peer
        self.reverse = reverse or self
        self.failures = 0
        self.calls = 0
        self.loses_offers = False
        self.delay_s = 0.0

    def notify(self, method: int, body: bytes) -> None:
        if not self.loses_offers:
            self.node.nursery.start_soon(self._deliver, method, body)

    async def _deliver(self, method: int, body: bytes) -> None:
        await self.node.handle(method, self.reverse, body)

    async def call(self, method: int, body: bytes, timeout_s: float) -> bytes:
        await trio.sleep(ROUND_TRIP_S)
        self.calls += 1
        if self.delay_s >= timeout_s:
            await trio.sleep(timeout_s)
            raise PeerError("no response in time")
        await trio.sleep(self.delay_s)
        if self.failures:
            self.failures -= 1
            raise PeerError("no response in time")
        return await self.node.handle(method, self.reverse, body)


class Node:
    """Node with a relay and a catalog."""

    def __init__(
        self, name: str, nursery: trio.Nursery, link_mbps: float = 0.0
    ) -> None:
        self.name = name
        self.nursery = nursery
        self.links: list[FakeLink] = []
        self.events = MemoryEventLog()
        self.catalog = Catalog(InForce(), self.events)  # type: ignore[arg-type]
        self._handlers = Handlers()
        self.unsynced: set[FakeLink] = set()
        self.requested: list[FakeLink] = []
        overlay: Any = types.SimpleNamespace(
            neighbour_listeners=[],
            neighbours=lambda: self.links,
            synced_neighbours=lambda: [
                link for link in self.links if link not in self.unsynced
            ],
            request_compare=self.requested.append,
        )
        log: Any = MemoryEventLog()
        self.relay = BundleRelay(
            self.catalog, overlay, self._handlers, log, random.Random(1), link_mbps
        )
        nursery.start_soon(self.relay.run)

    async def handle(self, method: int, link: Any, body: bytes) -> bytes:
        """Handle a message of a peer."""
        handler: Any = self._handlers.find(Method(method))
        response: bytes = await handler(link, body)
        return response

    def link_to(self, other: Node) -> FakeLink:
        """Link to another node and return the local end."""
        link = FakeLink(other)
        link.reverse = FakeLink(self, link)
        self.links.append(link)
        other.links.append(link.reverse)
        return link


class RelayTest(unittest.TestCase):
    """Two linked nodes, the first of which has a bundle from the store."""

    def run_mesh(
        self, *, failures: int = 0, lose_offers: bool = False, invalid: bool = False
    ) -> int:
        """Return the revision of the second node after three seconds."""
        self.calls = 0

        async def main() -> int:
            async with trio.open_nursery() as nursery:
                first, second = Node("vm-1", nursery), Node("vm-2", nursery)
                link = first.link_to(second)
                link.reverse.failures = failures
                link.loses_offers = lose_offers
                service = "nowhere" if invalid else "turnos"
                if invalid:
                    first.catalog.newest = make_bundle(5, service)
                    link.notify(Method.OFFER_BUNDLE, (5).to_bytes(8, "big"))
                else:
                    first.catalog.apply(make_bundle(5), "the store")
                await trio.sleep(0.5)
                link.loses_offers = False
                await trio.sleep(2.5)
                self.calls = link.reverse.calls
                nursery.cancel_scope.cancel()
            return second.catalog.revision

        return trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_bundle_is_fetched_once(self) -> None:
        self.assertEqual(self.run_mesh(), 5)
        self.assertEqual(self.calls, 1)

    def test_busy_node_refuses_and_its_neighbour_returns(self) -> None:
        # Guards against a node that sends to all neighbours before any passes it on.
        async def main() -> tuple[list[int], int]:
            async with trio.open_nursery() as nursery:
                first = Node("vm-1", nursery, link_mbps=0.01)
                others = [Node(f"vm-{i}", nursery) for i in range(2, 6)]
                for node in others:
                    first.link_to(node)
                first.catalog.apply(make_bundle(5), "the store")
                await trio.sleep(2.5 * ROUND_TRIP_S)
                early = [node.catalog.revision for node in others]
                await trio.sleep(2.5)
                late = min(node.catalog.revision for node in others)
                nursery.cancel_scope.cancel()
            return early, late

        early, late = trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertEqual(sorted(early), [0, 0, 0, 5])
        self.assertEqual(late, 5)

    def test_rate_that_is_far_too_low_holds_up_nobody_for_long(self) -> None:
        # Guards against a mesh that waits for a node with a wrong rate in its settings.
        async def main() -> int:
            async with trio.open_nursery() as nursery:
                first = Node("vm-1", nursery, link_mbps=1e-9)
                second, third = Node("vm-2", nursery), Node("vm-3", nursery)
                first.link_to(second)
                first.link_to(third)
                first.catalog.apply(make_bundle(5), "the store")
                await trio.sleep(1.5)
                nursery.cancel_scope.cancel()
            return min(second.catalog.revision, third.catalog.revision)

        self.assertEqual(trio.run(main, clock=MockClock(autojump_threshold=0)), 5)

    def test_failed_fetch_is_retried(self) -> None:
        self.assertEqual(self.run_mesh(failures=4), 5)
        self.assertEqual(self.calls, 5)

    def test_lost_offer_is_repeated(self) -> None:
        self.assertLess(REOFFER_INTERVAL_S, 1.5)
        self.assertEqual(self.run_mesh(lose_offers=True), 5)

    def test_invalid_bundle_is_not_fetched_endlessly(self) -> None:
        self.assertEqual(self.run_mesh(invalid=True), 0)
        self.assertLess(self.calls, 5)

    def test_first_bundle_waits_for_the_records(self) -> None:
        # Guards against a node that serves a release which no order names.
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                first, second = Node("vm-1", nursery), Node("vm-2", nursery)
                link = first.link_to(second)
                second.unsynced.add(link.reverse)
                first.catalog.apply(make_bundle(5), "the store")
                await trio.sleep(1.0)
                self.assertEqual(second.catalog.revision, 0)
                self.assertIn(link.reverse, second.requested)
                second.unsynced.clear()
                await trio.sleep(0.2)
                self.assertEqual(second.catalog.revision, 5)
                second.unsynced.add(link.reverse)
                first.catalog.apply(make_bundle(6), "the store")
                await trio.sleep(0.2)
                self.assertEqual(second.catalog.revision, 6)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    def fetch_from_slow_neighbours(self, *delays_s: float) -> float:
        """Return the time after which a node has a bundle that neighbours offer."""

        async def main() -> float:
            async with trio.open_nursery() as nursery:
                node = Node("vm-9", nursery)
                for index, delay_s in enumerate(delays_s):
                    neighbour = Node(f"vm-{index}", nursery)
                    link = node.link_to(neighbour)
                    link.delay_s = delay_s
                    neighbour.catalog.apply(make_bundle(5), "the store")
                    await trio.sleep(0.01)
                started_at = trio.current_time()
                with trio.move_on_after(10.0):
                    while node.catalog.revision < 5:
                        await trio.sleep(0.01)
                elapsed_s = trio.current_time() - started_at
                nursery.cancel_scope.cancel()
            return elapsed_s

        return trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_slow_neighbours_do_not_hold_up_a_fetch(self) -> None:
        # Guards against fetches that wait for one silent neighbour after the other.
        self.assertLess(self.fetch_from_slow_neighbours(9.0, 9.0, 0.0), 1.0)

    def test_late_response_is_used(self) -> None:
        # Guards against a busy node that discards each response as too late.
        self.assertLess(self.fetch_from_slow_neighbours(1.4, 1.4), 1.6)

    def test_log_tells_the_hops_and_their_times(self) -> None:
        # Guards against a late bundle of which no line tells where it was held up.
        async def main() -> dict[str, Any]:
            async with trio.open_nursery() as nursery:
                nodes = [Node(f"vm-{i}", nursery) for i in range(3)]
                nodes[0].link_to(nodes[1])
                last = nodes[1].link_to(nodes[2])
                last.reverse.failures = 1
                nodes[0].catalog.apply(make_bundle(5), "the store")
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()
            fields: dict[str, Any] = nodes[2].events.events[-1].fields
            return fields

        fields = trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertEqual(fields["hops"], 2)
        self.assertGreater(fields["age_ms"], fields["waited_ms"])
        self.assertGreater(fields["waited_ms"], 1000 * ROUND_TRIP_S)
        self.assertGreaterEqual(fields["fetch_ms"], 1000 * ROUND_TRIP_S)
        self.assertLess(fields["fetch_ms"], fields["age_ms"])


if __name__ == "__main__":
    unittest.main()
