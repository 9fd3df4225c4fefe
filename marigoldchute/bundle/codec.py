"""Encoding of bundles as content-addressed chunks.

A chunk holds one service with its routes and moves, so a change to one service moves
one chunk.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.bundle.model import BundleContent, Manifest
from marigoldchute.errors import BundleError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

_CONTENT = msgspec.msgpack.Decoder(BundleContent)
_MANIFEST = msgspec.msgpack.Decoder(Manifest)
_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


def chunk_digest(chunk: bytes) -> str:
    """Return the SHA-256 of a chunk in hexadecimal."""
    return hashlib.sha256(chunk).hexdigest()


def split_content(content: BundleContent) -> list[bytes]:
    """Encode content as chunks, one for each service, in name order.

    Routes and moves of services that the content lacks travel in a last chunk, so
    that validation can name them.
    """
    names = sorted({service.name for service in content.services})
    parts = [_part_of(content, name) for name in names]
    known = set(names)
    rest = BundleContent(
        services=(),
        routes=tuple(r for r in content.routes if r.service not in known),
        moves=tuple(m for m in content.moves if m.service not in known),
    )
    if rest.routes or rest.moves:
        parts.append(rest)
    return [_ENCODER.encode(part) for part in parts]


def _part_of(content: BundleContent, name: str) -> BundleContent:
    return BundleContent(
        services=tuple(s for s in content.services if s.name == name),
        routes=tuple(r for r in content.routes if r.service == name),
        moves=tuple(m for m in content.moves if m.service == name),
    )


def join_chunks(chunks: Iterable[bytes]) -> BundleContent:
    """Decode and join chunks.

    Raises
    ------
    BundleError
        A chunk is malformed.
    """
    try:
        parts = [_CONTENT.decode(chunk) for chunk in chunks]
    except msgspec.DecodeError as exc:
        raise BundleError(f"chunk is malformed: {exc}") from exc
    return BundleContent(
        services=tuple(item for part in parts for item in part.services),
        routes=tuple(item for part in parts for item in part.routes),
        moves=tuple(item for part in parts for item in part.moves),
    )


def assemble(manifest: Manifest, chunks: Mapping[str, bytes]) -> BundleContent:
    """Check the digest of every chunk of a manifest and decode the whole content.

    Parameters
    ----------
    manifest : Manifest
        Verified manifest.
    chunks : mapping of str to bytes
        Chunks by digest.

    Returns
    -------
    BundleContent
        Decoded content, not yet validated.

    Raises
    ------
    BundleError
        A chunk is missing, altered or malformed.
    """
    ordered: list[bytes] = []
    for digest in manifest.chunks:
        chunk = chunks.get(digest)
        if chunk is None:
            raise BundleError(
                f"chunk {digest[:12]} is missing", ResultCode.BUNDLE_CHUNK_MISSING
            )
        if chunk_digest(chunk) != digest:
            raise BundleError(
                f"chunk {digest[:12]} is altered", ResultCode.BUNDLE_DIGEST_MISMATCH
            )
        ordered.append(chunk)
    return join_chunks(ordered)


def manifest_digest(version: int, chunks: Sequence[str]) -> str:
    """Return the SHA-256 of a version and its chunk digests in hexadecimal."""
    text = "\n".join([f"marigoldchute bundle {version}", *chunks])
    return hashlib.sha256(text.encode()).hexdigest()


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest for the store and for peers."""
    return _ENCODER.encode(manifest)


def decode_manifest(body: bytes) -> Manifest:
    """Decode a manifest.

    Raises
    ------
    BundleError
        The bytes are not a manifest.
    """
    try:
        return _MANIFEST.decode(body)
    except msgspec.DecodeError as exc:
        raise BundleError(f"manifest is malformed: {exc}") from exc
