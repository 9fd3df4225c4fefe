"""Brings bundles from the platform's store, or from peers, into force on this node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.bundle.codec import (
    assemble,
    chunk_digest,
    decode_manifest,
    encode_manifest,
)
from marigoldchute.bundle.model import Bundle
from marigoldchute.bundle.validation import validate_content
from marigoldchute.distribution.audit import audit_fields
from marigoldchute.distribution.keys import (
    BUNDLE_PREFIX,
    HEAD_KEY,
    chunk_key,
)
from marigoldchute.errors import (
    BundleError,
    MarigoldchuteError,
    PeerError,
    PlatformError,
    ResultCode,
)
from marigoldchute.link.methods import Method
from marigoldchute.overlay.duties import READER
from marigoldchute.overlay.records import Record, RecordKind

if TYPE_CHECKING:
    import random

    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.bundle.model import Manifest
    from marigoldchute.bundle.signing import SignatureVerifier
    from marigoldchute.events import EventLog
    from marigoldchute.link.link import Handlers, Link
    from marigoldchute.membership.service import Membership
    from marigoldchute.overlay.overlay import Overlay
    from marigoldchute.overlay.records import RecordTable
    from marigoldchute.platform.api import ObjectStore

CHUNK_TIMEOUT_S = 2.0
RETRY_S = 0.25
READER_CHECK_S = 0.5


class Replicator:
    """Follows the newest verified manifest and brings its bundle into force.

    The first reachable member of each data centre in rendezvous order reads the
    store; every other member learns of a new manifest over the overlay. Chunks come
    from linked peers first and from the store last.
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
    ) -> None:
        self._membership = membership
        self._overlay = overlay
        self._table = table
        self._store = store
        self._verifier = verifier
        self._in_force = in_force
        self._log = log
        self._rng = rng
        self._chunks: dict[str, bytes] = {}
        self._newest = trio.Event()
        self._refused: set[str] = set()
        table.validate(RecordKind.BUNDLE, self._is_verified)
        table.subscribe(RecordKind.BUNDLE, self._note_manifest)
        handlers.register(Method.GET_CHUNK, self._get_chunk)

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store for its data centre."""
        local = self._membership.local
        return self._membership.duties.is_held_here(READER, local.data_centre)

    @property
    def newest_version(self) -> int:
        """Highest version of which a verified manifest is known."""
        record = self._table.get(RecordKind.BUNDLE, HEAD_KEY)
        return record.rank[0] if record is not None else 0

    @property
    def newest_manifest(self) -> Manifest | None:
        """Verified manifest of the highest known version."""
        record = self._table.get(RecordKind.BUNDLE, HEAD_KEY)
        return decode_manifest(record.body) if record is not None else None

    @property
    def newest_is_refused(self) -> bool:
        """Whether the highest known version is signed but must not come into force."""
        newest = self.newest_manifest
        return newest is not None and newest.digest in self._refused

    async def run(self) -> None:
        """Follow manifests until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_manifests)
            nursery.start_soon(self._read_store)

    def chunks_to_write(self, chunks: dict[str, bytes]) -> dict[str, bytes]:
        """Return the chunks that the store may not hold yet.

        Those of an accepted manifest are there: they are written before it.
        """
        newest = self.newest_manifest
        held = set(newest.chunks) if newest is not None else set()
        return {d: chunk for d, chunk in chunks.items() if d not in held}

    def publish(self, manifest: Manifest, chunks: dict[str, bytes]) -> None:
        """Take a bundle that this node has just written to the store."""
        self._chunks |= chunks
        self._offer(encode_manifest(manifest))

    def _offer(self, body: bytes) -> None:
        try:
            version = decode_manifest(body).version
        except BundleError as exc:
            self._log_refusal(exc, 0)
            return
        self._table.offer(Record(RecordKind.BUNDLE, HEAD_KEY, (version, 0), body))

    def _is_verified(self, record: Record) -> bool:
        try:
            manifest = decode_manifest(record.body)
            self._verifier.verify(manifest)
        except BundleError as exc:
            self._log_refusal(exc, record.rank[0])
            return False
        return manifest.version == record.rank[0]

    def _log_refusal(self, exc: MarigoldchuteError, version: int) -> None:
        self._log.emit(
            "distribution",
            "refused",
            f"Version {version} is refused: {exc.message}.",
            version=version,
            code=exc.code.value,
        )

    def _note_manifest(self, record: Record) -> None:
        self._newest.set()

    async def _follow_manifests(self) -> None:
        while True:
            await self._newest.wait()
            self._newest = trio.Event()
            while self.newest_version > self._in_force.version:
                if await self._bring_into_force():
                    break
                await trio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))

    async def _bring_into_force(self) -> bool:
        record = self._table.get(RecordKind.BUNDLE, HEAD_KEY)
        assert record is not None
        manifest = decode_manifest(record.body)
        if manifest.digest in self._refused:
            return True
        await self._fetch_chunks(manifest)
        try:
            content = assemble(manifest, self._chunks)
            validate_content(content)
        except MarigoldchuteError as exc:
            if exc.code is ResultCode.BUNDLE_CHUNK_MISSING:
                return False
            self._refused.add(manifest.digest)
            self._log_refusal(exc, manifest.version)
            return True
        bundle = Bundle(manifest, content)
        if self._in_force.swap(bundle):
            self._log.emit(
                "distribution",
                "in_force",
                f"Version {manifest.version} is in force.",
                **audit_fields(bundle),
            )
        wanted = set(manifest.chunks)
        self._chunks = {d: c for d, c in self._chunks.items() if d in wanted}
        return True

    async def _fetch_chunks(self, manifest: Manifest) -> None:
        for digest in manifest.chunks:
            if digest not in self._chunks:
                await self._fetch_chunk(digest)

    async def _fetch_chunk(self, digest: str) -> None:
        links = self._overlay.neighbours()
        self._rng.shuffle(links)
        for link in links:
            try:
                chunk = await link.call(
                    Method.GET_CHUNK, digest.encode(), CHUNK_TIMEOUT_S
                )
            except PeerError:
                continue
            if self._keep_chunk(digest, chunk):
                return
        if self.is_reader:
            await self._fetch_from_store(digest)

    async def _fetch_from_store(self, digest: str) -> None:
        try:
            stored = await self._store.get(chunk_key(digest))
        except PlatformError:
            return
        self._keep_chunk(digest, stored.value)

    def _keep_chunk(self, digest: str, chunk: bytes) -> bool:
        if chunk_digest(chunk) != digest:
            return False
        self._chunks[digest] = chunk
        return True

    async def _get_chunk(self, link: Link, body: bytes) -> bytes:
        chunk = self._chunks.get(body.decode())
        if chunk is None:
            raise PeerError("chunk is not here", ResultCode.BUNDLE_CHUNK_MISSING)
        return chunk

    async def _read_store(self) -> None:
        while True:
            while not self.is_reader:
                await trio.sleep(READER_CHECK_S)
            self._log.emit("distribution", "reader", "This node reads the store.")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_store)
                while self.is_reader:
                    await trio.sleep(READER_CHECK_S)
                nursery.cancel_scope.cancel()

    async def _watch_store(self) -> None:
        async for event in self._store.watch(BUNDLE_PREFIX):
            if event.value is not None:
                self._offer(event.value)
