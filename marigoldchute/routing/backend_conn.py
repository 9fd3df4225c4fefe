"""Connections from a node to a backend server on its VM."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import httptools
import trio

from marigoldchute.errors import NotRunError, RequestError, ResultCode

if TYPE_CHECKING:
    from marigoldchute.routing.messages import HeaderList, RequestHead

RECEIVE_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"te",
        b"trailer",
        b"upgrade",
        b"proxy-authenticate",
        b"proxy-authorization",
    }
)


class BackendResponse:
    """An answer as it arrives from a backend server."""

    def __init__(self, head_request: bool) -> None:
        self.status = 0
        self.headers: HeaderList = []
        self.has_head = False
        self.complete = False
        self.chunks: collections.deque[bytes] = collections.deque()
        self.keep_alive = False
        self._parser = httptools.HttpResponseParser(self)
        self._head_request = head_request

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        name = name.lower()
        if name not in HOP_HEADERS:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take note that the head is whole."""
        self.status = self._parser.get_status_code()
        self.has_head = True
        if self._head_request:
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Take note that the answer is whole."""
        self.complete = True
        self.keep_alive = self._parser.should_keep_alive()

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            raise RequestError(f"backend server's answer is malformed: {exc}") from exc


class BackendConn:
    """One connection to a backend server; used for one request at a time."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.reusable = False

    async def send_request(
        self, head: RequestHead, body: trio.abc.ReceiveChannel[bytes] | None
    ) -> None:
        """Write a request without its body."""
        lines = [b"%s %s HTTP/1.1\r\n" % (head.method, head.target)]
        lines += [b"%s: %s\r\n" % pair for pair in head.headers]
        lines.append(b"marigoldchute-deadline-ms: %d\r\n\r\n" % head.remaining_ms)
        await self._stream.send_all(b"".join(lines))

    async def send_body(self, data: bytes) -> None:
        """Write a piece of the body as framed by the caller's headers."""
        await self._stream.send_all(data)

    async def read_more(self, response: BackendResponse) -> None:
        """Read once and parse.

        Raises
        ------
        RequestError
            The connection ended before the answer was whole.
        """
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except trio.BrokenResourceError as exc:
            raise RequestError("backend server broke the connection") from exc
        if not data:
            raise RequestError("backend server closed the connection")
        response.feed(data)

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.socket.close()


class BackendConnPool:
    """Idle connections to the backend servers of one VM.

    Parameters
    ----------
    address : str
        IP number of the VM.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle: dict[int, list[BackendConn]] = {}

    async def take(self, port: int) -> BackendConn:
        """Return an idle connection, or a new one.

        Raises
        ------
        NotRunError
            The backend server does not accept connections.
        """
        idle = self._idle.get(port)
        if idle:
            return idle.pop()
        sock = trio.socket.socket()
        try:
            await sock.bind((self._address, 0))
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await sock.connect((self._address, port))
        except (OSError, trio.TooSlowError) as exc:
            sock.close()
            raise NotRunError(
                f"backend server does not accept connections: {exc}",
                ResultCode.REQUEST_NOT_RUN_REFUSED,
            ) from exc
        return BackendConn(trio.SocketStream(sock))

    def give_back(self, port: int, conn: BackendConn) -> None:
        """Keep a connection whose answer was read whole, or close it."""
        if conn.reusable:
            conn.reusable = False
            self._idle.setdefault(port, []).append(conn)
        else:
            conn.close()
