"""Histograms of the latency that a node adds, by route and outcome."""

from __future__ import annotations

import dataclasses

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
MAX_HISTOGRAMS = 48  # 20 KB each; a bundle may contain hundreds of rarely used routes.
OTHER_ROUTES = "other"


@dataclasses.dataclass(frozen=True)
class RouteLatency:
    """Added latency of one route and outcome since the start of the process.

    Parameters
    ----------
    route, outcome : str
        Name of the route and value of ``Outcome``.
    count : int
        Number of requests.
    p50_us, p99_us, p999_us, max_us : int
        Percentiles in microseconds.
    """

    route: str
    outcome: str
    count: int
    p50_us: int
    p99_us: int
    p999_us: int
    max_us: int


class RouteMetrics:
    """Latency histograms by route and outcome.

    Once there are ``MAX_HISTOGRAMS``, further routes share one histogram for each
    outcome under the name ``OTHER_ROUTES``.
    """

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}

    def record(self, route: str, outcome: str, added_us: int) -> None:
        """Record the latency added to one request, in microseconds."""
        key = (route, outcome)
        histogram = self._histograms.get(key)
        if histogram is None and len(self._histograms) >= MAX_HISTOGRAMS:
            key = (OTHER_ROUTES, outcome)
            histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(min(max(added_us, MIN_LATENCY_US), MAX_LATENCY_US))

    def snapshot(self) -> tuple[RouteLatency, ...]:
        """Return the percentiles of every route and outcome."""
        return tuple(
            RouteLatency(
                route,
                outcome,
                histogram.get_total_count(),
                histogram.get_value_at_percentile(50),
                histogram.get_value_at_percentile(99),
                histogram.get_value_at_percentile(99.9),
                histogram.get_max_value(),
            )
            for (route, outcome), histogram in sorted(self._histograms.items())
        )
