"""Cuts between members and data centres, behind the fault-injecting proxy."""

from __future__ import annotations

import trio

from marigoldchute.link.endpoint import CONNECT_TIMEOUT_S
from marigoldchute.link.handshake import HANDSHAKE_TIMEOUT_S
from marigoldchute.standins.faultproxy import Action, Rule
from tests.support.membership import NO_BUNDLE, SETTLE_S, MembershipTestCase

NORTE = [f"cartago-norte-{i}" for i in (1, 2, 3)]
MUELLE = [f"limon-muelle-{i}" for i in (1, 2, 3)]
DIAL_LIMIT_S = CONNECT_TIMEOUT_S + HANDSHAKE_TIMEOUT_S + 1.0
BUNDLE = """{
  "services": [{"name": "turnos", "release": "r1"}],
  "routes": [{"name": "turnos", "path_prefix": "/turnos", "service": "turnos"}]
}"""


class CutTest(MembershipTestCase):
    per_centre = 3
    proxied = True

    def test_cut_data_centre_is_unreachable_and_serves_on(self) -> None:
        self.run_async(self._cut_centre, 80)

    async def _cut_centre(self) -> None:
        self.start_nodes()
        await self.wait_for_all(NORTE + MUELLE)
        await trio.sleep(SETTLE_S)
        await self.mesh.set_faults(
            Rule("limon", "cartago", Action.DROP), Rule("limon", "store", Action.DROP)
        )
        for name in MUELLE:
            await self.wait_for_state(NORTE[0], name, "unreachable")
            self.assertEqual(await self.code_of(name), NO_BUNDLE)
        await trio.sleep(SETTLE_S)
        for name in NORTE + MUELLE:
            self.assertEqual(await self.code_of(name), NO_BUNDLE)
        await self.mesh.set_faults()
        await self.wait_for_all(NORTE + MUELLE)
        self.assertEqual(self.events("gone"), [])
        self.assertEqual(self.events("fenced"), [])

    def test_region_cut_before_it_was_settled_is_unreachable_and_heals(self) -> None:
        self.run_async(self._cut_early, 100)

    async def _cut_early(self) -> None:
        self.start_nodes()
        await self.wait_for_all(NORTE + MUELLE)
        await self.mesh.set_faults(Rule("limon", "cartago", Action.DROP))
        for name in MUELLE:
            await self.wait_for_state(NORTE[0], name, "unreachable")
        for name in NORTE:
            await self.wait_for_state(MUELLE[0], name, "unreachable")
        path = self.write_bundle(BUNDLE)
        self.assertEqual((await self.roll(path, NORTE[0]))[0], 0)
        await trio.sleep(DIAL_LIMIT_S)
        await self.mesh.set_faults()
        await self.wait_for_all(NORTE + MUELLE)
        for name in MUELLE:
            await self.mesh.wait_until(name, lambda s: s.version == 1)
        self.assertEqual(self.events("gone"), [])
