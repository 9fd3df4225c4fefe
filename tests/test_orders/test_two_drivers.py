"""Two drivers that act at once, around a hand-over, on one store and its orders.

Both take themselves for the leader: one was frozen or cut off, and its view of records
and documents is old. Writes may lose their response, take effect late, or be refused.
"""

from __future__ import annotations

import random
import types
import unittest
from typing import TYPE_CHECKING, Any

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.errors import ConflictError, NotFoundError, UnknownOutcomeError
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.rejections import Rejections
from marigoldchute.link.handlers import Handlers
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.objectstore.documents import Document, DocumentPage
from marigoldchute.orders.book import OrderBook
from marigoldchute.orders.driver import OrderDriver
from marigoldchute.orders.model import OrderStage
from marigoldchute.orders.outcomes import OutcomeCounter
from marigoldchute.overlay.records import RecordKind, RecordTable
from marigoldchute.platform.orders import PlatformOrderApi
from marigoldchute.util.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE, DURATION_S = "turnos", 16.0
VERDICTS = ("succeeded", "rolled_back")


class Store:
    """Document store with conditional writes that may be late or lose a response."""

    def __init__(self) -> None:
        self.spec: Any = None
        self.status: Any = None
        self.revision = 1
        self.late_writes: list[Callable[[], None]] = []
        self.next_write = ""
        self.history: list[tuple[str, str]] = []

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


class Node:
    """One driver with its own copy of the records; it always leads."""

    def __init__(self, name: str, store: Store) -> None:
        servers = tuple(
            BackendServer(f"{name}-{release}", SERVICE, release, 80, 6, 100)
            for release in ("v1", "v2", "v3")
        )
        self.member = Member(name, 1, 1, "10.0.0.1", 1, "dc", "r", servers=servers)
        members: Any = types.SimpleNamespace(
            local=self.member, all=lambda: (self.member,)
        )
        duty: Any = types.SimpleNamespace(is_leader=lambda is_reading, now: True)
        log: Any = MemoryEventLog()
        self.table = RecordTable()
        self.book = OrderBook(members, self.table, log)
        self.store = store
        self.driver = OrderDriver(
            PlatformOrderApi(store),  # type: ignore[arg-type]
            self.book,
            OutcomeCounter(self.book),
            members,
            duty,
            None,  # type: ignore[arg-type]
            Handlers(),
            Rejections(),
            log,
            Clock(),
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

    def send_records(self, other: Node) -> None:
        for kind in (RecordKind.ORDER, RecordKind.ORDER_FAULT):
            for record in self.table.of_kind(kind):
                other.table.apply(record, self.member.name)


class TwoDriversTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.integers(0, 10**9), st.integers(10, 120))
    def test_one_verdict_for_each_order_and_never_another_one(
        self, seed: int, steps: int
    ) -> None:
        store = self.run_drivers(seed, steps)
        verdicts: dict[str, set[str]] = {}
        for target, state in store.history:
            if state in VERDICTS:
                verdicts.setdefault(target, set()).add(state)
        for target, states in verdicts.items():
            self.assertEqual(len(states), 1, (target, store.history))

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.integers(0, 10**9), st.integers(10, 120))
    def test_status_never_goes_back_behind_a_verdict(
        self, seed: int, steps: int
    ) -> None:
        decided: set[str] = set()
        history = self.run_drivers(seed, steps).history
        for target, state in history:
            if target in decided:
                self.assertIn(state, VERDICTS, history)
            if state in VERDICTS:
                decided.add(target)

    def run_drivers(self, seed: int, steps: int) -> Store:
        """Let two drivers and the operator act in a random order."""
        store = Store()
        trio.run(
            self._act,
            store,
            random.Random(seed),
            steps,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        return store

    async def _act(self, store: Store, rng: random.Random, steps: int) -> None:
        nodes = [Node("vm-1", store), Node("vm-2", store)]
        targets = ["v2", "v3"]
        store.order(targets.pop(0))
        stages: dict[tuple[str, str], int] = {}
        for _ in range(steps):
            node, other = rng.sample(nodes, 2)
            action = rng.random()
            if action < 0.2:
                node.read()
            elif action < 0.3:
                node.send_records(other)
            elif action < 0.35:
                store.next_write = rng.choice(("late", "lost"))
            elif action < 0.4 and store.late_writes:
                store.late_writes.pop(0)()
            elif action < 0.43:
                node.find_fault()
            elif action < 0.45 and targets and store.status is not None:
                if store.status["state"] in VERDICTS:
                    store.order(targets.pop(0))
            else:
                await node.tick()
                await trio.sleep(rng.choice((0.1, 0.4, 1.0)))
            self._check_stages(nodes, stages)

    def _check_stages(
        self, nodes: list[Node], stages: dict[tuple[str, str], int]
    ) -> None:
        """An order that is decided on a node is never open there again."""
        for node in nodes:
            for state in node.book.states():
                key = (node.member.name, state.order_id)
                if stages.get(key, 0) > OrderStage.RUNNING:
                    self.assertFalse(state.is_open, key)
                stages[key] = max(stages.get(key, 0), state.stage)


if __name__ == "__main__":
    unittest.main()
