"""Leaves of backend servers and the loss of the nodes that acknowledged them."""

from __future__ import annotations

import signal
import unittest
from typing import TYPE_CHECKING

import trio

from tests.support.hosted import REPORT_INTERVAL_MS, HostedMesh, hosted_mesh

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LEAVING = "vm-0"
WATCH_S = 2.0
KILL_DELAY_S = 0.5
RETURN_TIMEOUT_S = 5.0


class LeaveTestCase(unittest.TestCase):
    def run_mesh(self, scenario: Callable[[HostedMesh], Awaitable[None]]) -> None:
        async def main() -> None:
            with trio.fail_after(60):
                async with hosted_mesh("turnos", "reservas", "turnos") as mesh:
                    await mesh.wait_until_serving()
                    await scenario(mesh)

        trio.run(main)

    async def leave(self, mesh: HostedMesh, operation: str) -> int:
        """Let the backend server leave; return the status of the node's answer."""
        backend = mesh.backends[LEAVING]
        backend.reports = False
        if operation == "deregister":
            return await backend.call_node(operation, {"born": backend.born})
        backend.state = "draining"
        return await backend.call_node(operation, backend.make_report())

    async def restart(self, mesh: HostedMesh, *names: str) -> None:
        for name in names:
            mesh.signal_node(name, signal.SIGKILL)
        for name in names:
            await mesh.wait_for_exit(name)
            mesh.start_node(name)
        for name in names:
            while not await mesh.is_listening(name):
                await trio.sleep(0.02)

    async def count_requests(self, mesh: HostedMesh) -> int:
        """Send requests for some time; return how many reached the server that left."""
        runs = mesh.backends[LEAVING].runs
        before = len(runs)
        with trio.move_on_after(WATCH_S):
            while True:
                await mesh.send_request("vm-1")
                await trio.sleep(0.02)
        return len(runs) - before


class AcknowledgedLeaveTest(LeaveTestCase):
    async def check_loss(
        self, mesh: HostedMesh, operation: str, names: list[str]
    ) -> None:
        """Kill nodes after a leave; a report from before it arrives after that."""
        backend = mesh.backends[LEAVING]
        late_report = backend.make_report()
        self.assertEqual(await self.leave(mesh, operation), 200)
        await trio.sleep(KILL_DELAY_S)
        await self.restart(mesh, *names)
        await backend.call_node("heartbeat", late_report)
        await mesh.wait_until_serving("vm-2")
        self.assertEqual(await self.count_requests(mesh), 0)

    # Guards against requests for a server that left, after all nodes were killed.
    def test_leave_outlasts_the_loss_of_all_nodes(self) -> None:
        for operation in ("deregister", "heartbeat"):

            async def scenario(mesh: HostedMesh, operation: str = operation) -> None:
                await self.check_loss(mesh, operation, mesh.names)

            with self.subTest(operation):
                self.run_mesh(scenario)

    # Guards against requests for a server that left, after some nodes were killed.
    def test_leave_outlasts_the_loss_of_some_nodes(self) -> None:
        for names in ([LEAVING], [LEAVING, "vm-1"], ["vm-1", "vm-2"]):

            async def scenario(mesh: HostedMesh, names: list[str] = names) -> None:
                await self.check_loss(mesh, "deregister", names)

            with self.subTest(names):
                self.run_mesh(scenario)

    # Guards against a leave that only the killed node knew when it acknowledged it.
    def test_leave_outlasts_the_node_that_acknowledged_it(self) -> None:
        for operation in ("deregister", "heartbeat"):

            async def scenario(mesh: HostedMesh, operation: str = operation) -> None:
                self.assertEqual(await self.leave(mesh, operation), 200)
                await self.restart(mesh, LEAVING)
                self.assertEqual(await self.count_requests(mesh), 0)

            with self.subTest(operation):
                self.run_mesh(scenario)

    # Guards against requests for a server that left, while the store is down.
    def test_late_report_is_not_enough_while_the_store_is_down(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            backend = mesh.backends[LEAVING]
            late_report = backend.make_report()
            self.assertEqual(await self.leave(mesh, "deregister"), 200)
            mesh.store.faults.refused_status = 503
            await self.restart(mesh, LEAVING)
            await backend.call_node("heartbeat", late_report)
            self.assertEqual(await self.count_requests(mesh), 0)

        self.run_mesh(scenario)


class StoreOutageTest(LeaveTestCase):
    """Leaves and restarts while the store does not answer."""

    # Guards against the acknowledgement of a leave that could be forgotten.
    def test_leave_takes_effect_at_once_and_is_acknowledged_when_stored(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.store.faults.refused_status = 503
            self.assertEqual(await self.leave(mesh, "heartbeat"), 503)
            self.assertEqual(await self.count_requests(mesh), 0)
            mesh.store.faults.refused_status = 0
            backend = mesh.backends[LEAVING]
            with trio.fail_after(RETURN_TIMEOUT_S):
                while (
                    await backend.call_node("heartbeat", backend.make_report()) != 200
                ):
                    await trio.sleep(REPORT_INTERVAL_MS / 1000)

        self.run_mesh(scenario)

    # Guards against an outage of the store that takes running servers out of use.
    def test_running_server_of_a_restarted_node_is_used_without_the_store(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.store.faults.refused_status = 503
            await self.restart(mesh, LEAVING)
            self.assertGreater(await self.count_requests(mesh), 0)

        self.run_mesh(scenario)
