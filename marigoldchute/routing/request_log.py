"""Rate-limited log events about requests."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from marigoldchute.routing.budget import TokenBucket
from marigoldchute.routing.call import MIN_SERVER_ERROR_STATUS

if TYPE_CHECKING:
    from marigoldchute.errors import MarigoldchuteError
    from marigoldchute.events import EventLog
    from marigoldchute.routing.call import Call
    from marigoldchute.routing.http_request import HttpRequest
    from marigoldchute.routing.messages import RequestHead
    from marigoldchute.routing.outcomes import Outcome

FAILED_LINES_PER_S = 20.0
FAILED_BURST_LINES = 400.0  # 0.2 MB; a burst of 40 dropped 411 of 1,015 failures.
RETRIED_LINES_PER_S = 4.0
OWNER_LINES_PER_S = 10.0
SAMPLE_EVERY = 200  # One in this many successful requests without a retry is logged.
DROPPED_REPORT_INTERVAL_S = 5.0


class RequestLog:
    """Logs the outcomes of requests.

    Requests that failed or were refused, that got a server error from a backend server
    or that needed more than one attempt are logged up to a rate; of the others, one in
    ``SAMPLE_EVERY`` is logged. The number of dropped lines of each kind is logged every
    ``DROPPED_REPORT_INTERVAL_S`` at most.

    Parameters
    ----------
    log : EventLog
        Event log of the process.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._budgets = {
            "failed": TokenBucket(FAILED_LINES_PER_S, FAILED_BURST_LINES),
            "repeated": TokenBucket(RETRIED_LINES_PER_S, 2 * RETRIED_LINES_PER_S),
            "owner": TokenBucket(OWNER_LINES_PER_S, 2 * OWNER_LINES_PER_S),
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
        """
        if not self._admit("failed", now):
            return
        self._log.emit(
            "routing",
            outcome.value,
            f"{req.target.decode('latin-1')} failed: {exc.message}.",
            code=exc.code.value,
            request=request_id,
            **_call_fields(call, now),
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
            f"{call.req.target.decode('latin-1')} got status {status}.",
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


def _call_fields(call: Call | None, now: float) -> dict[str, object]:
    if call is None:
        return {"tries": 0}
    return {
        "tries": call.attempts,
        "trail": call.attempt_log,
        "route": call.route_entry.route.name,
        "service": call.service.name,
        "release": call.release,
        "bundle": call.bundle_version,
        "elapsed_ms": round((now - call.started_at) * 1000, 1),
    }
