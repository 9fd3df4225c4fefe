"""Watches under random sequences of faults, on a mock clock."""

from __future__ import annotations

import itertools
import random
import unittest

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.errors import CompactedError, PlatformError
from marigoldchute.objectstore.messages import Item, Items
from marigoldchute.objectstore.watch import RELIST_INTERVAL_S, Watch

ACTIONS = st.sampled_from(["write", "delete", "fail", "compact", "past", "present"])


class _FaultySource:
    """A log of writes whose reads may fail, be compacted or return a stale state."""

    def __init__(self) -> None:
        self.log: list[Item] = []
        self.compacted = 0
        self.visible_count: int | None = None
        self.failures = 0
        self.list_times: list[float] = []

    def _visible_log(self) -> list[Item]:
        end = len(self.log) if self.visible_count is None else self.visible_count
        return self.log[:end]

    def state(self) -> dict[str, str]:
        current: dict[str, str] = {}
        for item in self._visible_log():
            if item.value is None:
                current.pop(item.key, None)
            else:
                current[item.key] = item.value
        return current

    def _maybe_fail(self) -> None:
        if self.failures > 0:
            self.failures -= 1
            raise PlatformError("down")

    async def list_items(self, prefix: str) -> Items:
        self.list_times.append(trio.current_time())
        self._maybe_fail()
        visible_log = self._visible_log()
        items = [Item(k, v, len(visible_log)) for k, v in self.state().items()]
        return Items(items, len(visible_log))

    async def changes(self, prefix: str, after_revision: int, wait_ms: int) -> Items:
        self._maybe_fail()
        visible_log = self._visible_log()
        if after_revision < self.compacted and len(visible_log) >= self.compacted:
            raise CompactedError("compacted")
        changed = visible_log[after_revision:]
        if not changed:
            await trio.sleep(wait_ms / 1000)
        return Items(changed, len(visible_log))

    def apply(self, action: str, rng: random.Random) -> None:
        """Apply an action; reads return a stale state from ``past`` to ``present``."""
        if action in ("write", "delete"):
            value = "dg==" if action == "write" else None
            key = f"k/{rng.randrange(4)}"
            self.log.append(Item(key, value, len(self.log) + 1))
        elif action == "fail":
            self.failures = 3
        elif action == "compact":
            self.compacted = len(self.log)
        elif action == "past":
            self.visible_count = rng.randrange(len(self.log) + 1)
        else:
            self.visible_count = None


class WatchTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=80, deadline=None)
    @given(st.lists(ACTIONS, max_size=30), st.integers(0, 1000))
    def test_watch_converges_to_the_state_of_the_store(
        self, actions: list[str], seed: int
    ) -> None:
        rng = random.Random(seed)
        source = _FaultySource()
        current: dict[str, int] = {}

        async def follow_events() -> None:
            async for event in Watch(source, "k/", rng).events():
                if event.value is None:
                    current.pop(event.key, None)
                else:
                    current[event.key] = event.revision

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follow_events)
                for action in actions:
                    source.apply(action, rng)
                    await trio.sleep(rng.uniform(0.0, 3.0))
                source.apply("present", rng)
                source.log.append(Item("k/end", "dg==", len(source.log) + 1))
                await trio.sleep(60)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(set(current), set(source.state()))
        times = source.list_times
        for first, second in itertools.pairwise(times):
            self.assertGreaterEqual(second - first, RELIST_INTERVAL_S)
