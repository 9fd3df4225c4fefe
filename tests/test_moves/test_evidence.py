"""Which outcomes speak against a new release, and which do not."""

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
from marigoldchute.moves.recorder import EvidenceRecorder
from marigoldchute.moves.watch import LocalWatch
from marigoldchute.routing.outcomes import Outcome

MOVE = Move("m", "turnos", "r1", "r2", 0, 60_000, (Step(1.0, 0),))
CONTENT = BundleContent(
    (Service("turnos", "r1"),),
    (Route("book", "/book", "turnos"), Route("look", "/look", "turnos")),
    (MOVE,),
)


class Traffic:
    """Requests of one node to both releases, in simulated time."""

    def __init__(self, share: float, seed: int = 7) -> None:
        self.rng = random.Random(seed)
        self.recorder = EvidenceRecorder()
        self.recorder.take_bundle(Bundle(Manifest(1, (), "", "", b""), CONTENT))
        counts = self.recorder.of_move("m")
        assert counts is not None
        self.watch = LocalWatch(counts)
        self.share = share
        self.now_ms = 1_000_000

    def run(self, seconds: float, answer, per_s: int = 100) -> str | None:  # type: ignore[no-untyped-def]
        """Send requests; return the reason of a conviction."""
        for _ in range(int(seconds * 10)):
            for _ in range(per_s // 10):
                new = self.rng.random() < self.share
                route = self.rng.choice(("book", "look"))
                level = self.rng.randrange(4)
                outcome, latency_ms, cold = answer(new, route, level, self.rng)
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
            reason = self.watch.look(self.now_ms, self.share, 8)
            if reason is not None:
                return reason
        return None


def _well(rng: random.Random) -> tuple[Outcome, float, bool]:
    return Outcome.OK, rng.lognormvariate(2.0, 0.5), False


class LocalWatchTest(unittest.TestCase):
    def test_good_release_is_not_convicted(self) -> None:
        traffic = Traffic(0.5)
        found = traffic.run(120, lambda new, route, level, rng: _well(rng))
        self.assertIsNone(found)
        self.assertFalse(traffic.watch.wary)

    def test_errors_on_one_route_are_found_and_named(self) -> None:
        def answer(new, route, level, rng):  # type: ignore[no-untyped-def]
            if new and route == "book" and rng.random() < 0.3:
                return Outcome.ERROR, 1.0, False
            return _well(rng)

        found = Traffic(0.1).run(60, answer)
        self.assertEqual(found, "more errors of r2 than of r1 on route book")

    def test_errors_only_under_load_are_found(self) -> None:
        def answer(new, route, level, rng):  # type: ignore[no-untyped-def]
            if new and level == 3 and rng.random() < 0.5:
                return Outcome.ERROR, 1.0, False
            return _well(rng)

        self.assertIsNotNone(Traffic(0.1).run(60, answer))

    def test_slow_answers_are_found(self) -> None:
        def answer(new, route, level, rng):  # type: ignore[no-untyped-def]
            outcome, latency_ms, cold = _well(rng)
            return outcome, latency_ms * (4 if new else 1), cold

        found = Traffic(0.1).run(60, answer)
        self.assertIn("slow answers", found or "")

    def test_release_that_never_answers_is_found(self) -> None:
        def answer(new, route, level, rng):  # type: ignore[no-untyped-def]
            return (Outcome.UNKNOWN, 5000.0, False) if new else _well(rng)

        self.assertIsNotNone(Traffic(0.05).run(20, answer))

    def test_callers_that_give_up_on_slow_answers_speak_against_it(self) -> None:
        def answer(new, route, level, rng):  # type: ignore[no-untyped-def]
            return (Outcome.CANCELLED, 900.0, False) if new else _well(rng)

        self.assertIsNotNone(Traffic(0.1).run(60, answer))

    def test_shed_refused_cancelled_and_cold_answers_are_no_faults(self) -> None:
        def answer(new, route, level, rng):  # type: ignore[no-untyped-def]
            if not new or rng.random() < 0.2:
                return _well(rng)
            kind = rng.randrange(4)
            if kind == 3:
                return Outcome.ERROR, 900.0, True
            quiet = (Outcome.SHED, Outcome.NOT_RUN, Outcome.CANCELLED)
            return quiet[kind], 1.0, False

        self.assertIsNone(Traffic(0.5).run(60, answer))

    def test_dependency_that_fails_for_both_is_not_its_fault(self) -> None:
        traffic = Traffic(0.05)

        def failing(new, route, level, rng):  # type: ignore[no-untyped-def]
            if rng.random() < 0.5:
                return Outcome.ERROR, 1.0, False
            return _well(rng)

        for share in (0.05, 0.3, 0.7, 0.95):
            traffic.share = share
            dependency = failing if share > 0.5 else None
            answer = dependency or (lambda new, route, level, rng: _well(rng))
            self.assertIsNone(traffic.run(30, answer), share)

    def test_bad_old_release_is_not_its_fault(self) -> None:
        def answer(new, route, level, rng):  # type: ignore[no-untyped-def]
            if not new and rng.random() < 0.4:
                return Outcome.ERROR, 200.0, False
            return _well(rng)

        self.assertIsNone(Traffic(0.5).run(60, answer))

    def test_fault_that_begins_at_full_share_raises_suspicion_first(self) -> None:
        traffic = Traffic(0.5)
        well = lambda new, route, level, rng: _well(rng)  # noqa: E731
        self.assertIsNone(traffic.run(10, well))

        def failing(new, route, level, rng):  # type: ignore[no-untyped-def]
            if new and rng.random() < 0.4:
                return Outcome.ERROR, 1.0, False
            return _well(rng)

        traffic.share = 1.0
        self.assertIsNone(traffic.run(4, failing))
        self.assertTrue(traffic.watch.suspicious)
        traffic.share = 0.5
        self.assertIsNotNone(traffic.run(5, failing))
