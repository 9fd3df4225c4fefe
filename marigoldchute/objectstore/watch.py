"""Watches that resume after failures and relist after gaps."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from marigoldchute.errors import CompactedError, PlatformError
from marigoldchute.objectstore.api import WatchEvent
from marigoldchute.objectstore.backoff import Backoff

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from marigoldchute.objectstore.messages import Items

WATCH_WAIT_MS = 2_000
RELIST_INTERVAL_S = 1.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class ChangeSource(Protocol):
    """Calls that a watch is built from."""

    async def list_items(self, prefix: str) -> Items:
        """Return the objects under a prefix and the revision of the list."""

    async def changes(self, prefix: str, after_revision: int, wait_ms: int) -> Items:
        """Wait for changes under a prefix after a revision.

        Raises ``CompactedError`` when the store no longer holds all of them.
        """


class Watch:
    """A watch on the objects under a prefix and its position in the store's log.

    A revision lower than an earlier one means that the store returned a stale state.
    This is handled as a gap, like a compacted log: the objects are listed again, at
    most once per ``RELIST_INTERVAL_S``, and the watch continues from that list. A stale
    list repeats objects that were reported before and reports no deletions.
    """

    def __init__(self, source: ChangeSource, prefix: str, rng: random.Random) -> None:
        self._source = source
        self._prefix = prefix
        self._rng = rng
        self._backoff = Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S, rng)
        self._position: int | None = None
        self._highest_revision = 0
        self._keys: set[str] = set()
        self._relist_at = 0.0
        self.gap_count = 0

    async def events(self) -> AsyncIterator[WatchEvent]:
        """Yield the current objects, then every later change; never ends."""
        while True:
            for event in await self._next_batch():
                yield event

    async def _next_batch(self) -> list[WatchEvent]:
        try:
            if self._position is None:
                batch = await self._relist()
            else:
                batch = await self._fetch_changes(self._position)
        except PlatformError:
            await trio.sleep(self._backoff.next_delay_s())
            return []
        self._backoff.reset()
        return batch

    async def _relist(self) -> list[WatchEvent]:
        await trio.sleep_until(self._relist_at)
        jitter = self._rng.uniform(1.0, 2.0)
        self._relist_at = trio.current_time() + RELIST_INTERVAL_S * jitter
        items = await self._source.list_items(self._prefix)
        events = [item.to_event() for item in items.items]
        listed_keys = {event.key for event in events}
        if items.revision >= self._highest_revision:
            deleted_keys = sorted(self._keys - listed_keys)
            events += [WatchEvent(key, None, items.revision) for key in deleted_keys]
            self._keys = listed_keys
        else:
            self._keys |= listed_keys
        self._highest_revision = max(self._highest_revision, items.revision)
        self._position = items.revision
        return events

    async def _fetch_changes(self, position: int) -> list[WatchEvent]:
        try:
            items = await self._source.changes(self._prefix, position, WATCH_WAIT_MS)
        except CompactedError:
            self._handle_gap()
            return []
        if items.revision < position:
            self._handle_gap()
            return []
        events = [item.to_event() for item in items.items]
        for event in events:
            if event.value is None:
                self._keys.discard(event.key)
            else:
                self._keys.add(event.key)
        self._highest_revision = max(self._highest_revision, items.revision)
        self._position = items.revision
        return events

    def _handle_gap(self) -> None:
        self.gap_count += 1
        self._position = None
