"""Network partitions between data centres, made by the fault-injecting proxy."""

from __future__ import annotations

import trio

from marigoldchute.link.endpoint import CONNECT_TIMEOUT_S
from marigoldchute.link.handshake import HANDSHAKE_TIMEOUT_S
from marigoldchute.standins.faultproxy import Action, Rule
from tests.support.membership import NO_BUNDLE_CODE, SETTLE_S, MembershipTestCase

NORTE = [f"cartago-norte-{i}" for i in (1, 2, 3)]
MUELLE = [f"limon-muelle-{i}" for i in (1, 2, 3)]
MAX_DIAL_S = CONNECT_TIMEOUT_S + HANDSHAKE_TIMEOUT_S + 1.0
BUNDLE = """{
  "services": [{"name": "turnos", "release": "r1"}],
  "routes": [{"name": "turnos", "path_prefix": "/turnos", "service": "turnos"}]
}"""


class PartitionTest(MembershipTestCase):
    vms_per_data_centre = 3
    uses_proxy = True

    def test_partitioned_data_centre_is_unreachable_and_keeps_serving(self) -> None:
        self.run_async(self._partition_data_centre, 80)

    async def _partition_data_centre(self) -> None:
        self.start_nodes()
        await self.wait_for_all(NORTE + MUELLE)
        await trio.sleep(SETTLE_S)
        await self.mesh.set_proxy_rules(
            Rule("limon", "cartago", Action.DROP), Rule("limon", "store", Action.DROP)
        )
        for name in MUELLE:
            await self.wait_for_state(NORTE[0], name, "unreachable")
            self.assertEqual(await self.refusal_code(name), NO_BUNDLE_CODE)
        await trio.sleep(SETTLE_S)
        for name in NORTE + MUELLE:
            self.assertEqual(await self.refusal_code(name), NO_BUNDLE_CODE)
        await self.mesh.set_proxy_rules()
        await self.wait_for_all(NORTE + MUELLE)
        self.assertEqual(self.events("gone"), [])
        self.assertEqual(self.events("fenced"), [])

    def test_region_partitioned_at_start_is_unreachable_and_recovers(self) -> None:
        self.run_async(self._partition_at_start, 100)

    async def _partition_at_start(self) -> None:
        self.start_nodes()
        await self.wait_for_all(NORTE + MUELLE)
        await self.mesh.set_proxy_rules(Rule("limon", "cartago", Action.DROP))
        for name in MUELLE:
            await self.wait_for_state(NORTE[0], name, "unreachable")
        for name in NORTE:
            await self.wait_for_state(MUELLE[0], name, "unreachable")
        path = self.write_bundle(BUNDLE)
        self.assertEqual((await self.roll(path, NORTE[0]))[0], 0)
        await trio.sleep(MAX_DIAL_S)
        await self.mesh.set_proxy_rules()
        await self.wait_for_all(NORTE + MUELLE)
        for name in MUELLE:
            await self.mesh.wait_until(name, lambda s: s.version == 1)
        self.assertEqual(self.events("gone"), [])
