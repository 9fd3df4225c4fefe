"""Slots for the seeds of a data centre in the store."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.membership.model import Member
from marigoldchute.membership.seeds import NUM_SLOTS, SeedSlotManager
from tests.support.fake_store import FakeStore

if TYPE_CHECKING:
    from marigoldchute.objectstore.api import StoredObject


class _CountingStore(FakeStore):
    """Store that counts its calls."""

    calls = 0

    async def get(self, key: str) -> StoredObject:
        self.calls += 1
        return await super().get(key)

    async def put(self, key: str, value: bytes, expected_revision: int) -> int:
        self.calls += 1
        return await super().put(key, value, expected_revision)


class _Membership:
    """Membership of one member of a data centre."""

    def __init__(self, name: str, names: list[str]) -> None:
        self._members = {
            n: Member(n, 1, 1, f"127.0.0.{n}", 7000, "dc", "region") for n in names
        }
        self.local = self._members[name]
        self.one_time_addresses: list[tuple[str, int]] = []

    def recorded_members(self) -> list[Member]:
        return list(self._members.values())

    def get_recorded(self, name: str) -> Member | None:
        return self._members.get(name)

    def add_one_time_address(self, address: str, port: int) -> None:
        self.one_time_addresses.append((address, port))


def _slot_manager(members: _Membership, store: FakeStore) -> SeedSlotManager:
    membership: Any = members
    overlay: Any = None
    object_store: Any = store
    return SeedSlotManager(membership, overlay, object_store, random.Random(1))


class SeedSlotsTest(unittest.TestCase):
    def test_number_of_calls_does_not_depend_on_the_number_of_members(self) -> None:
        async def count(size: int) -> int:
            names = [str(i) for i in range(size)]
            store = _CountingStore()
            for name in names:
                slot_manager = _slot_manager(_Membership(name, names), store)
                for now in range(0, 290, 3):
                    await slot_manager.update_slot(float(now))
            self.assertEqual(len(store.objects), NUM_SLOTS)
            return store.calls

        self.assertEqual(trio.run(count, 10), 2 * NUM_SLOTS)
        self.assertEqual(trio.run(count, 60), 2 * NUM_SLOTS)

    def test_unknown_slot_holder_of_another_mesh_is_dialled(self) -> None:
        async def body() -> None:
            store = FakeStore()
            first = _Membership("1", ["1"])
            second = _Membership("2", ["2"])
            await _slot_manager(first, store).update_slot(0.0)
            await _slot_manager(second, store).update_slot(0.0)
            self.assertEqual(second.one_time_addresses, [("127.0.0.1", 7000)])

        trio.run(body)
