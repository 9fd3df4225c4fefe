"""Client of the platform's object API over HTTP."""

from __future__ import annotations

import functools
import urllib.parse
from typing import TYPE_CHECKING

from marigoldchute.errors import PlatformError, ResultCode
from marigoldchute.objectstore.api import MAX_VALUE_BYTES, StoredObject, WatchEvent
from marigoldchute.objectstore.caller import StoreCaller
from marigoldchute.objectstore.messages import Item, Items, Written, decode_response
from marigoldchute.objectstore.watch import Watch

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from marigoldchute.objectstore.settings import StoreSettings

_DECODE_ITEM = functools.partial(decode_response, cls=Item)
_DECODE_ITEMS = functools.partial(decode_response, cls=Items)
_DECODE_WRITTEN = functools.partial(decode_response, cls=Written)


class HttpObjectStore:
    """``ObjectStore`` over the HTTP protocol of docs/STORE-PROTOCOL.md.

    Parameters
    ----------
    settings : StoreSettings
        Address, call budget and time limit.
    rng : random.Random
        Source of back-off jitter.
    local_address : str
        IP address from which connections are opened; any when empty.
    """

    def __init__(
        self, settings: StoreSettings, rng: random.Random, local_address: str = ""
    ) -> None:
        self._rng = rng
        self._caller = StoreCaller(settings, rng, local_address)

    @property
    def calls(self) -> int:
        """Number of calls since the start."""
        return self._caller.calls

    @property
    def is_reachable(self) -> bool:
        """Whether recent calls got a response."""
        return self._caller.is_reachable

    async def get(self, key: str) -> StoredObject:
        """Return one object or raise ``NotFoundError``."""
        path = f"/v1/objects/{_quote(key)}"
        return (await self._caller.call(_DECODE_ITEM, "GET", path)).to_object()

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return every object under a prefix, in key order."""
        items = await self.list_items(prefix)
        return [item.to_object() for item in items.items]

    async def list_items(self, prefix: str) -> Items:
        """Return the objects under a prefix and the revision of the list."""
        path = f"/v1/list/{_quote(prefix)}"
        return await self._caller.call(_DECODE_ITEMS, "GET", path)

    async def put(self, key: str, value: bytes, expected_revision: int) -> int:
        """Write if the object's revision is as expected; return the new revision."""
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformError(
                f"value of {len(value)} bytes is too large",
                ResultCode.STORE_VALUE_TOO_LARGE,
            )
        path = f"/v1/objects/{_quote(key)}?expected_revision={expected_revision}"
        written = await self._caller.call(_DECODE_WRITTEN, "PUT", path, value)
        return written.revision

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete if the object's revision is as expected."""
        path = f"/v1/objects/{_quote(key)}?expected_revision={expected_revision}"
        await self._caller.call(_DECODE_WRITTEN, "DELETE", path, b"")

    async def changes(self, prefix: str, after_revision: int, wait_ms: int) -> Items:
        """Wait for changes under a prefix after a revision."""
        query = f"after_revision={after_revision}&wait_ms={wait_ms}"
        path = f"/v1/watch/{_quote(prefix)}?{query}"
        return await self._caller.call(_DECODE_ITEMS, "GET", path, wait_ms=wait_ms)

    def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield the current objects under a prefix, then every later change."""
        return Watch(self, prefix, self._rng).events()


def _quote(key: str) -> str:
    return urllib.parse.quote(key, safe="/")
