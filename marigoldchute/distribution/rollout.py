"""Validation of a rolled bundle against its predecessor, and its write to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.bundle.codec import assemble, chunk_digest, decode_manifest
from marigoldchute.bundle.succession import check_successor
from marigoldchute.bundle.validation import validate_content
from marigoldchute.distribution.keys import bundle_key, chunk_key
from marigoldchute.errors import (
    BundleError,
    MarigoldchuteError,
    NotFoundError,
    PlatformError,
    ResultCode,
)
from marigoldchute.moves.driver import decode_verdict, verdict_key
from marigoldchute.objectstore.conditional import create_once

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.bundle.model import BundleContent, Manifest
    from marigoldchute.bundle.signing import SignatureVerifier
    from marigoldchute.distribution.service import Replicator
    from marigoldchute.objectstore.api import ObjectStore

CATCH_UP_TIMEOUT_S = 3.0
MAX_CONCURRENT_WRITES = 8
MAX_STORED_VERSIONS = 20


class Rollout:
    """Accepts signed bundles on behalf of operators.

    Versions form a chain: each is validated against its predecessor and written with a
    conditional create. Of two concurrent rolls of one version, one succeeds and the
    other fails with an error that names the successful author.
    """

    def __init__(
        self,
        store: ObjectStore,
        verifier: SignatureVerifier,
        in_force: InForce,
        replicator: Replicator,
        preflight: Callable[[BundleContent], None],
    ) -> None:
        self._store = store
        self._verifier = verifier
        self._in_force = in_force
        self._replicator = replicator
        self._preflight = preflight

    async def accept(self, body: bytes, chunks: Sequence[bytes]) -> int:
        """Validate a signed bundle, write it to the store and distribute it.

        Parameters
        ----------
        body : bytes
            Encoded manifest.
        chunks : sequence of bytes
            All chunks that the manifest lists.

        Returns
        -------
        int
            Accepted version.

        Raises
        ------
        BundleError
            The bundle is not valid, its version already exists, or this node does not
            have its predecessor.
        MoveError
            A move is not valid, or the bundle conflicts with an earlier move.
        PlatformError
            The write to the store failed, or its outcome is unknown.
        """
        manifest = decode_manifest(body)
        self._verifier.verify(manifest)
        chunks_by_digest = {chunk_digest(chunk): chunk for chunk in chunks}
        content = assemble(manifest, chunks_by_digest)
        validate_content(content)
        self._preflight(content)
        await self._check_predecessor(manifest.version)
        await self._check_moves(content)
        await self._write_chunks(self._replicator.chunks_to_write(chunks_by_digest))
        await self._write_manifest(manifest, body)
        self._replicator.publish(manifest, chunks_by_digest)
        await self._prune(manifest.version - MAX_STORED_VERSIONS)
        return manifest.version

    async def _check_predecessor(self, version: int) -> None:
        with trio.move_on_after(CATCH_UP_TIMEOUT_S):
            while not self._is_next_version(version):
                if self._replicator.newest_version >= version:
                    break
                await self._in_force.wait_for_version(self._in_force.version + 1)
        newest = self._replicator.newest_manifest
        if newest is not None and newest.version >= version:
            raise _version_taken_error(version, newest)
        if not self._is_next_version(version):
            raise BundleError(
                f"version {version} cannot be validated by a node that has version "
                f"{self._in_force.version} in force",
                ResultCode.BUNDLE_PREDECESSOR_UNKNOWN,
            )
        if newest is not None:
            await self._check_predecessor_stored(newest)

    def _is_next_version(self, version: int) -> bool:
        replicator = self._replicator
        is_current = replicator.newest_is_refused or (
            self._in_force.version == replicator.newest_version
        )
        return is_current and replicator.newest_version == version - 1

    async def _check_predecessor_stored(self, newest: Manifest) -> None:
        """Check that the store contains the same predecessor as this node.

        If the store has none, this node is so far behind that the predecessor has been
        pruned, and the key of the new version may also be free again.
        """
        try:
            stored = await self._store.get(bundle_key(newest.version))
        except NotFoundError as exc:
            raise BundleError(
                f"the store does not return version {newest.version}, so version "
                f"{newest.version + 1} cannot follow it now",
                ResultCode.BUNDLE_PREDECESSOR_UNKNOWN,
            ) from exc
        if decode_manifest(stored.value).digest != newest.digest:
            raise _version_taken_error(newest.version, decode_manifest(stored.value))

    async def _check_moves(self, content: BundleContent) -> None:
        bundle = self._in_force.bundle
        if bundle is None:
            return
        verdicts: dict[str, str] = {}
        moves = {*bundle.content.moves, *content.moves}
        for move_id in sorted({move.move_id for move in moves}):
            try:
                stored = await self._store.get(verdict_key(move_id))
            except NotFoundError:
                continue
            verdicts[move_id] = decode_verdict(stored.value).kind.value
        check_successor(bundle.content, content, verdicts)

    async def _write_chunks(self, chunks: dict[str, bytes]) -> None:
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_WRITES)
        failures: list[MarigoldchuteError] = []

        async def write(digest: str, chunk: bytes) -> None:
            async with limiter:
                try:
                    await self._write_chunk(digest, chunk)
                except MarigoldchuteError as exc:
                    failures.append(exc)

        async with trio.open_nursery() as nursery:
            for digest, chunk in chunks.items():
                nursery.start_soon(write, digest, chunk)
        if failures:
            raise failures[0]

    async def _write_chunk(self, digest: str, chunk: bytes) -> None:
        # The key contains the digest of the chunk, so all writers write the same value.
        created = await create_once(
            self._store, chunk_key(digest), chunk, lambda value: value == chunk
        )
        if not created.is_own:
            raise BundleError(
                f"chunk {digest[:12]} in the store does not match its digest",
                ResultCode.BUNDLE_DIGEST_MISMATCH,
            )

    async def _write_manifest(self, manifest: Manifest, body: bytes) -> None:
        def is_own(value: bytes) -> bool:
            return decode_manifest(value).token == manifest.token

        key = bundle_key(manifest.version)
        created = await create_once(self._store, key, body, is_own)
        if not created.is_own:
            raise _version_taken_error(manifest.version, decode_manifest(created.value))

    async def _prune(self, version: int) -> None:
        """Delete the manifest of a version that no node needs any more."""
        if version <= 0:
            return
        try:
            stored = await self._store.get(bundle_key(version))
            await self._store.delete(stored.key, stored.revision)
        except PlatformError:
            return  # A manifest that is left over only takes a little space.


def _version_taken_error(version: int, existing: Manifest) -> BundleError:
    return BundleError(
        f"version {version} was not accepted: {existing.author!r} has rolled version "
        f"{existing.version}",
        ResultCode.BUNDLE_VERSION_TAKEN,
    )
