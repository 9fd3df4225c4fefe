"""Tests of the copies that a node keeps of the running requests of others."""

from __future__ import annotations

import unittest

from marigoldchute.hosted.run_copies import (
    MAX_COPIED_RUNS,
    CopiedRun,
    RunCopies,
    RunReport,
)


def make_report(
    process_id: int, *ids: str, remaining_ms: int = 5_000, wants: bool = True
) -> RunReport:
    runs = tuple(CopiedRun(i, "r", "acme", "i@1", remaining_ms) for i in ids)
    return RunReport(process_id, wants, runs)


class RunCopiesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.copies = RunCopies()

    def ids(self, report: RunReport, now: float, name: str = "vm") -> list[str]:
        """Hand a report in; return the ids of the response."""
        runs = self.copies.handle_report(name, report, now)
        return [run.request_id for run in runs]

    def test_new_process_gets_the_requests_of_the_earlier_one(self) -> None:
        self.assertEqual(self.ids(make_report(1, "a", "b"), 0.0), [])
        (run, _) = self.copies.handle_report("vm", make_report(2), 1.5)
        self.assertEqual(run, CopiedRun("a", "r", "acme", "i@1", 3_500))
        self.assertEqual(self.ids(make_report(2, "c"), 2.0), ["a", "b"])

    def test_same_process_gets_nothing(self) -> None:
        self.ids(make_report(1, "a"), 0.0)
        self.assertEqual(self.ids(make_report(1, "b"), 0.2), [])

    def test_report_replaces_the_previous_one(self) -> None:
        self.ids(make_report(1, "a", "b"), 0.0)
        self.ids(make_report(1, "b"), 0.2)
        self.assertEqual(self.ids(make_report(2), 1.0), ["b"])

    def test_requests_of_all_earlier_processes_are_kept(self) -> None:
        self.ids(make_report(1, "a"), 0.0)
        self.ids(make_report(2, "b"), 1.0)
        self.assertEqual(self.ids(make_report(3), 2.0), ["a", "b"])

    def test_requests_are_sent_only_if_wanted_and_only_to_their_node(self) -> None:
        self.ids(make_report(1, "a"), 0.0)
        self.assertEqual(self.ids(make_report(2, wants=False), 1.0), [])
        self.assertEqual(self.ids(make_report(2), 1.0, "other"), [])

    def test_request_is_dropped_at_its_deadline(self) -> None:
        self.ids(make_report(1, "a"), 0.0)
        self.copies.expire(4.9)
        self.assertEqual(len(self.copies), 1)
        self.assertEqual(self.ids(make_report(2), 5.0), [])
        self.copies.expire(5.0)
        self.assertEqual(len(self.copies), 0)

    def test_size_of_a_copy_is_limited(self) -> None:
        ids = [f"id-{i}" for i in range(MAX_COPIED_RUNS + 10)]
        self.ids(make_report(1, *ids), 0.0)
        self.assertEqual(len(self.ids(make_report(2), 0.1)), MAX_COPIED_RUNS)
