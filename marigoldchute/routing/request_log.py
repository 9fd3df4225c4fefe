"""Rate-limited log events about requests."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.routing.budget import TokenBucket
from marigoldchute.routing.call import MIN_SERVER_ERROR_STATUS
from marigoldchute.routing.cut import CutCause

if TYPE_CHECKING:
    from marigoldchute.errors import MarigoldchuteError
    from marigoldchute.events import EventLog
    from marigoldchute.routing.call import Call
    from marigoldchute.routing.cut import Cut
    from marigoldchute.routing.http_request import HttpRequest
    from marigoldchute.routing.messages import RequestHead
    from marigoldchute.routing.outcomes import Outcome
    from marigoldchute.routing.running_requests import RunningRequest

FAILED_LINES_PER_S = 20.0
FAILED_BURST_LINES = 400.0  # 0.2 MB; a burst of 40 dropped 411 of 1,015 failures.
RETRIED_LINES_PER_S = 4.0
OWNER_LINES_PER_S = 10.0
LIMIT_LINES_PER_S = 1.0
# Lines of their own budget, so that callers without a key or over their quota do not
# use up that of failures.
REJECTED_LINES_PER_S = 10.0
REJECTED_CODES = frozenset(
    {
        ResultCode.REQUEST_NOT_RUN_UNAUTHORIZED,
        ResultCode.REQUEST_NOT_RUN_QUOTA,
        ResultCode.REQUEST_NOT_RUN_PARENT_UNKNOWN,
    }
)
CUT_LINES_PER_S = 20.0
CUT_BURST_LINES = 400.0  # All requests in progress are cut at once.
SAMPLE_EVERY = 200  # One in this many successful requests without a retry is logged.
DROPPED_REPORT_INTERVAL_S = 5.0


class RequestLog:
    """Logs the outcomes of requests.

    Requests that failed or were refused, that got a server error from a backend server
    or that needed more than one attempt are logged up to a rate; of the others, one in
    ``SAMPLE_EVERY`` is logged. The number of dropped lines of each kind is logged every
    ``DROPPED_REPORT_INTERVAL_S`` at most. Of a request whose regions do not or may not
    include that of this node, the target and the properties of the body are left out.

    Parameters
    ----------
    log : EventLog
        Event log of the process.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._budgets = {
            "failed": TokenBucket(FAILED_LINES_PER_S, FAILED_BURST_LINES),
            "rejected": TokenBucket(REJECTED_LINES_PER_S, 4 * REJECTED_LINES_PER_S),
            "repeated": TokenBucket(RETRIED_LINES_PER_S, 2 * RETRIED_LINES_PER_S),
            "owner": TokenBucket(OWNER_LINES_PER_S, 2 * OWNER_LINES_PER_S),
            "nested_limit": TokenBucket(LIMIT_LINES_PER_S, 5 * LIMIT_LINES_PER_S),
            "no_nested_call": TokenBucket(LIMIT_LINES_PER_S, 5 * LIMIT_LINES_PER_S),
            "cut": TokenBucket(CUT_LINES_PER_S, CUT_BURST_LINES),
            "abandoned": TokenBucket(CUT_LINES_PER_S, CUT_BURST_LINES),
        }
        self._dropped_counts: collections.Counter[str] = collections.Counter()
        self._dropped_reported_at = 0.0
        self._response_count = 0

    def emit_failed(
        self,
        req: HttpRequest,
        call: Call | None,
        request_id: str,
        outcome: Outcome,
        exc: MarigoldchuteError,
        now: float,
        is_foreign: bool = False,
    ) -> None:
        """Log a request that got no response from a backend server.

        Parameters
        ----------
        req : HttpRequest
            Request of the caller.
        call : Call, optional
            Attempts of the request; None when it was refused before the first one.
        request_id : str
            Id of the request.
        outcome : Outcome
            Outcome that was reported to the caller.
        exc : MarigoldchuteError
            Cause of the failure.
        now : float
            Monotonic time in seconds.
        is_foreign : bool
            Whether the request's regions may exclude this node.
        """
        kind = "rejected" if exc.code in REJECTED_CODES else "failed"
        if not self._admit(kind, now):
            return
        body_fields = {} if is_foreign else _body_fields(req)
        reason = _foreign_reason(exc) if is_foreign else exc.message
        fields = _call_fields(call, now)
        if isinstance(exc, NotRunError):
            fields |= exc.fields
        self._log.emit(
            "routing",
            outcome.value,
            f"{_name(req, is_foreign)} failed: {reason}.",
            code=exc.code.value,
            request=request_id,
            **body_fields,
            **fields,
        )

    def emit_response(self, call: Call, status: int, now: float) -> None:
        """Log a request with a response if that is an error, a retry or a sample."""
        self._response_count += 1
        if status >= MIN_SERVER_ERROR_STATUS:
            if not self._admit("failed", now):
                return
            event = "backend_failed"
        elif len(call.attempt_log) > 1:
            if not self._admit("repeated", now):
                return
            event = "repeated"
        elif self._response_count % SAMPLE_EVERY == 0:
            event = "sampled"
        else:
            return
        self._log.emit(
            "routing",
            event,
            f"{_name(call.req, call.is_foreign)} got status {status}.",
            request=call.request_id,
            status=status,
            sample_of=SAMPLE_EVERY if event == "sampled" else 1,
            **_call_fields(call, now),
        )

    def emit_owner_failure(
        self, head: RequestHead, exc: MarigoldchuteError, load: int, now: float
    ) -> None:
        """Log a request that the owner refused or got no complete response to."""
        if not self._admit("owner", now):
            return
        self._log.emit(
            "owner",
            "not_answered",
            f"Request to {head.server_id or 'unknown server'} failed: {exc.message}.",
            code=exc.code.value,
            request=head.request_id,
            route=head.route,
            service=head.service,
            release=head.release,
            load=load,
            remaining_ms=head.remaining_ms,
        )

    def emit_nested_limit(
        self, route: str, called_service: str, before: float, after: float, now: float
    ) -> None:
        """Log a change of the part of a route's requests that is admitted.

        Parameters
        ----------
        route : str
            Route of the requests that make nested calls.
        called_service : str
            Service of the latest call.
        before, after : float
            Admitted part before and after the change.
        now : float
            Monotonic time in seconds.
        """
        if not self._admit("nested_limit", now):
            return
        self._log.emit(
            "owner",
            "nested_limit",
            f"{after:.0%} of the requests of {route!r} are admitted.",
            route=route,
            called_service=called_service,
            ratio=round(after, 3),
            ratio_before=round(before, 3),
        )

    def emit_no_nested_call(
        self, request_id: str, parent: RunningRequest, now: float
    ) -> None:
        """Log a request of a caller with the id of a call of a running request.

        Parameters
        ----------
        request_id : str
            Id of the request.
        parent : RunningRequest
            Request whose id it extends.
        now : float
            Monotonic time in seconds.
        """
        if not self._admit("no_nested_call", now):
            return
        self._log.emit(
            "routing",
            "no_nested_call",
            "A request with a key, or from another VM, has the id of a nested call.",
            request=request_id,
            parent=parent.request_id,
            parent_route=parent.route,
        )

    def emit_cut(self, cut: Cut, id_header: bytes, is_foreign: bool = False) -> None:
        """Log a request whose connection ended without a complete response.

        Parameters
        ----------
        cut : Cut
            The request and the cause.
        id_header : bytes
            Lower-case name of the header with the request's id.
        is_foreign : bool
            Whether the request's regions may exclude this node.
        """
        if not self._admit("cut", cut.at):
            return
        req, responder = cut.req, cut.responder
        if cut.cause is CutCause.UNREAD:
            self._log.emit(
                "routing",
                "cut",
                f"{len(cut.unread)} bytes behind a response were not read.",
                request=_id_in(cut.unread, id_header),
                cause=cut.cause.value,
                after=_text(req.header(id_header)),
                **_cut_times(cut),
            )
            return
        fields: dict[str, object] = {"request": _text(req.header(id_header))}
        fields |= req.call_fields or {"tries": 0}
        if is_foreign:
            fields.pop("body_bytes", None)
        else:
            fields |= _body_fields(req)
            fields["response_bytes"] = responder.sent_bytes if responder else 0
        self._log.emit(
            "routing",
            "cut",
            f"{_name(req, is_foreign)} was cut: {cut.cause.value}.",
            cause=cut.cause.value,
            seen=cut.seen,
            waits_for=_waits_for(cut),
            response_complete=responder is not None and responder.finished,
            **_cut_times(cut),
            **fields,
        )

    def emit_abandoned(
        self,
        head: RequestHead,
        cause: CutCause,
        waits_for: str,
        written: bool,
        now: float,
    ) -> None:
        """Log a request that the owner ended before its response was complete.

        Parameters
        ----------
        head : RequestHead
            Head of the request.
        cause : CutCause
            Why it was ended.
        waits_for : str
            What it waited for: ``slot``, ``connection`` or ``response``.
        written : bool
            Whether a byte was sent to the backend server.
        now : float
            Monotonic time in seconds.
        """
        if not self._admit("abandoned", now):
            return
        self._log.emit(
            "owner",
            "abandoned",
            f"Request to {head.server_id or 'unknown server'} was abandoned:"
            f" {cause.value}.",
            request=head.request_id,
            cause=cause.value,
            waits_for=waits_for,
            written=written,
            route=head.route,
            service=head.service,
            release=head.release,
            remaining_ms=head.remaining_ms,
        )

    def _admit(self, kind: str, now: float) -> bool:
        if (
            now - self._dropped_reported_at >= DROPPED_REPORT_INTERVAL_S
            and self._dropped_counts
        ):
            self._log.emit(
                "routing",
                "left_out",
                "Log lines about requests were dropped.",
                **dict(self._dropped_counts),
            )
            self._dropped_counts.clear()
            self._dropped_reported_at = now
        if self._budgets[kind].try_acquire(1.0, now):
            return True
        self._dropped_counts[kind] += 1
        return False


def cut_fields(call: Call, now: float) -> dict[str, object]:
    """Return what was done with a request that got no complete response."""
    return {
        "request": call.request_id,
        "passed_on": call.may_have_run,
        "idempotent": call.idempotent,
        "body_bytes": call.body.read_bytes,
        "deadline_s": round(call.deadline - now, 3),
        **_call_fields(call, now),
    }


def _cut_times(cut: Cut) -> dict[str, object]:
    taken_at, drain_started_at = cut.taken_at, cut.drain_started_at
    return {
        "taken_s": None if taken_at is None else round(cut.at - taken_at, 3),
        "drain_s": (
            None if drain_started_at is None else round(cut.at - drain_started_at, 3)
        ),
        "conn_requests": cut.conn_requests,
    }


def _waits_for(cut: Cut) -> str:
    req, responder = cut.req, cut.responder
    if responder is None:
        return "reading"
    if responder.started:
        return "rest"
    if req.turn is not None and not req.turn.is_set():
        return "turn"
    if not req.complete:
        return "body"
    return "start" if req.call_fields is None else "response"


def _framing(req: HttpRequest) -> str:
    if not req.has_body:
        return "none"
    return "chunked" if req.header(b"content-length") is None else "length"


def _body_fields(req: HttpRequest) -> dict[str, object]:
    return {"body": _framing(req), "body_complete": req.complete}


def _name(req: HttpRequest, is_foreign: bool) -> str:
    return "Request" if is_foreign else req.target.decode("latin-1")


def _foreign_reason(exc: MarigoldchuteError) -> str:
    """Return a reason without anything that the request contains."""
    if exc.code is ResultCode.REQUEST_NOT_RUN_REGION:
        return exc.message
    return exc.code.name


def _text(value: bytes | None) -> str:
    return (value or b"").decode("latin-1")


def _id_in(data: bytes, id_header: bytes) -> str:
    """Return the id in the head of a request that was not parsed."""
    for line in data.split(b"\r\n"):
        name, found, value = line.partition(b":")
        if found and name.lower() == id_header:
            return _text(value.strip())
    return ""


def _call_fields(call: Call | None, now: float) -> dict[str, object]:
    if call is None:
        return {"tries": 0}
    identity = call.identity
    customer_fields = {
        "customer": identity.customer,
        "identified_by": identity.source.value,
    }
    return {
        **(customer_fields if identity.customer else {}),
        "tries": call.attempts,
        "trail": call.attempt_log,
        "route": call.route_entry.route.name,
        "service": call.service.name,
        "release": call.release,
        "bundle": call.bundle_version,
        "elapsed_ms": round((now - call.started_at) * 1000, 1),
    }
