"""State of one caller's request over all of its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import NotRunError, PeerError, ResultCode
from marigoldchute.routing.access import ANONYMOUS
from marigoldchute.routing.cut import CutCause
from marigoldchute.routing.headers import encode_request_headers
from marigoldchute.routing.http_request import CallerDisconnectedError
from marigoldchute.routing.messages import RESPONSE_DECODER, RequestHead, ResponseHead
from marigoldchute.routing.request_body import RequestBody
from marigoldchute.util.clock import boottime_ms

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Service
    from marigoldchute.link.stream import Stream
    from marigoldchute.moves.model import Split
    from marigoldchute.routing.access import Identity
    from marigoldchute.routing.customer_table import CustomerTable
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder
    from marigoldchute.routing.regions import AllowedRegions
    from marigoldchute.routing.route_table import RouteEntry
    from marigoldchute.routing.running_requests import RunningRequest
    from marigoldchute.routing.target import Target


MIN_SERVER_ERROR_STATUS = 500  # Lowest status of a response that counts as an error.
RETRYABLE_STATUSES = frozenset((500, 502, 503))  # Not 504: no time is left for a retry.


class Call:
    """One caller's request; also the exchange of its attempts on this VM.

    Attributes
    ----------
    may_have_run : bool
        Whether any attempt may have run the request.
    response_head : ResponseHead or None
        Head of the response to the latest attempt, if there is one.
    objective : float
        Monotonic time of the latency objective; 0 when the route has none.
    attempt_log : list of str
        For each attempt its VM, outcome, time and the load that was expected there.
    delivered_attempts : int
        Number of attempts that may have reached a backend server.
    refused_attempts : int
        Number of attempts that certainly did not run.
    last_shed : tuple of ResultCode and float, or None
        Code and Retry-After of the latest refusal in ``SHED_CODES``.
    retains_errors : bool
        Whether a backend server's complete error response is kept for a retry instead
        of being forwarded.
    retained_error : tuple of ResponseHead and bytes, or None
        The error response that was kept.
    link_bytes : int
        Bytes that the attempts have sent to other nodes and received from them.
    response_bytes : int
        Bytes of the body that the latest attempt has returned.
    found_queue : bool
        Whether requests waited at the backend server of the latest attempt when it
        responded.
    regions : tuple of str or None
        Regions in which the request may be served; None for all.
    regions_version : int
        Bundle version that ``regions`` comes from.
    is_foreign : bool
        Whether this node is or was outside the allowed regions. Only the id, the
        route's name and what was decided are then logged.
    identity : Identity
        Customer of the request.
    parent : RunningRequest or None
        Request on this VM that makes this one; None if a caller does.
    holds_quota : bool
        Whether quota was taken for a run that has not begun.
    customer_table : CustomerTable or None
        Table from which ``identity`` was determined.
    """

    regions: AllowedRegions = None
    is_foreign = False

    retains_errors = False
    identity: Identity = ANONYMOUS
    holds_quota = False
    customer_table: CustomerTable | None = None

    def __init__(
        self,
        req: HttpRequest,
        responder: HttpResponder,
        entry: RouteEntry,
        service: Service,
        split: Split,
        release: str,
        request_id: str,
        header_block: bytes,
        deadline: float,
        objective: float = 0.0,
        caller_service: str = "",
        started_at: float = 0.0,
        bundle_version: int = 0,
        parent: RunningRequest | None = None,
    ) -> None:
        self.req = req
        self.responder = responder
        self.route_entry = entry
        self.service = service
        self.split = split
        self.release = release
        self.request_id = request_id
        self.deadline = deadline
        self.objective = objective
        self.caller_service = caller_service
        self.started_at = started_at
        self.bundle_version = bundle_version
        self.regions_version = bundle_version
        self.parent = parent
        self.attempt_log: list[str] = []
        self.idempotent = entry.is_idempotent(req.method)
        self.body = RequestBody(req)
        self.attempted: set[Target] = set()
        self.attempts = 0
        self.delivered_attempts = 0
        self.refused_attempts = 0
        self.last_shed: tuple[ResultCode, float] | None = None
        self.may_have_run = False
        self.retained_error: tuple[ResponseHead, bytes] | None = None
        self.response_head: ResponseHead | None = None
        self.link_bytes = 0
        self.response_bytes = 0
        self.found_queue = False
        self._header_block = header_block
        self._chunked = req.has_body and req.header(b"content-length") is None

    @property
    def may_be_repeated(self) -> bool:
        """Whether another attempt may follow the present one."""
        max_attempts = self.route_entry.route.max_attempts
        return self.idempotent and self.delivered_attempts + 1 < max_attempts

    @property
    def is_nested(self) -> bool:
        """Whether a request that runs on this VM makes this one."""
        return self.parent is not None

    @property
    def customer(self) -> str:
        """Customer of the request; empty when it is not known."""
        return self.identity.customer

    @property
    def priority(self) -> int:
        """Admission class; that of the customer takes precedence over the route's."""
        priority = self.identity.priority
        return self.route_entry.route.priority if priority is None else priority

    @property
    def body_bytes(self) -> int:
        """Bytes of the bodies of the request and of its response."""
        return self.body.read_bytes + self.response_bytes

    def abandon_cause(self, now: float) -> CutCause | None:
        """Return why the request was cancelled, or None when the process ends."""
        if self.req.caller_disconnected:
            return CutCause.CALLER_LEFT
        return CutCause.DEADLINE if now >= self.deadline else None

    def make_request_head(self, target: Target, now: float) -> RequestHead:
        """Return the request's head for an attempt at a target."""
        route = self.route_entry.route
        req = self.req
        return RequestHead(
            self.request_id,
            route.name,
            self.service.name,
            self.release,
            target.server.server_id,
            req.method,
            req.target,
            self._header_block,
            max(1, int((self.deadline - now) * 1000)),
            self.priority,
            self.idempotent,
            req.has_body,
            self._chunked,
            self.caller_service,
            max(1, int((self.objective - now) * 1000)) if self.objective else 0,
            self.is_nested,
            self.identity.customer,
            self.regions or (),
            # As an integer, 0 takes one byte instead of nine.
            self.service.warmup_requests_per_s or 0,
            boottime_ms(),
        )

    def encode_headers(self, own_headers: frozenset[bytes]) -> None:
        """Encode the headers to forward again, without those named."""
        self._header_block = encode_request_headers(self.req.headers, own_headers)

    def pop_complete_body(self) -> bytes | None:
        """Return the complete body if all of it has arrived, else None."""
        return self.body.pop_complete_body()

    async def receive(self) -> bytes | None:
        """Return the next part of the body, or None at its end."""
        return await self.body.receive()

    async def send_complete(self, head: ResponseHead, body: bytes) -> None:
        """Send a complete response to the caller, or retain an error response."""
        self.response_head = head
        self.response_bytes = len(body)
        if self.retains_errors and head.status in RETRYABLE_STATUSES:
            self.retained_error = (head, body)
            self.req.response_buffer = lambda: len(body)
            return
        try:
            await self.responder.send_complete(
                head.status, head.header_block, head.has_length, body
            )
        except (OSError, trio.ClosedResourceError) as exc:
            raise CallerDisconnectedError("connection of the caller failed") from exc

    async def send_head(self, head: ResponseHead, body: bytes) -> None:
        """Send the head of a response and the first part of its body."""
        self.response_head = head
        self.response_bytes = len(body)
        try:
            await self.responder.start_encoded(
                head.status, head.header_block, head.has_length, body
            )
        except (OSError, trio.ClosedResourceError) as exc:
            raise CallerDisconnectedError("connection of the caller failed") from exc

    async def send(self, data: bytes) -> None:
        """Send a further part of the response body."""
        self.response_bytes += len(data)
        try:
            await self.responder.send(data)
        except (OSError, trio.ClosedResourceError) as exc:
            raise CallerDisconnectedError("connection of the caller failed") from exc

    async def finish(self) -> None:
        """Mark the response as complete."""
        try:
            await self.responder.finish()
        except (OSError, trio.ClosedResourceError) as exc:
            raise CallerDisconnectedError("connection of the caller failed") from exc

    async def send_body(self, stream: Stream) -> None:
        """Send the request body to the owner."""
        while (data := await self.body.receive()) is not None:
            self.link_bytes += len(data)
            await stream.send(data)
        stream.send_end()

    async def forward_response(self, stream: Stream) -> None:
        """Forward the owner's response to the caller.

        Raises
        ------
        NotRunError
            The owner reports that the request did not run.
        PeerError
            The stream ended before the response was complete.
        """
        head = _decode_head(await stream.receive_head())
        if head.code:
            self.response_head = head
            raise NotRunError(
                "refused by the owner",
                _refusal_code(head.code),
                head.retry_after_ms / 1000,
            )
        self.link_bytes += len(head.header_block)
        body = stream.pop_complete_data()
        if body is not None:
            self.link_bytes += len(body)
            await self.send_complete(head, body)
            return
        first_data = await stream.receive()
        if first_data is None:
            await self.send_complete(head, b"")
            return
        self.link_bytes += len(first_data)
        retained_bytes = len(self.retained_error[1]) if self.retained_error else 0
        self.req.response_buffer = lambda: retained_bytes + stream.buffered_bytes
        await self.send_head(head, first_data)
        while (data := await stream.receive()) is not None:
            self.link_bytes += len(data)
            await self.send(data)
        await self.finish()


def _decode_head(data: bytes) -> ResponseHead:
    try:
        return RESPONSE_DECODER.decode(data)
    except msgspec.DecodeError as exc:
        raise PeerError(
            f"malformed response head: {exc}", ResultCode.PEER_PROTOCOL
        ) from exc


def _refusal_code(code: int) -> ResultCode:
    try:
        return ResultCode(code)
    except ValueError:  # The code of a newer version; the request did not run.
        return ResultCode.REQUEST_NOT_RUN_NO_BACKEND
