"""Faults between single members, behind the fault-injecting proxy."""

from __future__ import annotations

import trio

from marigoldchute.standins.faultproxy import Action, Rule
from tests.support.membership import (
    FENCED,
    NO_BUNDLE,
    SETTLE_S,
    MembershipTestCase,
)

FIRST = "cartago-norte-1"
SECOND = "cartago-norte-2"
MEMBERS = [FIRST, SECOND, "cartago-norte-3"]


class SingleLinkTest(MembershipTestCase):
    per_centre = 3
    centres = 1
    proxied = True

    def test_fault_between_two_members_changes_no_state(self) -> None:
        self.run_async(self._cut_pair, 60)

    async def _cut_pair(self) -> None:
        self.start_nodes()
        await self.wait_for_all(MEMBERS)
        await self.mesh.set_faults(Rule(FIRST, SECOND, Action.DROP))
        await trio.sleep(5)
        await self.wait_for_all(MEMBERS)
        self.assertEqual(self.events("claim"), [])

    def test_silent_connections_are_replaced(self) -> None:
        self.run_async(self._silence, 60)

    async def _silence(self) -> None:
        self.start_nodes()
        await self.wait_for_all(MEMBERS)
        await trio.sleep(1)
        await self.mesh.set_faults(Rule("*", "*", Action.SILENCE))
        await trio.sleep(3)
        before = await self.mesh.admin(FIRST).stats()
        await trio.sleep(1.5)
        after = await self.mesh.admin(FIRST).stats()
        await self.wait_for_all(MEMBERS)
        self.assertGreater(after.control_bytes_received, before.control_bytes_received)
        self.assertEqual(self.events("claim"), [])

    def test_cut_off_member_fences_itself_until_it_hears_again(self) -> None:
        self.run_async(self._isolate, 60)

    async def _isolate(self) -> None:
        self.start_nodes()
        await self.wait_for_all(MEMBERS)
        await trio.sleep(SETTLE_S)
        await self.mesh.set_faults(Rule(FIRST, "*", Action.DROP))
        with trio.fail_after(14):
            while await self.code_of(FIRST) != FENCED:
                await trio.sleep(0.1)
        await self.wait_for_state(SECOND, FIRST, "unreachable")
        self.assertEqual(await self.code_of(SECOND), NO_BUNDLE)
        await self.mesh.set_faults()
        with trio.fail_after(10):
            while await self.code_of(FIRST) != NO_BUNDLE:
                await trio.sleep(0.1)
        await self.wait_for_all(MEMBERS)
