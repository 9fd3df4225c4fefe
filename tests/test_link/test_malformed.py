"""Tests that malformed frames from a peer are handled without a crash."""

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


async def _decode_and_encode(link: Link, body: bytes) -> bytes:
    return msgspec.msgpack.encode(msgspec.msgpack.decode(body, type=list[int]))


async def _read_stream(stream: Stream) -> None:
    msgspec.msgpack.decode(stream.head, type=list[int])
    while await stream.receive() is not None:
        pass


def _create_handlers() -> Handlers:
    handlers = Handlers()
    for method in range(4):
        handlers.register(method, _decode_and_encode)
    handlers.stream_handler = _read_stream
    return handlers


class MalformedFrameTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(FRAMES)
    def test_any_frames_leave_the_link_open_or_close_it_without_an_error(
        self, frames: list[tuple[int, int, bytes]]
    ) -> None:
        trio.run(
            self._send_to_link,
            frames,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )

    async def _send_to_link(self, frames: list[tuple[int, int, bytes]]) -> None:
        ours, theirs = trio.testing.memory_stream_pair()
        peer = PeerIdentity("peer", 1, "a", "r")
        link = Link(
            MemoryTransport(ours, theirs),
            FrameDecoder(),
            peer,
            "control",
            False,
            _create_handlers(),
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
        self.assertFalse(link.is_open)

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(st.binary(max_size=20), max_size=10))
    def test_decoder_returns_the_same_frames_for_single_bytes(
        self, bodies: list[bytes]
    ) -> None:
        data = b"".join(encode_frame(3, 7, body) for body in bodies)
        frames_at_once = FrameDecoder().feed(data)
        decoder = FrameDecoder()
        frames_by_byte = [
            frame for byte in data for frame in decoder.feed(bytes([byte]))
        ]
        self.assertEqual(frames_at_once, frames_by_byte)
        self.assertEqual([body for _, _, body in frames_at_once], bodies)

    def test_frame_over_the_size_limit_raises_an_error(self) -> None:
        with self.assertRaises(PeerError):
            FrameDecoder().feed(b"\xff\xff\xff\xff\x03\x00\x00\x00\x01")
