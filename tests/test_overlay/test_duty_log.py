"""Events for the duties of a node."""

from __future__ import annotations

import unittest

from marigoldchute.events import MemoryEventLog
from marigoldchute.membership.model import Member, MemberState
from marigoldchute.overlay.duties import COLLECTOR, DRIVER, Duties
from marigoldchute.overlay.duty_log import DutyLog


def make_member(name: str, state: MemberState = MemberState.ALIVE) -> Member:
    return Member(name, 1, 1, "10.0.0.1", 7000, "seoul-a", "seoul", state)


class FakeMembers:
    """Members that a test can change."""

    def __init__(self) -> None:
        self.local = make_member("vm-1")
        self.members = [self.local]
        self.generation = 0

    def all(self) -> tuple[Member, ...]:
        return tuple(self.members)


class DutyLogTest(unittest.TestCase):
    def test_each_change_of_a_duty_is_logged_once(self) -> None:
        members, log = FakeMembers(), MemoryEventLog()
        duty_log = DutyLog(members, Duties(members), log)
        duty_log.check()
        duty_log.check()
        held = [(event.event, event.fields["held"]) for event in log.events]
        self.assertEqual(held, [(COLLECTOR, True), (DRIVER, True)])
        for n in range(2, 40):
            members.members.append(make_member(f"vm-{n}"))
        members.generation += 1
        self.assertNotEqual(Duties(members).holder(DRIVER), "vm-1")
        duty_log.check()
        duty_log.check()
        lost = [e.event for e in log.events if not e.fields["held"]]
        self.assertEqual(lost.count(DRIVER), 1)
