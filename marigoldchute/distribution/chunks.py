"""Chunks that this node holds, and how it serves them to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.bundle.codec import chunk_digest
from marigoldchute.errors import PeerError, ResultCode
from marigoldchute.link.methods import Method

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from marigoldchute.bundle.model import Manifest
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link

KEPT_MANIFESTS = 2
MAX_SERVED_AT_ONCE = 16
DRAIN_POLL_S = 0.02
MAX_DRAIN_S = 2.0


class ChunkCache:
    """Verified chunks by digest.

    The chunks of the last ``KEPT_MANIFESTS`` bundles in force are kept, so that peers
    that are one change behind still find theirs.
    """

    def __init__(self) -> None:
        self._chunks: dict[str, bytes] = {}
        self._in_use: list[frozenset[str]] = []

    def __contains__(self, digest: str) -> bool:
        return digest in self._chunks

    @property
    def chunks(self) -> Mapping[str, bytes]:
        """Every chunk by digest."""
        return self._chunks

    def add(self, digest: str, chunk: bytes) -> bool:
        """Keep a chunk; False when it is not the one that the digest names."""
        if chunk_digest(chunk) != digest:
            return False
        self._chunks[digest] = chunk
        return True

    def missing(self, digests: Iterable[str]) -> list[str]:
        """Return the digests, each once, whose chunks are not held."""
        return [d for d in dict.fromkeys(digests) if d not in self._chunks]

    def keep_only(self, manifest: Manifest) -> None:
        """Drop the chunks that neither this manifest nor the last ones name."""
        self._in_use.append(frozenset(manifest.chunks))
        del self._in_use[:-KEPT_MANIFESTS]
        wanted = frozenset().union(*self._in_use)
        self._chunks = {d: c for d, c in self._chunks.items() if d in wanted}


class ChunkServer:
    """Answers peers' requests for chunks, a bounded number at once.

    A peer that is refused with ``PEER_BUSY`` asks another one, so a herd of joining
    nodes spreads over all that hold the bundle.
    """

    def __init__(self, cache: ChunkCache, handlers: Handlers) -> None:
        self._cache = cache
        self._serving = 0
        self.refused = 0
        handlers.register(Method.GET_CHUNK, self._get_chunk)

    async def _get_chunk(self, link: Link, body: bytes) -> bytes:
        chunk = self._cache.chunks.get(body.decode(errors="replace"))
        if chunk is None:
            raise PeerError("chunk is not here", ResultCode.BUNDLE_CHUNK_MISSING)
        if self._serving >= MAX_SERVED_AT_ONCE:
            self.refused += 1
            raise PeerError("too many peers want chunks", ResultCode.PEER_BUSY)
        self._serving += 1
        try:
            await self._wait_drained(link)
        finally:
            self._serving -= 1
        return chunk

    async def _wait_drained(self, link: Link) -> None:
        """Wait until earlier answers have left, so that few are queued at once."""
        with trio.move_on_after(MAX_DRAIN_S):
            while link.alive and link.pending_bytes > 0:
                await trio.sleep(DRAIN_POLL_S)
