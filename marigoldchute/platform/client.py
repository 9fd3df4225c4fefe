"""Client of the platform's object API over HTTP."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import httpcore
import msgspec
import trio

from marigoldchute.errors import (
    ConflictError,
    NotFoundError,
    PlatformError,
    ResultCode,
    UnknownOutcomeError,
)
from marigoldchute.platform.api import MAX_VALUE_BYTES, StoredObject, WatchEvent

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from marigoldchute.config import StoreSettings

WATCH_WAIT_MS = 20_000
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 10.0


class _Item(msgspec.Struct, frozen=True):
    key: str
    value: str | None
    revision: int


class _Items(msgspec.Struct, frozen=True):
    items: list[_Item]
    revision: int


class _Written(msgspec.Struct, frozen=True):
    revision: int


class HttpObjectStore:
    """``ObjectStore`` over the HTTP protocol of docs/STORE-PROTOCOL.

    Parameters
    ----------
    settings : StoreSettings
        Address, call budget and time limit.
    rng : random.Random
        Source of back-off jitter.
    local_address : str
        IP number from which connections are opened; any when empty.
    """

    def __init__(
        self, settings: StoreSettings, rng: random.Random, local_address: str = ""
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4, local_address=local_address or None
        )
        self.calls = 0

    async def get(self, key: str) -> StoredObject:
        """Return one object or raise ``NotFoundError``."""
        body = await self._call("GET", f"/v1/objects/{key}")
        return _to_object(msgspec.json.decode(body, type=_Item))

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return every object under a prefix, in key order."""
        body = await self._call("GET", f"/v1/list/{prefix}")
        items = msgspec.json.decode(body, type=_Items).items
        return [_to_object(item) for item in items]

    async def put(self, key: str, value: bytes, expected_revision: int) -> int:
        """Write if the object's revision is as expected; return the new revision."""
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformError(
                f"value of {len(value)} bytes is too large",
                ResultCode.STORE_VALUE_TOO_LARGE,
            )
        path = f"/v1/objects/{key}?expected_revision={expected_revision}"
        body = await self._call("PUT", path, value)
        return msgspec.json.decode(body, type=_Written).revision

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete if the object's revision is as expected."""
        path = f"/v1/objects/{key}?expected_revision={expected_revision}"
        await self._call("DELETE", path, b"")

    async def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield the present objects under a prefix, then every later change."""
        revision = 0
        delay = BACKOFF_MIN_S
        while True:
            path = (
                f"/v1/watch/{prefix}?after_revision={revision}&wait_ms={WATCH_WAIT_MS}"
            )
            try:
                body = await self._call("GET", path, wait_ms=WATCH_WAIT_MS)
            except PlatformError:
                await trio.sleep(self._rng.uniform(0.0, delay))
                delay = min(BACKOFF_MAX_S, delay * 2)
                continue
            delay = BACKOFF_MIN_S
            batch = msgspec.json.decode(body, type=_Items)
            for item in batch.items:
                value = None if item.value is None else base64.b64decode(item.value)
                yield WatchEvent(item.key, value, item.revision)
            revision = batch.revision

    async def _call(
        self, method: str, path: str, value: bytes | None = None, wait_ms: int = 0
    ) -> bytes:
        url = f"http://{self._settings.address}:{self._settings.port}{path}"
        self.calls += 1
        timeout_s = (self._settings.timeout_ms + wait_ms) / 1000
        try:
            with trio.fail_after(timeout_s):
                response = await self._pool.request(method, url, content=value)
        except (httpcore.ConnectError, httpcore.PoolTimeout) as exc:
            raise PlatformError(f"store cannot be reached: {exc}") from exc
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ) as exc:
            raise _lost_reply(method, exc) from exc
        _raise_for_status(response.status, path, response.content)
        return response.content


def _lost_reply(method: str, exc: Exception) -> PlatformError:
    if method == "GET":
        return PlatformError(f"store did not answer: {exc!r}")
    return UnknownOutcomeError(f"store's reply was lost: {exc!r}")


def _raise_for_status(status: int, path: str, content: bytes) -> None:
    if status < 300:
        return
    detail = content.decode(errors="replace")[:200]
    if status == 404:
        raise NotFoundError(f"{path} is not there")
    if status == 409:
        raise ConflictError(f"{path} has changed: {detail}")
    if status == 429:
        raise PlatformError("store refused the call", ResultCode.STORE_THROTTLED)
    raise PlatformError(f"store answered {status}: {detail}")


def _to_object(item: _Item) -> StoredObject:
    return StoredObject(item.key, base64.b64decode(item.value or ""), item.revision)
