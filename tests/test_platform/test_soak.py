"""A short soak with seeded faults, and tests of the soak's own checks."""

from __future__ import annotations

import os
import unittest

from tests.support.soak import CallerResult, FaultKind, Soak, draw_plan, find_violations

SEED = int(os.environ.get("MARIGOLDCHUTE_SEED", "1"))
FAULT_PERIOD_S = 6.0
TIMEOUT_S = 90.0  # For the whole test; the recovery alone is limited by RECOVERY_S.
NAMES = ["vm-0", "vm-1"]


class SoakTest(unittest.TestCase):
    def test_responses_match_executions_and_the_mesh_recovers(self) -> None:
        soak = Soak(SEED, FAULT_PERIOD_S)
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
