"""Discovery of the other nodes through the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import PlatformError, ResultCode
from marigoldchute.hosted.node_entry import MEMBER_KIND, NodeEntry, decode_entry

if TYPE_CHECKING:
    import random

    from marigoldchute.events import EventLog
    from marigoldchute.hosted.directory import Directory
    from marigoldchute.hosted.node_entry import MemberEntry
    from marigoldchute.hosted.rejections import Rejections
    from marigoldchute.objectstore.documents import Document, DocumentStore

RETRY_INTERVAL_S = 0.5
# Listing again only finds members that links have not revealed. A stale list costs a
# tenth of a fresh one.
RELIST_INTERVAL_S = 8.0


class Discovery:
    """Writes the entry of this node and reads the entries of the others.

    The entry stays until the VM is removed permanently, so a restart writes nothing.

    Parameters
    ----------
    store : DocumentStore
        The platform's store.
    directory : Directory
        Receives the discovered members.
    rejections : Rejections
        Documents that were rejected.
    log : EventLog
        Event log of the process.
    rng : random.Random
        Source of jitter.

    Attributes
    ----------
    entry : NodeEntry
        Entry of this node.
    """

    def __init__(
        self,
        store: DocumentStore,
        directory: Directory,
        rejections: Rejections,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._rejections = rejections
        self._store = store
        self._directory = directory
        self._log = log
        self._rng = rng
        self.entry = NodeEntry(store, directory, log, rng)
        self.first_list_done = trio.Event()

    async def run(self) -> None:
        """Write the entry, then list the members periodically until cancelled."""
        await self._retry_until_done(self.entry.load)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.entry.run)
            await self._follow_members()

    async def _follow_members(self) -> None:
        await self._retry_until_done(self._list_members)
        self.first_list_done.set()
        if self._store.min_latency_s < float("inf"):
            self._directory.publish_store_latency(
                int(self._store.min_latency_s * 1000) + 1
            )
        while True:
            await trio.sleep(RELIST_INTERVAL_S * self._rng.uniform(0.7, 1.3))
            try:
                await self._list_members(stale_allowed=True)
            except PlatformError as exc:
                self._log_failure("members_unlisted", exc)

    async def remove_entry(self) -> None:
        """Delete the entry of this node when its VM is removed permanently."""
        try:
            await self.entry.remove()
        except PlatformError as exc:
            self._log_failure("entry_left", exc)

    async def _retry_until_done(self, operation) -> None:  # type: ignore[no-untyped-def]
        while True:
            try:
                await operation()
                return
            except PlatformError as exc:
                self._log_failure("store_unreachable", exc)
            await trio.sleep(RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.0))

    async def _list_members(self, stale_allowed: bool = False) -> None:
        page = await self._store.list(MEMBER_KIND, stale_allowed)
        entries = {d.name: self._read_entry(d) for d in page.documents}
        self._directory.set_discovered(
            {n: (e.address, e.peer_port) for n, e in entries.items() if e is not None}
        )

    def _read_entry(self, document: Document) -> MemberEntry | None:
        try:
            return decode_entry(document)
        except (ValueError, RecursionError) as exc:
            if self._rejections.is_new(document):
                self._log.emit(
                    "discovery",
                    "entry_malformed",
                    f"The malformed entry of {document.name!r} is ignored: {exc}.",
                    revision=document.revision,
                    code=ResultCode.ANNOUNCEMENT_INVALID.value,
                )
            return None

    def _log_failure(self, event: str, exc: PlatformError) -> None:
        self._log.emit(
            "discovery",
            event,
            f"A request to the store failed: {exc.message}.",
            code=exc.code.value,
        )
