"""Hosted mesh of real node processes with backend servers in the test process."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING, Any

import httpcore
import trio

from marigoldchute.routing.http_server import HttpServer
from marigoldchute.standins.loopback import LoopbackBlock
from tests.support.documents import DocumentStandIn

if TYPE_CHECKING:
    import signal
    from collections.abc import AsyncIterator, Awaitable, Callable

    from marigoldchute.routing.http_request import HttpRequest, HttpResponder

STORE_PORT, CALLER_PORT, CONTROL_PORT, READINESS_PORT, BACKEND_PORT = range(8620, 8625)
PEER_PORT = 7600
REPORT_INTERVAL_MS = 400
EXIT_TIMEOUT_S = 12.0
GRACE_S = 6.0
BASE_SERVICE_TIME_S = 0.02
HOST = "h.example"


class ResponseFraming(enum.Enum):
    """How the end of a backend server's response is marked."""

    LENGTH = "length"
    CHUNKS = "chunks"
    TWO_PARTS = "two parts"  # Chunks, of which the last is sent later.


@dataclasses.dataclass
class BackendRun:
    """One execution of a request.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    server : str
        Name of the backend server.
    arrived_at : float
        Monotonic time at which the whole request had arrived.
    ended_at : float
        Monotonic time of the end; infinity while the request runs.
    answered : bool
        Whether the whole response was written.
    """

    request_id: str
    server: str
    arrived_at: float
    ended_at: float = float("inf")
    answered: bool = False

    def is_at_work(self, since: float, until: float) -> bool:
        """Return whether the request ran at some time between two times."""
        return self.arrived_at <= until and self.ended_at >= since


class Backend:
    """Backend server of a node: records its requests and reports its state.

    Attributes
    ----------
    service_time_s : float
        Run time of a request unless ``run_time`` is set.
    status : int
        Status of the responses.
    run_time : callable or None
        Returns the run time of a request, by its target.
    nested_call : callable or None
        Sends a call that each request makes, by its target, in the middle of its run;
        the response is 500 if it returns False.
    response_framing : callable or None
        Returns the framing of the response, by the target of the request.
    drops_abandoned : bool
        Whether a run ends when the connection of its request is closed.
    runs : list of BackendRun
        Executions in the order of their arrival.
    reports : bool
        Whether it reports its state periodically.
    warm_at : float
        Monotonic time until which it reports that it is cold.
    """

    def __init__(self, name: str, service: str, address: str, release: str) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.release = release
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.acknowledged_sequence = 0
        self.reports = True
        self.warm_at = float("-inf")  # Monotonic time.
        self.requests: list[dict[str, str]] = []
        self.service_time_s = BASE_SERVICE_TIME_S
        self.status = 200
        self.run_time: Callable[[bytes], float] | None = None
        self.nested_call: Callable[[bytes], Awaitable[bool]] | None = None
        self.response_framing: Callable[[bytes], ResponseFraming] | None = None
        self.drops_abandoned = False
        self.runs: list[BackendRun] = []
        # Called for each request before its response, as for calls of its own.
        self.before_response: Callable[[Backend, str], Awaitable[None]] | None = None
        self._http_server = HttpServer(self._handle)

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(self._http_server.serve, self.address, BACKEND_PORT)
            nursery.start_soon(self._send_reports)
            task_status.started()

    def make_report(self) -> dict[str, Any]:
        """Return the next report."""
        self.sequence += 1
        return {
            "address": f"{self.address}:{BACKEND_PORT}",
            "info": {
                "service": self.service,
                "version": self.release,
                "zone": "z",
                "slots": 8,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "warmup_left_ms": max(0.0, self.warm_at - trio.current_time()) * 1000,
            },
            "born": self.born,
        }

    async def call_node(self, operation: str, value: dict[str, Any]) -> int:
        """Call the control address of the node; return the status."""
        async with httpcore.AsyncConnectionPool() as pool:
            return await self._call_node(pool, operation, value)

    async def _call_node(
        self, pool: httpcore.AsyncConnectionPool, operation: str, value: dict[str, Any]
    ) -> int:
        url = f"http://{self.address}:{CONTROL_PORT}/api/instances/{self.name}"
        content = json.dumps(value).encode()
        response = await pool.request("POST", f"{url}/{operation}", content=content)
        return response.status

    async def _send_reports(self) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                if self.reports:
                    await self._send_report(pool)
                await trio.sleep(REPORT_INTERVAL_MS / 1000)

    async def _send_report(self, pool: httpcore.AsyncConnectionPool) -> None:
        report = self.make_report()
        status = report["status"]
        with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
            answer = await self._call_node(pool, "heartbeat", report)
            if answer == 200 and status["state"] == self.state:
                self.acknowledged_sequence = status["sequence"]

    async def _handle(self, req: HttpRequest, responder: HttpResponder) -> None:
        body = b""
        while (data := await req.receive()) is not None:
            body += data
        headers = {k.decode(): v.decode() for k, v in req.headers}
        self.requests.append(headers | {"path": req.target.decode()})
        request_id = headers.get("attempt-id", "")
        run = BackendRun(request_id, self.name, trio.current_time())
        self.runs.append(run)
        try:
            with trio.CancelScope() as scope:
                if self.drops_abandoned:
                    req.cancel_scope = scope
                await self._run(req, responder, len(body))
                run.answered = True
        finally:
            run.ended_at = trio.current_time()

    async def _run(
        self, req: HttpRequest, responder: HttpResponder, body_bytes: int
    ) -> None:
        run_s = self.run_time(req.target) if self.run_time else self.service_time_s
        status = self.status
        await trio.sleep(run_s / 2 if self.nested_call else run_s)
        if self.nested_call is not None:
            if not await self.nested_call(req.target):
                status = 500
            await trio.sleep(run_s / 2)
        if self.before_response is not None:
            request_id = (req.header(b"attempt-id") or b"").decode()
            await self.before_response(self, request_id)
        framing = ResponseFraming.LENGTH
        if self.response_framing is not None:
            framing = self.response_framing(req.target)
        text = f"{self.name} {body_bytes}".encode()
        fields = [(b"attempt-id", req.header(b"attempt-id") or b"")]
        if framing is ResponseFraming.LENGTH:
            fields.append((b"content-length", str(len(text)).encode()))
        await responder.start(status, fields, text)
        if framing is ResponseFraming.TWO_PARTS:
            await trio.sleep(0.1)
            await responder.send(b".")
        await responder.finish()


class HostedMesh:
    """Mesh of node processes; store and backend servers run in the test process."""

    def __init__(
        self, services: list[str], vm_limits: dict[str, float] | None = None
    ) -> None:
        self.block = LoopbackBlock()
        self.store_address = f"127.{self.block.number}.200.1"
        self.store = DocumentStandIn()
        self.services = services
        self.vm_limits = vm_limits or {}
        self.names = [f"vm-{i}" for i in range(len(services))]
        self.backends: dict[str, Backend] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="hosted"))
        self.version = 1
        self.more_paths: list[dict[str, Any]] = []
        self.more_bounds: list[str] = []
        self.more_of_services: dict[str, Any] = {}
        self.regions: dict[str, str] = {}  # By name of the VM; "r" if it is missing.
        self.limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 26,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }

    def address(self, name: str) -> str:
        return f"127.{self.block.number}.1.{int(name[3:]) + 1}"

    def write_settings(
        self, name: str, service: str, grace_s: float = GRACE_S
    ) -> pathlib.Path:
        address = self.address(name)
        value = {
            "node": name,
            "ip": address,
            "zone": f"z{int(name[3:]) % 2}",
            "region": self.regions.get(name, "r"),
            "listen": {
                "outbound": f"{address}:{CALLER_PORT}",
                "control": f"{address}:{CONTROL_PORT}",
                "ready": f"{address}:{READINESS_PORT}",
            },
            "internal_port_range": [PEER_PORT, PEER_PORT + 15],
            "heartbeat_ms": REPORT_INTERVAL_MS,
            "bounds": [f"grace_s={grace_s:g}", *self.more_bounds],
            "app_addr": f"{address}:{BACKEND_PORT}",
            "service": service,
            "limits": self.vm_limits,
            "platform": {"address": f"{self.store_address}:{STORE_PORT}"},
        }
        path = self.directory / f"{name}.json"
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(value))
        new_path.replace(path)
        return path

    def start_node(self, name: str) -> None:
        path = self.write_settings(name, self.services[int(name[3:])])
        with open(self.directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "marigoldchute.platform"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"MARIGOLDCHUTE_BOOT": str(path)},
            )

    def signal_node(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    def put_configuration(self, timeout_ms: int = 2000, prefix: str = "/a/") -> None:
        self.version += 3
        path = {
            "name": "r",
            "path_prefix": prefix,
            "route_kind": "non_idempotent",
            "timeout_ms": timeout_ms,
            "target_latency_ms": 1000,
            "priority": 1,
            "service": "turnos",
            "max_attempts": 2,
        }
        services = sorted({"turnos"} | {item["service"] for item in self.more_paths})
        self.store.put(
            "config",
            "main",
            {
                "version": f"{self.version:08x}",
                "services": [
                    {"name": n, "max_connections": 100, **self.more_of_services}
                    for n in services
                ],
                "limits": self.limits,
                "virtual_hosts": [{"host": HOST, "paths": [path, *self.more_paths]}],
            },
        )

    async def send_request(
        self,
        name: str,
        path: str = "/a/1",
        content: bytes = b"",
        request_id: str = "1",
        deadline_ms: int = 3000,
    ) -> httpcore.Response:
        """Send one request on a new connection."""
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                "POST",
                f"http://{self.address(name)}:{CALLER_PORT}{path}",
                headers={
                    "host": HOST,
                    "attempt-id": request_id,
                    "deadline-ms": str(deadline_ms),
                    "content-length": str(len(content)),
                },
                content=content,
            )

    async def is_ready(self, name: str) -> bool:
        url = f"http://{self.address(name)}:{READINESS_PORT}/api/readiness"
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                return (await pool.request("GET", url)).status == 200
            except (httpcore.ConnectError, httpcore.NetworkError):
                return False

    async def is_listening(self, name: str) -> bool:
        """Return whether the process accepts connections at its readiness address."""
        try:
            stream = await trio.open_tcp_stream(self.address(name), READINESS_PORT)
        except OSError:
            return False
        await stream.aclose()
        return True

    async def wait_until_serving(self, *names: str) -> None:
        """Wait until the named nodes are ready and respond to a request with 200."""
        with trio.fail_after(30):
            for name in names or self.names:
                while not await self.is_ready(name):
                    await trio.sleep(0.05)
                while (await self.send_request(name)).status != 200:
                    await trio.sleep(0.05)

    async def wait_for_exit(self, name: str) -> int:
        """Wait for a node process to exit and return its exit status."""
        with trio.fail_after(EXIT_TIMEOUT_S):
            while (status := self.processes[name].poll()) is None:
                await trio.sleep(0.05)
        return status

    def has_loaded(self, name: str, package: str) -> bool:
        """Return whether a node process has loaded a compiled module of a package."""
        pid = self.processes[name].pid
        return f"/{package}/" in pathlib.Path(f"/proc/{pid}/maps").read_text()

    def read_log(self, name: str) -> str:
        return (self.directory / f"{name}.log").read_text()

    def read_events(self, name: str) -> list[dict[str, Any]]:
        """Return the logged events of a node, named ``component:event``."""
        lines = [json.loads(line) for line in self.read_log(name).splitlines()]
        return [
            line | {"event": line["message_type"].removeprefix("marigoldchute:")}
            for line in lines
        ]

    def stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.block.release()


@contextlib.asynccontextmanager
async def hosted_mesh(
    *services: str,
    backend_type: type[Backend] = Backend,
    more_paths: tuple[dict[str, Any], ...] = (),
    more_bounds: tuple[str, ...] = (),
    more_of_services: dict[str, Any] | None = None,
    vm_limits: dict[str, float] | None = None,
    regions: dict[str, str] | None = None,
) -> AsyncIterator[HostedMesh]:
    """Run a mesh with one VM and one backend server for each named service."""
    mesh = HostedMesh(list(services), vm_limits)
    mesh.more_paths.extend(more_paths)
    mesh.more_bounds.extend(more_bounds)
    mesh.more_of_services.update(more_of_services or {})
    mesh.regions.update(regions or {})
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(mesh.store.serve, mesh.store_address, STORE_PORT)
            mesh.put_configuration()
            for name, service in zip(mesh.names, services, strict=True):
                backend = backend_type(f"i-{name}", service, mesh.address(name), "v1")
                mesh.backends[name] = backend
                await nursery.start(backend.run)
                mesh.start_node(name)
            yield mesh
            nursery.cancel_scope.cancel()
    finally:
        mesh.stop()
