"""Tests of the limit on requests whose nested calls fail."""

from __future__ import annotations

import unittest

import trio

from marigoldchute.bundle.model import Service
from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.events import MemoryEventLog
from marigoldchute.routing.dialect import Dialect
from marigoldchute.routing.nested_limit import (
    FORGET_S,
    MAX_ROUTES,
    MIN_ADMITTED_RATIO,
    MIN_WINDOW_CALLS,
    WINDOW_S,
    NestedLimit,
    is_failed_call,
)
from marigoldchute.routing.outcomes import Outcome
from marigoldchute.routing.owner import Owner
from marigoldchute.routing.request_log import RequestLog
from marigoldchute.routing.running_requests import RunningRequest
from tests.test_routing.test_attempts import AttemptTestCase, refusal
from tests.test_routing.test_owner import CollectingExchange, FakeServers, make_head


def record_windows(
    limit: NestedLimit, failed: bool, windows: int, route: str = "r", now: float = 0.0
) -> float:
    """Record windows of calls with one result; return the time after them."""
    for _ in range(windows):
        for _ in range(MIN_WINDOW_CALLS):
            limit.record_call(route, failed, now)
        now += 1.01 * WINDOW_S
    return now


class NestedLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limit = NestedLimit()

    def test_route_without_failed_calls_is_never_limited(self) -> None:
        now = record_windows(self.limit, False, 5)
        self.assertTrue(all(self.limit.admit("r", now) for _ in range(100)))

    def test_failed_calls_lower_the_limit_to_a_floor(self) -> None:
        now = record_windows(self.limit, True, 20)
        self.assertEqual(self.limit.ratio("r"), MIN_ADMITTED_RATIO)
        admitted = sum(self.limit.admit("r", now) for _ in range(1000))
        self.assertAlmostEqual(admitted, 1000 * MIN_ADMITTED_RATIO, delta=3)
        self.assertTrue(self.limit.admit("other", now))

    def test_calls_that_succeed_again_raise_the_limit_within_seconds(self) -> None:
        now = record_windows(self.limit, True, 20)
        record_windows(self.limit, False, int(10.0 / WINDOW_S), now=now)
        self.assertEqual(self.limit.ratio("r"), 1.0)

    def test_old_failures_are_forgotten(self) -> None:
        now = record_windows(self.limit, True, 20)
        self.assertTrue(self.limit.admit("r", now + FORGET_S + 1.0))
        self.assertEqual(self.limit.ratio("r"), 1.0)

    def test_number_of_routes_is_bounded(self) -> None:
        for index in range(2 * MAX_ROUTES):
            self.limit.record_call(f"r-{index}", True, 0.0)
        self.assertLessEqual(len(self.limit._routes), MAX_ROUTES)


class FailedCallTest(unittest.TestCase):
    def test_only_effects_of_overload_count(self) -> None:
        """A service that is slow or faulty without overload must not be limited."""
        self.assertTrue(is_failed_call(Outcome.SHED, 0.0, False, 1.0))
        self.assertTrue(is_failed_call(Outcome.OK, 0.5, True, 1.0))
        self.assertFalse(is_failed_call(Outcome.OK, 0.5, False, 1.0))
        self.assertFalse(is_failed_call(Outcome.OK, 1.5, True, 1.0))
        self.assertFalse(is_failed_call(Outcome.ERROR, 1.5, False, 1.0))
        self.assertFalse(is_failed_call(Outcome.OK, 0.0, True, 1.0))


class OwnerTest(unittest.TestCase):
    """The owner refuses outer requests, but never the nested calls themselves."""

    def test_limited_request_is_refused_before_it_takes_a_slot(self) -> None:
        trio.run(self._check_refusal)

    async def _check_refusal(self) -> None:
        owner = Owner(FakeServers("127.0.0.1"), "127.0.0.1")
        owner.weighs_work = True
        now = trio.current_time()
        for _ in range(20):
            now = record_windows(owner.nested_limit, True, 1, "turnos", now)
        gate = owner.gate("vm/1")
        assert gate is not None
        owner.nested_limit.admit("turnos", now)
        with self.assertRaises(NotRunError) as caught:
            await owner.execute(make_head(), CollectingExchange())
        self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_CALLS_FAIL)
        self.assertGreater(caught.exception.retry_after_s, 0.0)
        self.assertEqual((gate.running, gate.queued), (0, 0))

    def test_calls_are_attributed_to_the_route_of_the_running_request(self) -> None:
        log = MemoryEventLog()
        owner = Owner(
            FakeServers("127.0.0.1"),
            "127.0.0.1",
            Dialect(nested_id_separator="."),
            log=RequestLog(log),  # type: ignore[arg-type]
        )
        owner.weighs_work = True
        run = RunningRequest("id", "outer", "", "i@1", 0.0, 10.0)
        owner.running_requests.begin(run)
        now = 0.0
        for index in range(4 * MIN_WINDOW_CALLS):
            call = _FakeCall(f"id.{index}")
            owner.record_nested_call(call, Outcome.SHED, now)  # type: ignore[arg-type]
            now += WINDOW_S / 2
        self.assertLess(owner.nested_limit.ratio("outer"), 1.0)
        ended = _FakeCall("gone.1")
        owner.record_nested_call(ended, Outcome.SHED, now)  # type: ignore[arg-type]
        lines = [event for event in log.events if event.event == "nested_limit"]
        self.assertTrue(lines)


class _FakeCall:
    objective = 0.0
    found_queue = False
    service = Service("called", "")

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id


class EntryTest(AttemptTestCase):
    def test_refusal_for_failing_calls_is_not_tried_elsewhere(self) -> None:
        failing = refusal(ResultCode.REQUEST_NOT_RUN_CALLS_FAIL)
        responder = self.send_with_script(failing, 200)
        self.assertEqual(responder.statuses, [503])
        self.assertIn(b"retry-after: ", responder.block)
        self.assertEqual(len(self.owner.servers), 1)


del AttemptTestCase  # Keeps the loader from running the tests of the base class.
