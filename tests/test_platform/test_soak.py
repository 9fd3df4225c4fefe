"""A short soak of seeded faults, and the checks that the soak relies on."""

from __future__ import annotations

import os
import unittest

from tests.support.soak import Soak, Told, Trouble, draw_plan, find_lies

SEED = int(os.environ.get("MARIGOLDCHUTE_SEED", "1"))
LAST_S = 6.0
LIMIT_S = 90.0  # Of the whole test; the bound on recovery is RECOVERY_S.
NAMES = ["vm-0", "vm-1"]


class SoakTest(unittest.TestCase):
    def test_what_callers_are_told_is_true_and_the_mesh_recovers(self) -> None:
        soak = Soak(SEED, LAST_S)
        soak.play(LIMIT_S)
        self.assertEqual(soak.lies, [])
        self.assertIn(200, {item.status for item in soak.told})


class PlanTest(unittest.TestCase):
    def test_a_seed_draws_the_same_plan_again(self) -> None:
        self.assertEqual(draw_plan(3, 20.0, NAMES), draw_plan(3, 20.0, NAMES))
        self.assertNotEqual(draw_plan(3, 20.0, NAMES), draw_plan(4, 20.0, NAMES))

    def test_fifty_seeds_draw_every_trouble_many_times(self) -> None:
        drawn = [f.trouble for seed in range(50) for f in draw_plan(seed, 8.0, NAMES)]
        for trouble in Trouble:
            self.assertGreater(drawn.count(trouble), 20)


class CheckTest(unittest.TestCase):
    def test_true_stories_pass(self) -> None:
        told = [
            Told("a", 2, 200, "a", b"i-1 2"),
            Told("b", 2, 503),
            Told("c", 2, 502),
            Told("d", 2, 0),
        ]
        self.assertEqual(find_lies(told, {"a": ["i-1"], "c": ["i-1"]}), [])

    def test_each_kind_of_lie_is_found(self) -> None:
        cases = [
            (Told("a", 2, 200, "a", b"i-1 2"), ["i-1", "i-2"]),
            (Told("a", 2, 0), ["i-1", "i-1"]),
            (Told("a", 2, 503), ["i-1"]),
            (Told("a", 2, 200, "a", b"i-1 2"), []),
            (Told("a", 2, 200, "b", b"i-1 2"), ["i-1"]),
            (Told("a", 2, 200, "a", b"i-1"), ["i-1"]),
        ]
        for told, ran in cases:
            with self.subTest(told=told, ran=ran):
                self.assertEqual(len(find_lies([told], {"a": ran})), 1)


if __name__ == "__main__":
    unittest.main()
