"""Tests of the exchange of quota reports between nodes, on links in memory."""

from __future__ import annotations

import random
import types
import unittest
from typing import TYPE_CHECKING, Any

import trio
import trio.testing

from marigoldchute.bundle.model import Customer
from marigoldchute.errors import PeerError
from marigoldchute.events import MemoryEventLog
from marigoldchute.link.handlers import Handlers
from marigoldchute.membership.model import Member
from marigoldchute.quota.limiter import QuotaLimiter
from marigoldchute.quota.limits import QuotaBound
from marigoldchute.quota.service import QuotaService

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LIMITED = Customer("acme", (), None, 40.0, 20.0)
FREE = Customer("acme")
SETTLE_S = 4.0


class Mesh:
    """Nodes in two data centres whose calls reach each other in memory."""

    def __init__(self, count: int) -> None:
        self.members = [
            Member(f"vm-{i}", 1, 1, "127.0.0.1", 1, f"dc-{i % 2}", "r")
            for i in range(count)
        ]
        self.silent: set[str] = set()
        self.calls: list[tuple[str, str]] = []
        self.nodes = {m.name: Node(self, m) for m in self.members}

    def put_in_force(self, *customers: Customer) -> None:
        content = types.SimpleNamespace(customers=customers)
        bundle: Any = types.SimpleNamespace(version=1, content=content)
        for node in self.nodes.values():
            node.service.on_bundle(bundle)


class Node:
    def __init__(self, mesh: Mesh, member: Member) -> None:
        self.mesh = mesh
        self.name = member.name
        self.handlers = Handlers()
        self.log = MemoryEventLog()
        self.limiter = QuotaLimiter(random.Random(1))
        directory: Any = types.SimpleNamespace(
            local=member,
            all=lambda: tuple(mesh.members),
            reachable=lambda: mesh.members,
            seeds=lambda: [],
        )
        any_self: Any = self
        any_log: Any = self.log
        self.service = QuotaService(
            self.limiter, QuotaBound(), directory, any_self, self.handlers, any_log
        )

    async def call(
        self, name: str, method: int, body: bytes, timeout_s: float
    ) -> bytes:
        """Call another node as a ``LinkPool`` does."""
        self.mesh.calls.append((self.name, name))
        await trio.sleep(0.002)
        if name in self.mesh.silent or self.name in self.mesh.silent:
            await trio.sleep(timeout_s)
            raise PeerError("no response")
        handler = self.mesh.nodes[name].handlers.find(method)
        assert handler is not None
        link: Any = types.SimpleNamespace(peer=types.SimpleNamespace(name=self.name))
        return await handler(link, body)


def run(count: int, test: Callable[[Mesh], Awaitable[None]]) -> None:
    async def main() -> None:
        mesh = Mesh(count)
        async with trio.open_nursery() as nursery:
            for node in mesh.nodes.values():
                nursery.start_soon(node.service.run)
            await test(mesh)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def send(mesh: Mesh, names: list[str], per_s: float, duration_s: float) -> int:
    """Send requests to nodes in turn; return how many were admitted."""
    admitted = 0
    for number in range(int(per_s * duration_s)):
        limiter = mesh.nodes[names[number % len(names)]].limiter
        admitted += limiter.try_acquire("acme", trio.current_time()) == 0.0
        await trio.sleep(1 / per_s)
    return admitted


class ExchangeTest(unittest.TestCase):
    def test_nothing_is_sent_without_quotas(self) -> None:
        """Deployments without quotas must not pay for them."""

        async def test(mesh: Mesh) -> None:
            mesh.put_in_force(FREE)
            await trio.sleep(5.0)
            self.assertEqual(mesh.calls, [])

        run(4, test)

    def test_usual_traffic_is_not_limited(self) -> None:
        async def test(mesh: Mesh) -> None:
            mesh.put_in_force(LIMITED)
            await trio.sleep(SETTLE_S)
            admitted = await send(mesh, list(mesh.nodes), 20.0, 5.0)
            self.assertEqual(admitted, 100)

        run(4, test)

    def test_surge_at_one_node_gets_nearly_the_whole_quota(self) -> None:
        async def test(mesh: Mesh) -> None:
            mesh.put_in_force(LIMITED)
            await trio.sleep(SETTLE_S)
            await send(mesh, ["vm-1"], 200.0, 3.0)
            admitted = await send(mesh, ["vm-1"], 200.0, 5.0)
            self.assertGreater(admitted, 0.8 * 40 * 5)
            self.assertLess(admitted, 1.1 * 40 * 5)
            events = [e.event for n in mesh.nodes.values() for e in n.log.events]
            self.assertIn("limited", events)

        run(4, test)

    def test_another_coordinator_takes_over(self) -> None:
        """A crashed coordinator must not leave the others at their even shares."""

        async def test(mesh: Mesh) -> None:
            mesh.put_in_force(LIMITED)
            await trio.sleep(SETTLE_S)
            service = mesh.nodes["vm-0"].service
            mesh.silent.add(service._coordinators[0])
            await trio.sleep(3.0)
            alive = [name for name in mesh.nodes if name not in mesh.silent]
            admitted = await send(mesh, alive[:1], 25.0, 4.0)
            self.assertGreater(admitted, 95)
            self.assertGreater(
                sum(n.service.lost_reports for n in mesh.nodes.values()), 0
            )

        run(6, test)

    def test_cut_off_node_keeps_to_its_even_share(self) -> None:
        async def test(mesh: Mesh) -> None:
            mesh.put_in_force(LIMITED)
            await trio.sleep(SETTLE_S)
            mesh.silent |= mesh.nodes.keys()
            await trio.sleep(12.0)
            admitted = await send(mesh, ["vm-0"], 100.0, 5.0)
            self.assertLess(admitted, (40 * 5 + 20) / 4 + 10)

        run(4, test)
