"""One link over TCP: what a peer sends before it ends is still received."""

from __future__ import annotations

import socket
import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from marigoldchute.errors import PeerError
from marigoldchute.events import HybridClock
from marigoldchute.link.frames import FrameDecoder
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.handshake import PeerIdentity
from marigoldchute.link.link import Link
from marigoldchute.link.stream import StreamResetError, encode_complete_stream
from marigoldchute.util.tcp import TcpConn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldchute.link.stream import Stream

HEARTBEAT_MS = 500


RESPONSE = encode_complete_stream(1, b"head", b"data")


class PeerEndTest(unittest.TestCase):
    """A peer that sends a response and ends at once, which resets the connection."""

    def run_link(self, scenario: Callable[[Link, Stream], Awaitable[None]]) -> None:
        """Run a link with one stream, whose request the peer leaves unread."""

        async def main() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                ours = socket.create_connection(listener.getsockname())
                self.peer, _ = listener.accept()
            link = Link(
                TcpConn(ours),
                FrameDecoder(),
                PeerIdentity("vm-2", 1, "dc", "r"),
                "control",
                True,
                Handlers(),
                HybridClock(),
                HEARTBEAT_MS,
                [],
            )
            stream = link.open_stream(b"request", b"")
            with trio.fail_after(2):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(link.run)
                    await trio.testing.wait_all_tasks_blocked()
                    await scenario(link, stream)
                    await link.closed.wait()

        trio.run(main)

    def end_peer(self, response: bytes) -> None:
        self.peer.sendall(response)
        self.peer.close()

    # Guards against responses that are lost at the end of a stopping node because a
    # heartbeat is sent on its link before they are read.
    def test_response_is_received_after_a_failed_heartbeat(self) -> None:
        async def scenario(link: Link, stream: Stream) -> None:
            self.end_peer(RESPONSE)
            link.check_heartbeat(trio.current_time() + 0.9 * HEARTBEAT_MS / 1000)
            self.assertEqual(await stream.receive_head(), b"head")
            self.assertEqual(await stream.receive(), b"data")

        self.run_link(scenario)

    # Guards against the same loss because of a frame that waits to be written.
    def test_response_is_received_after_a_failed_write(self) -> None:
        async def scenario(link: Link, stream: Stream) -> None:
            self.end_peer(RESPONSE)
            link.notify(1, b"notification")
            self.assertEqual(await stream.receive_head(), b"head")
            self.assertEqual(await stream.receive(), b"data")

        self.run_link(scenario)

    def test_stream_without_a_response_fails_after_a_failed_heartbeat(self) -> None:
        async def scenario(link: Link, stream: Stream) -> None:
            self.end_peer(b"")
            link.check_heartbeat(trio.current_time() + 0.9 * HEARTBEAT_MS / 1000)
            with self.assertRaises(PeerError):
                link.open_stream(b"further request", b"")
            with self.assertRaises(StreamResetError):
                await stream.receive_head()

        self.run_link(scenario)


if __name__ == "__main__":
    unittest.main()
