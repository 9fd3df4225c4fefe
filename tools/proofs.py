"""Runs the proofs listed in docs/PROOFS.md and prints their results."""

from __future__ import annotations

import argparse
import dataclasses
import os
import pathlib
import sys
import time

from tools.run_tests import ShardRun, run_shard

PROOFS_PATH = pathlib.Path("docs/PROOFS.md")
SEED_VARIABLE = "MARIGOLDCHUTE_SEED"
STATES = ("proved", "partial", "not proved")


@dataclasses.dataclass(frozen=True)
class Guarantee:
    """A row of the first table in docs/PROOFS.md.

    Parameters
    ----------
    number : int
        Number of the guarantee on the page.
    text : str
        Property that the system must always have.
    state : str
        One of ``STATES``.
    missing : str
        What no test covers yet.
    """

    number: int
    text: str
    state: str
    missing: str


@dataclasses.dataclass(frozen=True)
class Proof:
    """A test that checks a guarantee.

    Parameters
    ----------
    guarantee_number : int
        Number of the guarantee on the page.
    test : str
        Id of a test, test class or test module.
    seed : int
        Seed to run it with.
    description : str
        What the test checks.
    """

    guarantee_number: int
    test: str
    seed: int
    description: str


def parse_proofs_page(text: str) -> tuple[list[Guarantee], list[Proof]]:
    """Parse docs/PROOFS.md into its guarantees and proofs.

    Raises
    ------
    ValueError
        A numbered row is neither a proof nor a guarantee with a known state.
    """
    guarantees: list[Guarantee] = []
    proofs: list[Proof] = []
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if not line.startswith("|") or not cells[0].isdigit():
            continue
        number, second, third, fourth = int(cells[0]), *cells[1:]
        if second.startswith("`"):
            proofs.append(Proof(number, second.strip("`"), int(third), fourth))
        elif third in STATES:
            guarantees.append(Guarantee(number, second, third, fourth))
        else:
            raise ValueError(f"state {third!r} is not one of {STATES}")
    return guarantees, proofs


def describe_run(run: ShardRun) -> str:
    """Return the test counts of a run, or why its process failed."""
    if run.process_error or run.result is None:
        return f"process {run.process_error}"
    counts = f"{run.result.passed} passed, {run.result.failed} failed"
    return (
        f"{counts}, {len(run.result.known)} known red" if run.result.known else counts
    )


def has_passed(run: ShardRun) -> bool:
    """Return whether tests passed and none failed, not even a known-red one."""
    result = run.result
    if run.process_error or result is None or result.known:
        return False
    return result.passed > 0 and result.failed == 0


def main() -> int:
    """Run the proofs and return exit status 1 if one failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seed", type=int, help="seed to use instead of those on the page"
    )
    args = parser.parse_args()
    guarantees, proofs = parse_proofs_page(PROOFS_PATH.read_text(encoding="utf-8"))
    runs: dict[tuple[str, int], tuple[ShardRun, float]] = {}
    for guarantee in guarantees:
        print(
            f"\n{guarantee.number}. {guarantee.text}\n   {guarantee.state}", flush=True
        )
        if guarantee.missing:
            print(f"   missing: {guarantee.missing}")
        for proof in proofs:
            if proof.guarantee_number == guarantee.number:
                _run_and_print(proof, args.seed, runs)
    failed_tests = sorted(
        {name for (name, _), (run, _) in runs.items() if not has_passed(run)}
    )
    for name in failed_tests:
        print(f"\nfailed: {name}")
    states = [guarantee.state for guarantee in guarantees]
    counts = ", ".join(f"{states.count(state)} {state}" for state in STATES)
    print(f"\n{counts}; {len(runs) - len(failed_tests)} of {len(runs)} proofs passed")
    return 1 if failed_tests else 0


def _run_and_print(
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
    run, duration_s = runs[key]
    outcome = "holds" if has_passed(run) else "FAILED"
    print(f"   {outcome:<6} {proof.test} (seed {key[1]}, {duration_s:.1f} s)")
    print(f"          {describe_run(run)}: {proof.description}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
