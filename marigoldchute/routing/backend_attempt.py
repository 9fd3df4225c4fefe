"""Execution of one request on one connection to a backend server."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from marigoldchute.errors import NotRunError, RequestError, ResultCode
from marigoldchute.routing.backend_response import BackendResponse
from marigoldchute.routing.call import MIN_SERVER_ERROR_STATUS
from marigoldchute.routing.duplex import send_and_receive
from marigoldchute.routing.messages import ResponseHead

if TYPE_CHECKING:
    from marigoldchute.routing.admission import AdmissionGate
    from marigoldchute.routing.backend_conn import BackendConn
    from marigoldchute.routing.dialect import Dialect
    from marigoldchute.routing.exchange import Exchange
    from marigoldchute.routing.messages import RequestHead
    from marigoldchute.routing.policy import PathPolicy


class BackendAttempt:
    """Sends a request to a backend server and forwards its response.

    Parameters
    ----------
    head : RequestHead
        Head of the request.
    exchange : Exchange
        Provides the body and receives the response.
    conn : BackendConn
        Connection; no other request uses it until this one has ended.
    remaining_ms : int
        Time left until the caller's deadline.
    instance : str
        Instance id under which the backend server identifies itself.
    gate : AdmissionGate
        Gate that admitted the request; its load is reported with the response.
    dialect : Dialect
        Header names of the backend server.
    policy : PathPolicy
        How responses are handled.

    Attributes
    ----------
    duration_s : float
        Time from the end of the request to the end of its response.
    reusable : bool
        Whether the connection can be used for another request.
    written, server_finished, refused : bool
        Whether a byte was sent, whether the backend server has finished with the
        request, and whether it reported that it did not run it.
    """

    def __init__(
        self,
        head: RequestHead,
        exchange: Exchange,
        conn: BackendConn,
        remaining_ms: int,
        instance: str,
        gate: AdmissionGate,
        dialect: Dialect,
        policy: PathPolicy,
    ) -> None:
        self.conn = conn
        self.duration_s = 0.0
        self.reusable = False
        self.written = False
        self.server_finished = False
        self.refused = False
        self._head = head
        self._exchange = exchange
        self._load_level = gate.load_level
        self._remaining_ms = remaining_ms
        self._instance = instance
        self._gate = gate
        self._dialect = dialect
        self._policy = policy
        self._sent_at = 0.0
        self._request_id = head.request_id.encode("latin-1")
        self._response = BackendResponse(
            head.method == b"HEAD", dialect, self._request_id, not conn.was_used
        )

    @property
    def keep_alive_s(self) -> float | None:
        """Time for which the backend server states that it keeps an idle connection."""
        return self._response.keep_alive_s

    async def execute(self) -> None:
        """Send the request and forward the response."""
        try:
            await self._exchange_with_server()
        finally:
            self._response.close()

    async def _exchange_with_server(self) -> None:
        head = self._head
        encoded_head = self._encode_head()
        if not head.has_body:
            await self._send_first(encoded_head)
            await self._forward_response()
            return
        body = self._exchange.pop_complete_body()
        if body is not None:
            await self._send_first(
                encoded_head + _encode_whole_body(body, head.chunked)
            )
            await self._forward_response()
            return
        await self._send_first(encoded_head)
        await self._forward_concurrently()

    async def _forward_concurrently(self) -> None:
        sent = False

        async def forward_body() -> None:
            nonlocal sent
            await self._forward_body()
            sent = True

        try:
            await send_and_receive(forward_body, self._forward_response)
        finally:
            # Further data on the connection would be read as the rest of the body.
            self.reusable = self.reusable and sent

    def _encode_head(self) -> bytes:
        head = self._head
        dialect = self._dialect
        framing = b"transfer-encoding: chunked\r\n" if head.chunked else b""
        mesh_headers = b"%s: %d\r\n" % (dialect.deadline, self._remaining_ms)
        if self._request_id:
            mesh_headers += b"%s: %s\r\n" % (dialect.request_id, self._request_id)
        if dialect.expected_server and self._instance:
            instance = self._instance.encode("latin-1")
            mesh_headers += b"%s: %s\r\n" % (dialect.expected_server, instance)
        if dialect.caller_service and head.caller_service:
            service = head.caller_service.encode("latin-1")
            mesh_headers += b"%s: %s\r\n" % (dialect.caller_service, service)
        if dialect.customer and head.customer:
            mesh_headers += b"%s: %s\r\n" % (dialect.customer, head.customer.encode())
        return b"%s %s HTTP/1.1\r\n%s%s%s\r\n" % (
            head.method,
            head.target,
            head.header_block,
            framing,
            mesh_headers,
        )

    async def _send_first(self, data: bytes) -> None:
        try:
            self.written = self.conn.was_used = True
            await self.conn.send_first(data)
        except NotRunError:
            self.written = False
            raise
        except RequestError:
            self.server_finished = self.conn.closed_by_peer
            raise
        self._sent_at = time.perf_counter()

    async def _forward_body(self) -> None:
        chunked = self._head.chunked
        while (data := await self._exchange.receive()) is not None:
            if data:
                await self.conn.send(_encode_piece(data, chunked))
        if chunked:
            await self.conn.send(b"0\r\n\r\n")
        self._sent_at = time.perf_counter()

    async def _forward_response(self) -> None:
        response = self._response
        while not response.has_head:
            await self._read_more()
        head_received_at = time.perf_counter()
        if response.refused and response.is_contradicted and not response.has_own_id:
            raise RequestError("backend server sent a refusal and another response")
        if response.refused:
            self.refused = True
            self.server_finished = response.complete
            # A second copy of a refusal without an id could be taken for the response
            # to a later request.
            self.reusable = (
                response.complete
                and response.keep_alive
                and response.has_own_id
                and self.conn.record_refused_id(self._head.request_id)
            )
            raise NotRunError(
                "backend server refused the request",
                ResultCode.REQUEST_NOT_RUN_REFUSED,
            )
        max_buffered_bytes = self._policy.max_buffered_response_bytes
        if 0 <= response.length <= max_buffered_bytes or response.is_unframed:
            while not response.complete and response.body_bytes <= max_buffered_bytes:
                await self._read_more()
        head_s = head_received_at - self._sent_at
        mean_s = 0.0
        if response.status < MIN_SERVER_ERROR_STATUS:
            # Errors are often quick; a server that fails would look like a fast one.
            mean_s = self._gate.record_head_time(self._head.route, head_s)
        head = ResponseHead(
            response.status,
            response.header_block,
            response.has_length,
            0,
            self._load_level,
            int(head_s * 1_000_000),
            self._gate.load,
            mean_run_us=int(mean_s * 1_000_000),
        )
        exchange = self._exchange
        if response.complete:
            self._on_response_complete()
            await exchange.send_complete(head, response.pop_body())
            return
        await exchange.send_head(head, response.pop_body())
        while not response.complete:
            await self._read_more()
            if response.chunks:
                await exchange.send(response.pop_body())
        self._on_response_complete()
        await exchange.finish()

    async def _read_more(self) -> None:
        try:
            await self.conn.read_more(self._response)
        except RequestError:
            # A connection closed by the backend server no longer occupies a slot.
            self.server_finished = self.conn.closed_by_peer
            raise

    def _on_response_complete(self) -> None:
        self.server_finished = True
        self.duration_s = time.perf_counter() - self._sent_at
        self.reusable = self._response.keep_alive


def _encode_piece(data: bytes, chunked: bool) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if chunked else data


def _encode_whole_body(body: bytes, chunked: bool) -> bytes:
    if not chunked:
        return body
    return _encode_piece(body, True) + b"0\r\n\r\n" if body else b"0\r\n\r\n"
