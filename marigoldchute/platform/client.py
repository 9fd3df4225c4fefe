"""Client of the platform's object API over HTTP."""

from __future__ import annotations

import contextlib
import urllib.parse
from typing import TYPE_CHECKING, TypeVar

import httpcore
import trio

from marigoldchute.errors import PlatformError, ResultCode, UnknownOutcomeError
from marigoldchute.platform.api import MAX_VALUE_BYTES, StoredObject, WatchEvent
from marigoldchute.platform.backoff import Backoff
from marigoldchute.platform.budget import CallBudget
from marigoldchute.platform.circuit import Circuit
from marigoldchute.platform.messages import (
    Item,
    Items,
    Written,
    decode_answer,
    raise_for_status,
)
from marigoldchute.platform.watch import Watch

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Iterator

    from marigoldchute.config import StoreSettings

MAX_CONNECTIONS = 8
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0

_T = TypeVar("_T")
_RETRIED_CODES = frozenset(
    {
        ResultCode.STORE_UNAVAILABLE,
        ResultCode.STORE_THROTTLED,
        ResultCode.STORE_ANSWER_MALFORMED,
    }
)
_ANSWERED_CODES = frozenset(
    {
        ResultCode.STORE_CONFLICT,
        ResultCode.STORE_NOT_FOUND,
        ResultCode.STORE_THROTTLED,
        ResultCode.STORE_LOG_COMPACTED,
        ResultCode.STORE_VALUE_TOO_LARGE,
    }
)


class HttpObjectStore:
    """``ObjectStore`` over the HTTP protocol of docs/STORE-PROTOCOL.md.

    Each call has a deadline and takes one token of the node's call budget. Calls that
    certainly did not run, and all reads, are tried again with full jitter until the
    deadline; a write whose outcome is not known is left to the caller.

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
            max_connections=MAX_CONNECTIONS, local_address=local_address or None
        )
        self._budget: CallBudget | None = None
        self._circuit = Circuit(rng)
        self.calls = 0

    @property
    def is_reachable(self) -> bool:
        """Whether recent calls were answered."""
        return not self._circuit.is_open

    async def get(self, key: str) -> StoredObject:
        """Return one object or raise ``NotFoundError``."""
        item = await self._call(Item, "GET", f"/v1/objects/{_quote(key)}")
        return item.to_object()

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return every object under a prefix, in key order."""
        items = await self.list_items(prefix)
        return [item.to_object() for item in items.items]

    async def list_items(self, prefix: str) -> Items:
        """Return the objects under a prefix and the revision of the list."""
        return await self._call(Items, "GET", f"/v1/list/{_quote(prefix)}")

    async def put(self, key: str, value: bytes, expected_revision: int) -> int:
        """Write if the object's revision is as expected; return the new revision."""
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformError(
                f"value of {len(value)} bytes is too large",
                ResultCode.STORE_VALUE_TOO_LARGE,
            )
        path = f"/v1/objects/{_quote(key)}?expected_revision={expected_revision}"
        return (await self._call(Written, "PUT", path, value)).revision

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete if the object's revision is as expected."""
        path = f"/v1/objects/{_quote(key)}?expected_revision={expected_revision}"
        await self._call(Written, "DELETE", path, b"")

    async def changes(self, prefix: str, after_revision: int, wait_ms: int) -> Items:
        """Wait for changes under a prefix after a revision."""
        query = f"after_revision={after_revision}&wait_ms={wait_ms}"
        path = f"/v1/watch/{_quote(prefix)}?{query}"
        return await self._call(Items, "GET", path, wait_ms=wait_ms)

    def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield the present objects under a prefix, then every later change."""
        return Watch(self, prefix, self._rng).events()

    async def _call(
        self,
        cls: type[_T],
        method: str,
        path: str,
        value: bytes | None = None,
        wait_ms: int = 0,
    ) -> _T:
        deadline = trio.current_time() + (self._settings.timeout_ms + wait_ms) / 1000
        backoff = Backoff(RETRY_MIN_S, RETRY_MAX_S, self._rng)
        while True:
            try:
                return await self._try_call(cls, method, path, value, deadline)
            except PlatformError as exc:
                delay_s = backoff.next_delay_s()
                if exc.code not in _RETRIED_CODES:
                    raise
                if trio.current_time() + delay_s >= deadline:
                    raise
            await trio.sleep(delay_s)

    async def _try_call(
        self,
        cls: type[_T],
        method: str,
        path: str,
        value: bytes | None,
        deadline: float,
    ) -> _T:
        await self._take_budget(deadline)
        url = f"http://{self._settings.address}:{self._settings.port}{path}"
        with self._guard():
            self.calls += 1
            response = await self._send(method, url, value, deadline)
            raise_for_status(method, path, response.status, response.content)
            return decode_answer(response.content, cls, method)

    async def _take_budget(self, deadline: float) -> None:
        now = trio.current_time()
        if self._budget is None:
            rate, burst = self._settings.calls_per_s, self._settings.burst_calls
            self._budget = CallBudget(rate, burst, now)
        wait_s = self._budget.reserve(now, deadline - now)
        if wait_s is None:
            raise PlatformError(
                "this node's budget of store calls is spent",
                ResultCode.STORE_BUDGET_SPENT,
            )
        await trio.sleep(wait_s)

    @contextlib.contextmanager
    def _guard(self) -> Iterator[None]:
        self._circuit.enter(trio.current_time())
        try:
            yield
        except PlatformError as exc:
            if exc.code in _ANSWERED_CODES:
                self._circuit.succeed()
            else:
                self._circuit.fail(trio.current_time())
            raise
        except BaseException:
            self._circuit.abandon()
            raise
        self._circuit.succeed()

    async def _send(
        self, method: str, url: str, value: bytes | None, deadline: float
    ) -> httpcore.Response:
        try:
            with trio.fail_at(deadline):
                return await self._pool.request(method, url, content=value)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise PlatformError(f"store cannot be reached: {exc}") from exc
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ) as exc:
            raise _lost_reply(method, exc) from exc


def _lost_reply(method: str, exc: Exception) -> PlatformError:
    if method == "GET":
        return PlatformError(f"store did not answer: {exc!r}")
    return UnknownOutcomeError(f"store's reply was lost: {exc!r}")


def _quote(key: str) -> str:
    return urllib.parse.quote(key, safe="/")
