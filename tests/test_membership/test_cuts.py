"""Cuts between members and data centres, behind the fault-injecting proxy."""

from __future__ import annotations

import trio

from marigoldchute.standins.faultproxy import Action, Rule
from tests.support.membership import NO_BUNDLE, SETTLE_S, MembershipTestCase

NORTE = [f"cartago-norte-{i}" for i in (1, 2, 3)]
MUELLE = [f"limon-muelle-{i}" for i in (1, 2, 3)]


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
