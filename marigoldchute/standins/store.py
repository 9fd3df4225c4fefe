"""In-memory stand-in for the platform's object API, with configurable faults."""

from __future__ import annotations

import base64
import dataclasses
import json
import urllib.parse
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from marigoldchute.util.asgi import read_body, send_response, serve_app, serve_lifespan

if TYPE_CHECKING:
    from marigoldchute.util.asgi import Receive, Scope, Send

MAX_VALUE_BYTES = 1_000_000
MAX_WRITES_PER_S = 500
MAX_READS_PER_S = 2000

ObjectEntry = tuple[str, bytes | None, int]


@dataclasses.dataclass(frozen=True)
class StoreFaults:
    """Faults of the stand-in, applied until they are replaced.

    Parameters
    ----------
    down : bool
        Respond to every call with status 503.
    delay_ms : int
        Delay before each call is processed.
    lose_replies : int
        Number of next writes that take effect, but whose response is cut off.
    lose_requests : int
        Number of next writes whose connection is cut before they take effect.
    stale_revisions : int
        Serve reads from the state this many revisions before the fault was set.
    compact : bool
        Compact the log once, up to the current revision; watches from earlier revisions
        get status 410.
    cut_answers : int
        Number of next reads whose JSON is cut in half.
    corrupt_values : int
        Number of next objects read whose value has one byte altered.
    truncate_values : int
        Number of next objects read whose value lacks its second half.
    """

    down: bool = False
    delay_ms: int = 0
    lose_replies: int = 0
    lose_requests: int = 0
    stale_revisions: int = 0
    compact: bool = False
    cut_answers: int = 0
    corrupt_values: int = 0
    truncate_values: int = 0


@dataclasses.dataclass
class CallCounts:
    """Counts of calls since the store started.

    Parameters
    ----------
    read, write : int
        Number of calls by kind; each request of a watch counts as a read.
    watch : int
        Number of reads that were watches.
    refused : int
        Number of calls refused by a rate limit.
    peak_reads_per_s, peak_writes_per_s : int
        Highest number of calls in one second, including refused ones.
    """

    read: int = 0
    write: int = 0
    watch: int = 0
    refused: int = 0
    peak_reads_per_s: int = 0
    peak_writes_per_s: int = 0


class CallMeter:
    """Counts calls and refuses those above the rate limits."""

    def __init__(self) -> None:
        self.counts = CallCounts()
        self._current_second = 0
        self._reads = 0
        self._writes = 0

    def admit(self, write: bool, watch: bool, now_s: float) -> bool:
        """Count a call and return whether the rate limits allow it."""
        if int(now_s) != self._current_second:
            self._current_second, self._reads, self._writes = int(now_s), 0, 0
        self._reads += not write
        self._writes += write
        counts = self.counts
        counts.read += not write
        counts.write += write
        counts.watch += watch
        counts.peak_reads_per_s = max(counts.peak_reads_per_s, self._reads)
        counts.peak_writes_per_s = max(counts.peak_writes_per_s, self._writes)
        if self._reads > MAX_READS_PER_S or self._writes > MAX_WRITES_PER_S:
            counts.refused += 1
            return False
        return True


class Store:
    """Objects with store-wide revisions and long-polling watches."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.meter = CallMeter()
        self._objects: dict[str, tuple[bytes, int]] = {}
        self._log: list[ObjectEntry] = []
        self._compacted_revision = 0
        self._stale_snapshot: Store | None = None
        self._change_event = trio.Event()

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._log[-1][2] if self._log else 0

    @property
    def read_view(self) -> Store:
        """Store that serves reads: this one, or a snapshot with ``stale_revisions``."""
        return self._stale_snapshot if self._stale_snapshot is not None else self

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the faults and apply ``stale_revisions`` and ``compact``."""
        self.faults = faults
        self._stale_snapshot = None
        if faults.stale_revisions:
            self._stale_snapshot = self._snapshot_at(
                self.revision - faults.stale_revisions
            )
        if faults.compact:
            self._compacted_revision = self.revision
        self._notify_watches()

    def consume_fault(self, name: str) -> bool:
        """Use up one occurrence of a counted fault; return whether one was left."""
        remaining = getattr(self.faults, name)
        if remaining <= 0:
            return False
        self.faults = dataclasses.replace(self.faults, **{name: remaining - 1})
        return True

    def get(self, key: str) -> tuple[bytes, int] | None:
        """Return value and revision of an object, or None if it does not exist."""
        return self._objects.get(key)

    def list_objects(self, prefix: str) -> list[ObjectEntry]:
        """Return key, value and revision of the objects under a prefix."""
        return [
            (key, *self._objects[key])
            for key in sorted(self._objects)
            if key.startswith(prefix)
        ]

    def write(self, key: str, value: bytes | None, expected: int) -> int | None:
        """Write or delete an object; return the revision, or None on a conflict."""
        current = self._objects.get(key)
        if (current[1] if current else 0) != expected:
            return None
        self._apply_write(key, value, self.revision + 1)
        self._notify_watches()
        return self.revision

    async def wait_for_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[ObjectEntry], int] | None:
        """Wait for changes under a prefix; return None if the log was compacted."""
        with trio.move_on_after(wait_s):
            while not self.read_view.has_changed(prefix, after):
                await self._change_event.wait()
        view = self.read_view
        if after < self._compacted_revision:
            return None
        return view.changes_since(prefix, after), view.revision

    def has_changed(self, prefix: str, after: int) -> bool:
        """Return whether a watch from a revision has a result."""
        return after < self._compacted_revision or bool(
            self.changes_since(prefix, after)
        )

    def changes_since(self, prefix: str, after: int) -> list[ObjectEntry]:
        """Return the latest change of each object under a prefix after a revision."""
        newest: dict[str, ObjectEntry] = {}
        for entry in reversed(self._log):
            if entry[2] <= after:
                break
            if entry[0].startswith(prefix):
                newest.setdefault(entry[0], entry)
        return sorted(newest.values(), key=lambda entry: entry[2])

    def _snapshot_at(self, revision: int) -> Store:
        snapshot = Store()
        for key, value, written_revision in self._log:
            if written_revision <= revision:
                snapshot._apply_write(key, value, written_revision)
        return snapshot

    def _apply_write(self, key: str, value: bytes | None, revision: int) -> None:
        if value is None:
            self._objects.pop(key, None)
        else:
            self._objects[key] = (value, revision)
        self._log.append((key, value, revision))

    def _notify_watches(self) -> None:
        change_event, self._change_event = self._change_event, trio.Event()
        change_event.set()


class StoreApp:
    """ASGI application that serves a ``Store``."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._handle_http(scope, receive, send)

    async def _handle_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope["path"]
        if path == "/faults":
            body = await read_body(receive, MAX_VALUE_BYTES) or b""
            self._store.set_faults(msgspec.json.decode(body, type=StoreFaults))
            await _send_json(send, 200, {})
            return
        if path == "/calls":
            await _send_json(send, 200, dataclasses.asdict(self._store.meter.counts))
            return
        if self._store.faults.delay_ms:
            await trio.sleep(self._store.faults.delay_ms / 1000)
        write = scope["method"] != "GET"
        watch = path.startswith("/v1/watch/")
        admitted = self._store.meter.admit(write, watch, trio.current_time())
        if self._store.faults.down:
            await _send_json(send, 503, {"error": "down"})
        elif not admitted:
            await _send_json(send, 429, {"error": "rate"})
        elif write:
            await self._handle_write(scope, receive, send)
        else:
            await self._handle_read(scope, send)

    async def _handle_read(self, scope: Scope, send: Send) -> None:
        kind, _, name = scope["path"].removeprefix("/v1/").partition("/")
        if kind == "list":
            view = self._store.read_view
            result = self._encode_items(view.list_objects(name), view.revision)
        elif kind == "watch":
            query = _parse_query(scope)
            after = int(query["after_revision"])
            wait_s = int(query["wait_ms"]) / 1000
            changes = await self._store.wait_for_changes(name, after, wait_s)
            if changes is None:
                await _send_json(send, 410, {"error": "compacted"})
                return
            result = self._encode_items(*changes)
        else:
            current = self._store.read_view.get(name)
            if current is None:
                await _send_json(send, 404, {"error": "not found"})
                return
            result = self._encode_item(name, *current)
        if self._store.consume_fault("cut_answers"):
            body = json.dumps(result).encode()
            await send_response(send, 200, body[: len(body) // 2])
            return
        await _send_json(send, 200, result)

    async def _handle_write(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = await read_body(receive, MAX_VALUE_BYTES)
        if body is None:
            await _send_json(send, 413, {"error": "too large"})
            return
        if self._store.consume_fault("lose_requests"):
            await _abort_response(send)
        value = None if scope["method"] == "DELETE" else body
        key = scope["path"].removeprefix("/v1/objects/")
        expected = int(_parse_query(scope)["expected_revision"])
        revision = self._store.write(key, value, expected)
        if self._store.consume_fault("lose_replies"):
            await _abort_response(send)
        if revision is None:
            await _send_json(send, 409, {"error": "revision"})
        else:
            await _send_json(send, 200, {"revision": revision})

    def _encode_items(
        self, entries: list[ObjectEntry], revision: int
    ) -> dict[str, Any]:
        return {"items": [self._encode_item(*e) for e in entries], "revision": revision}

    def _encode_item(
        self, key: str, value: bytes | None, revision: int
    ) -> dict[str, Any]:
        encoded = None
        if value is not None:
            if value and self._store.consume_fault("corrupt_values"):
                value = value[:-1] + bytes([value[-1] ^ 0x01])
            if value and self._store.consume_fault("truncate_values"):
                value = value[: len(value) // 2]
            encoded = base64.b64encode(value).decode()
        return {"key": key, "value": encoded, "revision": revision}


def _parse_query(scope: Scope) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(scope["query_string"].decode()))


async def _send_json(send: Send, status: int, value: object) -> None:
    await send_response(send, status, json.dumps(value).encode())


async def _abort_response(send: Send) -> None:
    headers = [(b"content-length", b"100")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"{", "more_body": True})
    raise ConnectionAbortedError("connection cut by an injected fault")


async def serve_store(address: str, port: int) -> None:
    """Serve an empty store on an address and port until cancelled."""
    await serve_app(StoreApp(Store()), address, port)
