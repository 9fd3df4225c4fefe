"""State of a call to a peer that waits for its response."""

from __future__ import annotations

import struct

import trio

from marigoldchute.errors import PeerError, ResultCode
from marigoldchute.link.frames import FrameKind

FAILURE_CODE = struct.Struct(">I")


class PendingCall:
    """Call that waits for its response."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self._response: bytes | None = None
        self._error: PeerError | None = None

    def handle_response(self, kind: int, body: bytes) -> None:
        """Store the peer's response or failure and wake up the waiting task."""
        if kind == FrameKind.RESPONSE:
            self._response = body
        else:
            code = ResultCode(FAILURE_CODE.unpack_from(body)[0])
            self._error = PeerError(body[FAILURE_CODE.size :].decode(), code)
        self.done.set()

    def fail(self, code: ResultCode, message: str) -> None:
        """Record that no response will arrive and wake up the waiting task."""
        self._error = PeerError(message, code)
        self.done.set()

    def result(self) -> bytes:
        """Return the response.

        Raises
        ------
        PeerError
            The call failed, or no response has arrived.
        """
        if self._error is not None:
            # Raising the stored error would be a reference cycle through this frame.
            raise PeerError(self._error.message, self._error.code)
        if self._response is None:
            raise PeerError("peer did not respond in time", ResultCode.PEER_TIMEOUT)
        return self._response
