"""Reads new manifests from the store while this node is its data centre's reader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.distribution.keys import BUNDLE_PREFIX
from marigoldchute.errors import PlatformError
from marigoldchute.objectstore.backoff import Backoff

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.objectstore.api import ObjectStore

CHECK_S = 0.25
FIRST_READ_MIN_S = 0.2
FIRST_READ_MAX_S = 1.2
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 3.0


class StoreReader:
    """Follows the store's manifests while ``is_reader`` holds.

    The first reading waits a random time, in which a node that starts with many others
    learns of them, so that few take themselves for the reader.
    """

    def __init__(
        self,
        store: ObjectStore,
        is_reader: Callable[[], bool],
        offer: Callable[[bytes], None],
        on_listed: Callable[[], None],
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._is_reader = is_reader
        self._offer = offer
        self._on_listed = on_listed
        self._log = log
        self._rng = rng

    async def run(self) -> None:
        """Read while on duty, until cancelled."""
        await trio.sleep(self._rng.uniform(FIRST_READ_MIN_S, FIRST_READ_MAX_S))
        while True:
            while not self._is_reader():
                await trio.sleep(CHECK_S)
            self._log.emit("distribution", "reader", "This node reads the store.")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read)
                while self._is_reader():
                    await trio.sleep(CHECK_S)
                nursery.cancel_scope.cancel()

    async def _read(self) -> None:
        await self._list()
        async for event in self._store.watch(BUNDLE_PREFIX):
            if event.value is not None:
                self._offer(event.value)

    async def _list(self) -> None:
        backoff = Backoff(BACKOFF_MIN_S, BACKOFF_MAX_S, self._rng)
        while True:
            try:
                found = await self._store.list(BUNDLE_PREFIX)
            except PlatformError:
                await trio.sleep(backoff.next_delay_s())
                continue
            for stored in reversed(found):
                self._offer(stored.value)
            self._on_listed()
            return
