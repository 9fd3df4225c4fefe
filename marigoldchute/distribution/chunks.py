"""Cache of verified chunks, and the handler that serves them to peers."""

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

MAX_CACHED_MANIFESTS = 2
MAX_CONCURRENT_RESPONSES = 16
DRAIN_POLL_INTERVAL_S = 0.02
DRAIN_TIMEOUT_S = 2.0


class ChunkCache:
    """Verified chunks, keyed by digest.

    The chunks of the last ``MAX_CACHED_MANIFESTS`` bundles in force are retained, so
    that peers that are one version behind can still fetch theirs.
    """

    def __init__(self) -> None:
        self._chunks: dict[str, bytes] = {}
        self._recent_digests: list[frozenset[str]] = []

    def __contains__(self, digest: str) -> bool:
        return digest in self._chunks

    @property
    def chunks(self) -> Mapping[str, bytes]:
        """All cached chunks, keyed by digest."""
        return self._chunks

    def add(self, digest: str, chunk: bytes) -> bool:
        """Add a chunk; return False when it does not match the digest."""
        if chunk_digest(chunk) != digest:
            return False
        self._chunks[digest] = chunk
        return True

    def missing(self, digests: Iterable[str]) -> list[str]:
        """Return the distinct digests whose chunks are not cached."""
        return [d for d in dict.fromkeys(digests) if d not in self._chunks]

    def evict_unused(self, manifest: Manifest) -> None:
        """Evict the chunks that neither this nor the previous manifest lists."""
        self._recent_digests.append(frozenset(manifest.chunks))
        del self._recent_digests[:-MAX_CACHED_MANIFESTS]
        retained = frozenset().union(*self._recent_digests)
        self._chunks = {d: c for d, c in self._chunks.items() if d in retained}


class ChunkServer:
    """Serves chunks to peers, with a limit on concurrent responses.

    A peer that is refused with ``PEER_BUSY`` tries another one, so many nodes that join
    at the same time spread over all members that have the bundle.
    """

    def __init__(self, cache: ChunkCache, handlers: Handlers) -> None:
        self._cache = cache
        self._active_count = 0
        self.refused_count = 0
        handlers.register(Method.GET_CHUNK, self._handle_get_chunk)

    async def _handle_get_chunk(self, link: Link, body: bytes) -> bytes:
        chunk = self._cache.chunks.get(body.decode(errors="replace"))
        if chunk is None:
            raise PeerError(
                "this node does not have the chunk", ResultCode.BUNDLE_CHUNK_MISSING
            )
        if self._active_count >= MAX_CONCURRENT_RESPONSES:
            self.refused_count += 1
            raise PeerError(
                "too many chunk requests are in progress", ResultCode.PEER_BUSY
            )
        self._active_count += 1
        try:
            await self._wait_for_drain(link)
        finally:
            self._active_count -= 1
        return chunk

    async def _wait_for_drain(self, link: Link) -> None:
        """Wait until earlier responses are sent, so that few are queued on a link."""
        with trio.move_on_after(DRAIN_TIMEOUT_S):
            while link.is_open and link.pending_bytes > 0:
                await trio.sleep(DRAIN_POLL_INTERVAL_S)
