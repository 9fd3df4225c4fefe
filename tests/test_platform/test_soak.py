"""A short soak with seeded faults, and tests of the soak's own checks."""

from __future__ import annotations

import itertools
import os
import signal
import unittest

from tests.support.soak import FaultKind, Soak, draw_plan, find_violations
from tests.support.soak_backend import ResponseFraming, Run, draw_behaviour
from tests.support.soak_callers import CallerResult, Framing, Request
from tests.support.soak_stops import ALL_VMS, Disturbance, draw_stops, find_losses

SEED = int(os.environ.get("MARIGOLDCHUTE_SEED", "1"))
FAULT_PERIOD_S = 6.0
TIMEOUT_S = 90.0  # For the whole test; the recovery alone is limited by RECOVERY_S.
STOP_FAULT_PERIOD_S = 2.0
STOP_PERIOD_S = 10.0
# Requests of 1.35 s and more, sent 3.4 s or later after a stop, were reset.
CUT_SEEDS = (1, 3)
CHUNKED_FRAMINGS = (Framing.CHUNKED, Framing.LATE_CHUNK)
NAMES = ["vm-0", "vm-1"]


class SoakTest(unittest.TestCase):
    def test_responses_match_executions_and_the_mesh_recovers(self) -> None:
        soak = Soak(SEED, FAULT_PERIOD_S)
        soak.run(TIMEOUT_S)
        self.assertEqual(soak.violations, [])
        self.assertIn(200, {item.status for item in soak.results})


class StopSoakTest(unittest.TestCase):
    # Guards against a node that stops and resets requests which it has passed on: those
    # that it takes late in its grace period while they run on a backend server.
    def test_requests_that_stopping_nodes_passed_on_are_answered(self) -> None:
        for seed in CUT_SEEDS:
            with self.subTest(seed=seed):
                soak = Soak(seed, STOP_FAULT_PERIOD_S, STOP_PERIOD_S, True)
                soak.run(TIMEOUT_S)
                self.assertEqual(soak.violations, [])
                self.assertIn(200, {item.status for item in soak.results})


class PlanTest(unittest.TestCase):
    def test_same_seed_draws_the_same_plan(self) -> None:
        self.assertEqual(draw_plan(3, 20.0, NAMES), draw_plan(3, 20.0, NAMES))
        self.assertNotEqual(draw_plan(3, 20.0, NAMES), draw_plan(4, 20.0, NAMES))

    def test_fifty_seeds_draw_each_fault_kind_many_times(self) -> None:
        kinds = [f.kind for seed in range(50) for f in draw_plan(seed, 8.0, NAMES)]
        for kind in FaultKind:
            self.assertGreater(kinds.count(kind), 20)


class StopPlanTest(unittest.TestCase):
    def test_same_seed_draws_the_same_stops(self) -> None:
        names = [f"vm-{i}" for i in range(6)]
        self.assertEqual(draw_stops(3, 4, 20, names), draw_stops(3, 4, 20, names))
        self.assertNotEqual(draw_stops(3, 4, 20, names), draw_stops(4, 4, 20, names))

    def test_stops_overlap_and_come_with_further_signals(self) -> None:
        names = [f"vm-{i}" for i in range(6)]
        stops = [s for seed in range(20) for s in draw_stops(seed, 4, 20, names)]
        gaps = [b.at_s - a.at_s for a, b in itertools.pairwise(stops)]
        self.assertGreater(sum(0.3 <= gap <= 1.3 for gap in gaps), len(stops) / 3)
        signals = {number for stop in stops for _, number in stop.signals}
        self.assertEqual(signals, {signal.SIGHUP, signal.SIGTERM})


class BehaviourTest(unittest.TestCase):
    def test_behaviours_have_a_long_tail_and_every_framing(self) -> None:
        drawn = [draw_behaviour(f"1-{i}", "i-1") for i in range(2000)]
        self.assertEqual(drawn[5], draw_behaviour("1-5", "i-1"))
        times = sorted(item.run_s for item in drawn)
        self.assertLess(times[1000], 0.2)
        self.assertGreater(times[1980], 1.5)
        self.assertEqual({item.framing for item in drawn}, set(ResponseFraming))
        self.assertEqual({item.is_refused for item in drawn}, {False, True})
        self.assertEqual({item.calls for item in drawn}, {False, True})

    def test_each_framing_of_a_request_carries_the_whole_body(self) -> None:
        for framing in Framing:
            with self.subTest(framing=framing):
                request = Request("1", "/a/1", "h", 100, 5, framing, 0.5)
                pieces = request.pieces()
                data = b"".join(piece for _, piece in pieces)
                self.assertEqual(data.count(b"z"), 0 if framing is Framing.NONE else 5)
                self.assertEqual(len(pieces) == 2, framing in CHUNKED_FRAMINGS)


class LossTest(unittest.TestCase):
    """Each case is a request that starts at 10 s and ends without a response."""

    def find(
        self,
        stopped_s: float = 6.7,
        ended_s: float = 11.9,
        status: int = 0,
        run: Run | None = None,
        disturbances: tuple[Disturbance, ...] = (),
        time_limit_s: float = 2.0,
    ) -> list[str]:
        result = CallerResult(
            "a", 2, status, "", b"", "vm-0", 10.0, 10.0, ended_s, time_limit_s, "reset"
        )
        runs = {"a": [run or Run("vm-1", 10.1, ended_s)]}
        stops = [("vm-0", stopped_s)]
        return find_losses([result], runs, stops, list(disturbances))

    def test_request_cut_by_a_stop_is_lost(self) -> None:
        self.assertEqual(len(self.find()), 1)
        self.assertIn("5.20 s after the stop of vm-0", self.find()[0])

    def test_own_answer_while_the_server_is_at_work_is_a_loss(self) -> None:
        for status in (502, 504):
            self.assertEqual(len(self.find(status=status)), 1)

    def test_request_lost_without_a_stop_is_found(self) -> None:
        self.assertIn("without a stop", self.find(stopped_s=-20.0)[0])

    def test_whole_answers_are_no_losses(self) -> None:
        self.assertEqual(self.find(status=200, run=Run("vm-1", 10.1, 11.8, 200)), [])
        self.assertEqual(self.find(status=504, run=Run("vm-1", 10.1, 11.8, 504)), [])
        self.assertEqual(self.find(status=502, run=Run("vm-1", 10.1, 11.8, 200)), [])

    def test_request_that_ran_late_in_the_grace_of_a_stop_is_excused(self) -> None:
        # It is excused when it was sent within 3 s and still ran after 5 s.
        self.assertEqual(self.find(7.1, 12.2, time_limit_s=3.0), [])
        self.assertEqual(len(self.find(7.5, 12.2, time_limit_s=3.0)), 1)
        self.assertEqual(len(self.find(6.9, 12.2, time_limit_s=3.0)), 1)

    def test_request_whose_time_is_over_is_excused(self) -> None:
        self.assertEqual(self.find(ended_s=12.0), [])

    def test_unplanned_fault_excuses_only_what_it_affects(self) -> None:
        for vm in ("vm-0", "vm-1", ALL_VMS):
            self.assertEqual(self.find(disturbances=(Disturbance(vm, 5, 6.5),)), [])
        for fault in (Disturbance("vm-2", 5, 11), Disturbance("vm-0", 5, 5.9)):
            self.assertEqual(len(self.find(disturbances=(fault,))), 1)

    def test_request_that_did_not_run_is_lost_when_a_stopped_node_held_it(self) -> None:
        for ended_s, stopped_s, count in (
            (10.3, 9.0, 1),
            (10.1, 9.0, 0),  # It may have crossed the close of its connection.
            (10.3, 1.0, 0),
        ):
            result = CallerResult("a", 2, 0, "", b"", "vm-0", 10.0, 10.0, ended_s, 2.0)
            losses = find_losses([result], {}, [("vm-0", stopped_s)], [])
            self.assertEqual(len(losses), count)


class CheckTest(unittest.TestCase):
    def test_consistent_results_have_no_violation(self) -> None:
        results = [
            CallerResult("a", 2, 200, "a", b"i-1 2"),
            CallerResult("b", 2, 503),
            CallerResult("c", 2, 502),
            CallerResult("d", 2, 0),
        ]
        self.assertEqual(find_violations(results, {"a": ["i-1"], "c": ["i-1"]}), [])

    def test_each_kind_of_violation_is_found(self) -> None:
        cases = [
            (CallerResult("a", 2, 200, "a", b"i-1 2"), ["i-1", "i-2"]),
            (CallerResult("a", 2, 0), ["i-1", "i-1"]),
            (CallerResult("a", 2, 503), ["i-1"]),
            (CallerResult("a", 2, 200, "a", b"i-1 2"), []),
            (CallerResult("a", 2, 200, "b", b"i-1 2"), ["i-1"]),
            (CallerResult("a", 2, 200, "a", b"i-1"), ["i-1"]),
        ]
        for result, servers in cases:
            with self.subTest(result=result, servers=servers):
                self.assertEqual(len(find_violations([result], {"a": servers})), 1)


if __name__ == "__main__":
    unittest.main()
