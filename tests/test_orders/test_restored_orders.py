"""Orders when the store comes back from an older copy."""

from __future__ import annotations

import copy
import unittest
from typing import TYPE_CHECKING, Any

import trio
import trio.testing

from marigoldchute.errors import ConflictError
from marigoldchute.objectstore.documents import Document, DocumentPage
from marigoldchute.objectstore.eras import make_position
from marigoldchute.orders.driver import REWRITE_DELAY_S
from marigoldchute.orders.model import OrderStage
from tests.support.order_drivers import SERVICE, DriverNode, Store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldchute.orders.model import OrderState


class EraStore(Store):
    """Store of orders with eras, which may be restored from a copy."""

    def __init__(self) -> None:
        super().__init__()
        self.era = 1
        self.revision = 40
        self.writes = 0

    def document(self) -> Document:
        position = make_position(self.era, self.revision)
        return Document("rollouts", SERVICE, position, self.spec, self.status)

    def copy(self) -> Any:
        return copy.deepcopy((self.revision, self.spec, self.status))

    def restore(self, stored: Any) -> None:
        self.revision, self.spec, self.status = copy.deepcopy(stored)
        self.era += 1

    async def write_status(
        self, kind: str, name: str, status: Any, expected_revision: int
    ) -> Document:
        self.writes += 1
        if expected_revision != make_position(self.era, self.revision):
            raise ConflictError(name)
        return await super().write_status(kind, name, status, self.revision)


class OrderTestCase(unittest.TestCase):
    def run_with_store(self, scenario: Callable[[EraStore], Awaitable[None]]) -> None:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(scenario, EraStore(), clock=clock)

    async def finish_order(self, node: DriverNode) -> OrderState:
        """Find a fault, so that the order ends with a verdict."""
        await node.tick()
        node.find_fault()
        for _ in range(5):
            await node.tick()
        return self.state(node)

    def state(self, node: DriverNode) -> OrderState:
        state = node.book.state(SERVICE)
        assert state is not None
        return state

    async def rewrite(self, node: DriverNode) -> int:
        """Rewrite statuses as the driver's loop does; return the number of writes."""
        before = node.store.writes  # type: ignore[attr-defined]
        for _ in range(30):
            lacking = node.driver._next_without_status(trio.current_time())
            if lacking is not None:
                await node.driver._rewrite_one(lacking)
            await trio.sleep(0.1)
        return node.store.writes - before  # type: ignore[attr-defined,no-any-return]


class VerdictTest(OrderTestCase):
    def test_lost_verdict_is_kept_and_written_again_once(self) -> None:
        async def scenario(store: EraStore) -> None:
            store.order("v2")
            stored = store.copy()
            node = DriverNode("vm-1", store)
            node.read()
            before = await self.finish_order(node)
            self.assertEqual(before.stage, OrderStage.TAKEN_BACK)
            store.restore(stored)
            self.assertIsNone(store.status)
            node.read()
            self.assertEqual(self.state(node), before)
            self.assertEqual(await self.rewrite(node), 1)
            self.assertEqual(store.status["state"], "rolled_back")
            self.assertEqual(store.status["target_version"], "v2")
            self.assertEqual(node.driver.rewritten_count, 1)
            self.assertEqual(await self.rewrite(node), 0)

        self.run_with_store(scenario)

    def test_order_that_the_operator_writes_again_keeps_its_verdict(self) -> None:
        async def scenario(store: EraStore) -> None:
            stored = store.copy()
            store.order("v2")
            node = DriverNode("vm-1", store)
            node.read()
            before = await self.finish_order(node)
            store.restore(stored)
            node.driver.apply_page(DocumentPage((), make_position(2, 40)), True)
            self.assertEqual(await self.rewrite(node), 0)
            store.order("v2")
            node.read()
            self.assertEqual(self.state(node), before)
            self.assertEqual(await self.rewrite(node), 1)
            self.assertEqual(store.status["state"], "rolled_back")

        self.run_with_store(scenario)

    def test_status_of_a_running_order_is_written_again(self) -> None:
        async def scenario(store: EraStore) -> None:
            store.order("v2")
            stored = store.copy()
            node = DriverNode("vm-1", store)
            node.read()
            for _ in range(30):
                await node.tick()
                await trio.sleep(0.1)
            before = self.state(node)
            self.assertEqual(before.stage, OrderStage.RUNNING)
            store.restore(stored)
            node.read()
            await self.rewrite(node)
            self.assertEqual(self.state(node).share, before.share)
            self.assertEqual(store.status["state"], "running")

        self.run_with_store(scenario)

    def test_only_the_leader_writes_and_not_at_once(self) -> None:
        async def scenario(store: EraStore) -> None:
            store.order("v2")
            stored = store.copy()
            node = DriverNode("vm-1", store)
            node.read()
            await self.finish_order(node)
            store.restore(stored)
            node.read()
            node.is_leader = False
            self.assertEqual(await self.rewrite(node), 0)
            node.is_leader = True
            node.driver._lacks_status_since.clear()
            now = trio.current_time()
            self.assertIsNone(node.driver._next_without_status(now))
            later = now + REWRITE_DELAY_S
            self.assertIsNotNone(node.driver._next_without_status(later))
            self.assertIsNone(node.driver._next_without_status(later + 0.1))

        self.run_with_store(scenario)

    def test_nothing_is_written_again_without_a_restoration(self) -> None:
        """The status of another writer is not contested."""

        async def scenario(store: EraStore) -> None:
            store.order("v2")
            node = DriverNode("vm-1", store)
            node.read()
            await self.finish_order(node)
            store.status = None
            store.revision += 1
            node.read()
            self.assertEqual(await self.rewrite(node), 0)

        self.run_with_store(scenario)


class EarlierOrderTest(OrderTestCase):
    """The copy shows an order that a later one had replaced."""

    async def replace_order(self, store: EraStore, node: DriverNode) -> Any:
        store.order("v2")
        stored = store.copy()
        node.read()
        await self.finish_order(node)
        self.first_status = copy.deepcopy(store.status)
        store.order("v3")
        node.read()
        await node.tick()
        return stored

    def test_earlier_order_does_not_begin_again(self) -> None:
        async def scenario(store: EraStore) -> None:
            node = DriverNode("vm-1", store)
            stored = await self.replace_order(store, node)
            before = self.state(node)
            self.assertEqual(before.target, "v3")
            store.restore(stored)
            node.read()
            self.assertEqual(self.state(node), before)
            store.order("v3")
            node.read()
            self.assertEqual(self.state(node), before)

        self.run_with_store(scenario)

    def test_verdict_of_an_earlier_order_of_the_same_target_is_not_taken(self) -> None:
        async def scenario(store: EraStore) -> None:
            node = DriverNode("vm-1", store)
            await self.replace_order(store, node)
            store.order("v2")
            store.status = None
            node.read()
            for _ in range(30):
                await node.tick()
                await trio.sleep(0.1)
            before = self.state(node)
            self.assertEqual(before.stage, OrderStage.RUNNING)
            store.restore((43, store.spec, self.first_status))
            node.read()
            self.assertEqual(self.state(node), before)
            self.assertEqual(await self.rewrite(node), 1)
            self.assertEqual(store.status["state"], "running")

        self.run_with_store(scenario)

    def test_new_order_of_a_new_era_wins_with_a_lower_revision(self) -> None:
        async def scenario(store: EraStore) -> None:
            node = DriverNode("vm-1", store)
            stored = await self.replace_order(store, node)
            store.restore(stored)
            node.read()
            store.order("v1")
            node.read()
            self.assertEqual(self.state(node).target, "v1")

        self.run_with_store(scenario)

    def test_started_reader_that_publishes_it_is_corrected(self) -> None:
        async def scenario(store: EraStore) -> None:
            node = DriverNode("vm-1", store)
            stored = await self.replace_order(store, node)
            store.restore(stored)
            started = DriverNode("vm-2", store)
            started.read()
            self.assertEqual(self.state(started).target, "v2")
            started.send_records(node)
            node.send_records(started)
            self.assertEqual(self.state(node).target, "v3")
            self.assertEqual(self.state(started), self.state(node))
            started.read()
            self.assertEqual(self.state(started).target, "v3")

        self.run_with_store(scenario)


class StartedReaderTest(OrderTestCase):
    """A reader without records reads the restored store and has the higher rank."""

    def test_verdict_stays_and_is_written_again(self) -> None:
        async def scenario(store: EraStore) -> None:
            store.order("v2")
            stored = store.copy()
            node = DriverNode("vm-1", store)
            node.read()
            await self.finish_order(node)
            store.restore(stored)
            started = DriverNode("vm-2", store)
            started.read()
            started.send_records(node)
            node.send_records(started)
            node.read()
            for reader in (node, started):
                state = self.state(reader)
                self.assertEqual(state.stage, OrderStage.TAKEN_BACK)
                self.assertTrue(reader.book.is_faulty(state))
                self.assertEqual(reader.book.split(SERVICE, "").share, 0.0)
            self.assertEqual(self.state(node), self.state(started))
            self.assertEqual(await self.rewrite(node), 1)
            self.assertEqual(store.status["state"], "rolled_back")

        self.run_with_store(scenario)

    def test_running_order_keeps_its_share_and_age(self) -> None:
        async def scenario(store: EraStore) -> None:
            store.order("v2")
            stored = store.copy()
            node = DriverNode("vm-1", store)
            node.read()
            for _ in range(30):
                await node.tick()
                await trio.sleep(0.1)
            before = self.state(node)
            age_s = node.driver.age_s(before.order_id, trio.current_time())
            self.assertGreater(before.share, 0.0)
            store.restore(stored)
            started = DriverNode("vm-2", store)
            started.read()
            started.send_records(node)
            node.send_records(started)
            for reader in (node, started):
                self.assertEqual(self.state(reader).share, before.share)
            state = self.state(node)
            now = trio.current_time()
            self.assertAlmostEqual(node.driver.age_s(state.order_id, now), age_s)

        self.run_with_store(scenario)

    def test_nodes_that_correct_it_at_once_agree(self) -> None:
        async def scenario(store: EraStore) -> None:
            store.order("v2")
            stored = store.copy()
            nodes = [DriverNode(f"vm-{i}", store) for i in range(3)]
            nodes[0].read()
            await self.finish_order(nodes[0])
            nodes[0].send_records(nodes[1])
            store.restore(stored)
            nodes[2].read()
            for node in nodes[:2]:
                nodes[2].send_records(node)
            for _ in range(2):
                for sender in nodes:
                    for receiver in nodes:
                        sender.send_records(receiver)
            states = {self.state(node) for node in nodes}
            self.assertEqual(len(states), 1)
            self.assertEqual(states.pop().stage, OrderStage.TAKEN_BACK)

        self.run_with_store(scenario)


if __name__ == "__main__":
    unittest.main()
