"""A request and its response on a caller's connection."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools
import trio

from marigoldchute.errors import RequestError, ResultCode
from marigoldchute.routing.http_checks import check_head, parse_target
from marigoldchute.routing.request_headers import MAX_LISTED_LINES, RequestHeaders
from marigoldchute.util.pieces import append_piece

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from marigoldchute.bundle.model import CallerLimits
    from marigoldchute.routing.cut import CutCause
    from marigoldchute.routing.memory_budget import MemoryAccount
    from marigoldchute.routing.messages import HeaderList
    from marigoldchute.util.tcp import TcpConn

RECEIVE_BYTES = 65_536
RECEIVE_HEAD_BYTES = 16_384
# Parts in which a read is parsed until a request is complete, so that the objects of
# many small requests do not exist before they are handled. A body of a known length is
# parsed as a whole.
FEED_HEAD_BYTES = 2_048
FEED_BODY_BYTES = 8_192
# Resident memory beside what the caller sent, rounded up from 8.2 kB for each of 800
# connections with a head that has begun, and 14.7 kB for each of 80 with a request in
# progress (x86-64, Python 3.11).
CONN_BYTES = 9_000
REQUEST_BYTES = 1_200
RUNNING_BYTES = 5_000
# The buffer for retries and one read more; see ``RequestBody``.
MAX_HELD_BODY_BYTES = 458_752
MAX_HEAD_BYTES = 65_536
# Chunks of a few bytes have several bytes of framing each.
MAX_FRAMING_RATIO = 8
BODY_PROGRESS_TIMEOUT_S = 10.0
# Bytes of a head beside method, target, names and values, without optional spaces.
_REQUEST_LINE_BYTES = len(b"  HTTP/1.1\r\n")
_HEADER_LINE_BYTES = len(b":\r\n")
_HEAD_END_BYTES = len(b"\r\n")
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_NO_HEADERS = RequestHeaders()  # In place of those of a head that is complete.
# A released request with a longer head is replaced in the parser, which would keep its
# target until the next request.
_MAX_KEPT_HEAD_BYTES = 16_384


class CallerDisconnectedError(RequestError):
    """The caller closed its connection before it received a response."""


class HttpRequest:
    """One request that is read from a caller's connection.

    Attributes
    ----------
    cancel_scope : trio.CancelScope or None
        Set by the handler; cancelled when the caller disconnects.
    caller_disconnected : bool
        Whether the caller disconnected.
    turn : trio.Event or None
        Set when the responses to all earlier requests of the connection are complete;
        None when the request has no predecessor.
    cut_cause : CutCause or None
        Set by a handler that returns without a complete response.
    call_fields : dict of str to object, or None
        What the handler did with a request that got no complete response, for the log.
    held_head_bytes, held_body_bytes : int
        Memory that the request takes, without its response.
    response_buffer : callable or None
        Set by the handler; returns the bytes of the response that wait in this node.
    """

    __slots__ = (
        "_conn_parser",
        "_expects_continue",
        "body_length",
        "call_fields",
        "caller_disconnected",
        "cancel_scope",
        "chunks",
        "complete",
        "cut_cause",
        "has_body",
        "headers",
        "held_body_bytes",
        "held_head_bytes",
        "http_version",
        "keep_alive",
        "method",
        "response_buffer",
        "target",
        "turn",
    )

    def __init__(self, conn_parser: CallerConnParser) -> None:
        self._conn_parser = conn_parser
        self.turn: trio.Event | None = None
        self.method = b""
        self.target = b""
        self.headers: Iterable[tuple[bytes, bytes]] = ()
        self.http_version = "1.1"
        self.keep_alive = True
        self.has_body = False
        self.body_length = 0  # 0 if it is not known.
        self.complete = False
        self.chunks: list[bytes] = []  # An empty deque takes 760 bytes.
        self.cancel_scope: trio.CancelScope | None = None
        self.caller_disconnected = False
        self.cut_cause: CutCause | None = None
        self.call_fields: dict[str, object] | None = None
        self._expects_continue = False
        self.held_head_bytes = 0
        self.held_body_bytes = 0
        self.response_buffer: Callable[[], int] | None = None

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes, without its response."""
        return self.held_head_bytes + self.held_body_bytes

    def take(self) -> None:
        """Count the memory of what handles the request from now on."""
        self.held_head_bytes += RUNNING_BYTES
        self._conn_parser.add_held_bytes(RUNNING_BYTES)

    def release(self) -> None:
        """Drop what the caller sent after the request has ended."""
        self.headers = ()
        self.chunks.clear()
        self.response_buffer = None
        self._conn_parser.release_request(self)

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a lower-case name."""
        headers = self.headers
        if isinstance(headers, RequestHeaders) and not headers.may_have(name):
            return None
        for key, value in headers:
            if key == name:
                return value
        return None

    async def wait_for_turn(self) -> None:
        """Wait until the responses to all earlier requests are complete.

        A request that must not run twice may only be passed on after that: its caller
        sends it again if the connection closes before.
        """
        if self.turn is not None:
            await self.turn.wait()

    def complete_head(self, parser: httptools.HttpRequestParser) -> None:
        """Validate the complete head and set the attributes that depend on it.

        Raises
        ------
        RequestError
            The head is invalid or not supported.
        """
        self.method = parser.get_method()
        self.http_version = parser.get_http_version()
        self.keep_alive = parser.should_keep_alive()
        framing = check_head(self.http_version, self.headers)
        self.target = parse_target(self.target)
        self.has_body = framing.has_body
        self.body_length = framing.length
        self._expects_continue = framing.expects_continue

    async def receive(self) -> bytes | None:
        """Return the next piece of the body, or None after the last one.

        Raises
        ------
        RequestError
            The caller closed the connection, sent a malformed body, or sent nothing
            for ``BODY_PROGRESS_TIMEOUT_S``.
        """
        while not self.chunks:
            if self.complete:
                return None
            await self._read_body()
        return self.chunks.pop(0)

    async def _read_body(self) -> None:
        if self._expects_continue:
            self._expects_continue = False
            await self.wait_for_turn()
            await self._conn_parser.tcp.send(_CONTINUE)
        with trio.move_on_after(BODY_PROGRESS_TIMEOUT_S):
            try:
                await self._conn_parser.read_more()
            except trio.ClosedResourceError as exc:
                raise CallerDisconnectedError(
                    "caller's connection was closed at this end"
                ) from exc
            return
        raise RequestError(
            "caller stopped sending its body", ResultCode.REQUEST_SENDER_TIMEOUT
        )


def _always() -> bool:
    return True


class HttpResponder:
    """Writes the response to one request after those to earlier requests.

    Parameters
    ----------
    tcp : TcpConn
        Connection of the caller.
    req : HttpRequest or None
        Request that the response belongs to.
    may_keep_alive : callable
        Returns whether the connection may stay open after the response; called when
        the head is sent.
    """

    __slots__ = (
        "_bodiless",
        "_chunked",
        "_close_delimited",
        "_may_keep_alive",
        "_position",
        "_req",
        "_tcp",
        "finished",
        "keep_alive",
        "started",
    )

    def __init__(
        self,
        tcp: TcpConn,
        req: HttpRequest | None,
        may_keep_alive: Callable[[], bool] = _always,
    ) -> None:
        self._tcp = tcp
        self._req = req
        self._may_keep_alive = may_keep_alive
        self._bodiless = req is not None and req.method == b"HEAD"
        self._close_delimited = req is not None and req.http_version == "1.0"
        self._chunked = False
        self._position = 0  # Of the response among the bytes of the connection.
        self.keep_alive = req is not None and req.keep_alive
        self.started = False
        self.finished = False

    @property
    def peer_address(self) -> str:
        """IP address of the caller."""
        return self._tcp.peer_address

    @property
    def sent_bytes(self) -> int:
        """Number of bytes of the response that the kernel has accepted."""
        return self._tcp.bytes_written - self._position if self.started else 0

    async def start(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Send the status and headers together with the first piece of the body."""
        block = b"".join([b"%s: %s\r\n" % pair for pair in headers])
        has_length = any(name == b"content-length" for name, _ in headers)
        await self.start_encoded(status, block, has_length, body)

    async def start_encoded(
        self, status: int, block: bytes, has_length: bool, body: bytes
    ) -> None:
        """Send the status, encoded headers and the first piece of the body together."""
        await self._wait_for_turn()
        head = self._encode_head(status, block, has_length)
        await self._tcp.send(head + self._encode_piece(body))

    async def send_complete(
        self, status: int, block: bytes, has_length: bool, body: bytes
    ) -> None:
        """Send a complete response, in one write if the kernel accepts it."""
        await self._wait_for_turn()
        head = self._encode_head(status, block, has_length)
        end = b"0\r\n\r\n" if self._chunked else b""
        await self._tcp.send(head + self._encode_piece(body) + end)
        self.finished = True

    async def send(self, data: bytes) -> None:
        """Send another piece of the body."""
        if data:
            await self._tcp.send(self._encode_piece(data))

    async def finish(self) -> None:
        """End the body of the response."""
        if self._chunked:
            await self._tcp.send(b"0\r\n\r\n")
        self.finished = True

    def release(self) -> None:
        """Drop the reference to the connection's state after the request has ended."""
        self._may_keep_alive = _always

    def abort(self) -> None:
        """Reset the connection, so that the caller detects a truncated response."""
        self._tcp.abort()

    async def _wait_for_turn(self) -> None:
        if self._req is not None and self._req.turn is not None:
            await self._req.turn.wait()

    def _encode_head(self, status: int, block: bytes, has_length: bool) -> bytes:
        self.started = True
        self._position = self._tcp.bytes_written
        self.keep_alive = self.keep_alive and self._may_keep_alive()
        if self._req is not None and not self._req.complete:
            self.keep_alive = False  # The rest of the body may never be read.
        bodiless = self._bodiless or status in (204, 304) or status < 200
        hop_headers = b""
        if not has_length and not bodiless:
            if self._close_delimited:
                self.keep_alive = False
            else:
                self._chunked = True
                hop_headers = b"transfer-encoding: chunked\r\n"
        if not self.keep_alive:
            hop_headers += b"connection: close\r\n"
        elif self._close_delimited:
            hop_headers += b"connection: keep-alive\r\n"
        return b"%s%s%s\r\n" % (_status_line(status), block, hop_headers)

    def _encode_piece(self, data: bytes) -> bytes:
        if self._bodiless or not data:
            return b""
        return b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data


_STATUS_LINES: dict[int, bytes] = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status.value, status.phrase.encode())
    for status in HTTPStatus
}


def _status_line(status: int) -> bytes:
    return _STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown\r\n" % status


def _no_limits() -> None:
    return None


class CallerConnParser:
    """Parser of the requests on one caller's connection.

    Parameters
    ----------
    tcp : TcpConn
        Connection of the caller.
    current_limits : callable, optional
        Returns the limits in force; called at the first byte of each request.
    account : MemoryAccount, optional
        Account of the memory that the connection takes.
    """

    def __init__(
        self,
        tcp: TcpConn,
        current_limits: Callable[[], CallerLimits | None] = _no_limits,
        account: MemoryAccount | None = None,
    ) -> None:
        self.tcp = tcp
        self._account = account
        self._unparsed = b""
        self._requests_bytes = 0
        self._response_bytes = 0
        self._current_limits = current_limits
        self.requests: list[HttpRequest] = []
        self._parser = httptools.HttpRequestParser(self)
        self._current_request = HttpRequest(self)
        self._headers = _NO_HEADERS
        self._listed_headers = _NO_HEADERS.listed
        self._head_bytes = 0
        # Size of the parsed part, which does not depend on how the bytes arrive.
        self._parsed_head_bytes = 0
        # Of the current request, behind its head: its body and the framing of chunks.
        self._body_bytes = 0
        self._framing_bytes = 0
        self._in_head = True
        self.max_head_bytes = MAX_HEAD_BYTES
        self.max_body_bytes = 0  # 0 for no limit.
        self._head_error: RequestError | None = None
        self._error: RequestError | None = None

    def close(self) -> None:
        """Drop what refers to this object or holds what the caller sent.

        Both are then freed without the garbage collector.
        """
        del self._parser, self._current_request
        self._drop_headers()
        self.requests.clear()
        self._unparsed = b""
        self._error = self._head_error = None

    @property
    def is_between_requests(self) -> bool:
        """Whether no byte of the next request has arrived."""
        return self._in_head and self._head_bytes == 0 and not self._unparsed

    @property
    def held_bytes(self) -> int:
        """Memory that the connection takes."""
        held_bytes = CONN_BYTES + self._requests_bytes + len(self._unparsed)
        held_bytes += self._response_bytes
        if self._in_head and self._head_bytes:
            held_bytes += self._headers.held_bytes + self._head_bytes
        return held_bytes

    def set_response_bytes(self, response_bytes: int) -> None:
        """Set the bytes of responses that wait for the caller to read them."""
        self._response_bytes = response_bytes
        self._update_account()

    def add_held_bytes(self, added_bytes: int) -> None:
        """Count further memory of a request of this connection.

        The account follows with the next read or ``set_response_bytes``.
        """
        self._requests_bytes += added_bytes

    def release_request(self, req: HttpRequest) -> None:
        """Count the memory of a request that has ended as released."""
        if req.held_head_bytes > _MAX_KEPT_HEAD_BYTES and req.complete:
            self._forget(req)
        self._requests_bytes -= req.held_bytes
        req.held_head_bytes = req.held_body_bytes = 0
        self._update_account()

    def _forget(self, req: HttpRequest) -> None:
        if getattr(self, "_current_request", None) is req:
            self._current_request = HttpRequest(self)
            self._current_request.complete = True

    def _drop_headers(self) -> None:
        self._headers = _NO_HEADERS
        self._listed_headers = _NO_HEADERS.listed

    def _update_account(self) -> None:
        if self._account is not None:
            self._account.update(self.held_bytes)

    def on_message_begin(self) -> None:
        """Start a new request, which the limits in force hold for."""
        self._current_request = req = HttpRequest(self)
        req.headers = self._headers = RequestHeaders()
        self._listed_headers = self._headers.listed
        self._in_head = True
        self._parsed_head_bytes = _REQUEST_LINE_BYTES + _HEAD_END_BYTES
        limits = self._current_limits()
        if limits is not None:
            self.max_head_bytes = limits.head_bytes
            self.max_body_bytes = limits.body_bytes

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._current_request.target += url
        self._parsed_head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are discarded."""
        if self._in_head:
            self._parsed_head_bytes += len(name) + len(value) + _HEADER_LINE_BYTES
            self._listed_headers.append((name.lower(), value.rstrip()))
            if len(self._listed_headers) > MAX_LISTED_LINES:
                self._headers.pack()

    def on_headers_complete(self) -> None:
        """Queue the request for handling; its body may still follow."""
        self._head_bytes = 0
        self._body_bytes = self._framing_bytes = 0
        self._in_head = False
        try:
            self._check_head_size()
            self._current_request.complete_head(self._parser)
        except RequestError as exc:
            self._head_error = self._head_error or exc
            return
        if self._head_error is None:
            req = self._current_request
            self.requests.append(req)
            # Names and values are held once more in the block that is forwarded.
            req.held_head_bytes = (
                REQUEST_BYTES + self._headers.held_bytes + self._parsed_head_bytes
            )
            self._requests_bytes += req.held_head_bytes
        self._drop_headers()

    def _check_head_size(self) -> None:
        size = self._parsed_head_bytes + len(self._parser.get_method())
        if size > self.max_head_bytes:
            raise _head_size_error()

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        self._body_bytes += len(data)
        req = self._current_request
        append_piece(req.chunks, data)
        held_bytes = min(len(data), MAX_HELD_BODY_BYTES - req.held_body_bytes)
        req.held_body_bytes += held_bytes
        self._requests_bytes += held_bytes

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self._current_request.complete = True
        self._in_head = True
        self._head_bytes = 0

    async def read_more(self) -> None:
        """Read once from the caller and parse the data.

        Raises
        ------
        RequestError
            The caller closed the connection or sent an invalid request. An error that
            follows a complete request is raised when the next one is read.
        """
        if self._error is not None:
            raise self._error
        data, self._unparsed = self._unparsed, b""
        if not data:
            data = await self._receive()
        if len(data) <= FEED_HEAD_BYTES:
            self.feed(data)
            return
        self._feed_in_parts(data)

    async def _receive(self) -> bytes:
        limit = RECEIVE_HEAD_BYTES if self._in_head else RECEIVE_BYTES
        try:
            data = await self.tcp.receive(limit)
        except OSError as exc:
            raise CallerDisconnectedError(f"caller's connection broke: {exc}") from exc
        if not data:
            raise CallerDisconnectedError("caller closed the connection")
        return data

    def _feed_in_parts(self, data: bytes) -> None:
        """Parse until a request is complete, and keep the rest."""
        position = 0
        queued_count = len(self.requests)
        req = self._current_request
        made_progress = False
        while position < len(data) and not (made_progress and self._in_head):
            size = self._feed_size()
            try:
                self.feed(data[position : position + size])
            except RequestError:
                if not made_progress:
                    raise
                break  # It is raised by the next read.
            position += size
            made_progress = len(self.requests) > queued_count or req.complete
        self._unparsed = data[position:]
        self._update_account()

    def _feed_size(self) -> int:
        if self._in_head:
            return FEED_HEAD_BYTES
        rest_bytes = self._current_request.body_length - self._body_bytes
        return rest_bytes if rest_bytes > 0 else FEED_BODY_BYTES

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        RequestError
            The bytes are not a valid request.
        """
        queued_count = len(self.requests)
        previous_request = self._current_request
        was_in_head = self._in_head
        body_bytes = self._body_bytes
        if was_in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._error = RequestError(
                f"request is malformed: {exc}", ResultCode.REQUEST_MALFORMED
            )
        if not was_in_head and self._current_request is previous_request:
            self._framing_bytes += len(data) - (self._body_bytes - body_bytes)
        if self._head_error is not None:
            self._error = self._head_error
        elif 0 < self.max_body_bytes < self._body_bytes:
            self._error = RequestError(
                "request body is too large", ResultCode.REQUEST_BODY_TOO_LARGE
            )
        elif (
            self._framing_bytes
            > self.max_head_bytes + MAX_FRAMING_RATIO * self._body_bytes
        ):
            self._error = RequestError(
                "too many bytes outside of the request's body",
                ResultCode.REQUEST_TOO_LARGE,
            )
        elif self._in_head and self._head_bytes > self.max_head_bytes:
            self._error = _head_size_error()
        self._update_account()
        made_progress = len(self.requests) > queued_count or previous_request.complete
        if self._error is not None and not made_progress:
            raise self._error


def _head_size_error() -> RequestError:
    return RequestError("request head is too large", ResultCode.REQUEST_TOO_LARGE)
