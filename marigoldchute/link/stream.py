"""One request and its answer on a connection between nodes, with flow control."""

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
CREDIT_BYTES = WINDOW_BYTES // 2
MAX_DATA_BYTES = 65_536
_U32 = struct.Struct(">I")


class StreamResetError(PeerError):
    """The peer, or the loss of the connection, ended a stream early.

    Parameters
    ----------
    message : str
        Short sentence.
    code : ResultCode
        Code given by the peer, or ``PEER_UNREACHABLE`` when the connection ended.
    """


class Stream:
    """Two-way ordered bytes with a head each way, inside a link.

    The end that opens a stream sends its head with ``Link.open_stream``; the other
    end answers with ``send_head``. Every piece of data is acknowledged by credit, so
    a slow reader holds at most ``WINDOW_BYTES``.
    """

    def __init__(self, link: Link, number: int, head: bytes) -> None:
        self.link = link
        self.number = number
        self.head = head
        self._chunks: list[bytes] = []  # Few; a deque takes 760 bytes even when empty.
        self._peer_head: bytes | None = None
        self._ended = False
        self._error: StreamResetError | None = None
        self._credit = WINDOW_BYTES
        self._consumed = 0
        self._readable = trio.Event()
        self._writable = trio.Event()
        self.finished_sending = False
        self._on_cancel: Callable[[], None] | None = None

    async def receive_head(self) -> bytes:
        """Wait for the head of the answer."""
        while self._peer_head is None:
            self._raise_error()
            await self._wait_readable()
        return self._peer_head

    async def receive(self) -> bytes | None:
        """Return the next piece of data, or None at the whole end.

        Raises
        ------
        StreamResetError
            The data ends before its whole end.
        """
        while not self._chunks:
            self._raise_error()
            if self._ended:
                return None
            await self._wait_readable()
        chunk = self._chunks.pop(0)
        self._consumed += len(chunk)
        if self._consumed >= CREDIT_BYTES and not self._ended:
            credit = _U32.pack(self._consumed)
            self.link.send_now(encode_frame(FrameKind.CREDIT, self.number, credit))
            self._consumed = 0
        return chunk

    def take_whole(self) -> bytes | None:
        """Return all data if its whole end has arrived, else None."""
        if not self._ended or self._error is not None:
            return None
        if len(self._chunks) == 1:
            return self._chunks.pop()
        data = b"".join(self._chunks)
        self._chunks.clear()
        return data

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when the stream ends early, now if it has."""
        self._on_cancel = callback
        if self._error is not None:
            callback()

    def send_head(self, head: bytes) -> None:
        """Send the head of the answer."""
        self._raise_error()
        self.link.send_now(encode_frame(FrameKind.OPEN, self.number, head))

    async def send_whole(self, head: bytes, data: bytes) -> None:
        """Send the head of the answer, all data and the whole end."""
        if len(data) > MAX_DATA_BYTES or len(data) > self._credit:
            self.send_head(head)
            await self.send(data)
            self.send_end()
            return
        self._raise_error()
        self.finished_sending = True
        self.link.send_now(encode_whole(self.number, head, data))

    async def send(self, data: bytes) -> None:
        """Send data, waiting for credit."""
        for start in range(0, len(data), MAX_DATA_BYTES):
            piece = data[start : start + MAX_DATA_BYTES]
            while self._credit <= 0:
                self._raise_error()
                self._writable = trio.Event()
                await self._writable.wait()
            self._raise_error()
            self._credit -= len(piece)
            self.link.send_now(encode_frame(FrameKind.DATA, self.number, piece))

    def send_end(self) -> None:
        """Say that the data sent is whole."""
        if not self.finished_sending:
            self.finished_sending = True
            self.link.send_now(encode_frame(FrameKind.END, self.number, b""))

    def reset(self, code: ResultCode) -> None:
        """End the stream early in both directions."""
        if self._error is not None:
            return
        self.fail(code, "stream was reset here")
        if self.link.alive:
            body = _U32.pack(code)
            self.link.send_now(encode_frame(FrameKind.RESET, self.number, body))

    def fail(self, code: ResultCode, message: str) -> None:
        """Take note that the stream ended early."""
        if self._error is None:
            self._error = StreamResetError(message, code)
        self._readable.set()
        self._writable.set()
        if self._on_cancel is not None:
            self._on_cancel()

    def take_frame(self, kind: int, body: bytes) -> None:
        """Take one frame of this stream from the link's reader."""
        if kind == FrameKind.DATA:
            self._chunks.append(body)
        elif kind == FrameKind.OPEN:
            self._peer_head = body
        elif kind == FrameKind.END:
            self._ended = True
        elif kind == FrameKind.CREDIT:
            self._credit += _U32.unpack(body)[0]
            self._writable.set()
            return
        elif kind == FrameKind.RESET:
            self.fail(_decode_code(body), "peer reset the stream")
        self._readable.set()

    def _raise_error(self) -> None:
        if self._error is not None:
            raise StreamResetError(self._error.message, self._error.code)

    async def _wait_readable(self) -> None:
        self._readable = trio.Event()
        await self._readable.wait()


def encode_whole(number: int, head: bytes, data: bytes) -> bytes:
    """Return the frames of a head, all data and the whole end."""
    frames = encode_frame(FrameKind.OPEN, number, head)
    if data:
        frames += encode_frame(FrameKind.DATA, number, data)
    return frames + encode_frame(FrameKind.END, number, b"")


def _decode_code(body: bytes) -> ResultCode:
    try:
        return ResultCode(_U32.unpack(body)[0])
    except (ValueError, struct.error):
        return ResultCode.PEER_PROTOCOL
