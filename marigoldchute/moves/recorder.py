"""Counts the outcomes of this node's requests for the moves under way."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.moves.evidence import CellKey, Counts
from marigoldchute.moves.histogram import LatencyHistogram
from marigoldchute.routing.outcomes import Outcome

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Bundle, Move

SLOW_PERCENTILE = 0.95
MIN_LATENCIES = 20
BUSY_WINDOW_MS = 2000

_ANSWER = Counts(answered=1)
_ERROR = Counts(answered=1, errors=1)


class MoveRecorder:
    """Counts of one move on this node, cumulative since the bundle came in force.

    Parameters
    ----------
    move : Move
        Move under way.
    routes : tuple of str
        Sorted names of the routes of its service.
    """

    def __init__(self, move: Move, routes: tuple[str, ...]) -> None:
        self.move = move
        self.routes = routes
        self.cells: dict[CellKey, Counts] = {}
        self.latencies: dict[int, LatencyHistogram] = {}
        self.shared_p95_ms: dict[int, float] = {}

    def record(
        self,
        route: str,
        new: bool,
        outcome: Outcome,
        latency_ms: float,
        load_level: int,
    ) -> None:
        """Count one outcome that says something about a release.

        Shed load and other refusals ran nothing. A request that its caller cancelled
        counts only when it was slow by then. An unknown outcome is an error.
        """
        index = self.routes.index(route)
        counts = self._judge(index, outcome, latency_ms)
        if counts is not None:
            key = CellKey(index, new, load_level)
            self.cells[key] = self.cells.get(key, Counts()).plus(counts)
        if outcome is Outcome.OK and not new:
            self.latencies.setdefault(index, LatencyHistogram()).add(latency_ms)

    def _judge(self, route: int, outcome: Outcome, latency_ms: float) -> Counts | None:
        limit_ms = self.slow_limit_ms(route)
        slow = limit_ms is not None and latency_ms > limit_ms
        if outcome in (Outcome.ERROR, Outcome.UNKNOWN, Outcome.OVERDUE):
            return _ERROR
        if outcome is Outcome.CANCELLED:
            return Counts(timed=1, slow=1) if slow else None
        if outcome is not Outcome.OK:
            return None
        if limit_ms is None:
            return _ANSWER
        return Counts(answered=1, timed=1, slow=int(slow))

    def slow_limit_ms(self, route: int) -> float | None:
        """Return the latency above which an answer is slow; None if not yet known."""
        ratio = self.move.thresholds.slow_ratio
        own = self.latencies.get(route)
        if own is not None and own.total >= MIN_LATENCIES:
            return ratio * own.percentile(SLOW_PERCENTILE)
        shared_ms = self.shared_p95_ms.get(route)
        return None if shared_ms is None else ratio * shared_ms


class ServiceLoad:
    """Mean number of a service's requests of this node that run at a time."""

    def __init__(self) -> None:
        self.busy = 0.0
        self._busy_ms = 0.0
        self._since_ms = 0

    def add(self, latency_ms: float) -> None:
        """Take the latency of a finished request."""
        self._busy_ms += latency_ms

    def measure(self, now_ms: int) -> None:
        """Bring ``busy`` up to date once in ``BUSY_WINDOW_MS``."""
        elapsed_ms = now_ms - self._since_ms
        if elapsed_ms < BUSY_WINDOW_MS:
            return
        if self._since_ms:
            self.busy = self._busy_ms / elapsed_ms
        self._busy_ms = 0.0
        self._since_ms = now_ms


class EvidenceRecorder:
    """Outcome sink that keeps a ``MoveRecorder`` for each move."""

    def __init__(self) -> None:
        self._by_move: dict[str, MoveRecorder] = {}
        self._by_service: dict[str, MoveRecorder] = {}
        self._loads: dict[str, ServiceLoad] = {}

    def take_bundle(self, bundle: Bundle) -> None:
        """Begin to count for the moves of a bundle; keep the counts of those held."""
        held = self._by_move
        self._by_move = {}
        for move in bundle.content.moves:
            names = sorted(
                route.name
                for route in bundle.content.routes
                if route.service == move.service
            )
            recorder = held.get(move.move_id)
            if recorder is None or recorder.routes != tuple(names):
                recorder = MoveRecorder(move, tuple(names))
            self._by_move[move.move_id] = recorder
        self._by_service = {r.move.service: r for r in self._by_move.values()}

    def busy_of(self, service: str) -> float:
        """Return the mean number of a service's requests that run at a time."""
        load = self._loads.get(service)
        return 0.0 if load is None else load.busy

    def measure_busy(self, now_ms: int) -> None:
        """Bring the load of every service up to date."""
        for load in self._loads.values():
            load.measure(now_ms)

    def of_move(self, move_id: str) -> MoveRecorder | None:
        """Return the counts of a move."""
        return self._by_move.get(move_id)

    def record(
        self,
        route: str,
        service: str,
        release: str,
        move_id: str,
        outcome: Outcome,
        latency_ms: float,
        load_level: int,
        cold: bool,
        now_ms: int,
    ) -> None:
        """Count one outcome unless its backend server was in its cold start."""
        self._loads.setdefault(service, ServiceLoad()).add(latency_ms)
        recorder = self._by_service.get(service)
        if recorder is None or cold or route not in recorder.routes:
            return
        move = recorder.move
        if release not in (move.old_release, move.new_release):
            return
        new = release == move.new_release
        recorder.record(route, new, outcome, latency_ms, load_level)
