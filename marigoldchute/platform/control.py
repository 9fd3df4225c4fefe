"""The platform's calls to a node: reports of backend servers and readiness."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import ResultCode
from marigoldchute.hosted.registry import StateReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.hosted.registry import LocalRegistry
    from marigoldchute.hosted.settings import Endpoint
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder
    from marigoldchute.util.clock import Clock

INSTANCES = "/api/instances/"
READINESS = b"/api/readiness"
MAX_REPORT_BYTES = 16_384
MAX_SLOTS = 100_000
_DRAINING = {"ready": False, "draining": True}


class _Info(msgspec.Struct, frozen=True):
    service: str
    version: str
    zone: str
    slots: int


class _Status(msgspec.Struct, frozen=True):
    state: str
    sequence: int
    warmup_left_ms: float = 0.0


class _Report(msgspec.Struct, frozen=True):
    address: str
    info: _Info
    status: _Status
    born: int = 0


class ControlApi:
    """Answers the backend server on this VM, and the platform's question.

    Parameters
    ----------
    registry : LocalRegistry
        Takes reports.
    backend : Endpoint
        Where the backend server of this VM listens.
    is_ready : callable
        Whether callers may be sent here.
    clock : Clock
        Wall clock of the process.
    """

    def __init__(
        self,
        registry: LocalRegistry,
        backend: Callable[[], Endpoint],
        is_ready: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._backend = backend
        self._is_ready = is_ready
        self._clock = clock

    async def handle_readiness(
        self, req: HttpRequest, responder: HttpResponder
    ) -> None:
        """Say whether callers may be sent to this node."""
        if req.target != READINESS:
            await _answer(responder, 404, "")
        elif self._is_ready():
            await _answer(responder, 200, "")
        else:
            await _answer(responder, 503, "")

    async def handle_control(self, req: HttpRequest, responder: HttpResponder) -> None:
        """Take what the backend server of this VM tells of itself."""
        body = b""
        while (data := await req.receive()) is not None:
            body += data
            if len(body) > MAX_REPORT_BYTES:
                await _answer(responder, 413, "report is too large")
                return
        path = req.target.decode("latin-1")
        if req.method != b"POST" or not path.startswith(INSTANCES):
            await _answer(responder, 404, "no such call")
            return
        instance, _, call = path[len(INSTANCES) :].partition("/")
        if call == "heartbeat":
            error = self._take_report(instance, body)
        elif call == "deregister":
            self._registry.take_leave(instance, self._clock.now_ms())
            error = ""
        else:
            await _answer(responder, 404, "no such call")
            return
        await _answer(responder, 400 if error else 200, error)

    def _take_report(self, instance: str, body: bytes) -> str:
        """Take a report; return what is wrong with it, if anything."""
        try:
            found = msgspec.json.decode(body, type=_Report)
        except msgspec.DecodeError as exc:
            return f"report is malformed: {exc}"
        address, _, port = found.address.rpartition(":")
        backend = self._backend()
        if (address, port) != (backend.address, str(backend.port)):
            return f"{found.address} is not on this VM"
        info, status = found.info, found.status
        draining = _DRAINING.get(status.state)
        if draining is None:
            return f"state {status.state!r} is not known"
        if not instance or not info.service or not 1 <= info.slots <= MAX_SLOTS:
            return "id, service or slots is not allowed"
        report = StateReport(
            instance,
            found.born,
            status.sequence,
            info.service,
            info.version,
            backend.port,
            info.slots,
            draining,
            int(status.warmup_left_ms),
        )
        now = trio.current_time()
        self._registry.take_report(report, now, self._clock.now_ms())
        return ""


async def _answer(responder: HttpResponder, status: int, error: str) -> None:
    value = {"error": error, "code": ResultCode.ANNOUNCEMENT_INVALID} if error else {}
    body = msgspec.json.encode(value)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await responder.start(status, headers, body)
    await responder.finish()
