"""Holders of duties, derived from the member list."""

from __future__ import annotations

import dataclasses
import unittest

from marigoldchute.membership.model import Member, MemberState
from marigoldchute.overlay.duties import COLLECTOR, DRIVER, Duties


def _member(name: str, data_centre: str) -> Member:
    return Member(name, 1, 1, "127.0.0.1", 7000, data_centre, "region")


class _FakeMembers:
    def __init__(self, members: list[Member]) -> None:
        self.local = members[0]
        self.generation = 0
        self.members = members
        self.call_count = 0

    def all(self) -> tuple[Member, ...]:
        self.call_count += 1
        return tuple(self.members)


class DutiesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.members = _FakeMembers(
            [_member(f"a{i}", "a") for i in range(5)]
            + [_member(f"b{i}", "b") for i in range(5)]
        )
        self.duties = Duties(self.members)

    def test_holder_is_a_member_of_the_data_centre(self) -> None:
        holder = self.duties.holder(COLLECTOR, "b")
        self.assertTrue(holder is not None and holder.startswith("b"))

    def test_members_are_ordered_once_for_each_generation(self) -> None:
        for _ in range(10):
            self.duties.holder(DRIVER)
        self.assertEqual(self.members.call_count, 1)

    def test_unreachable_holder_is_replaced(self) -> None:
        first = self.duties.holder(DRIVER)
        self.members.members = [
            dataclasses.replace(m, state=MemberState.UNREACHABLE)
            if m.name == first
            else m
            for m in self.members.members
        ]
        self.members.generation += 1
        second = self.duties.holder(DRIVER)
        self.assertNotEqual(first, second)
        self.assertIsNotNone(second)

    def test_data_centre_without_members_has_no_holder(self) -> None:
        self.assertIsNone(self.duties.holder(COLLECTOR, "nowhere"))
