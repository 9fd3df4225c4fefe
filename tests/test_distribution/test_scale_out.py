"""Nodes that join while a move is in progress."""

from __future__ import annotations

import time

import trio

from marigoldchute.bundle.model import Step
from tests.support.rolls import (
    START_TIMEOUT_S,
    TEST_TIMEOUT_S,
    WAIT_TIMEOUT_S,
    RollTestCase,
)
from tests.test_bundle.bundles import make_content, make_move

FIRST_STEP_SHARE = 0.05
STEP_HOLD_MS = 600_000
STEPS = (Step(FIRST_STEP_SHARE, STEP_HOLD_MS), Step(1.0, 0))
LATE_NODES = ("cartago-norte-3", "limon-muelle-3")


class ScaleOutTest(RollTestCase):
    """A joining node starts at the current step of a move, not at the final share.

    If configuration were split by data centre, the location of a node would limit
    what a scale-out applies. Here every node has the whole bundle, and the current
    step limits the share.
    """

    vms_per_data_centre = 3

    def test_joining_nodes_start_at_the_current_step(self) -> None:
        self.run_async(self._run_join, TEST_TIMEOUT_S)

    async def _run_join(self) -> None:
        early_nodes = [name for name in self.node_names if name not in LATE_NODES]
        self.mesh.start_store()
        for name in early_nodes:
            self.mesh.start_node(name)
        for number, name in enumerate(early_nodes):
            self.start_backends("turnos", {name: "r1" if number % 2 else "r2"})
        for name in early_nodes:
            await self.mesh.wait_until(
                name,
                lambda s: (
                    len(s.members) == len(early_nodes)
                    and all(m.servers for m in s.members)
                ),
                START_TIMEOUT_S,
            )
        await self.roll_content("cartago-norte-1", 1, make_content("r1"))
        await self.wait_for_version(1, early_nodes)
        await self.roll_content("cartago-norte-1", 2, self._content_with_move())
        await self.wait_for_version(2, early_nodes)
        await self._wait_for_share("cartago-norte-1")
        for name in LATE_NODES:
            self.start_backends("turnos", {name: "r2"})
            self.mesh.start_node(name)
        await self.wait_for_version(2, LATE_NODES)
        for name in LATE_NODES:
            await self._wait_for_share(name)
        await trio.sleep(1.0)
        for name in LATE_NODES:
            self.assertEqual(self.versions_in_force(name), [2])
            shares = {e["share"] for e in self.events_of_type("moves:share", name)}
            self.assertLessEqual(max(shares), FIRST_STEP_SHARE)

    def _content_with_move(self):  # type: ignore[no-untyped-def]
        now_ms = time.time_ns() // 1_000_000
        return make_content(
            "r1",
            make_move(
                start_ms=now_ms,
                deadline_ms=now_ms + 3 * STEP_HOLD_MS,
                steps=STEPS,
            ),
        )

    async def _wait_for_share(self, name: str) -> None:
        with trio.fail_after(WAIT_TIMEOUT_S):
            while not self.events_of_type("moves:share", name):
                await trio.sleep(0.1)
