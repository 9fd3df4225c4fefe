"""Splitting, joining and checking of chunks, and the encoding of manifests."""

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
from tests.test_bundle.bundles import bundle_contents

SMALL_CHUNK_BYTES = 600


def _items(content: BundleContent) -> tuple[set[object], set[object], set[object]]:
    return set(content.services), set(content.routes), set(content.moves)


def _manifest(chunks: list[bytes]) -> Manifest:
    digests = tuple(chunk_digest(chunk) for chunk in chunks)
    return Manifest(1, digests, "", "", b"")


class SplitTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(bundle_contents(), st.randoms(use_true_random=False))
    def test_chunks_contain_all_items_and_do_not_depend_on_order(
        self, content, random
    ) -> None:
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
    @given(bundle_contents().filter(lambda c: c.routes), st.integers(0, 100))
    def test_change_of_one_route_replaces_one_chunk(
        self, content, route_number
    ) -> None:
        index = route_number % len(content.routes)
        routes = list(content.routes)
        routes[index] = dataclasses.replace(routes[index], timeout_ms=5001)
        changed = dataclasses.replace(content, routes=tuple(routes))
        with mock.patch.object(codec, "MAX_CHUNK_BYTES", SMALL_CHUNK_BYTES):
            before = set(split_content(content))
            new_chunks = set(split_content(changed)) - before
        self.assertEqual(len(new_chunks), 1)

    def test_large_service_is_split_into_chunks_within_the_limit(self) -> None:
        routes = tuple(Route(f"r{i}", f"/{i:0400}", "turnos") for i in range(2000))
        content = BundleContent((Service("turnos", "r1"),), routes)
        chunks = split_content(content)
        self.assertGreater(len(chunks), 3)
        self.assertLessEqual(max(map(len, chunks)), limits.MAX_CHUNK_BYTES)
        self.assertEqual(_items(join_chunks(chunks)), _items(content))


class AssembleTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(bundle_contents(), st.data())
    def test_altered_missing_or_truncated_chunk_is_refused(self, content, data) -> None:
        chunks = split_content(content)
        manifest = _manifest(chunks)
        chunks_by_digest = {chunk_digest(chunk): chunk for chunk in chunks}
        digest = data.draw(st.sampled_from(sorted(chunks_by_digest)))
        fault = data.draw(st.sampled_from(["missing", "truncated", "altered"]))
        chunk = chunks_by_digest.pop(digest)
        if fault == "truncated":
            chunks_by_digest[digest] = chunk[
                : data.draw(st.integers(0, len(chunk) - 1))
            ]
        elif fault == "altered":
            position = data.draw(st.integers(0, len(chunk) - 1))
            flipped = bytes([chunk[position] ^ (1 << data.draw(st.integers(0, 7)))])
            chunks_by_digest[digest] = (
                chunk[:position] + flipped + chunk[position + 1 :]
            )
        with self.assertRaises(BundleError):
            assemble(manifest, chunks_by_digest)

    def test_too_many_chunks_and_too_large_chunks_are_refused(self) -> None:
        chunk = b"x" * (limits.MAX_CHUNK_BYTES + 1)
        for manifest in (_manifest([chunk]), _manifest([b""] * 2001)):
            with self.assertRaises(BundleError) as caught:
                assemble(manifest, {chunk_digest(chunk): chunk})
            self.assertEqual(caught.exception.code, ResultCode.BUNDLE_TOO_LARGE)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_raise_a_bundle_error(self, body: bytes) -> None:
        for decode in (decode_manifest, lambda b: join_chunks([b])):
            with self.assertRaises(BundleError):
                decode(body)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.integers(0, 2**60), st.lists(st.binary(max_size=9), max_size=30))
    def test_decoded_manifest_equals_the_encoded_one(
        self, version: int, chunks
    ) -> None:
        key = generate_private_key()
        digests = [chunk_digest(chunk) for chunk in chunks]
        manifest = sign_manifest(version, digests, "ops-1", key, "ana", "t")
        self.assertEqual(decode_manifest(encode_manifest(manifest)), manifest)

    def test_too_large_manifest_is_refused(self) -> None:
        with self.assertRaises(BundleError) as caught:
            decode_manifest(b"\x00" * (limits.MAX_MANIFEST_BYTES + 1))
        self.assertEqual(caught.exception.code, ResultCode.BUNDLE_TOO_LARGE)
