"""Tests of the administration API, called as an ASGI application."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec
import trio

from marigoldchute.admin.app import AdminApp
from marigoldchute.admin.http_status import http_status_of
from marigoldchute.admin.messages import (
    Failure,
    MoveStatus,
    Readiness,
    RollRequest,
    RollResult,
    Status,
)
from marigoldchute.admin.metrics import NodeCounts, NodeSnapshot
from marigoldchute.errors import (
    MarigoldchuteError,
    MoveError,
    NotRunError,
    ResultCode,
)
from marigoldchute.link.stats import NodeStats
from marigoldchute.moves.model import Verdict, VerdictKind

TOKEN = "a token of the operators"
STATS = NodeStats(1, 2, 3, 4, 5, 6, 7.5, 8, 9.5)
ROLL_REQUEST = msgspec.json.encode(RollRequest(b"m", (b"c",)))


class FakeService:
    """Service that returns fixed values, or raises the error set by a test."""

    def __init__(self) -> None:
        self.error: MarigoldchuteError | None = None
        self.calls: list[tuple[Any, ...]] = []

    def _record_call(self, *call: Any) -> None:
        self.calls.append(call)
        if self.error is not None:
            raise self.error

    def ready(self) -> Readiness:
        self._record_call("ready")
        return Readiness(3)

    def bundle_in_force(self) -> Readiness:
        self._record_call("in force")
        return Readiness(3)

    def stats(self) -> NodeStats:
        return STATS

    def snapshot(self) -> NodeSnapshot:
        return NodeSnapshot(3, 3, {"alive": 2}, (), STATS, NodeCounts(17))

    async def status(self) -> Status:
        self._record_call("status")
        return Status("vm-1", 3, 3, (), ())

    async def roll(self, request: RollRequest) -> RollResult:
        self._record_call("roll", request)
        return RollResult(4)

    async def verdict(self, move_id: str) -> MoveStatus:
        self._record_call("verdict", move_id)
        return MoveStatus(move_id, "turnos", "done", "", 2, 0, 1.0, 1.0, 0)

    async def cancel(self, move_id: str, author: str, now_ms: int) -> Verdict:
        self._record_call("cancel", move_id, author)
        return Verdict(move_id, VerdictKind.TAKEN_BACK, "", author, now_ms, "t", 0)


class RecordedResponse:
    """Response that the application sent over ASGI."""

    status = 0
    body = b""
    headers: dict[bytes, bytes]

    async def send(self, message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = dict(message["headers"])
        else:
            self.body += message["body"]

    @property
    def failure(self) -> Failure:
        return msgspec.json.decode(self.body, type=Failure)


class AdminAppTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.service = FakeService()
        self.app = AdminApp(self.service, TOKEN)  # type: ignore[arg-type]

    def call(
        self, method: str, path: str, body: bytes = b"", token: str | None = TOKEN
    ) -> RecordedResponse:
        headers = []
        if token is not None:
            headers.append((b"authorization", f"Bearer {token}".encode()))
        scope = {"type": "http", "method": method, "path": path, "headers": headers}
        response = RecordedResponse()

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": body, "more_body": False}

        trio.run(self.app, scope, receive, response.send)
        return response


class EndpointTest(AdminAppTestCase):
    def test_each_endpoint_responds_with_200(self) -> None:
        paths = ["health", "ready", "status", "in-force", "members", "moves"]
        for path in [*paths, "metrics", "stats", "verdicts/turnos-r2"]:
            with self.subTest(path=path):
                self.assertEqual(self.call("GET", f"/v1/{path}").status, 200)
        self.assertEqual(self.call("POST", "/v1/bundles", ROLL_REQUEST).status, 200)
        self.assertEqual(self.call("POST", "/v1/cancel/a", b"me").status, 200)
        self.assertEqual(self.service.calls[-1], ("cancel", "a", "me"))

    def test_name_in_a_path_is_percent_decoded(self) -> None:
        self.call("GET", "/v1/verdicts/turnos%2Fr2")
        self.assertEqual(self.service.calls, [("verdict", "turnos/r2")])

    def test_unknown_path_gets_404_with_a_code(self) -> None:
        for path in ("/", "/v1", "/v1/nothing", "/v1/verdicts/", "/v2/status"):
            with self.subTest(path=path):
                response = self.call("GET", path)
                self.assertEqual(response.status, 404)
                self.assertEqual(response.failure.code, ResultCode.ARGUMENT_INVALID)

    def test_wrong_method_gets_405_with_the_allowed_method(self) -> None:
        response = self.call("POST", "/v1/status")
        self.assertEqual(response.status, 405)
        self.assertEqual(response.headers[b"allow"], b"GET")


class TokenTest(AdminAppTestCase):
    def test_every_endpoint_but_health_and_ready_requires_the_token(self) -> None:
        for endpoint in self.app.endpoints:
            name = "x" if endpoint.path.endswith("/") else ""
            for token in (None, "wrong", ""):
                with self.subTest(path=endpoint.path, token=token):
                    response = self.call(
                        endpoint.method, endpoint.path + name, ROLL_REQUEST, token
                    )
                    public = endpoint.path in ("/v1/health", "/v1/ready")
                    self.assertEqual(response.status, 200 if public else 401)
        self.assertEqual({call[0] for call in self.service.calls}, {"ready"})

    def test_missing_token_gets_401_with_a_code(self) -> None:
        response = self.call("GET", "/v1/status", token=None)
        self.assertEqual(response.failure.code, ResultCode.AUTH_FAILED)
        self.assertEqual(response.headers[b"www-authenticate"], b"Bearer")


class FailureTest(AdminAppTestCase):
    def test_malformed_roll_request_gets_422_and_is_not_passed_on(self) -> None:
        for body in (b"", b"{", b"[]", b"{}", b"\xff", b'{"manifest":1,"chunks":[]}'):
            with self.subTest(body=body):
                response = self.call("POST", "/v1/bundles", body)
                self.assertEqual(response.status, 422)
                self.assertEqual(response.failure.code, ResultCode.BUNDLE_MALFORMED)
        self.assertEqual(self.service.calls, [])

    def test_author_that_is_not_printable_or_too_long_gets_400(self) -> None:
        for author in (b"\xff", b"a\nb", b"x" * 257):
            with self.subTest(author=author):
                response = self.call("POST", "/v1/cancel/a", author)
                self.assertEqual(response.status, 400)
        self.assertEqual(self.service.calls, [])

    def test_ready_endpoint_of_a_node_without_a_bundle_gets_503(self) -> None:
        self.service.error = NotRunError("none", ResultCode.REQUEST_NOT_RUN_NO_BUNDLE)
        response = self.call("GET", "/v1/ready", token=None)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.failure.name, "REQUEST_NOT_RUN_NO_BUNDLE")

    def test_error_response_has_the_code_and_message_of_the_error(self) -> None:
        self.service.error = MoveError("unknown", ResultCode.MOVE_UNKNOWN)
        response = self.call("GET", "/v1/verdicts/a")
        self.assertEqual(response.status, 404)
        self.assertEqual(response.failure, Failure(605, "MOVE_UNKNOWN", "unknown"))

    def test_each_error_code_maps_to_an_error_status(self) -> None:
        for code in ResultCode:
            if code is ResultCode.OK:
                continue
            with self.subTest(code=code.name):
                status = http_status_of(MarigoldchuteError("", code))
                self.assertTrue(400 <= status < 600)
