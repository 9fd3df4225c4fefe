"""Network faults between single members, made by the fault-injecting proxy."""

from __future__ import annotations

import trio

from marigoldchute.standins.faultproxy import Action, Rule
from tests.support.membership import (
    FENCED_CODE,
    NO_BUNDLE_CODE,
    SETTLE_S,
    MembershipTestCase,
)

FIRST = "cartago-norte-1"
SECOND = "cartago-norte-2"
MEMBERS = [FIRST, SECOND, "cartago-norte-3"]


class SingleLinkTest(MembershipTestCase):
    vms_per_data_centre = 3
    data_centre_count = 1
    uses_proxy = True

    def test_partition_between_two_members_changes_no_state(self) -> None:
        self.run_async(self._partition_pair, 60)

    async def _partition_pair(self) -> None:
        self.start_nodes()
        await self.wait_for_all(MEMBERS)
        await self.mesh.set_proxy_rules(Rule(FIRST, SECOND, Action.DROP))
        await trio.sleep(5)
        await self.wait_for_all(MEMBERS)
        self.assertEqual(self.events("claim"), [])

    def test_stalled_connections_are_replaced(self) -> None:
        self.run_async(self._stall_connections, 60)

    async def _stall_connections(self) -> None:
        self.start_nodes()
        await self.wait_for_all(MEMBERS)
        await trio.sleep(1)
        await self.mesh.set_proxy_rules(Rule("*", "*", Action.SILENCE))
        await trio.sleep(3)
        before = await self.mesh.admin(FIRST).stats()
        await trio.sleep(1.5)
        after = await self.mesh.admin(FIRST).stats()
        await self.wait_for_all(MEMBERS)
        self.assertGreater(after.control_bytes_received, before.control_bytes_received)
        self.assertEqual(self.events("claim"), [])

    def test_isolated_member_is_fenced_until_contact_returns(self) -> None:
        self.run_async(self._isolate, 60)

    async def _isolate(self) -> None:
        self.start_nodes()
        await self.wait_for_all(MEMBERS)
        await trio.sleep(SETTLE_S)
        await self.mesh.set_proxy_rules(Rule(FIRST, "*", Action.DROP))
        with trio.fail_after(14):
            while await self.refusal_code(FIRST) != FENCED_CODE:
                await trio.sleep(0.1)
        await self.wait_for_state(SECOND, FIRST, "unreachable")
        self.assertEqual(await self.refusal_code(SECOND), NO_BUNDLE_CODE)
        await self.mesh.set_proxy_rules()
        with trio.fail_after(10):
            while await self.refusal_code(FIRST) != NO_BUNDLE_CODE:
                await trio.sleep(0.1)
        await self.wait_for_all(MEMBERS)
