"""Replication of bundles from the platform's store or from peers to this node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.bundle.codec import assemble, decode_manifest, encode_manifest
from marigoldchute.bundle.model import Bundle
from marigoldchute.bundle.validation import validate_content
from marigoldchute.config import DistributionMode
from marigoldchute.distribution.audit import audit_fields
from marigoldchute.distribution.chunks import ChunkCache, ChunkServer
from marigoldchute.distribution.fetch import ChunkFetcher
from marigoldchute.distribution.initial_sync import InitialSync
from marigoldchute.distribution.keys import NEWEST_MANIFEST_KEY
from marigoldchute.distribution.peer_versions import PeerVersions
from marigoldchute.distribution.reader import StoreReader
from marigoldchute.distribution.transfer import RankedPolicy, StoreOnlyPolicy
from marigoldchute.errors import BundleError, MarigoldchuteError
from marigoldchute.overlay.duties import READER
from marigoldchute.overlay.records import Record, RecordKind

if TYPE_CHECKING:
    import random

    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.bundle.model import Manifest
    from marigoldchute.bundle.signing import SignatureVerifier
    from marigoldchute.events import EventLog
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.membership.service import Membership
    from marigoldchute.objectstore.api import ObjectStore
    from marigoldchute.overlay.overlay import Overlay
    from marigoldchute.overlay.records import RecordTable

RETRY_INTERVAL_S = 0.25
MAX_REFUSED_BODY_HASHES = 1000


class Replicator:
    """Tracks the newest verified manifest and brings its bundle into force.

    The reader of each data centre watches the store; every other member receives new
    manifests over the overlay. No bundle comes into force before this node is
    synchronized with its peers, and never one with a version lower than the one in
    force.
    """

    def __init__(
        self,
        membership: Membership,
        overlay: Overlay,
        table: RecordTable,
        store: ObjectStore,
        verifier: SignatureVerifier,
        in_force: InForce,
        handlers: Handlers,
        log: EventLog,
        rng: random.Random,
        mode: DistributionMode = DistributionMode.RELAYED,
    ) -> None:
        self._is_direct = mode is DistributionMode.DIRECT
        self._membership = membership
        self._table = table
        self._verifier = verifier
        self._in_force = in_force
        self._log = log
        self._rng = rng
        self._changed = trio.Event()
        self._newest: Manifest | None = None
        self._newest_received_at = 0.0
        self._refused_digests: set[str] = set()
        self._refused_body_hashes: set[int] = set()
        self._cache = ChunkCache()
        ChunkServer(self._cache, handlers)
        self._initial_sync = InitialSync(
            overlay,
            handlers,
            self._newest_manifest_body,
            self._receive_manifest,
            lambda: len(membership.all()),
        )
        self._reader = StoreReader(
            store,
            lambda: self.is_reader,
            self._receive_manifest,
            self._initial_sync.record_store_read,
            log,
            rng,
        )
        self._fetcher = ChunkFetcher(
            membership,
            overlay,
            store,
            self._cache,
            PeerVersions(overlay, in_force, handlers, self._signal_change),
            StoreOnlyPolicy() if self._is_direct else RankedPolicy(membership),
            log,
            rng,
        )
        table.register_validator(RecordKind.BUNDLE, self._is_valid_record)
        table.subscribe(RecordKind.BUNDLE, self._apply_record)

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store for its data centre."""
        if self._is_direct:
            return True
        local = self._membership.local
        return self._membership.duties.is_held_here(READER, local.data_centre)

    @property
    def newest_manifest(self) -> Manifest | None:
        """Verified manifest with the highest version received."""
        return self._newest

    @property
    def newest_version(self) -> int:
        """Highest version for which a verified manifest was received."""
        return self._newest.version if self._newest is not None else 0

    @property
    def newest_is_refused(self) -> bool:
        """Whether the newest manifest is verified but its bundle was found invalid."""
        return self._newest is not None and self._newest.digest in self._refused_digests

    async def run(self) -> None:
        """Replicate bundles until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._synchronize)
            nursery.start_soon(self._fetch_and_apply)
            nursery.start_soon(self._reader.run)

    def chunks_to_write(self, chunks: dict[str, bytes]) -> dict[str, bytes]:
        """Return the chunks that may be missing in the store.

        The chunks of an accepted manifest are in the store, because they are written
        before the manifest.
        """
        stored_digests = set(self._newest.chunks) if self._newest is not None else set()
        return {d: chunk for d, chunk in chunks.items() if d not in stored_digests}

    def publish(self, manifest: Manifest, chunks: dict[str, bytes]) -> None:
        """Distribute a bundle that this node has just written to the store."""
        for digest, chunk in chunks.items():
            self._cache.add(digest, chunk)
        self._receive_manifest(encode_manifest(manifest))

    def _signal_change(self) -> None:
        self._changed.set()

    async def _synchronize(self) -> None:
        await self._initial_sync.run()
        self._signal_change()

    def _newest_manifest_body(self) -> bytes:
        record = self._table.get(RecordKind.BUNDLE, NEWEST_MANIFEST_KEY)
        return record.body if record is not None else b""

    def _receive_manifest(self, body: bytes) -> None:
        try:
            version = decode_manifest(body).version
        except BundleError as exc:
            self._log_refusal(exc, 0, body)
            return
        record = Record(RecordKind.BUNDLE, NEWEST_MANIFEST_KEY, (version, 0), body)
        if not self._is_direct:
            self._table.apply(record)
        elif self._is_valid_record(record):
            self._apply_record(record)

    def _is_valid_record(self, record: Record) -> bool:
        try:
            manifest = decode_manifest(record.body)
            self._verifier.verify(manifest)
        except BundleError as exc:
            self._log_refusal(exc, record.rank[0], record.body)
            return False
        is_consistent = record.key == NEWEST_MANIFEST_KEY and record.rank == (
            manifest.version,
            0,
        )
        return is_consistent and manifest.version > self.newest_version

    def _apply_record(self, record: Record) -> None:
        self._newest = decode_manifest(record.body)
        self._newest_received_at = trio.current_time()
        self._signal_change()

    def _log_refusal(self, exc: MarigoldchuteError, version: int, body: bytes) -> None:
        if hash(body) in self._refused_body_hashes:
            return  # Peers may send the same bytes in every exchange; log them once.
        if len(self._refused_body_hashes) >= MAX_REFUSED_BODY_HASHES:
            self._refused_body_hashes.clear()
        self._refused_body_hashes.add(hash(body))
        self._log.emit(
            "distribution",
            "refused",
            f"Version {version} is refused: {exc.message}.",
            version=version,
            code=exc.code.value,
        )

    async def _fetch_and_apply(self) -> None:
        while True:
            changed = self._changed = trio.Event()
            manifest = self._pending_manifest()
            if manifest is None:
                await changed.wait()
                continue
            waited_s = trio.current_time() - self._newest_received_at
            if await self._fetcher.fetch(manifest, waited_s):
                self._bring_into_force(manifest)
                continue
            with trio.move_on_after(RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.5)):
                await changed.wait()

    def _pending_manifest(self) -> Manifest | None:
        newest = self._newest
        if newest is None or not self._initial_sync.synchronized.is_set():
            return None
        if newest.version <= self._in_force.version or self.newest_is_refused:
            return None
        return newest

    def _bring_into_force(self, manifest: Manifest) -> None:
        try:
            content = assemble(manifest, self._cache.chunks)
            validate_content(content)
        except MarigoldchuteError as exc:
            self._refused_digests.add(manifest.digest)
            self._log_refusal(exc, manifest.version, manifest.digest.encode())
            return
        bundle = Bundle(manifest, content)
        if not self._in_force.swap(bundle):
            return
        self._cache.evict_unused(manifest)
        self._log.emit(
            "distribution",
            "in_force",
            f"Version {manifest.version} is in force.",
            **audit_fields(bundle),
        )
