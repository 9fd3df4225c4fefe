"""Entry of this node in the store: its address and the servers that left its VM."""

from __future__ import annotations

import dataclasses
import ipaddress
from typing import TYPE_CHECKING, Annotated

import msgspec
import trio

from marigoldchute.bundle.limits import MAX_WALL_CLOCK_MS
from marigoldchute.errors import (
    ConflictError,
    NotFoundError,
    PlatformError,
    UnknownOutcomeError,
)
from marigoldchute.objectstore.eras import era_of
from marigoldchute.objectstore.settings import Port

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable
    from typing import Any

    from marigoldchute.events import EventLog
    from marigoldchute.hosted.directory import Directory
    from marigoldchute.objectstore.documents import Document, DocumentStore

MEMBER_KIND = "mesh-members"
# Only the last servers of a VM can still send a report that is late.
MAX_STORED_LEAVES = 4
# A backend server ignores an acknowledgement that takes longer than a second.
LEAVE_STORE_TIMEOUT_S = 0.8
WRITE_RETRY_INTERVAL_S = 0.3
# After the store came back from an older copy, all nodes together check their entries
# at this rate, a quarter of the writes that the store accepts.
REWRITES_PER_S = 300
MIN_REWRITE_SPREAD_S = 0.5


@dataclasses.dataclass(frozen=True)
class Leave:
    """Leave of a backend server, of which no later process may send it requests.

    Parameters
    ----------
    instance : str
        Id of the server.
    born_ms : int
        Incarnations of the server that started at this wall-clock time in milliseconds
        or before have left.
    """

    instance: str
    born_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_CLOCK_MS)]

    def covers(self, other: Leave) -> bool:
        """Return whether ``other`` follows from this leave."""
        return self.instance == other.instance and self.born_ms >= other.born_ms


@dataclasses.dataclass(frozen=True)
class MemberEntry:
    """Entry of a node in the store.

    Parameters
    ----------
    address : str
        IP address at which peers reach the node.
    peer_port : int
        TCP port for peers.
    left : tuple of Leave
        Backend servers that have left the VM, the latest one last.
    """

    address: str
    peer_port: Port
    left: tuple[Leave, ...] = ()

    def to_content(self) -> dict[str, Any]:
        """Return the content of the document."""
        content: dict[str, Any] = {"address": self.address, "peer_port": self.peer_port}
        if self.left:
            content["left"] = [dataclasses.asdict(leave) for leave in self.left]
        return content


def decode_entry(document: Document) -> MemberEntry:
    """Return the entry of a document; raise ``ValueError`` if it is malformed."""
    if document.content is None and document.error:
        raise ValueError(document.error)
    entry = msgspec.convert(document.content, MemberEntry)
    ipaddress.IPv4Address(entry.address)
    return entry


def merge_leaves(stored: Iterable[Leave], new: Iterable[Leave]) -> tuple[Leave, ...]:
    """Return the last ``MAX_STORED_LEAVES`` leaves, without those that others cover."""
    merged: list[Leave] = []
    for leave in (*stored, *new):
        if any(other.covers(leave) for other in merged):
            continue
        merged = [other for other in merged if not leave.covers(other)]
        merged.append(leave)
    return tuple(merged[-MAX_STORED_LEAVES:])


def _ignore(leaves: tuple[Leave, ...]) -> None:
    pass


class NodeEntry:
    """Document of this node, which outlasts its processes.

    A leave is acknowledged to the backend server only after it is stored here: the
    node, or all nodes, may be killed right after the acknowledgement. The entry is
    read once at each start, which needs no additional call, as it is created there.

    When the store comes back from an older copy, the entry is read again after a random
    delay, and the leaves that it lacks are written again.

    Parameters
    ----------
    store : DocumentStore
        The platform's store.
    directory : Directory
        Holds the address of this node.
    log : EventLog
        Event log of the process.
    rng : random.Random
        Source of jitter.

    Attributes
    ----------
    on_loaded : callable
        Called with the stored leaves each time the entry was read.
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
        self._stored: tuple[Leave, ...] = ()
        self._pending: list[Leave] = []
        self._revision = 0
        self._removed = False
        self._was_restored = False
        self._has_work = trio.Event()
        self._changed = trio.Event()
        self.on_loaded: Callable[[tuple[Leave, ...]], None] = _ignore

    async def load(self, reads_first: bool = False) -> None:
        """Create the entry, or read and correct that of an earlier process.

        Parameters
        ----------
        reads_first : bool
            Whether the entry likely exists.

        Raises
        ------
        PlatformError
            The store did not confirm the entry; the call can be repeated.
        """
        name = self._directory.local.name
        document = await (self._get if reads_first else self._create_or_get)(name)
        self._apply(document)
        self.on_loaded(self._stored)
        content = self._make_entry(self._stored).to_content()
        if document.content != content:
            self._apply(
                await self._store.replace(MEMBER_KIND, name, content, document.revision)
            )

    async def _get(self, name: str) -> Document:
        try:
            return await self._store.get(MEMBER_KIND, name)
        except NotFoundError:
            return await self._create_or_get(name)

    async def _create_or_get(self, name: str) -> Document:
        content = self._make_entry(self._stored).to_content()
        try:
            return await self._store.create(MEMBER_KIND, name, content)
        except ConflictError:
            return await self._store.get(MEMBER_KIND, name)

    async def run(self) -> None:
        """Write leaves to the loaded entry until cancelled."""
        while True:
            await self._has_work.wait()
            self._has_work = trio.Event()
            if self._was_restored:
                with trio.move_on_after(
                    self._rng.uniform(0.0, self._rewrite_spread_s())
                ):
                    while not self._pending:  # A leave is not delayed.
                        await self._has_work.wait()
                        self._has_work = trio.Event()
            while (self._pending or self._was_restored) and not self._removed:
                try:
                    if self._was_restored:
                        self._was_restored = False
                        await self._check_restored()
                    if self._pending:
                        await self._write_pending()
                except PlatformError as exc:
                    self._log.emit(
                        "node_entry",
                        "leave_not_stored",
                        f"A leave could not be stored yet: {exc.message}.",
                        instances=[leave.instance for leave in self._pending],
                        code=exc.code.value,
                    )
                    await trio.sleep(
                        WRITE_RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.0)
                    )

    def handle_restored(self) -> None:
        """Check the entry, as the store came back from an older copy."""
        self._was_restored = True
        self._has_work.set()

    def _rewrite_spread_s(self) -> float:
        members = len(self._directory.all())
        return max(MIN_REWRITE_SPREAD_S, members / REWRITES_PER_S)

    async def _check_restored(self) -> None:
        try:
            await self.load(reads_first=True)
        except PlatformError:
            self._was_restored = True
            raise

    async def store_leave(self, leave: Leave) -> bool:
        """Store a leave; return whether the store has confirmed it in time.

        The write goes on after the wait of ``LEAVE_STORE_TIMEOUT_S``, so that a
        repeated report finds it done.
        """
        if not self._is_stored(leave):
            if leave not in self._pending:
                self._pending.append(leave)
            self._has_work.set()
            with trio.move_on_after(LEAVE_STORE_TIMEOUT_S):
                while not self._is_stored(leave):
                    await self._changed.wait()
        return self._is_stored(leave)

    async def remove(self) -> None:
        """Delete the entry when the VM is removed permanently.

        Raises
        ------
        PlatformError
            The store did not confirm the deletion.
        """
        self._removed = True
        await self._store.delete(MEMBER_KIND, self._directory.local.name)

    def _make_entry(self, left: tuple[Leave, ...]) -> MemberEntry:
        local = self._directory.local
        return MemberEntry(local.address, local.peer_port, left)

    def _is_stored(self, leave: Leave) -> bool:
        return any(stored.covers(leave) for stored in self._stored)

    def _restore_lost(self, before: tuple[Leave, ...]) -> None:
        lost = [leave for leave in before if not self._is_stored(leave)]
        self._pending = list(merge_leaves(lost, self._pending))
        self._log.emit(
            "node_entry",
            "leaves_lost",
            f"A restored store lacks {len(lost)} leaves, which are written again.",
            instances=[leave.instance for leave in lost],
        )

    async def _write_pending(self) -> None:
        left = merge_leaves(self._stored, self._pending)
        try:
            document = await self._store.replace(
                MEMBER_KIND,
                self._directory.local.name,
                self._make_entry(left).to_content(),
                self._revision,
            )
        except (ConflictError, NotFoundError, UnknownOutcomeError):
            # The entry was changed, or the response was lost: what is stored decides.
            if not self._removed:
                await self.load()
            return
        self._apply(document)

    def _apply(self, document: Document) -> None:
        """Take over what the store holds.

        Leaves that an older copy lacks were acknowledged and are written again.
        """
        before = self._stored
        is_restored = era_of(document.revision) > era_of(self._revision)
        self._revision = document.revision
        try:
            self._stored = decode_entry(document).left
        except (ValueError, RecursionError):
            self._stored = ()
        if is_restored and not set(before) <= set(self._stored):
            self._restore_lost(before)
        for leave in self._pending:
            if self._is_stored(leave):
                self._log.emit(
                    "node_entry",
                    "leave_stored",
                    f"The leave of {leave.instance} is stored.",
                    instance=leave.instance,
                    born_ms=leave.born_ms,
                    revision=document.revision,
                )
        self._pending = [item for item in self._pending if not self._is_stored(item)]
        if self._pending:
            self._has_work.set()
        self._changed.set()
        self._changed = trio.Event()
