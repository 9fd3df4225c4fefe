"""Slots that hold the seeds of a data centre."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.membership.model import Member
from marigoldchute.membership.seeds import SLOTS, SeedKeeper
from tests.support.fake_store import FakeStore

if TYPE_CHECKING:
    from marigoldchute.objectstore.api import StoredObject


class _CountingStore(FakeStore):
    """Counts calls."""

    calls = 0

    async def get(self, key: str) -> StoredObject:
        self.calls += 1
        return await super().get(key)

    async def put(self, key: str, value: bytes, expected_revision: int) -> int:
        self.calls += 1
        return await super().put(key, value, expected_revision)


class _Members:
    """A data centre as one of its members knows it."""

    def __init__(self, name: str, known: list[str]) -> None:
        self._known = {
            n: Member(n, 1, 1, f"127.0.0.{n}", 7000, "dc", "region") for n in known
        }
        self.local = self._known[name]
        self.strangers: list[tuple[str, int]] = []

    def recorded(self) -> list[Member]:
        return list(self._known.values())

    def record_of(self, name: str) -> Member | None:
        return self._known.get(name)

    def add_stranger(self, address: str, port: int) -> None:
        self.strangers.append((address, port))


def _keeper(members: _Members, store: FakeStore) -> SeedKeeper:
    membership: Any = members
    nothing: Any = None
    seen: Any = store
    return SeedKeeper(membership, nothing, seen, random.Random(1))


class SeedSlotsTest(unittest.TestCase):
    def test_calls_do_not_depend_on_the_number_of_members(self) -> None:
        async def count(size: int) -> int:
            names = [str(i) for i in range(size)]
            store = _CountingStore()
            for name in names:
                keeper = _keeper(_Members(name, names), store)
                for now in range(0, 290, 3):
                    await keeper.hold(float(now))
            self.assertEqual(len(store.objects), SLOTS)
            return store.calls

        self.assertEqual(trio.run(count, 10), 2 * SLOTS)
        self.assertEqual(trio.run(count, 60), 2 * SLOTS)

    def test_two_meshes_meet_over_a_slot(self) -> None:
        async def body() -> None:
            store = FakeStore()
            ours = _Members("1", ["1"])
            theirs = _Members("2", ["2"])
            await _keeper(ours, store).hold(0.0)
            await _keeper(theirs, store).hold(0.0)
            self.assertEqual(theirs.strangers, [("127.0.0.1", 7000)])

        trio.run(body)
