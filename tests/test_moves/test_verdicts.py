"""Verdicts reported by real processes under store, network and process faults."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import MarigoldchuteError
from marigoldchute.standins.backend_faults import BackendFaults
from marigoldchute.standins.faultproxy import Action, Rule
from marigoldchute.standins.store import StoreFaults
from marigoldchute.standins.traffic import Callers
from tests.support.meshes import MeshTestCase

if TYPE_CHECKING:
    from marigoldchute.admin.messages import MoveStatus, Status

NORTE_1, NORTE_2 = "cartago-norte-1", "cartago-norte-2"
MUELLE_1, MUELLE_2 = "limon-muelle-1", "limon-muelle-2"
RELEASES = {NORTE_1: "r1", NORTE_2: "r2", MUELLE_1: "r1", MUELLE_2: "r2"}


def bundle(
    complete_within_ms: int, watch_ms: int = 500, first_hold_ms: int = 500
) -> str:
    move = {
        "move_id": "turnos-r2",
        "service": "turnos",
        "old_release": "r1",
        "new_release": "r2",
        "complete_within_ms": complete_within_ms,
        "watch_ms": watch_ms,
        "steps": [
            {"share": 0.1, "hold_ms": first_hold_ms},
            {"share": 0.5, "hold_ms": 500},
            {"share": 1, "hold_ms": 0},
        ],
    }
    return json.dumps(
        {
            "services": [{"name": "turnos", "release": "r1"}],
            "routes": [
                {"name": "turnos", "path_prefix": "/turnos", "service": "turnos"}
            ],
            "moves": [move],
        }
    )


class MoveMeshTestCase(MeshTestCase):
    uses_proxy = True

    async def start_move(
        self, complete_within_ms: int, watch_ms: int = 500, first_hold_ms: int = 500
    ) -> None:
        """Start a mesh with both releases and roll out a move."""
        self.start_nodes()
        self.start_backends("turnos", RELEASES)
        for vm in self.mesh.plan.vms:
            await self.mesh.wait_until(
                vm.name,
                lambda s: len(s.members) == 4 and all(m.servers for m in s.members),
            )
        text = bundle(complete_within_ms, watch_ms, first_hold_ms)
        path = self.write_bundle(text)
        status, out, err = await self.roll(path, NORTE_1)
        self.assertEqual(status, 0, out + err)
        for vm in self.mesh.plan.vms:
            await self.mesh.wait_until(vm.name, lambda s: s.version == 1)

    async def wait_for_verdict(
        self, name: str, *verdicts: str, limit_s: float = 20
    ) -> MoveStatus:
        """Wait until a node reports one of the given verdicts; return its status."""
        status = await self.mesh.wait_until(
            name, lambda s: bool(s.moves) and s.moves[0].verdict in verdicts, limit_s
        )
        return status.moves[0]

    async def wait_for_full_share(self, name: str) -> None:
        """Wait until every member that a node has reports from has the full share."""

        def has_full_share(status: Status) -> bool:
            return bool(status.moves) and status.moves[0].lowest_share == 1.0

        await self.mesh.wait_until(name, has_full_share, 20)


class StoreFaultTest(MoveMeshTestCase):
    def test_verdict_is_unknown_while_store_is_down_then_done(self) -> None:
        self.run_async(self._store_down, 70)

    async def _store_down(self) -> None:
        await self.start_move(12_000)
        await self.mesh.set_store_faults(StoreFaults(down=True))
        await self.wait_for_full_share(MUELLE_1)
        await trio.sleep(5)
        with self.assertRaises(MarigoldchuteError) as caught:
            await self.mesh.admin(MUELLE_1).verdict("turnos-r2")
        self.assertEqual(caught.exception.code.name, "MOVE_VERDICT_UNKNOWN")
        await self.mesh.set_store_faults(StoreFaults())
        for vm in self.mesh.plan.vms:
            move = await self.wait_for_verdict(vm.name, "done")
            self.assertEqual(move.lowest_share, 1.0)

    def test_lost_response_to_verdict_write_is_read_back(self) -> None:
        self.run_async(self._lost_response, 55)

    async def _lost_response(self) -> None:
        await self.start_move(12_000)
        await self.mesh.set_store_faults(StoreFaults(lose_replies=1))
        self.assertEqual((await self.wait_for_verdict(MUELLE_1, "done")).unconfirmed, 0)


class PartitionTest(MoveMeshTestCase):
    def test_partitioned_data_centre_causes_move_to_be_taken_back(self) -> None:
        self.run_async(self._partition, 55)

    async def _partition(self) -> None:
        await self.start_move(6000, watch_ms=1500)
        await self.mesh.set_proxy_rules(
            Rule("limon-muelle", "cartago", Action.DROP),
            Rule("limon-muelle", "store", Action.DROP),
        )
        in_progress = await self.wait_for_verdict(NORTE_1, "taking back")
        self.assertGreater(in_progress.unconfirmed, 0)
        await trio.sleep(1)
        later = await self.wait_for_verdict(NORTE_1, "taking back", "taken back")
        self.assertEqual(later.verdict, "taking back")
        await self.mesh.set_proxy_rules()
        final = await self.wait_for_verdict(NORTE_1, "taken back")
        self.assertEqual((final.unconfirmed, final.highest_share), (0, 0.0))


class OperatorTest(MoveMeshTestCase):
    uses_proxy = False

    def test_cancelled_move_is_taken_back_on_every_node(self) -> None:
        self.run_async(self._cancel, 40)

    async def _cancel(self) -> None:
        await self.start_move(9000)
        verdict = await self.mesh.admin(MUELLE_1).cancel("turnos-r2", "ana")
        self.assertEqual(verdict.reason, "cancelled by ana")
        for vm in self.mesh.plan.vms:
            final = await self.wait_for_verdict(vm.name, "taken back")
            self.assertEqual(final.highest_share, 0.0)


class MemberTest(MoveMeshTestCase):
    uses_proxy = False

    def test_move_unconfirmed_at_deadline_is_taken_back(self) -> None:
        self.run_async(self._unconfirmed, 40)

    async def _unconfirmed(self) -> None:
        await self.start_move(9000, watch_ms=1500, first_hold_ms=3000)
        # A member with a share above 0 must first report that it is back at 0.
        await self.mesh.wait_until(
            MUELLE_2, lambda s: bool(s.moves) and s.moves[0].lowest_share > 0
        )
        self.mesh.process(MUELLE_2).send_signal(19)  # SIGSTOP: paused, not gone
        try:
            in_progress = await self.wait_for_verdict(NORTE_1, "taking back")
            self.assertGreater(in_progress.unconfirmed, 0)
        finally:
            self.mesh.process(MUELLE_2).send_signal(18)
        final = await self.wait_for_verdict(NORTE_1, "taken back")
        self.assertIn("unconfirmed at the deadline", final.reason)

    def test_node_that_joins_after_verdict_receives_it(self) -> None:
        self.run_async(self._join, 60)

    async def _join(self) -> None:
        await self.start_move(12_000)
        await self.wait_for_verdict(NORTE_1, "done")
        self.mesh.kill(MUELLE_2)
        self.mesh.start_node(MUELLE_2)
        await trio.sleep(0.5)
        await self.wait_for_verdict(MUELLE_2, "done")
        await self.wait_for_full_share(MUELLE_2)


class FaultTest(MoveMeshTestCase):
    uses_proxy = False

    def test_faulty_release_is_taken_back(self) -> None:
        self.run_async(self._faulty, 55)

    async def _faulty(self) -> None:
        await self.start_move(20_000)
        for name in (NORTE_2, MUELLE_2):
            await self.mesh.set_backend_faults(name, BackendFaults(error_share=1.0))
        origins = [f"{vm.address}:8000" for vm in self.mesh.plan.vms]
        callers = Callers(origins, ["/turnos/1"], 60.0, self.seed)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.run)
            final = await self.wait_for_verdict(NORTE_1, "taken back", limit_s=30)
            nursery.cancel_scope.cancel()
        self.assertIn("more errors of r2 than of r1", final.reason)
