"""Tests of the requests that run on a VM and of what a process knows about them."""

from __future__ import annotations

import unittest

from marigoldchute.routing.running_requests import (
    MAX_DETACHED,
    RunningRequest,
    RunningRequests,
)

NOW = 1.0


def make_run(request_id: str = "id", deadline: float = 10.0) -> RunningRequest:
    return RunningRequest(request_id, "r", "acme", "i@1", 0.0, deadline)


class ParentTest(unittest.TestCase):
    def test_parent_is_found_by_the_id_up_to_the_last_separator(self) -> None:
        requests = RunningRequests(".")
        outer, inner = make_run("id"), make_run("id.101")
        requests.begin(outer)
        requests.begin(inner)
        self.assertIs(requests.find_parent("id.201", NOW), outer)
        self.assertIs(requests.find_parent("id.101.201", NOW), inner)
        self.assertIsNone(requests.find_parent("id.201.1", NOW))
        self.assertIsNone(requests.find_parent("id", NOW))

    def test_id_is_known_until_the_last_of_its_runs_ends(self) -> None:
        requests = RunningRequests(".")
        first, second = make_run(), make_run()
        requests.begin(first)
        requests.begin(second)
        requests.end(first)
        requests.end(first)
        self.assertIs(requests.find_parent("id.1", NOW), second)
        requests.end(second)
        self.assertIsNone(requests.find_parent("id.1", NOW))
        self.assertEqual(len(requests), 0)

    # Guards against calls that end with an abandoned attempt while a later one runs.
    def test_of_the_runs_of_an_id_the_one_that_may_go_on_longest_is_found(self) -> None:
        requests = RunningRequests(".")
        runs = [make_run(deadline=deadline) for deadline in (10.0, 12.0, 11.0)]
        for run in runs:
            requests.begin(run)
        self.assertIs(requests.find_parent("id.1", NOW), runs[1])

    def test_listed_are_those_of_an_age_that_still_run(self) -> None:
        requests = RunningRequests(".")
        detached, attached = make_run("id"), make_run("other")
        for run in (detached, attached, make_run("late", 0.9)):
            requests.begin(run)
        requests.detach(detached)
        self.assertEqual(requests.list_runs(NOW, 0.5), [attached, detached])
        self.assertEqual(requests.list_runs(NOW, 1.1), [])

    def test_unrelated_ids_have_no_parent(self) -> None:
        requests = RunningRequests("")
        requests.begin(make_run())
        self.assertIsNone(requests.find_parent("id.1", NOW))
        self.assertFalse(requests.may_lack_parent("id.1", 0.0))


class DetachedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.requests = RunningRequests(".")
        self.run_ = make_run(deadline=10.0)
        self.requests.begin(self.run_)

    def test_detached_request_is_known_until_its_deadline(self) -> None:
        self.requests.detach(self.run_)
        self.assertIs(self.requests.find_parent("id.1", 9.9), self.run_)
        self.assertIsNone(self.requests.find_parent("id.1", 10.0))
        self.requests.expire(9.9)
        self.assertEqual(len(self.requests), 1)
        self.requests.expire(10.0)
        self.assertEqual(len(self.requests), 0)

    def test_request_with_a_connection_does_not_expire(self) -> None:
        self.requests.expire(11.0)
        self.assertIs(self.requests.find_parent("id.1", 11.0), self.run_)

    def test_expired_run_does_not_hide_another_one_of_the_same_id(self) -> None:
        self.requests.detach(self.run_)
        second = make_run(deadline=20.0)
        self.requests.begin(second)
        self.assertIs(self.requests.find_parent("id.1", 15.0), second)

    def test_number_of_detached_requests_is_limited(self) -> None:
        for index in range(MAX_DETACHED + 10):
            run = make_run(f"detached-{index}")
            self.requests.begin(run)
            self.requests.detach(run)
        self.assertEqual(len(self.requests), MAX_DETACHED + 1)
        self.assertIsNone(self.requests.find_parent("detached-9.1", NOW))
        self.assertIsNotNone(self.requests.find_parent("detached-10.1", NOW))


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
