"""Evidence of one data centre about one move, merged from its members' reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.moves.evidence import (
    CellKey,
    Counts,
    MoveEvidence,
    StreamKey,
)
from marigoldchute.moves.histogram import LatencyHistogram
from marigoldchute.moves.model import LOG_UNIT, MoveSummary, StreamReport
from marigoldchute.moves.recorder import MIN_LATENCIES, SLOW_PERCENTILE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldchute.bundle.model import Move
    from marigoldchute.moves.evidence import Streams
    from marigoldchute.moves.model import MoveReport


class _MemberCounts:
    """What one incarnation of a member has reported."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.cells: dict[CellKey, Counts] = {}
        self.latencies: dict[int, dict[int, int]] = {}
        self.busy = 0.0


class CentreEvidence:
    """Merged counts and tests of one move.

    The counts of a member that reports for the first time are where its later ones
    start from: they may span many windows, in which the shares differed.
    """

    def __init__(self, move: Move) -> None:
        self._move = move
        self._evidence = MoveEvidence(move.thresholds)
        self._members: dict[str, _MemberCounts] = {}
        self._answered = 0

    def take(
        self, name: str, incarnation: int, report: MoveReport, now_ms: int
    ) -> None:
        """Merge what a member has counted since its last report."""
        held = self._members.get(name)
        first = held is None or held.incarnation != incarnation
        if held is None or first:
            held = _MemberCounts(incarnation)
            self._members[name] = held
        held.busy = report.busy
        held.latencies |= report.latencies
        for cell in report.cells:
            key = CellKey(cell.route, cell.new, cell.level)
            counts = Counts(*cell.counts)
            fresh = counts.minus(held.cells.get(key, Counts()))
            held.cells[key] = counts
            if first:
                continue
            self._evidence.add(key, fresh, now_ms)
            if cell.new:
                self._answered += fresh.answered

    def keep_members(self, names: Iterable[str]) -> None:
        """Forget the members that are gone."""
        wanted = set(names)
        self._members = {n: m for n, m in self._members.items() if n in wanted}

    def close_windows(self, now_ms: int, alone: bool) -> None:
        """Hand every complete window to the tests."""
        self._evidence.close_windows(now_ms, alone)

    def forget_suspicion(self) -> None:
        """Begin anew to compare with the past."""
        self._evidence.forget_suspicion()

    def summary(self) -> MoveSummary:
        """Return what the other data centres need to know."""
        streams = tuple(
            StreamReport(*key, tuple(round(value / LOG_UNIT) for value in values))
            for key, values in self._evidence.streams().items()
        )
        return MoveSummary(
            self._move.move_id,
            self._answered,
            sum(member.busy for member in self._members.values()),
            self._evidence.suspicious,
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
    """Return the e-processes of a summary."""
    return {
        StreamKey(item.route, item.metric, item.level): tuple(
            value * LOG_UNIT for value in item.logs
        )
        for item in summary.streams
    }
