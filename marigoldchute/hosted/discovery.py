"""Finding the other nodes through the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import ConflictError, PlatformError

if TYPE_CHECKING:
    import random

    from marigoldchute.events import EventLog
    from marigoldchute.hosted.directory import Directory
    from marigoldchute.objectstore.documents import Document, DocumentStore

MEMBER_KIND = "mesh-members"
RETRY_S = 0.5
RELIST_S = 8.0  # Only for what links did not tell; a stale list costs a tenth.


class MemberEntry(msgspec.Struct, frozen=True):
    """Where a node can be reached, as the store holds it."""

    address: str
    peer_port: int


class Discovery:
    """Writes this node's entry, once, and reads those of the others.

    The entry stands until the VM leaves for good, so a restart writes nothing.

    Parameters
    ----------
    store : DocumentStore
        The platform's store.
    directory : Directory
        Learns of the members found.
    log : EventLog
        Event log of the process.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        store: DocumentStore,
        directory: Directory,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._directory = directory
        self._log = log
        self._rng = rng
        self.found = trio.Event()

    async def run(self) -> None:
        """Write the entry, then list members from time to time until cancelled."""
        await self._until_done(self._write_entry)
        await self._until_done(self._list_members)
        self.found.set()
        if self._store.fastest_s < float("inf"):
            self._directory.publish_store_time(int(self._store.fastest_s * 1000) + 1)
        while True:
            await trio.sleep(RELIST_S * self._rng.uniform(0.7, 1.3))
            try:
                await self._list_members(stale_allowed=True)
            except PlatformError as exc:
                self._note("members_unlisted", exc)

    async def remove_entry(self) -> None:
        """Delete this node's entry, because its VM leaves for good."""
        try:
            await self._store.delete(MEMBER_KIND, self._directory.local.name)
        except PlatformError as exc:
            self._note("entry_left", exc)

    async def _until_done(self, step) -> None:  # type: ignore[no-untyped-def]
        while True:
            try:
                await step()
                return
            except PlatformError as exc:
                self._note("store_unreachable", exc)
            await trio.sleep(RETRY_S * self._rng.uniform(0.5, 1.0))

    async def _write_entry(self) -> None:
        local = self._directory.local
        entry = MemberEntry(local.address, local.peer_port)
        content = msgspec.to_builtins(entry)
        try:
            await self._store.create(MEMBER_KIND, local.name, content)
        except ConflictError:
            held = await self._store.get(MEMBER_KIND, local.name)
            if held.content != content:
                await self._store.replace(
                    MEMBER_KIND, local.name, content, held.revision
                )

    async def _list_members(self, stale_allowed: bool = False) -> None:
        page = await self._store.list(MEMBER_KIND, stale_allowed)
        for document in page.documents:
            self._take_entry(document)

    def _take_entry(self, document: Document) -> None:
        try:
            entry = msgspec.convert(document.content, MemberEntry)
        except msgspec.ValidationError as exc:
            self._log.emit(
                "discovery",
                "entry_malformed",
                f"The entry of {document.name!r} is left out: {exc}.",
            )
            return
        self._directory.add_found(document.name, entry.address, entry.peer_port)

    def _note(self, event: str, exc: PlatformError) -> None:
        self._log.emit(
            "discovery",
            event,
            f"The store did not serve: {exc.message}.",
            code=exc.code.value,
        )
