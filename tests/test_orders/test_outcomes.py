"""Detection of faulty releases from request outcomes while an order is driven."""

from __future__ import annotations

import random
import unittest

import msgspec

from marigoldchute.events import MemoryEventLog
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.orders.book import OrderBook
from marigoldchute.orders.model import OrderStage, OrderState
from marigoldchute.orders.outcomes import OrderEvidence, OutcomeCounter
from marigoldchute.orders.schedule import (
    SCHEDULE,
    Progress,
    expiry_reason,
    has_late_fault_evidence,
    next_state,
    phase_of,
)
from marigoldchute.overlay.records import RecordTable
from marigoldchute.routing.outcomes import Outcome
from marigoldchute.routing.route_mix import RouteMix

ORDER = OrderState("turnos", "v2", 7, 1, 0.05, OrderStage.RUNNING, 16.0, ())


class FakeMembers:
    """Members that each announce one backend server of a service."""

    def __init__(self, *releases: str) -> None:
        self.releases = releases

    def all(self) -> tuple[Member, ...]:
        servers = [
            BackendServer(f"{i}", "turnos", release, 80, 12, 100)
            for i, release in enumerate(self.releases)
        ]
        return tuple(
            Member(f"vm-{i}", 1, 1, "a", 1, "dc", "r", servers=(server,))
            for i, server in enumerate(servers)
        )


class SimulatedMesh:
    """Nodes that count responses and one that adds them up, in simulated time."""

    def __init__(
        self, nodes: int, seed: int, routes: tuple[str, ...] = ("query", "book")
    ) -> None:
        self.routes = routes
        self.route_mix = RouteMix()
        self.rng = random.Random(seed)
        self.books = []
        self.counters = []
        for _ in range(nodes):
            book = OrderBook(FakeMembers("v1", "v2"), RecordTable(), MemoryEventLog())  # type: ignore[arg-type]
            book.publish(ORDER)
            self.books.append(book)
            self.counters.append(OutcomeCounter(book))
        self.evidence = OrderEvidence(ORDER)
        self.now_ms = 0
        self.new_release_requests = 0
        self.share = 0.0
        self.warm_at_ms = 0
        self.timeouts_ms: dict[str, float] = {}  # Timeout by route.

    def run_until_fault(  # type: ignore[no-untyped-def]
        self, seconds: float, requests_per_s: float, share: float, behaviour
    ) -> str:
        """Serve requests until a fault is reported; return its reason, or empty."""
        for _ in range(int(seconds * 10)):
            self.now_ms += 100
            for _ in range(int(requests_per_s / 10)):
                self.serve_request(share, behaviour)
            for index, counter in enumerate(self.counters):
                report = counter.report(f"vm-{index}", 1, ORDER.order_id, self.now_ms)
                self.evidence.apply_report(report, self.now_ms)
            reason = self.evidence.fault_reason()
            if reason or any(book.is_faulty(ORDER) for book in self.books):
                return reason or "fault found by one node"
        return ""

    def serve_request(self, share: float, behaviour) -> None:  # type: ignore[no-untyped-def]
        route = self.rng.choice(self.routes)
        self.route_mix.record_request("turnos", route)
        new = self.rng.random() < self.route_mix.share("turnos", route, share)
        self.new_release_requests += new
        latency_ms = self.rng.lognormvariate(4.8, 0.8)
        cold = new and self.now_ms < self.warm_at_ms
        latency_ms *= 2.0 if cold else 1.0
        outcome = Outcome.OK
        if self.rng.random() < 0.01:
            outcome = Outcome.ERROR
        if new:
            latency_ms, outcome = behaviour(self.rng, route, latency_ms, outcome)
        timeout_ms = self.timeouts_ms.get(route)
        if timeout_ms is not None and latency_ms > timeout_ms:
            latency_ms, outcome = timeout_ms, Outcome.OVERDUE
        counter = self.rng.choice(self.counters)
        counter.record_attempt("turnos", "v2" if new else "v1", ORDER.order_id)
        counter.record(
            route,
            "turnos",
            "v2" if new else "v1",
            ORDER.order_id,
            outcome,
            latency_ms,
            0,
            cold,
            self.now_ms,
        )


def fails(rng, route, latency_ms, outcome):  # type: ignore[no-untyped-def]
    return latency_ms, Outcome.ERROR if rng.random() < 0.5 else outcome


def fails_when(is_faulty_now):  # type: ignore[no-untyped-def]
    """Return a behaviour that fails like ``fails`` while a condition holds."""

    def respond(rng, route, latency_ms, outcome):  # type: ignore[no-untyped-def]
        if is_faulty_now():
            return fails(rng, route, latency_ms, outcome)
        return latency_ms, outcome

    return respond


def fails_on_one_route(rng, route, latency_ms, outcome):  # type: ignore[no-untyped-def]
    failed = route == "book" and rng.random() < 0.5
    return latency_ms, Outcome.ERROR if failed else outcome


def is_slow_or_unknown(rng, route, latency_ms, outcome):  # type: ignore[no-untyped-def]
    if rng.random() >= 0.41:
        return latency_ms, outcome
    slow_ms = latency_ms * 8
    return min(slow_ms, 1200.0), Outcome.UNKNOWN if slow_ms > 1200.0 else outcome


def responds_slowly(rng, route, latency_ms, outcome):  # type: ignore[no-untyped-def]
    return (8 * latency_ms if rng.random() < 0.5 else latency_ms), outcome


def responds_as_before(rng, route, latency_ms, outcome):  # type: ignore[no-untyped-def]
    return latency_ms, outcome


class FaultAtLargerShareTest(unittest.TestCase):
    """A release that is good at a small share and fails at a larger one."""

    def test_release_that_fails_at_a_larger_share_is_detected_at_once(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                mesh = SimulatedMesh(12, seed)
                reason = mesh.run_until_fault(6.0, 160, 0.05, responds_as_before)
                self.assertEqual(reason, "")
                requests_before = mesh.new_release_requests
                self.assertTrue(mesh.run_until_fault(4.0, 160, 0.4, fails))
                self.assertLess(mesh.new_release_requests - requests_before, 130)


class FaultyReleaseTest(unittest.TestCase):
    """A release that is faulty from the start, at the request rate of a small site."""

    requests_per_s = 160.0
    # A tenth of the requests during the order, and 50.
    allowed_requests = 0.1 * 160 * 16 + 50

    def run_shares(self, mesh: SimulatedMesh, behaviour) -> str:  # type: ignore[no-untyped-def]
        started_s = 0.5
        for schedule_step in SCHEDULE:
            seconds = schedule_step.end_fraction * ORDER.duration_s - started_s
            started_s = schedule_step.end_fraction * ORDER.duration_s
            reason = mesh.run_until_fault(
                seconds, self.requests_per_s, schedule_step.share, behaviour
            )
            if reason:
                return reason
        return ""

    def test_faulty_release_is_detected_within_the_allowed_exposure(self) -> None:
        for behaviour in (fails, fails_on_one_route, is_slow_or_unknown):
            for seed in range(8):
                with self.subTest(behaviour=behaviour.__name__, seed=seed):
                    mesh = SimulatedMesh(12, seed)
                    self.assertTrue(self.run_shares(mesh, behaviour))
                    self.assertLess(mesh.new_release_requests, self.allowed_requests)

    def test_good_release_is_not_reported(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                self.assertEqual(
                    self.run_shares(SimulatedMesh(12, seed), responds_as_before), ""
                )


class ScheduleTestCase(unittest.TestCase):
    """Base for tests that run the schedule at the request rate of a small site."""

    requests_per_s = 83.0
    # A tenth of the requests during the order, and 50.
    allowed_requests = 0.1 * 83 * 16 + 50
    report_delay_s = 0.25  # From a response until every node uses the share 0.

    def run_schedule(self, mesh: SimulatedMesh, behaviour) -> str:  # type: ignore[no-untyped-def]
        """Run the schedule to its end or to a fault; return the reason of the fault."""
        state = msgspec.structs.replace(ORDER, share=SCHEDULE[0].share)
        mesh.now_ms = raised_at_ms = 1500
        while True:
            mesh.share = state.share
            reason = mesh.run_until_fault(
                0.1, self.requests_per_s, state.share, behaviour
            )
            if reason:
                for _ in range(int(self.report_delay_s * self.requests_per_s)):
                    mesh.serve_request(state.share, behaviour)
                return reason
            progress = Progress(
                mesh.now_ms / 1000,
                (mesh.now_ms - raised_at_ms) / 1000,
                True,
                mesh.evidence.new_response_count,
                mesh.evidence.fault_evidence(),
                mesh.evidence.traffic(),
            )
            new_state = next_state(state, progress)
            if new_state is not None:
                if has_late_fault_evidence(state, progress):
                    return "late evidence"
                if phase_of(new_state) != phase_of(state):
                    raised_at_ms = mesh.now_ms
                state = new_state
            elif expiry_reason(state, progress):
                return expiry_reason(state, progress)
            if not state.is_open:
                return ""


class RareRouteTest(ScheduleTestCase):
    """A release that is faulty on one route that gets one request in twenty."""

    def test_exposure_stays_within_the_limit(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                mesh = SimulatedMesh(13, seed, ("query",) * 19 + ("book",))
                self.assertTrue(self.run_schedule(mesh, fails_on_one_route))
                self.assertLess(mesh.new_release_requests, self.allowed_requests)

    def test_good_release_is_done_before_the_deadline(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                mesh = SimulatedMesh(13, seed, ("query",) * 19 + ("book",))
                self.assertEqual(self.run_schedule(mesh, responds_as_before), "")
                self.assertLess(mesh.now_ms / 1000, ORDER.duration_s)


class ShortTimeoutTest(ScheduleTestCase):
    """A rare route whose timeout is shorter than its requests typically take."""

    def test_good_release_is_not_reported(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                mesh = SimulatedMesh(13, seed, ("query",) * 49 + ("brief",))
                mesh.timeouts_ms["brief"] = 40.0
                self.assertEqual(self.run_schedule(mesh, responds_as_before), "")


class FaultUnderLoadTest(ScheduleTestCase):
    """A release that fails once it gets all requests, as under load."""

    def test_exposure_stays_within_the_limit(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                mesh = SimulatedMesh(13, seed)

                behaviour = fails_when(lambda mesh=mesh: mesh.share >= 1.0)
                self.assertTrue(self.run_schedule(mesh, behaviour))
                self.assertLess(mesh.new_release_requests, self.allowed_requests)


class SlowReleaseTest(ScheduleTestCase):
    """A release that takes eight times as long, from its cold start on."""

    routes = ("query",) * 19 + ("book",)

    def make_mesh(self, seed: int) -> SimulatedMesh:
        mesh = SimulatedMesh(13, seed, self.routes)
        mesh.warm_at_ms = 16_000
        return mesh

    def test_exposure_stays_within_the_limit(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                mesh = self.make_mesh(seed)
                self.assertTrue(self.run_schedule(mesh, responds_slowly))
                self.assertLess(mesh.new_release_requests, self.allowed_requests)

    def test_exposure_stays_within_the_limit_when_responses_time_out(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                mesh = SimulatedMesh(13, seed, self.routes)
                mesh.timeouts_ms = dict.fromkeys(self.routes, 450.0)
                self.assertTrue(self.run_schedule(mesh, responds_slowly))
                self.assertLess(mesh.new_release_requests, self.allowed_requests)

    def test_good_release_in_its_cold_start_is_not_reported(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                self.assertEqual(
                    self.run_schedule(self.make_mesh(seed), responds_as_before), ""
                )


class LateFaultTest(ScheduleTestCase):
    """A release that starts to fail some seconds after the order."""

    def test_exposure_stays_within_the_limit(self) -> None:
        for failing_from_ms in (4000, 6000, 8000):
            for seed in range(6):
                with self.subTest(failing_from_ms=failing_from_ms, seed=seed):
                    mesh = SimulatedMesh(13, seed)

                    behaviour = fails_when(
                        lambda mesh=mesh, at_ms=failing_from_ms: mesh.now_ms >= at_ms
                    )
                    self.assertTrue(self.run_schedule(mesh, behaviour))
                    self.assertLess(mesh.new_release_requests, self.allowed_requests)


class VeryLateFaultTest(ScheduleTestCase):
    """A release that starts to fail at its full share, ten seconds after the order."""

    def test_exposure_stays_within_the_limit(self) -> None:
        for seed in range(16):
            with self.subTest(seed=seed):
                mesh = SimulatedMesh(13, seed)

                behaviour = fails_when(lambda mesh=mesh: mesh.now_ms >= 10_000)
                self.assertTrue(self.run_schedule(mesh, behaviour))
                self.assertLess(mesh.new_release_requests, self.allowed_requests)


class RareFaultTest(ScheduleTestCase):
    """A release that fails four in ten requests of a route that gets one in twenty."""

    def test_exposure_stays_within_the_limit(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                mesh = SimulatedMesh(13, seed, ("query",) * 19 + ("book",))

                def behaviour(rng, route, latency_ms, outcome):  # type: ignore[no-untyped-def]
                    failed = route == "book" and rng.random() < 0.4
                    return latency_ms, Outcome.ERROR if failed else outcome

                self.assertTrue(self.run_schedule(mesh, behaviour))
                self.assertLess(mesh.new_release_requests, self.allowed_requests)


class SplitTest(unittest.TestCase):
    """Traffic split of a service by the state of its order."""

    def make_book(self, *releases: str) -> OrderBook:
        return OrderBook(FakeMembers(*releases), RecordTable(), MemoryEventLog())  # type: ignore[arg-type]

    def test_release_without_an_order_gets_no_requests(self) -> None:
        book = self.make_book("v1", "v1", "v2", "v2")
        self.assertEqual(book.split("turnos", "").old_release, "v1")
        self.assertEqual(book.split("turnos", "").share, 0.0)

    def test_fault_sets_the_share_to_zero_before_the_verdict(self) -> None:
        book = self.make_book("v1", "v2")
        book.publish(ORDER)
        self.assertEqual(book.split("turnos", "").share, 0.05)
        book.report_fault(ORDER, "test")
        self.assertEqual(book.split("turnos", "").share, 0.0)

    def test_rejected_release_is_not_used_as_old_release(self) -> None:
        book = self.make_book("v2", "v2", "v2", "v1", "v3")
        book.publish(
            OrderState("turnos", "v3", 9, 1, 0.05, OrderStage.RUNNING, 16.0, ("v2",))
        )
        split = book.split("turnos", "")
        self.assertEqual((split.old_release, split.new_release), ("v1", "v3"))

    def test_rejected_release_is_not_used_without_another_one(self) -> None:
        # Guards against a faulty release that serves while no other one is known.
        book = self.make_book("v2", "v2")
        self.assertEqual(book.split("turnos", "").old_release, "v2")
        book.publish(ORDER)
        self.assertEqual(book.split("turnos", "").old_release, "")

    def test_done_order_sends_all_requests_to_its_target(self) -> None:
        book = self.make_book("v1", "v1", "v2")
        book.publish(OrderState("turnos", "v2", 9, 9, 1.0, OrderStage.DONE, 16.0, ()))
        split = book.split("turnos", "")
        self.assertEqual((split.old_release, split.share), ("v2", 0.0))
