"""HTTP/1.1 server for callers, based on httptools and non-blocking sockets."""

from __future__ import annotations

import select
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.errors import RequestError, ResultCode
from marigoldchute.routing.http_request import (
    CallerConnParser,
    CallerDisconnectedError,
    HttpRequest,
    HttpResponder,
)
from marigoldchute.util.tcp import TcpConn, TcpListener, serve_tcp

if TYPE_CHECKING:
    from marigoldchute.bundle.model import CallerLimits

HEAD_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
# Added to the timeout of ``CallerLimits``: a request sent during the close is lost.
IDLE_MARGIN_S = 0.5
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 262_144
# A request may be 24 calls deep, and each node adds this delay to its cancellation.
DISCONNECT_POLL_INTERVAL_S = 0.05
IDLE_POLL_INTERVAL_S = 0.5
EXPIRY_CHECK_INTERVAL_S = 0.5
MAX_CALLER_CONNECTIONS = 4096

RequestHandler = Callable[[HttpRequest, HttpResponder], Awaitable[None]]

_REFUSAL_STATUSES = {
    ResultCode.REQUEST_MALFORMED: 400,
    ResultCode.REQUEST_SENDER_TIMEOUT: 408,
    ResultCode.REQUEST_TOO_LARGE: 431,
    ResultCode.REQUEST_BODY_TOO_LARGE: 413,
}


def reraise(exc: Exception) -> None:
    """Re-raise an unexpected exception, which ends the process."""
    raise exc


class _CallerConn:
    """State of one caller's connection."""

    __slots__ = ("expires_at", "parser", "polled_request", "request", "tcp")

    def __init__(self, tcp: TcpConn) -> None:
        self.tcp = tcp
        self.parser = CallerConnParser(tcp)
        self.request: HttpRequest | None = None
        self.polled_request: HttpRequest | None = None
        self.expires_at = 0.0


class HttpServer:
    """Serves callers' connections and detects callers that disconnect.

    One task monitors all connections: it cancels the requests of callers that closed
    their connection, and closes connections that stay idle or send a request head too
    slowly. This adds no cost per request, unlike a task or a timer for each of them.

    Parameters
    ----------
    handler : callable
        Responds to one request.
    on_failure : callable
        Called with an unexpected exception of the handler; only the connection of
        its request is lost.
    """

    def __init__(
        self,
        handler: RequestHandler,
        on_failure: Callable[[Exception], None] = reraise,
    ) -> None:
        self._handler = handler
        self._on_failure = on_failure
        self._conns: set[_CallerConn] = set()
        self._listener: TcpListener | None = None
        self._draining = False
        self.limits: CallerLimits | None = None
        self.last_request_at = 0.0
        self.max_connections = 0

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return sum(conn.request is not None for conn in self._conns)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._conns)

    @property
    def is_busy(self) -> bool:
        """Whether connections are open or may still be accepted."""
        is_accepting = self._listener is not None and self._listener.is_open
        return is_accepting or bool(self._conns)

    async def serve(
        self,
        address: str,
        port: int,
        task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept and serve connections until cancelled."""
        async with trio.open_nursery() as nursery:
            self._listener = await nursery.start(
                serve_tcp, self.serve_connection, address, port
            )
            nursery.start_soon(self._monitor_connections)
            task_status.started()

    def drain(self) -> None:
        """Close each connection after its current request."""
        self._draining = True

    def stop_accepting(self) -> None:
        """Close the listener and the connections that wait for a request."""
        self._draining = True
        if self._listener is not None:
            self._listener.close()
        for conn in tuple(self._conns):
            if conn.request is None and conn.parser.is_between_requests:
                self._close_idle(conn)

    def _close_idle(self, conn: _CallerConn) -> None:
        if conn.tcp.is_idle():
            conn.tcp.close()

    async def serve_connection(self, tcp: TcpConn) -> None:
        """Serve the requests of one connection, one after another."""
        if len(self._conns) >= MAX_CALLER_CONNECTIONS:
            tcp.close()
            return
        conn = _CallerConn(tcp)
        self._conns.add(conn)
        self.max_connections = max(self.max_connections, len(self._conns))
        try:
            await self._serve_requests(conn)
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception as exc:
            self._on_failure(exc)
        finally:
            self._conns.discard(conn)
            tcp.close()
            conn.parser.close()

    async def _serve_requests(self, conn: _CallerConn) -> None:
        requests = conn.parser.requests
        while True:
            if not requests:
                try:
                    await self._read_head(conn)
                except CallerDisconnectedError:
                    return
                except RequestError as exc:
                    await _send_refusal(conn.tcp, exc)
                    return
            req = requests.pop(0)
            if not await self._handle_request(conn, req):
                return

    async def _read_head(self, conn: _CallerConn) -> None:
        now = trio.current_time()
        head_timeout_s, idle_timeout_s = HEAD_TIMEOUT_S, IDLE_TIMEOUT_S
        if self.limits is not None:
            conn.parser.max_head_bytes = self.limits.head_bytes
            conn.parser.max_body_bytes = self.limits.body_bytes
            head_timeout_s = self.limits.head_timeout_ms / 1000
            idle_timeout_s = self.limits.idle_timeout_ms / 1000 + IDLE_MARGIN_S
        conn.expires_at = now + idle_timeout_s
        while not conn.parser.requests:
            await conn.parser.read_more()
            conn.expires_at = min(conn.expires_at, trio.current_time() + head_timeout_s)

    async def _handle_request(self, conn: _CallerConn, req: HttpRequest) -> bool:
        """Handle a request; return whether the connection can serve another one."""
        responder = HttpResponder(conn.tcp, req)
        if self._draining:
            responder.keep_alive = False
        conn.request = req
        self.last_request_at = trio.current_time()
        try:
            await self._handler(req, responder)
        except RequestError as exc:
            await _handle_request_error(conn.tcp, responder, exc)
            return False
        except BaseException:
            conn.tcp.abort()
            raise
        finally:
            conn.request = None
        if not responder.finished:
            conn.tcp.abort()
            return False
        if responder.keep_alive and req.complete:
            return True
        await _close_lingering(conn.tcp)
        return False

    async def _monitor_connections(self) -> None:
        next_expiry_check = trio.current_time() + EXPIRY_CHECK_INTERVAL_S
        while True:
            await trio.sleep(
                DISCONNECT_POLL_INTERVAL_S if self._conns else IDLE_POLL_INTERVAL_S
            )
            self._cancel_abandoned_requests()
            now = trio.current_time()
            if now >= next_expiry_check:
                next_expiry_check = now + EXPIRY_CHECK_INTERVAL_S
                self._close_expired(now)

    def _cancel_abandoned_requests(self) -> None:
        poller = None
        conns_by_fd: dict[int, _CallerConn] = {}
        for conn in self._conns:
            req = conn.request
            if req is None:
                continue
            if conn.polled_request is not req:
                conn.polled_request = req  # Most requests end before the next poll.
                continue
            if poller is None:
                poller = select.poll()
            fd = conn.tcp.fileno()
            if fd >= 0:
                poller.register(fd, select.POLLRDHUP)
                conns_by_fd[fd] = conn
        if poller is None:
            return
        for fd, _ in poller.poll(0):
            req = conns_by_fd[fd].request
            if req is not None:
                req.caller_disconnected = True
                if req.cancel_scope is not None:
                    req.cancel_scope.cancel()

    def _close_expired(self, now: float) -> None:
        for conn in tuple(self._conns):
            if conn.request is not None or now < conn.expires_at:
                continue
            if not conn.parser.is_between_requests:
                exc = RequestError(
                    "request head was sent too slowly",
                    ResultCode.REQUEST_SENDER_TIMEOUT,
                )
                conn.tcp.send_now(_encode_refusal(exc))
            conn.tcp.close()


def _encode_refusal(exc: RequestError) -> bytes:
    status = _REFUSAL_STATUSES.get(exc.code, 400)
    body = f"{exc}\n".encode()
    return (
        b"HTTP/1.1 %d Refused\r\ncontent-type: text/plain\r\n"
        b"marigoldchute-code: %d\r\nmarigoldchute-outcome: not-run\r\n"
        b"content-length: %d\r\nconnection: close\r\n\r\n%s"
        % (status, exc.code.value, len(body), body)
    )


async def _handle_request_error(
    tcp: TcpConn, responder: HttpResponder, exc: RequestError
) -> None:
    if responder.started or isinstance(exc, CallerDisconnectedError):
        tcp.abort()
    else:
        await _send_refusal(tcp, exc)


async def _send_refusal(tcp: TcpConn, exc: RequestError) -> None:
    await tcp.send(_encode_refusal(exc))
    await _close_lingering(tcp)


async def _close_lingering(tcp: TcpConn) -> None:
    """Half-close first, so that a caller that still sends can read its response."""
    tcp.send_eof()
    discarded_bytes = 0
    with trio.move_on_after(LINGER_TIMEOUT_S):
        while discarded_bytes < MAX_LINGER_BYTES:
            data = await tcp.receive(MAX_LINGER_BYTES)
            if not data:
                break
            discarded_bytes += len(data)
    tcp.close()
