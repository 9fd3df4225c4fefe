"""False alarms and misses of the evidence test, by seeded simulation of its counts.

Run with ``python -m bench.bench_evidence [--trials N] [--seed S]``. It draws counts and
feeds them to the test; it models no nodes and no network.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib

import numpy as np

from marigoldchute.bundle.model import Thresholds
from marigoldchute.moves.evidence import (
    CellKey,
    Counts,
    MoveEvidence,
    log_e_value,
    merge_streams,
)
from marigoldchute.moves.sequential import log_threshold

CENTRES = 4
WINDOWS_PER_STEP = 15
SHARES = (0.05, 0.3, 0.7, 0.95)
LEVELS = (0, 1)
SLOW_SHARE = 0.05
ALPHAS = (0.05, 0.01, 0.001)
RESULT = pathlib.Path(__file__).parent / "results" / "evidence.json"


@dataclasses.dataclass(frozen=True)
class Case:
    """One kind of release.

    Parameters
    ----------
    name : str
        What it is.
    per_s : float
        Requests a second of the service in each data centre.
    error, slow : float
        Share of failures and of slow responses that the new release has beyond the old.
    both : float
        Share of failures of both releases from half time on.
    routes : tuple of int
        Routes on which it is bad, of two.
    levels : tuple of int
        Load levels at which it is bad.
    from_window : int
        First window in which it is bad.
    """

    name: str
    per_s: float = 60.0
    error: float = 0.0
    slow: float = 0.0
    both: float = 0.0
    routes: tuple[int, ...] = (0, 1)
    levels: tuple[int, ...] = LEVELS
    from_window: int = 0


CASES = (
    Case("good"),
    Case("good, low traffic", per_s=4.0),
    Case("good, dependency fails for both", both=0.5),
    Case("errors 50 %", error=0.5),
    Case("errors 10 %", error=0.1),
    Case("errors 5 %", error=0.05),
    Case("errors 50 %, low traffic", per_s=4.0, error=0.5),
    Case("errors 30 % on one route", error=0.3, routes=(1,)),
    Case("errors 30 % only under load", error=0.3, levels=(1,)),
    Case("errors 30 % later", error=0.3, from_window=35),
    Case("all answers slow", slow=0.95),
    Case("30 % of answers slow", slow=0.3),
)


def simulate(case: Case, rng: np.random.Generator) -> tuple[float, int | None]:
    """Return the greatest log e-value of a move and its window of conviction."""
    centres = [MoveEvidence(Thresholds()) for _ in range(CENTRES)]
    limit = log_threshold(Thresholds().false_alarm, 2)
    greatest = 0.0
    for window in range(WINDOWS_PER_STEP * len(SHARES)):
        share = SHARES[window // WINDOWS_PER_STEP]
        now_ms = 1000 * window
        for evidence in centres:
            _draw(case, evidence, share, window, now_ms, rng)
            evidence.close_windows(now_ms + 1000, False)
        log_e = log_e_value(merge_streams(e.streams() for e in centres))
        greatest = max(greatest, log_e)
        if log_e > limit:
            return greatest, window
    return greatest, None


def _draw(
    case: Case,
    evidence: MoveEvidence,
    share: float,
    window: int,
    now_ms: int,
    rng: np.random.Generator,
) -> None:
    late = window >= WINDOWS_PER_STEP * len(SHARES) // 2
    for route in (0, 1):
        for level in LEVELS:
            per_cell = case.per_s / 4
            bad = (
                route in case.routes
                and level in case.levels
                and window >= case.from_window
            )
            for new in (False, True):
                rate = per_cell * (share if new else 1.0 - share)
                total = int(rng.poisson(rate))
                error = 0.005 + (case.both if late else 0.0)
                error += case.error if new and bad else 0.0
                slow = SLOW_SHARE + (case.slow if new and bad else 0.0)
                errors = int(rng.binomial(total, error))
                timed = total - errors
                slow_count = int(rng.binomial(timed, min(slow, 1.0)))
                counts = Counts(total, errors, timed, slow_count)
                if total:
                    evidence.add(CellKey(route, new, level), counts, now_ms)


def main() -> None:
    """Print one line for each case and write them as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--trials", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    results = []
    for index, case in enumerate(CASES):
        rng = np.random.default_rng([args.seed, index])
        runs = [simulate(case, rng) for _ in range(args.trials)]
        windows = [window for _, window in runs if window is not None]
        alarms = {
            str(alpha): sum(top > log_threshold(alpha, 2) for top, _ in runs)
            / args.trials
            for alpha in ALPHAS
        }
        result = {
            "case": case.name,
            "trials": args.trials,
            "seed": args.seed,
            "convicted": len(windows) / args.trials,
            "median_window": float(np.median(windows)) + 1 if windows else None,
            "p95_window": float(np.percentile(windows, 95)) + 1 if windows else None,
            "exceeds_limit_of_alpha": alarms,
        }
        results.append(result)
        print(json.dumps(result), flush=True)
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
