"""Requests that keep to a release by the value of a header."""

from __future__ import annotations

import hashlib


def sticky_point(move_id: str, value: bytes) -> float:
    """Return the fixed point in [0, 1) of a sticky header's value.

    A request takes the new release while its point is below the share, so a value
    that has moved stays moved as the share grows.
    """
    digest = hashlib.blake2b(value, digest_size=8, key=move_id.encode()[:64]).digest()
    return int.from_bytes(digest, "big") / 2**64
