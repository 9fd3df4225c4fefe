"""What the outcomes of requests say of a release that is brought in."""

from __future__ import annotations

import random
import unittest

import msgspec

from marigoldchute.events import EventSink
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.orders.book import OrderBook
from marigoldchute.orders.model import OrderStage, OrderState
from marigoldchute.orders.outcomes import NodeOutcomes, OrderEvidence, OutcomeCounter
from marigoldchute.orders.schedule import STAGES, Progress, is_doubtful, next_state
from marigoldchute.overlay.records import RecordTable
from marigoldchute.routing.outcomes import Outcome
from marigoldchute.routing.route_mix import RouteMix

ORDER = OrderState("turnos", "v2", 7, 1, 0.05, OrderStage.RUNNING, 16.0, ())


class FakeMembers:
    """Members with two releases of one service."""

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


class Mesh:
    """Nodes that count, and the one that adds up, in simulated time."""

    def __init__(
        self, nodes: int, seed: int, routes: tuple[str, ...] = ("query", "book")
    ) -> None:
        self.routes = routes
        self.mix = RouteMix()
        self.rng = random.Random(seed)
        self.books = []
        self.counters = []
        for _ in range(nodes):
            book = OrderBook(FakeMembers("v1", "v2"), RecordTable(), EventSink())  # type: ignore[arg-type]
            book.put(ORDER)
            self.books.append(book)
            self.counters.append(OutcomeCounter(book))
        self.evidence = OrderEvidence(ORDER)
        self.now_ms = 0
        self.to_new = 0
        self.share = 0.0
        self.warm_at_ms = 0
        self.limits_ms: dict[str, float] = {}  # Time limits of routes.

    def run_until_fault(self, seconds: float, per_s: float, share: float, bad) -> str:  # type: ignore[no-untyped-def]
        """Serve requests; return the reason of a conviction, by a node or by all."""
        for _ in range(int(seconds * 10)):
            self.now_ms += 100
            for _ in range(int(per_s / 10)):
                self._serve(share, bad)
            for index, counter in enumerate(self.counters):
                counts = counter.counts_of(ORDER.order_id)
                report = NodeOutcomes(f"vm-{index}", 1, ORDER.order_id, counts)
                self.evidence.take(report, self.now_ms)
            reason = self.evidence.fault()
            if reason or any(book.is_faulty(ORDER) for book in self.books):
                return reason or "a node"
        return ""

    def _serve(self, share: float, bad) -> None:  # type: ignore[no-untyped-def]
        route = self.rng.choice(self.routes)
        self.mix.add_request("turnos", route)
        new = self.rng.random() < self.mix.share("turnos", route, share)
        self.to_new += new
        run_ms = self.rng.lognormvariate(4.8, 0.8)
        cold = new and self.now_ms < self.warm_at_ms
        run_ms *= 2.0 if cold else 1.0
        outcome = Outcome.OK
        if self.rng.random() < 0.01:
            outcome = Outcome.ERROR
        if new:
            run_ms, outcome = bad(self.rng, route, run_ms, outcome)
        limit_ms = self.limits_ms.get(route)
        if limit_ms is not None and run_ms > limit_ms:
            run_ms, outcome = limit_ms, Outcome.OVERDUE
        self.rng.choice(self.counters).record(
            route,
            "turnos",
            "v2" if new else "v1",
            ORDER.order_id,
            outcome,
            run_ms,
            0,
            cold,
            self.now_ms,
        )


def fails(rng, route, run_ms, outcome):  # type: ignore[no-untyped-def]
    return run_ms, Outcome.ERROR if rng.random() < 0.5 else outcome


def fails_when(is_bad):  # type: ignore[no-untyped-def]
    """Return a release that fails like ``fails`` while a condition holds."""

    def answer(rng, route, run_ms, outcome):  # type: ignore[no-untyped-def]
        if is_bad():
            return fails(rng, route, run_ms, outcome)
        return run_ms, outcome

    return answer


def fails_on_one_route(rng, route, run_ms, outcome):  # type: ignore[no-untyped-def]
    bad = route == "book" and rng.random() < 0.5
    return run_ms, Outcome.ERROR if bad else outcome


def is_slow(rng, route, run_ms, outcome):  # type: ignore[no-untyped-def]
    if rng.random() >= 0.41:
        return run_ms, outcome
    slow_ms = run_ms * 8
    return min(slow_ms, 1200.0), Outcome.UNKNOWN if slow_ms > 1200.0 else outcome


def is_slow_but_answers(rng, route, run_ms, outcome):  # type: ignore[no-untyped-def]
    return (8 * run_ms if rng.random() < 0.5 else run_ms), outcome


def is_as_before(rng, route, run_ms, outcome):  # type: ignore[no-untyped-def]
    return run_ms, outcome


class BadLaterTest(unittest.TestCase):
    def test_a_release_that_turns_bad_under_load_is_found_at_once(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                mesh = Mesh(12, seed)
                quiet = mesh.run_until_fault(6.0, 160, 0.05, is_as_before)
                self.assertEqual(quiet, "")
                before = mesh.to_new
                self.assertTrue(mesh.run_until_fault(4.0, 160, 0.4, fails))
                self.assertLess(mesh.to_new - before, 130)


class BadReleaseTest(unittest.TestCase):
    """Shares of the schedule at the request rate of a small site."""

    per_s = 160.0
    allowed = 0.1 * 160 * 16 + 50

    def walk(self, mesh: Mesh, bad) -> str:  # type: ignore[no-untyped-def]
        began = 0.5
        for stage in STAGES:
            seconds = stage.until * ORDER.duration_s - began
            began = stage.until * ORDER.duration_s
            reason = mesh.run_until_fault(seconds, self.per_s, stage.share, bad)
            if reason:
                return reason
        return ""

    def test_a_bad_release_is_found_within_the_allowed_exposure(self) -> None:
        for bad in (fails, fails_on_one_route, is_slow):
            for seed in range(8):
                with self.subTest(bad=bad.__name__, seed=seed):
                    mesh = Mesh(12, seed)
                    self.assertTrue(self.walk(mesh, bad))
                    self.assertLess(mesh.to_new, self.allowed)

    def test_a_good_release_is_left_alone(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                self.assertEqual(self.walk(Mesh(12, seed), is_as_before), "")


class ScheduleWalk(unittest.TestCase):
    """Follows the schedule at the request rate of a small site."""

    per_s = 83.0
    allowed = 0.1 * 83 * 16 + 50
    report_delay_s = 0.25  # From an answer to the share of 0 at every node.

    def drive(self, mesh: Mesh, bad) -> str:  # type: ignore[no-untyped-def]
        """Follow the schedule to its end or to a conviction; return its reason."""
        state = msgspec.structs.replace(ORDER, share=STAGES[0].share)
        mesh.now_ms = changed_ms = 1500
        while True:
            mesh.share = state.share
            reason = mesh.run_until_fault(0.1, self.per_s, state.share, bad)
            if reason:
                for _ in range(int(self.report_delay_s * self.per_s)):
                    mesh._serve(state.share, bad)
                return reason
            progress = Progress(
                mesh.now_ms / 1000,
                (mesh.now_ms - changed_ms) / 1000,
                True,
                mesh.evidence.new_answers,
                mesh.evidence.doubt(),
            )
            following = next_state(state, progress)
            if following is not None:
                if is_doubtful(state, progress):
                    return "doubt"
                state, changed_ms = following, mesh.now_ms
            if not state.is_open:
                return ""


class RareRouteTest(ScheduleWalk):
    """A release that is bad on one route which takes one request in twenty."""

    def test_a_release_that_is_bad_on_a_rare_route_stays_in_its_exposure(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                mesh = Mesh(13, seed, ("query",) * 19 + ("book",))
                self.assertTrue(self.drive(mesh, fails_on_one_route))
                self.assertLess(mesh.to_new, self.allowed)

    def test_a_good_release_gets_its_full_share_in_time(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                mesh = Mesh(13, seed, ("query",) * 19 + ("book",))
                self.assertEqual(self.drive(mesh, is_as_before), "")
                self.assertLess(mesh.now_ms / 1000, ORDER.duration_s)


class ShortTimeTest(ScheduleWalk):
    """A rare route whose time limit is shorter than its requests run."""

    def test_a_good_release_is_left_alone(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                mesh = Mesh(13, seed, ("query",) * 49 + ("brief",))
                mesh.limits_ms["brief"] = 40.0
                self.assertEqual(self.drive(mesh, is_as_before), "")


class UnderLoadTest(ScheduleWalk):
    """A release that fails once it carries all requests, as it does under load."""

    def test_it_stays_in_its_exposure(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                mesh = Mesh(13, seed)

                bad = fails_when(lambda mesh=mesh: mesh.share >= 1.0)
                self.assertTrue(self.drive(mesh, bad))
                self.assertLess(mesh.to_new, self.allowed)


class SlowTest(ScheduleWalk):
    """A release that runs eight times as long, from its cold start on."""

    routes = ("query",) * 19 + ("book",)

    def make_mesh(self, seed: int) -> Mesh:
        mesh = Mesh(13, seed, self.routes)
        mesh.warm_at_ms = 16_000
        return mesh

    def test_it_stays_in_its_exposure(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                mesh = self.make_mesh(seed)
                self.assertTrue(self.drive(mesh, is_slow_but_answers))
                self.assertLess(mesh.to_new, self.allowed)

    def test_it_does_when_its_answers_are_cut_at_a_time_limit(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                mesh = Mesh(13, seed, self.routes)
                mesh.limits_ms = dict.fromkeys(self.routes, 450.0)
                self.assertTrue(self.drive(mesh, is_slow_but_answers))
                self.assertLess(mesh.to_new, self.allowed)

    def test_a_good_release_in_its_cold_start_is_left_alone(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                self.assertEqual(self.drive(self.make_mesh(seed), is_as_before), "")


class LateTest(ScheduleWalk):
    """A release that fails some seconds after it has begun."""

    def test_it_stays_in_its_exposure(self) -> None:
        for begins_ms in (4000, 6000, 8000):
            for seed in range(6):
                with self.subTest(begins_ms=begins_ms, seed=seed):
                    mesh = Mesh(13, seed)

                    bad = fails_when(lambda mesh=mesh, at=begins_ms: mesh.now_ms >= at)
                    self.assertTrue(self.drive(mesh, bad))
                    self.assertLess(mesh.to_new, self.allowed)


class VeryLateTest(ScheduleWalk):
    """A release that fails once it has its full share, ten seconds after the order."""

    def test_it_stays_in_its_exposure(self) -> None:
        for seed in range(16):
            with self.subTest(seed=seed):
                mesh = Mesh(13, seed)

                bad = fails_when(lambda mesh=mesh: mesh.now_ms >= 10_000)
                self.assertTrue(self.drive(mesh, bad))
                self.assertLess(mesh.to_new, self.allowed)


class RareFaultTest(ScheduleWalk):
    """A release that fails four in ten on a route of one request in twenty."""

    def test_it_stays_in_its_exposure(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                mesh = Mesh(13, seed, ("query",) * 19 + ("book",))

                def bad(rng, route, run_ms, outcome):  # type: ignore[no-untyped-def]
                    failed = route == "book" and rng.random() < 0.4
                    return run_ms, Outcome.ERROR if failed else outcome

                self.assertTrue(self.drive(mesh, bad))
                self.assertLess(mesh.to_new, self.allowed)


class SplitTest(unittest.TestCase):
    def make_book(self, *releases: str) -> OrderBook:
        return OrderBook(FakeMembers(*releases), RecordTable(), EventSink())  # type: ignore[arg-type]

    def test_a_release_that_no_order_names_gets_nothing(self) -> None:
        book = self.make_book("v1", "v1", "v2", "v2")
        self.assertEqual(book.split("turnos", "").old_release, "v1")
        self.assertEqual(book.split("turnos", "").share, 0.0)

    def test_a_fault_stops_the_share_before_any_verdict(self) -> None:
        book = self.make_book("v1", "v2")
        book.put(ORDER)
        self.assertEqual(book.split("turnos", "").share, 0.05)
        book.report_fault(ORDER, "test")
        self.assertEqual(book.split("turnos", "").share, 0.0)

    def test_a_release_that_was_taken_back_never_becomes_the_base(self) -> None:
        book = self.make_book("v2", "v2", "v2", "v1", "v3")
        book.put(
            OrderState("turnos", "v3", 9, 1, 0.05, OrderStage.RUNNING, 16.0, ("v2",))
        )
        split = book.split("turnos", "")
        self.assertEqual((split.old_release, split.new_release), ("v1", "v3"))

    def test_a_done_order_leaves_only_its_target(self) -> None:
        book = self.make_book("v1", "v1", "v2")
        book.put(OrderState("turnos", "v2", 9, 9, 1.0, OrderStage.DONE, 16.0, ()))
        split = book.split("turnos", "")
        self.assertEqual((split.old_release, split.share), ("v2", 0.0))
