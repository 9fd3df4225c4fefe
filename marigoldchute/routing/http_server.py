"""HTTP/1.1 edge towards callers, on httptools over trio streams."""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools
import trio

from marigoldchute.errors import RequestError, ResultCode

if TYPE_CHECKING:
    from marigoldchute.routing.messages import HeaderList

RECEIVE_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
HEAD_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0

RequestHandler = Callable[["HttpRequest", "HttpResponder"], Awaitable[None]]


class HttpRequest:
    """One request as read from a caller's connection."""

    def __init__(self, conn: _Connection) -> None:
        self._conn = conn
        self.method = b""
        self.target = b""
        self.headers: HeaderList = []
        self.has_body = False
        self.complete = False
        self.chunks: collections.deque[bytes] = collections.deque()

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    async def receive(self) -> bytes | None:
        """Return the next piece of the body, or None at its whole end.

        Raises
        ------
        RequestError
            The caller closed the connection or sent a malformed body.
        """
        while not self.chunks:
            if self.complete:
                return None
            await self._conn.read_more()
        return self.chunks.popleft()


class HttpResponder:
    """Writes the answer of one request."""

    def __init__(self, stream: trio.SocketStream, keep_alive: bool, head: bool) -> None:
        self._stream = stream
        self._is_head = head
        self._chunked = False
        self.keep_alive = keep_alive
        self.started = False
        self.finished = False

    async def start(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Send status and headers, and with them the first piece of the body."""
        self.started = True
        names = {name for name, _ in headers}
        bodiless = self._is_head or status in (204, 304) or status < 200
        self._chunked = b"content-length" not in names and not bodiless
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, _phrase(status))]
        lines += [b"%s: %s\r\n" % pair for pair in headers]
        if self._chunked:
            lines.append(b"transfer-encoding: chunked\r\n")
        if not self.keep_alive:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        if body:
            lines.append(self._frame(body))
        await self._stream.send_all(b"".join(lines))

    async def send(self, data: bytes) -> None:
        """Send a further piece of the body."""
        if data:
            await self._stream.send_all(self._frame(data))

    async def finish(self) -> None:
        """Say that the body is whole."""
        if self._chunked:
            await self._stream.send_all(b"0\r\n\r\n")
        self.finished = True

    def _frame(self, data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"


class _Connection:
    """Parser state of one caller's connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.parser = httptools.HttpRequestParser(self)
        self.requests: collections.deque[HttpRequest] = collections.deque()
        self._reading: HttpRequest | None = None
        self._head_bytes = 0
        self._in_head = True

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reading = HttpRequest(self)
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Take a piece of the request target."""
        assert self._reading is not None
        self._reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        assert self._reading is not None
        self._reading.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Hand over the request; its body may still follow."""
        req = self._reading
        assert req is not None
        req.method = self.parser.get_method()
        self._head_bytes = 0
        self._in_head = False
        length = req.header(b"content-length")
        chunked = req.header(b"transfer-encoding") is not None
        req.has_body = chunked or (length is not None and length != b"0")
        self.requests.append(req)

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        assert self._reading is not None
        self._reading.chunks.append(data)

    def on_message_complete(self) -> None:
        """End a request."""
        assert self._reading is not None
        self._reading.complete = True

    async def read_more(self) -> None:
        """Read once from the caller and parse."""
        data = await self.stream.receive_some(RECEIVE_BYTES)
        if not data:
            raise RequestError("caller closed the connection")
        if self._in_head:
            self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise RequestError("head is too large", ResultCode.REQUEST_TOO_LARGE)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise RequestError(
                f"request is malformed: {exc}", ResultCode.REQUEST_MALFORMED
            ) from exc


async def serve_connection(stream: trio.SocketStream, handler: RequestHandler) -> None:
    """Serve the requests of one connection, one after another."""
    conn = _Connection(stream)
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await _serve_requests(conn, handler)
    await trio.aclose_forcefully(stream)


async def _serve_requests(conn: _Connection, handler: RequestHandler) -> None:
    while True:
        try:
            with trio.move_on_after(IDLE_TIMEOUT_S) as scope:
                while not conn.requests:
                    await conn.read_more()
        except RequestError as exc:
            await _refuse_malformed(conn.stream, exc)
            return
        if scope.cancelled_caught:
            return
        req = conn.requests.popleft()
        keep_alive = conn.parser.should_keep_alive()
        responder = HttpResponder(conn.stream, keep_alive, req.method == b"HEAD")
        await handler(req, responder)
        if not responder.finished or not responder.keep_alive or not req.complete:
            return


async def _refuse_malformed(stream: trio.SocketStream, exc: RequestError) -> None:
    status = {
        ResultCode.REQUEST_MALFORMED: 400,
        ResultCode.REQUEST_TOO_LARGE: 431,
    }.get(exc.code)
    if status is None:
        return
    body = f"{exc}\n".encode()
    responder = HttpResponder(stream, False, False)
    length = str(len(body)).encode()
    await responder.start(status, [(b"content-length", length)], body)
