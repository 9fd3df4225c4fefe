"""State of one caller's request over all its tries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import NotRunError, PeerError, ResultCode
from marigoldchute.routing.http_request import CallerGoneError
from marigoldchute.routing.messages import RESPONSE_DECODER, RequestHead, ResponseHead
from marigoldchute.routing.request_body import RequestBody

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Service
    from marigoldchute.link.stream import Stream
    from marigoldchute.moves.model import Split
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder
    from marigoldchute.routing.route_table import RouteEntry
    from marigoldchute.routing.target import Target


SERVER_FAILURE = 500  # Least status of an answer that reports a failure.
RETRIED_STATUSES = frozenset((500, 502, 503))  # Not 504: its time is over.


class Call:
    """One caller's request; also the exchange of its tries on this VM.

    Attributes
    ----------
    maybe_run : bool
        Whether some try may have run the request.
    answer : ResponseHead or None
        Head of the answer passed to the caller.
    objective : float
        Monotonic time until which an answer has its full worth; 0 when none is stated.
    trail : list of str
        Each try with its VM, outcome, time and the load that was expected there.
    sends : int
        Tries that may have reached a backend server.
    refusals : int
        Tries that certainly did not run.
    holds_failures : bool
        Whether a whole failure of a backend server is kept instead of passed on.
    held : tuple of ResponseHead and bytes, or None
        The failure that was kept.
    link_bytes : int
        Bytes that the tries have sent to other nodes and received from them.
    """

    holds_failures = False

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
    ) -> None:
        self.req = req
        self.responder = responder
        self.entry = entry
        self.service = service
        self.split = split
        self.release = release
        self.request_id = request_id
        self.deadline = deadline
        self.objective = objective
        self.caller_service = caller_service
        self.started_at = started_at
        self.bundle_version = bundle_version
        self.trail: list[str] = []
        self.idempotent = entry.may_repeat(req.method)
        self.body = RequestBody(req)
        self.tried: set[Target] = set()
        self.tries = 0
        self.sends = 0
        self.refusals = 0
        self.maybe_run = False
        self.held: tuple[ResponseHead, bytes] | None = None
        self.answer: ResponseHead | None = None
        self.link_bytes = 0
        self._header_block = header_block
        self._chunked = req.has_body and req.header(b"content-length") is None

    def head_for(self, target: Target, now: float) -> RequestHead:
        """Return the request's head for a try at a target."""
        route = self.entry.route
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
            route.priority,
            self.idempotent,
            req.has_body,
            self._chunked,
            self.caller_service,
            max(0, int((self.objective - now) * 1000)),
        )

    def take_whole_body(self) -> bytes | None:
        """Return the whole body if all of it has arrived, else None."""
        return self.body.take_whole()

    async def receive(self) -> bytes | None:
        """Return the next piece of the body, or None at its whole end."""
        return await self.body.receive()

    async def send_whole(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole answer to the caller, or keep a failure."""
        self.answer = head
        if self.holds_failures and head.status in RETRIED_STATUSES:
            self.held = (head, body)
            return
        try:
            await self.responder.send_whole(
                head.status, head.header_block, head.has_length, body
            )
        except (OSError, trio.ClosedResourceError) as exc:
            raise CallerGoneError("caller's connection broke") from exc

    async def send_head(self, head: ResponseHead, body: bytes) -> None:
        """Send the head of an answer and the first piece of its body."""
        self.answer = head
        try:
            await self.responder.start_block(
                head.status, head.header_block, head.has_length, body
            )
        except (OSError, trio.ClosedResourceError) as exc:
            raise CallerGoneError("caller's connection broke") from exc

    async def send(self, data: bytes) -> None:
        """Send a further piece of the answer's body."""
        try:
            await self.responder.send(data)
        except (OSError, trio.ClosedResourceError) as exc:
            raise CallerGoneError("caller's connection broke") from exc

    async def finish(self) -> None:
        """Say that the answer is whole."""
        try:
            await self.responder.finish()
        except (OSError, trio.ClosedResourceError) as exc:
            raise CallerGoneError("caller's connection broke") from exc

    async def send_body(self, stream: Stream) -> None:
        """Send the body to the owner."""
        while (data := await self.body.receive()) is not None:
            self.link_bytes += len(data)
            await stream.send(data)
        stream.send_end()

    async def pass_answer(self, stream: Stream) -> None:
        """Pass the owner's answer on to the caller.

        Raises
        ------
        NotRunError
            The owner says that the request did not run.
        PeerError
            The stream ended before the whole answer.
        """
        head = _decode_head(await stream.receive_head())
        if head.code:
            self.answer = head
            raise NotRunError(
                "refused by the owner",
                _refusal_code(head.code),
                head.retry_after_ms / 1000,
            )
        self.link_bytes += len(head.header_block)
        body = stream.take_whole()
        if body is not None:
            self.link_bytes += len(body)
            await self.send_whole(head, body)
            return
        first = await stream.receive()
        if first is None:
            await self.send_whole(head, b"")
            return
        self.link_bytes += len(first)
        await self.send_head(head, first)
        while (data := await stream.receive()) is not None:
            self.link_bytes += len(data)
            await self.send(data)
        await self.finish()


def _decode_head(data: bytes) -> ResponseHead:
    try:
        return RESPONSE_DECODER.decode(data)
    except msgspec.DecodeError as exc:
        raise PeerError(f"bad head: {exc}", ResultCode.PEER_PROTOCOL) from exc


def _refusal_code(code: int) -> ResultCode:
    try:
        return ResultCode(code)
    except ValueError:  # A newer peer's code; the refusal itself is certain.
        return ResultCode.REQUEST_NOT_RUN_NO_BACKEND
