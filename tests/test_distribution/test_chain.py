"""Versions form a chain in the store, of which the last ones are kept."""

from __future__ import annotations

import dataclasses
import unittest
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.bundle.codec import chunk_digest, encode_manifest, split_content
from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import Bundle, BundleContent, Manifest, Route
from marigoldchute.bundle.signing import (
    SignatureVerifier,
    generate_private_key,
    public_key_of,
    sign_manifest,
)
from marigoldchute.config import TrustedKey
from marigoldchute.distribution.keys import bundle_key
from marigoldchute.distribution.rollout import KEPT_VERSIONS, Rollout
from marigoldchute.errors import MarigoldchuteError, ResultCode
from marigoldchute.moves.driver import verdict_key
from tests.support.fake_store import FakeStore
from tests.test_bundle.bundles import make_content, make_move

if TYPE_CHECKING:
    from collections.abc import Mapping

KEY = generate_private_key()


def _accept_moves(bundle: BundleContent) -> None:
    """Stand in for the check of moves, which has tests of its own."""


class _Node:
    """A node at which an operator rolls, as the rollout sees it."""

    def __init__(self, store: FakeStore) -> None:
        self.in_force = InForce()
        self.newest_manifest: Manifest | None = None
        self.newest_is_refused = False
        verifier = SignatureVerifier([TrustedKey("ops-1", public_key_of(KEY))])
        parts: list[Any] = [store, verifier, self.in_force, self, _accept_moves]
        self.rollout = Rollout(*parts)
        self._content = make_content()

    @property
    def newest_version(self) -> int:
        return self.newest_manifest.version if self.newest_manifest else 0

    def chunks_to_write(self, chunks: Mapping[str, bytes]) -> Mapping[str, bytes]:
        return chunks

    def publish(self, manifest: Manifest, chunks: Mapping[str, bytes]) -> None:
        self.newest_manifest = manifest
        self.in_force.swap(Bundle(manifest, self._content))

    def roll(self, version: int, bundle: BundleContent) -> ResultCode:
        self._content = bundle
        chunks = split_content(bundle)
        digests = [chunk_digest(chunk) for chunk in chunks]
        manifest = sign_manifest(version, digests, "ops-1", KEY, "ana", f"t{version}")
        body = encode_manifest(manifest)
        try:
            trio.run(self.rollout.accept, body, chunks)
        except MarigoldchuteError as exc:
            return exc.code
        return ResultCode.OK


def _bundle(version: int) -> BundleContent:
    bundle = make_content()
    route = Route("extra", f"/v{version}", "turnos")
    return dataclasses.replace(bundle, routes=(*bundle.routes, route))


class ChainTest(unittest.TestCase):
    def test_last_versions_are_kept_and_a_dropped_key_is_not_taken(self) -> None:
        store = FakeStore()
        node, behind = _Node(store), _Node(store)
        last = KEPT_VERSIONS + 3
        for version in range(1, last + 1):
            self.assertEqual(node.roll(version, _bundle(version)), ResultCode.OK)
            if version == 1:
                assert node.newest_manifest is not None
                behind.publish(node.newest_manifest, {})
        kept = [v for v in range(1, last + 1) if bundle_key(v) in store.objects]
        self.assertEqual(kept, list(range(last - KEPT_VERSIONS + 1, last + 1)))
        code = behind.roll(2, _bundle(2))
        self.assertEqual(code, ResultCode.BUNDLE_PREDECESSOR_UNKNOWN)
        self.assertNotIn(bundle_key(2), store.objects)

    def test_malformed_verdict_is_a_numbered_error(self) -> None:
        store = FakeStore()
        node = _Node(store)
        moving = make_content("r1", make_move())
        self.assertEqual(node.roll(1, moving), ResultCode.OK)
        store.write(verdict_key("turnos-r2"), b"{")
        self.assertEqual(node.roll(2, moving), ResultCode.STORE_ANSWER_MALFORMED)

    def test_node_that_is_ahead_or_behind_does_not_judge(self) -> None:
        node = _Node(FakeStore())
        self.assertEqual(node.roll(1, _bundle(1)), ResultCode.OK)
        self.assertEqual(node.roll(1, _bundle(1)), ResultCode.BUNDLE_VERSION_TAKEN)
        code = node.roll(3, _bundle(3))
        self.assertEqual(code, ResultCode.BUNDLE_PREDECESSOR_UNKNOWN)
