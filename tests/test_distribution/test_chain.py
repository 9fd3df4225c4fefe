"""Chain of bundle versions in the store: predecessor checks and pruning."""

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
    derive_public_key,
    generate_private_key,
    sign_manifest,
)
from marigoldchute.config import TrustedKey
from marigoldchute.distribution.keys import bundle_key
from marigoldchute.distribution.rollout import MAX_STORED_VERSIONS, Rollout
from marigoldchute.errors import MarigoldchuteError, ResultCode
from marigoldchute.moves.driver import verdict_key
from tests.support.fake_store import FakeStore
from tests.test_bundle.bundles import make_content, make_move

if TYPE_CHECKING:
    from collections.abc import Mapping

PRIVATE_KEY = generate_private_key()


def _skip_preflight(content: BundleContent) -> None:
    """Accept every move; the preflight check has its own tests."""


class _RollNode:
    """Rollout with a minimal replicator that applies each published bundle at once."""

    def __init__(self, store: FakeStore) -> None:
        self.in_force = InForce()
        self.newest_manifest: Manifest | None = None
        self.newest_is_refused = False
        verifier = SignatureVerifier(
            [TrustedKey("ops-1", derive_public_key(PRIVATE_KEY))]
        )
        arguments: list[Any] = [store, verifier, self.in_force, self, _skip_preflight]
        self.rollout = Rollout(*arguments)
        self._content = make_content()

    @property
    def newest_version(self) -> int:
        return self.newest_manifest.version if self.newest_manifest else 0

    def chunks_to_write(self, chunks: Mapping[str, bytes]) -> Mapping[str, bytes]:
        return chunks

    def publish(self, manifest: Manifest, chunks: Mapping[str, bytes]) -> None:
        self.newest_manifest = manifest
        self.in_force.swap(Bundle(manifest, self._content))

    def roll(self, version: int, content: BundleContent) -> ResultCode:
        self._content = content
        chunks = split_content(content)
        digests = [chunk_digest(chunk) for chunk in chunks]
        manifest = sign_manifest(
            version, digests, "ops-1", PRIVATE_KEY, "ana", f"t{version}"
        )
        body = encode_manifest(manifest)
        try:
            trio.run(self.rollout.accept, body, chunks)
        except MarigoldchuteError as exc:
            return exc.code
        return ResultCode.OK


def _content(version: int) -> BundleContent:
    content = make_content()
    route = Route("extra", f"/v{version}", "turnos")
    return dataclasses.replace(content, routes=(*content.routes, route))


class VersionChainTest(unittest.TestCase):
    def test_old_versions_are_pruned_and_a_pruned_key_is_not_reused(self) -> None:
        store = FakeStore()
        node, stale_node = _RollNode(store), _RollNode(store)
        newest = MAX_STORED_VERSIONS + 3
        for version in range(1, newest + 1):
            self.assertEqual(node.roll(version, _content(version)), ResultCode.OK)
            if version == 1:
                assert node.newest_manifest is not None
                stale_node.publish(node.newest_manifest, {})
        kept = [v for v in range(1, newest + 1) if bundle_key(v) in store.objects]
        self.assertEqual(
            kept, list(range(newest - MAX_STORED_VERSIONS + 1, newest + 1))
        )
        code = stale_node.roll(2, _content(2))
        self.assertEqual(code, ResultCode.BUNDLE_PREDECESSOR_UNKNOWN)
        self.assertNotIn(bundle_key(2), store.objects)

    def test_malformed_stored_verdict_is_refused_with_its_code(self) -> None:
        store = FakeStore()
        node = _RollNode(store)
        with_move = make_content("r1", make_move())
        self.assertEqual(node.roll(1, with_move), ResultCode.OK)
        store.write(verdict_key("turnos-r2"), b"{")
        self.assertEqual(node.roll(2, with_move), ResultCode.STORE_ANSWER_MALFORMED)

    def test_roll_is_refused_unless_the_node_has_the_direct_predecessor(self) -> None:
        node = _RollNode(FakeStore())
        self.assertEqual(node.roll(1, _content(1)), ResultCode.OK)
        self.assertEqual(node.roll(1, _content(1)), ResultCode.BUNDLE_VERSION_TAKEN)
        code = node.roll(3, _content(3))
        self.assertEqual(code, ResultCode.BUNDLE_PREDECESSOR_UNKNOWN)
