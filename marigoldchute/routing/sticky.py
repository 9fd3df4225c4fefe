"""Sticky assignment of requests to a release by a header value."""

from __future__ import annotations

import hashlib


def sticky_point(move_id: str, value: bytes) -> float:
    """Return the point in [0, 1) that a sticky header's value hashes to.

    A request goes to the new release if its point is below the share, so a value that
    is assigned to the new release keeps it as the share grows.
    """
    digest = hashlib.blake2b(value, digest_size=8, key=move_id.encode()[:64]).digest()
    return int.from_bytes(digest, "big") / 2**64
