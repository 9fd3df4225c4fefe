"""Evidence of one data centre about one move, merged from its members' reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.moves.evidence import (
    Counts,
    CountsKey,
    MoveEvidence,
    StreamKey,
)
from marigoldchute.moves.histogram import LatencyHistogram
from marigoldchute.moves.model import LOG_RESOLUTION, MoveSummary, StreamReport
from marigoldchute.moves.recorder import MIN_LATENCIES, SLOW_PERCENTILE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldchute.bundle.model import Move
    from marigoldchute.moves.evidence import Streams
    from marigoldchute.moves.model import MoveReport


class _MemberCounts:
    """Cumulative counts that one incarnation of a member has reported."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.counts_by_key: dict[CountsKey, Counts] = {}
        self.latencies: dict[int, dict[int, int]] = {}
        self.concurrency = 0.0


class DataCentreEvidence:
    """Merged counts and sequential tests of one move.

    The first report of a member only sets the baseline for its later reports. Its
    counts are not tested, because they may span many windows with different shares.

    Parameters
    ----------
    move : Move
        Move of the bundle in force.
    """

    def __init__(self, move: Move) -> None:
        self._move = move
        self._evidence = MoveEvidence(move.thresholds)
        self._members: dict[str, _MemberCounts] = {}
        self._outcomes = 0

    def apply_report(
        self, name: str, incarnation: int, report: MoveReport, now_ms: int
    ) -> None:
        """Add the counts of a member since its previous report."""
        existing = self._members.get(name)
        first = existing is None or existing.incarnation != incarnation
        if existing is None or first:
            existing = _MemberCounts(incarnation)
            self._members[name] = existing
        existing.concurrency = report.concurrency
        existing.latencies |= report.latencies
        for counts_report in report.counts_reports:
            key = CountsKey(counts_report.route, counts_report.new, counts_report.level)
            counts = Counts(*counts_report.counts)
            delta = counts.minus(existing.counts_by_key.get(key, Counts()))
            existing.counts_by_key[key] = counts
            if first:
                continue
            self._evidence.add(key, delta, now_ms)
            if counts_report.new:
                self._outcomes += delta.outcomes

    def retain_members(self, names: Iterable[str]) -> None:
        """Discard the counts of all members except the given ones."""
        wanted = set(names)
        self._members = {n: m for n, m in self._members.items() if n in wanted}

    def close_windows(self, now_ms: int, at_full_share: bool) -> None:
        """Pass the counts of every complete window to the tests."""
        self._evidence.close_windows(now_ms, at_full_share)

    def reset_history(self) -> None:
        """Restart the comparison with the old release's past failure rate."""
        self._evidence.reset_history()

    def summary(self) -> MoveSummary:
        """Return the evidence to send to the collectors of other data centres."""
        streams = tuple(
            StreamReport(*key, tuple(round(value / LOG_RESOLUTION) for value in values))
            for key, values in self._evidence.streams().items()
        )
        return MoveSummary(
            self._move.move_id,
            self._outcomes,
            sum(member.concurrency for member in self._members.values()),
            self._evidence.degraded,
            streams,
            self._percentiles(),
        )

    def _percentiles(self) -> dict[int, float]:
        merged: dict[int, LatencyHistogram] = {}
        for member in self._members.values():
            for route, counts in member.latencies.items():
                merged.setdefault(route, LatencyHistogram()).merge(counts)
        return {
            route: histogram.percentile(SLOW_PERCENTILE)
            for route, histogram in merged.items()
            if histogram.total >= MIN_LATENCIES
        }


def streams_of(summary: MoveSummary) -> Streams:
    """Return the e-process of each test in a summary."""
    return {
        StreamKey(item.route, item.metric, item.level): tuple(
            value * LOG_RESOLUTION for value in item.log_values
        )
        for item in summary.streams
    }
