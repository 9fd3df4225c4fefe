"""Two drivers that act at once, around a hand-over, on one store and its orders.

Both take themselves for the leader: one was frozen or cut off, and its view of records
and documents is old. Writes may lose their response, take effect late, or be refused.
"""

from __future__ import annotations

import random
import unittest

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.orders.model import OrderStage
from tests.support.order_drivers import DriverNode, Store

VERDICTS = ("succeeded", "rolled_back")


class TwoDriversTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.integers(0, 10**9), st.integers(10, 120))
    def test_one_verdict_for_each_order_and_never_another_one(
        self, seed: int, steps: int
    ) -> None:
        store = self.run_drivers(seed, steps)
        verdicts: dict[str, set[str]] = {}
        for target, state in store.history:
            if state in VERDICTS:
                verdicts.setdefault(target, set()).add(state)
        for target, states in verdicts.items():
            self.assertEqual(len(states), 1, (target, store.history))

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.integers(0, 10**9), st.integers(10, 120))
    def test_status_never_goes_back_behind_a_verdict(
        self, seed: int, steps: int
    ) -> None:
        decided: set[str] = set()
        history = self.run_drivers(seed, steps).history
        for target, state in history:
            if target in decided:
                self.assertIn(state, VERDICTS, history)
            if state in VERDICTS:
                decided.add(target)

    def run_drivers(self, seed: int, steps: int) -> Store:
        """Let two drivers and the operator act in a random order."""
        store = Store()
        trio.run(
            self._act,
            store,
            random.Random(seed),
            steps,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        return store

    async def _act(self, store: Store, rng: random.Random, steps: int) -> None:
        nodes = [DriverNode("vm-1", store), DriverNode("vm-2", store)]
        targets = ["v2", "v3"]
        store.order(targets.pop(0))
        stages: dict[tuple[str, str], int] = {}
        for _ in range(steps):
            node, other = rng.sample(nodes, 2)
            action = rng.random()
            if action < 0.2:
                node.read()
            elif action < 0.3:
                node.send_records(other)
            elif action < 0.35:
                store.next_write = rng.choice(("late", "lost"))
            elif action < 0.4 and store.late_writes:
                store.late_writes.pop(0)()
            elif action < 0.43:
                node.find_fault()
            elif action < 0.45 and targets and store.status is not None:
                if store.status["state"] in VERDICTS:
                    store.order(targets.pop(0))
            else:
                await node.tick()
                await trio.sleep(rng.choice((0.1, 0.4, 1.0)))
            self._check_stages(nodes, stages)

    def _check_stages(
        self, nodes: list[DriverNode], stages: dict[tuple[str, str], int]
    ) -> None:
        """An order that is decided on a node is never open there again."""
        for node in nodes:
            for state in node.book.states():
                key = (node.member.name, state.order_id)
                if stages.get(key, 0) > OrderStage.RUNNING:
                    self.assertFalse(state.is_open, key)
                stages[key] = max(stages.get(key, 0), state.stage)


if __name__ == "__main__":
    unittest.main()
