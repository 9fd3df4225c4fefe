"""Verdicts of real processes under the faults that tempt them to lie."""

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

NORTE, SUR = "cartago-norte-1", "cartago-norte-2"
MUELLE, PATIO = "limon-muelle-1", "limon-muelle-2"
RELEASES = {NORTE: "r1", SUR: "r2", MUELLE: "r1", PATIO: "r2"}


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


class TruthTestCase(MeshTestCase):
    proxied = True

    async def begin(
        self, complete_within_ms: int, watch_ms: int = 500, first_hold_ms: int = 500
    ) -> None:
        """Start a mesh with both releases and roll a move."""
        self.start_nodes()
        self.start_backends("turnos", RELEASES)
        for vm in self.mesh.plan.vms:
            await self.mesh.wait_until(
                vm.name,
                lambda s: len(s.members) == 4 and all(m.servers for m in s.members),
            )
        text = bundle(complete_within_ms, watch_ms, first_hold_ms)
        path = self.write_bundle(text)
        status, out, err = await self.roll(path, NORTE)
        self.assertEqual(status, 0, out + err)
        for vm in self.mesh.plan.vms:
            await self.mesh.wait_until(vm.name, lambda s: s.version == 1)

    async def move(self, name: str, *verdicts: str, limit_s: float = 20) -> MoveStatus:
        """Wait until a node tells one of some verdicts."""
        status = await self.mesh.wait_until(
            name, lambda s: bool(s.moves) and s.moves[0].verdict in verdicts, limit_s
        )
        return status.moves[0]

    async def wait_full(self, name: str) -> None:
        """Wait until every member that a node hears has the full share."""

        def full(status: Status) -> bool:
            return bool(status.moves) and status.moves[0].lowest_share == 1.0

        await self.mesh.wait_until(name, full, 20)


class StoreFaultTest(TruthTestCase):
    def test_store_down_at_the_deadline_then_the_truth(self) -> None:
        self.run_async(self._store_down, 70)

    async def _store_down(self) -> None:
        await self.begin(12_000)
        await self.mesh.set_store_faults(StoreFaults(down=True))
        await self.wait_full(MUELLE)
        await trio.sleep(5)
        with self.assertRaises(MarigoldchuteError) as caught:
            await self.mesh.admin(MUELLE).verdict("turnos-r2")
        self.assertEqual(caught.exception.code.name, "MOVE_VERDICT_UNKNOWN")
        await self.mesh.set_store_faults(StoreFaults())
        for vm in self.mesh.plan.vms:
            move = await self.move(vm.name, "done")
            self.assertEqual(move.lowest_share, 1.0)

    def test_lost_reply_on_the_verdicts_write_is_read_back(self) -> None:
        self.run_async(self._lost_reply, 55)

    async def _lost_reply(self) -> None:
        await self.begin(12_000)
        await self.mesh.set_store_faults(StoreFaults(lose_replies=1))
        self.assertEqual((await self.move(MUELLE, "done")).unconfirmed, 0)


class PartitionTest(TruthTestCase):
    def test_cut_data_centre_takes_the_move_back(self) -> None:
        self.run_async(self._cut, 55)

    async def _cut(self) -> None:
        await self.begin(6000, watch_ms=1500)
        await self.mesh.set_faults(
            Rule("limon-muelle", "cartago", Action.DROP),
            Rule("limon-muelle", "store", Action.DROP),
        )
        taking = await self.move(NORTE, "taking back")
        self.assertGreater(taking.unconfirmed, 0)
        await trio.sleep(1)
        still = await self.move(NORTE, "taking back", "taken back")
        self.assertEqual(still.verdict, "taking back")
        await self.mesh.set_faults()
        back = await self.move(NORTE, "taken back")
        self.assertEqual((back.unconfirmed, back.highest_share), (0, 0.0))


class OperatorTest(TruthTestCase):
    proxied = False

    def test_cancel_while_rolling_then_a_second_one_is_told(self) -> None:
        self.run_async(self._cancel, 40)

    async def _cancel(self) -> None:
        await self.begin(9000)
        verdict = await self.mesh.admin(MUELLE).cancel("turnos-r2", "ana")
        self.assertEqual(verdict.reason, "cancelled by ana")
        for vm in self.mesh.plan.vms:
            back = await self.move(vm.name, "taken back")
            self.assertEqual(back.highest_share, 0.0)


class MemberTest(TruthTestCase):
    proxied = False

    def test_late_move_is_taken_back(self) -> None:
        self.run_async(self._late, 40)

    async def _late(self) -> None:
        await self.begin(9000, watch_ms=1500, first_hold_ms=3000)
        # With a share of its own it has to confirm that it gave it back.
        await self.mesh.wait_until(
            PATIO, lambda s: bool(s.moves) and s.moves[0].lowest_share > 0
        )
        self.mesh.process(PATIO).send_signal(19)  # SIGSTOP: paused, not gone
        try:
            taking = await self.move(NORTE, "taking back")
            self.assertGreater(taking.unconfirmed, 0)
        finally:
            self.mesh.process(PATIO).send_signal(18)
        back = await self.move(NORTE, "taken back")
        self.assertIn("unconfirmed at the deadline", back.reason)

    def test_node_that_joins_after_the_verdict_learns_it(self) -> None:
        self.run_async(self._join, 60)

    async def _join(self) -> None:
        await self.begin(12_000)
        await self.move(NORTE, "done")
        self.mesh.kill(PATIO)
        self.mesh.start_node(PATIO)
        await trio.sleep(0.5)
        await self.move(PATIO, "done")
        await self.wait_full(PATIO)


class FaultTest(TruthTestCase):
    proxied = False

    def test_bad_release_is_taken_back_everywhere(self) -> None:
        self.run_async(self._bad, 55)

    async def _bad(self) -> None:
        await self.begin(20_000)
        for name in (SUR, PATIO):
            await self.mesh.set_backend_faults(name, BackendFaults(error_share=1.0))
        origins = [f"{vm.address}:8000" for vm in self.mesh.plan.vms]
        callers = Callers(origins, ["/turnos/1"], 60.0, self.seed)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.run)
            back = await self.move(NORTE, "taken back", limit_s=30)
            nursery.cancel_scope.cancel()
        self.assertIn("more errors of r2 than of r1", back.reason)
