"""Lists of received pieces, of which small ones are joined."""

from __future__ import annotations

# Each piece takes about 41 bytes more than its content. Joining pieces up to this size
# limits that to one in a hundred, and the bytes that are copied per piece.
JOINED_BYTES = 4_096


def append_piece(pieces: list[bytes], data: bytes) -> None:
    """Append a piece, or join it with the last one if both are small."""
    if pieces and len(pieces[-1]) + len(data) <= JOINED_BYTES:
        pieces[-1] += data
    else:
        pieces.append(data)
