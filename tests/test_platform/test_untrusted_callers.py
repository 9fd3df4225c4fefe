"""Memory and descriptors of a real node process beside callers that are not trusted.

The bounds are in bytes that the kernel counts for the process. They were fixed on the
code before the memory budget, which exceeded each of them.
"""

from __future__ import annotations

import contextlib
import pathlib
import unittest
from typing import TYPE_CHECKING

import httpcore
import trio

from marigoldchute.platform.settings import METRICS_PORT
from marigoldchute.routing.memory_budget import MIN_BUDGET_BYTES
from tests.support.hosted import CALLER_PORT, HOST, HostedMesh, hosted_mesh

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

MEMORY_MB = 100.0
CONNECTIONS = 100
HEAD_BYTES = 15_600
# Growth of the resident memory while the crowd is there, and after it has left.
MAX_GROWTH_BYTES = 24_000_000
MAX_RETAINED_BYTES = 12_000_000
# Descriptors beside one for each connection of the crowd; up to 100 are connections to
# the backend server (``max_connections`` of its service).
MAX_OTHER_DESCRIPTORS = 140
SETTLE_S = 1.0

HEAD_START = f"GET /a/1 HTTP/1.1\r\nHost: {HOST}\r\n".encode()
LINES = {
    "empty": b"a:\r\n",
    "short": b"a: bc\r\n",
    "repeated": b"x-a:1\r\n",
}


def make_head(line: bytes, size: int = HEAD_BYTES) -> bytes:
    """Return a whole head that consists of many header lines."""
    return HEAD_START + line * ((size - len(HEAD_START)) // len(line)) + b"\r\n"


class NodeProcess:
    """The only node process of a mesh, and what the kernel counts for it."""

    def __init__(self, mesh: HostedMesh) -> None:
        self.mesh = mesh
        self._path = pathlib.Path(f"/proc/{mesh.processes['vm-0'].pid}")

    @property
    def resident_bytes(self) -> int:
        for line in (self._path / "status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        raise AssertionError("process has ended")

    @property
    def descriptors(self) -> int:
        return len(list((self._path / "fd").iterdir()))

    @contextlib.asynccontextmanager
    async def crowd(self, count: int) -> AsyncIterator[list[trio.SocketStream]]:
        """Open connections, and close them in the end."""
        address = self.mesh.address("vm-0")
        streams = []
        try:
            for _ in range(count):
                streams.append(await trio.open_tcp_stream(address, CALLER_PORT))
            yield streams
        finally:
            for stream in streams:
                await trio.aclose_forcefully(stream)


async def send_all(streams: list[trio.SocketStream], data: bytes) -> None:
    """Send on each connection, as far as the node reads and keeps it open."""
    for stream in streams:
        with trio.move_on_after(1.0), contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)


async def serve_ordinary_caller(mesh: HostedMesh) -> None:
    """Send requests until one is served.

    Requests of the crowd that reach the backend server may leave no slot at first.
    """
    with trio.fail_after(20):
        while (await mesh.send_request("vm-0")).status != 200:
            await trio.sleep(0.1)


class UntrustedCallersTest(unittest.TestCase):
    def run_node(
        self,
        scenario: Callable[[NodeProcess], Awaitable[None]],
        memory_mb: float = MEMORY_MB,
    ) -> None:
        """Run a scenario beside one node; it serves an ordinary caller afterwards."""

        async def main() -> None:
            with trio.fail_after(90):
                async with hosted_mesh(
                    "turnos", vm_limits={"memory_mb": memory_mb}
                ) as mesh:
                    await mesh.wait_until_serving()
                    for _ in range(5):
                        await mesh.send_request("vm-0")
                    await scenario(NodeProcess(mesh))
                    await serve_ordinary_caller(mesh)
                    self.assertIsNone(mesh.processes["vm-0"].poll())

        trio.run(main)

    async def check(
        self,
        node: NodeProcess,
        act: Callable[[list[trio.SocketStream]], Awaitable[None]],
        count: int = CONNECTIONS,
    ) -> None:
        """Check memory and descriptors beside a crowd and after it has left."""
        start_bytes, start_descriptors = node.resident_bytes, node.descriptors
        async with node.crowd(count) as streams:
            await act(streams)
            await trio.sleep(SETTLE_S)
            await serve_ordinary_caller(node.mesh)
            growth_bytes = node.resident_bytes - start_bytes
            descriptors = node.descriptors - start_descriptors
        await trio.sleep(SETTLE_S)
        await serve_ordinary_caller(node.mesh)
        retained_bytes = node.resident_bytes - start_bytes
        left_descriptors = node.descriptors - start_descriptors
        shown = f"{growth_bytes=} {retained_bytes=} {descriptors=}"
        with self.subTest(shown):
            self.assertLess(growth_bytes, MAX_GROWTH_BYTES)
            self.assertLess(retained_bytes, MAX_RETAINED_BYTES)
            self.assertLess(descriptors, count + MAX_OTHER_DESCRIPTORS)
            self.assertLess(left_descriptors, MAX_OTHER_DESCRIPTORS)

    # Guards against the cost of an object for each line of heads that are not complete.
    def test_heads_of_many_lines_are_held_open(self) -> None:
        for name, line in LINES.items():
            head = make_head(line)[:-2]

            async def hold(
                streams: list[trio.SocketStream], head: bytes = head
            ) -> None:
                await send_all(streams, head)

            async def scenario(
                node: NodeProcess,
                hold: Callable[[list[trio.SocketStream]], Awaitable[None]] = hold,
            ) -> None:
                await self.check(node, hold)

            with self.subTest(name):
                self.run_node(scenario)

    # Guards against a budget that the node does not apply, or applies silently.
    def test_connections_beyond_the_budget_are_refused_and_logged(self) -> None:
        async def hold(streams: list[trio.SocketStream]) -> None:
            await send_all(streams, make_head(LINES["empty"])[:-2])

        async def scenario(node: NodeProcess) -> None:
            await self.check(node, hold, 2 * CONNECTIONS)
            events = node.mesh.read_events("vm-0")
            (line, *_) = (e for e in events if e["event"] == "routing:memory")
            self.assertEqual(line["limit_bytes"], MIN_BUDGET_BYTES)
            self.assertGreater(line["held_bytes"], MIN_BUDGET_BYTES)
            address = node.mesh.address("vm-0")
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{address}:{METRICS_PORT}/metrics"
                text = (await pool.request("GET", url)).content.decode()
            counts = dict(
                line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#"
            )
            closed = counts["marigoldchute_connections_closed_for_memory_total"]
            self.assertGreater(float(closed), 0)
            limit = counts["marigoldchute_caller_bytes_limit"]
            self.assertEqual(float(limit), MIN_BUDGET_BYTES)
            self.assertLess(float(counts["marigoldchute_caller_bytes"]), 100_000)

        self.run_node(scenario, 10.0)

    # Guards against heads that stay in memory after their responses.
    def test_heads_of_many_lines_are_completed_again_and_again(self) -> None:
        async def repeat(streams: list[trio.SocketStream]) -> None:
            for line in (LINES["empty"], LINES["short"], LINES["repeated"]):
                await send_all(streams, make_head(line))
                for stream in streams:
                    with (
                        trio.move_on_after(2.0),
                        contextlib.suppress(trio.BrokenResourceError),
                    ):
                        await stream.receive_some(65_536)

        async def scenario(node: NodeProcess) -> None:
            await self.check(node, repeat)

        self.run_node(scenario)

    # Guards against requests that are read before earlier ones have been answered.
    def test_heads_of_many_lines_are_sent_ahead(self) -> None:
        async def send_ahead(streams: list[trio.SocketStream]) -> None:
            data = 30 * make_head(LINES["empty"])
            async with trio.open_nursery() as nursery:
                for stream in streams:
                    nursery.start_soon(send_all, [stream], data)

        async def scenario(node: NodeProcess) -> None:
            node.mesh.backends["vm-0"].service_time_s = 0.5
            await self.check(node, send_ahead)

        self.run_node(scenario)

    # Guards against an object for each of the many small requests of one read.
    def test_small_requests_are_sent_ahead(self) -> None:
        async def send_ahead(streams: list[trio.SocketStream]) -> None:
            data = 2_000 * b"GET / HTTP/1.1\r\nHost:a\r\n\r\n"
            data = HEAD_START + b"\r\n" + data
            async with trio.open_nursery() as nursery:
                for stream in streams:
                    nursery.start_soon(send_all, [stream], data)

        async def scenario(node: NodeProcess) -> None:
            await self.check(node, send_ahead)

        self.run_node(scenario)

    # Guards against an object for each of the many small pieces of a body.
    def test_bodies_of_small_chunks_are_held_open(self) -> None:
        head = HEAD_START.replace(b"GET", b"POST")
        head += b"Transfer-Encoding: chunked\r\n\r\n"

        async def upload(streams: list[trio.SocketStream]) -> None:
            data = head + 20_000 * b"2\r\nab\r\n"
            async with trio.open_nursery() as nursery:
                for stream in streams:
                    nursery.start_soon(send_all, [stream], data)

        async def scenario(node: NodeProcess) -> None:
            await self.check(node, upload)

        self.run_node(scenario)

    # Guards against a limit of the lines, which no caller knows of.
    def test_head_of_many_lines_within_the_bytes_is_served(self) -> None:
        async def scenario(node: NodeProcess) -> None:
            address = node.mesh.address("vm-0")
            data = HEAD_START + 3_000 * b"x:\r\n" + b"\r\n"
            self.assertLess(len(data), 16_384)
            stream = await trio.open_tcp_stream(address, CALLER_PORT)
            async with stream:
                for _ in range(2):
                    await stream.send_all(data)
                    self.assertIn(b" 200 ", await stream.receive_some(65_536))
            self.assertEqual(len(node.mesh.backends["vm-0"].requests[-1]), 6)

        self.run_node(scenario, 0.0)
