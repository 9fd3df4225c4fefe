"""Runs every benchmark and writes the results of the run to one JSON file.

Usage: ``python -m bench.run_all [--seed N] [--only NAME ...]``. The file is written to
bench/results/runs and named after the time and the commit.
"""

from __future__ import annotations

import argparse
import dataclasses
import datetime
import json
import os
import pathlib
import platform
import subprocess
import sys
import time
from typing import Any

RESULTS_DIRECTORY = pathlib.Path(__file__).parent / "results"
RUNS_DIRECTORY = RESULTS_DIRECTORY / "runs"


@dataclasses.dataclass(frozen=True)
class Benchmark:
    """One benchmark.

    Parameters
    ----------
    name : str
        Name of its result, ``bench/results/<name>.json``.
    module : str
        Module to run.
    args : tuple of str
        Arguments; ``{seed}`` is replaced.
    timeout_s : int
        Time after which the benchmark is killed.
    """

    name: str
    module: str
    args: tuple[str, ...]
    timeout_s: int


BENCHMARKS = (
    Benchmark("transport", "bench.bench_transport", ("--calls", "2000"), 60),
    Benchmark("scale", "bench.bench_scale", (), 60),
    Benchmark("evidence", "bench.bench_evidence", (), 120),
    Benchmark("path", "bench.bench_path", ("--seed", "{seed}"), 120),
    Benchmark(
        "membership", "bench.bench_membership", ("--sizes", "8", "16", "32"), 180
    ),
    Benchmark(
        "distribution",
        "bench.bench_distribution",
        ("--sizes", "8", "16", "--seed", "{seed}"),
        240,
    ),
    Benchmark("moves", "bench.bench_moves", ("--quick", "--seed", "{seed}"), 300),
)


def _describe_machine() -> dict[str, Any]:
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return {
        "cores": os.cpu_count(),
        "memory_mb": memory // 1_000_000,
        "python": platform.python_version(),
    }


def _current_commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.run(command, capture_output=True, text=True).stdout.strip()


def _run(benchmark: Benchmark, seed: int) -> dict[str, Any]:
    args = [arg.format(seed=seed) for arg in benchmark.args]
    path = RESULTS_DIRECTORY / f"{benchmark.name}.json"
    path.unlink(missing_ok=True)
    print(f"== {benchmark.name}: {benchmark.module} {' '.join(args)}", flush=True)
    started_s = time.monotonic()
    try:
        command = [sys.executable, "-m", benchmark.module, *args]
        status = subprocess.run(command, timeout=benchmark.timeout_s).returncode
    except subprocess.TimeoutExpired:
        status = -1
    duration_s = round(time.monotonic() - started_s, 1)
    result = json.loads(path.read_text()) if path.exists() else None
    outcome = "ended" if status == 0 else f"FAILED with status {status}"
    print(f"== {benchmark.name} {outcome} after {duration_s} s", flush=True)
    return {"status": status, "seconds": duration_s, "result": result}


def main() -> int:
    """Run the benchmarks and return exit status 1 if one failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", nargs="*", default=[b.name for b in BENCHMARKS])
    args = parser.parse_args()
    now = datetime.datetime.now(datetime.UTC)
    results = {b.name: _run(b, args.seed) for b in BENCHMARKS if b.name in args.only}
    run = {
        "at": now.isoformat(timespec="seconds"),
        "seed": args.seed,
        "commit": _current_commit(),
        "machine": _describe_machine(),
        "benches": results,
    }
    RUNS_DIRECTORY.mkdir(exist_ok=True)
    path = RUNS_DIRECTORY / f"{now:%Y%m%d-%H%M}-{run['commit']}.json"
    path.write_text(json.dumps(run, indent=1) + "\n")
    print(f"written: {path.relative_to(pathlib.Path.cwd())}")
    return 0 if all(item["status"] == 0 for item in results.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
