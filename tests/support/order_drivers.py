"""Order drivers on one store, each with its own copy of the records."""

from __future__ import annotations

import types
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.errors import (
    ConflictError,
    NotFoundError,
    PeerError,
    UnknownOutcomeError,
)
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.rejections import Rejections
from marigoldchute.link.handlers import Handlers
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.objectstore.documents import Document, DocumentPage
from marigoldchute.orders.book import OrderBook
from marigoldchute.orders.driver import OrderDriver
from marigoldchute.orders.outcomes import OutcomeCounter
from marigoldchute.overlay.records import RecordKind, RecordTable
from marigoldchute.platform.orders import PlatformOrderApi

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.link.methods import Method

SERVICE, DURATION_S = "turnos", 16.0


class Store:
    """Document store with conditional writes that may be late or lose a response."""

    def __init__(self) -> None:
        self.spec: Any = None
        self.status: Any = None
        self.revision = 1
        self.late_writes: list[Callable[[], None]] = []
        self.next_write = ""
        self.history: list[tuple[str, str]] = []
        self.write_delay_s = 0.0

    def order(self, target: str) -> None:
        """Order a move to a release, as the operator does."""
        self.revision += 1
        self.spec = {
            "service": SERVICE,
            "target_version": target,
            "duration_s": DURATION_S,
        }

    def document(self) -> Document:
        return Document("rollouts", SERVICE, self.revision, self.spec, self.status)

    async def get(self, kind: str, name: str) -> Document:
        if self.spec is None:
            raise NotFoundError(name)
        return self.document()

    async def write_status(
        self, kind: str, name: str, status: Any, expected_revision: int
    ) -> Document:
        await trio.sleep(self.write_delay_s)
        way, self.next_write = self.next_write, ""
        if way == "late":
            self.late_writes.append(lambda: self._apply(status, expected_revision))
            raise UnknownOutcomeError("no response")
        if not self._apply(status, expected_revision):
            raise ConflictError(name)
        if way == "lost":
            raise UnknownOutcomeError("no response")
        return self.document()

    def _apply(self, status: Any, expected_revision: int) -> bool:
        if expected_revision != self.revision:
            return False
        if status != self.status:
            self.revision += 1
            self.status = status
            self.history.append((status["target_version"], status["state"]))
        return True


class Control:
    """Links to other nodes; those in ``silent`` do not respond."""

    def __init__(self) -> None:
        self.silent: set[str] = set()
        self.received: list[tuple[str, Method, bytes]] = []

    async def call(
        self, name: str, method: Method, body: bytes, timeout_s: float
    ) -> bytes:
        """Deliver a message, or wait until the timeout."""
        if name in self.silent:
            await trio.sleep(timeout_s)
            raise PeerError("no response")
        self.received.append((name, method, body))
        return b""


class DriverNode:
    """One driver with its own copy of the records; it leads by default."""

    def __init__(self, name: str, store: Store) -> None:
        servers = tuple(
            BackendServer(f"{name}-{release}", SERVICE, release, 80, 6, 100)
            for release in ("v1", "v2", "v3")
        )
        self.member = Member(name, 1, 1, "10.0.0.1", 1, "dc", "r", servers=servers)
        self.reachable = [self.member]
        self.directory: Any = types.SimpleNamespace(
            local=self.member,
            all=lambda: (self.member,),
            is_full_mesh=True,
            reachable=lambda: self.reachable,
        )
        self.is_leader = True
        self.candidates: list[str] = []
        duty: Any = types.SimpleNamespace(
            is_leader=lambda is_reading, now: self.is_leader,
            leader_candidates=lambda now: self.candidates,
        )
        log: Any = MemoryEventLog()
        self.table = RecordTable()
        self.handlers = Handlers()
        self.book = OrderBook(self.directory, self.table, log)
        self.store = store
        self.control = Control()
        self.counter = OutcomeCounter(self.book)
        self.driver = OrderDriver(
            PlatformOrderApi(store),  # type: ignore[arg-type]
            self.book,
            self.counter,
            self.directory,
            duty,
            self.control,  # type: ignore[arg-type]
            self.handlers,
            Rejections(),
            log,
        )
        reader: Any = types.SimpleNamespace(is_reading=lambda now: True)
        self.driver.reader = reader

    def read(self) -> None:
        """Read the order from the store, as a reader does."""
        page = DocumentPage((self.store.document(),), self.store.revision)
        self.driver.apply_page(page, True)

    async def tick(self) -> None:
        for state in self.book.states():
            if state.is_open:
                await self.driver._advance(state)

    def find_fault(self) -> None:
        for state in self.book.states():
            if state.is_open:
                self.book.report_fault(state, "test")

    def send_records(self, other: DriverNode) -> None:
        for kind in (RecordKind.ORDER, RecordKind.ORDER_FAULT):
            for record in self.table.of_kind(kind):
                other.table.apply(record, self.member.name)
