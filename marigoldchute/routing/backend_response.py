"""Answer of a backend server, parsed as it arrives."""

from __future__ import annotations

import httptools

from marigoldchute.errors import RequestError
from marigoldchute.routing.dialect import OWN_DIALECT, Dialect
from marigoldchute.routing.headers import HOP_HEADERS

MAX_HEAD_BYTES = 65_536
MIN_FAILURE_STATUS = 400
_NO_LENGTH = -1


class BackendResponse:
    """Parser and state of one answer.

    An answer that is framed neither by a length nor by chunks ends with its
    connection. It is refused unless the dialect accepts it, and then it is whole only
    when the connection was closed in order.

    Where backend servers echo the id of the request, a whole answer with another id is
    a late one to an earlier request, and is skipped.

    Parameters
    ----------
    to_head : bool
        Whether it answers a HEAD request and has no body.
    dialect : Dialect
        Header names of the backend servers.
    request_id : bytes
        Id of the request.
    """

    __slots__ = (
        "_chunked",
        "_dialect",
        "_echo",
        "_head_bytes",
        "_lines",
        "_parser",
        "_request_id",
        "_skipping",
        "_to_head",
        "chunks",
        "complete",
        "has_head",
        "keep_alive",
        "keep_alive_s",
        "length",
        "not_run",
        "skipped",
        "started",
        "status",
    )

    def __init__(
        self,
        to_head: bool,
        dialect: Dialect = OWN_DIALECT,
        request_id: bytes = b"",
    ) -> None:
        self.status = 0
        self.has_head = False
        self.length = _NO_LENGTH
        self.complete = False
        self.keep_alive = False
        self.keep_alive_s: float | None = None
        self.not_run = False
        self.started = False
        self.skipped = 0
        self.chunks: list[bytes] = []  # A deque takes 760 bytes even when empty.
        self._lines: list[bytes] = []
        self._chunked = False
        self._head_bytes = 0
        self._to_head = to_head
        self._dialect = dialect
        self._request_id = request_id
        self._echo: bytes | None = None
        self._skipping = False
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
        """Whether the body ends with the connection."""
        return self.has_head and not (self.complete or self.has_length or self._chunked)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped."""
        if self.has_head:
            return
        name = name.lower()
        if name == b"transfer-encoding":
            self._chunked = value.lower() == b"chunked"
        elif name == b"content-length":
            self.length = int(value) if value.isdigit() else _NO_LENGTH
        elif name == b"keep-alive":
            self.keep_alive_s = _timeout_of(value)
        elif name == self._dialect.not_run:
            self.not_run = True
            return
        elif name == self._dialect.request_id:
            self._echo = value
        if name not in HOP_HEADERS:
            self._lines.append(b"%s: %s\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Take note that the head is whole; interim answers are dropped."""
        if self.complete:
            self.keep_alive = False  # Bytes behind the answer: not ours.
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._clear_head()
            return
        if self._is_foreign():
            self._skipping = True
            return
        self.status = status
        self.has_head = True
        if self._to_head:
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        if not self.complete and not self._skipping:
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Take note that the answer is whole."""
        if self._skipping:
            self._skipping = False
            self.skipped += 1
            self._clear_head()
        elif self.has_head and not self.complete:
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()

    def on_message_begin(self) -> None:
        """Notice bytes behind a whole answer."""
        if self.complete:
            self.keep_alive = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        RequestError
            The answer is malformed, has another request's id without being whole, or
            has no framing that is accepted.
        """
        self.started = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if self.complete:
                self.keep_alive = False
                return
            raise RequestError(f"backend server's answer is malformed: {exc}") from exc
        if not self.has_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES and not self._skipping:
                raise RequestError("backend server's answer has too large a head")
        elif self.is_unframed and not self._dialect.accepts_unframed:
            raise RequestError("backend server's answer has no framing")

    def end_with_connection(self) -> bool:
        """Take note that the connection was closed in order.

        Returns
        -------
        bool
            Whether that ends the answer.
        """
        if not self.is_unframed or not self._dialect.accepts_unframed:
            return False
        self.complete = True
        self.keep_alive = False
        return True

    def close(self) -> None:
        """Let the parser go, so that both are freed without the cycle collector."""
        del self._parser

    def take_body(self) -> bytes:
        """Return what has arrived of the body and was not taken before."""
        if len(self.chunks) == 1:
            return self.chunks.pop()
        body = b"".join(self.chunks)
        self.chunks.clear()
        return body

    @property
    def refused(self) -> bool:
        """Whether the backend server says that the request did not run."""
        misdirected = self._dialect.misdirected_status
        if self.has_head and misdirected and self.status == misdirected:
            return True
        return self.not_run and self.status >= MIN_FAILURE_STATUS

    def _is_foreign(self) -> bool:
        if not self._dialect.echoes_id or not self._request_id:
            return False
        if self._echo is None:
            # Refusals may come before the backend server has read the id.
            misdirected = self._dialect.misdirected_status
            return not (
                self.not_run or self._parser.get_status_code() in (400, misdirected)
            )
        return self._echo != self._request_id

    def _clear_head(self) -> None:
        self._lines.clear()
        self._echo = None
        self._chunked = False
        self.length = _NO_LENGTH
        self.not_run = False


def _timeout_of(value: bytes) -> float | None:
    """Return the seconds of a Keep-Alive header's timeout, or None."""
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.lower() == b"timeout" and text.strip().isdigit():
            return float(int(text))
    return None
