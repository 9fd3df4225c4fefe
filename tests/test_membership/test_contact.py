"""Whom a node hears and when it must refuse requests."""

from __future__ import annotations

import unittest

from marigoldchute.membership.contact import Contact, ContactTimes

TIMES = ContactTimes(20.0)
ROSTER = {"a", "b", "c"}


def _settled(name: str, now: float, heard: set[str]) -> Contact:
    """Return a contact that settled at ``now`` having just heard some members."""
    contact = Contact(name, "dc", now - 25.0, TIMES)
    for other in heard:
        contact.hear(other, now)
    contact.advance(ROSTER, now)
    return contact


class FenceTest(unittest.TestCase):
    def test_starting_node_serves_until_the_fence_time(self) -> None:
        contact = Contact("a", "dc", 0.0, TIMES)
        self.assertFalse(contact.is_fenced(20.0))
        self.assertTrue(contact.is_fenced(20.1))

    def test_lone_member_hears_its_majority(self) -> None:
        contact = Contact("a", "dc", 0.0, TIMES)
        contact.advance({"a"}, 21.0)
        self.assertFalse(contact.is_fenced(21.0))

    def test_minority_is_fenced_and_majority_is_not(self) -> None:
        minority = _settled("a", 100.0, {"b"})
        majority = _settled("b", 100.0, {"a", "c"})
        for now in range(100, 122):
            majority.hear("c", float(now))
            minority.advance(ROSTER, float(now))
            majority.advance(ROSTER, float(now))
        self.assertTrue(minority.is_fenced(121.0))
        self.assertFalse(majority.is_fenced(121.0))

    def test_late_answer_does_not_look_fresh(self) -> None:
        majority = _settled("b", 100.0, {"a", "c"})
        asker = _settled("a", 100.0, {"b"})
        view = majority.tell(ROSTER, 130.0)
        asker.take(view, ROSTER, 105.0)
        self.assertLessEqual(asker.contact_at, 105.0)

    def test_contact_passes_on_through_others(self) -> None:
        majority = _settled("b", 100.0, {"a", "c"})
        other_centre = Contact("x", "other", 0.0, TIMES)
        other_centre.take(majority.tell(ROSTER, 100.0), {"x"}, 100.0)
        self.assertFalse(other_centre.is_fenced(110.0))

    def test_paused_node_is_fenced_until_it_hears_again(self) -> None:
        contact = _settled("a", 100.0, {"b", "c"})
        contact.forget(104.0)
        self.assertTrue(contact.is_fenced(104.0))
        contact.advance(ROSTER, 105.0)
        self.assertTrue(contact.is_fenced(105.0))
        contact.hear("b", 106.0)
        contact.advance(ROSTER, 106.0)
        self.assertFalse(contact.is_fenced(106.0))

    def test_reading_of_the_store_keeps_the_last_survivor_serving(self) -> None:
        contact = _settled("a", 100.0, {"b"})
        contact.grant(118.0)
        self.assertFalse(contact.is_fenced(137.0))

    def test_newcomers_do_not_make_a_majority_of_a_minority(self) -> None:
        roster = {"a", "b", "c", "n1", "n2", "n3", "n4"}
        contact = _settled("a", 100.0, {"b", "c"})
        for now in range(101, 160):
            for name in ("n1", "n2", "n3", "n4"):
                contact.hear(name, float(now))
            known = roster if now > 115 else ROSTER
            contact.advance(known, float(now))
        self.assertTrue(contact.is_fenced(159.0))

    def test_newcomers_that_know_of_a_settled_member_wait_for_its_contact(self) -> None:
        minority = _settled("a", 100.0, set())
        newcomer = Contact("n1", "dc", 100.0, TIMES)
        roster = {"a", "b", "c", "n1", "n2", "n3"}
        for now in range(101, 130):
            newcomer.take(minority.tell(ROSTER, float(now)), roster, float(now))
            for name in ("a", "n2", "n3"):
                newcomer.hear(name, float(now))
            newcomer.advance(roster, float(now))
        self.assertFalse(newcomer.settled)
        self.assertTrue(newcomer.is_fenced(129.0))

    def test_data_centre_settles_although_another_one_has(self) -> None:
        elsewhere = _settled("a", 100.0, {"b", "c"})
        contact = Contact("x", "other", 100.0, TIMES)
        for now in range(101, 125):
            contact.take(elsewhere.tell(ROSTER, 100.0), {"x", "y"}, float(now))
            contact.hear("y", float(now))
            contact.advance({"x", "y"}, float(now))
        self.assertTrue(contact.settled)


class SilenceTest(unittest.TestCase):
    def test_silent_member_is_one_that_nobody_heard_for_the_gone_time(self) -> None:
        contact = _settled("a", 100.0, {"b", "c"})
        for now in range(100, 132):
            contact.hear("b", float(now))
            contact.advance(ROSTER, float(now))
        self.assertFalse(contact.is_silent("c", ["dc"], 130.0))
        self.assertTrue(contact.is_silent("c", ["dc"], 131.0))

    def test_sign_of_life_puts_the_declaration_off(self) -> None:
        contact = _settled("a", 100.0, {"b", "c"})
        contact.note("c", 120.0)
        contact.hear("b", 131.0)
        contact.advance(ROSTER, 131.0)
        self.assertFalse(contact.is_silent("c", ["dc"], 131.0))

    def test_nobody_is_silent_while_a_data_centre_is_not_heard(self) -> None:
        contact = _settled("a", 100.0, {"b", "c"})
        contact.hear("b", 140.0)
        contact.advance(ROSTER, 140.0)
        self.assertFalse(contact.is_silent("c", ["dc", "other"], 140.0))
