"""Body of a caller's request, buffered up to a limit for retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.link.stream import MAX_DATA_BYTES, WINDOW_BYTES
from marigoldchute.util.pieces import append_piece

if TYPE_CHECKING:
    from marigoldchute.routing.http_request import HttpRequest

# An owner grants no flow-control credit beyond the window before it admits a request,
# so a refused upload always fits into the buffer and can be sent again.
MAX_REPLAY_BYTES = WINDOW_BYTES + MAX_DATA_BYTES


class RequestBody:
    """Reads a body once and buffers its beginning for retries.

    Parameters
    ----------
    req : HttpRequest
        Request that the body belongs to.
    """

    def __init__(self, req: HttpRequest) -> None:
        self._req = req
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._position = 0
        self.read_bytes = 0  # Bytes that were read from the caller.
        self.is_rewindable = True

    def rewind(self) -> None:
        """Restart at the first byte."""
        self._position = 0

    def pop_complete_body(self) -> bytes | None:
        """Return the complete body if it has arrived and fits one frame, else None."""
        req = self._req
        if not req.has_body:
            return b""
        if not req.complete or not self.is_rewindable or self._position:
            return None
        while req.chunks:
            self._buffer(req.chunks.pop(0))
        if not self.is_rewindable or self._buffered_bytes > MAX_DATA_BYTES:
            return None
        self._position = len(self._buffered)
        return (
            self._buffered[0] if len(self._buffered) == 1 else b"".join(self._buffered)
        )

    async def receive(self) -> bytes | None:
        """Return the next piece, or None after the last one.

        Raises
        ------
        RequestError
            The caller closed the connection, sent a malformed body or stopped sending.
        """
        if self._position < len(self._buffered):
            piece = self._buffered[self._position]
            self._position += 1
            return piece
        data = await self._req.receive()
        if data is not None and self.is_rewindable:
            self._buffer(data)
            self._position = len(self._buffered)
        elif data is not None:
            self.read_bytes += len(data)
        return data

    def _buffer(self, data: bytes) -> None:
        append_piece(self._buffered, data)
        self.read_bytes += len(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_REPLAY_BYTES:
            self.is_rewindable = False
