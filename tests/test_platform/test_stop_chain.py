"""Requests on kept connections of a node that is stopped, in real processes."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import httpcore
import trio

from tests.support.hosted import CALLER_PORT, HOST
from tests.test_platform.test_processes import GRACE_S, ProcessTestCase

if TYPE_CHECKING:
    from tests.support.hosted import Backend, HostedMesh

# Time after the stop signal at which a node without callers no longer accepts.
ACCEPT_END_S = 2.7
LATE_REQUEST_S = 4.8
HEAD = (
    b"POST /a/1 HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\n"
    b"Attempt-Id: %s\r\nDeadline-Ms: 4000\r\n%s\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LENGTH = b"Content-Length: 6\r\n"
EXPECT = b"Expect: 100-continue\r\n"
# Pieces of a request behind its head, each sent 0.2 s after the one before it.
FRAMINGS = {
    b"length": (LENGTH, (b"abcdef",)),
    b"length-late": (LENGTH, (b"abc", b"def")),
    b"chunks": (CHUNKED, (b"6\r\nabcdef\r\n0\r\n\r\n",)),
    b"chunks-late": (CHUNKED, (b"3\r\nabc\r\n", b"3\r\ndef\r\n", b"0\r\n\r\n")),
    b"expect": (LENGTH + EXPECT, (b"abcdef",)),
    b"none": (b"Content-Length: 0\r\n", ()),
}


class KeptConn:
    """Connection of a caller that sends one request after another."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._received = b""
        self.closing = False

    async def request(
        self, name: bytes, request_id: bytes = b"1", piece_delay_s: float = 0.2
    ) -> int:
        """Send a request framed in one of ``FRAMINGS``; return the final status.

        The status is 0 if the connection ends without a complete response.
        """
        fields, pieces = FRAMINGS[name]
        try:
            head = HEAD % (request_id, fields)
            if len(pieces) == 1 and EXPECT not in fields:
                await self._stream.send_all(head + pieces[0])
            else:
                await self._stream.send_all(head)
                for piece in pieces:
                    await trio.sleep(piece_delay_s)
                    await self._stream.send_all(piece)
            return await self._receive_response()
        except trio.BrokenResourceError:
            return 0

    async def _receive_response(self) -> int:
        while True:
            head = await self._receive_until(b"\r\n\r\n")
            if head is None:
                return 0
            status = int(head.split()[1])
            if status == 100:
                continue
            fields = head.lower().split(b"\r\n")
            self.closing = b"connection: close" in fields
            length = next(f for f in fields if f.startswith(b"content-length:"))
            while len(self._received) < int(length[15:]):
                if not await self._receive_some():
                    return 0
            self._received = self._received[int(length[15:]) :]
            return status

    async def _receive_until(self, end: bytes) -> bytes | None:
        while end not in self._received:
            if not await self._receive_some():
                return None
        text, _, self._received = self._received.partition(end)
        return text

    async def _receive_some(self) -> bool:
        data = await self._stream.receive_some(65_536)
        self._received += data
        return bool(data)

    async def aclose(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self._stream)


async def connect(mesh: HostedMesh, name: str) -> KeptConn:
    """Open a connection to a node."""
    return KeptConn(await trio.open_tcp_stream(mesh.address(name), CALLER_PORT))


class KeptConnectionTest(ProcessTestCase):
    # Guards against a request cut off on a kept connection because of the way in which
    # its body is framed.
    def test_requests_of_all_framings_are_answered_by_a_stopping_node(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            for backend in mesh.backends.values():
                backend.service_time_s = 0.5
            statuses: dict[bytes, list[int]] = {name: [] for name in FRAMINGS}

            async def send_requests(name: bytes) -> None:
                conn = await connect(mesh, "vm-1")
                stopped_at = trio.current_time() + 0.7
                while trio.current_time() < stopped_at + 1.5:
                    if conn.closing:
                        await conn.aclose()
                        conn = await connect(mesh, "vm-1")
                    statuses[name].append(await conn.request(name))
                await conn.aclose()

            async with trio.open_nursery() as nursery:
                for name in FRAMINGS:
                    nursery.start_soon(send_requests, name)
                await trio.sleep(0.7)
                mesh.signal_node("vm-1", signal.SIGTERM)
            for name, values in statuses.items():
                self.assertEqual(values, [200] * len(values), name)
                self.assertGreaterEqual(len(values), 2, name)
            self.assertEqual(await mesh.wait_for_exit("vm-1"), 0)

        self.run_mesh(scenario)


class NestedCallTest(ProcessTestCase):
    # Guards against calls of a backend server that are refused because its stopping
    # node has closed the listener that they need.
    def test_backend_server_can_make_calls_until_its_last_request_has_ended(
        self,
    ) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            call_statuses: list[int] = []
            backend = mesh.backends["vm-0"]
            mesh.backends["vm-2"].service_time_s = 0.1

            async def make_call(backend: Backend, request_id: str) -> None:
                await trio.sleep(0.8)
                try:
                    response = await mesh.send_request(
                        "vm-0", "/a/nested", request_id="parent.1"
                    )
                    call_statuses.append(response.status)
                except httpcore.ConnectError:
                    call_statuses.append(0)

            backend.before_response = make_call
            statuses: list[int] = []

            async def send_request() -> None:
                response = await mesh.send_request("vm-1", "/a/p", request_id="parent")
                statuses.append(response.status)

            mesh.signal_node("vm-0", signal.SIGTERM)
            await trio.sleep(ACCEPT_END_S - 0.5)
            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(send_request)
            self.assertEqual(statuses, [200] * 8)
            self.assertGreater(len(call_statuses), 0)
            self.assertEqual(call_statuses, [200] * len(call_statuses))
            self.assertEqual(await mesh.wait_for_exit("vm-0"), 0)

        self.run_mesh(scenario)


class OwnerStopTest(ProcessTestCase):
    # Guards against requests of other nodes that a stopping node takes although they
    # last longer than it does, and that end with 502 when it ends.
    def test_stopping_node_takes_no_request_that_it_cannot_complete(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.put_configuration(timeout_ms=9000)
            await mesh.wait_until_serving()
            for backend in mesh.backends.values():
                backend.service_time_s = GRACE_S - 0.5
            statuses: list[int] = []

            async def send_request() -> None:
                response = await mesh.send_request("vm-1", deadline_ms=9000)
                statuses.append(response.status)

            mesh.signal_node("vm-0", signal.SIGTERM)
            await trio.sleep(0.3)
            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(send_request)
            self.assertEqual(statuses, [200] * 8)

        self.run_mesh(scenario)


class IdleConnectionTest(ProcessTestCase):
    # Guards against a request that is taken on a connection without any request just
    # before the end of the grace period, passed on and then cut off.
    def test_request_on_a_connection_opened_at_the_last_moment_is_not_cut(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            conns: list[KeptConn] = []

            async def open_connections() -> None:
                while True:
                    try:
                        conns.append(await connect(mesh, "vm-1"))
                    except OSError:
                        return
                    await trio.sleep(0.0005)

            for backend in mesh.backends.values():
                backend.service_time_s = 0.8
            mesh.signal_node("vm-1", signal.SIGTERM)
            stopped_at = trio.current_time()
            await trio.sleep(ACCEPT_END_S - 0.2)
            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(open_connections)
            await trio.sleep_until(stopped_at + LATE_REQUEST_S)
            requests_before = sum(len(b.requests) for b in mesh.backends.values())
            statuses = []

            async def send_request(conn: KeptConn) -> None:
                statuses.append(await conn.request(b"length"))
                await conn.aclose()

            async with trio.open_nursery() as nursery:
                for conn in conns:
                    nursery.start_soon(send_request, conn)
            passed_on = sum(len(b.requests) for b in mesh.backends.values())
            passed_on -= requests_before
            self.assertEqual(statuses.count(200), passed_on)
            self.assertEqual(await mesh.wait_for_exit("vm-1"), 0)

        self.run_mesh(scenario)
