"""HTTP/1.1 server for callers, based on httptools and non-blocking sockets."""

from __future__ import annotations

import collections
import contextlib
import select
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.errors import RequestError, ResultCode
from marigoldchute.routing.cut import Cut, CutCause, is_cancelled
from marigoldchute.routing.http_request import (
    CallerConnParser,
    CallerDisconnectedError,
    HttpRequest,
    HttpResponder,
)
from marigoldchute.routing.memory_budget import MemoryBudget
from marigoldchute.util.tcp import TcpConn, TcpListener, serve_tcp

if TYPE_CHECKING:
    from marigoldchute.bundle.model import CallerLimits

HEAD_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
# Added to the timeout of ``CallerLimits``: a request sent during the close is lost.
IDLE_MARGIN_S = 0.5
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 262_144
MAX_UNREAD_BYTES = 2_048  # Kept of the discarded bytes, for the log.
# A connection without a request is kept this long once no more are accepted, so that a
# request that is already on its way is read.
LAST_REQUEST_WAIT_S = 0.25
# A request may be 24 calls deep, and each node adds this delay to its cancellation.
DISCONNECT_POLL_INTERVAL_S = 0.05
IDLE_POLL_INTERVAL_S = 0.5
EXPIRY_CHECK_INTERVAL_S = 0.5
# The tasks of a process that is short of processor time run late by this or more. What
# it reads then may have been sent long ago, by callers that have left since.
LATE_TASKS_S = 0.1
LATE_TASKS_MEMORY_S = 1.0
MAX_CALLER_CONNECTIONS = 4096
# While the requests in progress on a connection take more, no further one is taken from
# it. Eight requests with short heads and bodies fit.
MAX_AHEAD_BYTES = 65_536
# Requests of one connection that are handled at the same time; no more are read.
MAX_REQUESTS_IN_PROGRESS = 8

RequestHandler = Callable[[HttpRequest, HttpResponder], Awaitable[None]]

_REFUSAL_STATUSES = {
    ResultCode.REQUEST_NOT_RUN_NO_MEMORY: 503,
    ResultCode.REQUEST_MALFORMED: 400,
    ResultCode.REQUEST_SENDER_TIMEOUT: 408,
    ResultCode.REQUEST_TOO_LARGE: 431,
    ResultCode.REQUEST_BODY_TOO_LARGE: 413,
}


def reraise(exc: Exception) -> None:
    """Re-raise an unexpected exception, which ends the process."""
    raise exc


class _Exchange:
    """A request in progress on a connection."""

    __slots__ = (
        "cause",
        "conn_requests",
        "done",
        "req",
        "responder",
        "scope",
        "seen",
        "taken_at",
    )

    def __init__(
        self,
        req: HttpRequest,
        responder: HttpResponder,
        taken_at: float,
        conn_requests: int,
    ) -> None:
        self.req = req
        self.responder = responder
        self.taken_at = taken_at
        self.conn_requests = conn_requests
        self.cause: CutCause | None = None
        self.seen = ""
        self.done = trio.Event()
        # Scope of the task of a request that was sent ahead; it may be cancelled before
        # the task has started.
        self.scope = trio.CancelScope()

    def limit(self, ends_at: float) -> None:
        """Bring the deadline of the request forward."""
        scope = self.req.cancel_scope
        if scope is not None:
            scope.deadline = min(scope.deadline, ends_at)

    def abandon(self, cause: CutCause, seen: str) -> None:
        """Cancel the request because its caller does not wait for it any more."""
        if self.cause is None:
            self.cause, self.seen = cause, seen
        self.req.caller_disconnected = True
        if self.req.cancel_scope is not None:
            self.req.cancel_scope.cancel()
        self.scope.cancel()


class _CallerConn:
    """State of one caller's connection.

    Attributes
    ----------
    in_progress : list of _Exchange
        Requests that were taken and are not answered completely, in their order.
    read_ahead_done : trio.Event or None
        Set at the end of the task that reads requests which are sent ahead; None
        without one.
    closing : bool
        Whether a response has ended the use of the connection.
    taken_count : int
        Number of requests taken.
    cut_cause : CutCause
        Why requests behind those in progress get no response.
    """

    __slots__ = (
        "account",
        "closing",
        "cut_cause",
        "expires_at",
        "in_progress",
        "nursery",
        "opened_at",
        "parser",
        "read_ahead_done",
        "read_scope",
        "taken_count",
        "tcp",
    )

    def __init__(
        self,
        tcp: TcpConn,
        current_limits: Callable[[], CallerLimits | None],
        memory: MemoryBudget,
    ) -> None:
        self.tcp = tcp
        self.account = memory.open_account(self.close_for_memory)
        self.parser = CallerConnParser(tcp, current_limits, self.account)
        self.in_progress: list[_Exchange] = []
        self.nursery: trio.Nursery | None = None
        self.read_ahead_done: trio.Event | None = None
        self.read_scope = trio.CancelScope()
        self.closing = False
        self.taken_count = 0
        self.cut_cause = CutCause.EARLIER_RESPONSE
        self.expires_at = 0.0
        self.opened_at = trio.current_time()

    def stop_reading(self) -> None:
        """Read no further requests because a response ends the connection."""
        self.closing = True
        self.read_scope.cancel()

    def abandon(self, seen: str) -> None:
        """Cancel all requests in progress because the caller has left."""
        self.cut_cause = CutCause.CALLER_LEFT
        for exchange in self.in_progress:
            exchange.abandon(CutCause.CALLER_LEFT, seen)

    def close_for_memory(self) -> None:
        """Close the connection because it is among those that take the most memory."""
        was_closing, self.closing = self.closing, True
        self.cut_cause = CutCause.MEMORY
        if not self.in_progress and not was_closing:
            exc = RequestError(
                "callers take too much memory or too many connections",
                ResultCode.REQUEST_NOT_RUN_NO_MEMORY,
            )
            with contextlib.suppress(OSError):
                self.tcp.send_now(_encode_refusal(exc))
            self.tcp.close()
            return
        for exchange in self.in_progress:
            exchange.abandon(CutCause.MEMORY, "")
        self.tcp.abort()

    def update_response_bytes(self) -> None:
        """Count the bytes of responses that wait for the caller to read them."""
        # What is being sent is held twice: as it was received and with its framing.
        waiting_bytes = 2 * self.tcp.unsent_bytes
        for exchange in self.in_progress:
            response_buffer = exchange.req.response_buffer
            if response_buffer is not None:
                waiting_bytes += response_buffer()
        self.parser.set_response_bytes(waiting_bytes)

    @property
    def is_at_share(self) -> bool:
        """Whether the requests in progress take as much as they may together."""
        return (
            sum(exchange.req.held_bytes for exchange in self.in_progress)
            > MAX_AHEAD_BYTES
        )

    @property
    def may_send_ahead(self) -> bool:
        """Whether bytes that arrive now would belong to a further request."""
        return (
            self.read_ahead_done is None
            and len(self.in_progress) == 1
            and self.in_progress[0].req.complete
            and self.in_progress[0].req.keep_alive
        )


class HttpServer:
    """Serves callers' connections and detects callers that disconnect.

    One task monitors all connections while any has a request in progress: it cancels
    the requests of callers that closed their connection, and closes connections that
    stay idle or send a request head too slowly. This adds no cost per request, unlike a
    task or a timer for each of them.

    Parameters
    ----------
    handler : callable
        Responds to one request.
    on_failure : callable
        Called with an unexpected exception of the handler; only the connection of
        its request is lost.
    on_cut : callable, optional
        Called with each request whose connection ends without a complete response.
    memory : MemoryBudget, optional
        Budget of the memory that connections take.
    connection_limit : int, optional
        Number of connections that may be open.

    Attributes
    ----------
    cut_counts : collections.Counter of CutCause
        Number of these requests by cause.
    taken_while_draining : int
        Number of requests taken since the drain began.
    idle_closed : int
        Number of connections that were closed while no request was in progress.
    unused_closed : int
        Number of connections that were closed before their first request was complete,
        because a further one was opened at the limit.
    stop_cause : CutCause
        Cause of the requests that are cut when the server is cancelled.
    """

    def __init__(
        self,
        handler: RequestHandler,
        on_failure: Callable[[Exception], None] = reraise,
        on_cut: Callable[[Cut], None] | None = None,
        memory: MemoryBudget | None = None,
        connection_limit: int = MAX_CALLER_CONNECTIONS,
    ) -> None:
        self._memory = memory or MemoryBudget()
        self._connection_limit = connection_limit
        self._handler = handler
        self._on_failure = on_failure
        self._on_cut = on_cut
        self.cut_counts: collections.Counter[CutCause] = collections.Counter()
        self.taken_while_draining = 0
        self.idle_closed = 0
        self.unused_closed = 0
        self.stop_cause = CutCause.STOPPED
        self._drain_started_at: float | None = None
        self._conns: set[_CallerConn] = set()
        self._listener: TcpListener | None = None
        self._draining = False
        self._stopped_accepting = False
        self._limits: CallerLimits | None = None
        self._request_taken = trio.Event()
        self._monitor_due_at = float("inf")
        self._is_late_until = float("-inf")
        self.last_request_at = 0.0
        self.max_connections = 0

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return sum(len(conn.in_progress) for conn in self._conns)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._conns)

    @property
    def reading(self) -> int:
        """Number of connections that wait for the rest of a request's head."""
        return sum(
            not conn.in_progress and not conn.parser.is_between_requests
            for conn in self._conns
        )

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
        self._drain_started_at = trio.current_time()

    @property
    def _head_timeout_s(self) -> float:
        if self._limits is None:
            return HEAD_TIMEOUT_S
        return self._limits.head_timeout_ms / 1000

    @property
    def _idle_timeout_s(self) -> float:
        idle_timeout_s = IDLE_TIMEOUT_S
        if self._limits is not None:
            idle_timeout_s = self._limits.idle_timeout_ms / 1000 + IDLE_MARGIN_S
        if self._stopped_accepting:
            return min(idle_timeout_s, LAST_REQUEST_WAIT_S)
        return idle_timeout_s

    def apply_limits(self, limits: CallerLimits, now: float) -> None:
        """Apply the limits of a bundle, also to connections that are open.

        Sizes hold for requests of which no byte has arrived. A longer timeout holds at
        once. A shorter one holds from now on for idle connections, and for the next
        head on others.

        Parameters
        ----------
        limits : CallerLimits
            Limits that are in force from now on.
        now : float
            Monotonic time in seconds.
        """
        old_head_s, old_idle_s = self._head_timeout_s, self._idle_timeout_s
        self._limits = limits
        added_head_s = self._head_timeout_s - old_head_s
        added_idle_s = self._idle_timeout_s - old_idle_s
        for conn in self._conns:
            if not conn.parser.is_between_requests:
                conn.expires_at += max(0.0, added_head_s)
            elif added_idle_s >= 0.0:
                conn.expires_at += added_idle_s
            else:
                ends_at = now + self._idle_timeout_s
                conn.expires_at = min(conn.expires_at, ends_at)

    def limit_requests(self, ends_at: float) -> None:
        """End the requests in progress at a monotonic time in seconds at the latest."""
        for conn in self._conns:
            for exchange in conn.in_progress:
                exchange.limit(ends_at)

    def stop_accepting(self) -> None:
        """Close the listener, and soon the connections that wait for a request."""
        self._draining = True
        if self._drain_started_at is None:
            self._drain_started_at = trio.current_time()
        self._stopped_accepting = True
        self._request_taken.set()
        if self._listener is not None:
            self._listener.close()
        last_wait_ends_at = trio.current_time() + LAST_REQUEST_WAIT_S
        for conn in self._conns:
            if not conn.in_progress and conn.parser.is_between_requests:
                conn.expires_at = min(conn.expires_at, last_wait_ends_at)

    async def serve_connection(self, tcp: TcpConn) -> None:
        """Serve the requests of one connection, with responses in their order."""
        if len(self._conns) >= self._connection_limit and not self._close_unused():
            tcp.close()
            return
        conn = _CallerConn(tcp, lambda: self._limits, self._memory)
        self._conns.add(conn)
        self.max_connections = max(self.max_connections, len(self._conns))
        try:
            conn.account.update(conn.parser.held_bytes)
            async with trio.open_nursery() as nursery:
                conn.nursery = nursery
                await self._guard(conn, self._serve_requests(conn))
                nursery.cancel_scope.cancel()
        finally:
            try:
                self._report_unanswered(conn)
            finally:
                self._conns.discard(conn)
                tcp.close()
                conn.parser.close()
                conn.account.close()

    def _close_unused(self) -> bool:
        """Close the oldest connection on which no request was ever complete."""
        unused = [
            conn
            for conn in self._conns
            if not conn.taken_count and not conn.closing and not conn.tcp.closed
        ]
        if not unused:
            return False
        oldest = min(unused, key=lambda conn: conn.opened_at)
        oldest.close_for_memory()
        self.unused_closed += 1
        return True

    async def _guard(self, conn: _CallerConn, serve: Awaitable[None]) -> None:
        """Limit the effect of an error to its connection."""
        try:
            await serve
        except (OSError, trio.ClosedResourceError):
            conn.closing = True
        except Exception as exc:
            conn.closing = True
            self._on_failure(exc)

    async def _serve_requests(self, conn: _CallerConn) -> None:
        requests = conn.parser.requests
        while True:
            if not requests:
                try:
                    await self._read_head(conn)
                except CallerDisconnectedError:
                    return
                except RequestError as exc:
                    conn.closing = True
                    await _send_refusal(conn.tcp, exc)
                    return
                if conn.closing:
                    return
            exchange = self._take_request(conn)
            if requests:
                self._start_reading_ahead(conn)
            await self._handle_request(conn, exchange)
            if conn.read_ahead_done is not None:
                await conn.read_ahead_done.wait()
                return
            if conn.closing:
                return

    def _take_request(self, conn: _CallerConn) -> _Exchange:
        req = conn.parser.requests.pop(0)
        req.take()
        if conn.in_progress:
            req.turn = conn.in_progress[-1].done
        exchange = _Exchange(
            req,
            HttpResponder(
                conn.tcp,
                req,
                lambda: not self._draining or self._has_later_request(conn, exchange),
            ),
            trio.current_time(),
            conn.taken_count,
        )
        conn.taken_count += 1
        conn.in_progress.append(exchange)
        self._request_taken.set()
        self.last_request_at = exchange.taken_at
        if self._draining:
            self.taken_while_draining += 1
        return exchange

    def _has_later_request(self, conn: _CallerConn, exchange: _Exchange) -> bool:
        return bool(conn.parser.requests) or conn.in_progress[-1] is not exchange

    def _start_reading_ahead(self, conn: _CallerConn) -> None:
        """Take further requests of a connection before the present one is answered."""
        assert conn.nursery is not None
        if conn.read_ahead_done is None:
            conn.read_ahead_done = trio.Event()
            conn.nursery.start_soon(self._guard, conn, self._read_ahead(conn))

    async def _read_ahead(self, conn: _CallerConn) -> None:
        """Handle the requests that are sent ahead, until the connection ends."""
        assert conn.nursery is not None
        assert conn.read_ahead_done is not None
        refusal: RequestError | None = None
        try:
            while not conn.closing:
                last = conn.in_progress[-1] if conn.in_progress else None
                if len(conn.in_progress) >= MAX_REQUESTS_IN_PROGRESS or (
                    last is not None and conn.is_at_share
                ):
                    await conn.in_progress[0].done.wait()
                elif conn.parser.requests:
                    exchange = self._take_request(conn)
                    conn.nursery.start_soon(self._handle_ahead, conn, exchange)
                elif last is not None and not (
                    last.req.complete and last.req.keep_alive
                ):
                    # The handler reads the rest of the body.
                    await last.done.wait()
                elif self._draining and last is not None:
                    await last.done.wait()
                else:
                    with trio.CancelScope() as conn.read_scope:
                        await self._read_head(conn)
        except CallerDisconnectedError:
            conn.abandon("read")
        except RequestError as exc:
            refusal = exc
        finally:
            while conn.in_progress and not conn.closing:
                await conn.in_progress[-1].done.wait()
            if refusal is not None and not conn.closing:
                conn.closing = True
                await _send_refusal(conn.tcp, refusal)
            conn.read_ahead_done.set()

    async def _handle_ahead(self, conn: _CallerConn, exchange: _Exchange) -> None:
        with exchange.scope:
            await trio.lowlevel.checkpoint_if_cancelled()
            await self._guard(conn, self._handle_request(conn, exchange))
            return
        self._drop_exchange(conn, exchange)

    def _drop_exchange(self, conn: _CallerConn, exchange: _Exchange) -> None:
        """End a request whose task was cancelled before or while it ran."""
        if exchange in conn.in_progress:
            conn.in_progress.remove(exchange)
            self._report_cut(conn, exchange, CutCause.EARLIER_RESPONSE)
        exchange.done.set()

    def _report_cut(
        self, conn: _CallerConn, exchange: _Exchange, cause: CutCause
    ) -> None:
        """Report a request in progress; a cause that was found earlier has priority."""
        if exchange.cause is not None:
            cause = exchange.cause
        elif exchange.req.cut_cause is not None:
            cause = exchange.req.cut_cause
        if cause is CutCause.CALLER_LEFT and not exchange.seen and conn.tcp.closed:
            cause = CutCause.CLOSED_HERE
        conn.cut_cause = cause
        self._emit_cut(
            Cut(
                exchange.req,
                exchange.responder,
                cause,
                exchange.seen,
                trio.current_time(),
                exchange.taken_at,
                self._drain_started_at,
                exchange.conn_requests,
            )
        )

    def _report_unanswered(self, conn: _CallerConn) -> None:
        """Report the requests of a connection that were read and not handled."""
        for exchange in conn.in_progress:
            self._report_cut(conn, exchange, self.stop_cause)
        for req in conn.parser.requests:
            self._emit_cut(
                Cut(
                    req,
                    None,
                    conn.cut_cause,
                    "",
                    trio.current_time(),
                    None,
                    self._drain_started_at,
                    conn.taken_count,
                )
            )

    def _emit_cut(self, cut: Cut) -> None:
        self.cut_counts[cut.cause] += 1
        if self._on_cut is not None:
            self._on_cut(cut)

    async def _handle_request(self, conn: _CallerConn, exchange: _Exchange) -> None:
        """Handle a request; set ``closing`` when the connection serves no other one."""
        keeps_conn = False
        try:
            keeps_conn = await self._run_handler(conn, exchange)
        finally:
            if not keeps_conn:
                conn.closing = True
                # What was sent behind counts as not read; callers send it again.
                position = conn.in_progress.index(exchange)
                for later in conn.in_progress[position + 1 :]:
                    later.abandon(conn.cut_cause, "")
            conn.in_progress.remove(exchange)
            conn.expires_at = trio.current_time() + self._idle_timeout_s
            exchange.responder.release()
            exchange.req.release()
            exchange.done.set()

    async def _run_handler(self, conn: _CallerConn, exchange: _Exchange) -> bool:
        """Run the handler; return whether the connection can serve another request."""
        req, responder = exchange.req, exchange.responder
        try:
            if self._is_late(trio.current_time()) and conn.tcp.has_peer_closed():
                exchange.abandon(CutCause.CALLER_LEFT, "poll before the handler")
                raise CallerDisconnectedError("caller left before its request was read")
            await self._handler(req, responder)
        except RequestError as exc:
            await req.wait_for_turn()
            conn.stop_reading()
            if responder.started or isinstance(exc, CallerDisconnectedError):
                self._report_cut(conn, exchange, _cause_of_error(exc))
                conn.tcp.abort()
            else:
                await _send_refusal(conn.tcp, exc)
            return False
        except BaseException as exc:
            conn.stop_reading()
            self._report_cut(conn, exchange, self._cause_of_failure(conn, exc))
            conn.tcp.abort()
            raise
        if responder.finished and responder.keep_alive and req.complete:
            return True
        conn.stop_reading()
        if not responder.finished:
            self._report_cut(
                conn,
                exchange,
                CutCause.PARTIAL_RESPONSE
                if responder.started
                else CutCause.HANDLER_ERROR,
            )
            conn.tcp.abort()
            return False
        unread = bytearray()
        try:
            await _close_lingering(conn.tcp, unread)
        finally:
            if unread and req.complete:
                self._report_unread(conn, exchange, bytes(unread))
        return False

    def _cause_of_failure(self, conn: _CallerConn, exc: BaseException) -> CutCause:
        if not is_cancelled(exc):
            return _cause_of_error(exc)
        ended = conn.nursery is not None and conn.nursery.cancel_scope.cancel_called
        return conn.cut_cause if ended else self.stop_cause

    def _report_unread(
        self, conn: _CallerConn, exchange: _Exchange, unread: bytes
    ) -> None:
        """Report bytes behind the last response, which may be a further request."""
        self._emit_cut(
            Cut(
                exchange.req,
                exchange.responder,
                CutCause.UNREAD,
                "",
                trio.current_time(),
                exchange.taken_at,
                self._drain_started_at,
                conn.taken_count,
                unread,
            )
        )

    async def _read_head(self, conn: _CallerConn) -> None:
        conn.expires_at = trio.current_time() + self._idle_timeout_s
        has_begun = False
        while not conn.parser.requests:
            await conn.parser.read_more()
            if not has_begun:
                has_begun = True
                conn.expires_at = trio.current_time() + self._head_timeout_s

    def _is_late(self, now: float) -> bool:
        """Return whether the tasks of this process ran late within the last second."""
        if now - self._monitor_due_at >= LATE_TASKS_S:
            self._is_late_until = now + LATE_TASKS_MEMORY_S
        return now < self._is_late_until

    async def _monitor_connections(self) -> None:
        next_expiry_check = trio.current_time() + EXPIRY_CHECK_INTERVAL_S
        while True:
            if self._stopped_accepting or any(c.in_progress for c in self._conns):
                self._monitor_due_at = trio.current_time() + DISCONNECT_POLL_INTERVAL_S
                await trio.sleep(DISCONNECT_POLL_INTERVAL_S)
                self._poll_busy_connections()
            else:
                self._monitor_due_at = float("inf")
                self._request_taken = trio.Event()
                with trio.move_on_after(IDLE_POLL_INTERVAL_S):
                    await self._request_taken.wait()
            now = trio.current_time()
            self._is_late(now)  # A request may be read after this task has run.
            if self._stopped_accepting or now >= next_expiry_check:
                next_expiry_check = now + EXPIRY_CHECK_INTERVAL_S
                self._close_expired(now)

    def _poll_busy_connections(self) -> None:
        """Cancel the requests of callers that left; read what others send ahead."""
        for conn in self._conns:
            if conn.in_progress:
                conn.update_response_bytes()
        poller = None
        conns_by_fd: dict[int, _CallerConn] = {}
        for conn in self._conns:
            fd = conn.tcp.fileno() if conn.in_progress else -1
            if fd < 0:
                continue
            if poller is None:
                poller = select.poll()
            events = select.POLLRDHUP
            if conn.may_send_ahead and not self._draining:
                events |= select.POLLIN
            poller.register(fd, events)
            conns_by_fd[fd] = conn
        if poller is None:
            return
        for fd, events in poller.poll(0):
            conn = conns_by_fd[fd]
            if events & ~select.POLLIN:
                conn.abandon(f"poll {events:#x}")
            else:
                self._start_reading_ahead(conn)

    def _close_expired(self, now: float) -> None:
        for conn in tuple(self._conns):
            if conn.in_progress or conn.closing or now < conn.expires_at:
                continue
            if not conn.parser.is_between_requests:
                exc = RequestError(
                    "request head was sent too slowly",
                    ResultCode.REQUEST_SENDER_TIMEOUT,
                )
                with contextlib.suppress(OSError):
                    conn.tcp.send_now(_encode_refusal(exc))
            elif not conn.tcp.is_idle():
                continue  # A request has arrived and is read next.
            self.idle_closed += 1
            conn.tcp.close()


def _cause_of_error(exc: BaseException) -> CutCause:
    lost = (OSError, trio.ClosedResourceError, CallerDisconnectedError)
    if isinstance(exc, lost):
        return CutCause.CALLER_LEFT
    if isinstance(exc, RequestError):
        return CutCause.PARTIAL_RESPONSE
    return CutCause.HANDLER_ERROR


def _encode_refusal(exc: RequestError) -> bytes:
    status = _REFUSAL_STATUSES.get(exc.code, 400)
    body = f"{exc}\n".encode()
    retry_after = b"retry-after: 1\r\n" if status == 503 else b""
    return (
        b"HTTP/1.1 %d Refused\r\ncontent-type: text/plain\r\n"
        b"marigoldchute-code: %d\r\nmarigoldchute-outcome: not-run\r\n"
        b"%scontent-length: %d\r\nconnection: close\r\n\r\n%s"
        % (status, exc.code.value, retry_after, len(body), body)
    )


async def _send_refusal(tcp: TcpConn, exc: RequestError) -> None:
    await tcp.send(_encode_refusal(exc))
    await _close_lingering(tcp, bytearray())


async def _close_lingering(tcp: TcpConn, unread: bytearray) -> None:
    """Half-close first, so that a caller that still sends can read its response.

    The first of the bytes that are discarded are appended to ``unread``.
    """
    tcp.send_eof()
    discarded_bytes = 0
    with trio.move_on_after(LINGER_TIMEOUT_S):
        while discarded_bytes < MAX_LINGER_BYTES:
            data = await tcp.receive(MAX_LINGER_BYTES)
            if not data:
                break
            discarded_bytes += len(data)
            unread += data[: MAX_UNREAD_BYTES - len(unread)]
    tcp.close()
