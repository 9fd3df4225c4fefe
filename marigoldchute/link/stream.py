"""Stream for one request and its response inside a link, with flow control."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import PeerError, ResultCode
from marigoldchute.link.frames import FrameKind, encode_frame

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.link.link import Link

WINDOW_BYTES = 262_144
CREDIT_THRESHOLD_BYTES = WINDOW_BYTES // 2
MAX_DATA_BYTES = 65_536
_U32 = struct.Struct(">I")


class StreamResetError(PeerError):
    """A stream was ended early by the peer or by the loss of the connection.

    Parameters
    ----------
    message : str
        Short sentence.
    code : ResultCode
        Code sent by the peer, or ``PEER_UNREACHABLE`` when the connection closed.
    """


class Stream:
    """Bidirectional ordered byte stream inside a link, with a head in each direction.

    The end that opens a stream sends its head with ``Link.open_stream``; the other
    end responds with ``send_head``. The receiver returns credit for the data that it
    has consumed, so a slow reader buffers at most ``WINDOW_BYTES`` and the rest of one
    frame.

    Attributes
    ----------
    outlasts_silence : bool
        Whether the stream stays open while the peer sends no heartbeats. Its users
        then limit its duration.
    """

    def __init__(self, link: Link, number: int, head: bytes) -> None:
        self.link = link
        self.number = number
        self.head = head
        # A list, because it holds few items and even an empty deque takes 760 bytes.
        self._received_data: list[bytes] = []
        self._peer_head: bytes | None = None
        self._peer_finished = False
        self._error: StreamResetError | None = None
        self._send_credit = WINDOW_BYTES
        self._uncredited_bytes = 0
        self._buffered_bytes = 0
        self._readable = trio.Event()
        self._writable = trio.Event()
        self.finished_sending = False
        self.outlasts_silence = False
        self._on_cancel: Callable[[], None] | None = None

    @property
    def error_code(self) -> ResultCode | None:
        """Code with which the stream ends early; None if it does not."""
        if self._error is not None:
            return self._error.code
        return ResultCode.PEER_UNREACHABLE if self.link.is_ending else None

    @property
    def buffered_bytes(self) -> int:
        """Number of received bytes that are not consumed."""
        return self._buffered_bytes

    async def receive_head(self) -> bytes:
        """Wait for the head of the response and return it."""
        while self._peer_head is None:
            self._raise_if_failed()
            await self._wait_readable()
        return self._peer_head

    async def receive(self) -> bytes | None:
        """Return the next data, or None when the peer has finished sending.

        Raises
        ------
        StreamResetError
            The stream ended before the peer finished sending.
        """
        while not self._received_data:
            self._raise_if_failed()
            if self._peer_finished:
                return None
            await self._wait_readable()
        data = self._received_data.pop(0)
        self._buffered_bytes -= len(data)
        self._uncredited_bytes += len(data)
        if self._uncredited_bytes >= CREDIT_THRESHOLD_BYTES and not self._peer_finished:
            credit = _U32.pack(self._uncredited_bytes)
            self.link.send_now(encode_frame(FrameKind.CREDIT, self.number, credit))
            self._uncredited_bytes = 0
        return data

    def pop_complete_data(self) -> bytes | None:
        """Return all data if the peer has finished sending, else None."""
        if not self._peer_finished or self._error is not None:
            return None
        if len(self._received_data) == 1:
            return self._received_data.pop()
        data = b"".join(self._received_data)
        self._received_data.clear()
        return data

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when the stream ends early, at once if it already has."""
        self._on_cancel = callback
        if self._error is not None:
            callback()

    def send_head(self, head: bytes) -> None:
        """Send the head of the response."""
        self._raise_if_failed()
        self.link.send_now(encode_frame(FrameKind.OPEN, self.number, head))

    async def send_complete(self, head: bytes, data: bytes) -> None:
        """Send the head of the response and all data, and finish sending."""
        if len(data) > MAX_DATA_BYTES or len(data) > self._send_credit:
            self.send_head(head)
            await self.send(data)
            self.send_end()
            return
        self._raise_if_failed()
        self.finished_sending = True
        self.link.send_now(encode_complete_stream(self.number, head, data))

    async def send(self, data: bytes) -> None:
        """Send data, waiting for credit from the peer."""
        for start in range(0, len(data), MAX_DATA_BYTES):
            segment = data[start : start + MAX_DATA_BYTES]
            while self._send_credit <= 0:
                self._raise_if_failed()
                self._writable = trio.Event()
                await self._writable.wait()
            self._raise_if_failed()
            self._send_credit -= len(segment)
            self.link.send_now(encode_frame(FrameKind.DATA, self.number, segment))

    def send_end(self) -> None:
        """Notify the peer that all data has been sent."""
        if not self.finished_sending:
            self.finished_sending = True
            self.link.send_now(encode_frame(FrameKind.END, self.number, b""))

    def reset(self, code: ResultCode) -> None:
        """End the stream early in both directions."""
        if self._error is not None:
            return
        self.fail(code, "stream was reset by this node")
        if self.link.is_connected:
            body = _U32.pack(code)
            self.link.send_now(encode_frame(FrameKind.RESET, self.number, body))

    def fail(self, code: ResultCode, message: str) -> None:
        """Record that the stream ended early and wake up the waiting tasks."""
        if self._error is None:
            self._error = StreamResetError(message, code)
        self._readable.set()
        self._writable.set()
        if self._on_cancel is not None:
            self._on_cancel()

    def handle_frame(self, kind: int, body: bytes) -> None:
        """Handle one frame of this stream that the link has read.

        Raises
        ------
        PeerError
            The peer sent more data than it had credit for.
        """
        if kind == FrameKind.DATA:
            self._buffered_bytes += len(body)
            if self._buffered_bytes > WINDOW_BYTES + MAX_DATA_BYTES:
                raise PeerError(
                    "peer sends more than its credit", ResultCode.PEER_PROTOCOL
                )
            self._received_data.append(body)
        elif kind == FrameKind.OPEN:
            self._peer_head = body
        elif kind == FrameKind.END:
            self._peer_finished = True
        elif kind == FrameKind.CREDIT:
            self._send_credit += _U32.unpack(body)[0]
            self._writable.set()
            return
        elif kind == FrameKind.RESET:
            self.fail(_decode_result_code(body), "peer reset the stream")
        self._readable.set()

    def _raise_if_failed(self) -> None:
        if self._error is not None:
            raise StreamResetError(self._error.message, self._error.code)

    async def _wait_readable(self) -> None:
        self._readable = trio.Event()
        await self._readable.wait()


def encode_complete_stream(number: int, head: bytes, data: bytes) -> bytes:
    """Return the frames of a head, all data and the end of the stream."""
    frames = encode_frame(FrameKind.OPEN, number, head)
    if data:
        frames += encode_frame(FrameKind.DATA, number, data)
    return frames + encode_frame(FrameKind.END, number, b"")


def _decode_result_code(body: bytes) -> ResultCode:
    try:
        return ResultCode(_U32.unpack(body)[0])
    except (ValueError, struct.error):
        return ResultCode.PEER_PROTOCOL
