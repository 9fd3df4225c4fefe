"""Members that are killed, stopped or restarted, as real processes."""

from __future__ import annotations

import signal

from tests.support.membership import MembershipTestCase

FIRST = "cartago-norte-1"
SECOND = "cartago-norte-2"
THIRD = "cartago-norte-3"


class LeavingTest(MembershipTestCase):
    data_centre_count = 1
    vms_per_data_centre = 3

    def test_killed_member_is_gone_and_returns_with_a_later_incarnation(self) -> None:
        self.run_async(self._kill_and_restart, 60)

    async def _kill_and_restart(self) -> None:
        self.start_nodes()
        await self.wait_for_all([FIRST, SECOND, THIRD])
        self.mesh.kill(SECOND)
        for observer in (FIRST, THIRD):
            await self.wait_for_state(observer, SECOND, "gone")
        claims = self.events("claim")
        self.assertTrue(claims)
        self.assertTrue(all("refuses connections" in c["text"] for c in claims))
        claimed_incarnation = max(claim["incarnation"] for claim in claims)
        self.start_node(SECOND)
        await self.wait_for_all([FIRST, SECOND, THIRD])
        joined = self.events("alive", lambda e: e["member"] == SECOND)
        self.assertGreater(max(e["incarnation"] for e in joined), claimed_incarnation)

    def test_stopped_member_is_gone_without_a_claim(self) -> None:
        self.run_async(self._stop, 60)

    async def _stop(self) -> None:
        self.start_nodes()
        await self.wait_for_all([FIRST, SECOND, THIRD])
        self.send_signal(SECOND, signal.SIGTERM)
        for observer in (FIRST, THIRD):
            await self.wait_for_state(observer, SECOND, "gone")
        self.assertEqual(self.events("claim"), [])
        self.assertEqual(self.events("unreachable"), [])
