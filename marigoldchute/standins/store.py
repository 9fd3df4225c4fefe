"""Stand-in for the platform's object API, in memory, with switchable faults."""

from __future__ import annotations

import base64
import dataclasses
import json
import urllib.parse
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from marigoldchute.util.asgi import answer, read_body, serve_app, serve_lifespan

if TYPE_CHECKING:
    from marigoldchute.util.asgi import Receive, Scope, Send

MAX_VALUE_BYTES = 1_000_000
WRITES_PER_S = 500
READS_PER_S = 2000

Listed = tuple[str, bytes | None, int]


@dataclasses.dataclass(frozen=True)
class StoreFaults:
    """Faults of the stand-in; each is in force until replaced.

    Parameters
    ----------
    down : bool
        Answer every call with 503.
    delay_ms : int
        Wait before each call.
    lose_replies : int
        Number of further writes that take effect but whose connection is cut.
    lose_requests : int
        Number of further writes that are cut before they take effect.
    stale_revisions : int
        Answer reads as of this many revisions before the fault came.
    compact : bool
        Forget the log up to now once: watches from earlier revisions get 410.
    cut_answers : int
        Number of further reads whose JSON ends half-way.
    corrupt_values : int
        Number of further objects read whose value has one byte altered.
    truncate_values : int
        Number of further objects read whose value has lost its second half.
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
    """Calls since the store started.

    Parameters
    ----------
    read, write : int
        Calls by kind; a watch counts as a read, each time it is waited on.
    watch : int
        Reads that were watches.
    refused : int
        Calls above a rate.
    peak_reads_per_s, peak_writes_per_s : int
        Most calls in one second, refused ones included.
    """

    read: int = 0
    write: int = 0
    watch: int = 0
    refused: int = 0
    peak_reads_per_s: int = 0
    peak_writes_per_s: int = 0


class CallMeter:
    """Counts calls and refuses those above the rates."""

    def __init__(self) -> None:
        self.counts = CallCounts()
        self._second = 0
        self._reads = 0
        self._writes = 0

    def admit(self, write: bool, watch: bool, now_s: float) -> bool:
        """Count a call and say whether the rate allows it."""
        if int(now_s) != self._second:
            self._second, self._reads, self._writes = int(now_s), 0, 0
        self._reads += not write
        self._writes += write
        counts = self.counts
        counts.read += not write
        counts.write += write
        counts.watch += watch
        counts.peak_reads_per_s = max(counts.peak_reads_per_s, self._reads)
        counts.peak_writes_per_s = max(counts.peak_writes_per_s, self._writes)
        if self._reads > READS_PER_S or self._writes > WRITES_PER_S:
            counts.refused += 1
            return False
        return True


class Store:
    """Objects with store-wide revisions and long-polled watches."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.meter = CallMeter()
        self._objects: dict[str, tuple[bytes, int]] = {}
        self._log: list[Listed] = []
        self._compacted = 0
        self._stale: Store | None = None
        self._changed = trio.Event()

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._log[-1][2] if self._log else 0

    @property
    def reader(self) -> Store:
        """What reads see: this store, or its past under ``stale_revisions``."""
        return self._stale if self._stale is not None else self

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the faults."""
        self.faults = faults
        self._stale = None
        if faults.stale_revisions:
            self._stale = self._as_of(self.revision - faults.stale_revisions)
        if faults.compact:
            self._compacted = self.revision
        self._wake()

    def spend(self, name: str) -> bool:
        """Use up one of a counted fault; False when none is left."""
        left = getattr(self.faults, name)
        if left <= 0:
            return False
        self.faults = dataclasses.replace(self.faults, **{name: left - 1})
        return True

    def get(self, key: str) -> tuple[bytes, int] | None:
        """Return value and revision of an object."""
        return self._objects.get(key)

    def list_objects(self, prefix: str) -> list[Listed]:
        """Return key, value and revision of the objects under a prefix."""
        return [
            (key, *self._objects[key])
            for key in sorted(self._objects)
            if key.startswith(prefix)
        ]

    def write(self, key: str, value: bytes | None, expected: int) -> int | None:
        """Write or delete if the revision is as expected; None on conflict."""
        held = self._objects.get(key)
        if (held[1] if held else 0) != expected:
            return None
        self._apply(key, value, self.revision + 1)
        self._wake()
        return self.revision

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[Listed], int] | None:
        """Wait for changes under a prefix; None when the log was compacted."""
        with trio.move_on_after(wait_s):
            while not self.reader.has_changed(prefix, after):
                await self._changed.wait()
        seen = self.reader
        if after < self._compacted:
            return None
        return seen.changes_now(prefix, after), seen.revision

    def has_changed(self, prefix: str, after: int) -> bool:
        """Whether a watch from a revision has something to tell."""
        return after < self._compacted or bool(self.changes_now(prefix, after))

    def changes_now(self, prefix: str, after: int) -> list[Listed]:
        """Return the last change of each object under a prefix after a revision."""
        newest: dict[str, Listed] = {}
        for entry in reversed(self._log):
            if entry[2] <= after:
                break
            if entry[0].startswith(prefix):
                newest.setdefault(entry[0], entry)
        return sorted(newest.values(), key=lambda entry: entry[2])

    def _as_of(self, revision: int) -> Store:
        past = Store()
        for key, value, written in self._log:
            if written <= revision:
                past._apply(key, value, written)
        return past

    def _apply(self, key: str, value: bytes | None, revision: int) -> None:
        if value is None:
            self._objects.pop(key, None)
        else:
            self._objects[key] = (value, revision)
        self._log.append((key, value, revision))

    def _wake(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()


class StoreApp:
    """ASGI application around a ``Store``."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_http(scope, receive, send)

    async def _serve_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope["path"]
        if path == "/faults":
            body = await read_body(receive, MAX_VALUE_BYTES) or b""
            self._store.set_faults(msgspec.json.decode(body, type=StoreFaults))
            await _answer(send, 200, {})
            return
        if path == "/calls":
            await _answer(send, 200, dataclasses.asdict(self._store.meter.counts))
            return
        if self._store.faults.delay_ms:
            await trio.sleep(self._store.faults.delay_ms / 1000)
        write = scope["method"] != "GET"
        watch = path.startswith("/v1/watch/")
        admitted = self._store.meter.admit(write, watch, trio.current_time())
        if self._store.faults.down:
            await _answer(send, 503, {"error": "down"})
        elif not admitted:
            await _answer(send, 429, {"error": "rate"})
        elif write:
            await self._write(scope, receive, send)
        else:
            await self._read(scope, send)

    async def _read(self, scope: Scope, send: Send) -> None:
        kind, _, name = scope["path"].removeprefix("/v1/").partition("/")
        if kind == "list":
            seen = self._store.reader
            result = self._items(seen.list_objects(name), seen.revision)
        elif kind == "watch":
            query = _query(scope)
            after = int(query["after_revision"])
            wait_s = int(query["wait_ms"]) / 1000
            changes = await self._store.changes(name, after, wait_s)
            if changes is None:
                await _answer(send, 410, {"error": "compacted"})
                return
            result = self._items(*changes)
        else:
            held = self._store.reader.get(name)
            if held is None:
                await _answer(send, 404, {"error": "not found"})
                return
            result = self._item(name, *held)
        if self._store.spend("cut_answers"):
            body = json.dumps(result).encode()
            await answer(send, 200, body[: len(body) // 2])
            return
        await _answer(send, 200, result)

    async def _write(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = await read_body(receive, MAX_VALUE_BYTES)
        if body is None:
            await _answer(send, 413, {"error": "too large"})
            return
        if self._store.spend("lose_requests"):
            await _cut_connection(send)
        value = None if scope["method"] == "DELETE" else body
        name = scope["path"].removeprefix("/v1/objects/")
        expected = int(_query(scope)["expected_revision"])
        revision = self._store.write(name, value, expected)
        if self._store.spend("lose_replies"):
            await _cut_connection(send)
        if revision is None:
            await _answer(send, 409, {"error": "revision"})
        else:
            await _answer(send, 200, {"revision": revision})

    def _items(self, entries: list[Listed], revision: int) -> dict[str, Any]:
        return {"items": [self._item(*e) for e in entries], "revision": revision}

    def _item(self, key: str, value: bytes | None, revision: int) -> dict[str, Any]:
        encoded = None
        if value is not None:
            if value and self._store.spend("corrupt_values"):
                value = value[:-1] + bytes([value[-1] ^ 0x01])
            if value and self._store.spend("truncate_values"):
                value = value[: len(value) // 2]
            encoded = base64.b64encode(value).decode()
        return {"key": key, "value": encoded, "revision": revision}


def _query(scope: Scope) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(scope["query_string"].decode()))


async def _answer(send: Send, status: int, value: object) -> None:
    await answer(send, status, json.dumps(value).encode())


async def _cut_connection(send: Send) -> None:
    headers = [(b"content-length", b"100")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"{", "more_body": True})
    raise ConnectionAbortedError("reply lost on purpose")


async def serve_store(address: str, port: int) -> None:
    """Serve a store on an address until cancelled."""
    await serve_app(StoreApp(Store()), address, port)
