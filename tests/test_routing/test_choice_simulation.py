"""Choice of many nodes among servers of unequal speed, in a seeded simulation.

Each node sees a server's load only in the responses to its own requests, so its view
of most servers is old when it chooses.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import unittest

from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.routing.candidates import Candidates
from marigoldchute.routing.choice import PickInfo
from marigoldchute.routing.least_time import LeastExpectedTime
from marigoldchute.routing.target import ServiceLoad, Target

RUN_S = 0.22
OBJECTIVE_S = 0.8
SPEEDS = (0.6, 1.0, 1.4)
PICK_INFO = PickInfo("lookup", OBJECTIVE_S)


@dataclasses.dataclass
class Counts:
    """What the requests of one run met.

    ``refused_beside_free`` counts the refused attempts at a moment when another server
    had a free slot.
    """

    sent: int = 0
    refused: int = 0
    refused_beside_free: int = 0
    waits_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def mean_wait_s(self) -> float:
        return sum(self.waits_s) / len(self.waits_s)

    @property
    def p99_wait_s(self) -> float:
        return sorted(self.waits_s)[int(0.99 * len(self.waits_s))]


class _Server:
    def __init__(self, name: str, speed: float, slots: int) -> None:
        self.backend = BackendServer(name, "s", "v1", 80, slots, 100)
        self.member = Member(name, 1, 1, "a", 1, "dc", "r", servers=(self.backend,))
        self.run_s = RUN_S / speed
        self.slots = slots
        self.running = 0
        self.queue: list[tuple[float, int, Target, float]] = []


class Simulation:
    """Nodes that choose servers for requests at random times.

    Parameters
    ----------
    nodes, servers, slots : int
        Number of nodes and servers, and slots of each server.
    load : float
        Arrivals as a fraction of what all servers can run.
    seed : int
        Seed of all random values.
    """

    def __init__(
        self, nodes: int, servers: int, slots: int, load: float, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.counts = Counts()
        self._servers = [
            _Server(f"s{i}", SPEEDS[i % len(SPEEDS)], slots) for i in range(servers)
        ]
        self._choosers = [
            LeastExpectedTime(random.Random(seed + i)) for i in range(nodes)
        ]
        self._targets = [self._make_targets(ServiceLoad()) for _ in range(nodes)]
        self._rate = load * sum(slots / server.run_s for server in self._servers)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, object]] = []

    def _make_targets(self, load: ServiceLoad) -> list[Target]:
        return [Target(s.member, s.backend, load) for s in self._servers]

    def run(self, duration_s: float) -> Counts:
        """Run for some simulated seconds and return the counts."""
        now = 0.0
        while now < duration_s:
            next_arrival = now + self.rng.expovariate(self._rate)
            while self._events and self._events[0][0] <= next_arrival:
                at, _, finish = heapq.heappop(self._events)
                finish(at)  # type: ignore[operator]
            now = next_arrival
            self._send(now)
        return self.counts

    def _send(self, now: float) -> None:
        node = self.rng.randrange(len(self._choosers))
        self.counts.sent += 1
        attempted: set[Target] = set()
        targets = self._targets[node]
        for _ in range(3):
            target = self._choosers[node].choose(
                Candidates(data_centre=tuple(targets)), attempted, now, 10**9, PICK_INFO
            )
            if target is None:
                break
            attempted.add(target)
            server = self._servers[targets.index(target)]
            wait_s = len(server.queue) * server.run_s / server.slots
            if wait_s <= OBJECTIVE_S - 1.6 * server.run_s:
                self._admit(node, target, server, now)
                return
            target.record_load(server.running + len(server.queue), now)
            target.back_off(now)
            is_free = any(s.running < s.slots for s in self._servers)
            self.counts.refused_beside_free += is_free
        self.counts.refused += 1

    def _admit(self, node: int, target: Target, server: _Server, now: float) -> None:
        target.in_flight += 1
        if server.running < server.slots:
            self._start(node, target, server, now, now)
            return
        server.queue.append((now, node, target, now))

    def _start(
        self, node: int, target: Target, server: _Server, now: float, sent_at: float
    ) -> None:
        server.running += 1
        self.counts.waits_s.append(now - sent_at)
        run_s = server.run_s * self.rng.lognormvariate(-0.125, 0.5)

        def finish(at: float) -> None:
            server.running -= 1
            load = server.running + len(server.queue)
            target.in_flight -= 1
            target.record_response(run_s * 1000, False)
            target.record_load(load, at)
            self._choosers[node].record_run_time(target, "lookup", run_s * 1000)
            if server.queue:
                arrived_at, other, other_target, _ = server.queue.pop(0)
                self._start(other, other_target, server, at, arrived_at)

        heapq.heappush(self._events, (now + run_s, next(self._numbers), finish))


class OldReportsTest(unittest.TestCase):
    """Each of many nodes sends rarely, so that a report is old at the next request."""

    def test_servers_that_were_not_seen_lately_do_not_look_empty(self) -> None:
        """At 85% of the capacity nobody is refused and few wait for long."""
        for nodes, servers, run_s in ((14, 6, 60.0), (60, 30, 30.0), (195, 94, 8.0)):
            with self.subTest(nodes=nodes, servers=servers):
                counts = Simulation(nodes, servers, 6, 0.85, 5).run(run_s)
                self.assertLess(counts.mean_wait_s, RUN_S / 2)
                self.assertLess(counts.refused, 0.001 * counts.sent)

    def test_overload_refuses_only_what_exceeds_the_capacity(self) -> None:
        counts = Simulation(60, 30, 6, 1.1, 5).run(40.0)
        self.assertLess(counts.refused, 0.1 * counts.sent)


if __name__ == "__main__":  # Prints the table of the page on capacity.
    for nodes, servers in ((14, 6), (60, 30), (195, 94), (874, 420)):
        for load in (0.7, 0.85, 0.95, 1.1):
            counts = Simulation(nodes, servers, 6, load, 5).run(15.0)
            print(
                f"| {nodes} | {servers} | {load} | {counts.sent} "
                f"| {counts.refused / counts.sent:.4f} "
                f"| {counts.refused_beside_free} | {counts.mean_wait_s:.3f} "
                f"| {counts.p99_wait_s:.3f} |"
            )
