"""Acceptance of a new bundle: checked against the one in force, written once."""

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

CATCH_UP_S = 3.0
CHUNK_WRITERS = 8
KEPT_VERSIONS = 20


class Rollout:
    """Accepts signed bundles on behalf of operators.

    Versions form a chain: each is judged against the one before it and written by a
    conditional create, so of two operators who roll at once one wins and the other is
    told by whom.
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
        """Check a signed bundle, write it to the store and spread it.

        Parameters
        ----------
        body : bytes
            Encoded manifest.
        chunks : sequence of bytes
            Every chunk that it names.

        Returns
        -------
        int
            Accepted version.

        Raises
        ------
        BundleError
            The bundle is not valid or its version is taken.
        MoveError
            The bundle would upset a move.
        PlatformError
            The store did not take it, or it is not known whether it did.
        """
        manifest = decode_manifest(body)
        self._verifier.verify(manifest)
        held = {chunk_digest(chunk): chunk for chunk in chunks}
        content = assemble(manifest, held)
        validate_content(content)
        self._preflight(content)
        await self._check_predecessor(manifest.version)
        await self._check_moves(content)
        await self._write_chunks(self._replicator.chunks_to_write(held))
        await self._write_manifest(manifest, body)
        self._replicator.publish(manifest, held)
        await self._prune(manifest.version - KEPT_VERSIONS)
        return manifest.version

    async def _check_predecessor(self, version: int) -> None:
        with trio.move_on_after(CATCH_UP_S):
            while not self._follows_directly(version):
                if self._replicator.newest_version >= version:
                    break
                await self._in_force.wait_for_version(self._in_force.version + 1)
        newest = self._replicator.newest_manifest
        if newest is not None and newest.version >= version:
            raise _taken(version, newest)
        if not self._follows_directly(version):
            raise BundleError(
                f"version {version} cannot be judged by a node that has version "
                f"{self._in_force.version} in force",
                ResultCode.BUNDLE_PREDECESSOR_UNKNOWN,
            )
        if newest is not None:
            await self._check_stored(newest)

    def _follows_directly(self, version: int) -> bool:
        replicator = self._replicator
        settled = replicator.newest_is_refused or (
            self._in_force.version == replicator.newest_version
        )
        return settled and replicator.newest_version == version - 1

    async def _check_stored(self, newest: Manifest) -> None:
        """Check that the store still holds the version before the new one.

        Otherwise this node is so far behind that the store has dropped it, and the new
        version's key may be free again.
        """
        try:
            stored = await self._store.get(bundle_key(newest.version))
        except NotFoundError as exc:
            raise BundleError(
                f"the store does not show version {newest.version}, so version "
                f"{newest.version + 1} cannot follow it now",
                ResultCode.BUNDLE_PREDECESSOR_UNKNOWN,
            ) from exc
        if decode_manifest(stored.value).digest != newest.digest:
            raise _taken(newest.version, decode_manifest(stored.value))

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
        limiter = trio.CapacityLimiter(CHUNK_WRITERS)
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
        # A chunk is named after its content, so whoever wrote it wrote the same.
        created = await create_once(
            self._store, chunk_key(digest), chunk, lambda value: value == chunk
        )
        if not created.is_mine:
            raise BundleError(
                f"the store holds chunk {digest[:12]} altered",
                ResultCode.BUNDLE_DIGEST_MISMATCH,
            )

    async def _write_manifest(self, manifest: Manifest, body: bytes) -> None:
        def is_mine(value: bytes) -> bool:
            return decode_manifest(value).token == manifest.token

        key = bundle_key(manifest.version)
        created = await create_once(self._store, key, body, is_mine)
        if not created.is_mine:
            raise _taken(manifest.version, decode_manifest(created.value))

    async def _prune(self, version: int) -> None:
        """Drop a version that no node needs any more."""
        if version <= 0:
            return
        try:
            stored = await self._store.get(bundle_key(version))
            await self._store.delete(stored.key, stored.revision)
        except PlatformError:
            return  # it costs a little space only


def _taken(version: int, standing: Manifest) -> BundleError:
    return BundleError(
        f"version {version} was not accepted: {standing.author!r} has rolled version "
        f"{standing.version}",
        ResultCode.BUNDLE_VERSION_TAKEN,
    )
