"""Memory that callers' connections may take, and which are closed beyond it."""

from __future__ import annotations

import socket
import tracemalloc
import unittest
from typing import Any

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.node import RESERVED_DESCRIPTORS, _connection_limit
from marigoldchute.link.frames import FrameKind
from marigoldchute.link.stream import Stream
from marigoldchute.routing.backend_response import BackendResponse
from marigoldchute.routing.cut import CutCause
from marigoldchute.routing.headers import encode_request_headers
from marigoldchute.routing.http_request import (
    CONN_BYTES,
    FEED_BODY_BYTES,
    FEED_HEAD_BYTES,
    CallerConnParser,
    HttpRequest,
    HttpResponder,
)
from marigoldchute.routing.http_server import MAX_CALLER_CONNECTIONS, HttpServer
from marigoldchute.routing.memory_budget import (
    DEFAULT_BUDGET_BYTES,
    MIN_BUDGET_BYTES,
    ORDINARY_BYTES,
    MemoryAccount,
    MemoryBudget,
    budget_bytes,
    select_largest,
)
from marigoldchute.routing.memory_log import MemoryLog
from marigoldchute.routing.request_body import RequestBody
from marigoldchute.routing.request_headers import MAX_LISTED_LINES, RequestHeaders
from marigoldchute.standins.loopback import LoopbackBlock
from tests.test_routing.test_head_size import SMALL
from tests.test_routing.test_http_server import PORT

LARGE_HEAD = b"GET /large HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 3_500


def no_connection() -> Any:
    return None


def accounts_of(*sizes: int) -> set[MemoryAccount]:
    accounts = set()
    for size in sizes:
        account = MemoryAccount(MemoryBudget(), lambda: None)
        account.held_bytes = size
        accounts.add(account)
    return accounts


class SelectionTest(unittest.TestCase):
    """Guards against ordinary callers that are closed beside those that take more."""

    def select(self, limit_bytes: int, *sizes: int) -> list[int]:
        accounts = accounts_of(*sizes)
        selected = select_largest(accounts, sum(sizes), limit_bytes)
        return [account.held_bytes for account in selected]

    def test_largest_are_closed_first_down_to_the_low_water_mark(self) -> None:
        large = 10 * ORDINARY_BYTES
        sizes = (large, large + 1, large + 2, 10_000)
        limit_bytes = 3 * large
        self.assertEqual(self.select(limit_bytes, *sizes), [large + 2])

    def test_ordinary_connections_stay_while_the_limit_is_kept(self) -> None:
        sizes = (5 * ORDINARY_BYTES, *[ORDINARY_BYTES] * 9)
        self.assertEqual(self.select(10 * ORDINARY_BYTES, *sizes), [5 * ORDINARY_BYTES])

    def test_ordinary_connections_alone_are_closed_down_to_their_mark(self) -> None:
        selected = self.select(100 * ORDINARY_BYTES, *[ORDINARY_BYTES] * 101)
        self.assertEqual(len(selected), 6)

    @given(st.lists(st.integers(1, 1_000_000), min_size=1), st.integers(1, 2_000_000))
    @settings(derandomize=True, deadline=None)
    def test_rest_is_within_the_limit_and_no_larger(
        self, sizes: list[int], limit_bytes: int
    ) -> None:
        selected = self.select(limit_bytes, *sizes)
        rest = sorted(sizes)[: len(sizes) - len(selected)]
        self.assertLessEqual(sum(rest), limit_bytes)
        self.assertEqual(sorted(selected + rest), sorted(sizes))


class BudgetTest(unittest.TestCase):
    def test_budget_follows_the_memory_of_the_machine(self) -> None:
        self.assertEqual(budget_bytes(0.0), DEFAULT_BUDGET_BYTES)
        self.assertEqual(budget_bytes(200.0), 40_000_000)
        self.assertEqual(budget_bytes(10.0), MIN_BUDGET_BYTES)

    def test_descriptors_are_kept_for_links(self) -> None:
        self.assertEqual(_connection_limit(0), MAX_CALLER_CONNECTIONS)
        self.assertEqual(_connection_limit(4_100), 4_100 - RESERVED_DESCRIPTORS)
        self.assertEqual(_connection_limit(1_000), 500)

    def test_closed_accounts_hold_nothing(self) -> None:
        closed: list[str] = []
        budget = MemoryBudget(100)
        large = budget.open_account(lambda: closed.append("large"))
        small = budget.open_account(lambda: closed.append("small"))
        large.update(80)
        small.update(30)
        self.assertEqual((closed, budget.held_bytes), (["large"], 30))
        large.update(90)
        large.close()
        self.assertEqual(budget.held_bytes, 30)
        small.close()
        self.assertEqual((budget.held_bytes, budget.closed_count), (0, 1))

    # Guards against a line for each of the connections of a crowd.
    def test_lines_are_bounded(self) -> None:
        log = MemoryEventLog()
        budget = MemoryBudget(100)
        lines = MemoryLog(log, budget, lambda: 0.0)  # type: ignore[arg-type]
        for at in (0.0, 0.1, 0.9, 1.5):
            budget.closed_count += 2
            lines.record(2, 200, 90, at)
        counts = [event.fields["closed"] for event in log.events]
        self.assertEqual(counts, [2, 6])


class HeadersTest(unittest.TestCase):
    """Guards against lines that change when they are held as one block."""

    @given(
        st.lists(
            st.tuples(
                st.sampled_from([b"a", b"host", b"x-b"]),
                st.sampled_from([b"", b"v", b"a b"]),
            ),
            max_size=4 * MAX_LISTED_LINES,
        )
    )
    @settings(derandomize=True, deadline=None)
    def test_lines_are_kept_in_their_order(
        self, lines: list[tuple[bytes, bytes]]
    ) -> None:
        hosts = [line for line in lines if line[0] == b"host"]
        lines = [line for line in lines if line[0] != b"host"] + hosts[:1]
        parser = CallerConnParser(no_connection())
        head = b"".join([b"%s:%s\r\n" % line for line in lines])
        parser.feed(b"GET / HTTP/1.0\r\n" + head + b"\r\n")
        (req,) = parser.requests
        self.assertEqual(list(req.headers), lines)
        for name in (b"a", b"host", b"x-b", b"v", b"c"):
            values = [value for key, value in lines if key == name]
            self.assertEqual(req.header(name), values[0] if values else None)

    # Guards against a head that a backend server rejects, but not this node.
    def test_forwarded_head_of_many_lines_is_no_longer_than_the_received_one(
        self,
    ) -> None:
        received = b"a:\r\n" * 3_000
        headers = [(b"a", b"")] * 3_000
        self.assertEqual(encode_request_headers(headers), received)

    def test_many_lines_take_little_more_than_their_bytes(self) -> None:
        headers = RequestHeaders()
        for _ in range(4_000):
            headers.listed.append((b"a", b""))
            if len(headers.listed) > MAX_LISTED_LINES:
                headers.pack()
        self.assertEqual(len(headers), 4_000)
        self.assertLess(headers.held_bytes, 25_000)


class AccountTest(unittest.TestCase):
    def test_memory_of_a_request_is_released_with_it(self) -> None:
        budget = MemoryBudget()
        account = budget.open_account(lambda: None)
        parser = CallerConnParser(no_connection(), account=account)
        body = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n"
        for data in (LARGE_HEAD + b"\r\n", body + bytes(9_000), SMALL):
            parser.feed(data)
            self.assertGreater(budget.held_bytes, CONN_BYTES + len(data))
            req = parser.requests.pop()
            req.take()
            req.release()
            self.assertEqual(budget.held_bytes, CONN_BYTES)
        parser.feed(LARGE_HEAD)
        self.assertGreater(budget.held_bytes, CONN_BYTES + len(LARGE_HEAD))
        account.close()
        self.assertEqual(budget.held_bytes, 0)

    # Guards against an object for each small piece of a body.
    def test_small_chunks_of_a_body_are_joined(self) -> None:
        parser = CallerConnParser(no_connection())
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        parser.feed(head + b"2\r\nab\r\n" * 500)
        parser.feed(b"2\r\ncd\r\n" * 500 + b"0\r\n\r\n")
        (req,) = parser.requests
        self.assertEqual(b"".join(req.chunks), b"ab" * 500 + b"cd" * 500)
        self.assertLessEqual(len(req.chunks), 2)

    # Guards against pieces of a few bytes that are kept for a retry, for a slot or for
    # a slow caller, each as an object.
    def test_small_pieces_are_joined_where_they_wait(self) -> None:
        pieces = [b"%d" % (10 + index % 90) for index in range(5_000)]
        stream = Stream(no_connection(), 1, b"")
        response = BackendResponse(False)
        response.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n")
        for piece in pieces:
            stream.handle_frame(FrameKind.DATA, piece)
            response.feed(piece)
        self.assertLessEqual(len(response.chunks), 3)
        self.assertEqual(response.pop_body(), b"".join(pieces))

        async def receive_all() -> list[bytes]:
            received = []
            for _ in range(3):
                data = await stream.receive()
                assert data is not None
                received.append(data)
            return received

        self.assertEqual(b"".join(trio.run(receive_all)), b"".join(pieces))
        self.assertEqual(stream.buffered_bytes, 0)

    def test_body_of_small_pieces_is_sent_again_unchanged(self) -> None:
        pieces = [b"%d" % index for index in range(9_000)]
        req = HttpRequest(CallerConnParser(no_connection()))
        req.has_body = True
        body = RequestBody(req)

        async def read_all() -> bytes:
            received = b""
            while (data := await body.receive()) is not None:
                received += data
            return received

        async def main() -> None:
            for piece in pieces:
                req.chunks.append(piece)
                self.assertEqual(await body.receive(), piece)
            req.complete = True
            for _ in range(2):
                body.rewind()
                self.assertEqual(await read_all(), b"".join(pieces))

        trio.run(main)

    # Guards against an object for each header line of a backend server's response.
    def test_header_lines_of_a_response_take_little_more_than_their_bytes(self) -> None:
        response = BackendResponse(False)
        tracemalloc.start()
        response.feed(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 15_000)
        held_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        self.assertLess(held_bytes, 200_000)

    # Guards against the objects of all requests that one read contains.
    def test_requests_sent_ahead_are_parsed_in_small_parts(self) -> None:
        class FakeTcp:
            def __init__(self, data: bytes) -> None:
                self.data = data

            async def receive(self, limit: int) -> bytes:
                piece, self.data = self.data[:limit], self.data[limit:]
                return piece

        async def main(request: bytes, feed_bytes: int) -> None:
            tcp: Any = FakeTcp(request * 500)
            parser = CallerConnParser(tcp)
            count = 0
            while count < 500:
                await parser.read_more()
                taken = len(parser.requests)
                self.assertLessEqual(taken, feed_bytes // len(request) + 1)
                count += taken
                parser.requests.clear()
            self.assertTrue(parser.is_between_requests)

        trio.run(main, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", FEED_HEAD_BYTES)
        trio.run(main, SMALL, FEED_BODY_BYTES)


class ServerTest(unittest.TestCase):
    """Connections of a server that takes more than its budget."""

    def run_server(
        self, body: Any, limit: int, connection_limit: int = 100
    ) -> HttpServer:
        budget = MemoryBudget(limit)

        async def handle(req: HttpRequest, responder: HttpResponder) -> None:
            while await req.receive() is not None:
                pass
            if req.target.startswith(b"/large"):
                data = bytes(4_000_000)
                await responder.start(200, [(b"content-length", b"4000000")], data)
                await responder.finish()
                return
            await responder.start(200, [(b"content-length", b"2")], b"ok")
            await responder.finish()

        server = HttpServer(handle, memory=budget, connection_limit=connection_limit)

        block = LoopbackBlock()
        self.addCleanup(block.release)
        self.address = f"127.{block.number}.1.1"

        async def main() -> None:
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    await nursery.start(server.serve, self.address, PORT)
                    await body()
                    await trio.sleep(0.1)
                    self.assertEqual(budget.held_bytes, 0)
                    nursery.cancel_scope.cancel()

        trio.run(main)
        return server

    async def request(self) -> bytes:
        async with await trio.open_tcp_stream(self.address, PORT) as stream:
            await stream.send_all(SMALL)
            return bytes(await stream.receive_some(1_000))

    async def check_crowd(self, data: bytes) -> list[bytes]:
        """Send data on 30 connections; return what the closed ones have received."""
        received = []
        streams = []
        for _ in range(30):
            stream = await trio.open_tcp_stream(self.address, PORT)
            streams.append(stream)
            await stream.send_all(data)
            await trio.sleep(0.005)
        self.assertIn(b" 200 ", await self.request())
        for stream in streams:
            with trio.move_on_after(0.02):
                try:
                    received.append(bytes(await stream.receive_some(1_000)))
                except trio.BrokenResourceError:
                    received.append(b"")
            await stream.aclose()
        return received

    # Guards against a crowd that leaves no memory for an ordinary caller.
    def test_connections_with_the_largest_heads_are_refused(self) -> None:
        async def body() -> None:
            received = await self.check_crowd(LARGE_HEAD)
            self.assertGreater(len(received), 5)
            self.assertLess(len(received), 30)
            for response in received:
                self.assertIn(b"HTTP/1.1 503", response)
                self.assertIn(b"marigoldchute-code: 517", response)
                self.assertIn(b"marigoldchute-outcome: not-run", response)
                self.assertIn(b"retry-after:", response)

        self.run_server(body, 700_000)

    # Guards against responses that wait for callers which do not read them.
    def test_connections_with_the_largest_responses_are_reset(self) -> None:
        async def body() -> None:
            streams = []
            for _ in range(12):
                sock = trio.socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                await sock.connect((self.address, PORT))
                stream = trio.SocketStream(sock)
                streams.append(stream)
                await stream.send_all(SMALL.replace(b" /", b" /large", 1))
            await trio.sleep(0.5)
            self.assertIn(b" 200 ", await self.request())
            for stream in streams:
                await trio.aclose_forcefully(stream)

        server = self.run_server(body, 40_000_000)
        self.assertGreater(server.cut_counts[CutCause.MEMORY], 2)

    # Guards against a refusal of requests that may already run.
    def test_connections_with_requests_in_progress_are_reset(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n"

        async def body() -> None:
            received = await self.check_crowd(head + bytes(50_000))
            self.assertGreater(len(received), 5)
            self.assertEqual(set(received), {b""})

        server = self.run_server(body, 700_000)
        self.assertGreater(sum(server.cut_counts.values()), 5)

    def test_oldest_unused_connection_is_closed_at_the_limit(self) -> None:
        async def body() -> None:
            received = await self.check_crowd(SMALL[:20])
            self.assertEqual(len(received), 21)

        server = self.run_server(body, 10_000_000, connection_limit=10)
        self.assertEqual(server.unused_closed, 21)
