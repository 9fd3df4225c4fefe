"""Stand-in for a backend server: announces itself to its node and serves requests."""

from __future__ import annotations

import collections
import dataclasses
import random
import secrets
from typing import TYPE_CHECKING

import httpcore
import msgspec
import trio

from marigoldchute.errors import RequestError
from marigoldchute.membership.announcement import ANNOUNCE_TARGET, Announcement
from marigoldchute.routing.dialect import DEFAULT_DIALECT
from marigoldchute.routing.http_server import HttpServer
from marigoldchute.standins.backend_faults import (
    FAULTS_TARGET,
    STATE_TARGET,
    BackendFaults,
    BackendState,
)

if TYPE_CHECKING:
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder

ANNOUNCE_INTERVAL_S = 1.0
DEPTH_HEADER = b"standin-depth"


@dataclasses.dataclass(frozen=True)
class BackendSettings:
    """Settings of one backend server stand-in.

    Parameters
    ----------
    address : str
        IP address of the VM.
    port : int
        TCP port to listen on.
    node_port : int
        Internal port of the node on the VM; 0 to disable announcements.
    service, release : str
        Service and release that it announces.
    slots, connections : int
        Concurrency limits that it announces.
    service_ms : float
        Time to process a request.
    error_share : float
        Share of requests that get status 500.
    seed : int
        Seed of the random choices.
    cold_ms : int
        Duration of the cold start, in which processing takes ``cold_factor`` as long.
    cold_factor : float
        Factor on ``service_ms`` during the cold start.
    """

    address: str
    port: int
    node_port: int
    service: str
    release: str
    slots: int = 12
    connections: int = 110
    service_ms: float = 2.0
    error_share: float = 0.0
    seed: int = 1
    cold_ms: int = 0
    cold_factor: float = 10.0


class Backend:
    """One backend server stand-in.

    A request with the header ``standin-depth`` is forwarded through the node of the
    VM. The header gives the number of further backend servers in the chain of calls.
    """

    def __init__(self, settings: BackendSettings) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._faults = BackendFaults(error_share=settings.error_share)
        self._faults_set_at = 0.0
        self._started_at = 0.0
        self._instance = secrets.token_hex(4)
        self._announce_requested = trio.Event()
        self._execution_counts: collections.Counter[str] = collections.Counter()
        self._total_executions = 0
        self._cancelled = 0
        self._running = 0
        self._max_running = 0
        self._http_server = HttpServer(self._handle_request)

    async def run(self) -> None:
        """Serve requests and send announcements until cancelled."""
        self._faults_set_at = self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            await nursery.start(
                self._http_server.serve, self._settings.address, self._settings.port
            )
            if self._settings.node_port:
                nursery.start_soon(self._announce_periodically)

    async def _handle_request(self, req: HttpRequest, responder: HttpResponder) -> None:
        if req.target == FAULTS_TARGET:
            await self._set_faults(req, responder)
            return
        if req.target == STATE_TARGET:
            await _send_response(responder, 200, msgspec.json.encode(self.state()))
            return
        body_size = 0
        try:
            while (data := await req.receive()) is not None:
                body_size += len(data)
        except RequestError:
            return  # A request whose upload was cut is not executed.
        self._running += 1
        self._max_running = max(self._max_running, self._running)
        try:
            with trio.CancelScope() as scope:
                req.cancel_scope = scope
                await self._execute_request(req, responder, body_size)
            self._cancelled += scope.cancelled_caught
        finally:
            self._running -= 1

    def state(self) -> BackendState:
        """Return the counts since the start."""
        return BackendState(
            dict(self._execution_counts),
            self._total_executions,
            self._cancelled,
            self._running,
            self._max_running,
            self._http_server.connections,
            self._http_server.max_connections,
        )

    async def _execute_request(
        self, req: HttpRequest, responder: HttpResponder, body_size: int
    ) -> None:
        faults = self._active_faults(req)
        if self._draw_fault(faults.refuse_share):
            await _send_response(
                responder, 503, b"", [(b"marigoldchute-not-run", b"1")]
            )
            return
        self._record_execution(req)
        depth = int(req.header(DEPTH_HEADER) or 0)
        if depth > 0:
            status = await self._call_next_server(req, depth - 1)
            await _send_response(responder, status, b"")
            return
        await trio.sleep((self._current_service_ms() + faults.delay_ms) / 1000)
        if self._draw_fault(faults.drop_share):
            return
        if self._draw_fault(faults.hang_share):
            await trio.sleep_forever()
        body = b"%s %s %d\n" % (self._settings.release.encode(), req.target, body_size)
        if self._draw_fault(faults.cut_share):
            length = str(len(body) + 1).encode()
            await responder.start(200, [(b"content-length", length)], body)
            return
        status = 500 if self._draw_fault(faults.error_share) else 200
        await _send_response(responder, status, body)

    async def _call_next_server(self, req: HttpRequest, depth: int) -> int:
        """Call the same path through the node of the VM; return the response status."""
        settings = self._settings
        deadline_ms = req.header(DEFAULT_DIALECT.deadline) or b"1000"
        address, port = settings.address, settings.node_port
        async with httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", address.encode(), port)
        ) as conn:
            response = await conn.request(
                req.method,
                f"http://{address}:{port}{req.target.decode()}",
                headers=[
                    (b"host", address.encode()),
                    (DEPTH_HEADER, str(depth).encode()),
                    (DEFAULT_DIALECT.deadline, deadline_ms),
                ],
            )
        return response.status

    def _record_execution(self, req: HttpRequest) -> None:
        self._total_executions += 1
        key = req.header(b"idempotency-key")
        if key is not None:
            self._execution_counts[key.decode("latin-1")] += 1

    def _active_faults(self, req: HttpRequest) -> BackendFaults:
        elapsed_s = trio.current_time() - self._faults_set_at
        path = req.target.decode("latin-1")
        if self._faults.apply_to(path, self._running, elapsed_s):
            return self._faults
        return BackendFaults()

    def _draw_fault(self, share: float) -> bool:
        return share > 0 and self._rng.random() < share

    def _current_service_ms(self) -> float:
        settings = self._settings
        if self._cold_start_remaining_ms() > 0:
            return settings.service_ms * settings.cold_factor
        return settings.service_ms

    def _cold_start_remaining_ms(self) -> int:
        age_ms = (trio.current_time() - self._started_at) * 1000
        return max(0, int(self._settings.cold_ms - age_ms))

    async def _set_faults(self, req: HttpRequest, responder: HttpResponder) -> None:
        body = b""
        while (data := await req.receive()) is not None:
            body += data
        try:
            self._faults = msgspec.json.decode(body, type=BackendFaults)
        except msgspec.DecodeError as exc:
            await _send_response(responder, 400, f"{exc}\n".encode())
            return
        self._faults_set_at = trio.current_time()
        self._announce_requested.set()
        await _send_response(responder, 204, b"")

    async def _announce_periodically(self) -> None:
        settings = self._settings
        url = (
            f"http://{settings.address}:{settings.node_port}{ANNOUNCE_TARGET.decode()}"
        )
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                self._announce_requested = trio.Event()
                body = msgspec.json.encode(self._build_announcement())
                interval_s = ANNOUNCE_INTERVAL_S
                try:
                    await pool.request("POST", url, content=body)
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    interval_s = ANNOUNCE_INTERVAL_S / 4
                with trio.move_on_after(interval_s):
                    await self._announce_requested.wait()

    def _build_announcement(self) -> Announcement:
        settings = self._settings
        return Announcement(
            settings.service,
            settings.release,
            settings.port,
            settings.slots,
            settings.connections,
            self._faults.draining,
            self._cold_start_remaining_ms(),
            self._instance,
        )


async def _send_response(
    responder: HttpResponder,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    length = (b"content-length", str(len(body)).encode())
    await responder.start(status, [length, *(headers or [])], body)
    await responder.finish()
