"""Fetching the chunks of a manifest, from peers first and from the store last."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.distribution.keys import chunk_key
from marigoldchute.errors import PeerError, PlatformError
from marigoldchute.link.methods import Method

if TYPE_CHECKING:
    import random

    from marigoldchute.bundle.model import Manifest
    from marigoldchute.distribution.chunks import ChunkCache
    from marigoldchute.distribution.peer_versions import PeerVersions
    from marigoldchute.distribution.transfer import TransferPolicy
    from marigoldchute.events import EventLog
    from marigoldchute.link.link import Link
    from marigoldchute.membership.service import Membership
    from marigoldchute.objectstore.api import ObjectStore
    from marigoldchute.overlay.overlay import Overlay

MAX_CONCURRENT_FETCHES = 8
SAME_REGION_TIMEOUT_S = 1.0
OTHER_REGION_TIMEOUT_S = 3.0
ASK_ALL_NEIGHBOURS_DELAY_S = 1.0


class ChunkFetcher:
    """Fetches the chunks of a manifest into the cache, with limited concurrency."""

    def __init__(
        self,
        membership: Membership,
        overlay: Overlay,
        store: ObjectStore,
        cache: ChunkCache,
        peer_versions: PeerVersions,
        policy: TransferPolicy,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._overlay = overlay
        self._store = store
        self._cache = cache
        self._peer_versions = peer_versions
        self._policy = policy
        self._log = log
        self._rng = rng

    async def fetch(self, manifest: Manifest, waited_s: float) -> bool:
        """Try each source that is allowed after this waiting time once.

        Parameters
        ----------
        manifest : Manifest
            Verified manifest.
        waited_s : float
            Seconds since the manifest was received.

        Returns
        -------
        bool
            Whether every chunk is in the cache.
        """
        links = self._select_links(manifest.version, waited_s)
        if links:
            await self._fetch_all(manifest, links, from_store=False)
        store_delay_s = self._policy.store_delay_s()
        store_is_allowed = store_delay_s is not None and waited_s >= store_delay_s
        if store_is_allowed and self._cache.missing(manifest.chunks):
            await self._fetch_all(manifest, [], from_store=True)
        return not self._cache.missing(manifest.chunks)

    def _select_links(self, version: int, waited_s: float) -> list[Link]:
        if not self._policy.uses_peers:
            return []
        links = self._peer_versions.links_with_version(version)
        if not links and waited_s >= ASK_ALL_NEIGHBOURS_DELAY_S:
            links = self._overlay.neighbours()
        local = self._membership.local
        other_regions_allowed = waited_s >= self._policy.other_region_delay_s()
        links = [
            link
            for link in links
            if other_regions_allowed or link.peer.region == local.region
        ]
        self._rng.shuffle(links)
        return sorted(
            links,
            key=lambda link: (
                link.peer.region != local.region,
                link.peer.data_centre != local.data_centre,
            ),
        )

    async def _fetch_all(
        self, manifest: Manifest, links: list[Link], from_store: bool
    ) -> None:
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_FETCHES)

        async def fetch(digest: str) -> None:
            async with limiter:
                if from_store:
                    await self._fetch_from_store(digest)
                else:
                    await self._fetch_from_peers(digest, links)

        async with trio.open_nursery() as nursery:
            for digest in self._cache.missing(manifest.chunks):
                nursery.start_soon(fetch, digest)

    async def _fetch_from_peers(self, digest: str, links: list[Link]) -> None:
        for link in links:
            is_same_region = link.peer.region == self._membership.local.region
            timeout_s = (
                SAME_REGION_TIMEOUT_S if is_same_region else OTHER_REGION_TIMEOUT_S
            )
            try:
                chunk = await link.call(Method.GET_CHUNK, digest.encode(), timeout_s)
            except PeerError:
                continue
            if self._cache.add(digest, chunk):
                return
            self._peer_versions.forget(link.peer.name)
            self._log_digest_mismatch(digest, link.peer.name)

    async def _fetch_from_store(self, digest: str) -> None:
        try:
            stored = await self._store.get(chunk_key(digest))
        except PlatformError:
            return
        if not self._cache.add(digest, stored.value):
            self._log_digest_mismatch(digest, "store")

    def _log_digest_mismatch(self, digest: str, source: str) -> None:
        self._log.emit(
            "distribution",
            "chunk_altered",
            f"Discarded chunk {digest[:12]} from {source}: its digest does not match.",
            chunk=digest,
            source=source,
        )
