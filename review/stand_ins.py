"""Stand-ins for the platform around a small deployment of nodes.

Only the standard library is used. Clients, backend servers, the store and the platform
follow the users' pages; each script starts the nodes with the command of the deploy
file and one settings file per node.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "lathe.example"
REGION = "cartago"
_WATCH = re.compile(rb"GET /api/objects/([^?/]+)\?watch=")
WATCH_MEMORY_S = 1.5  # Watches of these nodes end after a second.
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2500,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_ms": 2500,
    "rollback_slack_ms": 250,
    "partition_max_ms": 5000,
    "retry_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 56,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "rollback_ms": 5000,
    "recovery_s": 15,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 20000,
}


class NotRunError(Exception):
    """The case could not run; nothing is said about the rule."""


class Record:
    """Time line of a run, in seconds since its start, written to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line to the file and to the standard output."""
        self.write(text)
        print(text, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_response(status: int, body: bytes, *lines: str) -> bytes:
    """Encode a complete response."""
    head = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join([*head, "", ""]).encode("latin-1") + body


class HttpServerBase:
    """Server that calls ``handle`` for one request of a connection after the other."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, address: str, port: int) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, address, port)

    async def close(self) -> None:
        """Stop listening and drop every connection."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                response = await self._handle_unless_closed(
                    reader, method, target, head[1], body
                )
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _handle_unless_closed(
        self,
        reader: asyncio.StreamReader,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> bytes | None:
        """Drop a request when its connection ends, as most servers do."""
        handling = asyncio.ensure_future(self.handle(method, target, headers, body))
        try:
            while not handling.done():
                await asyncio.wait({handling}, timeout=0.02)
                if not handling.done() and reader.at_eof():
                    handling.cancel()
                    self.on_dropped(headers)
                    return None
        finally:
            if not handling.done():
                handling.cancel()
        return handling.result()

    def on_dropped(self, headers: dict[str, str]) -> None:
        """Handle a request that was dropped."""

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        """Return the encoded response."""
        raise NotImplementedError


class Store(HttpServerBase):
    """The platform's store: linearizable, sound and fast."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self._events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self.watch_starts: collections.Counter[tuple[str, str]] = collections.Counter()

    def put_spec(self, kind: str, name: str, spec: dict) -> int:
        """Write an object as the operator does; the return is the confirmation."""
        self._store(kind, name, spec=spec)
        return self.revision

    def status_of(self, kind: str, name: str) -> dict:
        """Return the status of an object, empty without one."""
        return (self.objects.get((kind, name)) or {}).get("status") or {}

    def _store(self, kind: str, name: str, **parts: object) -> dict:
        old = self.objects.get((kind, name))
        if old is not None and all(old[key] == value for key, value in parts.items()):
            return old
        self.revision += 1
        created = old["metadata"]["create_revision"] if old else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_revision": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": old["spec"] if old else None,
            "status": old["status"] if old else None,
        }
        item.update(parts)
        self.objects[(kind, name)] = item
        self._notify(kind, item, False)
        return item

    def _notify(self, kind: str, item: dict, deleted: bool) -> None:
        self._events.append((self.revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        """Serve one call."""
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and not name:
            items = [item for (k, _), item in sorted(self.objects.items()) if k == kind]
            return self._reply(200, {"items": items, "at": self.revision})
        if method == "GET":
            found = self.objects.get((kind, name))
            return self._reply(200 if found else 404, found or {})
        value = json.loads(body) if body else {}
        return self._write(method, kind, name, parts, value, query)

    def _write(
        self,
        method: str,
        kind: str,
        name: str,
        parts: list[str],
        value: dict,
        query: dict[str, str],
    ) -> bytes:
        metadata = value.get("metadata", {})
        name = name or metadata["name"]
        old = self.objects.get((kind, name))
        expected = metadata.get("revision") or int(query.get("revision", "0"))
        self._record.write(f"store: {method} {'/'.join(parts)} {json.dumps(value)}")
        if method == "POST":
            if old is not None:
                return self._reply(409, old)
            return self._reply(201, self._store(kind, name, spec=value.get("spec")))
        if old is None:
            return self._reply(404, {})
        if expected and expected != old["metadata"]["revision"]:
            return self._reply(409, old)
        if method == "DELETE":
            self.revision += 1
            del self.objects[(kind, name)]
            self._notify(kind, old, True)
            return self._reply(200, old)
        part = "status" if parts[-1] == "status" and len(parts) == 3 else "spec"
        return self._reply(200, self._store(kind, name, **{part: value.get(part)}))

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        after = int(query["watch"])
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        self.watch_starts[(kind, query["watch"])] += 1
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self._events
                if revision > after and k == kind
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return self._reply(200, {"events": events, "at": self.revision})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining_s)

    def _reply(self, status: int, value: dict) -> bytes:
        return encode_response(
            status, json.dumps(value).encode(), "Content-Type: application/json"
        )


class Link:
    """Proxy before the store for one machine; ``cut`` silences every connection."""

    def __init__(self, store_address: str, store_port: int) -> None:
        self._target = (store_address, store_port)
        self.cut = False
        # Time of the latest watch of each kind.
        self.watched_at: dict[str, float] = {}
        self._healed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, address: str, port: int) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, address, port)

    async def close(self) -> None:
        """Stop listening and drop every connection."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    @property
    def watches(self) -> bool:
        """Whether the machine has sent a watch to the store lately."""
        latest = max(self.watched_at.values(), default=float("-inf"))
        return time.monotonic() - latest < WATCH_MEMORY_S

    def set_cut(self, cut: bool) -> None:
        """Hold back all bytes of both directions, or let them pass again."""
        self.cut = cut
        if not cut:
            self._healed.set()
            self._healed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while self.cut:
                await self._healed.wait()
            back_reader, back_writer = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._copy(reader, back_writer), self._copy(back_reader, writer)
            )
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if found := _WATCH.match(data):
                    self.watched_at[found[1].decode()] = time.monotonic()
                while self.cut:
                    await self._healed.wait()
                writer.write(data)
                await writer.drain()
            writer.close()


class Upstream(HttpServerBase):
    """Backend server of one machine: runs requests and sends status reports."""

    def __init__(
        self, record: Record, node: NodeProcess, service: str, version: str = "v1"
    ) -> None:
        super().__init__()
        self._record = record
        self.node = node
        self.service = service
        self.version = version
        self.instance = f"i-{secrets.token_hex(4)}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.slots = node.deployment.slots
        self.work_s = 0.16
        self.fail_share = 0.0
        self.reports = True
        self.running = 0
        # Time, id, path and caller's service of each request that was run.
        self.runs: list[tuple[float, str, str, str]] = []
        self.ended_at: dict[str, float] = {}
        self.dropped: dict[str, float] = {}
        self._reporting: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and begin to report."""
        await self.listen(self.node.address, self.node.app_port)
        self._reporting = asyncio.ensure_future(self._report_periodically())

    async def stop(self) -> None:
        """End the server."""
        if self._reporting is not None:
            self._reporting.cancel()
        await self.close()

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        """Run one request."""
        request_id = headers.get("attempt-id", "")
        echo = f"Attempt-Id: {request_id}"
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            return encode_response(status, b"", f"Instance-Id: {self.instance}")
        if not request_id:
            return encode_response(400, b"", "Not-Executed: 1")
        expected = headers.get("expected-instance", self.instance)
        if expected != self.instance:
            return encode_response(421, b"", echo, "Not-Executed: 1")
        if self.running >= self.slots:
            return encode_response(503, b"", echo, "Not-Executed: 1")
        now = self._record.now()
        caller = headers.get("caller-service", "")
        self.runs.append((now, request_id, target, caller))
        self._record.write(
            f"{self.node.name} {self.instance}: runs {request_id}, a call of {caller}"
        )
        self.running += 1
        try:
            work_ms = urllib.parse.parse_qs(urllib.parse.urlsplit(target).query)
            await asyncio.sleep(
                float(work_ms["work_ms"][0]) / 1000
                if "work_ms" in work_ms
                else self.work_s
            )
        finally:
            self.running -= 1
        self.ended_at[request_id] = self._record.now()
        failed = random.random() < self.fail_share
        text = f"{self.instance} {request_id} {len(body)}".encode()
        signature = f"Server-Signature: {self.instance}.{request_id}"
        return encode_response(500 if failed else 200, text, echo, signature)

    def on_dropped(self, headers: dict[str, str]) -> None:
        """Note that the connection of a running request was closed."""
        request_id = headers.get("attempt-id", "")
        self.dropped[request_id] = self._record.now()
        self._record.write(f"{self.node.name} {self.instance}: drops {request_id}")

    def make_report(self) -> dict:
        """Return the next status report."""
        self.sequence += 1
        return {
            "address": f"{self.node.address}:{self.node.app_port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": self.node.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "warmup_left_ms": 0,
            },
        }

    async def call_node(self, operation: str, value: dict) -> bool:
        """Call the control address; return whether it was acknowledged."""
        path = f"/api/instances/{self.instance}/{operation}"
        body = json.dumps(value).encode()
        try:
            status, _ = await asyncio.wait_for(
                call(self.node.address, self.node.control_port, "POST", path, body), 1.0
            )
        except OSError:
            return False
        return 200 <= status < 300

    async def _report_periodically(self) -> None:
        while True:
            if self.reports:
                await self.call_node("heartbeat", self.make_report())
            await asyncio.sleep(self.node.heartbeat_ms / 1000)


async def call(
    address: str, port: int, method: str, path: str, body: bytes = b""
) -> tuple[int, bytes]:
    """Make one HTTP call on a connection of its own."""
    reader, writer = await asyncio.open_connection(address, port)
    try:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        answer = await read_head(reader)
        if answer is None:
            raise ConnectionResetError("connection closed without a response")
        return int(answer[0].split()[1]), await read_body(reader, answer[1])
    finally:
        writer.close()


class NodeProcess:
    """One node, started as the deploy file says, and its machine's addresses."""

    def __init__(self, deployment: Deployment, index: int, zone: str, service: str):
        self.deployment = deployment
        self.zone = zone
        self.service = service
        self.name = f"sidecar-{zone}-{index + 1}"
        self.address = f"127.{deployment.block}.1.{index + 1}"
        self.store_address = f"127.{deployment.block}.2.{index + 1}"
        self.outbound_port, self.control_port, self.ready_port = 8629, 8620, 8625
        self.inbound_port, self.app_port, self.store_port = 8624, 8628, 8627
        self.heartbeat_ms = deployment.heartbeat_ms
        self.link = Link(deployment.store_address, self.store_port)
        self.started_at = 0.0
        self.process: subprocess.Popen[bytes] | None = None
        self.misses = 0

    @property
    def takes_new_work(self) -> bool:
        """Whether requesters of this machine get new work."""
        peers = [n for n in self.deployment.nodes if n.zone == self.zone]
        present = sum(node.misses < 2 for node in peers)
        return self.misses < 2 or 2 * present < len(peers)

    def settings(self) -> dict:
        """Return the settings, as the platform writes them."""
        names = {
            "inbound": self.inbound_port,
            "outbound": self.outbound_port,
            "ready": self.ready_port,
            "control": self.control_port,
        }
        zones = sorted({node.zone for node in self.deployment.nodes})
        return {
            "node": self.name,
            "role": "node",
            "instance_class": "sidecar",
            "serves": ["sidecar"],
            "ip": self.address,
            "zone": self.zone,
            "region": REGION,
            "zones": dict.fromkeys(zones, REGION),
            "listen": {name: f"{self.address}:{port}" for name, port in names.items()},
            "internal_port_range": [7600, 7615],
            "seeds": [],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": {"cpu_share": 0.86, "cores": 1, "memory_mb": 300},
            "data_dir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeat_ms": self.heartbeat_ms,
            "contracts": ["base", "drain", "config", "retry", "recover", "rollout"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": [f"{name}={value}" for name, value in BOUNDS.items()],
            "app_addr": f"{self.address}:{self.app_port}",
            "service": self.service,
            "platform": {
                "address": f"{self.store_address}:{self.store_port}",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1_048_576,
                "ttl_min_ms": 1000,
            },
        }

    def write_settings(self) -> pathlib.Path:
        """Replace the settings file; return its path."""
        path = self.deployment.folder / f"{self.name}.json"
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(self.settings()))
        new_path.replace(path)
        return path

    def start(self) -> None:
        """Start the process with the present settings."""
        folder = self.deployment.folder
        path = self.write_settings()
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["MARIGOLDCHUTE_BOOT"] = str(path)
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                self.deployment.command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.started_at = self.deployment.record.now()
        self.deployment.record.write(f"platform: starts {self.name}")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.deployment.record.write(
            f"platform: {signal.Signals(number).name} to {self.name}"
        )
        self.process.send_signal(number)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Wait for the end of the process; return whether it has ended."""
        assert self.process is not None
        deadline = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        return self.process.poll() is not None

    async def is_ready(self) -> bool:
        """Ask the readiness address once."""
        with contextlib.suppress(OSError):
            status, _ = await asyncio.wait_for(
                call(self.address, self.ready_port, "GET", "/api/readiness"), 0.9
            )
            return status == 200
        return False


# Last three parts of the addresses, and ports, on which a deployment listens.
_LISTENED = [
    *((f"1.{i}", port) for i in range(1, 7) for port in (8620, 8624, 8625, 8628, 8629)),
    *((f"1.{i}", port) for i in range(1, 7) for port in (7600, 9464)),
    *((f"2.{i}", 8627) for i in range(1, 7)),
    ("3.1", 8627),
]


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((address, port))
        except OSError:
            return False
    return True


class Deployment:
    """Nodes with their backend servers, the store, and the platform's readiness checks.

    Parameters
    ----------
    record : Record
        Time line of the run.
    layout : list of (str, str)
        Zone and service of each machine.
    heartbeat_ms : int
        Time between two status reports of a backend server.
    slots : int
        Requests that a backend server runs at the same time.
    """

    def __init__(
        self,
        record: Record,
        layout: list[tuple[str, str]],
        heartbeat_ms: int = 1500,
        slots: int = 12,
    ) -> None:
        self.slots = slots
        self.record = record
        self.heartbeat_ms = heartbeat_ms
        self.block = self._free_block()
        self.store_address = f"127.{self.block}.3.1"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self.command = role["run"].split()
        self.store = Store(record)
        self.nodes: list[NodeProcess] = []
        for index, (zone, service) in enumerate(layout):
            self.nodes.append(NodeProcess(self, index, zone, service))
        self.upstreams: list[Upstream] = []
        self._polling: asyncio.Task | None = None

    def _free_block(self) -> int:
        for _ in range(50):
            block = random.randint(20, 220)
            if all(_is_free(f"127.{block}.{part}", port) for part, port in _LISTENED):
                return block
        raise NotRunError("no free loopback addresses")

    async def start(self, config: dict) -> None:
        """Start everything and wait until each node serves."""
        if not (ROOT / "target" / "deps").is_dir():
            raise NotRunError("target/deps is missing: run the deploy file's build")
        await self.store.listen(self.store_address, 8627)
        self.store.put_spec("config", "main", config)
        for node in self.nodes:
            await node.link.listen(node.store_address, node.store_port)
            upstream = Upstream(self.record, node, node.service)
            self.upstreams.append(upstream)
            await upstream.start()
            node.start()
        deadline = time.monotonic() + 20
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > deadline:
                    raise NotRunError(f"{node.name} did not become ready")
                await asyncio.sleep(0.05)
        self._polling = asyncio.ensure_future(self._poll_readiness())

    async def _poll_readiness(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for node in self.nodes:
                ready = await node.is_ready()
                node.misses = 0 if ready else node.misses + 1

    async def close(self) -> None:
        """End every process and server."""
        if self._polling is not None:
            self._polling.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for upstream in self.upstreams:
            await upstream.stop()
        for node in self.nodes:
            await node.link.close()
        await self.store.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(
    name: str, prefix: str, service: str, kind: str = "idempotent", **fields: object
) -> dict:
    """Return a route of a configuration."""
    value = {
        "name": name,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 3000,
        "max_attempts": 2,
        "priority": 1,
        "target_latency_ms": 800,
        "service": service,
    }
    return value | fields


def configuration(version: int, services: list[str], routes: list[dict]) -> dict:
    """Return a configuration as the operator writes it."""
    return {
        "version": f"{version:08x}",
        "services": [{"name": name, "max_connections": 110} for name in services],
        "virtual_hosts": [{"host": HOST, "paths": routes}],
        "limits": LIMITS,
    }


class Answer:
    """What a requester saw of one attempt.

    Parameters
    ----------
    status : int
        Status of the complete response; 0 when the connection ended without one.
    """

    def __init__(self, request_id: str, status: int, sent_at: float, ended_at: float):
        self.request_id = request_id
        self.status = status
        self.sent_at = sent_at
        self.ended_at = ended_at
        self.headers: dict[str, str] = {}
        self.refused_connection = False
        self.timed_out = False


async def send_request(
    record: Record,
    node: NodeProcess,
    method: str,
    path: str,
    deadline_ms: int,
    body: bytes = b"",
) -> Answer:
    """Send one attempt on a new connection and wait until the deadline at most."""
    request_id = secrets.token_hex(8)
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(node.address, node.outbound_port), 1.0
        )
    except OSError:
        answer = Answer(request_id, 0, record.now(), record.now())
        answer.refused_connection = True
        record.write(f"client: {request_id} is not sent, no connection to {node.name}")
        return answer
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    )
    writer.write(head.encode() + body)
    sent_at = record.now()
    answer = Answer(request_id, 0, sent_at, sent_at)
    record.write(f"client: sends {request_id} {method} {path} to {node.name}")
    with contextlib.suppress(OSError, EOFError):
        async with asyncio.timeout(deadline_ms / 1000):
            found = await read_head(reader)
            if found is not None:
                await read_body(reader, found[1])
                answer.status = int(found[0].split()[1])
                answer.headers = found[1]
    answer.ended_at = record.now()
    answer.timed_out = answer.ended_at - sent_at >= deadline_ms / 1000
    writer.close()
    record.write(f"client: {request_id} ended with {answer.status or 'no answer'}")
    return answer


def run_case(folder: str, case, limit_s: float = 110.0) -> None:
    """Run a case and exit with its result.

    Parameters
    ----------
    folder : str
        Path of a file in the folder of the case.
    case : coroutine function
        Called with the record and with whether the disruption happens; returns whether
        the rule held.
    """
    record = Record(pathlib.Path(folder).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # Ends the processes of the run also when the run itself is stopped.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        held = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as exc:
        record.say(f"the case could not run: {exc!r}")
        sys.exit(EXIT_NOT_RUN)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
