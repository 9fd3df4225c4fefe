"""Status reports of the backend server, read by the control API."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING, Any

import trio
import trio.testing

from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.node_entry import Leave
from marigoldchute.hosted.registry import LocalRegistry
from marigoldchute.hosted.settings import Endpoint
from marigoldchute.overlay.records import RecordTable
from marigoldchute.platform.control import ControlApi
from marigoldchute.util.clock import Clock

if TYPE_CHECKING:
    from marigoldchute.membership.model import BackendServer

INSTANCE = "i-1"


def make_report(**changes: Any) -> dict[str, Any]:
    value: dict[str, Any] = {
        "address": "10.0.0.1:80",
        "born": 1_000,
        "info": {"service": "turnos", "version": "v1", "zone": "a", "slots": 6},
        "status": {"state": "ready", "sequence": 4, "warmup_left_ms": 0},
    }
    value.update(changes)
    return value


class _Request:
    def __init__(self, target: bytes, body: bytes) -> None:
        self.method = b"POST"
        self.target = target
        self._pieces = [body]

    async def receive(self) -> bytes | None:
        return self._pieces.pop() if self._pieces else None


class _Responder:
    status = 0

    async def start(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status

    async def finish(self) -> None:
        """Complete the response."""


class ReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.published: list[tuple[BackendServer, ...]] = []
        self.leaves: list[Leave] = []
        self.is_stored = True
        registry = LocalRegistry(
            "vm-1", RecordTable(), self.published.append, MemoryEventLog(), 6.0
        )
        self.api = ControlApi(
            registry,
            lambda: Endpoint("10.0.0.1", 80),
            lambda: True,
            Clock(),
            self.store_leave,
        )

    async def store_leave(self, leave: Leave) -> bool:
        self.leaves.append(leave)
        return self.is_stored

    def send(
        self, body: bytes, operation: str = "heartbeat", instance: str = INSTANCE
    ) -> int:
        async def main() -> int:
            req = _Request(f"/api/instances/{instance}/{operation}".encode(), body)
            responder = _Responder()
            await self.api.handle_control(req, responder)  # type: ignore[arg-type]
            return responder.status

        return trio.run(main, clock=trio.testing.MockClock())

    def test_report_is_published(self) -> None:
        self.assertEqual(self.send(json.dumps(make_report()).encode()), 200)
        self.assertEqual(self.published[-1][0].instance, INSTANCE)

    def test_report_that_cannot_be_read_is_refused_and_changes_nothing(self) -> None:
        """Answers the reports of another writer; each names no server."""
        self.send(json.dumps(make_report()).encode())
        info, status = make_report()["info"], make_report()["status"]
        reports = [
            json.dumps(make_report(**change)).encode()
            for change in (
                {"status": {**status, "state": "resting", "sequence": 9}},
                {"status": {"state": "draining"}},
                {"status": {**status, "warmup_left_ms": "soon"}},
                {"status": {**status, "sequence": 2**80}},
                {"info": {**info, "slots": 0}},
                {"info": {**info, "service": ["turnos"]}},
                {"address": "10.0.0.1:70000"},
                {"address": 5},
                {"born": "yesterday"},
                {"born": 2**70},
                {"born": -5},
            )
        ]
        deep = b'{"address":"10.0.0.1:80","x":' + b"[" * 8_000 + b"]" * 8_000 + b"}"
        huge = json.dumps(make_report(born=0)).replace('"born": 0', '"born": 1e999')
        reports += [deep, huge.encode(), b"", b"\xff\xfe", b"[]", b"5" * 5_000]
        count = len(self.published)
        for report in reports:
            with self.subTest(report[:80]):
                self.assertEqual(self.send(report), 400)
        self.assertEqual(len(self.published), count)


class LeaveTest(ReportTest):
    """Leaves, which are acknowledged once they are stored."""

    def send_draining(self) -> int:
        status = {"state": "draining", "sequence": 5, "warmup_left_ms": 0}
        return self.send(json.dumps(make_report(status=status)).encode())

    # Guards against an acknowledged leave that is forgotten with the node.
    def test_leave_that_is_not_stored_is_not_acknowledged(self) -> None:
        self.is_stored = False
        self.assertEqual(self.send(json.dumps(make_report()).encode()), 200)
        self.assertEqual(self.send_draining(), 503)
        self.assertEqual(self.send(b'{"born": 1000}', "deregister"), 503)
        self.assertTrue(self.published[-1][0].draining)
        self.is_stored = True
        self.assertEqual(self.send_draining(), 200)
        self.assertEqual(self.send(b'{"born": 1000}', "deregister"), 200)
        self.assertEqual(set(self.leaves), {Leave(INSTANCE, 1_000)})

    # Guards against a running server that a late call of its predecessor withdraws.
    def test_late_deregistration_of_an_earlier_incarnation_changes_nothing(
        self,
    ) -> None:
        self.send(json.dumps(make_report(born=5_000)).encode())
        self.assertEqual(self.send(b'{"born": 1000}', "deregister"), 200)
        self.assertFalse(self.published[-1][0].draining)
        self.assertEqual(self.send(b'{"born": 5000}', "deregister"), 200)
        self.assertTrue(self.published[-1][0].draining)

    def test_deregistration_that_cannot_be_read_is_refused(self) -> None:
        self.send(json.dumps(make_report()).encode())
        for body in (
            b"\xff",
            b"[]",
            b'{"born": "now"}',
            b'{"born": 1e99}',
            b"[" * 9000,
        ):
            with self.subTest(body[:20]):
                self.assertEqual(self.send(body, "deregister"), 400)
        self.assertEqual(self.send(b"{}", "deregister", "i" * 300), 400)
        self.assertFalse(self.published[-1][0].draining)

    def test_deregistration_without_start_withdraws_the_current_server(self) -> None:
        self.send(json.dumps(make_report()).encode())
        self.assertEqual(self.send(b"", "deregister"), 200)
        self.assertTrue(self.published[-1][0].draining)
