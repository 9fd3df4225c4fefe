"""Reading of manifests from the store by the reader of a data centre."""

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

ROLE_CHECK_INTERVAL_S = 0.25
MIN_INITIAL_DELAY_S = 0.2
MAX_INITIAL_DELAY_S = 1.2
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 3.0


class StoreReader:
    """Lists and watches the manifests in the store while ``is_reader`` returns true.

    The first read is delayed by a random time. A node that starts together with many
    others discovers them meanwhile, so that few nodes assume that they are the reader.
    """

    def __init__(
        self,
        store: ObjectStore,
        is_reader: Callable[[], bool],
        on_manifest: Callable[[bytes], None],
        on_listed: Callable[[], None],
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._is_reader = is_reader
        self._on_manifest = on_manifest
        self._on_listed = on_listed
        self._log = log
        self._rng = rng

    async def run(self) -> None:
        """Read the store whenever this node is the reader, until cancelled."""
        await trio.sleep(self._rng.uniform(MIN_INITIAL_DELAY_S, MAX_INITIAL_DELAY_S))
        while True:
            while not self._is_reader():
                await trio.sleep(ROLE_CHECK_INTERVAL_S)
            self._log.emit("distribution", "reader", "This node reads the store.")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._list_and_watch)
                while self._is_reader():
                    await trio.sleep(ROLE_CHECK_INTERVAL_S)
                nursery.cancel_scope.cancel()

    async def _list_and_watch(self) -> None:
        await self._list_manifests()
        async for event in self._store.watch(BUNDLE_PREFIX):
            if event.value is not None:
                self._on_manifest(event.value)

    async def _list_manifests(self) -> None:
        backoff = Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S, self._rng)
        while True:
            try:
                manifests = await self._store.list(BUNDLE_PREFIX)
            except PlatformError:
                await trio.sleep(backoff.next_delay_s())
                continue
            for stored in reversed(manifests):
                self._on_manifest(stored.value)
            self._on_listed()
            return
