"""Lines about requests: what is logged, and what is left out."""

from __future__ import annotations

import types
import unittest
from typing import TYPE_CHECKING, Any, cast

from marigoldchute.events import EventSink
from marigoldchute.routing.request_log import (
    FAILED_BURST,
    LEFT_OUT_INTERVAL_S,
    SAMPLE_EVERY,
    RequestLog,
)

if TYPE_CHECKING:
    from marigoldchute.routing.call import Call

TRIED = "limon-patio-2 i-1 ok code=0 ms=312 load=3.0/12"


def make_call(request_id: str, tries: int = 1) -> Call:
    """Return a call as it stands when its answer has been passed on."""
    call = types.SimpleNamespace(
        req=types.SimpleNamespace(target=b"/reservas/7"),
        request_id=request_id,
        trail=[TRIED] * tries,
        tries=tries,
        entry=types.SimpleNamespace(route=types.SimpleNamespace(name="reservas")),
        service=types.SimpleNamespace(name="reservas"),
        release="r1",
        bundle_version=4,
        started_at=0.0,
    )
    return cast("Call", cast("Any", call))


class BackendFailureTest(unittest.TestCase):
    """A failure that a backend server answered is found by the request's id."""

    def setUp(self) -> None:
        self.sink = EventSink()
        self.log = RequestLog(self.sink)  # type: ignore[arg-type]

    def found(self, event: str) -> list[dict[str, Any]]:
        """Return the fields of the logged events of a name."""
        return [e.fields for e in self.sink.events if e.event == event]

    def test_failure_is_logged_with_its_backend_server(self) -> None:
        for status in (500, 504):
            self.log.emit_answered(make_call(f"id-{status}"), status, 1.0)
        found = self.found("backend_failed")
        self.assertEqual([f["request"] for f in found], ["id-500", "id-504"])
        self.assertEqual([f["status"] for f in found], [500, 504])
        self.assertEqual(found[0]["trail"], [TRIED])

    def test_plain_answers_are_sampled(self) -> None:
        for index in range(3 * SAMPLE_EVERY):
            self.log.emit_answered(make_call(f"id-{index}"), 200, 1.0)
        self.assertEqual(len(self.found("sampled")), 3)
        self.assertEqual(len(self.sink.events), 3)

    def test_caller_fault_is_no_failure(self) -> None:
        self.log.emit_answered(make_call("id-1"), 404, 1.0)
        self.assertEqual(self.sink.events, [])

    def test_bad_release_on_one_node_is_logged_whole_for_ten_seconds(self) -> None:
        for index in range(300):
            call = make_call(f"id-{index}")
            self.log.emit_answered(call, 500, index / 30)
        self.assertEqual(len(self.found("backend_failed")), 300)

    def test_endless_failures_are_bounded_and_the_rest_counted(self) -> None:
        count = int(FAILED_BURST) + 100
        for index in range(count):
            self.log.emit_answered(make_call(f"id-{index}"), 500, 1.0)
        self.assertEqual(len(self.found("backend_failed")), FAILED_BURST)
        self.log.emit_answered(make_call("later"), 500, 1.0 + LEFT_OUT_INTERVAL_S)
        self.assertEqual(self.found("left_out"), [{"failed": 100}])
