"""A paused member that is declared gone before it resumes."""

from __future__ import annotations

import signal

import trio

from tests.support.membership import (
    FENCED_CODE,
    NO_BUNDLE_CODE,
    SETTLE_S,
    MembershipTestCase,
)

FIRST = "cartago-norte-1"
SECOND = "cartago-norte-2"
THIRD = "cartago-norte-3"


class PauseTest(MembershipTestCase):
    data_centre_count = 1
    vms_per_data_centre = 3

    def test_paused_member_is_gone_and_rejoins_with_a_later_incarnation(self) -> None:
        self.run_async(self._pause, 90)

    async def _pause(self) -> None:
        self.start_nodes()
        await self.wait_for_all([FIRST, SECOND, THIRD])
        await trio.sleep(SETTLE_S)
        self.send_signal(SECOND, signal.SIGSTOP)
        await self.wait_for_state(FIRST, SECOND, "unreachable")
        await self.wait_for_state(THIRD, SECOND, "gone")
        self.send_signal(SECOND, signal.SIGCONT)
        self.assertEqual(await self.refusal_code(SECOND), FENCED_CODE)
        await self.wait_for_all([FIRST, SECOND, THIRD])
        with trio.fail_after(5):
            while await self.refusal_code(SECOND) != NO_BUNDLE_CODE:
                await trio.sleep(0.1)
        gone = self.events("gone", lambda e: e["member"] == SECOND)
        joined = self.events("alive", lambda e: e["member"] == SECOND)
        self.assertGreater(
            max(e["incarnation"] for e in joined), max(e["incarnation"] for e in gone)
        )
