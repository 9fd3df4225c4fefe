"""Reports of response counts to the nodes that may decide on an order."""

from __future__ import annotations

import unittest

import msgspec
import trio
import trio.testing

from marigoldchute.orders.outcomes import NodeOutcomes, RouteCounts
from marigoldchute.routing.outcomes import Outcome
from tests.support.order_drivers import SERVICE, DriverNode, Store


def run(test) -> None:  # type: ignore[no-untyped-def]
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


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
        reports = [body for name, body in node.control.received if name == "vm-3"]
        self.assertGreaterEqual(len(reports), 10)
        last = msgspec.msgpack.decode(reports[-1], type=NodeOutcomes)
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
            await node.driver.handle_report(None, msgspec.msgpack.encode(report))
            await node.tick()
            await trio.sleep(0.25)
        state = node.book.state(SERVICE)
        assert state is not None
        self.assertTrue(node.book.is_faulty(state))
        self.assertTrue(state.is_open, "only the leader writes the verdict")


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
        for _, body in first.control.received:
            await late.driver.handle_report(None, body)
        self.assertGreater(late.driver.age_s(order_id, trio.current_time()), 9.0)
