"""Tests of the exchange of running requests between nodes, on calls in memory."""

from __future__ import annotations

import dataclasses
import types
import unittest
from typing import TYPE_CHECKING, Any

import trio
import trio.testing

from marigoldchute.bundle.model import Customer
from marigoldchute.errors import PeerError
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.run_exchange import (
    AVOID_S,
    MAX_STALE_S,
    MIN_AGE_S,
    MIN_REPORT_INTERVAL_S,
    START_S,
    RunExchange,
)
from marigoldchute.link.handlers import Handlers
from marigoldchute.membership.model import Member
from marigoldchute.routing.running_requests import RunningRequest, RunningRequests

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

RUN = RunningRequest("id", "r", "acme", "i@1", -1.0, 20.0)


class Mesh:
    """Nodes of one data centre; the other data centre has two of the same region."""

    def __init__(self) -> None:
        self.members = [
            Member(f"vm-{i}", 1, 1, "127.0.0.1", 1, "dc" if i < 7 else "far", "r")
            for i in range(9)
        ]
        self.peers = {member.name: ("", 0) for member in self.members}
        self.silent: set[str] = set()
        self.delay_s = 0.002
        self.calls: list[tuple[str, str]] = []
        self.nodes: dict[str, Node] = {}
        for member in self.members:
            self.start(member.name, 1)

    def start(self, name: str, process_id: int) -> Node:
        """Start a process of a node, which replaces an earlier one."""
        self.members = [
            dataclasses.replace(member, incarnation=process_id)
            if member.name == name
            else member
            for member in self.members
        ]
        self.nodes[name] = Node(self, name, process_id)
        return self.nodes[name]

    def receivers(self, sender: str) -> list[str]:
        """Return the receivers of the calls of a node since the last time."""
        names = [receiver for name, receiver in self.calls if name == sender]
        self.calls = []
        return names


class Node:
    def __init__(self, mesh: Mesh, name: str, process_id: int) -> None:
        self.mesh, self.name = mesh, name
        self.handlers = Handlers()
        self.requests = RunningRequests(".")
        self.requests.start(trio.current_time())
        (local,) = (member for member in mesh.members if member.name == name)
        directory: Any = types.SimpleNamespace(
            local=local,
            reachable=lambda: mesh.members,
            wanted_peers=lambda: mesh.peers,
        )
        log: Any = MemoryEventLog()
        self.exchange = RunExchange(
            self.requests, directory, self, self.handlers, log, process_id
        )
        self.put_in_force(Customer("acme"))

    def put_in_force(self, *customers: Customer) -> None:
        bundle: Any = types.SimpleNamespace(
            content=types.SimpleNamespace(customers=customers)
        )
        self.exchange.on_bundle(bundle)

    async def call(
        self, name: str, method: int, body: bytes, timeout_s: float
    ) -> bytes:
        """Call another node as a ``LinkPool`` does."""
        self.mesh.calls.append((self.name, name))
        await trio.sleep(self.mesh.delay_s)
        if name in self.mesh.silent:
            raise PeerError("no response")
        handler = self.mesh.nodes[name].handlers.find(method)
        assert handler is not None
        link: Any = types.SimpleNamespace(peer=types.SimpleNamespace(name=self.name))
        return await handler(link, body)

    async def report(self) -> list[str]:
        """Report once; return the members that were called."""
        await self.exchange.report(trio.current_time())
        return self.mesh.receivers(self.name)


class RunExchangeTest(unittest.TestCase):
    def run_mesh(self, body: Callable[[Mesh], Awaitable[None]]) -> None:
        async def main() -> None:
            await body(Mesh())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))

    def test_restarted_node_knows_the_requests_that_still_run(self) -> None:
        async def body(mesh: Mesh) -> None:
            node = mesh.nodes["vm-0"]
            node.requests.begin(RUN)
            await node.report()
            node = mesh.start("vm-0", 2)
            self.assertIsNone(node.requests.find_parent("id.1", 0.0))
            await node.report()
            parent = node.requests.find_parent("id.1", trio.current_time())
            assert parent is not None
            self.assertEqual((parent.route, parent.customer), ("r", "acme"))
            self.assertAlmostEqual(parent.deadline, RUN.deadline, delta=0.1)
            self.assertEqual(node.exchange.restored_count, 1)

        self.run_mesh(body)

    def test_requests_with_a_copy_are_counted_while_they_run(self) -> None:
        async def body(mesh: Mesh) -> None:
            node = mesh.nodes["vm-0"]
            node.requests.begin(RUN)
            self.assertEqual(node.exchange.count_copied(trio.current_time()), 0)
            await node.report()
            self.assertEqual(node.exchange.count_copied(trio.current_time()), 1)
            self.assertEqual(node.exchange.count_copied(RUN.deadline), 0)
            node.requests.end(RUN)
            self.assertEqual(node.exchange.count_copied(trio.current_time()), 0)

        self.run_mesh(body)

    # Guards against calls that end before their parent when a copy arrives slowly.
    def test_restored_request_ends_no_earlier_than_its_deadline(self) -> None:
        async def body(mesh: Mesh) -> None:
            node = mesh.nodes["vm-0"]
            node.requests.begin(RUN)
            await node.report()
            mesh.delay_s = 0.4
            node = mesh.start("vm-0", 2)
            await node.report()
            parent = node.requests.find_parent("id.1", trio.current_time())
            assert parent is not None
            self.assertAlmostEqual(parent.deadline, RUN.deadline, delta=0.01)

        self.run_mesh(body)

    def test_each_holder_alone_is_enough(self) -> None:
        async def body(mesh: Mesh) -> None:
            node = mesh.nodes["vm-0"]
            await node.report()
            node.requests.begin(RUN)
            await trio.sleep(MIN_REPORT_INTERVAL_S)
            holders = await node.report()
            self.assertEqual(len(holders), 2)
            for process_id, holder in enumerate(holders, 2):
                mesh.silent = {holder}
                node = mesh.start("vm-0", process_id)
                await node.report()
                self.assertIsNotNone(node.requests.find_parent("id.1", 0.0), holder)

        self.run_mesh(body)

    def test_report_is_sent_to_two_members_nearby_if_it_has_changed(self) -> None:
        async def body(mesh: Mesh) -> None:
            node = mesh.nodes["vm-0"]
            asked = await node.report()
            self.assertEqual(len(set(asked)), 4)
            self.assertFalse({"vm-0", "vm-7", "vm-8"} & set(asked))
            self.assertEqual(await node.report(), [])
            node.requests.begin(RUN)
            await trio.sleep(MIN_REPORT_INTERVAL_S)
            holders = await node.report()
            self.assertEqual(len(holders), 2)
            self.assertLess(set(holders), set(asked))
            self.assertEqual(await node.report(), [])
            mesh.start(holders[0], 2)
            self.assertEqual(await node.report(), [holders[0]])
            node.requests.end(RUN)
            self.assertEqual(await node.report(), [])
            await trio.sleep(MAX_STALE_S)
            self.assertCountEqual(await node.report(), holders)
            await trio.sleep(MAX_STALE_S)
            self.assertEqual(await node.report(), [])

        self.run_mesh(body)

    def test_short_requests_are_not_reported(self) -> None:
        async def body(mesh: Mesh) -> None:
            node = mesh.nodes["vm-0"]
            await node.report()
            node.requests.begin(
                dataclasses.replace(RUN, started_at=trio.current_time())
            )
            self.assertEqual(await node.report(), [])
            await trio.sleep(MIN_AGE_S)
            self.assertEqual(await node.report(), [])
            await trio.sleep(MIN_REPORT_INTERVAL_S - MIN_AGE_S)
            self.assertEqual(len(await node.report()), 2)

        self.run_mesh(body)

    def test_members_with_a_link_are_preferred(self) -> None:
        async def body(mesh: Mesh) -> None:
            mesh.peers = {name: ("", 0) for name in ("vm-3", "vm-5", "vm-8")}
            self.assertCountEqual(await mesh.nodes["vm-0"].report(), ["vm-3", "vm-5"])
            mesh.peers = {"vm-8": ("", 0)}
            mesh.start("vm-0", 2)
            self.assertEqual(len(await mesh.nodes["vm-0"].report()), 4)

        self.run_mesh(body)

    # Guards against links between regions that a node opens at its start.
    def test_members_elsewhere_are_used_only_if_none_nearby_appears(self) -> None:
        async def body(mesh: Mesh) -> None:
            members, mesh.members = mesh.members, mesh.members[:1] + mesh.members[7:]
            node = mesh.start("vm-0", 1)
            self.assertEqual(await node.report(), [])
            await trio.sleep(START_S)
            self.assertCountEqual(await node.report(), ["vm-7", "vm-8"])
            mesh.members = members
            self.assertFalse({"vm-7", "vm-8"} & set(await node.report()))

        self.run_mesh(body)

    def test_member_that_does_not_respond_is_replaced(self) -> None:
        async def body(mesh: Mesh) -> None:
            node = mesh.nodes["vm-0"]
            await node.report()
            node.requests.begin(RUN)
            await trio.sleep(MIN_REPORT_INTERVAL_S)
            first, second = await node.report()
            mesh.silent = {first}
            node.requests.begin(dataclasses.replace(RUN))
            await trio.sleep(MIN_REPORT_INTERVAL_S)
            self.assertCountEqual(await node.report(), [first, second])
            (third,) = await node.report()
            self.assertNotIn(third, (first, second))
            mesh.silent = set()
            await trio.sleep(AVOID_S)
            self.assertEqual(await node.report(), [first])

        self.run_mesh(body)

    def test_earlier_requests_are_asked_for_while_they_may_run(self) -> None:
        async def body(mesh: Mesh) -> None:
            node = mesh.nodes["vm-0"]
            await trio.sleep(31.0)
            self.assertEqual(len(await node.report()), 2)

        self.run_mesh(body)

    def test_nothing_is_sent_without_customers(self) -> None:
        async def body(mesh: Mesh) -> None:
            node = mesh.nodes["vm-0"]
            node.put_in_force()
            node.requests.begin(RUN)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.exchange.run)
                for customers, count in (((), 0), ((Customer("acme"),), 4), ((), 4)):
                    node.put_in_force(*customers)
                    await trio.sleep(1.0)
                    self.assertEqual(len(mesh.calls), count)
                nursery.cancel_scope.cancel()

        self.run_mesh(body)

    def test_restored_request_ends_with_its_backend_server(self) -> None:
        """Ids of requests that another server ran must not stand for a key."""

        async def body(mesh: Mesh) -> None:
            node = mesh.nodes["vm-0"]
            node.requests.begin(RUN)
            await node.report()
            node = mesh.start("vm-0", 2)
            await node.report()
            node.requests.retain_servers({"i@1"})
            self.assertIsNotNone(node.requests.find_parent("id.1", 0.0))
            node.requests.retain_servers({"i@2"})
            self.assertIsNone(node.requests.find_parent("id.1", 0.0))

        self.run_mesh(body)
