"""Stand-ins of the second review: store, upstreams, callers and node processes.

Everything runs on loopback addresses. The stand-ins follow the users' pages; what a
page leaves open they do as a sound store, upstream or caller does. Only the standard
library is used, so that nothing has to be built.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import resource
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any, TextIO

ROOT = pathlib.Path(__file__).resolve().parent.parent
STORE_PORT, OUTBOUND_PORT, CONTROL_PORT, READY_PORT, APP_PORT = range(8620, 8625)
PEER_PORTS = [7600, 7615]
HEARTBEAT_MS = 1500
GRACE_S = 6.0
RESERVATION_PORT = 9998
CANNOT_RUN = 2
# How the task of a connection ends, also at the end of the script.
CONN_ENDS = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
HOST = "h.example"
BOUNDS = {
    "seed_lag_s": "3",
    "reuse_after_s": "2",
    "stable_window_ms": "4000",
    "ack_ms": "4000",
    "catch_up_s": "4",
    "drain_ms": "2500",
    "grace_s": f"{GRACE_S:g}",
    "loss_slack_ms": "200",
    "config_ms": "2500",
    "rollback_slack_ms": "250",
    "partition_max_ms": "5000",
    "retry_ratio": "0.2",
    "budget_window_s": "10",
    "retry_slack": "56",
    "exposure_share": "0.1",
    "exposure_slack": "50",
    "rollback_ms": "5000",
    "recovery_s": "15",
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1 << 26,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
VM_LIMITS = {
    "cpu_share": 0.86,
    "cores": 1,
    "memory_mb": 300,
    "max_fds": 4100,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        path = folder / "record.txt"
        self._file: TextIO = path.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclasses.dataclass
class Message:
    """Head and body of one HTTP/1.1 message.

    Parameters
    ----------
    first : str
        Request line or status line.
    headers : dict of str to str
        Values by lower-case name.
    body : bytes
        Body.
    """

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return Message(first, {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body with a length or in chunks."""
    if message.headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(message.headers.get("content-length", "0")))


def encode_response(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store, as far as the nodes use it."""

    def __init__(self) -> None:
        self._kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._revision = 1
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator does."""
        item = self._kinds.setdefault(kind, {}).get(name)
        if item is None:
            self._create(kind, name, spec)
        else:
            self._change(kind, item, {"spec": spec})

    def status_of(self, kind: str, name: str) -> Any:
        """Return the status of an object, None without one."""
        item = self._kinds.get(kind, {}).get(name)
        return None if item is None else item["status"]

    def _create(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        metadata = {"name": name, "finalizers": [], "deleting": False}
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._kinds.setdefault(kind, {})[name] = item
        self._change(kind, item, {})
        item["metadata"]["create_revision"] = self._revision
        return item

    def _change(
        self, kind: str, item: dict[str, Any], values: dict[str, Any], deleted=False
    ) -> None:
        if not deleted and values and all(item[k] == v for k, v in values.items()):
            return  # Changes nothing.
        self._revision += 1
        item.update(values)
        item["metadata"]["revision"] = self._revision
        event = {"object": json.loads(json.dumps(item)), "deleted": deleted}
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, address: str) -> asyncio.Server:
        """Serve on an address."""
        return await asyncio.start_server(self._serve_conn, address, STORE_PORT)

    async def _serve_conn(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*CONN_ENDS):
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(reader, request)
                status, value = await self._handle(request)
                body = json.dumps(value).encode()
                headers = {"content-type": "application/json"}
                writer.write(encode_response(status, body, headers))
                await writer.drain()
        writer.close()

    async def _handle(self, request: Message) -> tuple[int, Any]:
        method, target, _ = request.first.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        parts = [urllib.parse.unquote(part) for part in path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and not name:
            return await self._list(kind, query)
        content = json.loads(request.body) if request.body else {}
        if method == "POST":
            name = content["metadata"]["name"]
            if name in self._kinds.get(kind, {}):
                return 409, self._kinds[kind][name]
            return 200, self._create(kind, name, content.get("spec"))
        item = self._kinds.get(kind, {}).get(name)
        if item is None:
            return 404, {"error": "not found"}
        if method == "GET":
            return 200, item
        expected = content.get("metadata", {}).get("revision", query.get("revision"))
        if expected is not None and int(expected) != item["metadata"]["revision"]:
            return 409, item
        if method == "DELETE":
            del self._kinds[kind][name]
            self._change(kind, item, {}, deleted=True)
        elif parts[2:] == ["status"]:
            self._change(kind, item, {"status": content.get("status")})
        else:
            self._change(kind, item, {"spec": content.get("spec")})
        return 200, item

    async def _list(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        if "watch" not in query:
            items = sorted(
                self._kinds.get(kind, {}).values(), key=lambda i: i["metadata"]["name"]
            )
            return 200, {"items": items, "more": False, "at": self._revision}
        since, ends_at = (
            int(query["watch"]),
            time.monotonic() + int(query.get("wait_ms", "0")) / 1000,
        )
        while True:
            events = [e for r, k, e in self._events if r > since and k == kind]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


@dataclasses.dataclass
class Run:
    """One run of a request at an upstream.

    Parameters
    ----------
    request_id : str
        Its ``Attempt-Id``.
    upstream : str
        Id of the upstream.
    tenant : str
        Its ``Tenant-Id``, empty without one.
    began_at, ended_at : float
        Times; infinity while it runs.
    status : int
        Status that was answered; 0 while it runs or after it was dropped.
    """

    request_id: str
    upstream: str
    tenant: str
    began_at: float
    ended_at: float = float("inf")
    status: int = 0


Work = Callable[[Message], Awaitable[int]]


class Upstream:
    """An application upstream beside a node.

    It runs ``slots`` requests, queues as many and rejects what is beyond that. If it
    ``drops``, as most do, it drops a request when its connection closes.
    """

    def __init__(
        self,
        record: Record,
        service: str,
        address: str,
        zone: str,
        work: Work,
        drops: bool = True,
        version: str = "v1",
        slots: int = 12,
    ) -> None:
        self.instance = f"i-{secrets.token_hex(5)}"
        self.runs: list[Run] = []
        self.address = address
        self._record = record
        self._service = service
        self._zone = zone
        self._work = work
        self._drops = drops
        self._version = version
        self._slots = slots
        self._room = asyncio.Semaphore(slots)
        self._waiting = 0
        self._born = int(time.time() * 1000)
        self._sequence = 0

    async def serve(self) -> asyncio.Server:
        """Serve requests and send heartbeats."""
        self._beats = asyncio.create_task(self._send_beats())
        return await asyncio.start_server(
            self._serve_conn, self.address, APP_PORT, limit=1 << 20
        )

    async def _send_beats(self) -> None:
        while True:
            self._sequence += 1
            body = {
                "address": f"{self.address}:{APP_PORT}",
                "info": {
                    "service": self._service,
                    "version": self._version,
                    "zone": self._zone,
                    "slots": self._slots,
                },
                "status": {
                    "state": "ready",
                    "sequence": self._sequence,
                    "warmup_left_ms": 0,
                },
                "born": self._born,
            }
            with contextlib.suppress(OSError, TimeoutError):
                await send_json(
                    self.address,
                    CONTROL_PORT,
                    f"/api/instances/{self.instance}/heartbeat",
                    body,
                )
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve_conn(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*CONN_ENDS):
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(reader, request)
                if not await self._serve_request(request, reader, writer):
                    break
        writer.close()

    async def _serve_request(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = request.headers.get("attempt-id", "")
        headers = {"Attempt-Id": request_id, "Instance-Id": self.instance}
        expected = request.headers.get("expected-instance", self.instance)
        if expected != self.instance or self._waiting >= 2 * self._slots:
            status = 421 if expected != self.instance else 503
            writer.write(encode_response(status, b"", headers | {"Not-Executed": "1"}))
            await writer.drain()
            return True
        work = asyncio.create_task(self._run(request, request_id))
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():  # The connection was closed.
            if self._drops:
                work.cancel()
            await asyncio.wait((work,))
            return False
        headers["Server-Signature"] = f"{self.instance}.{request_id}"
        text = f"{request_id} {len(request.body)}".encode()
        writer.write(encode_response(work.result(), text, headers))
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        await writer.drain()
        return True

    async def _run(self, request: Message, request_id: str) -> int:
        self._waiting += 1
        try:
            async with self._room:
                tenant = request.headers.get("tenant-id", "")
                run = Run(request_id, self.instance, tenant, self._record.now())
                self.runs.append(run)
                text = f"{self.instance} runs {request_id}"
                self._record.write(text + (f" of tenant {tenant}" if tenant else ""))
                try:
                    run.status = await self._work(request)
                finally:
                    run.ended_at = self._record.now()
                return run.status
        finally:
            self._waiting -= 1


async def send_json(
    address: str, port: int, path: str, value: Any, timeout_s: float = 1.0
) -> int:
    """Call a node's own interface with POST; return the status."""
    body = json.dumps(value).encode()
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(address, port)
        try:
            head = (
                f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: "
                f"{len(body)}\r\nContent-Type: application/json\r\n\r\n"
            )
            writer.write(head.encode() + body)
            response = await read_head(reader)
            return 0 if response is None else response.status
        finally:
            writer.close()


async def request(
    address: str, target: str, headers: dict[str, str], method: str = "GET"
) -> Message | None:
    """Send a request without a body on a new connection; None without an answer."""
    reader, writer = await asyncio.open_connection(address, OUTBOUND_PORT)
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        response = await read_head(reader)
        if response is not None:
            response.body = await read_body(reader, response)
        return response
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


async def is_ready(address: str) -> bool:
    """Ask a node whether it is ready, as the platform does."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(address, READY_PORT)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            response = await read_head(reader)
            writer.close()
            return response is not None and response.status == 200
    except (OSError, TimeoutError):
        return False


@dataclasses.dataclass(frozen=True)
class Vm:
    """A machine of the deployment.

    Parameters
    ----------
    name, zone, service : str
        Its name, its zone and the service of its upstream.
    address : str
        Loopback address.
    """

    name: str
    zone: str
    service: str
    address: str


class Deployment:
    """Node processes, the store and the machines' addresses.

    Parameters
    ----------
    record : Record
        Record of the case.
    services : list of str
        Service of the upstream of each machine.
    bounds : dict of str to str
        Bounds that differ from those of the small sites.
    """

    def __init__(
        self, record: Record, services: list[str], bounds: dict[str, str] | None = None
    ) -> None:
        self.record = record
        self._bounds = {**BOUNDS, **(bounds or {})}
        self.store = Store()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._reservation, block = _reserve_block()
        self.store_address = f"127.{block}.200.1"
        self.vms = [
            Vm(f"sidecar-{i + 1}", f"z{i % 2}", s, f"127.{block}.1.{i + 1}")
            for i, s in enumerate(services)
        ]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review"))
        self._servers: list[asyncio.Server] = []

    async def start(
        self,
        work: dict[str, Work],
        config: dict[str, Any],
        keeps_runs: tuple[str, ...] = (),
    ) -> None:
        """Start store, upstreams and nodes, and wait until all nodes are ready.

        Parameters
        ----------
        work : dict of str to callable
            What the upstreams of each service do.
        config : dict of str to object
            First configuration.
        keeps_runs : tuple of str
            Services whose upstreams go on with a request when its connection closes.
        """
        self.store.put("config", "main", config)
        self._servers.append(await self.store.serve(self.store_address))
        self.upstreams = {
            vm.name: Upstream(
                self.record,
                vm.service,
                vm.address,
                vm.zone,
                work[vm.service],
                vm.service not in keeps_runs,
            )
            for vm in self.vms
        }
        for upstream in self.upstreams.values():
            self._servers.append(await upstream.serve())
        for vm in self.vms:
            self.start_node(vm)
        async with asyncio.timeout(30):
            for vm in self.vms:
                while not await is_ready(vm.address):
                    await asyncio.sleep(0.1)

    def start_node(self, vm: Vm) -> None:
        """Start the node of a machine with the command of the deploy file."""
        path = self.folder / f"{vm.name}.json"
        path.write_text(json.dumps(self._settings(vm)))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        command = role["run"].split(" ")
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "MARIGOLDCHUTE_BOOT": str(path),
        }
        with open(self.folder / f"{vm.name}.log", "ab") as log:
            self.processes[vm.name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"node of {vm.name} started")

    def kill_node(self, vm: Vm) -> None:
        """Kill the node of a machine."""
        process = self.processes[vm.name]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record.write(f"node of {vm.name} killed")

    def _settings(self, vm: Vm) -> dict[str, Any]:
        return {
            "node": vm.name,
            "role": "node",
            "instance_class": "sidecar",
            "serves": ["sidecar"],
            "ip": vm.address,
            "zone": vm.zone,
            "region": "r",
            "zones": {other.zone: "r" for other in self.vms},
            "listen": {
                "outbound": f"{vm.address}:{OUTBOUND_PORT}",
                "inbound": f"{vm.address}:{APP_PORT + 1}",
                "ready": f"{vm.address}:{READY_PORT}",
                "control": f"{vm.address}:{CONTROL_PORT}",
            },
            "internal_port_range": PEER_PORTS,
            "seeds": [],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": VM_LIMITS,
            "data_dir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeat_ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": [f"{name}={value}" for name, value in self._bounds.items()],
            "app_addr": f"{vm.address}:{APP_PORT}",
            "service": vm.service,
            "platform": {
                "address": f"{self.store_address}:{STORE_PORT}",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }

    def stop(self) -> None:
        """End all processes and servers."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self._servers:
            server.close()
        self._reservation.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def require_descriptors(count: int) -> None:
    """Allow this process and those that it starts to open a number of files.

    Raises
    ------
    OSError
        The limit of this process cannot be raised so far.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= count:
        return
    if hard != resource.RLIM_INFINITY and hard < count:
        raise OSError(f"a process may open only {hard} files, {count} are needed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


class Crowd:
    """Processes of many callers of one node; ended at the end of a ``with`` block.

    Parameters
    ----------
    script : pathlib.Path
        Program of the callers; gets address, port, host and number of callers.
    vm : Vm
        Machine whose node they call.
    processes, callers : int
        Number of processes, and of callers in each.
    """

    def __init__(
        self, script: pathlib.Path, vm: Vm, processes: int, callers: int
    ) -> None:
        arguments = [str(script), vm.address, str(OUTBOUND_PORT), HOST, str(callers)]
        self._command = ["python3", *arguments]
        self._count = processes
        self._processes: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> Crowd:
        """Start the processes."""
        self._processes = [subprocess.Popen(self._command) for _ in range(self._count)]
        return self

    def __exit__(self, *error: object) -> None:
        """End the processes."""
        for process in self._processes:
            process.kill()
            process.wait()


def _reserve_block() -> tuple[socket.socket, int]:
    for block in range(2, 10):
        sock = socket.socket()
        try:
            sock.bind((f"127.{block}.254.254", RESERVATION_PORT))
        except OSError:
            sock.close()
            continue
        return sock, block
    raise OSError("no free loopback addresses")


def make_config(
    routes: list[dict[str, Any]],
    services: list[str],
    version: int = 7,
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Return a configuration of the platform, with tenants if there are any."""
    return {
        "version": f"{version:08x}",
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 110}
            for name in services
        ],
        "limits": LIMITS,
        "virtual_hosts": [{"host": HOST, "paths": routes}],
        **({"tenants": tenants} if tenants else {}),
    }


def make_route(
    name: str, prefix: str, kind: str, service: str, timeout_ms: int, priority: int = 1
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 800,
        "priority": priority,
        "service": service,
        "max_attempts": 2,
    }


def run_case(
    folder: pathlib.Path,
    services: list[str],
    scenario: Callable[[Deployment, bool], Awaitable[str]],
    bounds: dict[str, str] | None = None,
) -> int:
    """Run a case; return 1 if its rule was broken, 0 if it held, 2 if it couldn't run.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case.
    services : list of str
        Service of the upstream of each machine.
    scenario : callable
        Gets the deployment and whether the disruption is wanted; returns how the rule
        was broken, empty if it held.
    bounds : dict of str to str, optional
        Bounds that differ from those of the small sites.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # To end the processes.
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE") != "0"

    async def main() -> str:
        deployment = Deployment(record, services, bounds)
        try:
            async with asyncio.timeout(110):
                return await scenario(deployment, has_trouble)
        finally:
            deployment.stop()

    try:
        broken = asyncio.run(main())
    except Exception as exc:  # An error of the script is no broken rule.
        record.write(f"the case could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        record.close()
        return CANNOT_RUN
    record.write(f"rule broken: {broken}" if broken else "the rule held")
    record.close()
    return 1 if broken else 0
