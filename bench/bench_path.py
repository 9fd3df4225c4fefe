"""Latency that the request path adds, compared with direct requests in the same rounds.

One hop: a backend server on the entry node's VM responds. Two hops: a backend server on
another VM responds. Baseline: one proxy built on hypercorn and httpcore. The endpoints
are measured in turn in short rounds, so that a load peak of the machine affects all of
them. Prints a table and writes bench/results/path.json.
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

RESULT_PATH = pathlib.Path(__file__).parent / "results" / "path.json"
CALLER_PORT = 8000
BASELINE_PORT = 8900
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
BUNDLE_JSON = json.dumps(
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
class Endpoint:
    """An endpoint under load and its measurements."""

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

    def add_round(self, result: LoadResult, cpu_s: dict[str, float]) -> None:
        """Add the result and the CPU times of one round."""
        self.histogram.decode_and_add(result.latencies)
        self.calls += result.calls
        for name, count in result.results.items():
            self.results[name] = self.results.get(name, 0) + count
        for name, seconds in cpu_s.items():
            self.cpu_s[name] = self.cpu_s.get(name, 0.0) + seconds


class PathBench:
    """Measures the endpoints in rounds on a mesh of two VMs."""

    def __init__(self, mesh: Mesh, rate_per_s: float, round_s: float) -> None:
        self._mesh = mesh
        self._rate_per_s = rate_per_s
        self._round_s = round_s
        first, second = mesh.plan.vms
        self._vms = (first, second)
        self.endpoints = [
            Endpoint("direct", first.address, BACKEND_PORT, "/turnos/1"),
            Endpoint("one hop", first.address, CALLER_PORT, "/turnos/1"),
            Endpoint("two hops", first.address, CALLER_PORT, "/reservas/1"),
            Endpoint("baseline hop", first.address, BASELINE_PORT, "/turnos/1"),
        ]
        self._baseline: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the processes, roll the bundle and wait until all endpoints respond."""
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
        bundle.write_text(BUNDLE_JSON)
        args = ["roll", str(bundle), "--key", str(mesh.key_path)]
        completed = mesh.run_ctl([*args, "--node", f"{first.address}:7100"])
        if completed.returncode:
            raise RuntimeError(completed.stderr)
        await mesh.wait_for_port(first.address, BASELINE_PORT)
        for endpoint in self.endpoints:
            await _wait_until_ready(endpoint)

    def _start_baseline(self, address: str) -> None:
        self._baseline = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bench.baseline_proxy",
                address,
                str(BASELINE_PORT),
                f"http://{address}:{BACKEND_PORT}",
            ]
        )

    def stop(self) -> None:
        """Stop every process."""
        if self._baseline is not None:
            self._baseline.terminate()
            self._baseline.wait()
        self._mesh.stop()

    async def run_round(self, seed: int) -> None:
        """Measure each endpoint once."""
        for endpoint in self.endpoints:
            plan = LoadPlan(
                endpoint.address,
                endpoint.port,
                endpoint.path,
                self._rate_per_s,
                self._round_s,
                seed=seed,
            )
            before = self._read_cpu_times_s()
            result = await trio.to_thread.run_sync(run_load, plan)
            after = self._read_cpu_times_s()
            endpoint.add_round(
                result, {name: after[name] - before[name] for name in after}
            )

    def measure_idle(self, duration_s: float) -> dict[str, float]:
        """Return the share of a core that each process uses while idle."""
        before = self._read_cpu_times_s()
        time.sleep(duration_s)
        after = self._read_cpu_times_s()
        return {name: (after[name] - before[name]) / duration_s for name in after}

    def _pids(self) -> dict[str, int]:
        assert self._baseline is not None
        pids = {vm.name: self._mesh.process(vm.name).pid for vm in self._vms}
        return pids | {"baseline": self._baseline.pid}

    def _read_cpu_times_s(self) -> dict[str, float]:
        return {name: read_cpu_s(pid) for name, pid in self._pids().items()}

    def peak_rss_mb(self) -> dict[str, float]:
        """Return the peak resident memory of each process in megabytes."""
        return {name: read_peak_mb(pid) for name, pid in self._pids().items()}


async def _wait_until_ready(endpoint: Endpoint) -> None:
    url = f"http://{endpoint.address}:{endpoint.port}{endpoint.path}"
    async with httpcore.AsyncConnectionPool() as pool:
        while (await pool.request("GET", url)).status != 200:
            await trio.sleep(0.05)


def run_load(plan: LoadPlan) -> LoadResult:
    """Run the load generator in a separate process and return its result."""
    text = msgspec.json.encode(plan).decode()
    completed = subprocess.run(
        [sys.executable, "-m", "marigoldchute.cmd.standin", "load", text],
        capture_output=True,
        check=True,
    )
    return msgspec.json.decode(completed.stdout, type=LoadResult)


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_peak_mb(pid: int) -> float:
    """Return the peak resident memory of a process in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1000
    return 0.0


def summarise(
    bench: PathBench, idle: dict[str, float], round_s: float, rounds: int
) -> list[dict[str, object]]:
    """Return one row of measurements for each endpoint."""
    direct = bench.endpoints[0].histogram
    rows = []
    for endpoint in bench.endpoints:
        row: dict[str, object] = {
            "way": endpoint.name,
            "calls": endpoint.calls,
            "results": endpoint.results,
        }
        for label, percentile in (("p50", 50), ("p99", 99), ("p99.9", 99.9)):
            total_us = endpoint.histogram.get_value_at_percentile(percentile)
            row[f"{label}_us"] = total_us
            added_us = total_us - direct.get_value_at_percentile(percentile)
            row[f"added_{label}_us"] = added_us
        row["cpu_us_per_call"] = {
            name: round(
                (seconds - idle[name] * round_s * rounds) / endpoint.calls * 1_000_000
            )
            for name, seconds in endpoint.cpu_s.items()
        }
        rows.append(row)
    return rows


async def measure(args: argparse.Namespace, directory: pathlib.Path) -> dict:
    """Run the benchmark and return its report."""
    block = LoopbackBlock()
    mesh = Mesh(plan_mesh(block.number, 1, 2), directory, args.seed)
    mesh.write_key()
    bench = PathBench(mesh, args.rate, args.round_s)
    try:
        await bench.start()
        # The first round warms caches; its measurements are discarded.
        await bench.run_round(args.seed)
        for endpoint in bench.endpoints:
            endpoint.__init__(
                endpoint.name, endpoint.address, endpoint.port, endpoint.path
            )
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


def print_table(report: dict) -> None:
    """Print the report as a table."""
    print(f"{'way':14}{'calls':>7}{'p50':>8}{'p99':>8}{'p99.9':>8}", end="")
    print(f"{'+p50':>8}{'+p99':>8}{'+p99.9':>8}  CPU us a call")
    for row in report["ways"]:
        print(f"{row['way']:14}{row['calls']:7}", end="")
        for name in ("p50", "p99", "p99.9"):
            print(f"{row[f'{name}_us']:8}", end="")
        for name in ("p50", "p99", "p99.9"):
            print(f"{row[f'added_{name}_us']:8}", end="")
        print(f"  {row['cpu_us_per_call']}")
    for key, value in report.items():
        if key != "ways":
            print(f"{key}: {value}")


def main() -> None:
    """Run the benchmark, print its report and write it to the result file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=195.0, help="requests per second")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--round-s", type=float, default=3.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        report = trio.run(measure, args, pathlib.Path(directory))
    print_table(report)
    RESULT_PATH.write_text(json.dumps(report, indent=2) + "\n")


if __name__ == "__main__":
    main()
