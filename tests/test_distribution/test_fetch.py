"""Sources of chunks: altered, cut, busy and silent ones, and their order."""

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
    MAX_SERVED_AT_ONCE,
    ChunkCache,
    ChunkServer,
)
from marigoldchute.distribution.fetch import FETCHES_AT_ONCE, ChunkFetcher
from marigoldchute.distribution.keys import chunk_key
from marigoldchute.errors import NotFoundError, PeerError, ResultCode
from marigoldchute.events import EventSink
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.methods import Method
from marigoldchute.objectstore.api import StoredObject

CHUNKS = [f"chunk {number}".encode() * 10 for number in range(20)]
BY_DIGEST = {chunk_digest(chunk): chunk for chunk in CHUNKS}
MANIFEST = Manifest(1, tuple(BY_DIGEST), "", "", b"")
OUTSIDE_DELAY_S = 0.5
STORE_DELAY_S = 1.0


class _Peer:
    """A link whose peer answers chunk calls in a given way."""

    def __init__(self, behaviour: str, region: str = "cartago") -> None:
        name = f"{behaviour}-{region}-{id(self)}"
        self.peer = types.SimpleNamespace(
            name=name, region=region, data_centre=f"{region}-norte"
        )
        self.behaviour = behaviour
        self.calls = 0
        self.running = 0
        self.most_running = 0

    async def call(self, method: int, body: bytes, timeout_s: float) -> bytes:
        self.calls += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            return await self._answer(body.decode(), timeout_s)
        finally:
            self.running -= 1

    async def _answer(self, digest: str, timeout_s: float) -> bytes:
        chunk = BY_DIGEST[digest]
        await trio.sleep(0.01)
        if self.behaviour == "altered":
            return chunk[:-1] + b"!"
        if self.behaviour == "cut":
            return chunk[: len(chunk) // 2]
        if self.behaviour == "busy":
            raise PeerError("busy", ResultCode.PEER_BUSY)
        if self.behaviour == "silent":
            await trio.sleep(timeout_s)
            raise PeerError("silent", ResultCode.PEER_TIMEOUT)
        return chunk


class _Store:
    def __init__(self, behaviour: str) -> None:
        self.behaviour = behaviour
        self.calls = 0

    async def get(self, key: str) -> StoredObject:
        self.calls += 1
        chunk = {chunk_key(d): c for d, c in BY_DIGEST.items()}[key]
        if self.behaviour == "missing":
            raise NotFoundError(key)
        if self.behaviour == "altered":
            chunk = chunk[::-1]
        return StoredObject(key, chunk, 1)


class _Holders:
    def __init__(self, links: list[_Peer]) -> None:
        self.links = links

    def links_with(self, version: int) -> list[_Peer]:
        return list(self.links)

    def distrust(self, name: str) -> None:
        self.links = [link for link in self.links if link.peer.name != name]


class FetchTest(unittest.TestCase):
    def fetch(
        self, peers: list[_Peer], store: _Store, waited_s: float
    ) -> tuple[bool, ChunkCache, EventSink]:
        cache, log = ChunkCache(), EventSink()
        local = types.SimpleNamespace(region="cartago", data_centre="cartago-norte")
        parts: list[Any] = [
            types.SimpleNamespace(local=local),
            types.SimpleNamespace(neighbours=lambda: list(peers)),
            store,
            cache,
            _Holders(peers),
            types.SimpleNamespace(
                asks_peers=True,
                outside_delay_s=lambda: OUTSIDE_DELAY_S,
                store_delay_s=lambda: STORE_DELAY_S,
            ),
            log,
            random.Random(1),
        ]
        fetcher = ChunkFetcher(*parts)

        async def run() -> bool:
            return await fetcher.fetch(MANIFEST, waited_s)

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(run, clock=clock), cache, log

    def test_next_source_is_tried_after_each_bad_answer(self) -> None:
        for behaviour in ("altered", "cut", "busy", "silent"):
            with self.subTest(behaviour=behaviour):
                peers = [_Peer(behaviour), _Peer("good")]
                whole, cache, _ = self.fetch(peers, _Store("missing"), 0.0)
                self.assertTrue(whole)
                self.assertEqual(dict(cache.chunks), BY_DIGEST)

    def test_altered_answers_are_logged_with_their_source(self) -> None:
        bad = _Peer("altered")
        whole, cache, log = self.fetch([bad], _Store("altered"), STORE_DELAY_S)
        self.assertFalse(whole)
        self.assertEqual(dict(cache.chunks), {})
        sources = {event.fields["source"] for event in log.events}
        self.assertEqual(sources, {bad.peer.name, "store"})

    def test_other_region_and_store_wait_for_their_delay(self) -> None:
        far, store = _Peer("good", "limon"), _Store("good")
        whole, _, _ = self.fetch([far], store, 0.0)
        self.assertEqual((whole, far.calls, store.calls), (False, 0, 0))
        whole, _, _ = self.fetch([far], store, OUTSIDE_DELAY_S)
        self.assertEqual((whole, far.calls, store.calls), (True, len(CHUNKS), 0))
        whole, _, _ = self.fetch([], store, STORE_DELAY_S)
        self.assertEqual((whole, store.calls), (True, len(CHUNKS)))

    def test_near_peers_go_first_and_calls_at_once_are_bounded(self) -> None:
        far, near = _Peer("good", "limon"), _Peer("good")
        whole, _, _ = self.fetch([far, near], _Store("good"), STORE_DELAY_S)
        self.assertTrue(whole)
        self.assertEqual((far.calls, near.calls), (0, len(CHUNKS)))
        self.assertEqual(near.most_running, FETCHES_AT_ONCE)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.sampled_from(["good", "altered", "cut", "busy"]), max_size=4),
        st.sampled_from(["good", "altered", "missing"]),
    )
    def test_only_verified_chunks_are_ever_held(
        self, behaviours: list[str], store: str
    ) -> None:
        peers = [_Peer(behaviour) for behaviour in behaviours]
        whole, cache, _ = self.fetch(peers, _Store(store), STORE_DELAY_S)
        self.assertEqual(whole, "good" in [*behaviours, store])
        for digest, chunk in cache.chunks.items():
            self.assertEqual(chunk, BY_DIGEST[digest])


class ChunkServerTest(unittest.TestCase):
    def test_calls_at_once_are_bounded_and_refused_as_busy(self) -> None:
        cache, handlers = ChunkCache(), Handlers()
        server = ChunkServer(cache, handlers)
        for digest, chunk in BY_DIGEST.items():
            cache.add(digest, chunk)
        handler = handlers.find(Method.GET_CHUNK)
        assert handler is not None
        link: Any = types.SimpleNamespace(alive=True, pending_bytes=1)
        codes: list[ResultCode] = []

        async def ask() -> None:
            try:
                await handler(link, MANIFEST.chunks[0].encode())
                codes.append(ResultCode.OK)
            except PeerError as exc:
                codes.append(exc.code)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(MAX_SERVED_AT_ONCE + 5):
                    nursery.start_soon(ask)
                await trio.testing.wait_all_tasks_blocked()
                link.pending_bytes = 0

        trio.run(run)
        self.assertEqual(codes.count(ResultCode.PEER_BUSY), 5)
        self.assertEqual(codes.count(ResultCode.OK), MAX_SERVED_AT_ONCE)
        self.assertEqual(server.refused, 5)


class ChunkCacheTest(unittest.TestCase):
    def test_chunks_of_the_manifest_before_stay_for_a_while(self) -> None:
        cache = ChunkCache()
        digests = list(BY_DIGEST)
        for version in range(3):
            digest = digests[version]
            cache.add(digest, BY_DIGEST[digest])
            cache.keep_only(Manifest(version + 1, (digest,), "", "", b""))
        self.assertEqual(set(cache.chunks), {digests[1], digests[2]})
