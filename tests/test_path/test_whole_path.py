"""Roll, move and requests on a mesh of real processes."""

from __future__ import annotations

import collections
import json

import httpcore
import trio

from tests.support.meshes import MeshTestCase

BUNDLE = """
{
  // One service that moves from r1 to r2.
  "services": [{"name": "turnos", "release": "r1"}],
  "routes": [{"name": "turnos", "path_prefix": "/turnos", "service": "turnos"}],
  "moves": [{
    "move_id": "turnos-r2", "service": "turnos",
    "old_release": "r1", "new_release": "r2",
    "complete_within_ms": 10000, "watch_ms": 500,
    "steps": [{"share": 0.05, "hold_ms": 500}, {"share": 0.5, "hold_ms": 500},
              {"share": 1, "hold_ms": 0}]
  }]
}
"""


class WholePathTest(MeshTestCase):
    def test_roll_moves_traffic_and_verdict_is_done(self) -> None:
        self.run_async(self._roll_and_move, 50)

    async def _roll_and_move(self) -> None:
        self.start_nodes()
        releases = {"cartago-norte-1": "r1", "cartago-norte-2": "r2"}
        releases |= {"limon-muelle-1": "r1", "limon-muelle-2": "r2"}
        self.start_backends("turnos", releases)
        await self.mesh.wait_until(
            "limon-muelle-1",
            lambda s: len(s.members) == 4 and all(m.servers for m in s.members),
        )
        status, out, err = await self.roll(self.write_bundle(BUNDLE), "limon-muelle-2")
        self.assertEqual((status, err), (0, ""), out)
        await self.mesh.wait_until(
            "limon-muelle-1", lambda s: all(m.version == 1 for m in s.members)
        )
        before = await self._count_responses(5)
        self.assertGreater(before[200, b"r1"], before[200, b"r2"])
        status, out, err = await self.ctl(
            "verdict",
            "turnos-r2",
            "--node",
            self.admin_address("cartago-norte-1"),
            "--wait",
            "--json",
        )
        self.assertEqual((status, json.loads(out)["verdict"]), (0, "done"), err)
        after = await self._count_responses(5)
        self.assertEqual(after, {(200, b"r2"): 20})

    async def _count_responses(
        self, rounds: int
    ) -> collections.Counter[tuple[int, bytes]]:
        counts: collections.Counter[tuple[int, bytes]] = collections.Counter()
        async with httpcore.AsyncConnectionPool() as pool:
            for _ in range(rounds):
                for vm in self.mesh.plan.vms:
                    url = self.caller_url(vm.name, "/turnos/1")
                    response = await pool.request("GET", url)
                    counts[response.status, response.content.split()[0]] += 1
                await trio.sleep(0.01)
        return counts

    def test_request_without_a_bundle_is_refused_as_not_run(self) -> None:
        self.run_async(self._call_without_bundle, 30)

    async def _call_without_bundle(self) -> None:
        self.start_nodes()
        await self.mesh.wait_until("cartago-norte-1", lambda s: True)
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "GET", self.caller_url("cartago-norte-1", "/turnos/1")
            )
        headers = dict(response.headers)
        self.assertEqual(response.status, 503)
        self.assertEqual(headers[b"marigoldchute-code"], b"501")
        self.assertEqual(headers[b"marigoldchute-outcome"], b"not-run")
