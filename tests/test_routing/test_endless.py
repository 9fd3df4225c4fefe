"""Backend servers, callers, peers and stores that send bytes without end."""

from __future__ import annotations

import random
import unittest
import zlib
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import NotRunError, PeerError, PlatformError, RequestError
from marigoldchute.hosted.catalog import apply_difference
from marigoldchute.hosted.node import POLICY
from marigoldchute.objectstore.caller import MAX_RESPONSE_BYTES, StoreCaller
from marigoldchute.objectstore.settings import StoreSettings
from marigoldchute.platform.settings import DIALECT
from marigoldchute.routing.backend_conn import ABANDON_TIMEOUT_S
from marigoldchute.routing.backend_response import BackendResponse
from marigoldchute.routing.http_request import CallerConnParser, CallerDisconnectedError
from marigoldchute.routing.owner import Owner
from tests.support.servers import PORT, read_request, serve_script
from tests.test_routing.test_owner import (
    OK_RESPONSE,
    CollectingExchange,
    FakeServers,
    make_head,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PIECE_BYTES = 16_384
# Far more than any limit; a parser that keeps the bytes would keep all of these.
TOTAL_BYTES = 64_000_000
MAX_KEPT_BYTES = 1_000_000
ID = b"attempt-id: id\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\n" + ID + b"transfer-encoding: chunked\r\n\r\n"
LATE = b"HTTP/1.1 200 OK\r\nattempt-id: other\r\n"
# First bytes and repeated bytes of each response; none of them is ever complete.
ENDLESS = {
    "garbage": (b"", b"\x00\x01garbage"),
    "status line": (b"HTTP/1.1 200 ", b"O" * PIECE_BYTES),
    "header value": (b"HTTP/1.1 200 OK\r\nx: ", b"v" * PIECE_BYTES),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x: v\r\n" * 2_000),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "chunk size": (CHUNKED, b"0" * PIECE_BYTES),
    "chunk extension": (CHUNKED + b"5;x=", b"e" * PIECE_BYTES),
    "chunk extensions": (CHUNKED, b"1;x=" + b"e" * 2_000 + b"\r\na\r\n"),
    "trailer value": (CHUNKED + b"0\r\nx: ", b"v" * PIECE_BYTES),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", b"x: v\r\n" * 2_000),
    "late responses": (b"", LATE + b"content-length: 2\r\n\r\nno" + LATE[:0]),
    "late response": (
        LATE + b"transfer-encoding: chunked\r\n\r\n",
        b"4000\r\n" + b"b" * PIECE_BYTES + b"\r\n",
    ),
}


class ParserTest(unittest.TestCase):
    def test_response_without_end_is_rejected_before_it_takes_memory(self) -> None:
        for name, (first, repeated) in ENDLESS.items():
            with self.subTest(name), self.assertRaises(RequestError):
                response = BackendResponse(False, DIALECT, b"id")
                response.feed(first or repeated)
                for _ in range(TOTAL_BYTES // len(repeated)):
                    response.feed(repeated)

    def test_body_in_small_chunks_is_accepted(self) -> None:
        response = BackendResponse(False, DIALECT, b"id")
        response.feed(CHUNKED)
        for _ in range(2_000):
            response.feed(b"1\r\na\r\n" * 100)
            response.pop_body()
        response.feed(b"0\r\nx: v\r\n\r\n")
        self.assertTrue(response.complete)

    def test_large_late_response_is_skipped(self) -> None:
        """A late copy of a download must not count as the head of the right answer."""
        response = BackendResponse(False, DIALECT, b"id")
        late = LATE + b"content-length: 540000\r\n\r\n"
        response.feed(late)
        for _ in range(54):
            response.feed(bytes(10_000))
        response.feed(b"HTTP/1.1 200 OK\r\n" + ID + b"content-length: 2\r\n\r\nok")
        self.assertEqual((response.complete, response.pop_body()), (True, b"ok"))

    def test_requests_behind_a_large_one_are_accepted(self) -> None:
        no_connection = None
        parser = CallerConnParser(no_connection)  # type: ignore[arg-type]
        parser.max_head_bytes = 1_000
        head = b"POST /a HTTP/1.1\r\nhost: a\r\n"
        small = head + b"content-length: 2\r\n\r\nok"
        chunked = head + b"transfer-encoding: chunked\r\n\r\n"
        data = head + b"content-length: 500000\r\n\r\n" + bytes(500_000)
        data += small + chunked + b"2\r\nok\r\n" * 100 + b"0\r\n\r\n" + small * 3
        for size in (7, 50, 16_384):
            for start in range(0, len(data), size):
                parser.feed(data[start : start + size])
            self.assertEqual(len(parser.requests), 6)
            self.assertTrue(all(req.complete for req in parser.requests))
            parser.requests.clear()

    def test_request_without_end_is_rejected(self) -> None:
        head = b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        for first, repeated in (
            (b"POST /", b"a" * PIECE_BYTES),
            (b"POST /a HTTP/1.1\r\nx: ", b"v" * PIECE_BYTES),
            (b"POST /a HTTP/1.1\r\n", b"x: v\r\n" * 2_000),
            (head + b"5;x=", b"e" * PIECE_BYTES),
            (head + b"0\r\nx: ", b"v" * PIECE_BYTES),
            (head + b"1\r\na\r\n0\r\n", b"x: v\r\n" * 2_000),
            (head, b"4000\r\n" + b"b" * PIECE_BYTES + b"\r\n"),
        ):
            no_connection = None
            parser = CallerConnParser(no_connection)  # type: ignore[arg-type]
            parser.max_body_bytes = 1_000_000
            with self.subTest(first[-20:]), self.assertRaises(RequestError):
                parser.feed(first)
                for _ in range(TOTAL_BYTES // len(repeated)):
                    parser.feed(repeated)


class CountingExchange(CollectingExchange):
    """Exchange of a caller that leaves after some bytes of the body."""

    max_bytes = 4 * POLICY.max_buffered_response_bytes
    largest_piece = 0

    async def send_head(self, head, body):  # type: ignore[no-untyped-def]
        self.head = head
        await self.send(body)

    async def send(self, data: bytes) -> None:
        self.largest_piece = max(self.largest_piece, len(data))
        self.max_bytes -= len(data)
        if self.max_bytes < 0:
            raise CallerDisconnectedError("caller closed the connection")


class OwnerTest(unittest.TestCase):
    """One request in the hands of a backend server that sends without end."""

    def run_owner(
        self, first: bytes, repeated: bytes, body: Callable[[Owner], Awaitable[None]]
    ) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            request = await read_request(stream)
            if b"/good" in request:
                await stream.send_all(
                    OK_RESPONSE.replace(b"\r\n", b"\r\nAttempt-Id: id\r\n", 1)
                )
                return
            await stream.send_all(first)
            while repeated:
                await stream.send_all(repeated)

        async def main() -> None:
            with trio.fail_after(20):
                async with serve_script(serve) as address, trio.open_nursery() as n:
                    owner = Owner(FakeServers(address, 1), address, DIALECT, POLICY)
                    await n.start(owner.run)
                    await body(owner)
                    n.cancel_scope.cancel()

        trio.run(main)

    def test_slot_is_free_again_and_the_caller_gets_a_true_failure(self) -> None:
        for name, (first, repeated) in ENDLESS.items():

            async def body(owner: Owner) -> None:
                with self.assertRaises(RequestError) as caught:
                    await owner.execute(make_head(), CollectingExchange())
                self.assertNotIsInstance(caught.exception, NotRunError)
                with trio.fail_after(ABANDON_TIMEOUT_S + 1.0):
                    await owner.wait_idle()
                exchange = CollectingExchange()
                await owner.execute(make_head(b"/good"), exchange)
                self.assertEqual(exchange.body, b"ok")

            with self.subTest(name):
                self.run_owner(first, repeated, body)

    def test_body_without_end_is_forwarded_until_the_caller_leaves(self) -> None:
        heads = (
            b"content-length: 99999999999\r\n\r\n",
            b"connection: close\r\n\r\n",
            b"transfer-encoding: chunked\r\n\r\n",
        )
        for head in heads:

            async def body(owner: Owner) -> None:
                exchange = CountingExchange()
                with self.assertRaises(CallerDisconnectedError):
                    await owner.execute(make_head(), exchange)
                self.assertLessEqual(
                    exchange.largest_piece, POLICY.max_buffered_response_bytes * 2
                )
                self.assertFalse(exchange.finished)
                with trio.fail_after(ABANDON_TIMEOUT_S + 1.0):
                    await owner.wait_idle()
                await owner.execute(make_head(b"/good"), CollectingExchange())

            piece = b"b" * PIECE_BYTES
            if b"chunked" in head:
                piece = b"4000\r\n" + piece + b"\r\n"
            with self.subTest(head):
                self.run_owner(b"HTTP/1.1 200 OK\r\n" + ID + head, piece, body)

    def test_long_response_without_length_that_is_reset_is_not_complete(self) -> None:
        """A response beyond the buffer ends with its connection, which breaks."""
        size = 3 * POLICY.max_buffered_response_bytes

        async def main() -> None:
            async def serve(stream: trio.SocketStream) -> None:
                await read_request(stream)
                await stream.send_all(b"HTTP/1.1 200 OK\r\n" + ID + b"\r\n")
                await stream.send_all(bytes(size))
                stream.setsockopt(
                    trio.socket.SOL_SOCKET,
                    trio.socket.SO_LINGER,
                    b"\x01\x00\x00\x00" + bytes(4),
                )

            async with serve_script(serve) as address, trio.open_nursery() as nursery:
                owner = Owner(FakeServers(address, 1), address, DIALECT, POLICY)
                await nursery.start(owner.run)
                exchange = CollectingExchange()
                with self.assertRaises(RequestError):
                    await owner.execute(make_head(), exchange)
                self.assertFalse(exchange.finished)
                nursery.cancel_scope.cancel()

        trio.run(main)


class PeerAndStoreTest(unittest.TestCase):
    def test_difference_that_expands_without_end_is_rejected(self) -> None:
        data = zlib.compress(bytes(200_000_000), 9)
        self.assertLess(len(data), 2_000_000)
        with self.assertRaises(PeerError):
            apply_difference(None, data)

    def test_answer_of_the_store_without_end_is_not_read_to_its_end(self) -> None:
        sent = 0

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal sent
            await read_request(stream)
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n"
            )
            while True:
                await stream.send_all(bytes(PIECE_BYTES))
                sent += PIECE_BYTES

        async def main() -> None:
            async with serve_script(serve) as address:
                settings = StoreSettings(address, PORT, 1000.0, 1000.0, 3_000)
                caller = StoreCaller(settings, random.Random(1), address)
                with self.assertRaises(PlatformError), trio.fail_after(10):
                    await caller.call(lambda body, method: body, "GET", "/x")

        trio.run(main)
        self.assertLess(sent, 2 * MAX_RESPONSE_BYTES)
