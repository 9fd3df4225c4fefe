"""Reports of response counts to the nodes that may decide on an order."""

from __future__ import annotations

import dataclasses
import unittest
from typing import Any

import msgspec
import trio
import trio.testing

from marigoldchute.link.methods import Method
from marigoldchute.orders.outcomes import NodeOutcomes, RouteCounts
from marigoldchute.overlay.topology import rendezvous_names
from marigoldchute.routing.outcomes import Outcome
from tests.support.order_drivers import SERVICE, DriverNode, Store


def run(test) -> None:  # type: ignore[no-untyped-def]
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


def decode(body: bytes) -> list[NodeOutcomes]:
    return msgspec.msgpack.decode(body, type=list[NodeOutcomes])


async def start_order(node: DriverNode, ticks: int = 30) -> str:
    """Read an order and drive it to its first share; return its id."""
    node.store.order("v2")
    node.read()
    for _ in range(ticks):
        await node.tick()
        await trio.sleep(0.1)
    state = node.book.state(SERVICE)
    assert state is not None
    return state.order_id


class SilentCandidateTest(unittest.TestCase):
    """One of the nodes that get reports does not respond."""

    def test_other_candidate_gets_each_report_in_time(self) -> None:
        # Guards against a fault that is found late because one reader is cut off.
        run(self._report_beside_a_silent_candidate)

    async def _report_beside_a_silent_candidate(self) -> None:
        node = DriverNode("vm-1", Store())
        order_id = await start_order(node)
        node.is_leader = False
        node.candidates = ["vm-2", "vm-3"]
        node.control.silent.add("vm-2")
        with trio.move_on_after(3.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.driver.run)
                while True:
                    node.counter.record(
                        "r", SERVICE, "v2", order_id, Outcome.OK, 5.0, 0, False, 0
                    )
                    await trio.sleep(0.05)
        reports = [body for name, _, body in node.control.received if name == "vm-3"]
        self.assertGreaterEqual(len(reports), 10)
        (last,) = decode(reports[-1])
        self.assertGreaterEqual(last.counts[0].responses, 50)


class SecondReaderTest(unittest.TestCase):
    """A reader that does not lead gets the same reports as the leader."""

    def test_fault_is_found_while_the_leader_is_cut_off(self) -> None:
        # Guards against a faulty release that keeps its share until a leader is found.
        run(self._report_to_a_follower)

    async def _report_to_a_follower(self) -> None:
        node = DriverNode("vm-1", Store())
        order_id = await start_order(node)
        node.is_leader = False
        for number in range(1, 13):
            counts = [RouteCounts("r", True, 10 * number, 5 * number, 0)]
            report = NodeOutcomes(f"vm-{2 + number % 2}", 1, order_id, counts)
            node.driver.apply_report(report)
            await node.tick()
            await trio.sleep(0.25)
        state = node.book.state(SERVICE)
        assert state is not None
        self.assertTrue(node.book.is_faulty(state))
        self.assertTrue(state.is_open, "only the leader writes the verdict")


class SilentStoreTest(unittest.TestCase):
    """The store does not answer the write of a status."""

    def test_fault_is_found_while_a_status_is_written(self) -> None:
        # Guards against a faulty release that keeps its share while the store is away.
        run(self._report_during_a_write)

    async def _report_during_a_write(self) -> None:
        node = DriverNode("vm-1", Store())
        node.store.write_delay_s = 30.0
        node.store.order("v2")
        node.read()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.driver.run)
            await trio.sleep(3.0)
            state = node.book.state(SERVICE)
            assert state is not None
            self.assertGreater(state.share, 0.0)
            for number in range(1, 13):
                counts = [RouteCounts("r", True, 10 * number, 5 * number, 0)]
                node.driver.apply_report(
                    NodeOutcomes("vm-2", 1, state.order_id, counts)
                )
                await trio.sleep(0.25)
            self.assertTrue(node.book.is_faulty(state))
            nursery.cancel_scope.cancel()


class OrderAgeTest(unittest.TestCase):
    """A node that learns of an order late takes it over."""

    def test_age_of_the_order_is_that_of_the_oldest_report(self) -> None:
        # Guards against a deadline that moves with each node that takes over.
        run(self._take_over)

    async def _take_over(self) -> None:
        store = Store()
        first, late = DriverNode("vm-1", store), DriverNode("vm-2", store)
        order_id = await start_order(first, 90)
        first.send_records(late)
        first.candidates = ["vm-2"]
        first.is_leader = False
        with trio.move_on_after(0.6):
            await first.driver.run()
        for _, _, body in first.control.received:
            for report in decode(body):
                late.driver.apply_report(report)
        self.assertGreater(late.driver.age_s(order_id, trio.current_time()), 9.0)


class CollectorTest(unittest.TestCase):
    """Reports in a mesh too large for each node to report to each candidate."""

    names = tuple(f"vm-{number}" for number in range(60))
    order = tuple(rendezvous_names(names, "order-collector"))

    def make_node(self, name: str) -> DriverNode:
        node = DriverNode(name, Store())
        node.directory.is_full_mesh = False
        node.reachable = [
            dataclasses.replace(node.member, name=other) for other in self.names
        ]
        node.candidates = ["reader-1", "reader-2"]
        return node

    async def run_for(self, node: DriverNode, seconds: float) -> None:
        with trio.move_on_after(seconds):
            await node.driver.run()

    def test_node_reports_to_the_collector_of_its_data_centre_only(self) -> None:
        run(self._report_to_the_collector)

    async def _report_to_the_collector(self) -> None:
        node = self.make_node(self.order[5])
        order_id = await start_order(node)
        node.counter.record("r", SERVICE, "v2", order_id, Outcome.OK, 5.0, 0, False, 0)
        await self.run_for(node, 0.6)
        destinations = {(name, method) for name, method, _ in node.control.received}
        self.assertEqual(destinations, {(self.order[0], Method.COLLECT_OUTCOMES)})

    def test_next_member_collects_when_the_collector_is_lost(self) -> None:
        # Guards against a data centre whose counts are lost with a member that is gone.
        run(self._lose_the_collector)

    async def _lose_the_collector(self) -> None:
        node = self.make_node(self.order[5])
        order_id = await start_order(node)
        node.control.silent.add(self.order[0])
        node.counter.record("r", SERVICE, "v2", order_id, Outcome.OK, 5.0, 0, False, 0)
        await self.run_for(node, 1.5)
        ((name, _, body),) = node.control.received
        self.assertEqual(name, self.order[1])
        self.assertEqual(decode(body)[0].counts[0].responses, 1)

    def test_candidates_get_few_messages_with_all_counts(self) -> None:
        # Guards against readers that lose reports because each node sends its own.
        run(self._collect)

    async def _collect(self) -> None:
        node = self.make_node(self.order[0])
        order_id = await start_order(node)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_for, node, 3.0)
            for number in range(1, 11):
                await self._send_all(node, order_id, number)
                await trio.sleep(0.25)
        for candidate in node.candidates:
            bodies = [b for name, _, b in node.control.received if name == candidate]
            self.assertLessEqual(len(bodies), 12)
            latest = {r.node: r for body in bodies for r in decode(body)}
            others = set(self.names) - {node.member.name}
            self.assertLessEqual(others, set(latest))
            for name in others:
                self.assertEqual(latest[name].counts[0].responses, 10)

    async def _send_all(self, node: DriverNode, order_id: str, number: int) -> None:
        handler: Any = node.handlers.find(Method.COLLECT_OUTCOMES)
        for name in self.names:
            if name != node.member.name:
                counts = [RouteCounts("r", True, number, 0, 0)]
                report = NodeOutcomes(
                    name, 1, order_id, counts, elapsed_ms=250 * number
                )
                await handler(None, msgspec.msgpack.encode([report]))

    def test_report_that_comes_back_is_not_sent_again(self) -> None:
        # Guards against two nodes that send reports to each other without end.
        run(self._return_a_report)

    async def _return_a_report(self) -> None:
        node = self.make_node(self.order[0])
        order_id = await start_order(node)
        handler: Any = node.handlers.find(Method.COLLECT_OUTCOMES)
        report = NodeOutcomes("vm-x", 1, order_id, [], elapsed_ms=500)
        body = msgspec.msgpack.encode([report])
        await handler(None, body)
        await self.run_for(node, 0.6)
        node.control.received.clear()
        await handler(None, body)
        await self.run_for(node, 0.6)
        self.assertEqual(node.control.received, [])
