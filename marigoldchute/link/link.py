"""One authenticated connection between two nodes.

A link multiplexes calls, notifications and streams. Both ends send heartbeats; an end
that hears nothing for ``SILENCE_FACTOR`` heartbeat intervals closes the link, so a
connection that something in between has forgotten does not last.
"""

from __future__ import annotations

import contextlib
import itertools
import struct
from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import MarigoldchuteError, PeerError, ResultCode
from marigoldchute.link.frames import FrameDecoder, FrameKind, encode_frame
from marigoldchute.link.reply import FAILURE_CODE, PendingReply
from marigoldchute.link.stream import MAX_DATA_BYTES, Stream, encode_whole

if TYPE_CHECKING:
    from marigoldchute.events import HybridClock
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.handshake import PeerIdentity
    from marigoldchute.util.tcp import Transport

RECEIVE_BYTES = 262_144
SILENCE_FACTOR = 3
SUSPECT_FACTOR = 2.25
HEARTBEAT_SKIP = 0.5
MAX_PENDING_WRITE_BYTES = 16_000_000
_CALL_HEADER = struct.Struct(">H")
_STAMP = struct.Struct(">Q")
MALFORMED = (struct.error, msgspec.DecodeError, ValueError)
_STREAM_KINDS = frozenset(
    {
        FrameKind.OPEN,
        FrameKind.DATA,
        FrameKind.END,
        FrameKind.RESET,
        FrameKind.CREDIT,
    }
)


class Link:
    """One connection; ``run`` drives it until it ends.

    Parameters
    ----------
    tcp : Transport
        Open connection after the handshake.
    peer : PeerIdentity
        Who is at the other end.
    purpose : str
        What the end that connected wants the link for.
    opened_here : bool
        Whether this end connected; decides the parity of stream numbers.
    handlers : Handlers
        What to do with the peer's calls and streams.
    clock : HybridClock
        Receives the peer's stamps.
    heartbeat_ms : int
        Interval between heartbeats.
    early_frames : list of (int, int, bytes)
        Frames that arrived together with the end of the handshake.
    """

    def __init__(
        self,
        tcp: Transport,
        decoder: FrameDecoder,
        peer: PeerIdentity,
        purpose: str,
        opened_here: bool,
        handlers: Handlers,
        clock: HybridClock,
        heartbeat_ms: int,
        early_frames: list[tuple[int, int, bytes]],
    ) -> None:
        self.peer = peer
        self.purpose = purpose
        self.opened_here = opened_here
        self.closed = trio.Event()
        self.bytes_sent = 0
        self.bytes_received = 0
        self._tcp = tcp
        self._writing = False
        self._decoder = decoder
        self._early_frames = early_frames
        self._handlers = handlers
        self._clock = clock
        self._heartbeat_s = heartbeat_ms / 1000
        self._numbers = itertools.count(1 if opened_here else 2, 2)
        self._streams: dict[int, Stream] = {}
        self._replies: dict[int, PendingReply] = {}
        self._out = bytearray()
        self._out_ready = trio.Event()
        self._heard_at = trio.current_time()
        self._sent_at = trio.current_time()
        self._made_at = trio.current_time()
        self._used_at = self._made_at
        self._nursery: trio.Nursery | None = None

    @property
    def alive(self) -> bool:
        """Whether the link can still be used."""
        return not self.closed.is_set()

    @property
    def suspect(self) -> bool:
        """Whether a heartbeat of the peer is overdue, so another link is wanted."""
        silent_s = trio.current_time() - self._heard_at
        return silent_s > SUSPECT_FACTOR * self._heartbeat_s

    @property
    def age_s(self) -> float:
        """Seconds since the link was made."""
        return trio.current_time() - self._made_at

    @property
    def stream_count(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    @property
    def unused_s(self) -> float:
        """Seconds since the last stream on the link ended; 0 while one is open."""
        return 0.0 if self._streams else trio.current_time() - self._used_at

    @property
    def pending_bytes(self) -> int:
        """Bytes that wait to be written."""
        return len(self._out) + self._writing

    async def run(self) -> None:
        """Read and write until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._write_frames)
                await self._read_frames()
                nursery.cancel_scope.cancel()
        except* (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            PeerError,
        ):
            pass
        finally:
            self.close()

    def beat(self, now: float) -> None:
        """Send a heartbeat if nothing was sent of late; close if the peer is silent.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        if now - self._heard_at > SILENCE_FACTOR * self._heartbeat_s:
            self.close()
        elif now - self._sent_at > HEARTBEAT_SKIP * self._heartbeat_s:
            stamp = _STAMP.pack(self._clock.tick(0))
            with contextlib.suppress(PeerError):
                self.send_now(encode_frame(FrameKind.HEARTBEAT, 0, stamp))

    def close(self) -> None:
        """Close the connection and fail what is pending on it."""
        if self.closed.is_set():
            return
        self.closed.set()
        for stream in tuple(self._streams.values()):
            stream.fail(ResultCode.PEER_UNREACHABLE, "connection to the peer ended")
        for pending in tuple(self._replies.values()):
            pending.fail(ResultCode.PEER_UNREACHABLE, "connection to the peer ended")
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()
        self._tcp.close()

    async def call(self, method: int, body: bytes, timeout_s: float) -> bytes:
        """Call a method of the peer and wait for its reply.

        Parameters
        ----------
        method : int
            Method number.
        body : bytes
            Encoded message.
        timeout_s : float
            Time limit in seconds.

        Returns
        -------
        bytes
            Encoded reply.

        Raises
        ------
        PeerError
            No reply in time, the link ended, or the peer answered with a failure.
        """
        number = next(self._numbers)
        pending = PendingReply()
        self._replies[number] = pending
        try:
            self.send_frame(FrameKind.CALL, number, _CALL_HEADER.pack(method) + body)
            with trio.move_on_after(timeout_s):
                await pending.done.wait()
        finally:
            del self._replies[number]
        return pending.result()

    def notify(self, method: int, body: bytes) -> None:
        """Send a message without waiting for a reply.

        Raises
        ------
        PeerError
            The link has ended, or the peer has not read for too long.
        """
        self.send_frame(FrameKind.NOTIFY, 0, _CALL_HEADER.pack(method) + body)

    def open_stream(self, head: bytes, data: bytes | None = None) -> Stream:
        """Open a stream to the peer.

        Parameters
        ----------
        head : bytes
            Head of the stream.
        data : bytes, optional
            All data that will be sent, with which the sending direction ends; at most
            ``MAX_DATA_BYTES``.

        Raises
        ------
        PeerError
            The link has ended, or the peer has not read for too long.
        """
        stream = Stream(self, next(self._numbers), head)
        number = stream.number
        if data is None:
            frames = encode_frame(FrameKind.OPEN, number, head)
        else:
            if len(data) > MAX_DATA_BYTES:
                raise ValueError(f"{len(data)} bytes do not fit one frame")
            frames = encode_whole(number, head, data)
            stream.finished_sending = True
        self._streams[number] = stream
        try:
            self.send_now(frames)
        except PeerError:
            self._streams.pop(number, None)
            raise
        return stream

    def forget_stream(self, stream: Stream) -> None:
        """Drop a stream whose both directions are over."""
        self._streams.pop(stream.number, None)
        self._used_at = trio.current_time()

    def send_frame(self, kind: int, stream: int, body: bytes) -> None:
        """Queue one frame for the writer.

        Raises
        ------
        PeerError
            The link has ended, or the peer has not read for too long.
        """
        self._queue(encode_frame(kind, stream, body))

    def send_now(self, frames: bytes) -> None:
        """Write encoded frames at once; queue what the kernel does not take.

        Raises
        ------
        PeerError
            The link has ended, or the peer has not read for too long.
        """
        if self._out or self._writing or self.closed.is_set():
            self._queue(frames)
            return
        try:
            sent = self._tcp.send_now(frames)
        except (OSError, trio.BrokenResourceError) as exc:
            self.close()
            raise PeerError(f"connection to the peer broke: {exc}") from exc
        self.bytes_sent += sent
        self._sent_at = trio.current_time()
        if sent < len(frames):
            self._queue(frames[sent:])

    def _queue(self, frames: bytes) -> None:
        if self.closed.is_set():
            raise PeerError("connection to the peer ended")
        self._out += frames
        if len(self._out) > MAX_PENDING_WRITE_BYTES:
            self.close()
            raise PeerError("peer does not read")
        self._out_ready.set()

    async def _write_frames(self) -> None:
        while True:
            if not self._out:
                self._out_ready = trio.Event()
                await self._out_ready.wait()
            data, self._out = self._out, bytearray()
            self.bytes_sent += len(data)
            self._sent_at = trio.current_time()
            self._writing = True
            await self._tcp.send(data)
            self._writing = False

    async def _read_frames(self) -> None:
        for frame in self._early_frames:
            self._take_frame(*frame)
        while True:
            data = await self._tcp.receive(RECEIVE_BYTES)
            if not data:
                return
            self._heard_at = trio.current_time()
            self.bytes_received += len(data)
            for kind, number, body in self._decoder.feed(data):
                self._take_checked_frame(kind, number, body)

    def _take_checked_frame(self, kind: int, number: int, body: bytes) -> None:
        try:
            self._take_frame(kind, number, body)
        except MALFORMED as exc:
            raise PeerError(
                f"frame of kind {kind} is malformed: {exc}", ResultCode.PEER_PROTOCOL
            ) from exc

    def _take_frame(self, kind: int, number: int, body: bytes) -> None:
        if kind in _STREAM_KINDS:
            self._take_stream_frame(kind, number, body)
        elif kind == FrameKind.HEARTBEAT:
            self._clock.observe(_STAMP.unpack(body)[0])
        elif kind in (FrameKind.REPLY, FrameKind.FAILURE):
            pending = self._replies.get(number)
            if pending is not None:
                pending.take(kind, body)
        elif kind in (FrameKind.CALL, FrameKind.NOTIFY):
            assert self._nursery is not None
            self._nursery.start_soon(self._serve_call, kind, number, body)
        else:
            raise PeerError(f"frame of kind {kind}", ResultCode.PEER_PROTOCOL)

    def _take_stream_frame(self, kind: int, number: int, body: bytes) -> None:
        stream = self._streams.get(number)
        if stream is not None:
            stream.take_frame(kind, body)
            return
        opened_by_peer = number % 2 == (0 if self.opened_here else 1)
        if kind != FrameKind.OPEN or not opened_by_peer:
            return
        stream = Stream(self, number, body)
        self._streams[number] = stream
        assert self._nursery is not None
        self._nursery.start_soon(self._serve_stream, stream)

    async def _serve_stream(self, stream: Stream) -> None:
        try:
            if self._handlers.stream is None:
                stream.reset(ResultCode.PEER_PROTOCOL)
                return
            await self._handlers.stream(stream)
        except PeerError:
            pass
        except MALFORMED:
            if self.alive:
                stream.reset(ResultCode.PEER_PROTOCOL)
        finally:
            self.forget_stream(stream)

    async def _serve_call(self, kind: int, number: int, body: bytes) -> None:
        try:
            reply = await self._handle_call(body)
        except MarigoldchuteError as exc:
            if kind == FrameKind.CALL and self.alive:
                failure = FAILURE_CODE.pack(exc.code) + exc.message.encode()
                self.send_frame(FrameKind.FAILURE, number, failure)
            return
        if kind == FrameKind.CALL and self.alive:
            self.send_frame(FrameKind.REPLY, number, reply)

    async def _handle_call(self, body: bytes) -> bytes:
        try:
            (method,) = _CALL_HEADER.unpack_from(body)
            handler = self._handlers.find(method)
            if handler is None:
                raise PeerError(f"method {method} unknown", ResultCode.PEER_PROTOCOL)
            return await handler(self, body[_CALL_HEADER.size :])
        except MALFORMED as exc:
            raise PeerError(
                f"call is malformed: {exc}", ResultCode.PEER_PROTOCOL
            ) from exc
