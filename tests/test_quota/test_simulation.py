"""Simulation of quotas: the bound holds in each window, over all nodes.

``python -m tests.support.quota_days`` plays larger meshes and more customers.
"""

from __future__ import annotations

import unittest

from tests.support.quota_days import DAYS, Result, play


class QuotaBoundTest(unittest.TestCase):
    """Sum over all nodes, whether they reach a coordinator or not."""

    def check(self, day: str, size: int, count: int, max_lost: float = 0.1) -> Result:
        result = play(day, size, count)
        with self.subTest(day=day, size=size, customers=count):
            self.assertLessEqual(result.worst, 1.0, result)
            self.assertLessEqual(result.lost, max_lost, result)
        return result

    def test_usual_traffic_is_hardly_limited(self) -> None:
        for size, count in ((13, 1), (78, 82)):
            result = self.check("quiet", size, count, 0.03)
            self.assertLess(result.lost, result.lost_by_even_shares + 0.02)

    def test_surge_of_three_customers(self) -> None:
        for size, count in ((13, 82), (78, 1), (78, 82)):
            self.check("surge", size, count, 0.03)

    def test_surge_that_moves_between_data_centres(self) -> None:
        self.check("moving surge", 78, 82, 0.04)

    def test_callers_at_one_node_get_nearly_the_whole_quota(self) -> None:
        result = self.check("one node", 78, 82, 0.03)
        self.assertLess(result.lost, result.lost_by_even_shares / 5)

    def test_half_of_the_nodes_cut_off_in_a_surge(self) -> None:
        self.check("cut region", 13, 1)
        self.check("cut region", 78, 82)
        self.check("cut half", 13, 82)
        self.check("cut half", 78, 1)

    def test_restarts_by_the_dozen_in_a_surge(self) -> None:
        """A full bucket at each new process would grant the burst again."""
        self.check("restarts", 13, 82, 0.12)
        self.check("restarts", 78, 82, 0.12)
        self.check("restart of all", 78, 82, 0.15)

    def test_two_coordinators_in_a_surge(self) -> None:
        self.check("two coordinators", 13, 82)
        self.check("two coordinators", 78, 1)

    def test_all_days_have_a_name(self) -> None:
        self.assertGreaterEqual(len(DAYS), 10)


class CostTest(unittest.TestCase):
    def test_few_bytes_pass_between_regions(self) -> None:
        """Below 1 kB a second for each data centre of 78 nodes and 82 customers."""
        self.assertLess(play("surge", 78, 82).cross_region_bytes_per_s, 4_500.0)
