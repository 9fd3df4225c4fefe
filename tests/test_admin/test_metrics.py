"""Tests of the metrics in the Prometheus text format."""

from __future__ import annotations

import unittest

from prometheus_client.parser import text_string_to_metric_families

from marigoldchute.admin.metrics import (
    MoveShare,
    NodeCounts,
    NodeSnapshot,
    render_metrics,
)
from marigoldchute.link.stats import NodeStats
from marigoldchute.routing.metrics import RouteLatency

SNAPSHOT = NodeSnapshot(
    version=4,
    newest_version=5,
    members={"alive": 3, "unreachable": 1},
    moves=(MoveShare("turnos-r2", "turnos", 0.25),),
    stats=NodeStats(100, 200, 300, 400, 5, 4, 1.5, 2048, 60.0),
    counts=NodeCounts(
        17,
        (RouteLatency("turnos", "ok", 12, 400, 580, 900, 1000),),
        {"retries": 3},
        {"drain_timeout": 2},
        1.25,
    ),
)


class MetricsTest(unittest.TestCase):
    def setUp(self) -> None:
        text = render_metrics(SNAPSHOT).decode()
        families = list(text_string_to_metric_families(text))
        self.types = {family.name: family.type for family in families}
        self.samples = {
            (sample.name, *sorted(sample.labels.values())): sample.value
            for family in families
            for sample in family.samples
        }

    def test_text_contains_every_value(self) -> None:
        expected = {
            ("bundle_version",): 4,
            ("bundle_newest_version",): 5,
            ("members", "alive"): 3,
            ("members", "unreachable"): 1,
            ("move_share", "turnos", "turnos-r2"): 0.25,
            ("link_bytes_total", "control", "sent"): 100,
            ("link_bytes_total", "control", "received"): 200,
            ("link_bytes_total", "sent", "traffic"): 300,
            ("link_bytes_total", "received", "traffic"): 400,
            ("links",): 5,
            ("store_calls_total",): 17,
            ("cpu_seconds_total",): 1.5,
            ("resident_memory_bytes",): 2048,
            ("uptime_seconds",): 60,
            ("retries_total",): 3,
            ("cut_requests_total", "drain_timeout"): 2,
            ("drain_seconds",): 1.25,
            ("added_latency_seconds", "0.5", "ok", "turnos"): 0.0004,
            ("added_latency_seconds", "0.99", "ok", "turnos"): 0.00058,
            ("added_latency_seconds", "0.999", "ok", "turnos"): 0.0009,
            ("added_latency_seconds", "1", "ok", "turnos"): 0.001,
            ("added_latency_seconds_count", "ok", "turnos"): 12,
        }
        for (name, *labels), value in expected.items():
            with self.subTest(name=name, labels=labels):
                key = (f"marigoldchute_{name}", *labels)
                self.assertEqual(self.samples[key], value)

    def test_latency_is_a_summary(self) -> None:
        self.assertEqual(self.types["marigoldchute_added_latency_seconds"], "summary")
