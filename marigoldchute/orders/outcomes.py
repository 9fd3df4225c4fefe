"""Counts of answers by release while a service is moved, and what they say."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.bundle.model import Thresholds
from marigoldchute.moves.evidence import (
    CellKey,
    Counts,
    MoveEvidence,
    log_e_value,
    worst_stream,
)
from marigoldchute.moves.sequential import log_threshold
from marigoldchute.routing.outcomes import Outcome

if TYPE_CHECKING:
    from marigoldchute.orders.book import OrderBook
    from marigoldchute.orders.model import OrderState

SLOW_FACTOR = 3.0
USUAL_WEIGHT = 0.05
MIN_USUAL_SAMPLES = 5
# A faulty release fails a large part of its answers; backend servers that lose or spoil
# a few in a hundred are no reason to take a release back.
THRESHOLDS = Thresholds(max_error_increase=0.08, max_slow_increase=0.2)
LOCAL_MIN_FAILURES = 6
LOCAL_MIN_SHARE = 0.25
LOCAL_MIN_RATIO = 3.0


class RouteCounts(msgspec.Struct, frozen=True, array_like=True):
    """Answers of one route and release at one node since it learned of the order.

    Parameters
    ----------
    route : str
        Route name.
    new : bool
        Whether the order's target answered.
    answered, errors, timed, slow : int
        Answers, failures among them, answers whose time was judged, slow ones.
    """

    route: str
    new: bool
    answered: int
    errors: int
    timed: int
    slow: int


class NodeOutcomes(msgspec.Struct, frozen=True, array_like=True):
    """What one node has counted for an order."""

    node: str
    incarnation: int
    order_id: str
    counts: list[RouteCounts]


@dataclasses.dataclass
class _Cell:
    answered: int = 0
    errors: int = 0
    timed: int = 0
    slow: int = 0


class _OrderCounts:
    """Counts of one order on this node."""

    def __init__(self) -> None:
        self.cells: dict[tuple[str, bool], _Cell] = {}
        self.usual_ms: dict[str, tuple[float, int]] = {}

    def add(
        self, route: str, new: bool, failed: bool, latency_ms: float, cold: bool
    ) -> None:
        cell = self.cells.setdefault((route, new), _Cell())
        cell.answered += 1
        cell.errors += failed
        if failed or cold:
            return
        usual_ms, samples = self.usual_ms.get(route, (latency_ms, 0))
        if samples >= MIN_USUAL_SAMPLES:
            cell.timed += 1
            cell.slow += latency_ms > SLOW_FACTOR * usual_ms
        if not new:
            weight = max(USUAL_WEIGHT, 1.0 / (samples + 1))
            usual_ms += weight * (latency_ms - usual_ms)
            self.usual_ms[route] = (usual_ms, samples + 1)

    def convicts(self) -> str:
        """Return why this node alone is sure of a fault, empty when it is not."""
        new_all, old_all = _Cell(), _Cell()
        for (route, new), cell in self.cells.items():
            if not new:
                continue
            old = self.cells.get((route, False), _Cell())
            for what in ("errors", "slow"):
                if _is_worse(cell, old, what):
                    return f"route {route!r} has {getattr(cell, what)} {what}"
            _add(new_all, cell)
            _add(old_all, old)
        if _is_worse(new_all, old_all, "errors"):
            return f"{new_all.errors} of {new_all.answered} answers fail"
        return ""


def _add(total: _Cell, cell: _Cell) -> None:
    total.answered += cell.answered
    total.errors += cell.errors


def _is_worse(new: _Cell, old: _Cell, what: str) -> bool:
    new_total = new.answered if what == "errors" else new.timed
    old_total = old.answered if what == "errors" else old.timed
    failures, before = getattr(new, what), getattr(old, what)
    if failures < LOCAL_MIN_FAILURES:
        return False
    share = failures / max(1, new_total)
    usual = (before + 0.5) / (old_total + 5.0)
    return share >= LOCAL_MIN_SHARE and share >= LOCAL_MIN_RATIO * usual


class OutcomeCounter:
    """Outcome sink that counts for the open orders.

    Parameters
    ----------
    book : OrderBook
        Orders and their targets.
    """

    def __init__(self, book: OrderBook) -> None:
        self._book = book
        self._orders: dict[str, _OrderCounts] = {}
        self.changed: set[str] = set()

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
        """Take one outcome; refusals and requests that were given up say nothing."""
        if not move_id:
            return
        state = self._book.state(service)
        if state is None or state.order_id != move_id or not state.is_open:
            return
        if outcome not in (Outcome.OK, Outcome.ERROR, Outcome.UNKNOWN):
            return
        counts = self._orders.setdefault(move_id, _OrderCounts())
        new = release == state.target
        counts.add(route, new, outcome is not Outcome.OK, latency_ms, cold)
        self.changed.add(move_id)
        if new and not self._book.is_faulty(state):
            reason = counts.convicts()
            if reason:
                self._book.report_fault(state, reason)

    def counts_of(self, order_id: str) -> list[RouteCounts]:
        """Return the counts of an order."""
        counts = self._orders.get(order_id)
        if counts is None:
            return []
        return [
            RouteCounts(route, new, c.answered, c.errors, c.timed, c.slow)
            for (route, new), c in counts.cells.items()
        ]

    def forget(self, order_id: str) -> None:
        """Drop the counts of an order that has its verdict."""
        self._orders.pop(order_id, None)
        self.changed.discard(order_id)


class OrderEvidence:
    """Adds up what the nodes count for one order and tests it.

    Parameters
    ----------
    state : OrderState
        The order.
    """

    def __init__(self, state: OrderState) -> None:
        self.order_id = state.order_id
        self.new_answers = 0
        self._evidence = MoveEvidence(THRESHOLDS)
        self._routes: dict[str, int] = {}
        self._taken: dict[tuple[str, int, str, bool], Counts] = {}
        self._limit = log_threshold(THRESHOLDS.false_alarm, 1)

    def take(self, report: NodeOutcomes, now_ms: int) -> None:
        """Take what a node has counted so far."""
        for counts in report.counts:
            key = (report.node, report.incarnation, counts.route, counts.new)
            total = Counts(counts.answered, counts.errors, counts.timed, counts.slow)
            added = total.minus(self._taken.get(key, Counts()))
            if added.answered <= 0:
                continue
            self._taken[key] = total
            if counts.new:
                self.new_answers += added.answered
            route = self._routes.setdefault(counts.route, len(self._routes))
            self._evidence.add(CellKey(route, counts.new, 0), added, now_ms)

    def fault(self, alone: bool, now_ms: int) -> str:
        """Return why the target is faulty, empty while nothing says so.

        Parameters
        ----------
        alone : bool
            Whether the target takes all requests.
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        """
        self._evidence.close_windows(now_ms, alone)
        streams = self._evidence.streams()
        value = log_e_value(streams)
        if value > self._limit:
            return f"evidence {value:.1f} at {worst_stream(streams)}"
        return "more failures than before" if self._evidence.suspicious else ""
