"""Requests that a stopping node takes, shortens and refuses."""

from __future__ import annotations

import unittest

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.routing.stop_window import StopWindow

WINDOW = StopWindow(notice_until=12.6, ends_at=15.3)


class LimitDeadlineTest(unittest.TestCase):
    def test_request_that_ends_in_time_keeps_its_deadline(self) -> None:
        for now in (10.0, 13.0, 15.0):
            self.assertEqual(WINDOW.limit_deadline(15.3, now), 15.3)

    def test_deadline_is_shortened_while_callers_cannot_know_of_the_stop(self) -> None:
        self.assertEqual(WINDOW.limit_deadline(16.5, 12.5), 15.3)

    # Guards against requests that are taken late and cut at the end of the node.
    def test_late_request_that_may_outlast_the_node_is_refused_as_not_run(self) -> None:
        with self.assertRaises(NotRunError) as caught:
            WINDOW.limit_deadline(15.4, 13.4)
        self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_DRAINING)
        self.assertAlmostEqual(caught.exception.retry_after_s, 1.9)

    # Guards against requests that fail on the backend server because their own calls
    # are refused by its stopping node.
    def test_deadline_of_a_nested_call_is_shortened_until_the_end(self) -> None:
        self.assertEqual(WINDOW.limit_deadline(16.5, 15.2, is_nested=True), 15.3)

    def test_request_after_the_end_is_refused(self) -> None:
        with self.assertRaises(NotRunError) as caught:
            WINDOW.limit_deadline(15.5, 15.4)
        self.assertEqual(caught.exception.retry_after_s, 0.0)


class CheckFitsTest(unittest.TestCase):
    def test_request_that_ends_in_time_is_taken(self) -> None:
        WINDOW.check_fits(15.3, 10.0)

    # Guards against shortened requests that are refused because of the time that they
    # take to reach their owner.
    def test_time_on_the_way_to_the_owner_is_allowed_for(self) -> None:
        WINDOW.check_fits(15.38, 10.0)

    # Guards against requests of other nodes that are cut when their owner stops.
    def test_request_of_another_node_that_may_outlast_the_owner_is_refused(
        self,
    ) -> None:
        with self.assertRaises(NotRunError) as caught:
            WINDOW.check_fits(15.41, 10.0)
        self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_DRAINING)


if __name__ == "__main__":
    unittest.main()
