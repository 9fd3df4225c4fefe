"""Heartbeats of links: loss of a peer, and a pause of this process."""

from __future__ import annotations

import unittest
from typing import Any

import trio
from trio.testing import MockClock, memory_stream_pair

from marigoldchute.events import HybridClock
from marigoldchute.link.endpoint import LinkEndpoint
from marigoldchute.link.frames import FrameDecoder
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.handshake import PeerIdentity
from marigoldchute.link.link import TIMEOUT_HEARTBEATS, Link
from tests.support.memory_transport import MemoryTransport

HEARTBEAT_MS = 500
TIMEOUT_S = TIMEOUT_HEARTBEATS * HEARTBEAT_MS / 1000
LOCAL = PeerIdentity("vm-1", 1, "dc", "r")
PEER = PeerIdentity("vm-2", 1, "dc", "r")


class HeartbeatTest(unittest.TestCase):
    """One link of an endpoint to a peer that sends nothing by itself."""

    def run_link(self, scenario: Any) -> None:
        clock = MockClock(autojump_threshold=0)

        async def main() -> None:
            hybrid_clock = HybridClock()
            endpoint = LinkEndpoint(
                LOCAL,
                "127.0.0.1",
                (b"secret",),
                Handlers(),
                hybrid_clock,
                HEARTBEAT_MS,
                lambda link: None,
            )
            ours, theirs = memory_stream_pair()
            link = Link(
                MemoryTransport(ours, theirs),
                FrameDecoder(),
                PEER,
                "control",
                True,
                Handlers(),
                hybrid_clock,
                HEARTBEAT_MS,
                [],
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(endpoint.run_link, link)
                nursery.start_soon(endpoint._send_heartbeats)
                await trio.testing.wait_all_tasks_blocked()
                await scenario(link, clock)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=clock)

    def test_link_to_a_silent_peer_is_closed(self) -> None:
        async def scenario(link: Link, clock: MockClock) -> None:
            await trio.sleep(TIMEOUT_S - 0.1)
            self.assertTrue(link.is_open)
            await trio.sleep(1.0)
            self.assertFalse(link.is_open)

        self.run_link(scenario)

    # Guards against requests that are cut off on all links of a node after its own
    # process was paused, although no peer is lost.
    def test_pause_of_this_process_does_not_count_as_silence_of_the_peer(self) -> None:
        async def scenario(link: Link, clock: MockClock) -> None:
            await trio.sleep(0.2)
            clock.jump(2 * TIMEOUT_S)
            await trio.sleep(0.2)
            self.assertTrue(link.is_open)
            self.assertFalse(link.is_suspected)
            await trio.sleep(TIMEOUT_S + 1.0)
            self.assertFalse(link.is_open)

        self.run_link(scenario)


if __name__ == "__main__":
    unittest.main()
