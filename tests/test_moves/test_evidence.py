"""Local fault detection: which outcomes count as evidence against a new release."""

from __future__ import annotations

import random
import unittest

from marigoldchute.bundle.model import (
    Bundle,
    BundleContent,
    Manifest,
    Move,
    Route,
    Service,
    Step,
)
from marigoldchute.moves.local_detector import LocalFaultDetector
from marigoldchute.moves.recorder import EvidenceRecorder
from marigoldchute.routing.outcomes import Outcome

MOVE = Move("m", "turnos", "r1", "r2", 0, 60_000, (Step(1.0, 0),))
CONTENT = BundleContent(
    (Service("turnos", "r1"),),
    (Route("book", "/book", "turnos"), Route("look", "/look", "turnos")),
    (MOVE,),
)


class Traffic:
    """Simulated requests of one node to both releases."""

    def __init__(self, share: float, seed: int = 7) -> None:
        self.rng = random.Random(seed)
        self.recorder = EvidenceRecorder()
        self.recorder.apply_bundle(Bundle(Manifest(1, (), "", "", b""), CONTENT))
        counts = self.recorder.move_recorder("m")
        assert counts is not None
        self.detector = LocalFaultDetector(counts)
        self.share = share
        self.now_ms = 1_000_000

    def run(self, seconds: float, respond, per_s: int = 100) -> str | None:  # type: ignore[no-untyped-def]
        """Record outcomes; return the reason if the new release is found faulty."""
        for _ in range(int(seconds * 10)):
            for _ in range(per_s // 10):
                new = self.rng.random() < self.share
                route = self.rng.choice(("book", "look"))
                level = self.rng.randrange(4)
                outcome, latency_ms, cold = respond(new, route, level, self.rng)
                release = "r2" if new else "r1"
                self.recorder.record(
                    route,
                    "turnos",
                    release,
                    "m",
                    outcome,
                    latency_ms,
                    level,
                    cold,
                    self.now_ms,
                )
            self.now_ms += 100
            reason = self.detector.detect(self.now_ms, self.share, 8)
            if reason is not None:
                return reason
        return None


def _success(rng: random.Random) -> tuple[Outcome, float, bool]:
    return Outcome.OK, rng.lognormvariate(2.0, 0.5), False


class LocalFaultDetectorTest(unittest.TestCase):
    def test_good_release_is_not_found_faulty(self) -> None:
        traffic = Traffic(0.5)
        reason = traffic.run(120, lambda new, route, level, rng: _success(rng))
        self.assertIsNone(reason)
        self.assertFalse(traffic.detector.suspected)

    def test_errors_on_one_route_are_detected_and_route_is_named(self) -> None:
        def respond(new, route, level, rng):  # type: ignore[no-untyped-def]
            if new and route == "book" and rng.random() < 0.3:
                return Outcome.ERROR, 1.0, False
            return _success(rng)

        reason = Traffic(0.1).run(60, respond)
        self.assertEqual(reason, "more errors of r2 than of r1 on route book")

    def test_errors_only_under_load_are_detected(self) -> None:
        def respond(new, route, level, rng):  # type: ignore[no-untyped-def]
            if new and level == 3 and rng.random() < 0.5:
                return Outcome.ERROR, 1.0, False
            return _success(rng)

        self.assertIsNotNone(Traffic(0.1).run(60, respond))

    def test_slow_responses_are_detected(self) -> None:
        def respond(new, route, level, rng):  # type: ignore[no-untyped-def]
            outcome, latency_ms, cold = _success(rng)
            return outcome, latency_ms * (4 if new else 1), cold

        reason = Traffic(0.1).run(60, respond)
        self.assertIn("slow answers", reason or "")

    def test_release_that_never_responds_is_detected(self) -> None:
        def respond(new, route, level, rng):  # type: ignore[no-untyped-def]
            return (Outcome.UNKNOWN, 5000.0, False) if new else _success(rng)

        self.assertIsNotNone(Traffic(0.05).run(20, respond))

    def test_slow_requests_cancelled_by_callers_are_detected(self) -> None:
        def respond(new, route, level, rng):  # type: ignore[no-untyped-def]
            return (Outcome.CANCELLED, 900.0, False) if new else _success(rng)

        self.assertIsNotNone(Traffic(0.1).run(60, respond))

    def test_shed_refused_cancelled_and_cold_start_outcomes_are_not_counted(
        self,
    ) -> None:
        def respond(new, route, level, rng):  # type: ignore[no-untyped-def]
            if not new or rng.random() < 0.2:
                return _success(rng)
            kind = rng.randrange(4)
            if kind == 3:
                return Outcome.ERROR, 900.0, True
            not_counted = (Outcome.SHED, Outcome.NOT_RUN, Outcome.CANCELLED)
            return not_counted[kind], 1.0, False

        self.assertIsNone(Traffic(0.5).run(60, respond))

    def test_failures_of_both_releases_are_not_a_fault_of_the_new_one(self) -> None:
        traffic = Traffic(0.05)

        def failing(new, route, level, rng):  # type: ignore[no-untyped-def]
            if rng.random() < 0.5:
                return Outcome.ERROR, 1.0, False
            return _success(rng)

        for share in (0.05, 0.3, 0.7, 0.95):
            traffic.share = share
            dependency = failing if share > 0.5 else None
            respond = dependency or (lambda new, route, level, rng: _success(rng))
            self.assertIsNone(traffic.run(30, respond), share)

    def test_errors_of_old_release_are_not_a_fault_of_the_new_one(self) -> None:
        def respond(new, route, level, rng):  # type: ignore[no-untyped-def]
            if not new and rng.random() < 0.4:
                return Outcome.ERROR, 200.0, False
            return _success(rng)

        self.assertIsNone(Traffic(0.5).run(60, respond))

    def test_errors_at_full_share_are_degradation_then_fault_after_comparison(
        self,
    ) -> None:
        traffic = Traffic(0.5)
        succeed = lambda new, route, level, rng: _success(rng)  # noqa: E731
        self.assertIsNone(traffic.run(10, succeed))

        def failing(new, route, level, rng):  # type: ignore[no-untyped-def]
            if new and rng.random() < 0.4:
                return Outcome.ERROR, 1.0, False
            return _success(rng)

        traffic.share = 1.0
        self.assertIsNone(traffic.run(4, failing))
        self.assertTrue(traffic.detector.degraded)
        traffic.share = 0.5
        self.assertIsNotNone(traffic.run(5, failing))
