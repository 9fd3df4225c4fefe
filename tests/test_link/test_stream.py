"""Streams that end early."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from marigoldchute.errors import ResultCode
from marigoldchute.events import HybridClock
from marigoldchute.link.frames import FrameDecoder, FrameKind
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.handshake import PeerIdentity
from marigoldchute.link.link import Link
from tests.support.memory_transport import MemoryTransport

if TYPE_CHECKING:
    from marigoldchute.link.stream import Stream


class ErrorCodeTest(unittest.TestCase):
    """The handler of a stream finds out why it is cancelled."""

    def code_at_the_end(self) -> ResultCode | None:
        """Return the code that a handler sees when the peer closes the link."""
        codes: list[ResultCode | None] = []

        async def run_forever(stream: Stream) -> None:
            self.assertIsNone(stream.error_code)
            try:
                await trio.sleep_forever()
            finally:
                codes.append(stream.error_code)

        async def main() -> None:
            ours, theirs = trio.testing.memory_stream_pair()
            handlers = Handlers()
            handlers.stream_handler = run_forever
            link = Link(
                MemoryTransport(ours, theirs),
                FrameDecoder(),
                PeerIdentity("peer", 1, "a", "r"),
                "traffic",
                False,
                handlers,
                HybridClock(),
                1000,
                [(FrameKind.OPEN, 1, b"")],
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.run)
                await trio.testing.wait_all_tasks_blocked()
                await theirs.aclose()

        trio.run(main)
        (code,) = codes
        return code

    # A run that ended with its link was logged as one that ended with the process.
    def test_link_that_the_peer_closes_is_the_cause_of_the_cancellation(self) -> None:
        self.assertEqual(self.code_at_the_end(), ResultCode.PEER_UNREACHABLE)
