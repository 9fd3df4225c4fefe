"""Responses of a backend server that are not valid or not complete."""

from __future__ import annotations

import contextlib
import re
import socket
import struct
import unittest
from typing import TYPE_CHECKING

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.errors import RequestError, ResultCode
from marigoldchute.hosted.node import POLICY
from marigoldchute.platform.settings import DIALECT
from marigoldchute.routing.backend_response import BackendResponse
from marigoldchute.routing.dialect import DEFAULT_DIALECT
from marigoldchute.routing.owner import Owner
from marigoldchute.util.tcp import TcpConn
from tests.support.servers import read_request, serve_script
from tests.test_routing.test_owner import CollectingExchange, FakeServers, make_head

if TYPE_CHECKING:
    from collections.abc import Iterator

INVALID_STATUSES = (
    b"000",
    b"099",
    b"600",
    b"999",
    b"1000",
    b"0200",
    b"20",
    b"-20",
    b"",
)
ID_LINE = b"Attempt-Id: own\r\n"
LINGER_ZERO = struct.pack("ii", 1, 0)
BODY = b"part of a body"


def reset(stream: trio.SocketStream) -> None:
    """Let the next close of a connection reset it."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)


class UploadExchange(CollectingExchange):
    """Exchange with a body that does not end."""

    def pop_complete_body(self) -> bytes | None:
        return None

    async def receive(self) -> bytes | None:
        await trio.lowlevel.checkpoint()
        return bytes(16_384)


class StatusTest(unittest.TestCase):
    """Guards against a status that HTTP does not have, and one that never ends."""

    def test_parser_rejects_it_at_once(self) -> None:
        for status in INVALID_STATUSES:
            for dialect in (DIALECT, DEFAULT_DIALECT):
                response = BackendResponse(False, dialect, b"own")
                head = b"HTTP/1.1 %s x\r\n" % status
                with self.subTest(status), self.assertRaises(RequestError):
                    response.feed(head + ID_LINE + b"Content-Length: 0\r\n\r\n")
                self.assertFalse(response.complete)

    def test_it_ends_the_request_before_its_deadline(self) -> None:
        for status in INVALID_STATUSES:
            head = b"HTTP/1.1 %s x\r\n" % status + ID_LINE

            async def serve(stream: trio.SocketStream, head: bytes = head) -> None:
                await read_request(stream)
                await stream.send_all(head + b"Content-Length: 0\r\n\r\n")
                await stream.receive_some(1)

            exchange = CollectingExchange()
            errors: list[RequestError] = []

            async def main(
                errors: list[RequestError] = errors,
                exchange: CollectingExchange = exchange,
            ) -> None:
                async with serve_script(serve) as address:
                    owner = Owner(FakeServers(address, 1), address, DIALECT, POLICY)
                    async with trio.open_nursery() as nursery:
                        await nursery.start(owner.run)
                        with trio.move_on_after(5):
                            try:
                                await owner.execute(
                                    make_head(request_id="own"), exchange
                                )
                            except RequestError as exc:
                                errors.append(exc)
                        nursery.cancel_scope.cancel()

            with self.subTest(status):
                trio.run(main)
                self.assertIsNone(exchange.head)
                self.assertEqual(
                    [e.code for e in errors], [ResultCode.REQUEST_OUTCOME_UNKNOWN]
                )


class EarlyResponseTest(unittest.TestCase):
    """Guards against a part of a body that passes for all of it."""

    def upload(self, pause_s: float) -> CollectingExchange:
        exchange = UploadExchange()

        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some(100)
            head = b"HTTP/1.1 200 OK\r\n" + ID_LINE + b"\r\n"
            await stream.send_all(head + BODY)
            await trio.sleep(pause_s)
            reset(stream)

        async def main() -> None:
            async with serve_script(serve) as address, trio.open_nursery() as nursery:
                owner = Owner(FakeServers(address, 1), address, DIALECT, POLICY)
                await nursery.start(owner.run)
                head = make_head(request_id="own", has_body=True)
                with contextlib.suppress(RequestError), trio.move_on_after(5):
                    await owner.execute(head, exchange)
                nursery.cancel_scope.cancel()

        trio.run(main)
        return exchange

    def test_reset_during_an_upload_does_not_complete_the_response(self) -> None:
        for index in range(60):
            exchange = self.upload(0.001 * (index % 6))
            self.assertFalse(exchange.finished, index)


class ConnectionErrorTest(unittest.TestCase):
    """Guards against an error of one direction that the other reads as the end."""

    @contextlib.contextmanager
    def reset_conn(self) -> Iterator[TcpConn]:
        """Yield a connection that its peer has reset."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            conn = TcpConn(socket.create_connection(listener.getsockname()))
            peer, _ = listener.accept()
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            peer.close()
            try:
                yield conn
            finally:
                conn.close()

    def test_failed_send_is_not_read_as_the_end(self) -> None:
        async def main() -> None:
            for read_now in (False, True):
                with self.reset_conn() as conn:
                    with self.assertRaises(OSError):
                        await conn.send(b"x")
                    for _ in range(2):
                        with self.assertRaises(OSError):
                            if read_now:
                                conn.receive_now(1)
                            else:
                                await conn.receive(1)

        trio.run(main)

    def test_failed_look_is_not_read_as_the_end(self) -> None:
        async def main() -> None:
            with self.reset_conn() as conn:
                self.assertFalse(conn.is_idle())
                with self.assertRaises(OSError):
                    await conn.receive(1)

        trio.run(main)


WHOLE = (
    b"HTTP/1.1 200 OK\r\n" + ID_LINE + b"Content-Length: 5\r\nX: y\r\n\r\nwhole",
    b"HTTP/1.1 404 No\r\n" + ID_LINE + b"Content-Length: 5\r\n\r\nwhole",
    b"HTTP/1.1 200 OK\r\n"
    + ID_LINE
    + b"Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n",
    b"HTTP/1.1 204 None\r\n" + ID_LINE + b"\r\n",
)


@st.composite
def mutated_responses(draw: st.DrawFn) -> bytes:
    """Return a response in which a few bytes are replaced, removed or added."""
    data = bytearray(draw(st.sampled_from(WHOLE)))
    piece = st.one_of(
        st.binary(max_size=3),
        st.sampled_from([b"\r", b"\n", b"\r\n", b"\0", b" ", b":", b"0", b"9", b"\t"]),
    )
    # Mostly within the status line and the first header lines.
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, min(len(data), draw(st.sampled_from([16, 200])))))
        data[start : start + draw(st.integers(0, 3))] = draw(piece)
    return bytes(data)


class MutationTest(unittest.TestCase):
    """Guards against malformed responses that are forwarded."""

    @given(mutated_responses(), st.integers(1, 200), st.booleans())
    @settings(derandomize=True, max_examples=2_000, deadline=None)
    def test_forwarded_response_is_one_that_http_has(
        self, data: bytes, step: int, is_closed: bool
    ) -> None:
        response = BackendResponse(False, DIALECT, b"own", False)
        try:
            for start in range(0, len(data), step):
                response.feed(data[start : start + step])
        except RequestError:
            self.assertFalse(response.complete)
            return
        if is_closed and not response.complete:
            response.on_connection_closed()
        if not response.has_head:
            return
        self.assertIn(response.status, range(200, 600))
        # The status line is one that HTTP has, with the status that is forwarded.
        lines = re.split(rb"[\r\n]+", data)
        versions = (b"HTTP/1.1", b"HTTP/1.0")
        self.assertTrue(
            any(
                line[:8] in versions
                and line[8:9] == b" "
                and line[9:12].isdigit()
                and int(line[9:12]) == response.status
                and line[12:13] in (b"", b" ")
                for line in lines
            ),
            data,
        )
        block = response.header_block
        self.assertEqual(block.count(b"\n"), block.count(b"\r\n"))
        self.assertEqual(block.count(b"\r"), block.count(b"\r\n"))
        self.assertNotIn(b"\0", block)
        for line in block.split(b"\r\n")[:-1]:
            name, separator, _ = line.partition(b":")
            self.assertTrue(name and separator, block)
            self.assertNotIn(b" ", name)
