"""Brings bundles from the platform's store, or from peers, into force on this node."""

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
from marigoldchute.distribution.holders import Holders
from marigoldchute.distribution.joining import Joiner
from marigoldchute.distribution.keys import HEAD_KEY
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

RETRY_S = 0.25
MAX_REMEMBERED_REFUSALS = 1000


class Replicator:
    """Follows the newest verified manifest and brings its bundle into force.

    The reader of each data centre watches the store; every other member learns of a
    new manifest over the overlay. Nothing comes into force before this node has
    settled among its peers, and nothing lower than what is in force ever does.
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
        self._wanted_since = 0.0
        self._refused: set[str] = set()
        self._refused_bodies: set[int] = set()
        self._cache = ChunkCache()
        ChunkServer(self._cache, handlers)
        self._joiner = Joiner(
            overlay,
            handlers,
            self._newest_body,
            self._offer,
            lambda: len(membership.all()),
        )
        self._reader = StoreReader(
            store,
            lambda: self.is_reader,
            self._offer,
            self._joiner.note_store_read,
            log,
            rng,
        )
        self._fetcher = ChunkFetcher(
            membership,
            overlay,
            store,
            self._cache,
            Holders(overlay, in_force, handlers, self._wake),
            StoreOnlyPolicy() if self._is_direct else RankedPolicy(membership),
            log,
            rng,
        )
        table.validate(RecordKind.BUNDLE, self._is_verified)
        table.subscribe(RecordKind.BUNDLE, self._take_record)

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store for its data centre."""
        if self._is_direct:
            return True
        local = self._membership.local
        return self._membership.duties.is_held_here(READER, local.data_centre)

    @property
    def newest_manifest(self) -> Manifest | None:
        """Verified manifest of the highest known version."""
        return self._newest

    @property
    def newest_version(self) -> int:
        """Highest version of which a verified manifest is known."""
        return self._newest.version if self._newest is not None else 0

    @property
    def newest_is_refused(self) -> bool:
        """Whether the highest known version is signed but must not come into force."""
        return self._newest is not None and self._newest.digest in self._refused

    async def run(self) -> None:
        """Follow manifests until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._join)
            nursery.start_soon(self._follow)
            nursery.start_soon(self._reader.run)

    def chunks_to_write(self, chunks: dict[str, bytes]) -> dict[str, bytes]:
        """Return the chunks that the store may not hold yet.

        Those of an accepted manifest are there: they are written before it.
        """
        held = set(self._newest.chunks) if self._newest is not None else set()
        return {d: chunk for d, chunk in chunks.items() if d not in held}

    def publish(self, manifest: Manifest, chunks: dict[str, bytes]) -> None:
        """Take a bundle that this node has just written to the store."""
        for digest, chunk in chunks.items():
            self._cache.add(digest, chunk)
        self._offer(encode_manifest(manifest))

    def _wake(self) -> None:
        self._changed.set()

    async def _join(self) -> None:
        await self._joiner.run()
        self._wake()

    def _newest_body(self) -> bytes:
        record = self._table.get(RecordKind.BUNDLE, HEAD_KEY)
        return record.body if record is not None else b""

    def _offer(self, body: bytes) -> None:
        try:
            version = decode_manifest(body).version
        except BundleError as exc:
            self._log_refusal(exc, 0, body)
            return
        record = Record(RecordKind.BUNDLE, HEAD_KEY, (version, 0), body)
        if not self._is_direct:
            self._table.offer(record)
        elif self._is_verified(record):
            self._take_record(record)

    def _is_verified(self, record: Record) -> bool:
        try:
            manifest = decode_manifest(record.body)
            self._verifier.verify(manifest)
        except BundleError as exc:
            self._log_refusal(exc, record.rank[0], record.body)
            return False
        is_head = record.key == HEAD_KEY and record.rank == (manifest.version, 0)
        return is_head and manifest.version > self.newest_version

    def _take_record(self, record: Record) -> None:
        self._newest = decode_manifest(record.body)
        self._wanted_since = trio.current_time()
        self._wake()

    def _log_refusal(self, exc: MarigoldchuteError, version: int, body: bytes) -> None:
        if hash(body) in self._refused_bodies:
            return  # a peer may offer the same bytes at every exchange
        if len(self._refused_bodies) >= MAX_REMEMBERED_REFUSALS:
            self._refused_bodies.clear()
        self._refused_bodies.add(hash(body))
        self._log.emit(
            "distribution",
            "refused",
            f"Version {version} is refused: {exc.message}.",
            version=version,
            code=exc.code.value,
        )

    async def _follow(self) -> None:
        while True:
            changed = self._changed = trio.Event()
            manifest = self._wanted()
            if manifest is None:
                await changed.wait()
                continue
            waited_s = trio.current_time() - self._wanted_since
            if await self._fetcher.fetch(manifest, waited_s):
                self._bring_into_force(manifest)
                continue
            with trio.move_on_after(RETRY_S * self._rng.uniform(0.5, 1.5)):
                await changed.wait()

    def _wanted(self) -> Manifest | None:
        newest = self._newest
        if newest is None or not self._joiner.settled.is_set():
            return None
        if newest.version <= self._in_force.version or self.newest_is_refused:
            return None
        return newest

    def _bring_into_force(self, manifest: Manifest) -> None:
        try:
            content = assemble(manifest, self._cache.chunks)
            validate_content(content)
        except MarigoldchuteError as exc:
            self._refused.add(manifest.digest)
            self._log_refusal(exc, manifest.version, manifest.digest.encode())
            return
        bundle = Bundle(manifest, content)
        if not self._in_force.swap(bundle):
            return
        self._cache.keep_only(manifest)
        self._log.emit(
            "distribution",
            "in_force",
            f"Version {manifest.version} is in force.",
            **audit_fields(bundle),
        )
