"""Requests that a caller sends before earlier ones of its connection are answered."""

from __future__ import annotations

import random
import re
from typing import TYPE_CHECKING

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.errors import RequestError
from marigoldchute.routing.http_server import (
    DISCONNECT_POLL_INTERVAL_S,
    MAX_REQUESTS_IN_PROGRESS,
)
from tests.test_routing.test_http_server import PORT, ServerTestCase

if TYPE_CHECKING:
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder

GET = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


class PipelineTestCase(ServerTestCase):
    """Runs a handler that ends when a test lets it, and records what it does."""

    def setUp(self) -> None:
        self.started: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.passed_on: list[bytes] = []
        self.releases: dict[bytes, trio.Event] = {}
        self.running = self.max_running = 0

    def handler(self, req: HttpRequest, responder: HttpResponder):  # type: ignore[no-untyped-def,override]
        return self.respond(req, responder)

    async def respond(self, req: HttpRequest, responder: HttpResponder) -> None:
        """Respond with the target and body length once ``release`` was called.

        A POST stands for a request that must not run twice: it waits for its turn.
        """
        name = req.target
        self.started.append(name)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            with trio.CancelScope() as req.cancel_scope:
                if req.method == b"POST":
                    await req.wait_for_turn()
                self.passed_on.append(name)
                await self.release_of(name).wait()
                size = 0
                while (data := await req.receive()) is not None:
                    size += len(data)
                if name.startswith(b"/close"):
                    responder.keep_alive = False
                if name.startswith(b"/error"):
                    raise RequestError("test")
                if name.startswith(b"/cut"):
                    await responder.start(200, [(b"content-length", b"99")], b"part")
                    return
                body = b"%s %d" % (name, size)
                await responder.start(200, [(b"content-length", b"%d" % len(body))])
                await responder.send(body)
                await responder.finish()
                return
            self.cancelled.append(name)
        except trio.Cancelled:
            self.cancelled.append(name)
            raise
        finally:
            self.running -= 1

    def release_of(self, name: bytes) -> trio.Event:
        return self.releases.setdefault(name, trio.Event())

    def release(self, *names: str) -> None:
        """Let the handlers of some requests end."""
        for name in names:
            self.release_of(b"/" + name.encode()).set()

    async def wait_for_start(self, count: int) -> None:
        with trio.fail_after(5):
            while len(self.started) < count:
                await trio.sleep(0.005)

    async def read_until(self, stream: trio.SocketStream, text: bytes) -> bytes:
        """Read until some text has arrived or the connection has ended."""
        received = b""
        with trio.fail_after(5):
            while text not in received:
                try:
                    piece = await stream.receive_some(65_536)
                except trio.BrokenResourceError:
                    break
                if not piece:
                    break
                received += piece
        return received


class OrderTest(PipelineTestCase):
    def test_requests_run_at_once_and_are_answered_in_their_order(self) -> None:
        """Answers lookups that waited behind a slow one of the same caller."""

        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            for name in (b"a", b"b", b"c"):
                await stream.send_all(GET % name)
                await trio.sleep(2.5 * DISCONNECT_POLL_INTERVAL_S)
            await self.wait_for_start(3)
            self.release("c", "b")
            with trio.move_on_after(0.1) as scope:
                await stream.receive_some(1)
            self.assertTrue(scope.cancelled_caught)
            self.release("a")
            received = await self.read_until(stream, b"/c 0")
            order = [received.index(b"/%s 0" % name) for name in (b"a", b"b", b"c")]
            self.assertEqual(order, sorted(order))

        self.run_server(body)

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(st.integers(0, 10_000), st.integers(2, 14), st.integers(1, 5))
    def test_any_order_of_completion_gives_the_order_of_requests(
        self, seed: int, count: int, piece_count: int
    ) -> None:
        self.setUp()
        rng = random.Random(seed)
        data = b""
        expected = []
        for index in range(count):
            size = rng.choice((0, 0, 3, 100_000))
            name = b"r%d" % index
            data += POST % (name, size) + bytes(size) if size else GET % name
            expected.append(b"/%s %d" % (name, size))
        cuts = sorted(rng.randrange(len(data)) for _ in range(piece_count))

        async def send(stream: trio.SocketStream) -> None:
            for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
                await stream.send_all(data[start:end])
                await trio.sleep(rng.choice((0, 0.001, 0.06)))

        async def release_in_any_order() -> None:
            names = [f"r{index}" for index in range(count)]
            rng.shuffle(names)
            for name in names:
                await trio.sleep(rng.choice((0, 0.001, 0.01)))
                self.release(name)

        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, stream)
                nursery.start_soon(release_in_any_order)
                received = await self.read_until(stream, expected[-1])
            positions = [received.find(text) for text in expected]
            self.assertNotIn(-1, positions)
            self.assertEqual(positions, sorted(positions))
            self.assertEqual(received.count(b"HTTP/1.1 200"), count)

        self.run_server(body)

    def test_number_of_requests_in_work_is_bounded_without_an_error(self) -> None:
        async def body(address: str) -> None:
            names = [b"n%d" % index for index in range(50)]
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(b"".join(GET % name for name in names))
            await self.wait_for_start(MAX_REQUESTS_IN_PROGRESS)
            await trio.sleep(0.05)
            self.assertEqual(len(self.started), MAX_REQUESTS_IN_PROGRESS)
            self.release(*(name.decode() for name in names))
            received = await self.read_until(stream, b"/n49 0")
            self.assertEqual(received.count(b"HTTP/1.1 200"), 50)
            self.assertLessEqual(self.max_running, MAX_REQUESTS_IN_PROGRESS)

        self.run_server(body)

    def test_connection_is_used_for_single_requests_afterwards(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            self.release(*(f"s{index}" for index in range(6)))
            await stream.send_all(GET % b"s0" + GET % b"s1")
            await self.read_until(stream, b"/s1 0")
            for index in range(2, 6):
                name = b"s%d" % index
                await stream.send_all(GET % name)
                await self.read_until(stream, b"/%s 0" % name)

        self.run_server(body)


class NotReadTest(PipelineTestCase):
    """What stands behind a response that ends the connection counts as not read."""

    def test_request_that_must_not_run_twice_is_not_passed_on_early(self) -> None:
        for first in ("close", "error", "cut"):
            with self.subTest(first):
                self.setUp()
                self.run_server(lambda address, first=first: self.check(address, first))

    async def check(self, address: str, first: str) -> None:
        stream = await trio.open_tcp_stream(address, PORT)
        name = first.encode()
        await stream.send_all(GET % name + POST % (b"book", 2) + b"ok" + GET % b"x")
        await self.wait_for_start(3)
        self.assertEqual(self.passed_on, [b"/" + name, b"/x"])
        self.release("book", "x", first)
        received = await self.read_until(stream, b"no such text")
        self.assertNotIn(b"/book", received)
        self.assertNotIn(b"/x 0", received)
        self.assertEqual(self.passed_on, [b"/" + name, b"/x"])
        with trio.fail_after(5):
            while self.running:
                await trio.sleep(0.005)
        self.assertCountEqual(set(self.cancelled) - {b"/" + name}, {b"/book", b"/x"})

    def test_request_that_was_just_taken_is_not_passed_on_either(self) -> None:
        """The response in front ends the connection before the request's task runs."""

        async def body(address: str) -> None:
            for _ in range(40):
                stream = await trio.open_tcp_stream(address, PORT)
                await stream.send_all(GET % b"cut" + POST % (b"book", 2) + b"ok")
                await self.read_until(stream, b"no such text")
                await stream.aclose()
            with trio.fail_after(5):
                while self.server.connections:
                    await trio.sleep(0.005)

        self.release("cut", "book")
        self.run_server(body)
        self.assertEqual(set(self.passed_on), {b"/cut"})

    def test_request_runs_once_when_the_earlier_ones_are_answered(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(GET % b"a" + POST % (b"book", 2) + b"ok" + GET % b"x")
            self.release("book", "x")
            await self.wait_for_start(3)
            self.assertNotIn(b"/book", self.passed_on)
            self.release("a")
            await self.read_until(stream, b"/x 0")
            self.assertEqual(self.passed_on.count(b"/book"), 1)

        self.run_server(body)

    def test_malformed_request_is_refused_after_the_earlier_answers(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(GET % b"a" + GET % b"b" + b"\x00garbage\r\n\r\n")
            await self.wait_for_start(2)
            self.release("b", "a")
            received = await self.read_until(stream, b"no such text")
            statuses = re.findall(rb"HTTP/1.1 (\d+)", received)
            self.assertEqual(statuses, [b"200", b"200", b"400"])

        self.run_server(body)


class LeavingTest(PipelineTestCase):
    def test_caller_that_leaves_cancels_all_its_requests(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(GET % b"a" + GET % b"b" + GET % b"c")
            await self.wait_for_start(3)
            await stream.aclose()
            with trio.fail_after(5):
                while self.server.connections:
                    await trio.sleep(0.01)
            self.assertCountEqual(set(self.cancelled), {b"/a", b"/b", b"/c"})

        self.run_server(body)

    def test_draining_server_answers_all_that_it_has_read(self) -> None:
        """Answers a planned stop that cut requests which had just been accepted."""

        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            names = [b"d%d" % index for index in range(MAX_REQUESTS_IN_PROGRESS + 4)]
            await stream.send_all(b"".join(GET % name for name in names))
            await self.wait_for_start(MAX_REQUESTS_IN_PROGRESS)
            self.server.drain()
            self.server.stop_accepting()
            self.release(*(name.decode() for name in names))
            received = await self.read_until(stream, b"no such text")
            self.assertEqual(received.count(b"HTTP/1.1 200"), len(names))
            self.assertEqual(received.count(b"connection: close"), 1)
            self.assertGreater(
                received.index(b"connection: close"), received.index(names[-2] + b" 0")
            )
            await stream.aclose()
            with trio.fail_after(5):
                while self.server.connections:
                    await trio.sleep(0.01)

        self.run_server(body)

    def test_request_in_progress_at_the_drain_closes_its_connection(self) -> None:
        async def body(address: str) -> None:
            stream = await trio.open_tcp_stream(address, PORT)
            await stream.send_all(GET % b"a")
            await self.wait_for_start(1)
            self.server.drain()
            self.release("a")
            received = await self.read_until(stream, b"/a 0")
            self.assertIn(b"connection: close", received)

        self.run_server(body)
