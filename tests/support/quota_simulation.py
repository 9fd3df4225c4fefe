"""Simulation of customers' quotas on a mesh, without a network."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from marigoldchute.bundle.model import Customer
from marigoldchute.overlay.topology import rendezvous_names
from marigoldchute.quota.coordinator import QuotaCoordinator
from marigoldchute.quota.limiter import QuotaLimiter
from marigoldchute.quota.limits import QuotaBound, make_quotas, window_limit
from marigoldchute.quota.messages import ENCODER, Shares, UseReport
from marigoldchute.quota.relay import QuotaRelay
from marigoldchute.quota.roles import COORDINATOR_TOPIC, relay_topic
from marigoldchute.quota.service import AVOID_S, CALL_TIMEOUT_S, REPORT_INTERVAL_S

BOUND = QuotaBound(5.0, 0.1, 20.0)
TICK_S = 0.02
FRAME_BYTES = 30  # Frame, method number and time stamp of a message.
DATA_CENTRES = 4
WITHIN_S, BETWEEN_CENTRES_S, BETWEEN_REGIONS_S = 0.0005, 0.002, 0.03
USUAL_PER_NODE = 916 / 78
LIMIT_RATIO = 1.6

Place = Callable[[random.Random], int]


@dataclasses.dataclass
class Traffic:
    """Requests per second of a customer, and the nodes that they go to."""

    usual: float
    factor: float = 1.0
    place: Place | None = None  # All nodes alike by default.


class SimulatedNode:
    """One node process with its limiter, relay and coordinator."""

    def __init__(self, sim: Simulation, index: int, now: float) -> None:
        self.sim = sim
        self.index = index
        self.name = f"vm-{index}"
        self.centre = index % DATA_CENTRES
        self.region = self.centre % 2
        self.is_up = True
        self.relay_order: list[int] = []
        self.start(now)

    def start(self, now: float) -> None:
        self.incarnation = object()
        rng = random.Random(self.sim.rng.random())
        self.limiter = QuotaLimiter(rng)
        self.limiter.node_count = self.sim.size
        self.limiter.set_quotas(self.sim.quotas)
        self.relay = QuotaRelay()
        self.coordinator = QuotaCoordinator()
        self.coordinator.node_count = self.sim.size
        self.coordinator.set_quotas(self.sim.quotas)
        self.avoided: dict[int, float] = {}
        self.is_reporting = self.is_relaying = False
        self.sim.at(now + rng.random() * REPORT_INTERVAL_S, self.bind(self.tick))

    def bind(self, action: Callable[[float], None]) -> Callable[[float], None]:
        """Return an action that is dropped when this process has ended."""
        incarnation = self.incarnation

        def run(now: float) -> None:
            if self.is_up and self.incarnation is incarnation:
                action(now)

        return run

    def tick(self, now: float) -> None:
        self.sim.at(now + REPORT_INTERVAL_S, self.bind(self.tick))
        if not self.is_reporting:
            self.send_use(now)
        if not self.is_relaying and self.relay.count_nodes(now):
            self.send_totals(now)

    def choose(self, order: list[int], now: float) -> SimulatedNode:
        for index in order:
            if self.avoided.get(index, 0.0) <= now:
                return self.sim.nodes[index]
        return self

    def send_use(self, now: float) -> None:
        target = self.choose(self.relay_order, now)
        usages = self.limiter.take_usages()
        self.is_reporting = True

        def handle(at: float) -> Shares:
            return target.relay.handle_report(self.name, usages, at)

        def receive(shares: Shares, at: float) -> None:
            self.limiter.apply_shares(shares, now)

        def end(ok: bool, at: float) -> None:
            self.is_reporting = False
            if not ok:
                self.limiter.restore_usages(usages)
                self.avoided[target.index] = at + AVOID_S

        self.sim.call(self, target, UseReport(1, usages), handle, receive, end, now)

    def send_totals(self, now: float) -> None:
        target = self.choose(self.sim.coordinator_order(self), now)
        report = self.relay.take_report(now)
        self.is_relaying = True

        def handle(at: float) -> Shares:
            rates = target.coordinator.handle_report(self.name, report, at)
            return Shares(0, rates)

        def receive(shares: Shares, at: float) -> None:
            self.relay.apply_rates(shares.rates, now)

        def end(ok: bool, at: float) -> None:
            self.is_relaying = False
            if not ok:
                self.relay.restore_usages(report.usages)
                self.avoided[target.index] = at + AVOID_S

        self.sim.call(self, target, report, handle, receive, end, now)


class Bucket:
    """Token bucket that knows all requests, or those of one node."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.level, self.at = burst, 0.0

    def take(self, now: float) -> bool:
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Simulation:
    """Mesh of nodes, the links between them, and the callers of customers."""

    def __init__(self, size: int, usual_rates: list[float], seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.size = size
        self.now = 0.0
        self.customers = [
            Customer(f"c{i}", (), None, LIMIT_RATIO * rate, rate)
            for i, rate in enumerate(usual_rates)
        ]
        self.quotas = make_quotas(self.customers, BOUND)
        self.traffic = [Traffic(rate) for rate in usual_rates]
        self.nodes: list[SimulatedNode] = []
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = itertools.count()
        self.cut: set[int] = set()  # Nodes that reach only one another.
        self.split_coordinators = False
        self.cross_region_bytes = self.all_bytes = self.messages = 0
        self.admitted: list[list[float]] = [[] for _ in usual_rates]
        self.rejected = [0] * len(usual_rates)
        self.equal_admitted: list[list[float]] = [[] for _ in usual_rates]
        self.ideal_admitted = [0] * len(usual_rates)
        self.ideal = [Bucket(c.rate_per_s, c.burst) for c in self.customers]
        self.equal: dict[tuple[int, int], Bucket] = {}
        for index in range(size):
            self.nodes.append(SimulatedNode(self, index, 0.0))
        names = [node.name for node in self.nodes]
        by_name = {node.name: node for node in self.nodes}
        order = rendezvous_names(names, COORDINATOR_TOPIC)
        self.order = [by_name[name].index for name in order]
        self.relay_orders: dict[tuple[int, str], list[int]] = {}
        for node in self.nodes:
            near = [n.name for n in self.nodes if n.centre == node.centre]
            topic = relay_topic(node.name, len(near))
            order = self.relay_orders.get((node.centre, topic), [])
            if not order:
                order += [by_name[n].index for n in rendezvous_names(near, topic)]
                self.relay_orders[node.centre, topic] = order
            node.relay_order = order

    def at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def coordinator_order(self, node: SimulatedNode) -> list[int]:
        if self.split_coordinators and node.centre % 2:
            return self.order[1:]
        return self.order

    def reaches(self, a: SimulatedNode, b: SimulatedNode) -> bool:
        return b.is_up and (a.index in self.cut) == (b.index in self.cut)

    def delay(self, a: SimulatedNode, b: SimulatedNode) -> float:
        if a is b:
            return 0.0
        if a.region != b.region:
            return BETWEEN_REGIONS_S
        return WITHIN_S if a.centre == b.centre else BETWEEN_CENTRES_S

    def count(self, a: SimulatedNode, b: SimulatedNode, message: object) -> None:
        if a is not b:
            size = len(ENCODER.encode(message)) + FRAME_BYTES
            self.all_bytes += size
            self.messages += 1
            self.cross_region_bytes += size if a.region != b.region else 0

    def call(self, a, b, message, handle, receive, end, now) -> None:  # type: ignore[no-untyped-def]
        """Deliver a message and its response, or fail after the time-out."""
        self.count(a, b, message)
        if not self.reaches(a, b):
            self.at(now + CALL_TIMEOUT_S, a.bind(lambda at: end(False, at)))
            return

        def arrive(at: float) -> None:
            if not self.reaches(a, b):
                self.at(now + CALL_TIMEOUT_S, a.bind(lambda at: end(False, at)))
                return
            shares = handle(at)
            self.count(b, a, shares)
            self.at(at + self.delay(a, b), a.bind(lambda at: finish(shares, at)))

        def finish(shares: Shares, at: float) -> None:
            receive(shares, at)
            end(True, at)

        self.at(now + self.delay(a, b), arrive)

    def restart(self, indexes: list[int], down_s: float) -> None:
        """End processes now; they start again, without state, after a time."""
        for index in indexes:
            node = self.nodes[index]
            node.is_up = False
            self.at(self.now + down_s, lambda at, node=node: self.start(node, at))

    def start(self, node: SimulatedNode, now: float) -> None:
        node.is_up = True
        node.start(now)

    def run(self, duration_s: float) -> None:
        """Advance the simulation with the present traffic and faults."""
        until = self.now + duration_s
        weights = list(itertools.accumulate(t.usual * t.factor for t in self.traffic))
        indexes = range(len(self.traffic))
        while self.now < until:
            end = self.now + TICK_S
            count = self.poisson(weights[-1] * TICK_S)
            times = sorted(self.rng.uniform(self.now, end) for _ in range(count))
            chosen = self.rng.choices(indexes, cum_weights=weights, k=count)
            for when, customer in zip(times, chosen, strict=True):
                self.handle_events(when)
                self.request(customer, when)
            self.handle_events(end)
            self.now = end

    def handle_events(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            when, _, action = heapq.heappop(self.events)
            action(when)

    def poisson(self, mean: float) -> int:
        return max(0, round(self.rng.gauss(mean, mean**0.5)))

    def request(self, index: int, now: float) -> None:
        place = self.traffic[index].place
        node = self.rng.randrange(self.size) if place is None else place(self.rng)
        while not self.nodes[node].is_up:
            node = self.rng.randrange(self.size)
        customer = self.customers[index]
        self.ideal_admitted[index] += self.ideal[index].take(now)
        equal = self.equal.get((index, node))
        if equal is None:
            rate, burst = customer.rate_per_s / self.size, customer.burst / self.size
            equal = self.equal[index, node] = Bucket(rate, max(1.0, burst))
        if equal.take(now):
            self.equal_admitted[index].append(now)
        if self.nodes[node].limiter.try_acquire(customer.name, now):
            self.rejected[index] += 1
        else:
            self.admitted[index].append(now)

    def worst_window(self, admitted: list[list[float]]) -> float:
        """Return the fullest window of any customer, as a part of its limit."""
        worst = 0.0
        for customer, times in zip(self.customers, admitted, strict=True):
            limit = window_limit(customer.rate_per_s, customer.burst, BOUND)
            recent: collections.deque[float] = collections.deque()
            for time in times:
                recent.append(time)
                while recent[0] <= time - BOUND.window_s:
                    recent.popleft()
                worst = max(worst, len(recent) / limit)
        return worst

    def lost_share(self, admitted: list[list[float]]) -> float:
        """Return the share of the permitted requests that were not admitted."""
        permitted = sum(self.ideal_admitted)
        lost = sum(
            max(0, ideal - len(times))
            for ideal, times in zip(self.ideal_admitted, admitted, strict=True)
        )
        return lost / max(1, permitted)


def usual_rates(size: int, count: int) -> list[float]:
    """Return usual rates of which a few are large, in proportion to the nodes."""
    weights = [1 / (rank + 1) for rank in range(count)]
    total = size * USUAL_PER_NODE
    return [total * weight / sum(weights) for weight in weights]
