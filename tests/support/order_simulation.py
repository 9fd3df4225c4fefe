"""Simulation of one order in a mesh, with response times and delays between nodes."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
import types
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.events import MemoryEventLog
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.orders.book import OrderBook
from marigoldchute.orders.driver import TICK_INTERVAL_S
from marigoldchute.orders.model import OrderStage, OrderState
from marigoldchute.orders.outcomes import OrderEvidence, OutcomeCounter
from marigoldchute.orders.reports import (
    FAST_REPORT_INTERVAL_S,
    FAST_REPORT_LEVEL,
    REPORT_INTERVAL_S,
)
from marigoldchute.orders.schedule import (
    Progress,
    expiry_reason,
    has_late_fault_evidence,
    level_of,
    next_state,
    phase_of,
)
from marigoldchute.overlay.records import RecordTable
from marigoldchute.routing.outcomes import Outcome
from marigoldchute.routing.release_choice import ReleaseChoice

if TYPE_CHECKING:
    from collections.abc import Callable

OLD, NEW = "v1", "v2"
SERVICE = "turnos"
# Part of the requests during an order that a faulty release may get, and a number on
# top of it.
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
SERVERS_READY_S = 1.5  # From the order until the target has backend servers.
MAX_RECORD_DELAY_S = 0.15  # Until a replicated record has reached every node.
MAX_REPORT_DELAY_S = 0.05
LATENCY_SPREAD = 0.8


@dataclasses.dataclass(frozen=True)
class Load:
    """Traffic to the service of an order.

    Parameters
    ----------
    requests_per_s : float
        Requests a second, of all nodes.
    response_s : float
        Mean time of a response in seconds.
    nodes : int
        Nodes of the mesh.
    routes : tuple of str
        Routes with equal parts of the requests; a name may be repeated.
    timeout_s : float
        Time after which a request is cut.
    duration_s : float
        Seconds from the order to its deadline.
    error_share : float
        Part of the responses of either release that are failures.
    """

    requests_per_s: float
    response_s: float
    nodes: int
    routes: tuple[str, ...] = ("query", "book")
    timeout_s: float = 3.0
    duration_s: float = 16.0
    error_share: float = 0.001


@dataclasses.dataclass(frozen=True)
class Situation:
    """What a release's behaviour depends on, for one request.

    Parameters
    ----------
    now : float
        Seconds since the order.
    route : str
        Route of the request.
    share : float
        Share of the target by the latest state of the order.
    duration_s : float
        Seconds from the order to its deadline.
    """

    now: float
    route: str
    share: float
    duration_s: float


class Behaviour:
    """Behaviour of the target: as the old release, but while ``is_faulty`` holds.

    Parameters
    ----------
    is_faulty : callable
        Tells from the situation of a request whether the fault shows.
    bad_share : float
        Part of the requests that are bad then.
    slow_factor : float
        How many times as long a bad response takes; 0 for one that fails instead.
    """

    def __init__(
        self,
        is_faulty: Callable[[Situation], bool],
        bad_share: float = 0.4,
        slow_factor: float = 0.0,
    ) -> None:
        self.is_faulty = is_faulty
        self.bad_share = bad_share
        self.slow_factor = slow_factor

    def respond(
        self, rng: random.Random, situation: Situation, run_s: float
    ) -> tuple[float, Outcome]:
        """Return the time and the outcome of a response."""
        if rng.random() >= self.bad_share or not self.is_faulty(situation):
            return run_s, Outcome.OK
        if self.slow_factor:
            return self.slow_factor * run_s, Outcome.OK
        return run_s, Outcome.ERROR


class _Members:
    def __init__(self) -> None:
        servers = [
            BackendServer(release, SERVICE, release, 80, 12, 100)
            for release in (OLD, NEW)
        ]
        self._all = tuple(
            Member(s.release, 1, 1, "a", 1, "dc", "r", servers=(s,)) for s in servers
        )

    def all(self) -> tuple[Member, ...]:
        return self._all


class _Node:
    def __init__(self, members: _Members, rng: random.Random) -> None:
        self.book = OrderBook(members, RecordTable(), MemoryEventLog())  # type: ignore[arg-type]
        self.counter = OutcomeCounter(self.book)
        self.choice = ReleaseChoice(rng, boost_rare_routes=True)
        self.next_report_at = rng.random() * REPORT_INTERVAL_S
        self.has_told_fault = False


class OrderSimulation:
    """Play one order from its begin to its deadline.

    The driver's decisions, the counters, the choice of the release and the evidence are
    those of the product. Requests, links and time are simulated.

    Parameters
    ----------
    load : Load
        Traffic to the service.
    behaviour : Behaviour
        Behaviour of the target.
    seed : int
        Seed of all random numbers.
    """

    def __init__(self, load: Load, behaviour: Behaviour, seed: int) -> None:
        self.load = load
        self.behaviour = behaviour
        self.rng = random.Random(seed)
        members = _Members()
        self.nodes = [_Node(members, self.rng) for _ in range(load.nodes)]
        self.state = OrderState(
            SERVICE, NEW, 7, 0, 0.0, OrderStage.WAITING, load.duration_s, ()
        )
        self.evidence = OrderEvidence(self.state)
        self.raised_at = 0.0
        self.now = 0.0
        self.requests = 0
        self.exposed = 0
        self.fault = ""
        self.fault_found_at = math.inf
        self.log: list[str] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._entries = {
            name: types.SimpleNamespace(
                sticky_header="", route=types.SimpleNamespace(name=name)
            )
            for name in set(load.routes)
        }
        self._service = types.SimpleNamespace(name=SERVICE)

    @property
    def allowed(self) -> float:
        """Requests that a faulty target may get."""
        return EXPOSURE_SHARE * self.requests + EXPOSURE_SLACK

    def run(self) -> None:
        """Play the order to its deadline."""
        self._publish(self.state)
        self._at(TICK_INTERVAL_S, self._tick)
        self._at(0.0, self._arrive)
        for node in self.nodes:
            self._at(node.next_report_at, lambda node=node: self._report(node))
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > self.load.duration_s:
                return
            self.now = at
            action()

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _arrive(self) -> None:
        self._at(
            self.now + self.rng.expovariate(self.load.requests_per_s), self._arrive
        )
        self.requests += 1
        node = self.rng.choice(self.nodes)
        route = self.rng.choice(self.load.routes)
        split = node.book.split(SERVICE, "")
        release = node.choice.pick_release(
            None,  # type: ignore[arg-type]
            self._entries[route],  # type: ignore[arg-type]
            self._service,  # type: ignore[arg-type]
            split,
        )
        node.counter.record_attempt(SERVICE, release, split.move_id)
        mean_s = self.load.response_s
        run_s = self.rng.lognormvariate(
            math.log(mean_s) - LATENCY_SPREAD**2 / 2, LATENCY_SPREAD
        )
        outcome = (
            Outcome.OK if self.rng.random() >= self.load.error_share else Outcome.ERROR
        )
        if release == NEW:
            self.exposed += 1
            if outcome is Outcome.OK:
                situation = Situation(
                    self.now, route, self.state.share, self.load.duration_s
                )
                run_s, outcome = self.behaviour.respond(self.rng, situation, run_s)
        if run_s > self.load.timeout_s:
            run_s, outcome = self.load.timeout_s, Outcome.OVERDUE
        self._at(
            self.now + run_s,
            lambda: self._respond(node, route, release, split.move_id, outcome, run_s),
        )

    def _respond(
        self,
        node: _Node,
        route: str,
        release: str,
        move_id: str,
        outcome: Outcome,
        run_s: float,
    ) -> None:
        node.counter.record(
            route,
            SERVICE,
            release,
            move_id,
            outcome,
            run_s * 1000,
            0,
            False,
            int(self.now * 1000),
        )
        if node.book.is_faulty(self.state) and not node.has_told_fault:
            node.has_told_fault = True
            if not self.fault:
                self._report_fault("fault found by one node")

    def _report(self, node: _Node) -> None:
        state = node.book.state(SERVICE)
        fast = (
            state is not None and state.is_open and level_of(state) >= FAST_REPORT_LEVEL
        )
        interval_s = FAST_REPORT_INTERVAL_S if fast else REPORT_INTERVAL_S
        self._at(self.now + interval_s, lambda: self._report(node))
        order_id = self.state.order_id
        if order_id not in node.counter.changed_order_ids:
            return
        node.counter.changed_order_ids.clear()
        name = f"vm-{id(node)}"
        report = node.counter.report(name, 1, order_id, int(self.now * 1000))
        delay_s = self.rng.random() * MAX_REPORT_DELAY_S
        self._at(
            self.now + delay_s,
            lambda: self.evidence.apply_report(report, int(self.now * 1000)),
        )

    def _tick(self) -> None:
        self._at(self.now + TICK_INTERVAL_S, self._tick)
        if not self.state.is_open:
            return
        reason = self.evidence.fault_reason()
        if reason and not self.fault:
            self._report_fault(reason)
        if self.fault:
            self.state = msgspec.structs.replace(
                self.state, share=0.0, stage=OrderStage.TAKEN_BACK
            )
            return
        progress = Progress(
            self.now,
            self.now - self.raised_at,
            self.now >= SERVERS_READY_S,
            self.evidence.new_response_count,
            self.evidence.fault_evidence(),
            self.evidence.traffic(),
        )
        new_state = next_state(self.state, progress)
        if new_state is None:
            reason = expiry_reason(self.state, progress)
            if reason:
                self._report_fault(reason)
        elif has_late_fault_evidence(self.state, progress):
            self._report_fault("late evidence")
        else:
            if phase_of(new_state) != phase_of(self.state):
                self.raised_at = self.now
            self._publish(new_state)

    def _publish(self, state: OrderState) -> None:
        self.state = state
        self.log.append(
            f"{self.now:.2f} s: share {state.share:.3f}, stage {state.stage}, "
            f"{self.exposed} of {self.requests} exposed"
        )
        for node in self.nodes:
            delay_s = self.rng.random() * MAX_RECORD_DELAY_S
            self._at(self.now + delay_s, lambda node=node: node.book.publish(state))

    def _report_fault(self, reason: str) -> None:
        self.fault, self.fault_found_at = reason, self.now
        self.log.append(
            f"{self.now:.2f} s: {reason}, {self.exposed} of {self.requests} exposed"
        )
        state = self.state
        for node in self.nodes:
            node.has_told_fault = True
            delay_s = self.rng.random() * MAX_RECORD_DELAY_S
            self._at(
                self.now + delay_s,
                lambda node=node: node.book.report_fault(state, reason),
            )
