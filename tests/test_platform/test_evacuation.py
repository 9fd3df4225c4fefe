"""Evacuation of a data centre of a mesh of node processes."""

from __future__ import annotations

import signal
import unittest
from typing import TYPE_CHECKING

import trio

from tests.support.hosted import hosted_mesh

if TYPE_CHECKING:
    from tests.support.hosted import HostedMesh

EVACUATION_S = 5.0
NUM_REQUESTS = 12


class EvacuationProcessTest(unittest.TestCase):
    """VMs vm-0 and vm-2 are in data centre z0, and vm-1 is in z1."""

    async def wait_for_servers(self, mesh: HostedMesh, expected: set[str]) -> None:
        """Send to each node until only the expected servers get requests."""
        with trio.fail_after(EVACUATION_S):
            while await self.servers_in_use(mesh) != expected:
                await trio.sleep(0.1)

    async def servers_in_use(self, mesh: HostedMesh) -> set[str]:
        before = {name: len(b.requests) for name, b in mesh.backends.items()}
        for name in mesh.names:
            for _ in range(NUM_REQUESTS // len(mesh.names)):
                await mesh.send_request(name)
        return {n for n, b in mesh.backends.items() if len(b.requests) > before[n]}

    def test_evacuation_and_its_end(self) -> None:
        """Guards against an evacuation that some node does not follow."""

        async def main() -> None:
            with trio.fail_after(60):
                async with hosted_mesh(
                    "turnos",
                    "turnos",
                    "turnos",
                    more_bounds=(f"evacuate_ms={EVACUATION_S * 1000:g}",),
                ) as mesh:
                    await mesh.wait_until_serving()
                    await self._check_evacuation(mesh)

        trio.run(main)

    async def _check_evacuation(self, mesh: HostedMesh) -> None:
        mesh.store.put("evacuations", "z0", {})
        await self.wait_for_servers(mesh, {"vm-1"})
        # A node there starts again, and the store has forgotten its history.
        mesh.signal_node("vm-0", signal.SIGKILL)
        await mesh.wait_for_exit("vm-0")
        mesh.store.compact()
        counts = {name: len(mesh.backends[name].requests) for name in ("vm-0", "vm-2")}
        mesh.start_node("vm-0")
        await mesh.wait_until_serving("vm-0")
        self.assertEqual(await self.servers_in_use(mesh), {"vm-1"})
        for name, count in counts.items():
            self.assertEqual(len(mesh.backends[name].requests), count)
        mesh.store.put("evacuations", "z1", {})
        with trio.fail_after(EVACUATION_S):
            while (response := await mesh.send_request("vm-2")).status != 503:
                await trio.sleep(0.05)
        headers = {key.lower(): value for key, value in response.headers}
        self.assertIn(b"retry-after", headers)
        self.assertEqual(headers[b"marigoldchute-code"], b"514")
        mesh.store.remove("evacuations", "z0")
        await self.wait_for_servers(mesh, {"vm-0", "vm-2"})
        mesh.store.remove("evacuations", "z1")
        await self.wait_for_servers(mesh, {"vm-0", "vm-1", "vm-2"})
