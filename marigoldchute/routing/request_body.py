"""Body of a caller's request, which a retry can send again while it is short."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.link.stream import MAX_DATA_BYTES, WINDOW_BYTES

if TYPE_CHECKING:
    from marigoldchute.routing.http_request import HttpRequest

# An owner that has not admitted a request gives no credit beyond the window, so a
# refused upload can always be sent again.
REPLAY_BYTES = WINDOW_BYTES + MAX_DATA_BYTES


class RequestBody:
    """Reads a body once and keeps its beginning.

    Parameters
    ----------
    req : HttpRequest
        Request that the body belongs to.
    """

    def __init__(self, req: HttpRequest) -> None:
        self._req = req
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._position = 0
        self.rewindable = True

    def rewind(self) -> None:
        """Begin again at the first byte."""
        self._position = 0

    def take_whole(self) -> bytes | None:
        """Return the whole body if it has arrived and fits one frame, else None."""
        req = self._req
        if not req.has_body:
            return b""
        if not req.complete or not self.rewindable or self._position:
            return None
        while req.chunks:
            self._keep(req.chunks.pop(0))
        if not self.rewindable or self._kept_bytes > MAX_DATA_BYTES:
            return None
        self._position = len(self._kept)
        return self._kept[0] if len(self._kept) == 1 else b"".join(self._kept)

    async def receive(self) -> bytes | None:
        """Return the next piece, or None at the whole end.

        Raises
        ------
        RequestError
            The caller closed the connection, sent a malformed body or stopped sending.
        """
        if self._position < len(self._kept):
            piece = self._kept[self._position]
            self._position += 1
            return piece
        data = await self._req.receive()
        if data is not None and self.rewindable:
            self._keep(data)
            self._position = len(self._kept)
        return data

    def _keep(self, data: bytes) -> None:
        self._kept.append(data)
        self._kept_bytes += len(data)
        if self._kept_bytes > REPLAY_BYTES:
            self.rewindable = False
