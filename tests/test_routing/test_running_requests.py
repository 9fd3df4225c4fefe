"""Tests of the requests that run on a VM and of what a process knows about them."""

from __future__ import annotations

import unittest

from marigoldchute.routing.running_requests import RunningRequest, RunningRequests


def make_run(request_id: str = "id", deadline: float = 10.0) -> RunningRequest:
    return RunningRequest(request_id, "r", "acme", "i@1", deadline)


class ParentTest(unittest.TestCase):
    def test_parent_is_found_by_the_id_up_to_the_last_separator(self) -> None:
        requests = RunningRequests(".")
        outer, inner = make_run("id"), make_run("id.101")
        requests.begin(outer)
        requests.begin(inner)
        self.assertIs(requests.find_parent("id.201"), outer)
        self.assertIs(requests.find_parent("id.101.201"), inner)
        self.assertIsNone(requests.find_parent("id.201.1"))
        self.assertIsNone(requests.find_parent("id"))

    def test_id_is_known_until_the_last_of_its_runs_ends(self) -> None:
        requests = RunningRequests(".")
        first, second = make_run(), make_run()
        requests.begin(first)
        requests.begin(second)
        requests.end(first)
        requests.end(first)
        self.assertIs(requests.find_parent("id.1"), second)
        requests.end(second)
        self.assertIsNone(requests.find_parent("id.1"))
        self.assertEqual(len(requests), 0)

    def test_unrelated_ids_have_no_parent(self) -> None:
        requests = RunningRequests("")
        requests.begin(make_run())
        self.assertIsNone(requests.find_parent("id.1"))
        self.assertFalse(requests.may_lack_parent("id.1", 0.0))


class UnknownParentTest(unittest.TestCase):
    def test_parent_may_be_unknown_for_as_long_as_a_request_may_run(self) -> None:
        cases = [((), 30.0), ((2_000,), 30.0), ((2_000, 45_000), 45.0)]
        for timeouts_ms, longest_s in cases:
            with self.subTest(timeouts_ms=timeouts_ms):
                requests = RunningRequests(".")
                self.assertTrue(requests.may_lack_parent("id.1", 1e6))
                requests.start(100.0)
                requests.record_timeouts(timeouts_ms)
                self.assertTrue(requests.may_lack_parent("id.1", 99.9 + longest_s))
                self.assertFalse(requests.may_lack_parent("id.1", 100.0 + longest_s))

    def test_shorter_timeouts_of_a_later_bundle_change_nothing(self) -> None:
        requests = RunningRequests(".")
        requests.start(100.0)
        requests.record_timeouts((60_000,))
        requests.record_timeouts((1_000,))
        self.assertTrue(requests.may_lack_parent("id.1", 159.9))
