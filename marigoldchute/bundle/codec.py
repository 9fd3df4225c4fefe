"""Encoding of bundles as content-addressed chunks.

A chunk contains one service with its routes and moves, so a change to one service
replaces one chunk. The routes of a large service are divided by the hashes of their
names, so a change to one route still replaces only one chunk.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.bundle.limits import (
    MAX_CHUNK_BYTES,
    MAX_CHUNKS,
    MAX_CONTENT_BYTES,
    MAX_MANIFEST_BYTES,
    check_count,
    check_size,
)
from marigoldchute.bundle.model import BundleContent, Manifest
from marigoldchute.errors import BundleError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from marigoldchute.bundle.model import Route

NAME_HASH_BITS = 64
DIGEST_BYTES = 32

_CONTENT = msgspec.msgpack.Decoder(BundleContent)
_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


class _PackedManifest(msgspec.Struct, frozen=True, array_like=True):
    """``Manifest`` with binary digests, which halves the bytes sent at each change."""

    version: int
    chunks: bytes
    digest: bytes
    key_id: str
    signature: bytes
    author: str
    token: str


_MANIFEST = msgspec.msgpack.Decoder(_PackedManifest)


def chunk_digest(chunk: bytes) -> str:
    """Return the SHA-256 of a chunk in hexadecimal."""
    return hashlib.sha256(chunk).hexdigest()


def split_content(content: BundleContent) -> list[bytes]:
    """Encode content as chunks of at most ``MAX_CHUNK_BYTES``, in service order.

    The chunks depend on the items of the content and not on their order. Routes and
    moves of services that are missing in the content are encoded as last chunks, so
    that validation can report them. Chunks do not contain the caller limits.
    """
    names = sorted({service.name for service in content.services})
    parts = [_service_part(content, name) for name in names]
    service_names = set(names)
    unassigned = BundleContent(
        services=(),
        routes=_sorted_routes(
            r for r in content.routes if r.service not in service_names
        ),
        moves=tuple(m for m in content.moves if m.service not in service_names),
    )
    if unassigned.routes or unassigned.moves:
        parts.append(unassigned)
    return [chunk for part in parts for chunk in _encode_part(part)]


def _service_part(content: BundleContent, name: str) -> BundleContent:
    return BundleContent(
        services=tuple(s for s in content.services if s.name == name),
        routes=_sorted_routes(r for r in content.routes if r.service == name),
        moves=tuple(m for m in content.moves if m.service == name),
    )


def _sorted_routes(routes: Iterable[Route]) -> tuple[Route, ...]:
    return tuple(sorted(routes, key=lambda route: (route.name, route.path_prefix)))


def _encode_part(part: BundleContent) -> list[bytes]:
    encoded = _ENCODER.encode(part)
    if len(encoded) <= MAX_CHUNK_BYTES or len(part.routes) < 2:
        return [encoded]
    without_routes = BundleContent(part.services, (), part.moves)
    return [_ENCODER.encode(without_routes), *_encode_routes(part.routes, 0)]


def _encode_routes(routes: tuple[Route, ...], depth: int) -> list[bytes]:
    encoded = _ENCODER.encode(BundleContent((), routes))
    if len(encoded) <= MAX_CHUNK_BYTES or depth == NAME_HASH_BITS:
        return [encoded]
    halves: tuple[list[Route], list[Route]] = ([], [])
    for route in routes:
        halves[_name_hash(route.name) >> depth & 1].append(route)
    return [
        chunk
        for half in halves
        if half
        for chunk in _encode_routes(tuple(half), depth + 1)
    ]


def _name_hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=NAME_HASH_BITS // 8).digest()
    return int.from_bytes(digest, "big")


def join_chunks(chunks: Iterable[bytes]) -> BundleContent:
    """Decode and join chunks.

    Raises
    ------
    BundleError
        A chunk is malformed.
    """
    try:
        parts = [_CONTENT.decode(chunk) for chunk in chunks]
    except (msgspec.DecodeError, RecursionError) as exc:
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
        A chunk is missing, malformed or does not match its digest, or the content is
        too large.
    """
    check_count("manifest's chunks", len(manifest.chunks), MAX_CHUNKS)
    ordered_chunks: list[bytes] = []
    for digest in manifest.chunks:
        chunk = chunks.get(digest)
        if chunk is None:
            raise BundleError(
                f"chunk {digest[:12]} is missing", ResultCode.BUNDLE_CHUNK_MISSING
            )
        if chunk_digest(chunk) != digest:
            raise BundleError(
                f"chunk {digest[:12]} does not match its digest",
                ResultCode.BUNDLE_DIGEST_MISMATCH,
            )
        check_size(f"chunk {digest[:12]}", len(chunk), MAX_CHUNK_BYTES)
        ordered_chunks.append(chunk)
    check_size("bundle", sum(map(len, ordered_chunks)), MAX_CONTENT_BYTES)
    return join_chunks(ordered_chunks)


def manifest_digest(
    version: int, chunks: Sequence[str], author: str, token: str
) -> str:
    """Return the SHA-256 of all fields that a signature covers, in hexadecimal."""
    signed_fields = ("marigoldchute bundle", version, tuple(chunks), author, token)
    return hashlib.sha256(_ENCODER.encode(signed_fields)).hexdigest()


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest for the store and for peers."""
    packed = _PackedManifest(
        manifest.version,
        b"".join(bytes.fromhex(digest) for digest in manifest.chunks),
        bytes.fromhex(manifest.digest),
        manifest.key_id,
        manifest.signature,
        manifest.author,
        manifest.token,
    )
    return _ENCODER.encode(packed)


def decode_manifest(body: bytes) -> Manifest:
    """Decode a manifest.

    Raises
    ------
    BundleError
        The bytes are too many, or not a manifest.
    """
    check_size("manifest", len(body), MAX_MANIFEST_BYTES)
    try:
        packed = _MANIFEST.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise BundleError(f"manifest is malformed: {exc}") from exc
    if len(packed.chunks) % DIGEST_BYTES:
        raise BundleError("manifest is malformed: the last digest is incomplete")
    digests = tuple(
        packed.chunks[start : start + DIGEST_BYTES].hex()
        for start in range(0, len(packed.chunks), DIGEST_BYTES)
    )
    return Manifest(
        packed.version,
        digests,
        packed.digest.hex(),
        packed.key_id,
        packed.signature,
        packed.author,
        packed.token,
    )
