"""Concurrent rolls, lost store messages, invalid rolls and conflicts with a move."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from marigoldchute.admin.messages import RollRequest
from marigoldchute.bundle.codec import chunk_digest, encode_manifest, split_content
from marigoldchute.bundle.signing import generate_private_key, sign_manifest
from marigoldchute.errors import ResultCode
from marigoldchute.standins.store import StoreFaults
from tests.support.rolls import TEST_TIMEOUT_S, RollTestCase
from tests.test_bundle.bundles import make_content, make_move

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Manifest


class RolloutTest(RollTestCase):
    def test_concurrent_lost_and_invalid_rolls_have_the_expected_outcome(self) -> None:
        self.run_async(self._run_rolls, TEST_TIMEOUT_S)

    async def _run_rolls(self) -> None:
        self.start_nodes()
        await self.wait_for_members()
        await self._roll_concurrently()
        await self._roll_with_lost_store_messages()
        await self._roll_invalid_bundles()
        await self._roll_during_undecided_move()

    async def _roll_concurrently(self) -> None:
        nodes = {"ana": "cartago-norte-1", "luis": "limon-muelle-2"}
        results: dict[str, tuple[ResultCode, str]] = {}

        async def roll(author: str) -> None:
            request = self.signed_request(1, make_content("r1"), author)
            results[author] = await self.roll_result(nodes[author], request)

        async with trio.open_nursery() as nursery:
            for author in nodes:
                nursery.start_soon(roll, author)
        codes = sorted(code for code, _ in results.values())
        self.assertEqual(codes, [ResultCode.OK, ResultCode.BUNDLE_VERSION_TAKEN])
        winner, loser = sorted(results, key=lambda author: results[author][0])
        self.assertIn(repr(winner), results[loser][1])
        await self.wait_for_version(1)

    async def _roll_with_lost_store_messages(self) -> None:
        changed = dataclasses.replace(
            make_content("r1"), routes=make_content("r1").routes[:1]
        )
        await self.mesh.set_store_faults(StoreFaults(lose_replies=2))
        await self.roll_content("cartago-norte-2", 2, changed)
        await self.mesh.set_store_faults(StoreFaults(lose_requests=2))
        await self.roll_content("cartago-norte-2", 3, make_content("r1"))
        await self.wait_for_version(3)

    async def _roll_invalid_bundles(self) -> None:
        valid = self.signed_request(4, make_content("r1"))
        unsigned = self._encode_altered_manifest(signature=b"")
        wrong_key = sign_manifest(
            4,
            [chunk_digest(c) for c in valid.chunks],
            "ops-1",
            generate_private_key(),
            "eve",
            "t",
        )
        truncated = tuple(chunk[:-1] for chunk in valid.chunks)
        cases = {
            RollRequest(unsigned, valid.chunks): ResultCode.BUNDLE_UNSIGNED,
            RollRequest(self._encode_altered_manifest(version=9), valid.chunks): (
                ResultCode.BUNDLE_DIGEST_MISMATCH
            ),
            RollRequest(self._encode_altered_manifest(author="eve"), valid.chunks): (
                ResultCode.BUNDLE_DIGEST_MISMATCH
            ),
            RollRequest(encode_manifest(wrong_key), valid.chunks): (
                ResultCode.BUNDLE_SIGNATURE_INVALID
            ),
            RollRequest(valid.manifest, truncated): ResultCode.BUNDLE_CHUNK_MISSING,
            self.signed_request(
                2, make_content("r1"), "replay"
            ): ResultCode.BUNDLE_VERSION_TAKEN,
            self.signed_request(
                7, make_content("r1")
            ): ResultCode.BUNDLE_PREDECESSOR_UNKNOWN,
            self.signed_request(
                4, make_content("r2")
            ): ResultCode.MOVE_OUTCOME_CONTRADICTED,
        }
        for request, expected in cases.items():
            code, message = await self.roll_result("limon-muelle-1", request)
            self.assertEqual(code, expected, message)

    def _encode_altered_manifest(self, **changes: object) -> bytes:
        chunks = [chunk_digest(chunk) for chunk in split_content(make_content("r1"))]
        key = self.mesh.private_key
        manifest: Manifest = sign_manifest(4, chunks, "ops-1", key, "ana", "t")
        return encode_manifest(dataclasses.replace(manifest, **changes))  # type: ignore[arg-type]

    async def _roll_during_undecided_move(self) -> None:
        with_move = make_content("r1", make_move(start_ms=0, deadline_ms=10**13))
        await self.roll_content("cartago-norte-1", 4, with_move)
        await self.wait_for_version(4)
        for content in (make_content("r1"), make_content("r2")):
            code, _ = await self.roll_result(
                "limon-muelle-1", self.signed_request(5, content)
            )
            self.assertEqual(code, ResultCode.MOVE_UNDECIDED_CHANGED)
        await self.mesh.admin("limon-muelle-1").cancel("turnos-r2", "ana")
        code, _ = await self.roll_result(
            "limon-muelle-1", self.signed_request(5, make_content("r2"))
        )
        self.assertEqual(code, ResultCode.MOVE_OUTCOME_CONTRADICTED)
        await self.roll_content("limon-muelle-1", 5, make_content("r1"))
        await self.wait_for_version(5)
