"""Idle cost of control on each node and speed of member changes, by number of nodes.

Starts meshes of real node processes on loopback addresses. For each size it reads what
every node spent over an idle time, drains one node and kills another, and takes from
the event logs when every other node knew. The cost at the target's 870 nodes is
extended from these sizes by a straight line over the number of nodes, and by one over
its logarithm, as links grow. Prints one JSON object and writes it to
bench/results/membership.json.
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

SIZES = (8, 16, 32, 64)
CENTRES = 4
TARGET_NODES = 870
QUIET_S = 20.0
IDLE_S = 10.0
START_PAUSE_S = 0.05
START_LIMIT_S = 120.0
CHANGE_LIMIT_S = 25.0
POLL_S = 0.25
RESULT = pathlib.Path(__file__).parent / "results" / "membership.json"


@dataclasses.dataclass(frozen=True)
class Spread:
    """Median and greatest value over the nodes of a mesh."""

    median: float
    greatest: float


@dataclasses.dataclass(frozen=True)
class SizeFigures:
    """Figures of one mesh.

    Parameters
    ----------
    nodes : int
        Node processes.
    sent_bytes_per_s, received_bytes_per_s : Spread
        Idle control bytes of each node.
    cpu_ms_per_s : Spread
        Idle processor time of each node.
    links : Spread
        Open links of each node.
    rss_mb : Spread
        Resident memory of each node.
    drain_known_ms, kill_known_ms : Spread
        Time until each other node knew of a draining and of a killed member.
    unaware_of_drain, unaware_of_kill : int
        Nodes that did not know within the limit.
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
class Extension:
    """A median at the target's number of nodes, extended two ways."""

    slope_per_node: float
    linear: float
    logarithmic: float


def _spread(values: Sequence[float]) -> Spread:
    if not values:
        return Spread(math.nan, math.nan)
    return Spread(round(statistics.median(values), 2), round(max(values), 2))


async def _stats(mesh: Mesh, names: Sequence[str]) -> dict[str, NodeStats]:
    found: dict[str, NodeStats] = {}

    async def ask(name: str) -> None:
        found[name] = await mesh.admin(name).stats()

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(ask, name)
    return found


async def _start(mesh: Mesh, names: Sequence[str]) -> None:
    mesh.start_store()
    for name in names:
        mesh.start_node(name)
        await trio.sleep(START_PAUSE_S)
    with trio.fail_after(START_LIMIT_S):
        for name in names:
            await mesh.wait_for_port(mesh.vm(name).address, 7100, START_LIMIT_S)
        while True:
            stats = await _stats(mesh, names)
            if all(item.members == len(names) for item in stats.values()):
                return
            await trio.sleep(POLL_S)


async def _known_ms(
    mesh: Mesh, member: str, event: str, since_ms: float, others: set[str]
) -> list[float]:
    """Return when each other node logged a state of a member."""
    wanted = f"marigoldchute:membership:{event}"
    known: dict[str, float] = {}
    deadline = trio.current_time() + CHANGE_LIMIT_S
    while known.keys() != others and trio.current_time() < deadline:
        await trio.sleep(POLL_S)
        for item in read_events(mesh.directory):
            told = item["message_type"] == wanted and item.get("member") == member
            if told and item["process"] in others:
                known.setdefault(item["process"], item["wall_ms"] - since_ms)
    return list(known.values())


async def _measure(mesh: Mesh, names: Sequence[str]) -> SizeFigures:
    await _start(mesh, names)
    await trio.sleep(QUIET_S)
    before = await _stats(mesh, names)
    await trio.sleep(IDLE_S)
    after = await _stats(mesh, names)

    def rate(value: Callable[[NodeStats], float]) -> Spread:
        return _spread(
            [
                (value(after[n]) - value(before[n]))
                / (after[n].uptime_s - before[n].uptime_s)
                for n in names
            ]
        )

    drained, killed = names[-1], names[-2]
    since_ms = time.time() * 1000
    os.kill(mesh.process(drained).pid, signal.SIGTERM)
    drain_ms = await _known_ms(mesh, drained, "draining", since_ms, set(names[:-1]))
    since_ms = time.time() * 1000
    mesh.kill(killed)
    kill_ms = await _known_ms(mesh, killed, "gone", since_ms, set(names[:-2]))
    return SizeFigures(
        nodes=len(names),
        sent_bytes_per_s=rate(lambda s: s.control_bytes_sent),
        received_bytes_per_s=rate(lambda s: s.control_bytes_received),
        cpu_ms_per_s=rate(lambda s: s.cpu_s * 1000),
        links=_spread([item.links for item in after.values()]),
        rss_mb=_spread([item.rss / 1e6 for item in after.values()]),
        drain_known_ms=_spread(drain_ms),
        kill_known_ms=_spread(kill_ms),
        unaware_of_drain=len(names) - 1 - len(drain_ms),
        unaware_of_kill=len(names) - 2 - len(kill_ms),
    )


def _run_size(nodes: int) -> SizeFigures:
    block = LoopbackBlock()
    with tempfile.TemporaryDirectory() as directory:
        plan = plan_mesh(block.number, CENTRES, nodes // CENTRES)
        mesh = Mesh(plan, pathlib.Path(directory), seed=1)
        try:
            return trio.run(_measure, mesh, [vm.name for vm in plan.vms])
        finally:
            mesh.stop()
            block.release()


def _extend(
    figures: Sequence[SizeFigures], value: Callable[[SizeFigures], float]
) -> Extension:
    sizes = [item.nodes for item in figures]
    values = [value(item) for item in figures]
    line = statistics.linear_regression(sizes, values)
    logs = [math.log2(size) for size in sizes]
    curve = statistics.linear_regression(logs, values)
    return Extension(
        round(line.slope, 3),
        round(line.intercept + line.slope * TARGET_NODES, 1),
        round(curve.intercept + curve.slope * math.log2(TARGET_NODES), 1),
    )


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    args = parser.parse_args()
    figures = [_run_size(size) for size in args.sizes]
    result: dict[str, object] = {
        "load_average": os.getloadavg(),
        "sizes": [dataclasses.asdict(item) for item in figures],
    }
    if len(figures) > 1:
        fields = ("sent_bytes_per_s", "received_bytes_per_s", "cpu_ms_per_s", "links")
        result["at_870_nodes"] = {
            name: dataclasses.asdict(
                _extend(figures, lambda item, n=name: getattr(item, n).median)
            )
            for name in fields
        }
    text = json.dumps(result, indent=1)
    print(text)
    RESULT.write_text(text + "\n")


if __name__ == "__main__":
    main()
