"""Fault soak over many seeds; prints one JSON object per seed and a final one.

The exit status is 1 when a caller received a false response, a request ran twice, a
request was lost around a planned stop, a process ended by itself, late or with another
status than 0, or a mesh did not recover in time.
"""

from __future__ import annotations

import argparse
import collections
import json
import sys
import time

import trio

from tests.support.soak import Soak

SOAK_TIMEOUT_S = 120.0


def run_seed(
    seed: int, fault_period_s: float, stop_period_s: float, callers: str
) -> dict[str, object]:
    """Run the soak with one seed and return its results."""
    soak = Soak(seed, fault_period_s, stop_period_s, callers == "kept")
    started_s = time.monotonic()
    failure = ""
    try:
        soak.run(SOAK_TIMEOUT_S)
    except* (trio.TooSlowError, OSError) as group:
        failure = repr(group.exceptions)
    statuses = collections.Counter(item.status for item in soak.results)
    return {
        "seed": seed,
        "lies": soak.violations,
        "failure": failure,
        "statuses": dict(sorted(statuses.items())),
        "took_s": round(time.monotonic() - started_s, 1),
    }


def main() -> int:
    """Run the soak for each seed and return exit status 1 if one failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=50, help="number of seeds")
    parser.add_argument(
        "--last-s", type=float, default=8.0, help="seconds during which faults begin"
    )
    parser.add_argument(
        "--stop-s",
        type=float,
        default=20.0,
        help="seconds during which series of planned stops begin, 0 for none",
    )
    parser.add_argument(
        "--callers",
        choices=("kept", "fresh"),
        default="kept",
        help="whether some callers keep connections or all open a new one each time",
    )
    args = parser.parse_args()
    failed_seeds = []
    for seed in range(args.seed, args.seed + args.count):
        result = run_seed(seed, args.last_s, args.stop_s, args.callers)
        print(json.dumps(result), flush=True)
        if result["lies"] or result["failure"]:
            failed_seeds.append(seed)
    print(json.dumps({"seeds": args.count, "bad": failed_seeds}))
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
