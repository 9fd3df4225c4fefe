"""HTTP server for callers: malformed input, timeouts, keep-alive, disconnects."""

from __future__ import annotations

import contextlib
import socket
import time
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import httpcore
import trio

from marigoldchute.errors import RequestError
from marigoldchute.routing import http_server
from marigoldchute.routing.cut import Cut, CutCause
from marigoldchute.routing.http_server import HttpServer
from marigoldchute.standins.loopback import LoopbackBlock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldchute.routing.http_request import HttpRequest, HttpResponder

PORT = 9100
BLOCKED_S = 0.6  # Time without processor, for all tasks of the server.
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
    """Respond with the target and the length of the body."""
    size = 0
    while (data := await req.receive()) is not None:
        size += len(data)
    body = b"%s %d" % (req.target, size)
    await responder.start(200, [(b"content-length", b"%d" % len(body))], body)
    await responder.finish()


def block_tasks() -> None:
    """Run no task for a while, as a process without processor time does."""
    time.sleep(BLOCKED_S)


class ServerTestCase(unittest.TestCase):
    """Runs an HTTP server inside the test process."""

    handler = staticmethod(echo)

    def run_server(self, body: Callable[[str], Awaitable[None]]) -> None:
        block = LoopbackBlock()
        address = f"127.{block.number}.1.1"
        self.cuts: list[Cut] = []
        self.server = HttpServer(self.handler, on_cut=self.cuts.append)

        async def main() -> None:
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    await nursery.start(self.server.serve, address, PORT)
                    await body(address)
                    nursery.cancel_scope.cancel()

        try:
            trio.run(main)
        finally:
            block.release()

    async def exchange(self, address: str, data: bytes) -> bytes:
        """Send data and return all data received until the connection ends."""
        stream = await trio.open_tcp_stream(address, PORT)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)
        received = b""
        with contextlib.suppress(trio.BrokenResourceError), trio.fail_after(5):
            while piece := await stream.receive_some(65_536):
                received += piece
        await stream.aclose()
        return received


class MalformedTest(ServerTestCase):
    def test_malformed_head_gets_400_and_closes_the_connection(self) -> None:
        async def body(address: str) -> None:
            for name, data in MALFORMED.items():
                with self.subTest(name):
                    response = await self.exchange(address, data)
                    self.assertEqual(response.split()[1:2], [b"400"], response)
                    self.assertEqual(response.count(b"HTTP/1.1"), 1)

        self.run_server(body)

    def test_malformed_body_never_gets_200(self) -> None:
        async def body(address: str) -> None:
            for name, data in BAD_BODIES.items():
                with self.subTest(name):
                    response = await self.exchange(address, data)
                    self.assertNotIn(b" 200 ", response)

        self.run_server(body)

    def test_too_large_head_gets_431(self) -> None:
        async def body(address: str) -> None:
            long_header = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 100_000
            many_headers = (
                b"GET / HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 20_000 + b"\r\n"
            )
            for data in (long_header, many_headers):
                response = await self.exchange(address, data)
                self.assertEqual(response.split()[1:2], [b"431"])

        self.run_server(body)

    # Guards against a limit of the number of lines, which no caller knows of.
    def test_head_of_many_lines_within_the_limit_is_served(self) -> None:
        async def body(address: str) -> None:
            lines = b"Connection: close\r\n" + b"X: y\r\n" * 3_000
            data = b"GET / HTTP/1.1\r\nHost: a\r\n" + lines + b"\r\n"
            response = await self.exchange(address, data)
            self.assertEqual(response.split()[1:2], [b"200"])

        self.run_server(body)

    def test_complete_request_before_a_malformed_one_gets_a_response(self) -> None:
        async def body(address: str) -> None:
            good = b"GET /good HTTP/1.1\r\nHost: a\r\n\r\n"
            response = await self.exchange(address, good + MALFORMED["two lengths"])
            self.assertIn(b"/good 0", response)
            self.assertIn(b" 400 ", response)

        self.run_server(body)

    def test_trailers_are_not_headers(self) -> None:
        header_names = []

        async def record_headers(req: HttpRequest, responder: HttpResponder) -> None:
            await echo(req, responder)
            header_names.extend(name for name, _ in req.headers)

        async def body(address: str) -> None:
            data = CHUNKED + b"1\r\nx\r\n0\r\nX-Late: y\r\n\r\n"
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(data)
            self.assertIn(b"/a 1", await stream.receive_some(65_536))

        self.handler = record_headers
        self.run_server(body)
        self.assertNotIn(b"x-late", header_names)


class SlowSenderTest(ServerTestCase):
    def test_slow_head_gets_408(self) -> None:
        async def body(address: str) -> None:
            response = await self.exchange(address, b"GET / HTTP/1.1\r\nHos")
            self.assertEqual(response.split()[1:2], [b"408"])

        limits = http_server.HEAD_TIMEOUT_S, http_server.EXPIRY_CHECK_INTERVAL_S
        http_server.HEAD_TIMEOUT_S = http_server.EXPIRY_CHECK_INTERVAL_S = 0.05
        try:
            self.run_server(body)
        finally:
            http_server.HEAD_TIMEOUT_S, http_server.EXPIRY_CHECK_INTERVAL_S = limits

    # Guards against one refused head that ends the process with all its requests.
    def test_time_limit_of_a_head_that_was_refused_does_not_end_the_server(
        self,
    ) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(b"GET / HTTP/1.1\r\n")
            await trio.sleep(0.1)
            await stream.send_all(b"no header\r\n")
            self.assertIn(b" 400 ", await stream.receive_some(1000))
            await trio.sleep(0.5)
            response = await self.exchange(
                address, b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            )
            self.assertIn(b"/x 0", response)

        with (
            mock.patch.object(http_server, "HEAD_TIMEOUT_S", 0.3),
            mock.patch.object(http_server, "EXPIRY_CHECK_INTERVAL_S", 0.05),
        ):
            self.run_server(body)

    def test_idle_connection_is_closed_without_a_response(self) -> None:
        async def body(address: str) -> None:
            self.assertEqual(await self.exchange(address, b""), b"")

        limits = http_server.IDLE_TIMEOUT_S, http_server.EXPIRY_CHECK_INTERVAL_S
        http_server.IDLE_TIMEOUT_S = http_server.EXPIRY_CHECK_INTERVAL_S = 0.05
        try:
            self.run_server(body)
        finally:
            http_server.IDLE_TIMEOUT_S, http_server.EXPIRY_CHECK_INTERVAL_S = limits


class IdleServerTest(ServerTestCase):
    """Most servers of a node are asked once a second, on connections that stay."""

    def test_idle_connections_are_not_polled(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
            await stream.receive_some(1000)
            await trio.sleep(2 * http_server.DISCONNECT_POLL_INTERVAL_S)
            with mock.patch.object(
                self.server, "_poll_busy_connections", wraps=lambda: None
            ) as poll:
                await trio.sleep(10 * http_server.DISCONNECT_POLL_INTERVAL_S)
            self.assertEqual(self.server.connections, 1)
            self.assertEqual(poll.call_count, 0)

        self.run_server(body)


class KeepAliveTest(ServerTestCase):
    def test_pipelined_requests_get_responses_in_order(self) -> None:
        async def body(address: str) -> None:
            data = b"".join(
                b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % i for i in range(5)
            )
            data += b"GET /5 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            response = await self.exchange(address, data)
            order = [response.index(b"/%d 0" % i) for i in range(6)]
            self.assertEqual(order, sorted(order))

        self.run_server(body)

    def test_expect_continue_gets_100_before_the_body(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(
                POST + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
            )
            self.assertIn(b"100 Continue", await stream.receive_some(100))
            await stream.send_all(b"abc")
            self.assertIn(b"/a 3", await stream.receive_some(1000))

        self.run_server(body)

    def test_absolute_target_is_reduced_to_its_path(self) -> None:
        async def body(address: str) -> None:
            data = b"GET http://a/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            self.assertIn(b"/x 0", await self.exchange(address, data))

        self.run_server(body)

    def test_draining_server_closes_after_the_current_request(self) -> None:
        async def body(address: str) -> None:
            self.server.drain()
            response = await self.exchange(
                address, b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            self.assertIn(b"connection: close", response)

        self.run_server(body)

    # Guards against a further request that is discarded without a response, because
    # its caller was not told that the connection closes.
    def test_response_before_the_end_of_the_body_announces_the_close(self) -> None:
        async def refuse(req: HttpRequest, responder: HttpResponder) -> None:
            await responder.start(503, [(b"content-length", b"0")])
            await responder.finish()

        async def body(address: str) -> None:
            for head in (CHUNKED + b"1\r\n", POST + b"Content-Length: 5\r\n\r\n"):
                response = await self.exchange(address, head + b"a")
                self.assertIn(b"connection: close", response)

        self.handler = refuse
        self.run_server(body)


class TruncatedResponseTest(ServerTestCase):
    def test_truncated_response_is_an_error_for_the_client(self) -> None:
        for headers in ([(b"content-length", b"9")], []):
            with self.subTest(headers):
                self._check_truncated(headers)

    def _check_truncated(self, headers: list[tuple[bytes, bytes]]) -> None:
        async def truncate(req: HttpRequest, responder: HttpResponder) -> None:
            await responder.start(200, headers, b"part")

        async def body(address: str) -> None:
            async with httpcore.AsyncConnectionPool() as pool:
                with self.assertRaises((httpcore.ReadError, httpcore.ProtocolError)):
                    await pool.request("GET", f"http://{address}:{PORT}/")

        self.handler = truncate
        self.run_server(body)

    def test_truncated_response_to_http_1_0_resets_the_connection(self) -> None:
        async def truncate(req: HttpRequest, responder: HttpResponder) -> None:
            await responder.start(200, [], b"part")

        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(b"GET / HTTP/1.0\r\n\r\n")
            with self.assertRaises(trio.BrokenResourceError):
                while await stream.receive_some(1000):
                    await trio.sleep(0.02)

        self.handler = truncate
        self.run_server(body)


class CallerDisconnectTest(ServerTestCase):
    def test_request_is_cancelled_when_the_caller_disconnects(self) -> None:
        cancelled = trio.Event()

        async def hang(req: HttpRequest, responder: HttpResponder) -> None:
            with trio.CancelScope() as scope:
                req.cancel_scope = scope
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
        self.run_server(body)

    def test_request_of_a_caller_that_left_before_it_was_read(self) -> None:
        """Guards against work for callers that left while the node had no time.

        A node that is short of processor time reads a request up to seconds after it
        was sent. Passed on then, it takes a slot although nobody waits for it.
        """
        handled: list[bytes] = []

        async def record(req: HttpRequest, responder: HttpResponder) -> None:
            handled.append(req.target)
            if req.target == b"/slow":
                await trio.sleep(1.0)
            await echo(req, responder)

        async def body(address: str) -> None:
            kept = socket.create_connection((address, PORT))
            kept.send(b"GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
            await trio.sleep(0.1)
            # A request in progress, as there always is one on a node that is busy.
            slow = await trio.open_tcp_stream(address, PORT)
            await slow.send_all(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
            await trio.sleep(0.1)
            # Without a checkpoint the server reads nothing in between.
            fresh = socket.create_connection((address, PORT))
            for stream in (fresh, kept):
                stream.send(b"GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
                stream.close()
            block_tasks()
            await trio.sleep(0.1)
            self.assertEqual(handled, [b"/first", b"/slow"])
            causes = [cut.cause for cut in self.cuts]
            self.assertEqual(causes, [CutCause.CALLER_LEFT] * 2)

        self.handler = record
        self.run_server(body)

    def test_caller_that_only_ends_its_sending_direction(self) -> None:
        """Guards against a node with time that drops a caller that still reads."""

        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
            await stream.send_eof()
            self.assertIn(b" 200 ", await stream.receive_some(65_536))

        self.run_server(body)


class StopAcceptingTest(ServerTestCase):
    def test_connection_made_before_the_close_is_served(self) -> None:
        async def body(address: str) -> None:
            # The kernel has accepted the connection, the server has not yet.
            with socket.create_connection((address, PORT)) as sock:
                sock.sendall(b"GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
                self.server.stop_accepting()
                while self.server.is_busy:
                    await trio.sleep(0.01)
                sock.settimeout(0.0)
                self.assertIn(b"/late 0", sock.recv(1000))
            with self.assertRaises(OSError):
                await trio.open_tcp_stream(address, PORT)

        self.run_server(body)

    # Guards against requests that are on their way when their connection is closed.
    def test_request_on_its_way_on_an_open_connection_is_served(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            while not self.server.connections:
                await trio.sleep(0.002)
            self.server.drain()
            self.server.stop_accepting()
            await trio.sleep(0.05)
            await stream.send_all(b"GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertIn(b"/late 0", await stream.receive_some(1000))
            await stream.aclose()

        self.run_server(body)

    # Guards against a stop that lasts until its end, and then cuts off a late request,
    # because a connection without a request was accepted while the listener closed.
    def test_idle_connection_made_before_the_close_does_not_stay_open(self) -> None:
        async def body(address: str) -> None:
            with socket.create_connection((address, PORT)):
                self.server.drain()
                self.server.stop_accepting()
                await self.wait_until_not_busy()

        self.run_server(body)

    # Guards against the same stop, because of a connection whose last response had
    # begun before it and so did not announce the close.
    def test_connection_of_a_response_begun_before_the_drain_does_not_stay_open(
        self,
    ) -> None:
        release = trio.Event()

        async def respond(req: HttpRequest, responder: HttpResponder) -> None:
            await responder.start(200, [(b"content-length", b"4")], b"ab")
            await release.wait()
            await responder.send(b"cd")
            await responder.finish()

        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            received = b""
            while not received.endswith(b"ab"):
                received += await stream.receive_some(1000)
            self.server.drain()
            self.server.stop_accepting()
            release.set()
            await self.wait_until_not_busy()
            self.assertEqual(await stream.receive_some(1000), b"cd")

        self.handler = respond
        self.run_server(body)

    async def wait_until_not_busy(self) -> None:
        with trio.move_on_after(2) as scope:
            while self.server.is_busy:
                await trio.sleep(0.01)
        self.assertFalse(scope.cancelled_caught, "a connection stays open")


class CutTest(ServerTestCase):
    """Requests whose connection ends without a complete response are reported."""

    GET = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"

    def check_cut(self, cause: CutCause, target: bytes = b"/a") -> Cut:
        """Check that one request was cut and return it."""
        (cut,) = self.cuts
        self.assertEqual((cut.req.target, cut.cause), (target, cause))
        self.assertEqual(self.server.cut_counts, {cause: 1})
        return cut

    async def hang(self, req: HttpRequest, responder: HttpResponder) -> None:
        with trio.CancelScope() as scope:
            req.cancel_scope = scope
            await trio.sleep_forever()

    def cut_by_the_handler(self, exc: Exception | None) -> None:
        async def fail(req: HttpRequest, responder: HttpResponder) -> None:
            await responder.start(200, [(b"content-length", b"99")], b"part")
            if exc is not None:
                raise exc

        async def body(address: str) -> None:
            self.server._on_failure = lambda exc: None
            await self.exchange(address, self.GET % b"a")

        self.handler = fail
        self.run_server(body)

    def test_answered_requests_are_not_reported(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            for _ in range(2):
                await stream.send_all(self.GET % b"a")
                await stream.receive_some(1000)
            await stream.aclose()
            await trio.sleep(0.1)

        self.run_server(body)
        self.assertEqual(self.cuts, [])

    def test_unexpected_error_of_the_handler(self) -> None:
        self.cut_by_the_handler(KeyError("test"))
        cut = self.check_cut(CutCause.HANDLER_ERROR)
        assert cut.responder is not None
        self.assertGreater(cut.responder.sent_bytes, len(b"part"))
        self.assertFalse(cut.responder.finished)

    def test_partial_response(self) -> None:
        self.cut_by_the_handler(RequestError("test"))
        self.check_cut(CutCause.PARTIAL_RESPONSE)

    def test_response_that_the_handler_never_ends(self) -> None:
        self.cut_by_the_handler(None)
        self.check_cut(CutCause.PARTIAL_RESPONSE)

    def test_caller_that_closes_its_connection(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(self.GET % b"a")
            await trio.sleep(0.02)
            await stream.aclose()
            while not self.cuts:
                await trio.sleep(0.01)

        self.handler = self.hang
        self.run_server(body)
        self.assertTrue(self.check_cut(CutCause.CALLER_LEFT).seen.startswith("poll "))

    def test_server_that_is_stopped(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(self.GET % b"a")
            await trio.sleep(0.02)

        self.handler = self.hang
        self.run_server(body)
        cut = self.check_cut(CutCause.STOPPED)
        self.assertIsNone(cut.drain_started_at)

    def test_request_taken_while_draining_is_cut_at_the_end(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(self.GET % b"first")
            await stream.receive_some(1000)
            self.server.drain()
            await trio.sleep(0.02)
            await stream.send_all(self.GET % b"a")
            await trio.sleep(0.02)
            self.server.stop_cause = CutCause.DRAIN_TIMEOUT

        async def handler(req: HttpRequest, responder: HttpResponder) -> None:
            await (echo if req.target == b"/first" else self.hang)(req, responder)

        self.handler = handler
        self.run_server(body)
        cut = self.check_cut(CutCause.DRAIN_TIMEOUT)
        assert cut.drain_started_at is not None
        assert cut.taken_at is not None
        self.assertGreater(cut.taken_at, cut.drain_started_at)
        self.assertEqual(cut.conn_requests, 1)
        self.assertEqual(self.server.taken_while_draining, 1)

    def test_requests_behind_one_that_is_cut(self) -> None:
        async def fail(req: HttpRequest, responder: HttpResponder) -> None:
            if req.target != b"/0":
                await self.hang(req, responder)
                return
            await trio.sleep(0.1)
            await responder.start(200, [(b"content-length", b"99")], b"part")

        async def body(address: str) -> None:
            names = [b"%d" % index for index in range(12)]
            data = b"".join(self.GET % name for name in names)
            await self.exchange(address, data)
            await trio.sleep(0.1)

        self.handler = fail
        self.run_server(body)
        self.assertEqual(
            sorted(cut.req.target for cut in self.cuts),
            sorted(b"/%d" % index for index in range(12)),
        )
        self.assertEqual(
            self.server.cut_counts, {CutCause.PARTIAL_RESPONSE: len(self.cuts)}
        )
        self.assertTrue(any(cut.taken_at is None for cut in self.cuts))

    def test_request_sent_behind_the_last_response(self) -> None:
        late = b"GET /late HTTP/1.1\r\nHost: a\r\n\r\n"

        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            self.server.drain()
            await stream.send_all(self.GET % b"a")
            self.assertIn(b"connection: close", await stream.receive_some(1000))
            await stream.send_all(late)
            await stream.aclose()
            while not self.cuts:
                await trio.sleep(0.01)

        self.run_server(body)
        self.assertEqual(self.check_cut(CutCause.UNREAD).unread, late)
