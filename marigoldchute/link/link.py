"""One authenticated connection between two nodes.

A link multiplexes calls, notifications and streams. Both ends send heartbeats. For an
end that receives nothing for ``TIMEOUT_HEARTBEATS`` heartbeat intervals the link is
lost: it is used for nothing new and closed, so that a connection whose state a
middlebox has dropped does not stay open. Streams that outlast the silence keep it
connected, because the peer may only be paused and still respond.
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
from marigoldchute.link.pending_call import FAILURE_CODE, PendingCall
from marigoldchute.link.stream import MAX_DATA_BYTES, Stream, encode_complete_stream
from marigoldchute.link.transit import TransitDelay

if TYPE_CHECKING:
    from marigoldchute.events import HybridClock
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.handshake import PeerIdentity
    from marigoldchute.util.tcp import Transport

RECEIVE_BYTES = 262_144
TIMEOUT_HEARTBEATS = 3
SUSPECT_HEARTBEATS = 2.25
HEARTBEAT_IDLE_FRACTION = 0.5
# A peer that was paused may have sent more on a lost link before it uses another one.
LOST_IDLE_S = 1.0
MAX_PENDING_WRITE_BYTES = 16_000_000
_CALL_HEADER = struct.Struct(">H")
_STAMP = struct.Struct(">Q")
DECODE_ERRORS = (
    struct.error,
    msgspec.DecodeError,
    ValueError,
    OverflowError,
    RecursionError,
)
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
    """One connection, which ``run`` drives until it closes.

    Parameters
    ----------
    tcp : Transport
        Open connection on which the handshake is complete.
    decoder : FrameDecoder
        Decoder that the handshake used; it may hold the start of the next frame.
    peer : PeerIdentity
        Identity of the other end.
    purpose : str
        Purpose of the link, chosen by the end that connected.
    is_initiator : bool
        Whether this end connected. Determines the parity of the stream numbers that
        this end assigns.
    handlers : Handlers
        Handlers for the peer's calls and streams.
    clock : HybridClock
        Clock that is advanced by the peer's timestamps.
    heartbeat_ms : int
        Interval between heartbeats.
    early_frames : list of (int, int, bytes)
        Frames that arrived together with the last frame of the handshake.

    Attributes
    ----------
    transit : TransitDelay
        Delay of the requests that the peer sends.
    lost : trio.Event
        Set when the link can no longer be used for anything new.
    closed : trio.Event
        Set when its connection is closed.
    """

    def __init__(
        self,
        tcp: Transport,
        decoder: FrameDecoder,
        peer: PeerIdentity,
        purpose: str,
        is_initiator: bool,
        handlers: Handlers,
        clock: HybridClock,
        heartbeat_ms: int,
        early_frames: list[tuple[int, int, bytes]],
    ) -> None:
        self.peer = peer
        self.transit = TransitDelay()
        self.purpose = purpose
        self.is_initiator = is_initiator
        self.lost = trio.Event()
        self.closed = trio.Event()
        self.bytes_sent = 0
        self.bytes_received = 0
        self._tcp = tcp
        self._write_in_progress = False
        self._decoder = decoder
        self._early_frames = early_frames
        self._handlers = handlers
        self._clock = clock
        self._heartbeat_s = heartbeat_ms / 1000
        self._stream_numbers = itertools.count(1 if is_initiator else 2, 2)
        self._streams: dict[int, Stream] = {}
        self._pending_calls: dict[int, PendingCall] = {}
        self._write_buffer = bytearray()
        self._write_ready = trio.Event()
        self._last_received_at = trio.current_time()
        self._last_sent_at = trio.current_time()
        self._created_at = trio.current_time()
        self._last_used_at = self._created_at
        self._nursery: trio.Nursery | None = None

    @property
    def is_open(self) -> bool:
        """Whether the link can still be used."""
        return not self.lost.is_set()

    @property
    def is_connected(self) -> bool:
        """Whether streams that are open can still send and receive."""
        return not self.closed.is_set()

    @property
    def is_ending(self) -> bool:
        """Whether the link is closed or its tasks are being cancelled."""
        nursery = self._nursery
        return self.closed.is_set() or (
            nursery is not None and nursery.cancel_scope.cancel_called
        )

    @property
    def is_suspected(self) -> bool:
        """Whether a heartbeat of the peer is overdue, so that a new link is needed."""
        return self._is_suspected_at(trio.current_time())

    def is_usable(self, now: float) -> bool:
        """Return whether the link is open and not suspected."""
        return self.is_open and not self._is_suspected_at(now)

    def _is_suspected_at(self, now: float) -> bool:
        return now - self._last_received_at > SUSPECT_HEARTBEATS * self._heartbeat_s

    @property
    def age_s(self) -> float:
        """Seconds since the link was created."""
        return trio.current_time() - self._created_at

    @property
    def stream_count(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    @property
    def idle_s(self) -> float:
        """Seconds since the last stream on the link closed; 0 while one is open."""
        return 0.0 if self._streams else trio.current_time() - self._last_used_at

    @property
    def pending_bytes(self) -> int:
        """Number of queued bytes, plus 1 while earlier bytes are being written."""
        return len(self._write_buffer) + self._write_in_progress

    async def run(self) -> None:
        """Read and write frames until the connection closes."""
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

    def check_heartbeat(self, now: float, delay_s: float = 0.0) -> None:
        """Give up the link if the peer timed out; send a heartbeat if one is due.

        A heartbeat is due when nothing was sent for ``HEARTBEAT_IDLE_FRACTION`` of the
        heartbeat interval.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        delay_s : float
            Delay of this check in seconds. It does not count as silence of the peer:
            this process did not run, and what has arrived may not be read yet.
        """
        self._last_received_at = min(now, self._last_received_at + delay_s)
        if now - self._last_received_at > TIMEOUT_HEARTBEATS * self._heartbeat_s:
            self._give_up()
        if self.lost.is_set():
            # The peer gives up the link as well when it receives no heartbeats.
            if self.idle_s > LOST_IDLE_S:
                self.close()
        elif now - self._last_sent_at > HEARTBEAT_IDLE_FRACTION * self._heartbeat_s:
            stamp = _STAMP.pack(self._clock.tick(0))
            with contextlib.suppress(PeerError):
                self.send_now(encode_frame(FrameKind.HEARTBEAT, 0, stamp))

    def _give_up(self) -> None:
        """Use the silent link for nothing new; close it if nothing outlasts this."""
        if self.lost.is_set():
            return
        self.lost.set()
        self._fail_pending_calls("peer sends no heartbeats")
        # A peer that was paused would otherwise prefer this link to a new one.
        with contextlib.suppress(PeerError):
            self.send_now(encode_frame(FrameKind.LOST, 0, b""))
        for stream in tuple(self._streams.values()):
            if not stream.outlasts_silence:
                with contextlib.suppress(PeerError):
                    stream.reset(ResultCode.PEER_UNREACHABLE)
        if not any(stream.outlasts_silence for stream in self._streams.values()):
            self.close()

    def _fail_pending_calls(self, text: str) -> None:
        for pending in tuple(self._pending_calls.values()):
            pending.fail(ResultCode.PEER_UNREACHABLE, text)

    def close(self) -> None:
        """Close the connection and fail its streams and pending calls."""
        if self.closed.is_set():
            return
        self.lost.set()
        self.closed.set()
        for stream in tuple(self._streams.values()):
            stream.fail(ResultCode.PEER_UNREACHABLE, "connection to the peer closed")
        self._fail_pending_calls("connection to the peer closed")
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()
        self._tcp.close()

    async def call(self, method: int, body: bytes, timeout_s: float) -> bytes:
        """Call a method of the peer and wait for its response.

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
            Encoded response.

        Raises
        ------
        PeerError
            The call timed out, the link closed, or the peer returned a failure.
        """
        self._check_open()
        number = next(self._stream_numbers)
        pending = PendingCall()
        self._pending_calls[number] = pending
        try:
            self.send_frame(FrameKind.CALL, number, _CALL_HEADER.pack(method) + body)
            with trio.move_on_after(timeout_s):
                await pending.done.wait()
        finally:
            del self._pending_calls[number]
        return pending.result()

    def _check_open(self) -> None:
        if self.lost.is_set():
            raise PeerError("connection to the peer closed")

    def notify(self, method: int, body: bytes) -> None:
        """Send a message without waiting for a response.

        Raises
        ------
        PeerError
            The link is closed, or the peer does not read and the write buffer is full.
        """
        self._check_open()
        self.send_frame(FrameKind.NOTIFY, 0, _CALL_HEADER.pack(method) + body)

    def open_stream(self, head: bytes, data: bytes | None = None) -> Stream:
        """Open a stream to the peer.

        Parameters
        ----------
        head : bytes
            Head of the request.
        data : bytes, optional
            All data of the sending direction, at most ``MAX_DATA_BYTES``. The
            direction is then finished.

        Raises
        ------
        PeerError
            The link is closed, or the peer does not read and the write buffer is full.
        """
        self._check_open()
        stream = Stream(self, next(self._stream_numbers), head)
        number = stream.number
        if data is None:
            frames = encode_frame(FrameKind.OPEN, number, head)
        else:
            if len(data) > MAX_DATA_BYTES:
                raise ValueError(f"{len(data)} bytes do not fit into one frame")
            frames = encode_complete_stream(number, head, data)
            stream.finished_sending = True
        self._streams[number] = stream
        try:
            self.send_now(frames)
        except PeerError:
            self._streams.pop(number, None)
            raise
        return stream

    def remove_stream(self, stream: Stream) -> None:
        """Remove a stream after both of its directions have finished."""
        self._streams.pop(stream.number, None)
        self._last_used_at = trio.current_time()

    def send_frame(self, kind: int, stream: int, body: bytes) -> None:
        """Queue one frame for the writer task.

        Raises
        ------
        PeerError
            The link is closed, or the peer does not read and the write buffer is full.
        """
        self._queue_frames(encode_frame(kind, stream, body))

    def send_now(self, frames: bytes) -> None:
        """Write encoded frames at once and queue what the kernel does not accept.

        Raises
        ------
        PeerError
            The link is closed, or the peer does not read and the write buffer is full.
        """
        if self._write_buffer or self._write_in_progress or self.closed.is_set():
            self._queue_frames(frames)
            return
        try:
            sent = self._tcp.send_now(frames)
        except (OSError, trio.BrokenResourceError) as exc:
            # What the peer sent before may still be read; then the reader closes.
            if self._nursery is None:
                self.close()
            raise PeerError(f"connection to the peer broke: {exc}") from exc
        self.bytes_sent += sent
        self._last_sent_at = trio.current_time()
        if sent < len(frames):
            self._queue_frames(frames[sent:])

    def _queue_frames(self, frames: bytes) -> None:
        if self.closed.is_set():
            raise PeerError("connection to the peer closed")
        self._write_buffer += frames
        if len(self._write_buffer) > MAX_PENDING_WRITE_BYTES:
            self.close()
            raise PeerError("peer does not read: the write buffer is full")
        self._write_ready.set()

    async def _write_frames(self) -> None:
        while True:
            if not self._write_buffer:
                self._write_ready = trio.Event()
                await self._write_ready.wait()
            data, self._write_buffer = self._write_buffer, bytearray()
            self.bytes_sent += len(data)
            self._last_sent_at = trio.current_time()
            self._write_in_progress = True
            await self._tcp.send(data)
            self._write_in_progress = False

    async def _read_frames(self) -> None:
        for frame in self._early_frames:
            self._handle_received_frame(*frame)
        while True:
            data = await self._tcp.receive(RECEIVE_BYTES)
            if not data:
                return
            self._last_received_at = trio.current_time()
            self.bytes_received += len(data)
            for kind, number, body in self._decoder.feed(data):
                self._handle_received_frame(kind, number, body)

    def _handle_received_frame(self, kind: int, number: int, body: bytes) -> None:
        try:
            self._handle_frame(kind, number, body)
        except DECODE_ERRORS as exc:
            raise PeerError(
                f"frame of kind {kind} is malformed: {exc}", ResultCode.PEER_PROTOCOL
            ) from exc

    def _handle_frame(self, kind: int, number: int, body: bytes) -> None:
        if kind in _STREAM_KINDS:
            self._handle_stream_frame(kind, number, body)
        elif kind == FrameKind.HEARTBEAT:
            self._clock.observe(_STAMP.unpack(body)[0])
        elif kind == FrameKind.LOST:
            self.lost.set()
        elif kind in (FrameKind.RESPONSE, FrameKind.FAILURE):
            pending = self._pending_calls.get(number)
            if pending is not None:
                pending.handle_response(kind, body)
        elif kind in (FrameKind.CALL, FrameKind.NOTIFY):
            assert self._nursery is not None
            self._nursery.start_soon(self._serve_call, kind, number, body)
        else:
            raise PeerError(f"frame of unknown kind {kind}", ResultCode.PEER_PROTOCOL)

    def _handle_stream_frame(self, kind: int, number: int, body: bytes) -> None:
        stream = self._streams.get(number)
        if stream is not None:
            stream.handle_frame(kind, body)
            return
        opened_by_peer = number % 2 == (0 if self.is_initiator else 1)
        if kind != FrameKind.OPEN or not opened_by_peer:
            return
        stream = Stream(self, number, body)
        self._streams[number] = stream
        assert self._nursery is not None
        self._nursery.start_soon(self._serve_stream, stream)

    async def _serve_stream(self, stream: Stream) -> None:
        try:
            if self._handlers.stream_handler is None:
                stream.reset(ResultCode.PEER_PROTOCOL)
                return
            await self._handlers.stream_handler(stream)
        except PeerError:
            pass
        except DECODE_ERRORS:
            if self.is_connected:
                stream.reset(ResultCode.PEER_PROTOCOL)
        except Exception as exc:
            self._close_after_failure(exc)
        finally:
            self.remove_stream(stream)

    def _close_after_failure(self, exc: Exception) -> None:
        """Close the link after an unexpected error of a handler, which is reported.

        The error would otherwise end the process, with the requests of all links.
        """
        self._handlers.report_failure(exc)
        self.close()

    async def _serve_call(self, kind: int, number: int, body: bytes) -> None:
        try:
            response = await self._handle_call(body)
        except MarigoldchuteError as exc:
            if kind == FrameKind.CALL and self.is_connected:
                failure = FAILURE_CODE.pack(exc.code) + exc.message.encode()
                self.send_frame(FrameKind.FAILURE, number, failure)
            return
        except Exception as exc:
            self._close_after_failure(exc)
            return
        if kind == FrameKind.CALL and self.is_connected:
            self.send_frame(FrameKind.RESPONSE, number, response)

    async def _handle_call(self, body: bytes) -> bytes:
        try:
            (method,) = _CALL_HEADER.unpack_from(body)
            handler = self._handlers.find(method)
            if handler is None:
                raise PeerError(f"method {method} is unknown", ResultCode.PEER_PROTOCOL)
            return await handler(self, body[_CALL_HEADER.size :])
        except DECODE_ERRORS as exc:
            raise PeerError(
                f"call is malformed: {exc}", ResultCode.PEER_PROTOCOL
            ) from exc
