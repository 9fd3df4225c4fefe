"""Tests of the latency histograms of the request path."""

from __future__ import annotations

import unittest

from marigoldchute.routing.metrics import MAX_HISTOGRAMS, OTHER_ROUTES, RouteMetrics


class ManyRoutesTest(unittest.TestCase):
    def test_routes_beyond_histogram_limit_share_one(self) -> None:
        metrics = RouteMetrics()
        for index in range(5 * MAX_HISTOGRAMS):
            metrics.record(f"r{index}", "ok", 100)
        metrics.record("r0", "ok", 100)
        found = {item.route: item.count for item in metrics.snapshot()}
        self.assertEqual(len(found), MAX_HISTOGRAMS + 1)
        self.assertEqual(found["r0"], 2)
        self.assertEqual(found[OTHER_ROUTES], 4 * MAX_HISTOGRAMS)
