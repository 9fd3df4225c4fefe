"""Parsers are freed without the cyclic garbage collector, which runs rarely."""

from __future__ import annotations

import contextlib
import gc
import tracemalloc
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from marigoldchute.errors import PeerError, RequestError, ResultCode
from marigoldchute.link.pending_call import PendingCall
from marigoldchute.routing.backend_response import BackendResponse
from marigoldchute.routing.duplex import send_and_receive
from marigoldchute.routing.http_request import CallerConnParser, HttpRequest
from tests.support.path_in_process import local_path
from tests.support.servers import read_request
from tests.test_routing.test_endless import ENDLESS

Operation = Callable[[], Awaitable[None]]

ROUNDS = 100
NUM_FAILED = 2
# Less than one response of 64 KB of short header lines takes when it is parsed.
MAX_GROWTH_BYTES = 200_000
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-a: b\r\n\r\nok"
REQUEST = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok"


def count_objects(cls: type) -> int:
    """Return the number of live instances of a class."""
    return sum(isinstance(item, cls) for item in gc.get_objects())


def count_left() -> tuple[int, int]:
    """Return the number of live responses of backend servers and of errors."""
    return count_objects(BackendResponse), count_objects(RequestError)


def traced_bytes() -> int:
    """Return the size of all objects that were allocated since the start."""
    return tracemalloc.get_traced_memory()[0]


def reject_response() -> None:
    """Parse a response of which the head does not end."""
    response = BackendResponse(False)
    with contextlib.suppress(RequestError):
        response.feed(b"HTTP/1.1 200 OK\r\n" + b"x: v\r\n" * 20_000)
    response.close()


def reject_request() -> None:
    """Parse a request of which the head does not end."""
    no_connection: Any = None
    parser = CallerConnParser(no_connection)
    with contextlib.suppress(RequestError):
        parser.feed(b"GET /a HTTP/1.1\r\n" + b"x: v\r\n" * 20_000)
    parser.close()


def parse_response() -> None:
    """Parse a response of a backend server."""
    response = BackendResponse(False)
    response.feed(RESPONSE)
    assert response.complete
    assert response.pop_body() == b"ok"
    response.close()


def parse_request() -> None:
    """Parse a request of a caller's connection."""
    no_connection: Any = None
    parser = CallerConnParser(no_connection)
    parser.feed(REQUEST)
    assert parser.requests.pop().complete
    parser.close()


class CyclicGarbageTest(unittest.TestCase):
    def count_garbage(self, parse: Callable[[], None]) -> int:
        """Return the number of objects that are left to the garbage collector."""
        parse()
        gc.collect()
        gc.disable()
        try:
            for _ in range(ROUNDS):
                parse()
            return gc.collect()
        finally:
            gc.enable()

    def test_responses_leave_no_cyclic_garbage(self) -> None:
        self.assertEqual(self.count_garbage(parse_response), 0)

    def test_requests_leave_no_cyclic_garbage(self) -> None:
        self.assertEqual(self.count_garbage(parse_request), 0)

    # Guards against heads of malformed messages that stay in memory.
    def test_malformed_messages_leave_no_cyclic_garbage(self) -> None:
        for parse in (reject_response, reject_request):
            with self.subTest(parse.__name__):
                self.assertEqual(self.count_garbage(parse), 0)

    def test_failed_calls_leave_no_cyclic_garbage(self) -> None:
        def fail_call() -> None:
            pending = PendingCall()
            pending.fail(ResultCode.PEER_UNREACHABLE, "closed")
            with contextlib.suppress(PeerError):
                pending.result()

        self.assertEqual(self.count_garbage(fail_call), 0)

    # Guards against responses that stay in memory when a body is sent meanwhile.
    def test_failed_duplex_leaves_no_cyclic_garbage(self) -> None:
        async def fail() -> None:
            raise RequestError("failed")

        async def run(send: Operation, receive: Operation) -> int:
            gc.collect()
            gc.disable()
            for _ in range(ROUNDS):
                with contextlib.suppress(RequestError):
                    await send_and_receive(send, receive)
            errors = count_objects(RequestError)
            gc.enable()
            return errors

        for send, receive in (
            (fail, trio.sleep_forever),
            (trio.sleep_forever, fail),
            (fail, fail),
        ):
            self.assertEqual(trio.run(run, send, receive), 0)


class AnsweredRequestTest(unittest.TestCase):
    # Guards against requests that stay in memory after their connection has ended.
    def test_answered_requests_leave_no_requests_in_memory(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            while await read_request(stream):
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nAttempt-Id: id\r\nContent-Length: 2\r\n\r\nok"
                )

        async def main() -> int:
            request = b"GET /a/1 HTTP/1.1\r\nHost: a\r\nAttempt-Id: id\r\n"
            data = request + b"\r\n" + request + b"Connection: close\r\n\r\n"
            async with local_path(serve) as path:
                gc.collect()
                gc.disable()
                try:
                    for _ in range(ROUNDS):
                        answer = await path.send(data)
                        self.assertEqual(answer.count(b" 200 "), 2)
                    while path.callers.connections:
                        await trio.sleep(0.01)
                    return count_objects(HttpRequest)
                finally:
                    gc.enable()

        self.assertEqual(trio.run(main), 0)


class FailedRequestTest(unittest.TestCase):
    # Guards against a node that runs out of memory beside a server that sends garbage.
    def test_failed_requests_leave_no_responses_in_memory(self) -> None:
        for name, (first, repeated) in ENDLESS.items():
            for method in (b"GET", b"POST"):
                with self.subTest(name, method=method):
                    left = trio.run(self.send_all, first, repeated, method)
                    self.assertEqual(left, (0, 0))

    # Guards against memory that grows with each request to a server that sends header
    # lines without end.
    def test_memory_does_not_grow_with_failed_requests(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        first, repeated = ENDLESS["headers"]
        few, many = (
            trio.run(self.send_all, first, repeated, b"POST", count, traced_bytes)
            for count in (NUM_FAILED, 10 * NUM_FAILED)
        )
        self.assertLess(many - few, MAX_GROWTH_BYTES)

    async def send_all(
        self,
        first: bytes,
        repeated: bytes,
        method: bytes,
        count: int = NUM_FAILED,
        measure: Callable[[], Any] = count_left,
    ) -> Any:
        """Return what is measured after requests failed, before a collection."""

        async def serve(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await stream.send_all(first)
            while True:
                await stream.send_all(repeated)

        head = method + (
            b" /a/1 HTTP/1.1\r\nHost: a\r\nAttempt-Id: id\r\n"
            b"Deadline-Ms: 2000\r\nConnection: close\r\n"
        )
        async with local_path(serve) as path:
            gc.collect()
            gc.disable()
            try:
                for body in (b"\r\n", b"Content-Length: 2\r\n\r\nok"):
                    for _ in range(count):
                        answer = await path.send(head + body)
                        self.assertIn(answer.split()[1], (b"200", b"502", b"503"))
                        is_cut = not answer.endswith(b"0\r\n\r\n")
                        self.assertTrue(is_cut or b" 200 " not in answer)
                await path.owner.wait_idle()
                return measure()
            finally:
                gc.enable()


if __name__ == "__main__":
    unittest.main()
