"""Chunk fetching from altered, truncated, busy and unresponsive sources, in order."""

from __future__ import annotations

import random
import types
import unittest
from typing import Any

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.bundle.codec import chunk_digest
from marigoldchute.bundle.model import Manifest
from marigoldchute.distribution.chunks import (
    MAX_CONCURRENT_RESPONSES,
    ChunkCache,
    ChunkServer,
)
from marigoldchute.distribution.fetch import MAX_CONCURRENT_FETCHES, ChunkFetcher
from marigoldchute.distribution.keys import chunk_key
from marigoldchute.errors import NotFoundError, PeerError, ResultCode
from marigoldchute.events import MemoryEventLog
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.methods import Method
from marigoldchute.objectstore.api import StoredObject

CHUNKS = [f"chunk {number}".encode() * 10 for number in range(20)]
CHUNKS_BY_DIGEST = {chunk_digest(chunk): chunk for chunk in CHUNKS}
MANIFEST = Manifest(1, tuple(CHUNKS_BY_DIGEST), "", "", b"")
OTHER_REGION_DELAY_S = 0.5
STORE_DELAY_S = 1.0


class _FakeLink:
    """Link to a peer that responds to chunk calls with a given behaviour."""

    def __init__(self, behaviour: str, region: str = "cartago") -> None:
        name = f"{behaviour}-{region}-{id(self)}"
        self.peer = types.SimpleNamespace(
            name=name, region=region, data_centre=f"{region}-norte"
        )
        self.behaviour = behaviour
        self.calls = 0
        self.running = 0
        self.max_running = 0

    async def call(self, method: int, body: bytes, timeout_s: float) -> bytes:
        self.calls += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            return await self._respond(body.decode(), timeout_s)
        finally:
            self.running -= 1

    async def _respond(self, digest: str, timeout_s: float) -> bytes:
        chunk = CHUNKS_BY_DIGEST[digest]
        await trio.sleep(0.01)
        if self.behaviour == "altered":
            return chunk[:-1] + b"!"
        if self.behaviour == "truncated":
            return chunk[: len(chunk) // 2]
        if self.behaviour == "busy":
            raise PeerError("busy", ResultCode.PEER_BUSY)
        if self.behaviour == "unresponsive":
            await trio.sleep(timeout_s)
            raise PeerError("unresponsive", ResultCode.PEER_TIMEOUT)
        return chunk


class _FakeStore:
    def __init__(self, behaviour: str) -> None:
        self.behaviour = behaviour
        self.calls = 0

    async def get(self, key: str) -> StoredObject:
        self.calls += 1
        chunk = {chunk_key(d): c for d, c in CHUNKS_BY_DIGEST.items()}[key]
        if self.behaviour == "missing":
            raise NotFoundError(key)
        if self.behaviour == "altered":
            chunk = chunk[::-1]
        return StoredObject(key, chunk, 1)


class _FakePeerVersions:
    def __init__(self, links: list[_FakeLink]) -> None:
        self.links = links

    def links_with_version(self, version: int) -> list[_FakeLink]:
        return list(self.links)

    def forget(self, name: str) -> None:
        self.links = [link for link in self.links if link.peer.name != name]


class FetchTest(unittest.TestCase):
    def fetch(
        self, peers: list[_FakeLink], store: _FakeStore, waited_s: float
    ) -> tuple[bool, ChunkCache, MemoryEventLog]:
        cache, log = ChunkCache(), MemoryEventLog()
        local = types.SimpleNamespace(region="cartago", data_centre="cartago-norte")
        arguments: list[Any] = [
            types.SimpleNamespace(local=local),
            types.SimpleNamespace(neighbours=lambda: list(peers)),
            store,
            cache,
            _FakePeerVersions(peers),
            types.SimpleNamespace(
                uses_peers=True,
                other_region_delay_s=lambda: OTHER_REGION_DELAY_S,
                store_delay_s=lambda: STORE_DELAY_S,
            ),
            log,
            random.Random(1),
        ]
        fetcher = ChunkFetcher(*arguments)

        async def run() -> bool:
            return await fetcher.fetch(MANIFEST, waited_s)

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(run, clock=clock), cache, log

    def test_next_peer_is_used_after_a_failed_or_invalid_response(self) -> None:
        for behaviour in ("altered", "truncated", "busy", "unresponsive"):
            with self.subTest(behaviour=behaviour):
                peers = [_FakeLink(behaviour), _FakeLink("good")]
                complete, cache, _ = self.fetch(peers, _FakeStore("missing"), 0.0)
                self.assertTrue(complete)
                self.assertEqual(dict(cache.chunks), CHUNKS_BY_DIGEST)

    def test_altered_chunks_are_discarded_and_logged_with_their_source(self) -> None:
        altered_peer = _FakeLink("altered")
        complete, cache, log = self.fetch(
            [altered_peer], _FakeStore("altered"), STORE_DELAY_S
        )
        self.assertFalse(complete)
        self.assertEqual(dict(cache.chunks), {})
        sources = {event.fields["source"] for event in log.events}
        self.assertEqual(sources, {altered_peer.peer.name, "store"})

    def test_other_region_and_store_are_used_only_after_their_delays(self) -> None:
        other_region, store = _FakeLink("good", "limon"), _FakeStore("good")
        complete, _, _ = self.fetch([other_region], store, 0.0)
        self.assertEqual((complete, other_region.calls, store.calls), (False, 0, 0))
        complete, _, _ = self.fetch([other_region], store, OTHER_REGION_DELAY_S)
        self.assertEqual(
            (complete, other_region.calls, store.calls), (True, len(CHUNKS), 0)
        )
        complete, _, _ = self.fetch([], store, STORE_DELAY_S)
        self.assertEqual((complete, store.calls), (True, len(CHUNKS)))

    def test_same_region_peers_are_preferred_and_concurrent_calls_are_limited(
        self,
    ) -> None:
        other_region, same_region = _FakeLink("good", "limon"), _FakeLink("good")
        complete, _, _ = self.fetch(
            [other_region, same_region], _FakeStore("good"), STORE_DELAY_S
        )
        self.assertTrue(complete)
        self.assertEqual((other_region.calls, same_region.calls), (0, len(CHUNKS)))
        self.assertEqual(same_region.max_running, MAX_CONCURRENT_FETCHES)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.sampled_from(["good", "altered", "truncated", "busy"]), max_size=4),
        st.sampled_from(["good", "altered", "missing"]),
    )
    def test_only_chunks_that_match_their_digest_are_cached(
        self, behaviours: list[str], store: str
    ) -> None:
        peers = [_FakeLink(behaviour) for behaviour in behaviours]
        complete, cache, _ = self.fetch(peers, _FakeStore(store), STORE_DELAY_S)
        self.assertEqual(complete, "good" in [*behaviours, store])
        for digest, chunk in cache.chunks.items():
            self.assertEqual(chunk, CHUNKS_BY_DIGEST[digest])


class ChunkServerTest(unittest.TestCase):
    def test_calls_beyond_the_concurrency_limit_are_refused_as_busy(self) -> None:
        cache, handlers = ChunkCache(), Handlers()
        server = ChunkServer(cache, handlers)
        for digest, chunk in CHUNKS_BY_DIGEST.items():
            cache.add(digest, chunk)
        handler = handlers.find(Method.GET_CHUNK)
        assert handler is not None
        link: Any = types.SimpleNamespace(is_open=True, pending_bytes=1)
        codes: list[ResultCode] = []

        async def request_chunk() -> None:
            try:
                await handler(link, MANIFEST.chunks[0].encode())
                codes.append(ResultCode.OK)
            except PeerError as exc:
                codes.append(exc.code)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(MAX_CONCURRENT_RESPONSES + 5):
                    nursery.start_soon(request_chunk)
                await trio.testing.wait_all_tasks_blocked()
                link.pending_bytes = 0

        trio.run(run)
        self.assertEqual(codes.count(ResultCode.PEER_BUSY), 5)
        self.assertEqual(codes.count(ResultCode.OK), MAX_CONCURRENT_RESPONSES)
        self.assertEqual(server.refused_count, 5)


class ChunkCacheTest(unittest.TestCase):
    def test_chunks_of_the_previous_manifest_are_retained(self) -> None:
        cache = ChunkCache()
        digests = list(CHUNKS_BY_DIGEST)
        for version in range(3):
            digest = digests[version]
            cache.add(digest, CHUNKS_BY_DIGEST[digest])
            cache.evict_unused(Manifest(version + 1, (digest,), "", "", b""))
        self.assertEqual(set(cache.chunks), {digests[1], digests[2]})
