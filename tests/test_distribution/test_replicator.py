"""Replicator with valid, forged, replayed and invalid manifests in any order."""

from __future__ import annotations

import dataclasses
import random
import types
import unittest
from typing import TYPE_CHECKING, Any

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.bundle.codec import chunk_digest, encode_manifest, split_content
from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import BundleContent, Route
from marigoldchute.bundle.signing import (
    SignatureVerifier,
    derive_public_key,
    generate_private_key,
    sign_manifest,
)
from marigoldchute.config import TrustedKey
from marigoldchute.distribution.keys import NEWEST_MANIFEST_KEY, chunk_key
from marigoldchute.distribution.service import Replicator
from marigoldchute.errors import NotFoundError, PlatformError
from marigoldchute.events import MemoryEventLog
from marigoldchute.link.handlers import Handlers
from marigoldchute.objectstore.api import StoredObject, WatchEvent
from marigoldchute.overlay.records import Record, RecordKind, RecordTable
from tests.support.invariants import IN_FORCE, find_violations
from tests.test_bundle.bundles import make_content

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PRIVATE_KEY = generate_private_key()
MANIFEST_KINDS = st.sampled_from(
    ["good", "invalid", "forged", "unsigned", "renumbered"]
)
FINAL_WAIT_S = 30.0


class _FakeStore:
    """Store with delayed chunk reads and an empty list of bundles."""

    def __init__(self) -> None:
        self.chunks: dict[str, bytes] = {}
        self.failures = 0

    async def get(self, key: str) -> StoredObject:
        await trio.sleep(0.01)
        if self.failures > 0:
            self.failures -= 1
            raise PlatformError("down")
        if key not in self.chunks:
            raise NotFoundError(key)
        return StoredObject(key, self.chunks[key], 1)

    async def list(self, prefix: str) -> list[StoredObject]:
        return []

    async def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        await trio.sleep_forever()
        yield WatchEvent("", None, 0)


class _Node:
    """Replicator without peers that reads chunks from a fake store."""

    def __init__(self, seed: int) -> None:
        self.store = _FakeStore()
        self.table = RecordTable()
        self.in_force = InForce()
        self.log = MemoryEventLog("vm-1")
        local = types.SimpleNamespace(name="vm-1", region="cartago", data_centre="n")
        duties = types.SimpleNamespace(
            is_held_here=lambda *args: True, holder=lambda *args: "vm-1"
        )
        membership: Any = types.SimpleNamespace(
            local=local, duties=duties, all=lambda: ()
        )
        overlay: Any = types.SimpleNamespace(
            neighbours=lambda: [], neighbour_listeners=[]
        )
        store: Any = self.store
        log: Any = self.log
        self.replicator = Replicator(
            membership,
            overlay,
            self.table,
            store,
            SignatureVerifier([TrustedKey("ops-1", derive_public_key(PRIVATE_KEY))]),
            self.in_force,
            Handlers(),
            log,
            random.Random(seed),
        )

    def offer(self, version: int, kind: str) -> None:
        content = _content(version, kind)
        chunks = split_content(content)
        digests = [chunk_digest(chunk) for chunk in chunks]
        key = generate_private_key() if kind == "forged" else PRIVATE_KEY
        manifest = sign_manifest(version, digests, "ops-1", key, "ana", f"t{version}")
        if kind == "unsigned":
            manifest = dataclasses.replace(manifest, signature=b"")
        if kind == "renumbered":
            manifest = dataclasses.replace(manifest, version=version + 10)
        for digest, chunk in zip(digests, chunks, strict=True):
            self.store.chunks[chunk_key(digest)] = chunk
        rank = (manifest.version, 0)
        body = encode_manifest(manifest)
        self.table.apply(Record(RecordKind.BUNDLE, NEWEST_MANIFEST_KEY, rank, body))


def _content(version: int, kind: str) -> BundleContent:
    content = make_content("r1")
    service = "lost" if kind == "invalid" else "turnos"
    extra = Route(f"v{version}", f"/v{version}", service)
    return dataclasses.replace(content, routes=(*content.routes, extra))


class ReplicatorTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=80, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 8),
                MANIFEST_KINDS,
                st.floats(0.0, 2.0),
                st.integers(0, 3),
            ),
            max_size=12,
        ),
        st.integers(0, 1000),
    )
    def test_highest_valid_version_is_in_force_and_versions_never_decrease(
        self, offers: list[tuple[int, str, float, int]], seed: int
    ) -> None:
        node = _Node(seed)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.replicator.run)
                for version, kind, pause_s, failures in offers:
                    node.store.failures = failures
                    node.offer(version, kind)
                    await trio.sleep(pause_s)
                await trio.sleep(FINAL_WAIT_S)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self._check_event_invariants(node)
        accepted = self._accepted(offers)
        if accepted and accepted[-1][1] == "good":
            self.assertEqual(node.in_force.version, accepted[-1][0])

    def _accepted(
        self, offers: list[tuple[int, str, float, int]]
    ) -> list[tuple[int, str]]:
        """Return the signed manifests with a higher version than all before them."""
        accepted: list[tuple[int, str]] = []
        for version, kind, _, _ in offers:
            is_signed = kind in ("good", "invalid")
            if is_signed and (not accepted or version > accepted[-1][0]):
                accepted.append((version, kind))
        return accepted

    def _check_event_invariants(self, node: _Node) -> None:
        events = [
            {"message_type": IN_FORCE, "process": event.process, **event.fields}
            for event in node.log.events
            if event.event == "in_force"
        ]
        self.assertEqual(
            find_violations(events, {"ops-1": derive_public_key(PRIVATE_KEY)}), []
        )
        versions = [event["version"] for event in events]
        self.assertEqual(versions, sorted(set(versions)))
