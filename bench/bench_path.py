"""Latency that the request path adds to a call, beside a direct call in the same run.

One hop: the entry node's own backend server responds. Two hops: the backend server of
another VM does. Baseline: one proxy of hypercorn and httpcore. The routes take turns
in short rounds, so that a busy moment of the machine meets all of them. Prints a table
and writes bench/results/path.json.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import httpcore
import msgspec
import trio
from hdrh.histogram import HdrHistogram

from marigoldchute.standins.backend import BackendSettings
from marigoldchute.standins.load import (
    MAX_LATENCY_US,
    MIN_LATENCY_US,
    SIGNIFICANT_DIGITS,
    LoadPlan,
    LoadResult,
)
from marigoldchute.standins.loopback import (
    BACKEND_PORT,
    INTERNAL_PORT,
    LoopbackBlock,
    plan_mesh,
)
from marigoldchute.standins.mesh import Mesh

RESULT = pathlib.Path(__file__).parent / "results" / "path.json"
CALLER_PORT = 8000
BASELINE_PORT = 8900
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
BUNDLE = json.dumps(
    {
        "services": [
            {"name": "turnos", "release": "r1"},
            {"name": "reservas", "release": "r1"},
        ],
        "routes": [
            {"name": "turnos", "path_prefix": "/turnos", "service": "turnos"},
            {"name": "reservas", "path_prefix": "/reservas", "service": "reservas"},
        ],
    }
)


@dataclasses.dataclass
class Way:
    """One way to a backend server and what was measured on it."""

    name: str
    address: str
    port: int
    path: str
    histogram: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
    )
    calls: int = 0
    results: dict[str, int] = dataclasses.field(default_factory=dict)
    cpu_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def take(self, result: LoadResult, cpu_s: dict[str, float]) -> None:
        """Add the result of one round."""
        self.histogram.decode_and_add(result.latencies)
        self.calls += result.calls
        for name, count in result.results.items():
            self.results[name] = self.results.get(name, 0) + count
        for name, seconds in cpu_s.items():
            self.cpu_s[name] = self.cpu_s.get(name, 0.0) + seconds


class Bench:
    """Runs the rounds on a mesh of two VMs."""

    def __init__(self, mesh: Mesh, rate_per_s: float, round_s: float) -> None:
        self._mesh = mesh
        self._rate_per_s = rate_per_s
        self._round_s = round_s
        first, second = mesh.plan.vms
        self._vms = (first, second)
        self.ways = [
            Way("direct", first.address, BACKEND_PORT, "/turnos/1"),
            Way("one hop", first.address, CALLER_PORT, "/turnos/1"),
            Way("two hops", first.address, CALLER_PORT, "/reservas/1"),
            Way("baseline hop", first.address, BASELINE_PORT, "/turnos/1"),
        ]
        self._baseline: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the processes and bring the bundle in force."""
        mesh = self._mesh
        mesh.start_store()
        for vm, service in zip(self._vms, ("turnos", "reservas"), strict=True):
            mesh.start_node(vm.name)
            mesh.start_backend(
                BackendSettings(vm.address, BACKEND_PORT, INTERNAL_PORT, service, "r1")
            )
        first = self._vms[0]
        self._start_baseline(first.address)
        await mesh.wait_until(
            first.name,
            lambda s: len(s.members) == 2 and all(m.servers for m in s.members),
        )
        bundle = mesh.directory / "bundle.json"
        bundle.write_text(BUNDLE)
        args = ["roll", str(bundle), "--key", str(mesh.key_path)]
        done = mesh.run_ctl([*args, "--node", f"{first.address}:7100"])
        if done.returncode:
            raise RuntimeError(done.stderr)
        await mesh.wait_for_port(first.address, BASELINE_PORT)
        for way in self.ways:
            await _wait_for_response(way)

    def _start_baseline(self, address: str) -> None:
        self._baseline = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bench.baseline_edge",
                address,
                str(BASELINE_PORT),
                f"http://{address}:{BACKEND_PORT}",
            ]
        )

    def stop(self) -> None:
        """End every process."""
        if self._baseline is not None:
            self._baseline.terminate()
            self._baseline.wait()
        self._mesh.stop()

    async def run_round(self, seed: int) -> None:
        """Measure each way once."""
        for way in self.ways:
            plan = LoadPlan(
                way.address,
                way.port,
                way.path,
                self._rate_per_s,
                self._round_s,
                seed=seed,
            )
            before = self._cpu_s()
            result = await trio.to_thread.run_sync(run_load, plan)
            after = self._cpu_s()
            way.take(result, {name: after[name] - before[name] for name in after})

    def measure_idle(self, duration_s: float) -> dict[str, float]:
        """Return the share of a core that each process uses without requests."""
        before = self._cpu_s()
        time.sleep(duration_s)
        after = self._cpu_s()
        return {name: (after[name] - before[name]) / duration_s for name in after}

    def _pids(self) -> dict[str, int]:
        assert self._baseline is not None
        pids = {vm.name: self._mesh.process(vm.name).pid for vm in self._vms}
        return pids | {"baseline": self._baseline.pid}

    def _cpu_s(self) -> dict[str, float]:
        return {name: read_cpu_s(pid) for name, pid in self._pids().items()}

    def peak_rss_mb(self) -> dict[str, float]:
        """Return the greatest resident memory of each process."""
        return {name: read_peak_mb(pid) for name, pid in self._pids().items()}


async def _wait_for_response(way: Way) -> None:
    url = f"http://{way.address}:{way.port}{way.path}"
    async with httpcore.AsyncConnectionPool() as pool:
        while (await pool.request("GET", url)).status != 200:
            await trio.sleep(0.05)


def run_load(plan: LoadPlan) -> LoadResult:
    """Run the load tool as a process of its own."""
    text = msgspec.json.encode(plan).decode()
    done = subprocess.run(
        [sys.executable, "-m", "marigoldchute.cmd.standin", "load", text],
        capture_output=True,
        check=True,
    )
    return msgspec.json.decode(done.stdout, type=LoadResult)


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_peak_mb(pid: int) -> float:
    """Return the greatest resident memory of a process in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1000
    return 0.0


def summarise(
    bench: Bench, idle: dict[str, float], round_s: float, rounds: int
) -> list[dict[str, object]]:
    """Return one row of figures for each way."""
    direct = bench.ways[0].histogram
    rows = []
    for way in bench.ways:
        row: dict[str, object] = {
            "way": way.name,
            "calls": way.calls,
            "results": way.results,
        }
        for label, percentile in (("p50", 50), ("p99", 99), ("p99.9", 99.9)):
            total_us = way.histogram.get_value_at_percentile(percentile)
            row[f"{label}_us"] = total_us
            added_us = total_us - direct.get_value_at_percentile(percentile)
            row[f"added_{label}_us"] = added_us
        row["cpu_us_per_call"] = {
            name: round(
                (seconds - idle[name] * round_s * rounds) / way.calls * 1_000_000
            )
            for name, seconds in way.cpu_s.items()
        }
        rows.append(row)
    return rows


async def measure(args: argparse.Namespace, directory: pathlib.Path) -> dict:
    """Run the whole benchmark and return its figures."""
    block = LoopbackBlock()
    mesh = Mesh(plan_mesh(block.number, 1, 2), directory, args.seed)
    mesh.write_key()
    bench = Bench(mesh, args.rate, args.round_s)
    try:
        await bench.start()
        await bench.run_round(args.seed)  # Warms caches; not counted.
        for way in bench.ways:
            way.__init__(way.name, way.address, way.port, way.path)
        idle = bench.measure_idle(args.round_s)
        for index in range(args.rounds):
            await bench.run_round(args.seed + 1 + index)
        states = [await mesh.backend_state(vm.name) for vm in mesh.plan.vms]
        return {
            "rate_per_s": args.rate,
            "rounds": args.rounds,
            "round_s": args.round_s,
            "seed": args.seed,
            "load_average": os.getloadavg()[0],
            "idle_share_of_core": {k: round(v, 4) for k, v in idle.items()},
            "peak_rss_mb": bench.peak_rss_mb(),
            "backend_max_running": [state.max_running for state in states],
            "backend_max_connections": [state.max_connections for state in states],
            "ways": summarise(bench, idle, args.round_s, args.rounds),
        }
    finally:
        bench.stop()
        block.release()


def print_table(figures: dict) -> None:
    """Print the figures for a reader."""
    print(f"{'way':14}{'calls':>7}{'p50':>8}{'p99':>8}{'p99.9':>8}", end="")
    print(f"{'+p50':>8}{'+p99':>8}{'+p99.9':>8}  CPU us a call")
    for row in figures["ways"]:
        print(f"{row['way']:14}{row['calls']:7}", end="")
        for name in ("p50", "p99", "p99.9"):
            print(f"{row[f'{name}_us']:8}", end="")
        for name in ("p50", "p99", "p99.9"):
            print(f"{row[f'added_{name}_us']:8}", end="")
        print(f"  {row['cpu_us_per_call']}")
    for key, value in figures.items():
        if key != "ways":
            print(f"{key}: {value}")


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=195.0, help="calls a second")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--round-s", type=float, default=3.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        figures = trio.run(measure, args, pathlib.Path(directory))
    print_table(figures)
    RESULT.write_text(json.dumps(figures, indent=2) + "\n")


if __name__ == "__main__":
    main()
