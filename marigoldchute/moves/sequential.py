"""Anytime-valid test of a new release against an old one.

The statistic is an e-process: a non-negative process whose expectation, at any stopping
time, is at most 1 as long as the new release is no worse than tolerated. By Ville's
inequality it exceeds ``1 / alpha`` with a probability of at most ``alpha``, however
often it is evaluated.

Each window of counts is one block of two Bernoulli streams. The factor of a block is
the likelihood ratio of an alternative, fixed before the block, to its reverse
information projection onto the null hypothesis ``p_new <= p_old + tolerance``. The null
is convex, so the projection is one point and the ratio is an e-variable whatever the
common failure rate in the window is: Turner, Ly and Gruenwald, "Generic e-variables
for exact sequential k-sample tests" (2024), and Turner and Gruenwald, "Exact
anytime-valid confidence intervals for contingency tables and beyond" (2023).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

# Alternatives: how far the new failure rate exceeds the tolerated one.
EXCESSES = (0.03, 0.10, 0.30, 0.90)
MIN_RATE = 0.002
MAX_RATE = 0.995
# The old release's rate starts from PRIOR_COUNT assumed observations that fail at
# PRIOR_RATE.
PRIOR_COUNT = 50.0
PRIOR_RATE = 0.01
BISECTION_STEPS = 24


def project_onto_null(
    old_count: int, new_count: int, old_rate: float, new_rate: float, tolerance: float
) -> tuple[float, float]:
    """Return the closest pair of rates under the null hypothesis.

    Parameters
    ----------
    old_count, new_count : int
        Observations of each release in the block.
    old_rate, new_rate : float
        Rates of the alternative, each in ``[MIN_RATE, MAX_RATE]``.
    tolerance : float
        Maximum excess of the new rate that the null hypothesis allows.

    Returns
    -------
    tuple of (float, float)
        Old and new rates that minimise the Kullback-Leibler divergence of the block.
    """
    if new_rate <= old_rate + tolerance:
        return old_rate, new_rate
    low = max(old_rate, MIN_RATE / 2)
    high = min(new_rate - tolerance, 1.0 - tolerance - MIN_RATE / 2)
    if high <= low:
        return low, min(low + tolerance, 1.0 - MIN_RATE / 2)
    for _ in range(BISECTION_STEPS):
        midpoint = (low + high) / 2
        slope = old_count * _divergence_slope(old_rate, midpoint)
        slope += new_count * _divergence_slope(new_rate, midpoint + tolerance)
        if slope < 0.0:
            low = midpoint
        else:
            high = midpoint
    return low, low + tolerance


def _divergence_slope(rate: float, point: float) -> float:
    return (1.0 - rate) / (1.0 - point) - rate / point


def log_factor(
    old: Sequence[int],
    new: Sequence[int],
    old_rate: float,
    new_rate: float,
    tolerance: float,
) -> float:
    """Return the logarithm of the e-variable of one block.

    Parameters
    ----------
    old, new : sequence of int
        Numbers of observations and failures of each release.
    old_rate, new_rate : float
        Rates of the alternative, fixed before the block was observed.
    tolerance : float
        Maximum excess of the new rate that the null hypothesis allows.
    """
    null_old, null_new = project_onto_null(
        old[0], new[0], old_rate, new_rate, tolerance
    )
    return _log_ratio(old, old_rate, null_old) + _log_ratio(new, new_rate, null_new)


def _log_ratio(counts: Sequence[int], rate: float, null_rate: float) -> float:
    total, failures = counts
    ratio = failures * math.log(rate / null_rate)
    return ratio + (total - failures) * math.log((1.0 - rate) / (1.0 - null_rate))


class SequentialTest:
    """E-process of one stream of blocks, with one component per value of ``EXCESSES``.

    Parameters
    ----------
    tolerance : float
        Maximum tolerated excess of the new release's failure rate.
    """

    def __init__(self, tolerance: float) -> None:
        self._tolerance = tolerance
        self._old_total = 0
        self._old_failures = 0
        self._log_values = [0.0] * len(EXCESSES)
        self._max_log_factors = [0.0] * len(EXCESSES)

    @property
    def log_values(self) -> tuple[float, ...]:
        """Logarithms of the components, each without its largest factor.

        When a backend server dies, all its running requests fail in one window, so a
        single window must not be enough to declare a release faulty. Leaving out a
        factor greater than 1 only lowers the e-process.
        """
        pairs = zip(self._log_values, self._max_log_factors, strict=True)
        return tuple(value - max_factor for value, max_factor in pairs)

    @property
    def old_rate(self) -> float:
        """Expected failure rate of the old release."""
        failures = self._old_failures + PRIOR_COUNT * PRIOR_RATE
        rate = failures / (self._old_total + PRIOR_COUNT)
        return min(max(rate, MIN_RATE), MAX_RATE)

    def observe(self, old: Sequence[int], new: Sequence[int]) -> None:
        """Update the e-process with one block of observations and failures."""
        if old[0] and new[0]:
            old_rate = self.old_rate
            for index, excess in enumerate(EXCESSES):
                new_rate = min(MAX_RATE, old_rate + self._tolerance + excess)
                factor = log_factor(old, new, old_rate, new_rate, self._tolerance)
                self._log_values[index] += factor
                max_factor = max(self._max_log_factors[index], factor)
                self._max_log_factors[index] = max_factor
        self._old_total += old[0]
        self._old_failures += old[1]


class HistoryTest:
    """Detects degradation of a release that runs alone, from the old one's past rate.

    This is a cumulative sum that never falls below zero (Page, "Continuous inspection
    schemes", 1954). It does not declare the release faulty, because the cause may
    affect both releases; it only requests a side-by-side comparison.

    Parameters
    ----------
    tolerance : float
        Maximum tolerated excess of the new release's failure rate.
    """

    def __init__(self, tolerance: float) -> None:
        self._tolerance = tolerance
        self._sums = [0.0] * len(EXCESSES)

    @property
    def log_value(self) -> float:
        """Largest of the cumulative sums."""
        return max(self._sums)

    def observe(self, old_rate: float, new: Sequence[int]) -> None:
        """Update the sums with observations and failures of the new release."""
        null_rate = min(old_rate + self._tolerance, MAX_RATE)
        for index, excess in enumerate(EXCESSES):
            rate = min(MAX_RATE, null_rate + excess)
            self._sums[index] += _log_ratio(new, rate, null_rate)
            self._sums[index] = max(0.0, self._sums[index])


def log_mean_exp(values: Iterable[float]) -> float:
    """Return the logarithm of the mean of values given as logarithms."""
    log_values = list(values)
    max_value = max(log_values)
    total = sum(math.exp(value - max_value) for value in log_values)
    return max_value + math.log(total / len(log_values))


def log_threshold(false_alarm: float, tests: int) -> float:
    """Return the threshold for the logarithm of an e-process to reject the null.

    Parameters
    ----------
    false_alarm : float
        Maximum probability of a false alarm over all tests together.
    tests : int
        Number of tests that share this probability.
    """
    return math.log(tests / false_alarm)
