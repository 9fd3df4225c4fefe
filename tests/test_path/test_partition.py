"""Partition of two regions by the fault-injecting proxy."""

from __future__ import annotations

from marigoldchute.standins.faultproxy import Action, Rule
from tests.support.meshes import MeshTestCase

BUNDLE = """{
  "services": [{"name": "turnos", "release": "r1"}],
  "routes": [{"name": "turnos", "path_prefix": "/turnos", "service": "turnos"}]
}"""


class PartitionTest(MeshTestCase):
    uses_proxy = True

    def test_isolated_region_gets_the_bundle_when_the_cut_heals(self) -> None:
        self.run_async(self._cut_and_heal, 50)

    async def _cut_and_heal(self) -> None:
        self.start_nodes()
        await self.mesh.wait_until("limon-muelle-1", lambda s: len(s.members) == 4)
        await self.mesh.set_proxy_rules(Rule("limon", "cartago", Action.DROP))
        path = self.write_bundle(BUNDLE)
        status, _, err = await self.roll(path, "cartago-norte-1")
        self.assertEqual(status, 0, err)
        await self.mesh.wait_until("cartago-norte-2", lambda s: s.version == 1)
        isolated_status = await self.mesh.admin("limon-muelle-1").status()
        self.assertEqual(isolated_status.version, 0)
        await self.mesh.set_proxy_rules()
        await self.mesh.wait_until("limon-muelle-2", lambda s: s.version == 1)
        counts = await self.mesh.byte_counts()
        self.assertTrue(any(c.source_region != c.target_region for c in counts))
