"""Planned stops of nodes whose callers keep their connections in use."""

from __future__ import annotations

import os
import random
import signal
import unittest
from typing import TYPE_CHECKING

import trio

from tests.support.hosted import hosted_mesh
from tests.support.stops import (
    BodyFraming,
    KeptCallers,
    Stop,
    find_cut_remotely,
    find_lost,
    find_refused_after_run,
    find_run_twice,
    set_run_times,
    with_runs,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from tests.support.hosted import HostedMesh
    from tests.support.stops import KeptRequest

SEED = int(os.environ.get("MARIGOLDCHUTE_SEED", "1"))
GRACE_S = 6.0
WARM_UP_S = 1.5
SERVICES = ("turnos", "turnos", "turnos")


class StopScenario:
    """Callers on some VMs of a mesh and the stops of its nodes."""

    def __init__(self, mesh: HostedMesh) -> None:
        self.mesh = mesh
        self.stops: list[Stop] = []
        self.callers: dict[str, KeptCallers] = {}
        set_run_times(mesh.backends.values())

    def add_callers(
        self,
        vm: str,
        framings: Sequence[BodyFraming] = (BodyFraming.LENGTH,),
        connections: int = 16,
    ) -> KeptCallers:
        rng = random.Random(f"{SEED} {vm}")
        callers = KeptCallers(self.mesh, vm, rng, connections, framings)
        self.callers[vm] = callers
        return callers

    async def run(self, script: Callable[[], Awaitable[None]]) -> None:
        """Run a script beside the callers, which end after it."""
        async with trio.open_nursery() as nursery:
            for callers in self.callers.values():
                nursery.start_soon(callers.run)
            await trio.sleep(WARM_UP_S)
            await script()
            for callers in self.callers.values():
                callers.stop()

    def stop_node(self, vm: str) -> None:
        self.stops.append(Stop(vm, trio.current_time()))
        self.mesh.signal_node(vm, signal.SIGTERM)

    async def wait_for_exits(self) -> None:
        """Wait until each stopped node has exited, and one second longer."""
        for stop in self.stops:
            await self.mesh.wait_for_exit(stop.vm)
        await trio.sleep(1.0)

    def results(self, vm: str | None = None) -> list[KeptRequest]:
        """Return the requests of the callers of one VM, or of all."""
        results = [
            result
            for name, callers in self.callers.items()
            if vm in (None, name)
            for result in callers.results
        ]
        return with_runs(results, self.mesh.backends.values())

    def find_faults(self) -> list[str]:
        """Return a line for each request that a stop has lost or run twice."""
        results = self.results()
        origin = self.stops[0].stopped_at
        faults = []
        for stop in self.stops:
            lost = find_lost(self.results(stop.vm), stop.stopped_at, GRACE_S)
            faults += [f"lost: {result.describe(origin)}" for result in lost]
        for kind, found in (
            ("cut remotely", find_cut_remotely(results, self.stops)),
            ("refused after run", find_refused_after_run(results)),
            ("run twice", find_run_twice(results)),
        ):
            faults += [f"{kind}: {result.describe(origin)}" for result in found]
        return faults


class StopTestCase(unittest.TestCase):
    maxDiff = None

    def run_scenario(
        self,
        scenario: Callable[[StopScenario], Awaitable[None]],
        services: Sequence[str] = SERVICES,
    ) -> None:
        """Run a scenario and check that no request was lost or run twice."""
        faults: list[str] = []

        async def main() -> None:
            with trio.fail_after(60.0):
                async with hosted_mesh(*services) as mesh:
                    await mesh.wait_until_serving()
                    stops = StopScenario(mesh)
                    await scenario(stops)
                    faults.extend(stops.find_faults())
                    served = [r for r in stops.results() if r.status == 200]
                    self.assertGreater(len(served), 100)

        trio.run(main)
        self.assertEqual(faults, [])


class SingleStopTest(StopTestCase):
    # Guards against requests on kept connections that a stopped node takes late in its
    # grace period, passes on and resets before their time is over.
    def test_requests_on_kept_connections_are_answered_by_a_stopped_node(self) -> None:
        async def scenario(stops: StopScenario) -> None:
            stops.add_callers("vm-0")

            async def script() -> None:
                stops.stop_node("vm-0")
                await stops.wait_for_exits()

            await stops.run(script)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
