"""Log lines about requests: which are logged, sampled and dropped."""

from __future__ import annotations

import types
import unittest
from typing import TYPE_CHECKING, Any, cast

from marigoldchute.events import MemoryEventLog
from marigoldchute.routing.access import ANONYMOUS
from marigoldchute.routing.cut import Cut, CutCause
from marigoldchute.routing.http_request import HttpRequest
from marigoldchute.routing.request_log import (
    CUT_BURST_LINES,
    DROPPED_REPORT_INTERVAL_S,
    FAILED_BURST_LINES,
    SAMPLE_EVERY,
    RequestLog,
)

if TYPE_CHECKING:
    from marigoldchute.routing.call import Call

ATTEMPT = "limon-patio-2 i-1 ok code=0 ms=312 load=3.0/12"


def make_call(request_id: str, attempts: int = 1) -> Call:
    """Return a call whose response has been forwarded."""
    call = types.SimpleNamespace(
        req=types.SimpleNamespace(target=b"/reservas/7"),
        request_id=request_id,
        attempt_log=[ATTEMPT] * attempts,
        attempts=attempts,
        route_entry=types.SimpleNamespace(route=types.SimpleNamespace(name="reservas")),
        service=types.SimpleNamespace(name="reservas"),
        release="r1",
        bundle_version=4,
        is_foreign=False,
        identity=ANONYMOUS,
        started_at=0.0,
    )
    return cast("Call", cast("Any", call))


class RequestLogTest(unittest.TestCase):
    """Failures are logged with the backend server; successful requests are sampled."""

    def setUp(self) -> None:
        self.sink = MemoryEventLog()
        self.log = RequestLog(self.sink)  # type: ignore[arg-type]

    def logged_fields(self, event: str) -> list[dict[str, Any]]:
        """Return the fields of the logged events of a name."""
        return [e.fields for e in self.sink.events if e.event == event]

    def test_server_error_is_logged_with_its_backend_server(self) -> None:
        for status in (500, 504):
            self.log.emit_response(make_call(f"id-{status}"), status, 1.0)
        logged_fields = self.logged_fields("backend_failed")
        self.assertEqual([f["request"] for f in logged_fields], ["id-500", "id-504"])
        self.assertEqual([f["status"] for f in logged_fields], [500, 504])
        self.assertEqual(logged_fields[0]["trail"], [ATTEMPT])

    def test_successful_requests_are_sampled(self) -> None:
        for index in range(3 * SAMPLE_EVERY):
            self.log.emit_response(make_call(f"id-{index}"), 200, 1.0)
        self.assertEqual(len(self.logged_fields("sampled")), 3)
        self.assertEqual(len(self.sink.events), 3)

    def test_client_error_is_not_logged_as_a_failure(self) -> None:
        self.log.emit_response(make_call("id-1"), 404, 1.0)
        self.assertEqual(self.sink.events, [])

    def test_30_failures_per_second_are_all_logged_for_ten_seconds(self) -> None:
        for index in range(300):
            call = make_call(f"id-{index}")
            self.log.emit_response(call, 500, index / 30)
        self.assertEqual(len(self.logged_fields("backend_failed")), 300)

    def test_failures_above_the_burst_are_dropped_and_counted(self) -> None:
        count = int(FAILED_BURST_LINES) + 100
        for index in range(count):
            self.log.emit_response(make_call(f"id-{index}"), 500, 1.0)
        self.assertEqual(len(self.logged_fields("backend_failed")), FAILED_BURST_LINES)
        self.log.emit_response(make_call("later"), 500, 1.0 + DROPPED_REPORT_INTERVAL_S)
        self.assertEqual(self.logged_fields("left_out"), [{"failed": 100}])

    def make_cut(self, request_id: bytes = b"id-1", unread: bytes = b"") -> Cut:
        """Return a request whose body is incomplete 2.5 s after it was taken."""
        req = HttpRequest(None)  # type: ignore[arg-type]
        req.target = b"/reservas/7"
        req.headers = [(b"x-id", request_id), (b"transfer-encoding", b"chunked")]
        req.has_body = True
        cause = CutCause.UNREAD if unread else CutCause.DRAIN_TIMEOUT
        return Cut(req, None, cause, "", 4.0, 1.5, 0.5, 3, unread)

    def test_cut_request_is_logged_with_its_id_and_cause(self) -> None:
        self.log.emit_cut(self.make_cut(), b"x-id")
        (fields,) = self.logged_fields("cut")
        expected = {
            "request": "id-1",
            "cause": "drain_timeout",
            "taken_s": 2.5,
            "drain_s": 3.5,
            "conn_requests": 3,
            "body": "chunked",
            "body_complete": False,
            "response_bytes": 0,
            "response_complete": False,
            "tries": 0,
        }
        self.assertEqual(fields | expected, fields)

    def test_fields_of_the_call_are_part_of_the_line(self) -> None:
        cut = self.make_cut()
        cut.req.call_fields = {"request": "id-1", "tries": 2, "trail": [ATTEMPT]}
        self.log.emit_cut(cut, b"x-id")
        (fields,) = self.logged_fields("cut")
        self.assertEqual(fields["trail"], [ATTEMPT])
        self.assertEqual(fields["tries"], 2)

    def test_request_that_was_not_read_is_named_by_its_head(self) -> None:
        unread = b"POST /a HTTP/1.1\r\nHost: a\r\nX-Id: id-2\r\n\r\n"
        self.log.emit_cut(self.make_cut(unread=unread), b"x-id")
        (fields,) = self.logged_fields("cut")
        self.assertEqual((fields["request"], fields["after"]), ("id-2", "id-1"))
        self.assertEqual(fields["cause"], "unread")

    def test_cut_requests_above_the_burst_are_dropped_and_counted(self) -> None:
        for _ in range(int(CUT_BURST_LINES) + 50):
            self.log.emit_cut(self.make_cut(), b"x-id")
        self.assertEqual(len(self.logged_fields("cut")), CUT_BURST_LINES)
        later = 4.0 + DROPPED_REPORT_INTERVAL_S
        self.log.emit_response(make_call("later"), 500, later)
        self.assertEqual(self.logged_fields("left_out"), [{"cut": 50}])
