"""An answer as it arrives from a backend server."""

from __future__ import annotations

import collections

import httptools

from marigoldchute.errors import RequestError
from marigoldchute.routing.headers import HOP_HEADERS, NOT_RUN_HEADER

MAX_HEAD_BYTES = 65_536
STATUS_REFUSED = 503


class BackendResponse:
    """Parser and state of one answer.

    An answer that is framed neither by a length nor by chunks ends with its
    connection, so a whole one cannot be told from a cut one; it is refused.

    Parameters
    ----------
    to_head : bool
        Whether it answers a HEAD request and has no body.
    """

    __slots__ = (
        "_chunked",
        "_head_bytes",
        "_lines",
        "_parser",
        "_to_head",
        "chunks",
        "complete",
        "has_head",
        "has_length",
        "keep_alive",
        "not_run",
        "started",
        "status",
    )

    def __init__(self, to_head: bool) -> None:
        self.status = 0
        self.has_head = False
        self.has_length = False
        self.complete = False
        self.keep_alive = False
        self.not_run = False
        self.started = False
        self.chunks: collections.deque[bytes] = collections.deque()
        self._lines: list[bytes] = []
        self._chunked = False
        self._head_bytes = 0
        self._to_head = to_head
        self._parser = httptools.HttpResponseParser(self)

    @property
    def header_block(self) -> bytes:
        """End-to-end headers, each line ended by CR LF."""
        return b"".join(self._lines)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped."""
        if self.has_head:
            return
        name = name.lower()
        if name == b"transfer-encoding":
            self._chunked = value.lower() == b"chunked"
        elif name == b"content-length":
            self.has_length = True
        elif name == NOT_RUN_HEADER:
            self.not_run = value == b"1"
            return
        if name not in HOP_HEADERS:
            self._lines.append(b"%s: %s\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Take note that the head is whole; interim answers are dropped."""
        if self.complete:
            self.keep_alive = False  # Bytes behind the answer: not ours.
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._lines.clear()
            return
        self.status = status
        self.has_head = True
        if self._to_head:
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        if not self.complete:
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Take note that the answer is whole."""
        if self.has_head and not self.complete:
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
            The answer is malformed or has no framing.
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
            if self._head_bytes > MAX_HEAD_BYTES:
                raise RequestError("backend server's answer has too large a head")
        elif not (self.complete or self.has_length or self._chunked):
            raise RequestError("backend server's answer has no framing")

    def take_body(self) -> bytes:
        """Return what has arrived of the body and was not taken before."""
        if len(self.chunks) == 1:
            return self.chunks.popleft()
        body = b"".join(self.chunks)
        self.chunks.clear()
        return body

    @property
    def refused(self) -> bool:
        """Whether the backend server says that the request did not run."""
        return self.not_run and self.status == STATUS_REFUSED
