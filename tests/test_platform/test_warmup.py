"""Warm-up limit of a backend server in a mesh of node processes."""

from __future__ import annotations

import signal
import unittest
from typing import TYPE_CHECKING

import trio

from tests.support.hosted import REPORT_INTERVAL_MS, hosted_mesh
from tests.test_routing.test_warmup import most_in_window

if TYPE_CHECKING:
    from tests.support.hosted import HostedMesh

REQUESTS_PER_S, OVERSHOOT, SLACK = 8, 1.5, 8
BOUND = REQUESTS_PER_S * OVERSHOOT + SLACK
FLOOD_INTERVAL_S = 0.02
FLOOD_S = 3.0


class ColdServerProcessTest(unittest.TestCase):
    """Two nodes, of which one has the only backend server of the service."""

    def run_mesh(self, scenario) -> None:
        async def main() -> None:
            with trio.fail_after(60):
                async with hosted_mesh(
                    "turnos",
                    "reservas",
                    more_bounds=(
                        f"warmup_overshoot={OVERSHOOT}",
                        f"warmup_slack={SLACK}",
                    ),
                    more_of_services={"warmup_s": 3.0, "warmup_per_s": REQUESTS_PER_S},
                ) as mesh:
                    await mesh.wait_until_serving()
                    await scenario(mesh)

        trio.run(main)

    async def flood(self, mesh: HostedMesh, names: tuple[str, ...]) -> list[int]:
        """Send far more requests than a cold server tolerates; return the statuses."""
        statuses: list[int] = []

        async def send(name: str) -> None:
            try:
                statuses.append((await mesh.send_request(name)).status)
            except Exception:  # The node that was called has been killed.
                statuses.append(0)

        async with trio.open_nursery() as nursery:
            ends_at = trio.current_time() + FLOOD_S
            while trio.current_time() < ends_at:
                for name in names:
                    nursery.start_soon(send, name)
                await trio.sleep(FLOOD_INTERVAL_S)
        return statuses

    def arrivals(self, mesh: HostedMesh, since: float, until: float) -> list[float]:
        runs = mesh.backends["vm-0"].runs
        return [r.arrived_at for r in runs if since <= r.arrived_at <= until]

    def test_server_that_becomes_cold_gets_requests_at_its_rate(self) -> None:
        """Guards against a server that crashes while it warms up."""

        async def scenario(mesh: HostedMesh) -> None:
            backend = mesh.backends["vm-0"]
            backend.warm_at = trio.current_time() + 2 * FLOOD_S
            await trio.sleep(2 * REPORT_INTERVAL_MS / 1000)
            since = trio.current_time()
            statuses = await self.flood(mesh, tuple(mesh.names))
            arrivals = self.arrivals(mesh, since, since + FLOOD_S)
            self.assertLessEqual(most_in_window(arrivals), BOUND)
            self.assertGreaterEqual(len(arrivals), REQUESTS_PER_S)
            self.assertLessEqual(set(statuses), {200, 503})
            self.assertIn(503, statuses)
            await trio.sleep_until(backend.warm_at + 2 * REPORT_INTERVAL_MS / 1000)
            self.assertEqual((await mesh.send_request("vm-1")).status, 200)

        self.run_mesh(scenario)

    def test_restarted_node_does_not_forget_that_the_server_may_be_cold(self) -> None:
        """Guards against a new process that knows neither reports nor earlier sends."""

        async def scenario(mesh: HostedMesh) -> None:
            backend = mesh.backends["vm-0"]
            backend.warm_at = trio.current_time() + 10 * FLOOD_S
            await trio.sleep(2 * REPORT_INTERVAL_MS / 1000)
            backend.reports = False
            since = trio.current_time()

            async def restart() -> None:
                await trio.sleep(0.5)
                mesh.signal_node("vm-0", signal.SIGKILL)
                await mesh.wait_for_exit("vm-0")
                mesh.start_node("vm-0")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(restart)
                nursery.start_soon(self.flood, mesh, ("vm-0", "vm-1"))
            arrivals = self.arrivals(mesh, since, trio.current_time())
            self.assertLessEqual(most_in_window(arrivals), BOUND)

        self.run_mesh(scenario)
