"""Evidence about a new release: outcome counts of both releases and their tests."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, NamedTuple

from marigoldchute.moves.sequential import (
    HistoryTest,
    SequentialTest,
    log_mean_exp,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from marigoldchute.bundle.model import Thresholds

WINDOW_MS = 1000
MAX_WINDOW_MS = 10_000
ALL_LEVELS = -1
DEGRADED_LOG_THRESHOLD = 5.0


class Metric(enum.IntEnum):
    """Kind of failure that a test counts."""

    ERROR = 0
    SLOW = 1


class CountsKey(NamedTuple):
    """Key of outcome counts, which are kept by route, release and load level.

    Parameters
    ----------
    route : int
        Index among the sorted names of the service's routes.
    new : bool
        Whether the outcomes are of the new release.
    level : int
        Load level of the backend server.
    """

    route: int
    new: bool
    level: int


class Counts(NamedTuple):
    """Outcome counts of one route, release and load level.

    Parameters
    ----------
    outcomes, errors : int
        Outcomes that count for the error rate, and how many of them are errors.
    timed, slow : int
        Outcomes whose latency was compared with the slow limit, and how many of them
        exceeded it.
    """

    outcomes: int = 0
    errors: int = 0
    timed: int = 0
    slow: int = 0

    def plus(self, other: Counts) -> Counts:
        """Return the sum of two counts."""
        return Counts(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: Counts) -> Counts:
        """Return the difference of two counts."""
        return Counts(*(a - b for a, b in zip(self, other, strict=True)))

    def observations(self, metric: Metric) -> tuple[int, int]:
        """Return the numbers of observations and failures for a metric."""
        if metric is Metric.ERROR:
            return self.outcomes, self.errors
        return self.timed, self.slow


class StreamKey(NamedTuple):
    """Key of one sequential test; ``ALL_LEVELS`` as level covers every load level."""

    route: int
    metric: int
    level: int


Streams = dict[StreamKey, tuple[float, ...]]


@dataclasses.dataclass
class _Window:
    """Counts of one route and load level that have not been tested yet."""

    since_ms: int
    old: Counts = Counts()
    new: Counts = Counts()


class MoveEvidence:
    """Windows and tests of one move for the counts of one node or data centre.

    Parameters
    ----------
    thresholds : Thresholds
        Thresholds of the move.
    """

    def __init__(self, thresholds: Thresholds) -> None:
        self._tolerance = {
            Metric.ERROR: thresholds.max_error_increase,
            Metric.SLOW: thresholds.max_slow_increase,
        }
        self._windows: dict[tuple[int, int], _Window] = {}
        self._tests: dict[StreamKey, SequentialTest] = {}
        self._history: dict[tuple[int, Metric], HistoryTest] = {}

    def add(self, key: CountsKey, counts: Counts, now_ms: int) -> None:
        """Add the counts of one key since the previous call."""
        window = self._windows.get((key.route, key.level))
        if window is None:
            window = _Window(now_ms)
            self._windows[key.route, key.level] = window
        if key.new:
            window.new = window.new.plus(counts)
        else:
            window.old = window.old.plus(counts)

    def close_windows(self, now_ms: int, at_full_share: bool) -> None:
        """Pass the counts of every complete window to the tests.

        Parameters
        ----------
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        at_full_share : bool
            Whether the new release gets all traffic, so that there are no concurrent
            outcomes of the old release to compare with.
        """
        for (route, level), window in tuple(self._windows.items()):
            age_ms = now_ms - window.since_ms
            paired = window.old.outcomes > 0 and window.new.outcomes > 0
            only_new = at_full_share and window.old.outcomes == 0
            if age_ms < WINDOW_MS:
                continue
            if not (paired or only_new or age_ms >= MAX_WINDOW_MS):
                continue
            del self._windows[route, level]
            self._test_window(route, level, window, only_new)

    def _test_window(
        self, route: int, level: int, window: _Window, only_new: bool
    ) -> None:
        for metric in Metric:
            all_levels_test = self._test(StreamKey(route, metric, ALL_LEVELS))
            if only_new:
                history = self._history.setdefault(
                    (route, metric), HistoryTest(self._tolerance[metric])
                )
                history.observe(
                    all_levels_test.old_rate, window.new.observations(metric)
                )
                continue
            old, new = window.old.observations(metric), window.new.observations(metric)
            all_levels_test.observe(old, new)
            self._test(StreamKey(route, metric, level)).observe(old, new)

    def _test(self, key: StreamKey) -> SequentialTest:
        test = self._tests.get(key)
        if test is None:
            test = SequentialTest(self._tolerance[Metric(key.metric)])
            self._tests[key] = test
        return test

    def streams(self) -> Streams:
        """Return the logarithm of each component of the e-process of each test."""
        return {key: test.log_values for key, test in self._tests.items()}

    @property
    def degraded(self) -> bool:
        """Whether the new release, running alone, fails more than the old one did."""
        return any(
            test.log_value > DEGRADED_LOG_THRESHOLD for test in self._history.values()
        )

    def reset_history(self) -> None:
        """Restart the comparison with the old release's past failure rate."""
        self._history.clear()


def merge_streams(parts: Iterable[Mapping[StreamKey, tuple[float, ...]]]) -> Streams:
    """Multiply the e-processes of data centres, whose requests are independent."""
    merged: Streams = {}
    for part in parts:
        for key, values in part.items():
            existing = merged.get(key, (0.0,) * len(values))
            merged[key] = tuple(a + b for a, b in zip(existing, values, strict=True))
    return merged


def log_e_value(streams: Mapping[StreamKey, tuple[float, ...]]) -> float:
    """Return the logarithm of one e-process for a whole move.

    It is the mean of three means: over all routes pooled, over the individual routes,
    and over the load levels of each route. A fault is therefore detected whether it
    affects every route, one route, or only requests under load. A mean of e-processes
    is itself an e-process.
    """
    if not streams:
        return 0.0
    routes = [v for key, v in streams.items() if key.level == ALL_LEVELS]
    levels = [v for key, v in streams.items() if key.level != ALL_LEVELS]
    pooled = [_pool_routes(streams, metric) for metric in Metric]
    groups = [group for group in (pooled, routes, levels) if group]
    return log_mean_exp(
        log_mean_exp(value for values in group for value in values) for group in groups
    )


def _pool_routes(
    streams: Mapping[StreamKey, tuple[float, ...]], metric: Metric
) -> tuple[float, ...]:
    all_level_values = [
        values
        for key, values in streams.items()
        if key.metric == metric and key.level == ALL_LEVELS
    ]
    return tuple(sum(column) for column in zip(*all_level_values, strict=True)) or (
        0.0,
    )


def worst_stream(streams: Mapping[StreamKey, tuple[float, ...]]) -> StreamKey | None:
    """Return the key of the test with the most evidence, or None without tests."""
    if not streams:
        return None
    return max(streams, key=lambda key: log_mean_exp(streams[key]))
