"""A call to a peer that waits for its reply."""

from __future__ import annotations

import struct

import trio

from marigoldchute.errors import PeerError, ResultCode
from marigoldchute.link.frames import FrameKind

FAILURE_CODE = struct.Struct(">I")


class PendingReply:
    """A call that waits for its reply."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self._reply: bytes | None = None
        self._error: PeerError | None = None

    def take(self, kind: int, body: bytes) -> None:
        """Take the peer's reply or failure."""
        if kind == FrameKind.REPLY:
            self._reply = body
        else:
            code = ResultCode(FAILURE_CODE.unpack_from(body)[0])
            self._error = PeerError(body[FAILURE_CODE.size :].decode(), code)
        self.done.set()

    def fail(self, code: ResultCode, message: str) -> None:
        """Take note that no reply will come."""
        self._error = PeerError(message, code)
        self.done.set()

    def result(self) -> bytes:
        """Return the reply.

        Raises
        ------
        PeerError
            The call failed, or no reply has come.
        """
        if self._error is not None:
            raise self._error
        if self._reply is None:
            raise PeerError("peer did not reply in time", ResultCode.PEER_TIMEOUT)
        return self._reply
