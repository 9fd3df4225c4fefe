"""Runs tests with nose2 in parallel processes.

The last line of the output counts the tests of all processes. The exit status is 1
when a test failed, a process exited with an error or without a result, or no test ran.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING

from tools.known_red import read_known_red
from tools.run_shard import ShardResult, read_result

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

SEED_VARIABLE = "MARIGOLDCHUTE_SEED"
TEST_DIRECTORY = "tests"
MESH_SUPPORT_MODULES = (
    "tests.support.meshes",
    "tests.support.rolls",
    "tests.support.hosted",
    "tests.support.bundle_mesh",
)
DEFAULT_JOBS = 3
SHARD_TIMEOUT_S = 400.0


@dataclasses.dataclass(frozen=True)
class ShardRun:
    """Output and result of one test process.

    Parameters
    ----------
    names : tuple of str
        Packages, modules, classes or tests that it ran.
    output : str
        Its standard output and standard error.
    result : ShardResult or None
        None when the process exited without writing a result.
    process_error : str
        Why the process itself counts as failed; empty otherwise.
    """

    names: tuple[str, ...]
    output: str
    result: ShardResult | None
    process_error: str = ""


def find_shards(root: pathlib.Path) -> list[tuple[str, ...]]:
    """Return the test modules to run in each process.

    A module that starts a mesh of real processes, or simulates a large one, gets a
    process of its own because it takes longest. The other modules of a package share
    one.
    """
    mesh_shards: list[tuple[str, ...]] = []
    modules_by_package: dict[str, list[str]] = {}
    for path in sorted((root / TEST_DIRECTORY).rglob("test_*.py")):
        name = ".".join(path.relative_to(root).with_suffix("").parts)
        text = path.read_text(encoding="utf-8")
        if any(support in text for support in MESH_SUPPORT_MODULES):
            mesh_shards.append((name,))
        else:
            modules_by_package.setdefault(name.rpartition(".")[0], []).append(name)
    return [*mesh_shards, *(tuple(names) for names in modules_by_package.values())]


def run_shard(names: Sequence[str], timeout_s: float = SHARD_TIMEOUT_S) -> ShardRun:
    """Run tests in a separate process and return its output and result."""
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "result.json"
        process = subprocess.Popen(
            [sys.executable, "-m", "tools.run_shard", str(path), *names],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            start_new_session=True,
            # Otherwise the order of sets, and so the course of a simulation, differs
            # between two runs.
            env={**os.environ, "PYTHONHASHSEED": os.environ.get(SEED_VARIABLE, "1")},
        )
        process_error = ""
        try:
            output, _ = process.communicate(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            process_error = f"did not end within {timeout_s:g} s"
            _kill_process_group(process)
            output, _ = process.communicate()
        _kill_process_group(process)
        result = read_result(path)
    if not process_error and process.returncode != 0:
        process_error = f"exited with status {process.returncode}"
    elif not process_error and result is None:
        process_error = "exited without a result"
    return ShardRun(tuple(names), output, result, process_error)


def _kill_process_group(process: subprocess.Popen[str]) -> None:
    """Kill a process and the child processes that it left running."""
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)


def print_summary(runs: Iterable[ShardRun]) -> int:
    """Print the known failures and the total counts, and return the exit status."""
    entries = read_known_red()
    passed = failed = skipped = 0
    for run in runs:
        result = run.result or ShardResult()
        passed += result.passed
        failed += result.failed
        skipped += result.skipped
        for test_id in result.known:
            print(f"known red: {test_id}: {entries[test_id]}")
        for test_id in result.mended:
            print(f"listed as known red but passed: {test_id}")
        if run.process_error:
            failed += 1
            print(f"test process failed: {' '.join(run.names)}: {run.process_error}")
    if skipped:
        print(f"{skipped} skipped")
    print(f"{passed} passed, {failed} failed", flush=True)
    return 0 if passed > 0 and failed == 0 else 1


def main() -> int:
    """Run the tests given on the command line, or all of them.

    Returns
    -------
    int
        Process exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="packages, modules, classes or tests")
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    args = parser.parse_args()
    shards = [tuple(args.names)] if args.names else find_shards(pathlib.Path())
    runs: list[ShardRun] = []
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        futures = [pool.submit(run_shard, names) for names in shards]
        for future in concurrent.futures.as_completed(futures):
            runs.append(future.result())
            print(runs[-1].output, flush=True)
    return print_summary(runs)


if __name__ == "__main__":
    sys.exit(main())
