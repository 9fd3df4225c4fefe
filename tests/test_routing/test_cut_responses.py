"""Responses of a backend server that end at any byte: none passes for a whole one."""

from __future__ import annotations

import contextlib
import dataclasses
import unittest
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import RequestError
from marigoldchute.hosted.node import POLICY
from marigoldchute.platform.settings import DIALECT
from marigoldchute.routing.backend_response import BackendResponse
from marigoldchute.routing.dialect import DEFAULT_DIALECT, Dialect
from marigoldchute.routing.owner import Owner
from tests.support.servers import read_request, serve_script
from tests.test_routing.test_owner import CollectingExchange, FakeServers, make_head

if TYPE_CHECKING:
    from collections.abc import Iterator

BODY = b"whole body"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKS = b"5;n=v\r\nwhole\r\n005\r\n body\r\n0\r\n"
LENGTH_LINES = (
    b"Content-Length: 10\r\n",
    b"Content-Length:10\r\n",
    b"Content-Length:\t10\r\n",
    b"Content-Length: 10 \r\n",
    b"Content-Length: 10\t \r\n",
    b"content-LENGTH: 0010\r\n",
)
CHUNKED_LINES = (
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding:chunked\r\n",
    b"Transfer-Encoding: Chunked \r\n",
    b"Transfer-Encoding: identity, chunked\r\n",
    b"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
)
TRAILERS = (b"\r\n", b"Digest: 1\r\nKeep-Alive: timeout=1\r\n\r\n")
INTERIM = (
    b"",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\nLink: </a>\r\n\r\n",
)


@dataclasses.dataclass(frozen=True)
class Whole:
    """A whole response.

    Parameters
    ----------
    data : bytes
        All of its bytes.
    body : bytes
        Its body.
    is_head : bool
        Whether it responds to a HEAD request.
    """

    data: bytes
    body: bytes = BODY
    is_head: bool = False


def with_length(id_line: bytes) -> Iterator[Whole]:
    for line in LENGTH_LINES:
        yield Whole(STATUS_LINE + line + id_line + b"\r\n" + BODY)
        yield Whole(STATUS_LINE + id_line + line + b"\r\n" + BODY)
    yield Whole(STATUS_LINE + id_line + b"Content-Length: 0\r\n\r\n", b"")


def chunked(id_line: bytes) -> Iterator[Whole]:
    for line in CHUNKED_LINES:
        for trailers in TRAILERS:
            yield Whole(STATUS_LINE + id_line + line + b"\r\n" + CHUNKS + trailers)
    head = STATUS_LINE + CHUNKED_LINES[0] + id_line
    yield Whole(head + b"\r\n0\r\n\r\n", b"")


def without_body(id_line: bytes) -> Iterator[Whole]:
    for line in (b"", *LENGTH_LINES, CHUNKED_LINES[0]):
        head = STATUS_LINE + id_line + line + b"\r\n"
        yield Whole(head, b"", True)
        for status in (b"204 None", b"304 Same"):
            yield Whole(head.replace(b"200 OK", status), b"")


def is_complete_after(
    whole: Whole, cut: int, dialect: Dialect, step: int, is_reset: bool
) -> bool:
    """Return whether a response counts as complete when it ends at a cut."""
    request_id = b"own"
    response = BackendResponse(whole.is_head, dialect, request_id, False)
    try:
        for start in range(0, cut, step):
            response.feed(whole.data[start : min(cut, start + step)])
    except RequestError:
        return False
    if not response.complete and not is_reset:
        response.on_connection_closed()
    return response.complete


class CutResponseTest(unittest.TestCase):
    """Every cut, with a close and a reset, in one piece and byte by byte."""

    def whole_responses(self, dialect: Dialect) -> Iterator[Whole]:
        id_line = b"%s: own\r\n" % dialect.request_id
        late = b"HTTP/1.1 200 OK\r\n%s: old\r\nContent-Length: 3\r\n\r\nold"
        for make in (with_length, chunked, without_body):
            for whole in make(id_line):
                for interim in (*INTERIM, late % dialect.request_id):
                    yield dataclasses.replace(whole, data=interim + whole.data)

    # Guards against a 200 with an empty or short body that is framed as whole, when the
    # backend server stops within its response and closes.
    def test_cut_response_is_never_complete(self) -> None:
        for dialect in (DIALECT, DEFAULT_DIALECT):
            for whole in self.whole_responses(dialect):
                size = len(whole.data)
                for step in (1, size):
                    for is_reset in (False, True):
                        completing = [
                            cut
                            for cut in range(size + 1)
                            if is_complete_after(whole, cut, dialect, step, is_reset)
                        ]
                        self.assertEqual(completing, [size], whole)

    def test_whole_response_keeps_its_body(self) -> None:
        for dialect in (DIALECT, DEFAULT_DIALECT):
            for whole in self.whole_responses(dialect):
                response = BackendResponse(whole.is_head, dialect, b"own", False)
                response.feed(whole.data)
                self.assertEqual(response.pop_body(), whole.body)
                self.assertNotIn(b"transfer-encoding", response.header_block)

    # Guards against a body that is forwarded with a coding its head no longer names.
    def test_response_with_another_transfer_coding_is_rejected(self) -> None:
        for value in (
            b"gzip",
            b"gzip, chunked",
            b"chunked, gzip",
            b"chunked, chunked",
            b"chunked, identity",
            b"chunked\t",
        ):
            response = BackendResponse(False, DIALECT, b"own")
            head = STATUS_LINE + b"Attempt-Id: own\r\nTransfer-Encoding: %s\r\n\r\n"
            with self.assertRaises(RequestError):
                response.feed(head % value)
            self.assertFalse(response.complete)

    # Guards against a response without a length that is whole after a reset, or before
    # its head is.
    def test_response_without_length_is_complete_only_after_a_close(self) -> None:
        head = STATUS_LINE + b"Attempt-Id: own\r\nX: y\r\n\r\n"
        for interim in INTERIM:
            whole = Whole(interim + head + BODY)
            size, head_size = len(whole.data), len(interim + head)
            for step in (1, size):
                for cut in range(size + 1):
                    self.assertFalse(is_complete_after(whole, cut, DIALECT, step, True))
                    self.assertEqual(
                        is_complete_after(whole, cut, DIALECT, step, False),
                        cut >= head_size,
                    )
                    self.assertFalse(
                        is_complete_after(whole, cut, DEFAULT_DIALECT, step, False)
                    )


class CutOwnerTest(unittest.TestCase):
    """Cut responses through the owner, each the second one on its connection."""

    def fetch(self, whole: Whole, cut: int, is_reset: bool) -> CollectingExchange:
        """Return what is forwarded of the response to the second request."""
        exchange = CollectingExchange()
        first = b"HTTP/1.1 200 OK\r\nAttempt-Id: first\r\nContent-Length: 0\r\n\r\n"

        async def serve(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await stream.send_all(first)
            await read_request(stream)
            await stream.send_all(whole.data[:cut])
            if is_reset:
                await trio.sleep(0.005)
                linger = (1).to_bytes(4, "little") + bytes(4)
                stream.socket.setsockopt(
                    trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger
                )

        async def main() -> None:
            async with serve_script(serve) as address, trio.open_nursery() as nursery:
                owner = Owner(FakeServers(address, 1), address, DIALECT, POLICY)
                await nursery.start(owner.run)
                head = make_head(request_id="first")
                await owner.execute(head, CollectingExchange())
                with contextlib.suppress(RequestError):
                    await owner.execute(make_head(request_id="own"), exchange)
                nursery.cancel_scope.cancel()

        trio.run(main)
        return exchange

    # Guards against a 200 with an empty or short body that is framed as whole, when the
    # backend server stops within its response and closes.
    def test_cut_response_is_never_finished(self) -> None:
        id_line = b"Attempt-Id: own\r\n"
        large = bytes(range(256)) * 1600
        length_line = b"Content-Length: %d \r\n" % len(large)
        wholes = [
            *with_length(id_line),
            *chunked(id_line),
            Whole(STATUS_LINE + id_line + length_line + b"\r\n" + large, large),
        ]
        for whole in wholes:
            size = len(whole.data)
            for cut in (17, 40, size - 2, size - 1, size):
                for is_reset in (False, True):
                    exchange = self.fetch(whole, cut, is_reset)
                    self.assertEqual(exchange.finished, cut == size, (whole, cut))
                    if cut == size:
                        self.assertEqual(exchange.body, whole.body)


if __name__ == "__main__":
    unittest.main()
