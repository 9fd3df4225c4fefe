"""Response counts by release during an order, and the tests for a faulty release."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, Annotated

import msgspec

from marigoldchute.orders.exposure import OrderTraffic
from marigoldchute.routing.outcomes import Outcome

if TYPE_CHECKING:
    from marigoldchute.orders.book import OrderBook
    from marigoldchute.orders.model import OrderState

# A response is slow above this multiple of the baseline latency of its route.
SLOW_FACTOR = 4.0
# A request that was cut off at its deadline would have taken longer than was measured.
OVERDUE_FACTOR = 2.5
COLD_FACTOR = 2.0  # A backend server takes up to twice as long in its cold start.
BASELINE_WEIGHT = 0.05  # Weight of a new sample in the moving average.
MIN_BASELINE_SAMPLES = 5
# A faulty release fails or delays a large part of its responses. Backend servers that
# lose or corrupt a few responses in a hundred are no reason to take a release back.
BAD_SHARE_TOLERANCE = 0.06
BAD_SHARE_HYPOTHESES = (0.3, 0.6)
LOG_THRESHOLD = 7.0  # About one false alarm in 1,000 tests of independent responses.
WINDOW_MS = 250
MAX_WINDOW_LOG = 2.7  # The threshold takes at least three consecutive windows.
# The prior of all routes is two bad responses in a hundred, weighted as ten responses.
PRIOR_BAD_COUNT = 0.2
PRIOR_RESPONSE_COUNT = 10.0
# The prior of one route is the bad share of all routes, weighted as eight responses.
ROUTE_PRIOR_RESPONSE_COUNT = 8.0
COUNTED_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.UNKNOWN, Outcome.OVERDUE)
# A node reports a fault from its own counts alone when all three are reached.
LOCAL_MIN_BAD_COUNT = 6
LOCAL_MIN_BAD_SHARE = 0.25
LOCAL_MIN_BAD_RATIO = 3.0  # Bad share of the new release to that of the old one.


class RouteCounts(msgspec.Struct, frozen=True, array_like=True):
    """Response counts of one route and release at one node since it got the order.

    Parameters
    ----------
    route : str
        Route name.
    new : bool
        Whether the responses came from the order's target.
    responses, failed, slow : int
        All responses, those that failed, and those that did not fail but took far
        longer than the baseline.
    """

    route: str
    new: bool
    responses: int
    failed: int
    slow: int


class AttemptCounts(msgspec.Struct, frozen=True, array_like=True):
    """Attempts of one node since it got the order.

    Parameters
    ----------
    requests, exposed : int
        Attempts that began, at backend servers of any release and of the target.
    responses : int
        Attempts that ended with a counted outcome.
    response_ms : float
        Sum of the latencies of these in milliseconds.
    """

    requests: int = 0
    exposed: int = 0
    responses: int = 0
    response_ms: float = 0.0


NO_ATTEMPTS = AttemptCounts()


class NodeOutcomes(msgspec.Struct, frozen=True, array_like=True):
    """Response counts and attempts of one node for an order.

    Parameters
    ----------
    node : str
        Name of the node.
    incarnation : int
        Its incarnation; the counts begin anew with each.
    order_id : str
        Id of the order.
    counts : list of RouteCounts
        Response counts by route and release.
    attempts : AttemptCounts
        Attempts at all routes.
    elapsed_ms : int
        Age of the order in milliseconds, as far as the node knows.
    """

    node: str
    incarnation: int
    order_id: str
    counts: list[RouteCounts]
    attempts: AttemptCounts = NO_ATTEMPTS
    elapsed_ms: Annotated[int, msgspec.Meta(ge=0)] = 0


@dataclasses.dataclass
class _ResponseCounts:
    responses: int = 0
    failed: int = 0
    slow: int = 0

    @property
    def bad(self) -> int:
        return self.failed + self.slow

    def add(self, other: _ResponseCounts) -> None:
        self.responses += other.responses
        self.failed += other.failed
        self.slow += other.slow


class _OrderCounts:
    """Counts of one order on this node."""

    def __init__(self) -> None:
        self.by_route: dict[tuple[str, bool], _ResponseCounts] = {}
        self.baseline_ms: dict[str, tuple[float, int]] = {}
        self.requests = 0
        self.exposed = 0
        self.response_ms = 0.0

    def attempts(self) -> AttemptCounts:
        """Return the attempts as they are reported."""
        responses = sum(counts.responses for counts in self.by_route.values())
        return AttemptCounts(self.requests, self.exposed, responses, self.response_ms)

    def add(
        self, route: str, new: bool, outcome: Outcome, latency_ms: float, cold: bool
    ) -> None:
        baseline_ms, samples = self.baseline_ms.get(route, (latency_ms, 0))
        factor = OVERDUE_FACTOR if outcome is Outcome.OVERDUE else SLOW_FACTOR
        slow_threshold_ms = factor * baseline_ms * (COLD_FACTOR if cold else 1.0)
        slow = samples >= MIN_BASELINE_SAMPLES and latency_ms > slow_threshold_ms
        if outcome is Outcome.OVERDUE and not slow:
            return  # A short deadline is no evidence against the release.
        failed = outcome is not Outcome.OK
        counts = self.by_route.setdefault((route, new), _ResponseCounts())
        counts.responses += 1
        self.response_ms += latency_ms
        counts.slow += slow
        counts.failed += failed and not slow
        if not (new or failed or cold):
            weight = max(BASELINE_WEIGHT, 1.0 / (samples + 1))
            baseline_ms += weight * (latency_ms - baseline_ms)
            self.baseline_ms[route] = (baseline_ms, samples + 1)

    def find_local_fault(self) -> str:
        """Return the fault that this node's own counts prove, empty for none."""
        new_all, old_all = _ResponseCounts(), _ResponseCounts()
        for (route, new), counts in self.by_route.items():
            if not new:
                continue
            old = self.by_route.get((route, False), _ResponseCounts())
            if _is_worse(counts, old):
                return (
                    f"{counts.bad} of {counts.responses} responses are bad on {route!r}"
                )
            new_all.add(counts)
            old_all.add(old)
        if _is_worse(new_all, old_all):
            return f"{new_all.bad} of {new_all.responses} responses are bad"
        return ""


def _is_worse(new: _ResponseCounts, old: _ResponseCounts) -> bool:
    if new.bad < LOCAL_MIN_BAD_COUNT:
        return False
    share = new.bad / new.responses
    baseline = (old.bad + 0.5) / (old.responses + 5.0)
    return share >= LOCAL_MIN_BAD_SHARE and share >= LOCAL_MIN_BAD_RATIO * baseline


class OutcomeCounter:
    """Outcome sink that counts the responses of the open orders.

    Parameters
    ----------
    book : OrderBook
        Orders and their targets.
    """

    def __init__(self, book: OrderBook) -> None:
        self._book = book
        self._orders: dict[str, _OrderCounts] = {}
        self.changed_order_ids: set[str] = set()

    def record_attempt(self, service: str, release: str, move_id: str) -> None:
        """Record that an attempt begins."""
        state = self._open_order(service, move_id)
        if state is None:
            return
        counts = self._orders.setdefault(move_id, _OrderCounts())
        counts.requests += 1
        counts.exposed += release == state.target
        self.changed_order_ids.add(move_id)

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
        """Record one outcome; refused and cancelled requests are not counted."""
        state = self._open_order(service, move_id)
        if state is None:
            return
        if outcome not in COUNTED_OUTCOMES:
            return
        counts = self._orders.setdefault(move_id, _OrderCounts())
        new = release == state.target
        counts.add(route, new, outcome, latency_ms, cold)
        self.changed_order_ids.add(move_id)
        if new and not self._book.is_faulty(state):
            reason = counts.find_local_fault()
            if reason:
                self._book.report_fault(state, reason)

    def _open_order(self, service: str, move_id: str) -> OrderState | None:
        """Return the order that an attempt belongs to, None when it has a verdict."""
        if not move_id:
            return None
        state = self._book.state(service)
        if state is None or state.order_id != move_id or not state.is_open:
            return None
        return state

    def report(
        self, node: str, incarnation: int, order_id: str, elapsed_ms: int
    ) -> NodeOutcomes:
        """Return this node's counts of an order as a report.

        Parameters
        ----------
        node : str
            Name of this node.
        incarnation : int
            Its incarnation.
        order_id : str
            Id of the order.
        elapsed_ms : int
            Age of the order in milliseconds.
        """
        counts = self._orders.get(order_id)
        attempts = NO_ATTEMPTS if counts is None else counts.attempts()
        return NodeOutcomes(
            node,
            incarnation,
            order_id,
            self.counts_of(order_id),
            attempts,
            elapsed_ms,
        )

    def counts_of(self, order_id: str) -> list[RouteCounts]:
        """Return this node's counts of an order."""
        counts = self._orders.get(order_id)
        if counts is None:
            return []
        return [
            RouteCounts(route, new, c.responses, c.failed, c.slow)
            for (route, new), c in counts.by_route.items()
        ]

    def discard(self, order_id: str) -> None:
        """Discard the counts of an order that has its verdict."""
        self._orders.pop(order_id, None)
        self.changed_order_ids.discard(order_id)


class OrderEvidence:
    """Add up the counts of all nodes for one order and test its target for a fault.

    Parameters
    ----------
    state : OrderState
        The order.
    """

    def __init__(self, state: OrderState) -> None:
        self.order_id = state.order_id
        self.new_response_count = 0
        self._routes: dict[str, RouteEvidence] = {}
        self._latest_counts: dict[tuple[str, int, str, bool], RouteCounts] = {}
        self._latest_attempts: dict[tuple[str, int], AttemptCounts] = {}

    def traffic(self) -> OrderTraffic:
        """Return the requests of all nodes since the order."""
        attempts = self._latest_attempts.values()
        responses = sum(counts.responses for counts in attempts)
        response_ms = sum(counts.response_ms for counts in attempts)
        return OrderTraffic(
            sum(counts.requests for counts in attempts),
            sum(counts.exposed for counts in attempts),
            response_ms / responses / 1000 if responses else 0.0,
        )

    def apply_report(self, report: NodeOutcomes, now_ms: int) -> None:
        """Apply the cumulative counts of a node.

        Parameters
        ----------
        report : NodeOutcomes
            Counts of the node since it got the order.
        now_ms : int
            Monotonic time in milliseconds.
        """
        sender = (report.node, report.incarnation)
        previous_attempts = self._latest_attempts.get(sender, NO_ATTEMPTS)
        if report.attempts.requests >= previous_attempts.requests:
            self._latest_attempts[sender] = report.attempts
        for counts in report.counts:
            key = (report.node, report.incarnation, counts.route, counts.new)
            previous = self._latest_counts.get(key)
            added = _ResponseCounts(counts.responses, counts.failed, counts.slow)
            if previous is not None:
                added.responses -= previous.responses
                added.failed -= previous.failed
                added.slow -= previous.slow
            if added.responses <= 0:
                continue
            self._latest_counts[key] = counts
            evidence = self._routes.setdefault(counts.route, RouteEvidence())
            evidence.add(counts.new, added, now_ms)
            if counts.new:
                self.new_response_count += added.responses

    def fault_reason(self) -> str:
        """Return why the target is faulty, empty below the fault threshold."""
        value, description = self._strongest_evidence()
        return f"evidence {value:.1f} {description}" if value > LOG_THRESHOLD else ""

    def fault_evidence(self) -> float:
        """Return the evidence of a fault as a fraction of the fault threshold."""
        return max(0.0, self._strongest_evidence()[0] / LOG_THRESHOLD)

    def _strongest_evidence(self) -> tuple[float, str]:
        pooled = RouteEvidence()
        for evidence in self._routes.values():
            pooled.merge(evidence)
        baseline = pooled.baseline(
            PRIOR_BAD_COUNT / PRIOR_RESPONSE_COUNT, PRIOR_RESPONSE_COUNT
        )
        candidates = [
            (0.0, ""),
            (pooled.log_evidence(baseline), pooled.describe("any")),
        ]
        for route, evidence in self._routes.items():
            route_baseline = evidence.baseline(baseline, ROUTE_PRIOR_RESPONSE_COUNT)
            candidates.append(
                (evidence.log_evidence(route_baseline), evidence.describe(route))
            )
        return max(candidates)


class RouteEvidence:
    """Response counts of both releases on one route, of the new one by window."""

    def __init__(self) -> None:
        self._old = _ResponseCounts()
        self._windows: dict[int, _ResponseCounts] = {}

    def add(self, new: bool, added: _ResponseCounts, now_ms: int) -> None:
        """Add responses that were counted since the last report."""
        if new:
            self._windows.setdefault(now_ms // WINDOW_MS, _ResponseCounts()).add(added)
        else:
            self._old.add(added)

    def merge(self, other: RouteEvidence) -> None:
        """Add the responses of another route."""
        self._old.add(other._old)
        for window, counts in other._windows.items():
            self._windows.setdefault(window, _ResponseCounts()).add(counts)

    def describe(self, route: str) -> str:
        """Return the counts as a text for logs."""
        new, old = _ResponseCounts(), self._old
        for counts in self._windows.values():
            new.add(counts)
        return (
            f"on route {route!r}: {new.bad} of {new.responses} responses of the new "
            f"release are bad, {old.bad} of {old.responses} of the old one"
        )

    def baseline(self, prior: float, prior_responses: float) -> float:
        """Return the bad share of the old release's responses, smoothed by a prior.

        Parameters
        ----------
        prior : float
            Expected bad share.
        prior_responses : float
            Number of responses that the prior weighs as much as.
        """
        old = self._old
        return (old.bad + prior * prior_responses) / (old.responses + prior_responses)

    def log_evidence(self, baseline: float) -> float:
        """Return the logarithm of the evidence that the new release is worse.

        This is a cumulative sum test (Page, "Continuous Inspection Schemes", 1954).
        It takes the maximum over all spans of windows that end now: a release may
        become faulty late or under load, and earlier good responses do not count
        against that.

        Parameters
        ----------
        baseline : float
            Bad share of the old release's responses.
        """
        tolerated = min(0.9, baseline + BAD_SHARE_TOLERANCE)
        newest_first = [
            counts for _, counts in sorted(self._windows.items(), reverse=True)
        ]
        hypotheses = [
            hypothesis for hypothesis in BAD_SHARE_HYPOTHESES if hypothesis > tolerated
        ]
        return max(
            (
                _max_log_ratio(newest_first, hypothesis, tolerated)
                for hypothesis in hypotheses
            ),
            default=0,
        )


def _max_log_ratio(
    newest_first: list[_ResponseCounts], hypothesis: float, tolerated: float
) -> float:
    """Return the maximum log likelihood ratio of spans of windows, newest first.

    A window adds no more than ``MAX_WINDOW_LOG``. A backend server that crashes fails
    all its running requests at once, which does not prove a fault of the release. The
    logarithm of the number of hypotheses is subtracted, because the caller takes the
    maximum over all of them.
    """
    bad_log_ratio = math.log(hypothesis / tolerated)
    good_log_ratio = math.log((1.0 - hypothesis) / (1.0 - tolerated))
    total = maximum = 0.0
    for counts in newest_first:
        value = (
            counts.bad * bad_log_ratio
            + (counts.responses - counts.bad) * good_log_ratio
        )
        total += min(value, MAX_WINDOW_LOG)
        maximum = max(maximum, total)
    return maximum - math.log(len(BAD_SHARE_HYPOTHESES))
