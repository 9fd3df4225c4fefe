"""HTTP API of a node for the platform: backend server reports and readiness."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec
import trio

from marigoldchute.bundle.limits import MAX_WALL_CLOCK_MS
from marigoldchute.errors import ResultCode
from marigoldchute.hosted.registry import StateReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.hosted.registry import LocalRegistry
    from marigoldchute.hosted.settings import Endpoint
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder
    from marigoldchute.util.clock import Clock

INSTANCES_PREFIX = "/api/instances/"
READINESS_PATH = b"/api/readiness"
MAX_REPORT_BYTES = 16_384
MAX_SLOTS = 100_000
MAX_WARMUP_MS = 3_600_000
MAX_SEQUENCE = 2**62
_DRAINING_BY_STATE = {"ready": False, "draining": True}


class _Info(msgspec.Struct, frozen=True):
    service: str
    version: str
    zone: str
    slots: int


class _Status(msgspec.Struct, frozen=True):
    state: str
    sequence: Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
    warmup_left_ms: float = 0.0


class _Report(msgspec.Struct, frozen=True):
    address: str
    info: _Info
    status: _Status
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_CLOCK_MS)] = 0


class ControlApi:
    """Handle reports of this VM's backend server and the platform's readiness checks.

    Parameters
    ----------
    registry : LocalRegistry
        Registry that the reports are passed to.
    backend : callable
        Returns the address and port of the backend server of this VM.
    is_ready : callable
        Returns whether this node accepts callers.
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
        """Respond 200 when this node accepts callers, 503 otherwise."""
        if req.target != READINESS_PATH:
            await _send_response(responder, 404, "")
        elif self._is_ready():
            await _send_response(responder, 200, "")
        else:
            await _send_response(responder, 503, "")

    async def handle_control(self, req: HttpRequest, responder: HttpResponder) -> None:
        """Handle a report or the deregistration of this VM's backend server."""
        body = b""
        while (data := await req.receive()) is not None:
            body += data
            if len(body) > MAX_REPORT_BYTES:
                await _send_response(responder, 413, "report is too large")
                return
        path = req.target.decode("latin-1")
        if req.method != b"POST" or not path.startswith(INSTANCES_PREFIX):
            await _send_response(responder, 404, "no such call")
            return
        instance, _, operation = path[len(INSTANCES_PREFIX) :].partition("/")
        if operation == "heartbeat":
            error = self._apply_report(instance, body)
        elif operation == "deregister":
            self._registry.handle_deregistration(instance, self._clock.now_ms())
            error = ""
        else:
            await _send_response(responder, 404, "no such call")
            return
        await _send_response(responder, 400 if error else 200, error)

    def _apply_report(self, instance: str, body: bytes) -> str:
        """Apply a report; return an error text, empty when the report is valid."""
        try:
            decoded = msgspec.json.decode(body, type=_Report)
        except (msgspec.DecodeError, RecursionError) as exc:
            return f"report is malformed: {exc}"
        address, _, port = decoded.address.rpartition(":")
        backend = self._backend()
        if (address, port) != (backend.address, str(backend.port)):
            return f"{decoded.address} is not on this VM"
        info, status = decoded.info, decoded.status
        draining = _DRAINING_BY_STATE.get(status.state)
        if draining is None:
            return f"state {status.state!r} is not known"
        if not instance or not info.service or not 1 <= info.slots <= MAX_SLOTS:
            return "id, service or slots is not allowed"
        report = StateReport(
            instance,
            decoded.born,
            status.sequence,
            info.service,
            info.version,
            backend.port,
            info.slots,
            draining,
            int(max(0.0, min(MAX_WARMUP_MS, status.warmup_left_ms))),
        )
        now = trio.current_time()
        self._registry.handle_report(report, now, self._clock.now_ms())
        return ""


async def _send_response(responder: HttpResponder, status: int, error: str) -> None:
    value = {"error": error, "code": ResultCode.ANNOUNCEMENT_INVALID} if error else {}
    body = msgspec.json.encode(value)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await responder.start(status, headers, body)
    await responder.finish()
