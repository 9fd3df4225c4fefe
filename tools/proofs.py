"""Runs the proofs of docs/PROOFS.md and prints the table of what was seen."""

from __future__ import annotations

import argparse
import dataclasses
import os
import pathlib
import sys
import time

from tools.run_tests import ShardRun, run_shard

PAGE = pathlib.Path("docs/PROOFS.md")
SEED_VARIABLE = "MARIGOLDCHUTE_SEED"
STATES = ("proved", "partial", "not proved")


@dataclasses.dataclass(frozen=True)
class Promise:
    """One line of what must always hold, and how far it is proved."""

    number: int
    text: str
    state: str
    missing: str


@dataclasses.dataclass(frozen=True)
class Proof:
    """One test that shows a promise."""

    number: int
    test: str
    seed: int
    shows: str


def read_page(text: str) -> tuple[list[Promise], list[Proof]]:
    """Return the promises and the proofs of the page.

    Raises
    ------
    ValueError
        A row that has a number is neither.
    """
    promises: list[Promise] = []
    proofs: list[Proof] = []
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if not line.startswith("|") or not cells[0].isdigit():
            continue
        number, second, third, fourth = int(cells[0]), *cells[1:]
        if second.startswith("`"):
            proofs.append(Proof(number, second.strip("`"), int(third), fourth))
        elif third in STATES:
            promises.append(Promise(number, second, third, fourth))
        else:
            raise ValueError(f"state {third!r} is not one of {STATES}")
    return promises, proofs


def describe(run: ShardRun) -> str:
    """Return what was seen of one test."""
    if run.problem or run.result is None:
        return f"process {run.problem}"
    seen = f"{run.result.passed} passed, {run.result.failed} failed"
    return f"{seen}, {len(run.result.known)} known red" if run.result.known else seen


def has_passed(run: ShardRun) -> bool:
    """Whether a test ran and nothing in it failed, listed failures included."""
    result = run.result
    if run.problem or result is None or result.known:
        return False
    return result.passed > 0 and result.failed == 0


def main() -> int:
    """Run the proofs; return 1 when one failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="in place of the seeds of the page")
    args = parser.parse_args()
    promises, proofs = read_page(PAGE.read_text(encoding="utf-8"))
    runs: dict[tuple[str, int], tuple[ShardRun, float]] = {}
    for promise in promises:
        print(f"\n{promise.number}. {promise.text}\n   {promise.state}", flush=True)
        if promise.missing:
            print(f"   missing: {promise.missing}")
        for proof in proofs:
            if proof.number == promise.number:
                _run(proof, args.seed, runs)
    failed = sorted(
        {name for (name, _), (run, _) in runs.items() if not has_passed(run)}
    )
    for name in failed:
        print(f"\nfailed: {name}")
    states = [promise.state for promise in promises]
    counts = ", ".join(f"{states.count(state)} {state}" for state in STATES)
    print(f"\n{counts}; {len(runs) - len(failed)} of {len(runs)} proofs passed")
    return 1 if failed else 0


def _run(
    proof: Proof,
    seed: int | None,
    runs: dict[tuple[str, int], tuple[ShardRun, float]],
) -> None:
    key = (proof.test, seed if seed is not None else proof.seed)
    if key not in runs:
        os.environ[SEED_VARIABLE] = str(key[1])
        start = time.monotonic()
        run = run_shard([proof.test])
        runs[key] = (run, time.monotonic() - start)
        if not has_passed(run):
            print(run.output)
    run, taken_s = runs[key]
    verdict = "holds" if has_passed(run) else "FAILED"
    print(f"   {verdict:<6} {proof.test} (seed {key[1]}, {taken_s:.1f} s)")
    print(f"          {describe(run)}: {proof.shows}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
