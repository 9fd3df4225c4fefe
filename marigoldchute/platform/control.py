"""HTTP API of a node for the platform: backend server reports and readiness."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Annotated

import msgspec
import trio

from marigoldchute.bundle.limits import MAX_WALL_CLOCK_MS
from marigoldchute.errors import ResultCode
from marigoldchute.hosted.node_entry import Leave
from marigoldchute.hosted.registry import StateReport

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

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
MAX_INSTANCE_LENGTH = 256
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


class _Deregistration(msgspec.Struct, frozen=True):
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_CLOCK_MS)] | None = None


@dataclasses.dataclass(frozen=True)
class _Result:
    """Outcome of a call.

    Parameters
    ----------
    error : str
        What is wrong with the call; empty when it is valid.
    leave : Leave or None
        Leave that has to be stored before the call is acknowledged.
    """

    error: str = ""
    leave: Leave | None = None


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
    store_leave : callable
        Stores the leave of a backend server; returns whether this was confirmed.
    """

    def __init__(
        self,
        registry: LocalRegistry,
        backend: Callable[[], Endpoint],
        is_ready: Callable[[], bool],
        clock: Clock,
        store_leave: Callable[[Leave], Awaitable[bool]],
    ) -> None:
        self._store_leave = store_leave
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
            result = self._apply_report(instance, body)
        elif operation == "deregister":
            result = self._apply_deregistration(instance, body)
        else:
            await _send_response(responder, 404, "no such call")
            return
        if result.error:
            await _send_response(responder, 400, result.error)
        elif result.leave is None or await self._store_leave(result.leave):
            await _send_response(responder, 200, "")
        else:
            await _send_response(
                responder,
                503,
                "leave is not stored yet",
                ResultCode.STORE_UNAVAILABLE,
            )

    def _apply_deregistration(self, instance: str, body: bytes) -> _Result:
        try:
            decoded = msgspec.json.decode(body or b"{}", type=_Deregistration)
        except (msgspec.DecodeError, RecursionError) as exc:
            return _Result(f"deregistration is malformed: {exc}")
        if not 0 < len(instance) <= MAX_INSTANCE_LENGTH:
            return _Result("id is not allowed")
        now_ms = self._clock.now_ms()
        leave = self._registry.handle_deregistration(instance, now_ms, decoded.born)
        return _Result(leave=leave)

    def _apply_report(self, instance: str, body: bytes) -> _Result:
        """Apply a report unless it is not valid."""
        try:
            decoded = msgspec.json.decode(body, type=_Report)
        except (msgspec.DecodeError, RecursionError) as exc:
            return _Result(f"report is malformed: {exc}")
        address, _, port = decoded.address.rpartition(":")
        backend = self._backend()
        if (address, port) != (backend.address, str(backend.port)):
            return _Result(f"{decoded.address} is not on this VM")
        info, status = decoded.info, decoded.status
        draining = _DRAINING_BY_STATE.get(status.state)
        if draining is None:
            return _Result(f"state {status.state!r} is not known")
        if (
            not 0 < len(instance) <= MAX_INSTANCE_LENGTH
            or not info.service
            or not 1 <= info.slots <= MAX_SLOTS
        ):
            return _Result("id, service or slots is not allowed")
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
        now_ms = self._clock.now_ms()
        return _Result(leave=self._registry.handle_report(report, now, now_ms))


async def _send_response(
    responder: HttpResponder,
    status: int,
    error: str,
    code: ResultCode = ResultCode.ANNOUNCEMENT_INVALID,
) -> None:
    value = {"error": error, "code": code} if error else {}
    body = msgspec.json.encode(value)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await responder.start(status, headers, body)
    await responder.finish()
