"""Encoding and decoding of the frames on a connection between nodes.

A frame consists of a nine-byte header and a body. The header holds the body
length (4 bytes), the kind (1 byte) and the stream number (4 bytes), all big-endian.
Stream 0 belongs to the connection itself.
"""

from __future__ import annotations

import enum
import struct

from marigoldchute.errors import PeerError, ResultCode

HEADER = struct.Struct(">IBI")
MAX_BODY_BYTES = 2_000_000


class FrameKind(enum.IntEnum):
    """Kind of a frame, which determines the meaning of its body."""

    HELLO = 1
    HEARTBEAT = 2
    CALL = 3
    RESPONSE = 4
    FAILURE = 5
    NOTIFY = 6
    OPEN = 7
    DATA = 8
    END = 9
    RESET = 10
    CREDIT = 11
    # The sender has given up the connection and keeps it for its open streams only.
    LOST = 12


def encode_frame(kind: int, stream: int, body: bytes) -> bytes:
    """Return the encoded bytes of one frame."""
    return HEADER.pack(len(body), kind, stream) + body


class FrameDecoder:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray) -> list[tuple[int, int, bytes]]:
        """Add received bytes and return the frames that are now complete.

        Parameters
        ----------
        data : bytes
            Received bytes.

        Returns
        -------
        list of (int, int, bytes)
            Kind, stream number and body of each frame.

        Raises
        ------
        PeerError
            A header announces a body larger than ``MAX_BODY_BYTES``.
        """
        buffer = self._buffer
        buffer += data
        frames: list[tuple[int, int, bytes]] = []
        start = 0
        available = len(buffer)
        while available - start >= HEADER.size:
            length, kind, stream = HEADER.unpack_from(buffer, start)
            if length > MAX_BODY_BYTES:
                raise PeerError(
                    f"frame of {length} bytes is too large", ResultCode.PEER_PROTOCOL
                )
            end = start + HEADER.size + length
            if end > available:
                break
            frames.append((kind, stream, bytes(buffer[start + HEADER.size : end])))
            start = end
        if start:
            del buffer[:start]
        return frames
