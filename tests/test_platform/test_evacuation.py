"""Evacuation of a data centre of a mesh of node processes."""

from __future__ import annotations

import contextlib
import signal
import unittest
from typing import TYPE_CHECKING

import httpcore
import trio

from tests.support.hosted import hosted_mesh

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

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

    def run_mesh(self, scenario: Callable[[HostedMesh], Awaitable[None]]) -> None:
        async def main() -> None:
            with trio.fail_after(90):
                async with hosted_mesh(
                    "turnos",
                    "turnos",
                    "turnos",
                    more_bounds=(f"evacuate_ms={EVACUATION_S * 1000:g}",),
                ) as mesh:
                    await mesh.wait_until_serving()
                    await scenario(mesh)

        trio.run(main)

    async def restart(self, mesh: HostedMesh, *names: str) -> None:
        """Kill and start nodes, and send requests to them from then on.

        Fails if one of the requests reaches a server of the evacuated z0.
        """
        for name in names:
            mesh.signal_node(name, signal.SIGKILL)
            await mesh.wait_for_exit(name)
        counts = {name: len(mesh.backends[name].requests) for name in ("vm-0", "vm-2")}
        async with trio.open_nursery() as nursery:
            for name in names:
                mesh.start_node(name)
                nursery.start_soon(self.send_until_served, mesh, name)
        for name, count in counts.items():
            self.assertEqual(len(mesh.backends[name].requests), count)

    async def send_until_served(self, mesh: HostedMesh, name: str) -> None:
        status = 0
        while status != 200:
            await trio.sleep(0.02)
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                status = (await mesh.send_request(name)).status

    def test_evacuation_and_its_end(self) -> None:
        """Guards against an evacuation that some node does not follow."""

        async def scenario(mesh: HostedMesh) -> None:
            mesh.store.put("evacuations", "z0", {})
            await self.wait_for_servers(mesh, {"vm-1"})
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

        self.run_mesh(scenario)

    def test_nodes_that_start_know_it_before_they_send(self) -> None:
        """Guards against requests of a new process to the evacuated servers."""

        async def scenario(mesh: HostedMesh) -> None:
            mesh.store.put("evacuations", "z0", {})
            await self.wait_for_servers(mesh, {"vm-1"})
            mesh.store.compact()
            await self.restart(mesh, "vm-0")
            await self.restart(mesh, *mesh.names)
            mesh.store.remove("evacuations", "z0")
            await self.wait_for_servers(mesh, {"vm-0", "vm-1", "vm-2"})

        self.run_mesh(scenario)

    def test_node_that_starts_without_the_store_learns_it_from_peers(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.store.put("evacuations", "z0", {})
            await self.wait_for_servers(mesh, {"vm-1"})
            mesh.store.faults.refused_status = 503
            await self.restart(mesh, "vm-2")
            self.assertEqual(await self.servers_in_use(mesh), {"vm-1"})

        self.run_mesh(scenario)
