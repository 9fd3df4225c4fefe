"""Counts of answers by release while a service is moved, and what they say."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.routing.outcomes import Outcome

if TYPE_CHECKING:
    from marigoldchute.orders.book import OrderBook
    from marigoldchute.orders.model import OrderState

SLOW_FACTOR = 4.0
OVERDUE_FACTOR = 2.5  # One that was cut would have taken longer than it was seen to.
COLD_FACTOR = 2.0  # A backend server runs up to twice as long in its cold start.
USUAL_WEIGHT = 0.05
MIN_USUAL_SAMPLES = 5
# A faulty release fails or delays a large part of its answers; backend servers that
# lose or spoil a few in a hundred are no reason to take a release back.
TOLERANCE = 0.06
BAD_RATES = (0.3, 0.6)
LOG_LIMIT = 7.0  # One false alarm in about 1,000 looks at independent answers.
WINDOW_MS = 250
WINDOW_LIMIT = 2.7  # Three windows in a row convict at the earliest.
PRIOR_BAD = 0.2  # Of all routes: two in a hundred answers are bad, as ten show.
PRIOR_ANSWERED = 10.0
ROUTE_PRIOR_ANSWERED = 8.0  # Of one route: as all routes, as eight answers show.
COUNTED = (Outcome.OK, Outcome.ERROR, Outcome.UNKNOWN, Outcome.OVERDUE)
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
    answered, failed, slow : int
        Answers, those among them that failed, and others that took far longer than
        usual.
    """

    route: str
    new: bool
    answered: int
    failed: int
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
    failed: int = 0
    slow: int = 0

    @property
    def bad(self) -> int:
        return self.failed + self.slow

    def add(self, other: _Cell) -> None:
        self.answered += other.answered
        self.failed += other.failed
        self.slow += other.slow


class _OrderCounts:
    """Counts of one order on this node."""

    def __init__(self) -> None:
        self.cells: dict[tuple[str, bool], _Cell] = {}
        self.usual_ms: dict[str, tuple[float, int]] = {}

    def add(
        self, route: str, new: bool, outcome: Outcome, latency_ms: float, cold: bool
    ) -> None:
        usual_ms, samples = self.usual_ms.get(route, (latency_ms, 0))
        factor = OVERDUE_FACTOR if outcome is Outcome.OVERDUE else SLOW_FACTOR
        limit_ms = factor * usual_ms * (COLD_FACTOR if cold else 1.0)
        slow = samples >= MIN_USUAL_SAMPLES and latency_ms > limit_ms
        if outcome is Outcome.OVERDUE and not slow:
            return  # A short time limit says nothing of the release.
        failed = outcome is not Outcome.OK
        cell = self.cells.setdefault((route, new), _Cell())
        cell.answered += 1
        cell.slow += slow
        cell.failed += failed and not slow
        if not (new or failed or cold):
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
            if _is_worse(cell, old):
                return f"{cell.bad} of {cell.answered} answers are bad on {route!r}"
            new_all.add(cell)
            old_all.add(old)
        if _is_worse(new_all, old_all):
            return f"{new_all.bad} of {new_all.answered} answers are bad"
        return ""


def _is_worse(new: _Cell, old: _Cell) -> bool:
    if new.bad < LOCAL_MIN_FAILURES:
        return False
    share = new.bad / new.answered
    usual = (old.bad + 0.5) / (old.answered + 5.0)
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
        if outcome not in COUNTED:
            return
        counts = self._orders.setdefault(move_id, _OrderCounts())
        new = release == state.target
        counts.add(route, new, outcome, latency_ms, cold)
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
            RouteCounts(route, new, c.answered, c.failed, c.slow)
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
        self._routes: dict[str, RouteEvidence] = {}
        self._taken: dict[tuple[str, int, str, bool], RouteCounts] = {}

    def take(self, report: NodeOutcomes, now_ms: int) -> None:
        """Take what a node has counted so far."""
        for counts in report.counts:
            key = (report.node, report.incarnation, counts.route, counts.new)
            before = self._taken.get(key)
            added = _Cell(counts.answered, counts.failed, counts.slow)
            if before is not None:
                added.answered -= before.answered
                added.failed -= before.failed
                added.slow -= before.slow
            if added.answered <= 0:
                continue
            self._taken[key] = counts
            evidence = self._routes.setdefault(counts.route, RouteEvidence())
            evidence.add(counts.new, added, now_ms)
            if counts.new:
                self.new_answers += added.answered

    def fault(self) -> str:
        """Return why the target is faulty, empty while nothing says so."""
        value, where = self._greatest()
        return f"evidence {value:.1f} {where}" if value > LOG_LIMIT else ""

    def doubt(self) -> float:
        """Return the evidence that the target is faulty as a part of what convicts."""
        return max(0.0, self._greatest()[0] / LOG_LIMIT)

    def _greatest(self) -> tuple[float, str]:
        pooled = RouteEvidence()
        for evidence in self._routes.values():
            pooled.merge(evidence)
        usual = pooled.usual(PRIOR_BAD / PRIOR_ANSWERED, PRIOR_ANSWERED)
        found = [(0.0, ""), (pooled.log_value(usual), pooled.describe("any"))]
        for route, evidence in self._routes.items():
            of_route = evidence.usual(usual, ROUTE_PRIOR_ANSWERED)
            found.append((evidence.log_value(of_route), evidence.describe(route)))
        return max(found)


class RouteEvidence:
    """Answers of both releases on one route, those of the new one by window."""

    def __init__(self) -> None:
        self._old = _Cell()
        self._windows: dict[int, _Cell] = {}

    def add(self, new: bool, added: _Cell, now_ms: int) -> None:
        """Add answers that were counted of late."""
        if new:
            self._windows.setdefault(now_ms // WINDOW_MS, _Cell()).add(added)
        else:
            self._old.add(added)

    def merge(self, other: RouteEvidence) -> None:
        """Add the answers of another route."""
        self._old.add(other._old)
        for window, cell in other._windows.items():
            self._windows.setdefault(window, _Cell()).add(cell)

    def describe(self, route: str) -> str:
        """Return what was counted, for logs."""
        new, old = _Cell(), self._old
        for cell in self._windows.values():
            new.add(cell)
        return (
            f"on route {route!r}: {new.bad} of {new.answered} new answers are bad, "
            f"{old.bad} of {old.answered} old ones"
        )

    def usual(self, prior: float, prior_answers: float) -> float:
        """Return the part of the old release's answers that is bad.

        Parameters
        ----------
        prior : float
            Part that is expected.
        prior_answers : float
            Answers that would weigh as much as the expectation.
        """
        old = self._old
        return (old.bad + prior * prior_answers) / (old.answered + prior_answers)

    def log_value(self, usual: float) -> float:
        """Return the logarithm of the evidence that the new release is worse.

        A cumulative sum test (Page, "Continuous Inspection Schemes", 1954): the
        greatest over all spans that end now, as a release may turn bad late or under
        load, and the good answers of before say nothing of that.

        Parameters
        ----------
        usual : float
            Part of the old release's answers that is bad.
        """
        tolerated = min(0.9, usual + TOLERANCE)
        latest = [cell for _, cell in sorted(self._windows.items(), reverse=True)]
        rates = [rate for rate in BAD_RATES if rate > tolerated]
        return max(
            (_greatest_sum(latest, rate, tolerated) for rate in rates), default=0
        )


def _greatest_sum(latest: list[_Cell], rate: float, tolerated: float) -> float:
    """Return the greatest log likelihood ratio of spans of windows, latest first.

    A window adds no more than ``WINDOW_LIMIT``: a backend server that dies takes its
    running requests with it, all at once, and that convicts no release.
    """
    for_bad = math.log(rate / tolerated)
    for_good = math.log((1.0 - rate) / (1.0 - tolerated))
    total = greatest = 0.0
    for cell in latest:
        value = cell.bad * for_bad + (cell.answered - cell.bad) * for_good
        total += min(value, WINDOW_LIMIT)
        greatest = max(greatest, total)
    return greatest - math.log(len(BAD_RATES))
