"""Anytime-valid test of a new release against an old one.

The statistic is an e-process: a non-negative process whose expectation, at any stopping
time, is at most 1 as long as the new release is no worse than tolerated. By Ville's
inequality it exceeds ``1 / alpha`` with a probability of at most ``alpha``, however
often it is looked at.

Each window of counts is one block of two Bernoulli streams. The factor of a block is
the likelihood ratio of an alternative, fixed before the block, to its reverse
information projection onto the null hypothesis ``p_new <= p_old + tolerance``. The null
is convex, so the projection is one point and the ratio is an e-variable whatever the
common level of failures in the window: Turner, Ly and Gruenwald, "Generic e-variables
for exact sequential k-sample tests" (2024), and Turner and Gruenwald, "Exact
anytime-valid confidence intervals for contingency tables and beyond" (2023).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

EXCESSES = (0.03, 0.10, 0.30, 0.90)
MIN_RATE = 0.002
MAX_RATE = 0.995
PRIOR_COUNT = 50.0
PRIOR_RATE = 0.01
PROJECTION_STEPS = 24


def project(
    old_count: int, new_count: int, old_rate: float, new_rate: float, tolerance: float
) -> tuple[float, float]:
    """Return the nearest pair of rates that the null hypothesis allows.

    Parameters
    ----------
    old_count, new_count : int
        Observations of each release in the block.
    old_rate, new_rate : float
        Rates of the alternative, each in ``[MIN_RATE, MAX_RATE]``.
    tolerance : float
        Greatest excess of the new rate that the null hypothesis allows.

    Returns
    -------
    tuple of (float, float)
        Old and new rate that minimise the Kullback-Leibler divergence of the block.
    """
    if new_rate <= old_rate + tolerance:
        return old_rate, new_rate
    low = max(old_rate, MIN_RATE / 2)
    high = min(new_rate - tolerance, 1.0 - tolerance - MIN_RATE / 2)
    if high <= low:
        return low, min(low + tolerance, 1.0 - MIN_RATE / 2)
    for _ in range(PROJECTION_STEPS):
        middle = (low + high) / 2
        slope = old_count * _divergence_slope(old_rate, middle)
        slope += new_count * _divergence_slope(new_rate, middle + tolerance)
        if slope < 0.0:
            low = middle
        else:
            high = middle
    return low, low + tolerance


def _divergence_slope(rate: float, at: float) -> float:
    return (1.0 - rate) / (1.0 - at) - rate / at


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
        Observations and failures of each release.
    old_rate, new_rate : float
        Rates of the alternative, fixed before the block was seen.
    tolerance : float
        Greatest excess of the new rate that the null hypothesis allows.
    """
    null_old, null_new = project(old[0], new[0], old_rate, new_rate, tolerance)
    return _log_ratio(old, old_rate, null_old) + _log_ratio(new, new_rate, null_new)


def _log_ratio(counts: Sequence[int], rate: float, null_rate: float) -> float:
    total, failures = counts
    ratio = failures * math.log(rate / null_rate)
    return ratio + (total - failures) * math.log((1.0 - rate) / (1.0 - null_rate))


class SequentialTest:
    """E-process of one stream of blocks, one component for each size of excess.

    Parameters
    ----------
    tolerance : float
        Greatest excess of the new release's failure rate that is tolerated.
    """

    def __init__(self, tolerance: float) -> None:
        self._tolerance = tolerance
        self._old_total = 0
        self._old_failures = 0
        self._log_values = [0.0] * len(EXCESSES)
        self._log_greatest = [0.0] * len(EXCESSES)

    @property
    def log_values(self) -> tuple[float, ...]:
        """Logarithms of the components, each without its greatest factor.

        A backend server that dies takes its running requests with it, all in one
        window, so one window alone must not convict a release. Leaving out a factor
        above 1 only lowers the e-process.
        """
        pairs = zip(self._log_values, self._log_greatest, strict=True)
        return tuple(value - greatest for value, greatest in pairs)

    @property
    def old_rate(self) -> float:
        """Failure rate expected of the old release."""
        failures = self._old_failures + PRIOR_COUNT * PRIOR_RATE
        rate = failures / (self._old_total + PRIOR_COUNT)
        return min(max(rate, MIN_RATE), MAX_RATE)

    def observe(self, old: Sequence[int], new: Sequence[int]) -> None:
        """Take one block of observations and failures of each release."""
        if old[0] and new[0]:
            old_rate = self.old_rate
            for index, excess in enumerate(EXCESSES):
                new_rate = min(MAX_RATE, old_rate + self._tolerance + excess)
                factor = log_factor(old, new, old_rate, new_rate, self._tolerance)
                self._log_values[index] += factor
                greatest = max(self._log_greatest[index], factor)
                self._log_greatest[index] = greatest
        self._old_total += old[0]
        self._old_failures += old[1]


class HistoryTest:
    """Suspicion against a release that runs alone, from the old one's past rate.

    A cumulative sum that never falls below zero (Page, "Continuous inspection schemes",
    1954). It convicts nobody, because what hurts the new release may hurt both: it only
    says that a comparison side by side is wanted.
    """

    def __init__(self, tolerance: float) -> None:
        self._tolerance = tolerance
        self._sums = [0.0] * len(EXCESSES)

    @property
    def log_value(self) -> float:
        """Greatest of the cumulative sums."""
        return max(self._sums)

    def observe(self, old_rate: float, new: Sequence[int]) -> None:
        """Take observations and failures of the new release alone."""
        null_rate = min(old_rate + self._tolerance, MAX_RATE)
        for index, excess in enumerate(EXCESSES):
            rate = min(MAX_RATE, null_rate + excess)
            self._sums[index] += _log_ratio(new, rate, null_rate)
            self._sums[index] = max(0.0, self._sums[index])


def log_mean_exp(values: Iterable[float]) -> float:
    """Return the logarithm of the mean of values given by their logarithms."""
    listed = list(values)
    top = max(listed)
    total = sum(math.exp(value - top) for value in listed)
    return top + math.log(total / len(listed))


def log_threshold(false_alarm: float, tests: int) -> float:
    """Return the logarithm that an e-process must exceed to reject the null.

    Parameters
    ----------
    false_alarm : float
        Greatest probability of a false alarm of all tests together.
    tests : int
        Number of tests that share it.
    """
    return math.log(tests / false_alarm)
