"""Nodes that join while a move is under way."""

from __future__ import annotations

import time

import trio

from marigoldchute.bundle.model import Step
from tests.support.rolls import START_LIMIT_S, TEST_LIMIT_S, WAIT_LIMIT_S, RollTestCase
from tests.test_bundle.bundles import make_content, make_move

TRIAL_SHARE = 0.05
LONG_MS = 600_000
STEPS = (Step(TRIAL_SHARE, LONG_MS), Step(1.0, 0))
LATE = ("cartago-norte-3", "limon-muelle-3")


class ScaleOutTest(RollTestCase):
    """A new node starts at the step in force and never jumps to the end.

    Configuration split by data centre would bound what a scale-out picks up by the
    place of a node; here the share that a bundle carries is bounded by the step.
    """

    per_centre = 3

    def test_joining_nodes_start_at_the_step_in_force(self) -> None:
        self.run_async(self._join, TEST_LIMIT_S)

    async def _join(self) -> None:
        early = [name for name in self.names if name not in LATE]
        self.mesh.start_store()
        for name in early:
            self.mesh.start_node(name)
        for number, name in enumerate(early):
            self.start_backends("turnos", {name: "r1" if number % 2 else "r2"})
        for name in early:
            await self.mesh.wait_until(
                name,
                lambda s: (
                    len(s.members) == len(early) and all(m.servers for m in s.members)
                ),
                START_LIMIT_S,
            )
        await self.accept("cartago-norte-1", 1, make_content("r1"))
        await self.wait_all(1, early)
        await self.accept("cartago-norte-1", 2, self._moving())
        await self.wait_all(2, early)
        await self._wait_share("cartago-norte-1")
        for name in LATE:
            self.start_backends("turnos", {name: "r2"})
            self.mesh.start_node(name)
        await self.wait_all(2, LATE)
        for name in LATE:
            await self._wait_share(name)
        await trio.sleep(1.0)
        for name in LATE:
            self.assertEqual(self.versions_in_force(name), [2])
            shares = {e["share"] for e in self.events("moves:share", name)}
            self.assertLessEqual(max(shares), TRIAL_SHARE)

    def _moving(self):  # type: ignore[no-untyped-def]
        now_ms = time.time_ns() // 1_000_000
        return make_content(
            "r1",
            make_move(
                start_ms=now_ms,
                deadline_ms=now_ms + 3 * LONG_MS,
                steps=STEPS,
            ),
        )

    async def _wait_share(self, name: str) -> None:
        with trio.fail_after(WAIT_LIMIT_S):
            while not self.events("moves:share", name):
                await trio.sleep(0.1)
