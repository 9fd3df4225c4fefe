"""Evidence about a new release: counts beside the old one, and their tests."""

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
EVERY_LEVEL = -1
SUSPICION = 5.0


class Metric(enum.IntEnum):
    """What counts as a failure."""

    ERROR = 0
    SLOW = 1


class CellKey(NamedTuple):
    """Route, release and load level of a group of answers.

    Parameters
    ----------
    route : int
        Index among the sorted names of the service's routes.
    new : bool
        Whether the new release answered.
    level : int
        Load level of the backend server.
    """

    route: int
    new: bool
    level: int


class Counts(NamedTuple):
    """Answers of one cell.

    Parameters
    ----------
    answered, errors : int
        Answers, and those among them that failed.
    timed, slow : int
        Answers whose latency was judged, and those among them that were slow.
    """

    answered: int = 0
    errors: int = 0
    timed: int = 0
    slow: int = 0

    def plus(self, other: Counts) -> Counts:
        """Return the sum of two counts."""
        return Counts(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: Counts) -> Counts:
        """Return the difference of two counts."""
        return Counts(*(a - b for a, b in zip(self, other, strict=True)))

    def of(self, metric: Metric) -> tuple[int, int]:
        """Return the observations and failures of a metric."""
        if metric is Metric.ERROR:
            return self.answered, self.errors
        return self.timed, self.slow


class StreamKey(NamedTuple):
    """One sequential test: a route, a metric, and one load level or every level."""

    route: int
    metric: int
    level: int


Streams = dict[StreamKey, tuple[float, ...]]


@dataclasses.dataclass
class _Window:
    """Counts of one route and load level that no test has taken yet."""

    since_ms: int
    old: Counts = Counts()
    new: Counts = Counts()


class MoveEvidence:
    """Windows and tests of one move, over the counts of one node or data centre.

    Parameters
    ----------
    thresholds : Thresholds
        Tolerances of the move.
    """

    def __init__(self, thresholds: Thresholds) -> None:
        self._tolerance = {
            Metric.ERROR: thresholds.max_error_increase,
            Metric.SLOW: thresholds.max_slow_increase,
        }
        self._windows: dict[tuple[int, int], _Window] = {}
        self._tests: dict[StreamKey, SequentialTest] = {}
        self._history: dict[tuple[int, Metric], HistoryTest] = {}

    def add(self, key: CellKey, counts: Counts, now_ms: int) -> None:
        """Add answers that were counted since the last call."""
        window = self._windows.get((key.route, key.level))
        if window is None:
            window = _Window(now_ms)
            self._windows[key.route, key.level] = window
        if key.new:
            window.new = window.new.plus(counts)
        else:
            window.old = window.old.plus(counts)

    def close_windows(self, now_ms: int, alone: bool) -> None:
        """Hand every window that is complete to the tests.

        Parameters
        ----------
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        alone : bool
            Whether the new release takes all traffic, so that no answers of the old
            one will come to stand beside its own.
        """
        for (route, level), window in tuple(self._windows.items()):
            age_ms = now_ms - window.since_ms
            paired = window.old.answered > 0 and window.new.answered > 0
            only_new = alone and window.old.answered == 0
            if age_ms < WINDOW_MS:
                continue
            if not (paired or only_new or age_ms >= MAX_WINDOW_MS):
                continue
            del self._windows[route, level]
            self._take(route, level, window, only_new)

    def _take(self, route: int, level: int, window: _Window, alone: bool) -> None:
        for metric in Metric:
            whole = self._test(StreamKey(route, metric, EVERY_LEVEL))
            if alone:
                history = self._history.setdefault(
                    (route, metric), HistoryTest(self._tolerance[metric])
                )
                history.observe(whole.old_rate, window.new.of(metric))
                continue
            old, new = window.old.of(metric), window.new.of(metric)
            whole.observe(old, new)
            self._test(StreamKey(route, metric, level)).observe(old, new)

    def _test(self, key: StreamKey) -> SequentialTest:
        test = self._tests.get(key)
        if test is None:
            test = SequentialTest(self._tolerance[Metric(key.metric)])
            self._tests[key] = test
        return test

    def streams(self) -> Streams:
        """Return the logarithms of the e-process of each test, by component."""
        return {key: test.log_values for key, test in self._tests.items()}

    @property
    def suspicious(self) -> bool:
        """Whether a release that runs alone fails more than the old one did."""
        return any(test.log_value > SUSPICION for test in self._history.values())

    def forget_suspicion(self) -> None:
        """Begin anew to compare with the past."""
        self._history.clear()


def merge_streams(parts: Iterable[Mapping[StreamKey, tuple[float, ...]]]) -> Streams:
    """Multiply the e-processes of data centres, whose requests are independent."""
    merged: Streams = {}
    for part in parts:
        for key, values in part.items():
            held = merged.get(key, (0.0,) * len(values))
            merged[key] = tuple(a + b for a, b in zip(held, values, strict=True))
    return merged


def log_e_value(streams: Mapping[StreamKey, tuple[float, ...]]) -> float:
    """Return the logarithm of one e-process for a whole move.

    It is the mean of three means: over the routes taken together, over each route by
    itself, and over each load level of a route, so that a fault shows whether it is
    everywhere, on one route, or only under load. A mean of e-processes is one.
    """
    if not streams:
        return 0.0
    routes = [v for key, v in streams.items() if key.level == EVERY_LEVEL]
    levels = [v for key, v in streams.items() if key.level != EVERY_LEVEL]
    pooled = [_product(streams, metric) for metric in Metric]
    groups = [group for group in (pooled, routes, levels) if group]
    return log_mean_exp(
        log_mean_exp(value for values in group for value in values) for group in groups
    )


def _product(
    streams: Mapping[StreamKey, tuple[float, ...]], metric: Metric
) -> tuple[float, ...]:
    chosen = [
        values
        for key, values in streams.items()
        if key.metric == metric and key.level == EVERY_LEVEL
    ]
    return tuple(sum(column) for column in zip(*chosen, strict=True)) or (0.0,)


def worst_stream(streams: Mapping[StreamKey, tuple[float, ...]]) -> StreamKey | None:
    """Return the test with the most evidence, to name it in a reason."""
    if not streams:
        return None
    return max(streams, key=lambda key: log_mean_exp(streams[key]))
