"""Digests of customers' keys, which nodes hold in place of the keys."""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 16
# All nodes of a mesh must compute the same digest, so the key of the hash is fixed. It
# only separates these digests from those of other uses.
_HASH_KEY = b"marigoldchute customer key"


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a customer's key is known, ``DIGEST_BYTES`` long."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_HASH_KEY).digest()
