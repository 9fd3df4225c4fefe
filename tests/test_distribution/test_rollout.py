"""Rolls that cross one another, lose replies or would upset a move."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from marigoldchute.admin.messages import RollOrder
from marigoldchute.bundle.codec import chunk_digest, encode_manifest, split_content
from marigoldchute.bundle.signing import generate_private_key, sign_manifest
from marigoldchute.errors import ResultCode
from marigoldchute.standins.store import StoreFaults
from tests.support.rolls import TEST_LIMIT_S, RollTestCase
from tests.test_bundle.bundles import make_content, make_move

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Manifest


class RolloutTest(RollTestCase):
    def test_crossing_rolls_lost_replies_and_bad_orders(self) -> None:
        self.run_async(self._rolls, TEST_LIMIT_S)

    async def _rolls(self) -> None:
        self.start_nodes()
        await self.wait_linked()
        await self._cross()
        await self._lose_replies()
        await self._refuse_bad_orders()
        await self._keep_undecided_move()

    async def _cross(self) -> None:
        nodes = {"ana": "cartago-norte-1", "luis": "limon-muelle-2"}
        results: dict[str, tuple[ResultCode, str]] = {}

        async def roll(author: str) -> None:
            order = self.order(1, make_content("r1"), author)
            results[author] = await self.code_of(nodes[author], order)

        async with trio.open_nursery() as nursery:
            for author in nodes:
                nursery.start_soon(roll, author)
        codes = sorted(code for code, _ in results.values())
        self.assertEqual(codes, [ResultCode.OK, ResultCode.BUNDLE_VERSION_TAKEN])
        winner, loser = sorted(results, key=lambda author: results[author][0])
        self.assertIn(repr(winner), results[loser][1])
        await self.wait_all(1)

    async def _lose_replies(self) -> None:
        changed = dataclasses.replace(
            make_content("r1"), routes=make_content("r1").routes[:1]
        )
        await self.mesh.set_store_faults(StoreFaults(lose_replies=2))
        await self.accept("cartago-norte-2", 2, changed)
        await self.mesh.set_store_faults(StoreFaults(lose_requests=2))
        await self.accept("cartago-norte-2", 3, make_content("r1"))
        await self.wait_all(3)

    async def _refuse_bad_orders(self) -> None:
        good = self.order(4, make_content("r1"))
        unsigned = self._altered(signature=b"")
        other_key = sign_manifest(
            4,
            [chunk_digest(c) for c in good.chunks],
            "ops-1",
            generate_private_key(),
            "eve",
            "t",
        )
        cut = tuple(chunk[:-1] for chunk in good.chunks)
        cases = {
            RollOrder(unsigned, good.chunks): ResultCode.BUNDLE_UNSIGNED,
            RollOrder(self._altered(version=9), good.chunks): (
                ResultCode.BUNDLE_DIGEST_MISMATCH
            ),
            RollOrder(self._altered(author="eve"), good.chunks): (
                ResultCode.BUNDLE_DIGEST_MISMATCH
            ),
            RollOrder(encode_manifest(other_key), good.chunks): (
                ResultCode.BUNDLE_SIGNATURE_INVALID
            ),
            RollOrder(good.manifest, cut): ResultCode.BUNDLE_CHUNK_MISSING,
            self.order(
                2, make_content("r1"), "replay"
            ): ResultCode.BUNDLE_VERSION_TAKEN,
            self.order(7, make_content("r1")): ResultCode.BUNDLE_PREDECESSOR_UNKNOWN,
            self.order(4, make_content("r2")): ResultCode.MOVE_OUTCOME_CONTRADICTED,
        }
        for order, wanted in cases.items():
            code, message = await self.code_of("limon-muelle-1", order)
            self.assertEqual(code, wanted, message)

    def _altered(self, **changes: object) -> bytes:
        chunks = [chunk_digest(chunk) for chunk in split_content(make_content("r1"))]
        key = self.mesh.private_key
        manifest: Manifest = sign_manifest(4, chunks, "ops-1", key, "ana", "t")
        return encode_manifest(dataclasses.replace(manifest, **changes))  # type: ignore[arg-type]

    async def _keep_undecided_move(self) -> None:
        moving = make_content("r1", make_move(start_ms=0, deadline_ms=10**13))
        await self.accept("cartago-norte-1", 4, moving)
        await self.wait_all(4)
        for bundle in (make_content("r1"), make_content("r2")):
            code, _ = await self.code_of("limon-muelle-1", self.order(5, bundle))
            self.assertEqual(code, ResultCode.MOVE_UNDECIDED_CHANGED)
        await self.mesh.admin("limon-muelle-1").cancel("turnos-r2", "ana")
        code, _ = await self.code_of(
            "limon-muelle-1", self.order(5, make_content("r2"))
        )
        self.assertEqual(code, ResultCode.MOVE_OUTCOME_CONTRADICTED)
        await self.accept("limon-muelle-1", 5, make_content("r1"))
        await self.wait_all(5)
