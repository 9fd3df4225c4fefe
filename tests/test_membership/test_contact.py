"""Contact with members and majorities, fencing, and detection of silent members."""

from __future__ import annotations

import unittest

from marigoldchute.membership.contact import ContactTimeouts, ContactTracker

TIMEOUTS = ContactTimeouts(20.0)
NAMES = {"a", "b", "c"}


def _tracker_with_voters(name: str, now: float, peers: set[str]) -> ContactTracker:
    """Return a tracker that determined its voters at ``now``, in contact with peers."""
    tracker = ContactTracker(name, "dc", now - 25.0, TIMEOUTS)
    for peer in peers:
        tracker.record_contact(peer, now)
    tracker.update(NAMES, now)
    return tracker


class FenceTest(unittest.TestCase):
    def test_starting_node_is_fenced_after_the_timeout(self) -> None:
        tracker = ContactTracker("a", "dc", 0.0, TIMEOUTS)
        self.assertFalse(tracker.is_fenced(20.0))
        self.assertTrue(tracker.is_fenced(20.1))

    def test_only_member_is_its_own_majority_and_is_not_fenced(self) -> None:
        tracker = ContactTracker("a", "dc", 0.0, TIMEOUTS)
        tracker.update({"a"}, 21.0)
        self.assertFalse(tracker.is_fenced(21.0))

    def test_minority_is_fenced_and_majority_is_not(self) -> None:
        minority = _tracker_with_voters("a", 100.0, {"b"})
        majority = _tracker_with_voters("b", 100.0, {"a", "c"})
        for now in range(100, 122):
            majority.record_contact("c", float(now))
            minority.update(NAMES, float(now))
            majority.update(NAMES, float(now))
        self.assertTrue(minority.is_fenced(121.0))
        self.assertFalse(majority.is_fenced(121.0))

    def test_delayed_report_counts_from_the_time_of_its_request(self) -> None:
        majority = _tracker_with_voters("b", 100.0, {"a", "c"})
        minority = _tracker_with_voters("a", 100.0, {"b"})
        report = majority.build_report(NAMES, 130.0)
        minority.apply_report(report, NAMES, 105.0)
        self.assertLessEqual(minority.last_confirmed_at, 105.0)

    def test_reported_majority_of_another_data_centre_prevents_fencing(self) -> None:
        majority = _tracker_with_voters("b", 100.0, {"a", "c"})
        other_data_centre = ContactTracker("x", "other", 0.0, TIMEOUTS)
        other_data_centre.apply_report(
            majority.build_report(NAMES, 100.0), {"x"}, 100.0
        )
        self.assertFalse(other_data_centre.is_fenced(110.0))

    def test_paused_node_is_fenced_until_its_next_contact(self) -> None:
        tracker = _tracker_with_voters("a", 100.0, {"b", "c"})
        tracker.reset(104.0)
        self.assertTrue(tracker.is_fenced(104.0))
        tracker.update(NAMES, 105.0)
        self.assertTrue(tracker.is_fenced(105.0))
        tracker.record_contact("b", 106.0)
        tracker.update(NAMES, 106.0)
        self.assertFalse(tracker.is_fenced(106.0))

    def test_store_confirmation_prevents_fencing_of_the_last_member(self) -> None:
        tracker = _tracker_with_voters("a", 100.0, {"b"})
        tracker.record_store_confirmation(118.0)
        self.assertFalse(tracker.is_fenced(137.0))

    def test_new_members_do_not_turn_a_minority_into_a_majority(self) -> None:
        all_names = {"a", "b", "c", "n1", "n2", "n3", "n4"}
        tracker = _tracker_with_voters("a", 100.0, {"b", "c"})
        for now in range(101, 160):
            for name in ("n1", "n2", "n3", "n4"):
                tracker.record_contact(name, float(now))
            names = all_names if now > 115 else NAMES
            tracker.update(names, float(now))
        self.assertTrue(tracker.is_fenced(159.0))

    def test_new_member_waits_for_contact_with_a_known_majority(self) -> None:
        minority = _tracker_with_voters("a", 100.0, set())
        new_member = ContactTracker("n1", "dc", 100.0, TIMEOUTS)
        all_names = {"a", "b", "c", "n1", "n2", "n3"}
        for now in range(101, 130):
            new_member.apply_report(
                minority.build_report(NAMES, float(now)), all_names, float(now)
            )
            for name in ("a", "n2", "n3"):
                new_member.record_contact(name, float(now))
            new_member.update(all_names, float(now))
        self.assertFalse(new_member.has_voters)
        self.assertTrue(new_member.is_fenced(129.0))

    def test_voters_are_determined_although_another_data_centre_has_some(self) -> None:
        other_tracker = _tracker_with_voters("a", 100.0, {"b", "c"})
        tracker = ContactTracker("x", "other", 100.0, TIMEOUTS)
        for now in range(101, 125):
            tracker.apply_report(
                other_tracker.build_report(NAMES, 100.0), {"x", "y"}, float(now)
            )
            tracker.record_contact("y", float(now))
            tracker.update({"x", "y"}, float(now))
        self.assertTrue(tracker.has_voters)


class SilentMemberTest(unittest.TestCase):
    def test_member_without_contact_for_the_gone_time_is_silent(self) -> None:
        tracker = _tracker_with_voters("a", 100.0, {"b", "c"})
        for now in range(100, 132):
            tracker.record_contact("b", float(now))
            tracker.update(NAMES, float(now))
        self.assertFalse(tracker.is_silent("c", ["dc"], 130.0))
        self.assertTrue(tracker.is_silent("c", ["dc"], 131.0))

    def test_member_with_recent_activity_is_not_silent(self) -> None:
        tracker = _tracker_with_voters("a", 100.0, {"b", "c"})
        tracker.record_activity("c", 120.0)
        tracker.record_contact("b", 131.0)
        tracker.update(NAMES, 131.0)
        self.assertFalse(tracker.is_silent("c", ["dc"], 131.0))

    def test_no_member_is_silent_without_contact_to_every_data_centre(self) -> None:
        tracker = _tracker_with_voters("a", 100.0, {"b", "c"})
        tracker.record_contact("b", 140.0)
        tracker.update(NAMES, 140.0)
        self.assertFalse(tracker.is_silent("c", ["dc", "other"], 140.0))
