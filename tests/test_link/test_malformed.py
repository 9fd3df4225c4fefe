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
from marigoldchute.link.stream import MAX_DATA_BYTES, WINDOW_BYTES
from tests.support.memory_transport import MemoryTransport

if TYPE_CHECKING:
    from collections.abc import Sequence

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


async def _raise_key_error(link: Link, body: bytes = b"") -> bytes:
    raise KeyError("unexpected")


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
        self.run_link(frames)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(FRAMES, FRAMES)
    def test_frames_behind_the_handshake_raise_no_error_either(
        self,
        early_frames: list[tuple[int, int, bytes]],
        frames: list[tuple[int, int, bytes]],
    ) -> None:
        """Answers a peer whose first frames arrive with the end of the handshake."""
        self.run_link(frames, early_frames)

    def test_unexpected_error_of_a_handler_is_reported_and_closes_the_link(
        self,
    ) -> None:
        """Answers one message that took a whole process down."""
        failures: list[Exception] = []
        for kind in (FrameKind.CALL, FrameKind.NOTIFY, FrameKind.OPEN):
            handlers = _create_handlers()
            handlers.register(9, _raise_key_error)
            handlers.stream_handler = _raise_key_error  # type: ignore[assignment]
            handlers.report_failure = failures.append
            self.run_link([(kind, 1, b"\x00\x09")], handlers=handlers)
        self.assertEqual([type(exc) for exc in failures], [KeyError] * 3)

    def test_data_beyond_the_credit_closes_the_link(self) -> None:
        """Answers a peer that sends a body without end to a reader that is slow."""
        received: list[int] = []

        async def never_read(stream: Stream) -> None:
            try:
                await trio.sleep_forever()
            finally:
                received.append(stream._buffered_bytes)

        handlers = _create_handlers()
        handlers.stream_handler = never_read
        data = [(FrameKind.DATA, 1, bytes(MAX_DATA_BYTES))] * 50
        self.run_link([(FrameKind.OPEN, 1, b""), *data], handlers=handlers)
        self.assertLessEqual(received[0], WINDOW_BYTES + 2 * MAX_DATA_BYTES)

    def run_link(
        self,
        frames: list[tuple[int, int, bytes]],
        early_frames: Sequence[tuple[int, int, bytes]] = (),
        handlers: Handlers | None = None,
    ) -> None:
        """Send frames to a link; it must end without an error."""
        trio.run(
            self._send_to_link,
            frames,
            list(early_frames),
            handlers or _create_handlers(),
            clock=trio.testing.MockClock(autojump_threshold=0),
        )

    async def _send_to_link(
        self,
        frames: list[tuple[int, int, bytes]],
        early_frames: list[tuple[int, int, bytes]],
        handlers: Handlers,
    ) -> None:
        ours, theirs = trio.testing.memory_stream_pair()
        peer = PeerIdentity("peer", 1, "a", "r")
        link = Link(
            MemoryTransport(ours, theirs),
            FrameDecoder(),
            peer,
            "control",
            False,
            handlers,
            HybridClock(),
            1000,
            early_frames,
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
