"""Malformed frames from a peer."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import msgspec
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.errors import PeerError
from marigoldchute.events import HybridClock
from marigoldchute.link.frames import FrameDecoder, FrameKind, encode_frame
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.handshake import PeerIdentity
from marigoldchute.link.link import Link
from tests.support.memory_transport import MemoryTransport

if TYPE_CHECKING:
    from marigoldchute.link.stream import Stream

KINDS = [int(kind) for kind in FrameKind] + [0, 200]
FRAMES = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 6), st.binary(max_size=12)),
    max_size=12,
)


async def _decode(link: Link, body: bytes) -> bytes:
    return msgspec.msgpack.encode(msgspec.msgpack.decode(body, type=list[int]))


async def _read_all(stream: Stream) -> None:
    msgspec.msgpack.decode(stream.head, type=list[int])
    while await stream.receive() is not None:
        pass


def _handlers() -> Handlers:
    handlers = Handlers()
    for method in range(4):
        handlers.register(method, _decode)
    handlers.stream = _read_all
    return handlers


class MalformedFrameTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(FRAMES)
    def test_link_survives_or_ends_without_an_error(
        self, frames: list[tuple[int, int, bytes]]
    ) -> None:
        trio.run(self._feed, frames, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _feed(self, frames: list[tuple[int, int, bytes]]) -> None:
        ours, theirs = trio.testing.memory_stream_pair()
        peer = PeerIdentity("peer", 1, "a", "r")
        link = Link(
            MemoryTransport(ours, theirs),
            FrameDecoder(),
            peer,
            "control",
            False,
            _handlers(),
            HybridClock(),
            1000,
            early_frames=[],
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            for kind, number, body in frames:
                try:
                    await theirs.send_all(encode_frame(kind, number, body))
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    break
                await trio.testing.wait_all_tasks_blocked()
            await theirs.aclose()
        self.assertFalse(link.alive)

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(st.binary(max_size=20), max_size=10))
    def test_decoder_cuts_alike_however_the_bytes_arrive(
        self, bodies: list[bytes]
    ) -> None:
        data = b"".join(encode_frame(3, 7, body) for body in bodies)
        whole = FrameDecoder().feed(data)
        decoder = FrameDecoder()
        pieces = [frame for byte in data for frame in decoder.feed(bytes([byte]))]
        self.assertEqual(whole, pieces)
        self.assertEqual([body for _, _, body in whole], bodies)

    def test_giant_frame_is_refused(self) -> None:
        with self.assertRaises(PeerError):
            FrameDecoder().feed(b"\xff\xff\xff\xff\x03\x00\x00\x00\x01")
