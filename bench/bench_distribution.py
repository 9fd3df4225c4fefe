"""Convergence time and cost of relayed distribution and of direct store reads.

Starts meshes of real processes behind the fault-injecting proxy, which adds the delays
between data centres and regions and counts bytes. Distributes small changes of one
bundle, prints the results as JSON and writes them to bench/results/distribution.json.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import os
import pathlib
import statistics
import tempfile
import time
from typing import TYPE_CHECKING

import trio

from marigoldchute.admin.messages import RollRequest
from marigoldchute.bundle.codec import chunk_digest, encode_manifest, split_content
from marigoldchute.bundle.model import BundleContent, Route, Service
from marigoldchute.bundle.signing import sign_manifest
from marigoldchute.standins.faultproxy import Action, Rule
from marigoldchute.standins.loopback import DATA_CENTRES, LoopbackBlock, plan_mesh
from marigoldchute.standins.mesh import Mesh

if TYPE_CHECKING:
    from marigoldchute.standins.store import CallCounts

NODE_COUNTS = (8, 16, 32)
MODES = ("relayed", "direct")
DATA_CENTRE_COUNT = 4
SERVICE_COUNT = 25
ROUTES_PER_SERVICE = 8
CHANGE_COUNT = 6
IDLE_WINDOW_S = 8.0
SETTLE_S = 3.0
# Nodes close the links that they opened for joining after 15 s.
LINKS_SETTLE_S = 18.0
DATA_CENTRE_DELAY_MS = 1.0
REGION_DELAY_MS = 30.0
IN_FORCE_EVENT = "marigoldchute:distribution:in_force"
RESULT_PATH = pathlib.Path(__file__).parent / "results" / "distribution.json"


@dataclasses.dataclass(frozen=True)
class Counters:
    """Counters of the proxy and the store at one time, or their rates per second.

    Parameters
    ----------
    time_s : float
        Time at which the counters were read, or the window of the rates in seconds.
    total_bytes : int
        Bytes between processes.
    cross_region_bytes : int
        Bytes between processes of different regions.
    store_calls : int
        Reads and writes of the store.
    """

    time_s: float
    total_bytes: int
    cross_region_bytes: int
    store_calls: int


@dataclasses.dataclass(frozen=True)
class MeshMeasurements:
    """Measurements of one mesh.

    Parameters
    ----------
    nodes : int
        Node processes.
    mode : str
        ``relayed`` or ``direct``.
    p50_ms, p99_ms, max_ms : float
        Time from sending the signed roll request until the version is in force on a
        node, over all nodes and changes.
    last_node_ms : float
        Median over the changes of the time until the last node has it in force.
    node_bytes_per_change : float
        Bytes between processes per node and change, without the idle traffic.
    region_bytes_per_change : float
        Bytes between the regions per change, without the idle traffic.
    store_calls_per_change : float
        Calls to the store per change, without the idle calls.
    idle_node_bytes_per_s, idle_region_bytes_per_s, idle_store_calls_per_s : float
        Rates while no change is distributed.
    store_refusals : int
        Calls that the store refused because of its rate limits.
    """

    nodes: int
    mode: str
    p50_ms: float
    p99_ms: float
    max_ms: float
    last_node_ms: float
    node_bytes_per_change: float
    region_bytes_per_change: float
    store_calls_per_change: float
    idle_node_bytes_per_s: float
    idle_region_bytes_per_s: float
    idle_store_calls_per_s: float
    store_refusals: int


def _bundle_content(change: int) -> BundleContent:
    services = tuple(Service(f"service-{i}", "r1") for i in range(SERVICE_COUNT))
    routes = tuple(
        Route(
            f"route-{i}-{j}",
            f"/service-{i}/{j}",
            f"service-{i}",
            timeout_ms=5000 + (change if (i, j) == (0, 0) else 0),
        )
        for i in range(SERVICE_COUNT)
        for j in range(ROUTES_PER_SERVICE)
    )
    return BundleContent(services, routes)


class DistributionBench:
    """Measures one mesh in one distribution mode."""

    def __init__(self, mesh: Mesh, mode: str) -> None:
        self.mesh = mesh
        self.mode = mode
        self.sent_at_ms: dict[int, int] = {}

    async def run(self) -> MeshMeasurements:
        """Start the mesh, distribute the changes and return the measurements."""
        self.mesh.node_settings = {"distribution": self.mode}
        self.mesh.start_store()
        self.mesh.start_proxy()
        for vm in self.mesh.plan.vms:
            self.mesh.start_node(vm.name)
        await self._wait_until_joined()
        await self.mesh.set_proxy_rules(*_network_delay_rules())
        await self._roll(1)
        await trio.sleep(LINKS_SETTLE_S)
        idle = await self._measure_idle_rates()
        before = await self._read_counters()
        for version in range(2, CHANGE_COUNT + 2):
            await self._roll(version)
        await trio.sleep(SETTLE_S)
        after = await self._read_counters()
        calls = await self.mesh.store_call_counts()
        return self._summarise(idle, before, after, calls)

    async def _wait_until_joined(self) -> None:
        count = len(self.mesh.plan.vms)
        for vm in self.mesh.plan.vms:
            await self.mesh.wait_until(
                vm.name, lambda s: len(s.members) == count, timeout_s=120.0
            )

    async def _roll(self, version: int) -> None:
        chunks = split_content(_bundle_content(version))
        digests = [chunk_digest(chunk) for chunk in chunks]
        manifest = sign_manifest(
            version, digests, "ops-1", self.mesh.private_key, "bench", f"t{version}"
        )
        request = RollRequest(encode_manifest(manifest), tuple(chunks))
        vms = self.mesh.plan.vms
        node = vms[version % len(vms)].name
        self.sent_at_ms[version] = time.time_ns() // 1_000_000
        await self.mesh.admin(node).roll(request)
        with trio.fail_after(60):
            while len(self._in_force_delays_ms(version)) < len(vms):
                await trio.sleep(0.25)

    def _in_force_delays_ms(self, version: int) -> list[int]:
        delays: list[int] = []
        for vm in self.mesh.plan.vms:
            path = self.mesh.directory / f"{vm.name}.log"
            for line in path.read_text().splitlines():
                if IN_FORCE_EVENT not in line:
                    continue
                event = json.loads(line)
                if event["version"] == version:
                    delays.append(event["wall_ms"] - self.sent_at_ms[version])
        return delays

    async def _read_counters(self) -> Counters:
        counts = await self.mesh.byte_counts()
        calls = await self.mesh.store_call_counts()
        region = [c.bytes for c in counts if c.source_region != c.target_region]
        total = sum(c.bytes for c in counts)
        return Counters(
            trio.current_time(), total, sum(region), calls.read + calls.write
        )

    async def _measure_idle_rates(self) -> Counters:
        """Return the rates per second while no change is distributed."""
        before = await self._read_counters()
        await trio.sleep(IDLE_WINDOW_S)
        after = await self._read_counters()
        elapsed_s = after.time_s - before.time_s
        return Counters(
            elapsed_s,
            round((after.total_bytes - before.total_bytes) / elapsed_s),
            round((after.cross_region_bytes - before.cross_region_bytes) / elapsed_s),
            round((after.store_calls - before.store_calls) / elapsed_s),
        )

    def _summarise(
        self, idle: Counters, before: Counters, after: Counters, calls: CallCounts
    ) -> MeshMeasurements:
        nodes = len(self.mesh.plan.vms)
        elapsed_s = after.time_s - before.time_s
        delays_by_change = [
            self._in_force_delays_ms(v) for v in range(2, CHANGE_COUNT + 2)
        ]
        delays = sorted(delay for change in delays_by_change for delay in change)
        total = after.total_bytes - before.total_bytes - idle.total_bytes * elapsed_s
        region = after.cross_region_bytes - before.cross_region_bytes
        store = after.store_calls - before.store_calls
        return MeshMeasurements(
            nodes,
            self.mode,
            statistics.median(delays),
            delays[min(len(delays) - 1, int(len(delays) * 0.99))],
            delays[-1],
            statistics.median(max(change) for change in delays_by_change),
            round(total / CHANGE_COUNT / nodes),
            round((region - idle.cross_region_bytes * elapsed_s) / CHANGE_COUNT),
            round((store - idle.store_calls * elapsed_s) / CHANGE_COUNT, 1),
            round(idle.total_bytes / nodes),
            idle.cross_region_bytes,
            idle.store_calls,
            calls.refused,
        )


def _network_delay_rules() -> tuple[Rule, ...]:
    data_centres = [name for name, _ in DATA_CENTRES[:DATA_CENTRE_COUNT]]
    between_data_centres = [
        Rule(a, b, Action.DELAY, delay_ms=DATA_CENTRE_DELAY_MS)
        for i, a in enumerate(data_centres)
        for b in data_centres[i + 1 :]
    ]
    regions = sorted({region for _, region in DATA_CENTRES})
    between_regions = [
        Rule(a, b, Action.DELAY, delay_ms=REGION_DELAY_MS)
        for i, a in enumerate(regions)
        for b in regions[i + 1 :]
    ]
    return (*between_regions, *between_data_centres)


def measure(nodes: int, mode: str, seed: int) -> MeshMeasurements:
    """Measure a mesh of the given size in one distribution mode."""
    block = LoopbackBlock()
    with tempfile.TemporaryDirectory() as directory:
        plan = plan_mesh(
            block.number, DATA_CENTRE_COUNT, nodes // DATA_CENTRE_COUNT, proxied=True
        )
        mesh = Mesh(plan, pathlib.Path(directory), seed)
        mesh.write_key()
        try:
            return trio.run(DistributionBench(mesh, mode).run)
        finally:
            mesh.stop()
            block.release()


def _growth_per_doubling(measurements: list[MeshMeasurements]) -> dict[str, float]:
    """Return the growth of each measurement per doubling of the node count."""
    first, last = measurements[0], measurements[-1]
    names = [f.name for f in dataclasses.fields(MeshMeasurements)][2:-1]
    doublings = max(1, (last.nodes // first.nodes).bit_length() - 1)
    return {
        name: round((getattr(last, name) - getattr(first, name)) / doublings, 1)
        for name in names
    }


def main() -> None:
    """Run the benchmark for each mesh size and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=NODE_COUNTS)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    results: dict[str, list[MeshMeasurements]] = {mode: [] for mode in MODES}
    for nodes in args.sizes:
        for mode in MODES:
            measurements = measure(nodes, mode, args.seed)
            print(json.dumps(dataclasses.asdict(measurements)), flush=True)
            results[mode].append(measurements)
    report = {
        "machine": f"{os.cpu_count()} cores, shared; load {os.getloadavg()[0]:.1f}",
        "seed": args.seed,
        "changes": CHANGE_COUNT,
        "figures": [dataclasses.asdict(f) for items in results.values() for f in items],
        "growth_per_doubling": {
            m: _growth_per_doubling(items) for m, items in results.items()
        },
    }
    RESULT_PATH.write_text(json.dumps(report, indent=2) + "\n")
    print(json.dumps(report["growth_per_doubling"], indent=2))


if __name__ == "__main__":
    main()
