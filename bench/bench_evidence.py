"""False alarms and missed faults of the evidence test, by simulation of its counts.

Run with ``python -m bench.bench_evidence [--trials N] [--seed S]``. It draws counts
from a seeded generator and feeds them to the test. It simulates no nodes or network.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib

import numpy as np

from marigoldchute.bundle.model import Thresholds
from marigoldchute.moves.evidence import (
    Counts,
    CountsKey,
    MoveEvidence,
    log_e_value,
    merge_streams,
)
from marigoldchute.moves.sequential import log_threshold

DATA_CENTRE_COUNT = 4
WINDOWS_PER_STEP = 15
SHARES = (0.05, 0.3, 0.7, 0.95)
LOAD_LEVELS = (0, 1)
BASELINE_SLOW_SHARE = 0.05
ALPHAS = (0.05, 0.01, 0.001)
RESULT_PATH = pathlib.Path(__file__).parent / "results" / "evidence.json"


@dataclasses.dataclass(frozen=True)
class Case:
    """A kind of new release and the traffic during its move.

    Parameters
    ----------
    name : str
        Description, printed with the results.
    requests_per_s : float
        Requests per second to the service in each data centre.
    error_share, slow_share : float
        Share of failures and of slow responses of the new release, in addition to those
        of the old release.
    common_error_share : float
        Additional share of failures of both releases in the second half of the move.
    bad_routes : tuple of int
        Routes, of two, on which the new release is bad.
    bad_levels : tuple of int
        Load levels at which the new release is bad.
    first_bad_window : int
        First window in which the new release is bad.
    """

    name: str
    requests_per_s: float = 60.0
    error_share: float = 0.0
    slow_share: float = 0.0
    common_error_share: float = 0.0
    bad_routes: tuple[int, ...] = (0, 1)
    bad_levels: tuple[int, ...] = LOAD_LEVELS
    first_bad_window: int = 0


CASES = (
    Case("good"),
    Case("good, low traffic", requests_per_s=4.0),
    Case("good, dependency fails for both", common_error_share=0.5),
    Case("errors 50 %", error_share=0.5),
    Case("errors 10 %", error_share=0.1),
    Case("errors 5 %", error_share=0.05),
    Case("errors 50 %, low traffic", requests_per_s=4.0, error_share=0.5),
    Case("errors 30 % on one route", error_share=0.3, bad_routes=(1,)),
    Case("errors 30 % only under load", error_share=0.3, bad_levels=(1,)),
    Case("errors 30 % later", error_share=0.3, first_bad_window=35),
    Case("all answers slow", slow_share=0.95),
    Case("30 % of answers slow", slow_share=0.3),
)


def simulate(case: Case, rng: np.random.Generator) -> tuple[float, int | None]:
    """Return the maximum log e-value of a move and the window of detection, if any."""
    data_centre_evidence = [
        MoveEvidence(Thresholds()) for _ in range(DATA_CENTRE_COUNT)
    ]
    threshold = log_threshold(Thresholds().false_alarm, 2)
    max_log_e = 0.0
    for window in range(WINDOWS_PER_STEP * len(SHARES)):
        share = SHARES[window // WINDOWS_PER_STEP]
        now_ms = 1000 * window
        for evidence in data_centre_evidence:
            _add_window(case, evidence, share, window, now_ms, rng)
            evidence.close_windows(now_ms + 1000, False)
        log_e = log_e_value(merge_streams(e.streams() for e in data_centre_evidence))
        max_log_e = max(max_log_e, log_e)
        if log_e > threshold:
            return max_log_e, window
    return max_log_e, None


def _add_window(
    case: Case,
    evidence: MoveEvidence,
    share: float,
    window: int,
    now_ms: int,
    rng: np.random.Generator,
) -> None:
    is_second_half = window >= WINDOWS_PER_STEP * len(SHARES) // 2
    for route in (0, 1):
        for level in LOAD_LEVELS:
            level_requests_per_s = case.requests_per_s / 4
            bad = (
                route in case.bad_routes
                and level in case.bad_levels
                and window >= case.first_bad_window
            )
            for new in (False, True):
                release_requests_per_s = level_requests_per_s * (
                    share if new else 1.0 - share
                )
                request_count = int(rng.poisson(release_requests_per_s))
                error_probability = 0.005 + (
                    case.common_error_share if is_second_half else 0.0
                )
                error_probability += case.error_share if new and bad else 0.0
                slow_probability = BASELINE_SLOW_SHARE + (
                    case.slow_share if new and bad else 0.0
                )
                error_count = int(rng.binomial(request_count, error_probability))
                timed_count = request_count - error_count
                slow_count = int(rng.binomial(timed_count, min(slow_probability, 1.0)))
                counts = Counts(request_count, error_count, timed_count, slow_count)
                if request_count:
                    evidence.add(CountsKey(route, new, level), counts, now_ms)


def main() -> None:
    """Simulate every case, print one JSON line for each and write the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--trials", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    results = []
    for index, case in enumerate(CASES):
        rng = np.random.default_rng([args.seed, index])
        outcomes = [simulate(case, rng) for _ in range(args.trials)]
        detection_windows = [window for _, window in outcomes if window is not None]
        alarm_shares = {
            str(alpha): sum(
                max_log_e > log_threshold(alpha, 2) for max_log_e, _ in outcomes
            )
            / args.trials
            for alpha in ALPHAS
        }
        result = {
            "case": case.name,
            "trials": args.trials,
            "seed": args.seed,
            "convicted": len(detection_windows) / args.trials,
            "median_window": float(np.median(detection_windows)) + 1
            if detection_windows
            else None,
            "p95_window": float(np.percentile(detection_windows, 95)) + 1
            if detection_windows
            else None,
            "exceeds_limit_of_alpha": alarm_shares,
        }
        results.append(result)
        print(json.dumps(result), flush=True)
    RESULT_PATH.parent.mkdir(exist_ok=True)
    RESULT_PATH.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
