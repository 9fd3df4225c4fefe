"""Idle control cost of each node and delay of membership changes, by number of nodes.

Starts meshes of real node processes on loopback addresses. For each size it measures
the resources that every node uses while idle, drains one node, kills another, and reads
from the event logs when every other node recorded the change. The cost at the target's
870 nodes is extrapolated by a linear fit over the number of nodes and by one over its
logarithm, which is how the number of links grows. Prints one JSON object and writes it
to bench/results/membership.json.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import math
import os
import pathlib
import signal
import statistics
import tempfile
import time
from typing import TYPE_CHECKING

import trio

from marigoldchute.standins.loopback import LoopbackBlock, plan_mesh
from marigoldchute.standins.mesh import Mesh
from tests.support.invariants import read_events

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from marigoldchute.link.stats import NodeStats

NODE_COUNTS = (8, 16, 32, 64)
DATA_CENTRE_COUNT = 4
TARGET_NODE_COUNT = 870
SETTLE_S = 20.0
IDLE_WINDOW_S = 10.0
START_INTERVAL_S = 0.05
START_TIMEOUT_S = 120.0
CHANGE_TIMEOUT_S = 25.0
POLL_INTERVAL_S = 0.25
RESULT_PATH = pathlib.Path(__file__).parent / "results" / "membership.json"


@dataclasses.dataclass(frozen=True)
class Spread:
    """Median and maximum over the nodes of a mesh."""

    median: float
    greatest: float


@dataclasses.dataclass(frozen=True)
class MeshMeasurements:
    """Measurements of one mesh.

    Parameters
    ----------
    nodes : int
        Node processes.
    sent_bytes_per_s, received_bytes_per_s : Spread
        Control bytes of each node while idle.
    cpu_ms_per_s : Spread
        CPU time of each node while idle.
    links : Spread
        Open links of each node.
    rss_mb : Spread
        Resident memory of each node.
    drain_known_ms, kill_known_ms : Spread
        Time until each other node recorded that a member drains and that a member was
        killed.
    unaware_of_drain, unaware_of_kill : int
        Number of nodes that did not record it before the timeout.
    """

    nodes: int
    sent_bytes_per_s: Spread
    received_bytes_per_s: Spread
    cpu_ms_per_s: Spread
    links: Spread
    rss_mb: Spread
    drain_known_ms: Spread
    kill_known_ms: Spread
    unaware_of_drain: int
    unaware_of_kill: int


@dataclasses.dataclass(frozen=True)
class Extrapolation:
    """A median extrapolated to the target's number of nodes by two fits."""

    slope_per_node: float
    linear: float
    logarithmic: float


def _spread(values: Sequence[float]) -> Spread:
    if not values:
        return Spread(math.nan, math.nan)
    return Spread(round(statistics.median(values), 2), round(max(values), 2))


async def _fetch_stats(mesh: Mesh, names: Sequence[str]) -> dict[str, NodeStats]:
    stats: dict[str, NodeStats] = {}

    async def fetch(name: str) -> None:
        stats[name] = await mesh.admin(name).stats()

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(fetch, name)
    return stats


async def _start_mesh(mesh: Mesh, names: Sequence[str]) -> None:
    mesh.start_store()
    for name in names:
        mesh.start_node(name)
        await trio.sleep(START_INTERVAL_S)
    with trio.fail_after(START_TIMEOUT_S):
        for name in names:
            await mesh.wait_for_port(mesh.vm(name).address, 7100, START_TIMEOUT_S)
        while True:
            stats = await _fetch_stats(mesh, names)
            if all(item.members == len(names) for item in stats.values()):
                return
            await trio.sleep(POLL_INTERVAL_S)


async def _detection_delays_ms(
    mesh: Mesh, member: str, event_name: str, changed_at_ms: float, observers: set[str]
) -> list[float]:
    """Return the delays until the other nodes logged an event about a member."""
    message_type = f"marigoldchute:membership:{event_name}"
    delays_ms: dict[str, float] = {}
    deadline = trio.current_time() + CHANGE_TIMEOUT_S
    while delays_ms.keys() != observers and trio.current_time() < deadline:
        await trio.sleep(POLL_INTERVAL_S)
        for item in read_events(mesh.directory):
            is_detection = (
                item["message_type"] == message_type and item.get("member") == member
            )
            if is_detection and item["process"] in observers:
                delays_ms.setdefault(item["process"], item["wall_ms"] - changed_at_ms)
    return list(delays_ms.values())


async def _measure(mesh: Mesh, names: Sequence[str]) -> MeshMeasurements:
    await _start_mesh(mesh, names)
    await trio.sleep(SETTLE_S)
    before = await _fetch_stats(mesh, names)
    await trio.sleep(IDLE_WINDOW_S)
    after = await _fetch_stats(mesh, names)

    def rate_spread(value: Callable[[NodeStats], float]) -> Spread:
        return _spread(
            [
                (value(after[n]) - value(before[n]))
                / (after[n].uptime_s - before[n].uptime_s)
                for n in names
            ]
        )

    drained, killed = names[-1], names[-2]
    changed_at_ms = time.time() * 1000
    os.kill(mesh.process(drained).pid, signal.SIGTERM)
    drain_ms = await _detection_delays_ms(
        mesh, drained, "draining", changed_at_ms, set(names[:-1])
    )
    changed_at_ms = time.time() * 1000
    mesh.kill(killed)
    kill_ms = await _detection_delays_ms(
        mesh, killed, "gone", changed_at_ms, set(names[:-2])
    )
    return MeshMeasurements(
        nodes=len(names),
        sent_bytes_per_s=rate_spread(lambda s: s.control_bytes_sent),
        received_bytes_per_s=rate_spread(lambda s: s.control_bytes_received),
        cpu_ms_per_s=rate_spread(lambda s: s.cpu_s * 1000),
        links=_spread([item.links for item in after.values()]),
        rss_mb=_spread([item.rss / 1e6 for item in after.values()]),
        drain_known_ms=_spread(drain_ms),
        kill_known_ms=_spread(kill_ms),
        unaware_of_drain=len(names) - 1 - len(drain_ms),
        unaware_of_kill=len(names) - 2 - len(kill_ms),
    )


def _measure_mesh(nodes: int) -> MeshMeasurements:
    block = LoopbackBlock()
    with tempfile.TemporaryDirectory() as directory:
        plan = plan_mesh(block.number, DATA_CENTRE_COUNT, nodes // DATA_CENTRE_COUNT)
        mesh = Mesh(plan, pathlib.Path(directory), seed=1)
        try:
            return trio.run(_measure, mesh, [vm.name for vm in plan.vms])
        finally:
            mesh.stop()
            block.release()


def _extrapolate(
    measurements: Sequence[MeshMeasurements], value: Callable[[MeshMeasurements], float]
) -> Extrapolation:
    sizes = [item.nodes for item in measurements]
    values = [value(item) for item in measurements]
    linear_fit = statistics.linear_regression(sizes, values)
    log_sizes = [math.log2(size) for size in sizes]
    logarithmic_fit = statistics.linear_regression(log_sizes, values)
    return Extrapolation(
        round(linear_fit.slope, 3),
        round(linear_fit.intercept + linear_fit.slope * TARGET_NODE_COUNT, 1),
        round(
            logarithmic_fit.intercept
            + logarithmic_fit.slope * math.log2(TARGET_NODE_COUNT),
            1,
        ),
    )


def main() -> None:
    """Run the benchmark for each mesh size and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(NODE_COUNTS))
    args = parser.parse_args()
    measurements = [_measure_mesh(size) for size in args.sizes]
    result: dict[str, object] = {
        "load_average": os.getloadavg(),
        "sizes": [dataclasses.asdict(item) for item in measurements],
    }
    if len(measurements) > 1:
        field_names = (
            "sent_bytes_per_s",
            "received_bytes_per_s",
            "cpu_ms_per_s",
            "links",
        )
        result["at_870_nodes"] = {
            name: dataclasses.asdict(
                _extrapolate(measurements, lambda item, n=name: getattr(item, n).median)
            )
            for name in field_names
        }
    text = json.dumps(result, indent=1)
    print(text)
    RESULT_PATH.write_text(text + "\n")


if __name__ == "__main__":
    main()
