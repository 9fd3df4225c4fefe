"""Heartbeats of links: loss of a peer, and a pause of this process."""

from __future__ import annotations

import unittest
from typing import Any

import trio
from trio.testing import MockClock, memory_stream_pair

from marigoldchute.errors import PeerError
from marigoldchute.events import HybridClock
from marigoldchute.link.endpoint import LinkEndpoint
from marigoldchute.link.frames import FrameDecoder, FrameKind, encode_frame
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.handshake import PeerIdentity
from marigoldchute.link.link import LOST_IDLE_S, TIMEOUT_HEARTBEATS, Link
from marigoldchute.link.stream import Stream, encode_complete_stream
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
            ours, self.peer_end = memory_stream_pair()
            link = Link(
                MemoryTransport(ours, self.peer_end),
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


class RequestDuringSilenceTest(HeartbeatTest):
    """Requests on a link whose peer is paused or lost."""

    def make_response(self, stream: Stream) -> bytes:
        return encode_complete_stream(stream.number, b"head", b"body")

    # Guards against requests that fail while they run, because the process that runs
    # them got no processor for some time.
    def test_request_that_cannot_be_repeated_gets_its_late_response(self) -> None:
        async def scenario(link: Link, clock: MockClock) -> None:
            stream = link.open_stream(b"request", b"")
            stream.outlasts_silence = True
            await trio.sleep(TIMEOUT_S + 1.0)
            self.assertFalse(link.is_open)
            self.assertTrue(link.is_connected)
            await self.peer_end.send_all(self.make_response(stream))
            self.assertEqual(await stream.receive_head(), b"head")
            self.assertEqual(await stream.receive(), b"body")
            link.remove_stream(stream)
            await trio.sleep(LOST_IDLE_S + 1.0)
            self.assertFalse(link.is_connected)

        self.run_link(scenario)

    def test_request_that_can_be_repeated_fails_at_once(self) -> None:
        async def scenario(link: Link, clock: MockClock) -> None:
            lasting = link.open_stream(b"request", b"")
            lasting.outlasts_silence = True
            other = link.open_stream(b"request", b"")
            with trio.fail_after(TIMEOUT_S + 1.0), self.assertRaises(PeerError):
                await other.receive_head()
            self.assertIsNone(lasting.error_code)
            link.remove_stream(other)
            link.remove_stream(lasting)

        self.run_link(scenario)

    def test_lost_link_is_used_for_nothing_new(self) -> None:
        async def scenario(link: Link, clock: MockClock) -> None:
            stream = link.open_stream(b"request", b"")
            stream.outlasts_silence = True
            with self.assertRaises(PeerError):
                await link.call(1, b"", 100.0)
            self.assertTrue(link.lost.is_set())
            for use in (
                lambda: link.open_stream(b"request", b""),
                lambda: link.notify(1, b""),
            ):
                with self.assertRaises(PeerError):
                    use()
            link.remove_stream(stream)

        self.run_link(scenario)

    # Guards against a peer that takes a link for working on which it is not heard.
    def test_lost_link_sends_no_heartbeats(self) -> None:
        async def scenario(link: Link, clock: MockClock) -> None:
            stream = link.open_stream(b"request", b"")
            stream.outlasts_silence = True
            sent = link.bytes_sent
            while link.is_open:
                sent = link.bytes_sent
                await trio.sleep(0.05)
            sent += len(encode_frame(FrameKind.LOST, 0, b""))
            await trio.sleep(5.0)
            self.assertEqual(link.bytes_sent, sent)
            self.assertTrue(link.is_connected)
            link.remove_stream(stream)

        self.run_link(scenario)

    # Guards against a peer that prefers the lost link to a new one after its pause.
    def test_link_that_the_peer_has_lost_keeps_only_its_streams(self) -> None:
        async def scenario(link: Link, clock: MockClock) -> None:
            stream = link.open_stream(b"request", b"")
            await self.peer_end.send_all(encode_frame(FrameKind.LOST, 0, b""))
            await trio.testing.wait_all_tasks_blocked()
            self.assertFalse(link.is_open)
            await self.peer_end.send_all(self.make_response(stream))
            self.assertEqual(await stream.receive_head(), b"head")
            link.remove_stream(stream)
            await trio.sleep(LOST_IDLE_S + 1.0)
            self.assertFalse(link.is_connected)

        self.run_link(scenario)

    def test_end_of_the_connection_fails_the_request(self) -> None:
        async def scenario(link: Link, clock: MockClock) -> None:
            stream = link.open_stream(b"request", b"")
            stream.outlasts_silence = True
            await trio.sleep(TIMEOUT_S + 1.0)
            await self.peer_end.aclose()
            with self.assertRaises(PeerError):
                await stream.receive_head()
            self.assertFalse(link.is_connected)

        self.run_link(scenario)


if __name__ == "__main__":
    unittest.main()
