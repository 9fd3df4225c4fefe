"""Records the outcomes of this node's requests for the moves in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.moves.evidence import Counts, CountsKey
from marigoldchute.moves.histogram import LatencyHistogram
from marigoldchute.routing.outcomes import Outcome

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Bundle, Move

SLOW_PERCENTILE = 0.95
MIN_LATENCIES = 20
CONCURRENCY_WINDOW_MS = 2000

_SUCCESS = Counts(outcomes=1)
_ERROR = Counts(outcomes=1, errors=1)


class MoveRecorder:
    """Counts the outcomes of one move on this node since its bundle came in force.

    Parameters
    ----------
    move : Move
        Move in progress.
    routes : tuple of str
        Sorted names of the routes of the move's service.
    """

    def __init__(self, move: Move, routes: tuple[str, ...]) -> None:
        self.move = move
        self.routes = routes
        self.counts_by_key: dict[CountsKey, Counts] = {}
        self.latencies: dict[int, LatencyHistogram] = {}
        self.collector_p95_ms: dict[int, float] = {}

    def record(
        self,
        route: str,
        new: bool,
        outcome: Outcome,
        latency_ms: float,
        load_level: int,
    ) -> None:
        """Record one outcome if it is evidence about a release.

        Shed and refused requests are not counted, because they did not run. A request
        cancelled by its caller counts only if it was already slow. An unknown outcome
        counts as an error.
        """
        index = self.routes.index(route)
        counts = self._classify(index, outcome, latency_ms)
        if counts is not None:
            key = CountsKey(index, new, load_level)
            self.counts_by_key[key] = self.counts_by_key.get(key, Counts()).plus(counts)
        if outcome is Outcome.OK and not new:
            self.latencies.setdefault(index, LatencyHistogram()).add(latency_ms)

    def _classify(
        self, route: int, outcome: Outcome, latency_ms: float
    ) -> Counts | None:
        limit_ms = self.slow_limit_ms(route)
        slow = limit_ms is not None and latency_ms > limit_ms
        if outcome in (Outcome.ERROR, Outcome.UNKNOWN, Outcome.OVERDUE):
            return _ERROR
        if outcome is Outcome.CANCELLED:
            return Counts(timed=1, slow=1) if slow else None
        if outcome is not Outcome.OK:
            return None
        if limit_ms is None:
            return _SUCCESS
        return Counts(outcomes=1, timed=1, slow=int(slow))

    def slow_limit_ms(self, route: int) -> float | None:
        """Return the latency above which a response is slow; None until it is known."""
        ratio = self.move.thresholds.slow_ratio
        histogram = self.latencies.get(route)
        if histogram is not None and histogram.total >= MIN_LATENCIES:
            return ratio * histogram.percentile(SLOW_PERCENTILE)
        collector_p95_ms = self.collector_p95_ms.get(route)
        return None if collector_p95_ms is None else ratio * collector_p95_ms


class ServiceLoad:
    """Mean number of concurrent requests of one service on this node."""

    def __init__(self) -> None:
        self.concurrency = 0.0
        self._request_ms = 0.0
        self._since_ms = 0

    def add(self, latency_ms: float) -> None:
        """Add the latency of a finished request."""
        self._request_ms += latency_ms

    def measure(self, now_ms: int) -> None:
        """Update ``concurrency`` once per ``CONCURRENCY_WINDOW_MS``."""
        elapsed_ms = now_ms - self._since_ms
        if elapsed_ms < CONCURRENCY_WINDOW_MS:
            return
        if self._since_ms:
            self.concurrency = self._request_ms / elapsed_ms
        self._request_ms = 0.0
        self._since_ms = now_ms


class EvidenceRecorder:
    """Outcome sink with a ``MoveRecorder`` for each move."""

    def __init__(self) -> None:
        self._by_move: dict[str, MoveRecorder] = {}
        self._by_service: dict[str, MoveRecorder] = {}
        self._loads: dict[str, ServiceLoad] = {}

    def apply_bundle(self, bundle: Bundle) -> None:
        """Create recorders for moves that are new or whose routes changed."""
        existing = self._by_move
        self._by_move = {}
        for move in bundle.content.moves:
            names = sorted(
                route.name
                for route in bundle.content.routes
                if route.service == move.service
            )
            recorder = existing.get(move.move_id)
            if recorder is None or recorder.routes != tuple(names):
                recorder = MoveRecorder(move, tuple(names))
            self._by_move[move.move_id] = recorder
        self._by_service = {r.move.service: r for r in self._by_move.values()}

    def concurrency_of(self, service: str) -> float:
        """Return the mean number of concurrent requests of a service."""
        load = self._loads.get(service)
        return 0.0 if load is None else load.concurrency

    def update_concurrency(self, now_ms: int) -> None:
        """Update the mean concurrency of every service."""
        for load in self._loads.values():
            load.measure(now_ms)

    def move_recorder(self, move_id: str) -> MoveRecorder | None:
        """Return the recorder of a move."""
        return self._by_move.get(move_id)

    def record_attempt(self, service: str, release: str, move_id: str) -> None:
        """Do nothing: moves count finished attempts only."""

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
        """Record one outcome unless its backend server was in its cold start."""
        self._loads.setdefault(service, ServiceLoad()).add(latency_ms)
        recorder = self._by_service.get(service)
        if recorder is None or cold or route not in recorder.routes:
            return
        move = recorder.move
        if release not in (move.old_release, move.new_release):
            return
        new = release == move.new_release
        recorder.record(route, new, outcome, latency_ms, load_level)
