"""Response of a backend server, parsed as it arrives."""

from __future__ import annotations

import itertools

import httptools

from marigoldchute.errors import RequestError
from marigoldchute.routing.dialect import DEFAULT_DIALECT, Dialect
from marigoldchute.routing.headers import HOP_HEADERS

# Limit of the bytes outside of the body: heads, interim responses, chunk sizes and
# extensions, and trailers. Chunks of a few bytes have several bytes of framing each.
MAX_HEAD_BYTES = 65_536
MAX_FRAMING_RATIO = 8
# Limit of the bodies of late responses to earlier requests, which are skipped.
MAX_SKIPPED_BYTES = 16_000_000
MIN_ERROR_STATUS = 400
# Statuses that HTTP has. The parser accepts any three digits.
VALID_STATUSES = range(100, 600)
HTTP_VERSIONS = ("1.0", "1.1")
_NO_LENGTH = -1


class BackendResponse:
    """Parser and state of one response.

    A response with neither a length nor chunked encoding ends when its connection is
    closed. It is rejected unless the dialect accepts it, and then it is complete only
    if the connection was closed without an error.

    If backend servers echo the id of the request, a complete response with another id
    is a late response to an earlier request, and is skipped. So is one without an id,
    unless it is a refusal and the first response on its connection: a backend server
    may refuse a request before it has read the id.

    Parameters
    ----------
    is_head_response : bool
        Whether it responds to a HEAD request and has no body.
    dialect : Dialect
        Header names of the backend servers.
    request_id : bytes
        Id of the request.
    is_first : bool
        Whether no other request was sent on the connection before.
    """

    __slots__ = (
        "_codings",
        "_dialect",
        "_echoed_id",
        "_invalid",
        "_is_first",
        "_is_head_response",
        "_lines",
        "_overhead_bytes",
        "_parser",
        "_request_id",
        "_skipped_bytes",
        "_skipping",
        "body_bytes",
        "chunks",
        "complete",
        "has_head",
        "is_contradicted",
        "keep_alive",
        "keep_alive_s",
        "length",
        "not_run",
        "skipped_count",
        "started",
        "status",
    )

    def __init__(
        self,
        is_head_response: bool,
        dialect: Dialect = DEFAULT_DIALECT,
        request_id: bytes = b"",
        is_first: bool = True,
    ) -> None:
        self.status = 0
        self.has_head = False
        self.length = _NO_LENGTH
        self.complete = False
        self.keep_alive = False
        self.keep_alive_s: float | None = None
        self.not_run = False
        self.started = False
        self.is_contradicted = False  # Whether one with another status followed.
        self.skipped_count = 0
        self.chunks: list[bytes] = []  # An empty deque takes 760 bytes.
        self._lines: list[bytes] = []
        self._codings: tuple[bytes, ...] = ()
        self._overhead_bytes = 0
        self._skipped_bytes = 0
        self.body_bytes = 0  # Received so far, without the framing of chunks.
        self._is_head_response = is_head_response
        self._dialect = dialect
        self._request_id = request_id
        self._is_first = is_first
        self._echoed_id: bytes | None = None
        self._skipping = False
        self._invalid = ""
        self._parser = httptools.HttpResponseParser(self)

    @property
    def header_block(self) -> bytes:
        """End-to-end headers, each line ended by CR LF."""
        return b"".join(self._lines)

    @property
    def has_length(self) -> bool:
        """Whether the headers state the length of the body."""
        return self.length != _NO_LENGTH

    @property
    def is_unframed(self) -> bool:
        """Whether the body ends when the connection is closed."""
        return self.has_head and not (self.complete or self.has_length or self._codings)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process a header; trailers are discarded."""
        if self.has_head:
            return
        name = name.lower()
        if name == b"transfer-encoding":
            self._codings = _add_codings(self._codings, value)
        value = value.rstrip()  # The parser leaves trailing white space.
        if name == b"content-length":
            self.length = int(value) if value.isdigit() else _NO_LENGTH
        elif name == b"keep-alive":
            self.keep_alive_s = _parse_keep_alive_timeout(value)
        elif name == self._dialect.not_run:
            self.not_run = True
            return
        elif name == self._dialect.request_id:
            # Of several different ids none identifies the request.
            is_only = self._echoed_id in (None, value)
            self._echoed_id = value if is_only else b""
        if name not in HOP_HEADERS:
            self._lines.append(b"%s: %s\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Process the complete head; interim responses are discarded."""
        if self._invalid:
            return
        if self.complete:
            self.keep_alive = False  # Bytes after the response belong to no request.
            if self._parser.get_status_code() != self.status:
                self.is_contradicted = True
            return
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        if status not in VALID_STATUSES or version not in HTTP_VERSIONS:
            self._invalid = f"status {status:03} of HTTP {version} is not valid"
            return
        if status < 200:
            self._clear_head()
            return
        if self._is_for_other_request():
            self._skipping = True
            return
        self.status = status
        self.has_head = True
        if self._is_head_response:
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        if self._skipping:
            self._skipped_bytes += len(data)
        else:
            self.body_bytes += len(data)
            if not self.complete:
                self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Mark the response as complete, or end the skipping of another one."""
        if self._skipping:
            self._skipping = False
            self.skipped_count += 1
            self._clear_head()
        elif self.has_head and not self.complete:
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()

    def on_message_begin(self) -> None:
        """Prevent reuse of the connection when bytes follow a complete response."""
        if self.complete:
            self.keep_alive = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        RequestError
            The response is malformed, too many of its bytes are outside of the body,
            or its framing is not accepted.
        """
        self.started = True
        body_bytes_before = self.body_bytes + self._skipped_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if self.complete:
                self.keep_alive = False
                return
            raise RequestError(
                f"response of the backend server is malformed: {exc}"
            ) from exc
        if self._invalid:
            raise RequestError(
                f"response of the backend server is malformed: {self._invalid}"
            )
        body_bytes = self.body_bytes + self._skipped_bytes
        self._overhead_bytes += len(data) - (body_bytes - body_bytes_before)
        if self._overhead_bytes > MAX_HEAD_BYTES + MAX_FRAMING_RATIO * body_bytes:
            raise RequestError(
                "too many bytes outside of the body of the backend server's response"
            )
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise RequestError("late response of the backend server does not end")
        if self.has_head and self._codings not in ((), (b"chunked",)):
            raise RequestError("transfer coding of the response is not supported")
        if self.is_unframed and not self._dialect.accepts_unframed:
            raise RequestError("backend server's response has no framing")

    def on_connection_closed(self) -> bool:
        """Handle a connection that was closed without an error.

        Returns
        -------
        bool
            Whether this completes the response.
        """
        if not self.is_unframed or not self._dialect.accepts_unframed:
            return False
        self.complete = True
        self.keep_alive = False
        return True

    def close(self) -> None:
        """Drop the parser and what was received, whoever still refers to this object.

        Parser and object are then freed without the garbage collector.
        """
        del self._parser
        self._lines.clear()
        self.chunks.clear()

    def pop_body(self) -> bytes:
        """Remove and return the part of the body that has arrived."""
        if len(self.chunks) == 1:
            return self.chunks.pop()
        body = b"".join(self.chunks)
        self.chunks.clear()
        return body

    @property
    def refused(self) -> bool:
        """Whether the backend server reported that the request did not run."""
        misdirected = self._dialect.misdirected_status
        if self.has_head and misdirected and self.status == misdirected:
            return True
        return self.not_run and self.status >= MIN_ERROR_STATUS

    @property
    def has_own_id(self) -> bool:
        """Whether the response has the id of the request."""
        return bool(self._request_id) and self._echoed_id == self._request_id

    def _is_for_other_request(self) -> bool:
        if not self._request_id:
            return False
        if self._echoed_id is not None:
            return not self.has_own_id
        if not self._dialect.echoes_request_id:
            return False
        misdirected = self._dialect.misdirected_status
        is_refusal = self.not_run or self._parser.get_status_code() in (
            400,
            misdirected,
        )
        return not (self._is_first and is_refusal)

    def _clear_head(self) -> None:
        self._lines.clear()
        self._echoed_id = None
        self._codings = ()
        self.length = _NO_LENGTH
        self.not_run = False


def _add_codings(codings: tuple[bytes, ...], value: bytes) -> tuple[bytes, ...]:
    """Return the transfer codings with those of a further header.

    The parser does not take a coding that is followed by a tab for a chunked one.
    """
    added = (part.strip(b" ") for part in value.lower().split(b","))
    return tuple(
        itertools.dropwhile(lambda coding: coding == b"identity", (*codings, *added))
    )


def _parse_keep_alive_timeout(value: bytes) -> float | None:
    """Return the seconds of a Keep-Alive header's timeout, or None."""
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout" and text.strip().isdigit():
            return float(int(text))
    return None
