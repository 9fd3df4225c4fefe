"""Chunks: bounded, whole, independent of order, and few for a small change."""

from __future__ import annotations

import dataclasses
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.bundle import codec, limits
from marigoldchute.bundle.codec import (
    assemble,
    chunk_digest,
    decode_manifest,
    encode_manifest,
    join_chunks,
    split_content,
)
from marigoldchute.bundle.model import BundleContent, Manifest, Route, Service
from marigoldchute.bundle.signing import generate_private_key, sign_manifest
from marigoldchute.bundle.validation import validate_content
from marigoldchute.errors import BundleError, ResultCode
from tests.test_bundle.bundles import contents

SMALL_CHUNK_BYTES = 600


def _items(content: BundleContent) -> tuple[set[object], set[object], set[object]]:
    return set(content.services), set(content.routes), set(content.moves)


def _manifest(chunks: list[bytes]) -> Manifest:
    digests = tuple(chunk_digest(chunk) for chunk in chunks)
    return Manifest(1, digests, "", "", b"")


class SplitTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(contents(), st.randoms(use_true_random=False))
    def test_chunks_hold_all_and_ignore_order(self, content, random) -> None:
        validate_content(content)
        with mock.patch.object(codec, "MAX_CHUNK_BYTES", SMALL_CHUNK_BYTES):
            chunks = split_content(content)
            joined = join_chunks(chunks)
            self.assertEqual(_items(joined), _items(content))
            self.assertEqual(split_content(joined), chunks)
            routes = list(content.routes)
            random.shuffle(routes)
            shuffled = dataclasses.replace(content, routes=tuple(routes))
            self.assertEqual(split_content(shuffled), chunks)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(contents().filter(lambda c: c.routes), st.integers(0, 100))
    def test_change_of_one_route_moves_one_chunk(self, content, pick) -> None:
        index = pick % len(content.routes)
        routes = list(content.routes)
        routes[index] = dataclasses.replace(routes[index], timeout_ms=5001)
        changed = dataclasses.replace(content, routes=tuple(routes))
        with mock.patch.object(codec, "MAX_CHUNK_BYTES", SMALL_CHUNK_BYTES):
            before = set(split_content(content))
            moved = set(split_content(changed)) - before
        self.assertEqual(len(moved), 1)

    def test_large_service_is_divided_below_the_limit(self) -> None:
        routes = tuple(Route(f"r{i}", f"/{i:0400}", "turnos") for i in range(2000))
        content = BundleContent((Service("turnos", "r1"),), routes)
        chunks = split_content(content)
        self.assertGreater(len(chunks), 3)
        self.assertLessEqual(max(map(len, chunks)), limits.MAX_CHUNK_BYTES)
        self.assertEqual(_items(join_chunks(chunks)), _items(content))


class AssembleTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(contents(), st.data())
    def test_no_altered_missing_or_cut_chunk_passes(self, content, data) -> None:
        chunks = split_content(content)
        manifest = _manifest(chunks)
        held = {chunk_digest(chunk): chunk for chunk in chunks}
        digest = data.draw(st.sampled_from(sorted(held)))
        damage = data.draw(st.sampled_from(["missing", "cut", "altered"]))
        chunk = held.pop(digest)
        if damage == "cut":
            held[digest] = chunk[: data.draw(st.integers(0, len(chunk) - 1))]
        elif damage == "altered":
            place = data.draw(st.integers(0, len(chunk) - 1))
            flipped = bytes([chunk[place] ^ (1 << data.draw(st.integers(0, 7)))])
            held[digest] = chunk[:place] + flipped + chunk[place + 1 :]
        with self.assertRaises(BundleError):
            assemble(manifest, held)

    def test_too_many_chunks_and_too_large_ones_are_refused(self) -> None:
        chunk = b"x" * (limits.MAX_CHUNK_BYTES + 1)
        for manifest in (_manifest([chunk]), _manifest([b""] * 2001)):
            with self.assertRaises(BundleError) as caught:
                assemble(manifest, {chunk_digest(chunk): chunk})
            self.assertEqual(caught.exception.code, ResultCode.BUNDLE_TOO_LARGE)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_bytes_are_a_numbered_error(self, body: bytes) -> None:
        for decode in (decode_manifest, lambda b: join_chunks([b])):
            with self.assertRaises(BundleError):
                decode(body)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.integers(0, 2**60), st.lists(st.binary(max_size=9), max_size=30))
    def test_manifest_survives_encoding(self, version: int, chunks) -> None:
        key = generate_private_key()
        digests = [chunk_digest(chunk) for chunk in chunks]
        manifest = sign_manifest(version, digests, "ops-1", key, "ana", "t")
        self.assertEqual(decode_manifest(encode_manifest(manifest)), manifest)

    def test_manifest_is_bounded(self) -> None:
        with self.assertRaises(BundleError) as caught:
            decode_manifest(b"\x00" * (limits.MAX_MANIFEST_BYTES + 1))
        self.assertEqual(caught.exception.code, ResultCode.BUNDLE_TOO_LARGE)
