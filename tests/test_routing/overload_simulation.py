"""Simulation of overloaded services without a network, with the old and the new rule.

Many entries choose among the servers of a service as they do in production, from the
load that responses report. Each server admits requests by one of two rules. Callers
that are rejected come back after the time that the response states. Times are in
simulated seconds, and all random values come from one seed.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Protocol

from marigoldchute.errors import NotRunError
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.routing.admission import RunTimes
from marigoldchute.routing.admission_queue import (
    AdmissionQueue,
    Capacity,
    Demand,
    Waiter,
)
from marigoldchute.routing.candidates import Candidates
from marigoldchute.routing.choice import PickInfo
from marigoldchute.routing.entry import MAX_REFUSED_ATTEMPTS
from marigoldchute.routing.least_time import LeastExpectedTime
from marigoldchute.routing.nested_limit import NestedLimit
from marigoldchute.routing.objective_queue import ObjectiveQueue
from marigoldchute.routing.refusal import DEFAULT_RETRY_AFTER_S, MAX_RETRY_AFTER_S
from marigoldchute.routing.target import ServiceLoad, Target

HOP_S = 0.003
WARM_UP_S = 2.0  # Requests of this time are not counted: nothing was measured yet.
MIN_REMAINING_TIME_RATIO = 0.15
MAX_HONOURED_RATIO = 1 / 3  # Callers wait for at most this part of their time left.
RECONNECT_S = 1.0  # Callers without a connection come back after this time or twice it.
LATE_VALUE = 0.3  # Assumed value of a late response, as a part of one in time.


class Rule(Protocol):
    """Queue of one backend server."""

    def __len__(self) -> int: ...

    def offer(self, waiter: Waiter, capacity: Capacity, now: float) -> list[Waiter]:
        """Add a request; return the requests that it displaces."""

    def pop(self) -> Waiter | None:
        """Remove and return the next request to run."""

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiting request."""


@dataclasses.dataclass(frozen=True)
class Policy:
    """What differs between the rules that are compared."""

    make_queue: Callable[[], Rule]
    shares_run_times: bool = False
    states_missed_objective: bool = False
    limits_callers: bool = False
    max_refused_attempts: int = 3
    backs_off: str = "all"


OLD = Policy(ObjectiveQueue)
NEW = Policy(
    AdmissionQueue,
    shares_run_times=True,
    states_missed_objective=True,
    limits_callers=True,
    max_refused_attempts=MAX_REFUSED_ATTEMPTS,
)


@dataclasses.dataclass(frozen=True)
class Kind:
    """Kind of requests; ``nested`` names the kind that a run calls halfway."""

    name: str
    priority: int
    run_s: float
    objective_s: float
    deadline_s: float
    value: float = 1.0
    service: str = "s"
    nested: str = ""
    max_retries: int = 2


@dataclasses.dataclass(frozen=True)
class Stream:
    """Requests of a kind and customer that arrive at a rate for some time."""

    kind: str
    per_s: float
    start: float
    end: float
    customer: str = ""


@dataclasses.dataclass
class Tally:
    """What the requests of one kind met."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    rejected: int = 0
    discarded: int = 0
    attempts: int = 0

    @property
    def served_ratio(self) -> float:
        return (self.in_time + self.late) / max(1, self.sent)

    @property
    def in_time_ratio(self) -> float:
        return self.in_time / max(1, self.sent)

    @property
    def rejected_ratio(self) -> float:
        return self.rejected / max(1, self.sent)


class Request:
    """One request of a caller or one nested call."""

    def __init__(
        self, kind: Kind, customer: str, now: float, node: int, parent: Run | None
    ) -> None:
        self.kind = kind
        self.customer = customer
        self.sent_at = now
        self.node = node
        self.parent = parent
        self.objective_at = now + kind.objective_s
        self.deadline_at = now + kind.deadline_s
        if parent is not None:
            self.deadline_at = min(self.deadline_at, parent.request.deadline_at)
        self.arrived_at = now
        self.attempted: set[Target] = set()
        self.refusals = 0
        self.retries = 0


class Run:
    """A request on a server: waiting, then running."""

    def __init__(self, request: Request, server: Server, target: Target) -> None:
        self.request = request
        self.server = server
        self.target = target
        self.waiter: Waiter | None = None
        self.started_at = 0.0
        self.busy_s = 0.0
        self.is_done = False


class Server:
    """Backend server with the slots and the queue of its owner."""

    def __init__(
        self, name: str, node: int, service: str, slots: int, speed: float, rule: Rule
    ) -> None:
        self.backend = BackendServer(name, service, "v1", 80, slots, 100)
        self.member = Member(name, 1, 1, "a", 1, "dc", "r", servers=(self.backend,))
        self.node = node
        self.slots = slots
        self.speed = speed
        self.queue = rule
        self.nested_limit = NestedLimit()
        self.run_times = RunTimes()
        self.runs: dict[Waiter, Run] = {}
        self.running = 0
        self.busy_s = 0.0
        self.down_until = 0.0

    @property
    def load(self) -> int:
        return self.running + len(self.queue)

    @property
    def capacity(self) -> Capacity:
        return Capacity(self.slots, self.run_times.mean_s)


class Simulation:
    """Services over many nodes, each of which is an entry.

    Parameters
    ----------
    policy : Policy
        Rules that decide.
    kinds : tuple of Kind
        Kinds of requests.
    nodes : int
        Number of entries.
    servers : tuple of (str, int, float)
        Service, slots and speed of each server; server i is on node i.
    seed : int
        Seed of all random values.
    """

    def __init__(
        self,
        policy: Policy,
        kinds: tuple[Kind, ...],
        nodes: int,
        servers: tuple[tuple[str, int, float], ...],
        seed: int,
    ) -> None:
        self.now = 0.0
        self.warm_up_s = WARM_UP_S
        self.rejections = 0
        self.rejections_beside_free = 0
        self._seed = seed
        self._down_until = 0.0
        self.rng = random.Random(seed)
        self.kinds = {kind.name: kind for kind in kinds}
        self.tallies: dict[str, Tally] = collections.defaultdict(Tally)
        self.by_customer: dict[str, Tally] = collections.defaultdict(Tally)
        self.values_by_s: collections.Counter[int] = collections.Counter()
        self.sent_by_s: collections.Counter[int] = collections.Counter()
        self.policy = policy
        self.nodes = nodes
        self.servers = [
            Server(f"s{i}", i, service, slots, speed, policy.make_queue())
            for i, (service, slots, speed) in enumerate(servers)
        ]
        self._by_member = {server.member.name: server for server in self.servers}
        self._choosers = [
            LeastExpectedTime(random.Random(seed + i)) for i in range(nodes)
        ]
        self._candidates = [self._make_candidates() for _ in range(nodes)]
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def _make_candidates(self) -> dict[str, Candidates]:
        targets: dict[str, list[Target]] = collections.defaultdict(list)
        loads: dict[str, ServiceLoad] = collections.defaultdict(ServiceLoad)
        for server in self.servers:
            service = server.backend.service
            targets[service].append(
                Target(server.member, server.backend, loads[service])
            )
        return {
            service: Candidates(data_centre=tuple(own))
            for service, own in targets.items()
        }

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run(self, streams: tuple[Stream, ...]) -> Simulation:
        """Run until nothing is left to do; return self."""
        for index, stream in enumerate(streams):
            rng = random.Random(f"{self._seed} {index}")
            self._schedule_next(stream, stream.start, rng)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self

    def stop_all(self, start: float, end: float) -> None:
        """Lose all nodes and servers for some time, with all requests there."""

        def stop() -> None:
            self._down_until = end
            for server in self.servers:
                server.down_until = end
                server.queue = self.policy.make_queue()
                for run in tuple(server.runs.values()):
                    self._end(run, is_error=True)

        self.at(start, stop)

    def value_of(self, name: str) -> float:
        """Return the value of a kind's responses as a part of what was possible."""
        tally = self.tallies[name]
        return (tally.in_time + LATE_VALUE * tally.late) / max(1, tally.sent)

    @property
    def value(self) -> float:
        """Value of all responses as a part of what was possible."""
        kinds = [self.kinds[name] for name in self.tallies if name in self.kinds]
        total = sum(kind.value * self.tallies[kind.name].sent for kind in kinds)
        got = sum(
            kind.value * self.tallies[kind.name].sent * self.value_of(kind.name)
            for kind in kinds
        )
        return got / total

    def value_in(self, second: int) -> float:
        """Return the value of the requests sent in one second, as a part."""
        return self.values_by_s[second] / max(1e-9, self.sent_by_s[second])

    @property
    def attempts(self) -> int:
        """Number of attempts at servers."""
        return sum(tally.attempts for tally in self.tallies.values())

    @property
    def busiest_ratio(self) -> float:
        """Busy time of the busiest server as a multiple of the mean."""
        busy_s = [server.busy_s for server in self.servers]
        return max(busy_s) / (sum(busy_s) / len(busy_s))

    def _schedule_next(self, stream: Stream, now: float, rng: random.Random) -> None:
        at = now + rng.expovariate(stream.per_s)
        if at >= stream.end:
            return

        def arrive() -> None:
            kind = self.kinds[stream.kind]
            node = rng.randrange(self.nodes)
            request = Request(kind, stream.customer, self.now, node, None)
            for tally in self._tallies_of(request):
                tally.sent += 1
            self.sent_by_s[int(self.now)] += kind.value
            self._attempt(request)
            self._schedule_next(stream, self.now, rng)

        self.at(at, arrive)

    def _attempt(self, request: Request) -> None:
        kind = request.kind
        if self.now < self._down_until:
            self._come_back(request, RECONNECT_S * (1.0 + self.rng.random()))
            return
        info = PickInfo(kind.name, max(0.0, request.objective_at - self.now))
        target = self._choosers[request.node].choose(
            self._candidates[request.node][kind.service],
            request.attempted,
            self.now,
            10**9,
            info,
        )
        if target is None:
            self._reject(request, 0.0)
            return
        request.attempted.add(target)
        target.in_flight += 1
        run = Run(request, self._by_member[target.member.name], target)
        for tally in self._tallies_of(request):
            tally.attempts += 1
        self.at(self.now + HOP_S, lambda: self._arrive(run))

    def _arrive(self, run: Run) -> None:
        server, request = run.server, run.request
        if self.now < server.down_until:
            self._refuse(run, 0.0, is_down=True)
            return
        kind = request.kind
        if (
            self.policy.limits_callers
            and request.parent is None
            and not server.nested_limit.admit(kind.name, self.now)
        ):
            self._refuse(run, DEFAULT_RETRY_AFTER_S, is_final=True)
            return
        if not len(server.queue) and server.running < server.slots:
            self._start(run)
            return
        nested = request.parent is not None
        run_s = server.run_times.expected_s(kind.name)
        due_at = request.deadline_at if nested else request.objective_at
        if request.objective_at <= self.now and not nested:
            # The old head of a late request looks as if it had no objective.
            due_at = self.now if self.policy.states_missed_objective else 0.0
        run.waiter = Waiter(
            Demand(
                0 if nested else kind.priority,
                run_s,
                due_at,
                request.deadline_at,
                kind.name,
                nested,
            )
        )
        server.runs[run.waiter] = run
        try:
            displaced = server.queue.offer(run.waiter, server.capacity, self.now)
        except NotRunError as exc:
            del server.runs[run.waiter]
            self._refuse(run, exc.retry_after_s)
            return
        for waiter in displaced:
            self._refuse(server.runs.pop(waiter), server.run_times.mean_s)
        self.at(request.deadline_at - run_s, lambda: self._expire(run))

    def _expire(self, run: Run) -> None:
        if run.is_done or run.started_at or run.waiter not in run.server.runs:
            return
        run.server.queue.remove(run.waiter)
        del run.server.runs[run.waiter]
        self._refuse(run, run.server.run_times.mean_s)

    def _start(self, run: Run) -> None:
        server = run.server
        run.started_at = self.now
        server.running += 1
        if run.waiter is None:
            run.waiter = Waiter(Demand(0, 0.0, 0.0, 0.0))
            server.runs[run.waiter] = run
        kind = run.request.kind
        fill = 1.0 + 0.3 * max(0.0, server.running / server.slots - 0.5)
        run.busy_s = kind.run_s / server.speed * fill
        run.busy_s *= self.rng.lognormvariate(-0.125, 0.5)
        server.busy_s += run.busy_s
        if kind.nested:
            self.at(self.now + run.busy_s / 2, lambda: self._call_nested(run))
        else:
            self.at(self.now + run.busy_s, lambda: self._end(run))

    def _call_nested(self, run: Run) -> None:
        if run.is_done:
            return
        kind = self.kinds[run.request.kind.nested]
        call = Request(kind, run.request.customer, self.now, run.server.node, run)
        for tally in self._tallies_of(call):
            tally.sent += 1
        self._attempt(call)

    def _end(self, run: Run, is_error: bool = False) -> None:
        """End a run, or a wait of a server that stops."""
        if run.is_done:
            return
        run.is_done = True
        server, request = run.server, run.request
        server.runs.pop(run.waiter, None)
        if run.started_at:
            server.running -= 1
            run_s = self.now - run.started_at
            server.run_times.record(request.kind.name, run_s)
            self._admit_waiting(server)
        load = server.load
        mean_s = server.run_times.expected_s(request.kind.name)
        self.at(self.now + HOP_S, lambda: self._respond(run, load, mean_s, is_error))

    def _admit_waiting(self, server: Server) -> None:
        while server.running < server.slots:
            waiter = server.queue.pop()
            if waiter is None:
                return
            self._start(server.runs[waiter])

    def _respond(self, run: Run, load: int, mean_s: float, is_error: bool) -> None:
        request, target = run.request, run.target
        target.in_flight -= 1
        target.record_load(load, self.now)
        if not is_error:
            target.record_response(run.busy_s * 1000, False)
            self._choosers[request.node].record_run_time(
                target,
                request.kind.name,
                run.busy_s * 1000,
                mean_run_ms=mean_s * 1000 if self.policy.shares_run_times else 0.0,
            )
        if is_error:
            self._fail(request)
            return
        if self.now > request.deadline_at:
            self._fail(request)
            return
        in_time = self.now <= request.objective_at
        for tally in self._tallies_of(request):
            tally.in_time += in_time
            tally.late += not in_time
        if request.parent is not None:
            parent = request.parent
            self._record_call(parent, not in_time and load >= run.server.slots)
            self.at(self.now + parent.busy_s / 2, lambda: self._end(parent))
        else:
            worth = request.kind.value * (1.0 if in_time else LATE_VALUE)
            self.values_by_s[int(request.sent_at)] += worth

    def _tallies_of(self, request: Request) -> tuple[Tally, ...]:
        if request.sent_at < self.warm_up_s:
            return ()
        own = self.tallies[request.kind.name]
        if request.parent is not None:
            return (own,)
        return (own, self.by_customer[request.customer])

    def _refuse(
        self,
        run: Run,
        retry_after_s: float,
        is_down: bool = False,
        is_final: bool = False,
    ) -> None:
        run.is_done = True
        load = run.server.load
        self.at(
            self.now + HOP_S,
            lambda: self._on_refusal(run, retry_after_s, load, is_down, is_final),
        )

    def _on_refusal(
        self,
        run: Run,
        retry_after_s: float,
        load: int,
        is_down: bool,
        is_final: bool,
    ) -> None:
        request, target = run.request, run.target
        target.in_flight -= 1
        if is_down:
            target.busy_until = self.now + 1.0
        else:
            target.record_load(load, self.now)
            if self.policy.backs_off == "all" and not is_final:
                target.back_off(self.now)
        request.refusals += 1
        left_s = request.deadline_at - self.now
        enough = left_s >= MIN_REMAINING_TIME_RATIO * (
            request.deadline_at - request.arrived_at
        )
        if not is_final and enough and self._may_try_again(request):
            self._attempt(request)
        else:
            self._reject(request, retry_after_s)

    def _may_try_again(self, request: Request) -> bool:
        return request.refusals < self.policy.max_refused_attempts

    def _reject(self, request: Request, retry_after_s: float) -> None:
        """Answer 503; the caller may come back."""
        if request.sent_at >= WARM_UP_S and self.now >= self._down_until:
            self.rejections += 1
            self.rejections_beside_free += any(
                server.running < server.slots
                for server in self.servers
                if server.backend.service == request.kind.service
            )
        if request.parent is not None:
            for tally in self._tallies_of(request):
                tally.rejected += 1
            self._record_call(request.parent, True)
            self._end(request.parent, is_error=True)
            return
        wait_s = retry_after_s or DEFAULT_RETRY_AFTER_S
        wait_s = min(MAX_RETRY_AFTER_S, wait_s * (1.0 + self.rng.random()))
        self._come_back(request, wait_s)

    def _come_back(self, request: Request, wait_s: float) -> None:
        left_s = request.deadline_at - self.now
        if request.retries >= request.kind.max_retries or left_s <= 0:
            for tally in self._tallies_of(request):
                tally.rejected += 1
            return
        request.retries += 1
        request.refusals = 0
        request.attempted = set()

        def send() -> None:
            request.arrived_at = self.now
            self._attempt(request)

        self.at(self.now + min(wait_s, MAX_HONOURED_RATIO * left_s), send)

    def _fail(self, request: Request) -> None:
        """Answer 502: the run was lost."""
        for tally in self._tallies_of(request):
            tally.discarded += 1
        if request.parent is not None:
            self._record_call(request.parent, True)
            self._end(request.parent, is_error=True)

    def _record_call(self, parent: Run, failed: bool) -> None:
        parent.server.nested_limit.record_call(
            parent.request.kind.name, failed, self.now
        )
