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
    """

    down: bool = False
    delay_ms: int = 0
    lose_replies: int = 0


class Store:
    """Objects with store-wide revisions and long-polled watches."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls = {"read": 0, "write": 0, "refused": 0}
        self._objects: dict[str, tuple[bytes, int]] = {}
        self._log: list[tuple[str, int]] = []
        self._revision = 0
        self._changed = trio.Event()
        self._window: tuple[int, int, int] = (0, 0, 0)

    def admit(self, write: bool, now_s: float) -> bool:
        """Count a call and say whether the rate allows it."""
        second, reads, writes = self._window
        if int(now_s) != second:
            second, reads, writes = int(now_s), 0, 0
        reads += not write
        writes += write
        self._window = (second, reads, writes)
        self.calls["write" if write else "read"] += 1
        if reads > READS_PER_S or writes > WRITES_PER_S:
            self.calls["refused"] += 1
            return False
        return True

    def get(self, key: str) -> tuple[bytes, int] | None:
        """Return value and revision of an object."""
        return self._objects.get(key)

    def list_objects(self, prefix: str) -> list[tuple[str, bytes, int]]:
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
        self._revision += 1
        if value is None:
            del self._objects[key]
        else:
            self._objects[key] = (value, self._revision)
        self._log.append((key, self._revision))
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        return self._revision

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[tuple[str, bytes | None, int]], int]:
        """Wait for changes under a prefix after a revision."""
        with trio.move_on_after(wait_s):
            while not (found := self._changes_now(prefix, after)):
                await self._changed.wait()
            return found, self._revision
        return [], max(after, self._revision)

    def _changes_now(
        self, prefix: str, after: int
    ) -> list[tuple[str, bytes | None, int]]:
        newest: dict[str, int] = {}
        for key, revision in reversed(self._log):
            if revision <= after:
                break
            if key.startswith(prefix):
                newest.setdefault(key, revision)
        changes: list[tuple[str, bytes | None, int]] = []
        for key, revision in sorted(newest.items(), key=lambda item: item[1]):
            held = self._objects.get(key)
            changes.append((key, held[0] if held else None, revision))
        return changes


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
            self._store.faults = msgspec.json.decode(body, type=StoreFaults)
            await _answer(send, 200, {})
            return
        if path == "/calls":
            await _answer(send, 200, self._store.calls)
            return
        faults = self._store.faults
        if faults.delay_ms:
            await trio.sleep(faults.delay_ms / 1000)
        write = scope["method"] != "GET"
        if self._store.faults.down:
            await _answer(send, 503, {"error": "down"})
        elif not self._store.admit(write, trio.current_time()):
            await _answer(send, 429, {"error": "rate"})
        else:
            await self._serve_call(scope, path, receive, send)

    async def _serve_call(
        self, scope: Scope, path: str, receive: Receive, send: Send
    ) -> None:
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        kind, _, name = path.removeprefix("/v1/").partition("/")
        if kind == "list":
            items = self._store.list_objects(name)
            await _answer(send, 200, _items(items, 0))
        elif kind == "watch":
            after = int(query["after_revision"])
            wait_s = int(query["wait_ms"]) / 1000
            changes, revision = await self._store.changes(name, after, wait_s)
            await _answer(send, 200, _items(changes, revision))
        elif scope["method"] == "GET":
            await self._get(name, send)
        else:
            await self._write(scope["method"], name, query, receive, send)

    async def _get(self, name: str, send: Send) -> None:
        held = self._store.get(name)
        if held is None:
            await _answer(send, 404, {"error": "not found"})
            return
        await _answer(send, 200, _item(name, held[0], held[1]))

    async def _write(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        receive: Receive,
        send: Send,
    ) -> None:
        body = await read_body(receive, MAX_VALUE_BYTES)
        if body is None:
            await _answer(send, 413, {"error": "too large"})
            return
        value = None if method == "DELETE" else body
        revision = self._store.write(name, value, int(query["expected_revision"]))
        faults = self._store.faults
        if faults.lose_replies > 0:
            self._store.faults = dataclasses.replace(
                faults, lose_replies=faults.lose_replies - 1
            )
            raise ConnectionAbortedError("reply lost on purpose")
        if revision is None:
            await _answer(send, 409, {"error": "revision"})
        else:
            await _answer(send, 200, {"revision": revision})


def _item(key: str, value: bytes | None, revision: int) -> dict[str, Any]:
    encoded = None if value is None else base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "revision": revision}


def _items(items: Any, revision: int) -> dict[str, Any]:
    return {"items": [_item(*item) for item in items], "revision": revision}


async def _answer(send: Send, status: int, value: object) -> None:
    await answer(send, status, json.dumps(value).encode())


async def serve_store(address: str, port: int) -> None:
    """Serve a store on an address until cancelled."""
    await serve_app(StoreApp(Store()), address, port)
