"""Fault soak over many seeds; prints one JSON object a seed and a last one for all.

Exit status 1 when a caller was told an untruth, a request ran twice, or a mesh did not
recover in time.
"""

from __future__ import annotations

import argparse
import collections
import json
import sys
import time

import trio

from tests.support.soak import Soak

LIMIT_S = 120.0


def run_seed(seed: int, last_s: float) -> dict[str, object]:
    """Play one seed and return what came of it."""
    soak = Soak(seed, last_s)
    started = time.monotonic()
    failure = ""
    try:
        soak.run(LIMIT_S)
    except* (trio.TooSlowError, OSError) as group:
        failure = repr(group.exceptions)
    statuses = collections.Counter(item.status for item in soak.results)
    return {
        "seed": seed,
        "lies": soak.violations,
        "failure": failure,
        "statuses": dict(sorted(statuses.items())),
        "took_s": round(time.monotonic() - started, 1),
    }


def main() -> int:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=50, help="number of seeds")
    parser.add_argument("--last-s", type=float, default=8.0, help="seconds of faults")
    args = parser.parse_args()
    bad = []
    for seed in range(args.seed, args.seed + args.count):
        result = run_seed(seed, args.last_s)
        print(json.dumps(result), flush=True)
        if result["lies"] or result["failure"]:
            bad.append(seed)
    print(json.dumps({"seeds": args.count, "bad": bad}))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
