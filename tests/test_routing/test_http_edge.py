"""HTTP edge towards callers."""

from __future__ import annotations

import contextlib
import socket
import unittest
from typing import TYPE_CHECKING

import httpcore
import trio

from marigoldchute.routing import http_server
from marigoldchute.routing.http_server import HttpEdge
from marigoldchute.standins.loopback import LoopbackBlock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldchute.routing.http_request import HttpRequest, HttpResponder

PORT = 9100
POST = b"POST /a HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
MALFORMED = {
    "length and chunked": POST
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunked and length": POST
    + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    "two lengths": POST + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
    "equal lengths": POST + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde",
    "list of lengths": POST + b"Content-Length: 5, 5\r\n\r\nabcde",
    "signed length": POST + b"Content-Length: +5\r\n\r\nabcde",
    "folded header": POST + b"X: a\r\n b\r\n\r\n",
    "bare line feeds": b"GET / HTTP/1.1\nHost: a\n\n",
    "one bare line feed": b"GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n",
    "space before colon": POST + b"Content-Length : 5\r\n\r\nabcde",
    "unknown coding": POST + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "two codings": POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "two coding headers": POST
    + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
    "chunked in 1.0": b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "null byte": POST + b"X: a\0b\r\n\r\n",
    "connect": b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    "bad method": b"FOO / HTTP/1.1\r\nHost: a\r\n\r\n",
    "second version": b"GET / HTTP/2.0\r\nHost: a\r\n\r\n",
    "no version": b"GET /\r\n\r\n",
}
BAD_BODIES = {
    "chunk size": CHUNKED + b"zz\r\n\r\n",
    "chunk end": CHUNKED + b"1\r\nxx\r\n0\r\n\r\n",
    "chunk line feed": CHUNKED + b"1\nx\n0\n\n",
    "chunk overflow": CHUNKED + b"fffffffffffffffff\r\n",
}


async def echo(req: HttpRequest, responder: HttpResponder) -> None:
    """Answer with the length of the body."""
    size = 0
    while (data := await req.receive()) is not None:
        size += len(data)
    body = b"%s %d" % (req.target, size)
    await responder.start(200, [(b"content-length", b"%d" % len(body))], body)
    await responder.finish()


class EdgeTestCase(unittest.TestCase):
    """Runs an edge inside the test's process."""

    handler = staticmethod(echo)

    def run_edge(self, body: Callable[[str], Awaitable[None]]) -> None:
        block = LoopbackBlock()
        address = f"127.{block.number}.1.1"
        self.edge = HttpEdge(self.handler)

        async def main() -> None:
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    await nursery.start(self.edge.serve, address, PORT)
                    await body(address)
                    nursery.cancel_scope.cancel()

        try:
            trio.run(main)
        finally:
            block.release()

    async def exchange(self, address: str, data: bytes) -> bytes:
        """Send bytes and read to the end."""
        stream = await trio.open_tcp_stream(address, PORT)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)
        received = b""
        with contextlib.suppress(trio.BrokenResourceError), trio.fail_after(5):
            while piece := await stream.receive_some(65_536):
                received += piece
        await stream.aclose()
        return received


class MalformedTest(EdgeTestCase):
    def test_malformed_heads_get_400_and_a_closed_connection(self) -> None:
        async def body(address: str) -> None:
            for name, data in MALFORMED.items():
                with self.subTest(name):
                    answer = await self.exchange(address, data)
                    self.assertEqual(answer.split()[1:2], [b"400"], answer)
                    self.assertEqual(answer.count(b"HTTP/1.1"), 1)

        self.run_edge(body)

    def test_malformed_bodies_are_never_answered_as_whole(self) -> None:
        async def body(address: str) -> None:
            for name, data in BAD_BODIES.items():
                with self.subTest(name):
                    answer = await self.exchange(address, data)
                    self.assertNotIn(b" 200 ", answer)

        self.run_edge(body)

    def test_a_giant_head_gets_431(self) -> None:
        async def body(address: str) -> None:
            one = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 100_000
            many = b"GET / HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 300 + b"\r\n"
            for data in (one, many):
                answer = await self.exchange(address, data)
                self.assertEqual(answer.split()[1:2], [b"431"])

        self.run_edge(body)

    def test_a_whole_request_before_a_malformed_one_is_answered(self) -> None:
        async def body(address: str) -> None:
            good = b"GET /good HTTP/1.1\r\nHost: a\r\n\r\n"
            answer = await self.exchange(address, good + MALFORMED["two lengths"])
            self.assertIn(b"/good 0", answer)
            self.assertIn(b" 400 ", answer)

        self.run_edge(body)

    def test_trailers_are_not_headers(self) -> None:
        seen = []

        async def keep(req: HttpRequest, responder: HttpResponder) -> None:
            await echo(req, responder)
            seen.extend(name for name, _ in req.headers)

        async def body(address: str) -> None:
            data = CHUNKED + b"1\r\nx\r\n0\r\nX-Late: y\r\n\r\n"
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(data)
            self.assertIn(b"/a 1", await stream.receive_some(65_536))

        self.handler = keep
        self.run_edge(body)
        self.assertNotIn(b"x-late", seen)


class SlowSenderTest(EdgeTestCase):
    def test_a_slow_head_gets_408(self) -> None:
        async def body(address: str) -> None:
            answer = await self.exchange(address, b"GET / HTTP/1.1\r\nHos")
            self.assertEqual(answer.split()[1:2], [b"408"])

        limits = http_server.HEAD_TIMEOUT_S, http_server.EXPIRE_INTERVAL_S
        http_server.HEAD_TIMEOUT_S = http_server.EXPIRE_INTERVAL_S = 0.05
        try:
            self.run_edge(body)
        finally:
            http_server.HEAD_TIMEOUT_S, http_server.EXPIRE_INTERVAL_S = limits

    def test_an_idle_connection_is_closed_without_an_answer(self) -> None:
        async def body(address: str) -> None:
            self.assertEqual(await self.exchange(address, b""), b"")

        limits = http_server.IDLE_TIMEOUT_S, http_server.EXPIRE_INTERVAL_S
        http_server.IDLE_TIMEOUT_S = http_server.EXPIRE_INTERVAL_S = 0.05
        try:
            self.run_edge(body)
        finally:
            http_server.IDLE_TIMEOUT_S, http_server.EXPIRE_INTERVAL_S = limits


class KeepAliveTest(EdgeTestCase):
    def test_pipelined_requests_are_answered_in_order(self) -> None:
        async def body(address: str) -> None:
            data = b"".join(
                b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % i for i in range(5)
            )
            data += b"GET /5 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            answer = await self.exchange(address, data)
            order = [answer.index(b"/%d 0" % i) for i in range(6)]
            self.assertEqual(order, sorted(order))

        self.run_edge(body)

    def test_expect_continue(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(
                POST + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
            )
            self.assertIn(b"100 Continue", await stream.receive_some(100))
            await stream.send_all(b"abc")
            self.assertIn(b"/a 3", await stream.receive_some(1000))

        self.run_edge(body)

    def test_an_absolute_target_is_taken_as_its_path(self) -> None:
        async def body(address: str) -> None:
            data = b"GET http://a/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            self.assertIn(b"/x 0", await self.exchange(address, data))

        self.run_edge(body)

    def test_a_draining_edge_closes_after_the_present_request(self) -> None:
        async def body(address: str) -> None:
            self.edge.drain()
            answer = await self.exchange(address, b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertIn(b"connection: close", answer)

        self.run_edge(body)


class CutAnswerTest(EdgeTestCase):
    def test_the_callers_client_sees_a_cut_answer_as_an_error(self) -> None:
        for headers in ([(b"content-length", b"9")], []):
            with self.subTest(headers):
                self._cut(headers)

    def _cut(self, headers: list[tuple[bytes, bytes]]) -> None:
        async def cut(req: HttpRequest, responder: HttpResponder) -> None:
            await responder.start(200, headers, b"part")

        async def body(address: str) -> None:
            async with httpcore.AsyncConnectionPool() as pool:
                with self.assertRaises((httpcore.ReadError, httpcore.ProtocolError)):
                    await pool.request("GET", f"http://{address}:{PORT}/")

        self.handler = cut
        self.run_edge(body)

    def test_a_cut_answer_to_http_1_0_is_a_reset(self) -> None:
        async def cut(req: HttpRequest, responder: HttpResponder) -> None:
            await responder.start(200, [], b"part")

        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(b"GET / HTTP/1.0\r\n\r\n")
            with self.assertRaises(trio.BrokenResourceError):
                while await stream.receive_some(1000):
                    await trio.sleep(0.02)

        self.handler = cut
        self.run_edge(body)


class GoneCallerTest(EdgeTestCase):
    def test_the_request_of_a_caller_that_left_is_cancelled(self) -> None:
        cancelled = trio.Event()

        async def hang(req: HttpRequest, responder: HttpResponder) -> None:
            with trio.CancelScope() as scope:
                req.scope = scope
                await trio.sleep_forever()
            cancelled.set()

        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await trio.sleep(0.02)
            await stream.aclose()
            with trio.fail_after(1):
                await cancelled.wait()

        self.handler = hang
        self.run_edge(body)


class StopAcceptingTest(EdgeTestCase):
    def test_a_connection_that_crosses_the_close_is_served(self) -> None:
        async def body(address: str) -> None:
            # Connected by the system, not yet accepted by the edge.
            with socket.create_connection((address, PORT)) as sock:
                sock.sendall(b"GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
                self.edge.stop_accepting()
                while self.edge.is_busy:
                    await trio.sleep(0.01)
                sock.settimeout(0.0)
                self.assertIn(b"/late 0", sock.recv(1000))
            with self.assertRaises(OSError):
                await trio.open_tcp_stream(address, PORT)

        self.run_edge(body)
