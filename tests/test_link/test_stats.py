"""Tests of the resource usage that a node's administration API reports."""

from __future__ import annotations

import trio

from tests.support.meshes import MeshTestCase


class NodeStatsTest(MeshTestCase):
    data_centre_count = 1

    def test_stats_report_control_bytes_links_cpu_time_and_memory(self) -> None:
        self.run_async(self._check_stats, 30)

    async def _check_stats(self) -> None:
        self.start_nodes()
        await self.mesh.wait_until("cartago-norte-1", lambda s: len(s.members) == 2)
        client = self.mesh.admin("cartago-norte-1")
        first = await client.stats()
        await trio.sleep(1.5)
        second = await client.stats()
        self.assertEqual(second.members, 2)
        self.assertGreaterEqual(second.links, 1)
        self.assertGreater(second.control_bytes_sent, first.control_bytes_sent)
        self.assertGreater(second.control_bytes_received, first.control_bytes_received)
        self.assertGreater(second.cpu_s, 0.0)
        self.assertGreater(second.rss, 1_000_000)
        self.assertEqual(second.traffic_bytes_sent, 0)
