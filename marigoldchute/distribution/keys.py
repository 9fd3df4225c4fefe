"""Keys of distributed objects in the store and in the record table."""

from __future__ import annotations

NEWEST_MANIFEST_KEY = "head"
BUNDLE_PREFIX = "bundles/"
CHUNK_PREFIX = "chunks/"


def bundle_key(version: int) -> str:
    """Return the store key of a bundle version."""
    return f"{BUNDLE_PREFIX}{version:010d}"


def chunk_key(digest: str) -> str:
    """Return the store key of a chunk."""
    return CHUNK_PREFIX + digest
