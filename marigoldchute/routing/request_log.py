"""Events of requests, at a bounded rate for each kind."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from marigoldchute.routing.budget import TokenBucket
from marigoldchute.routing.call import SERVER_FAILURE

if TYPE_CHECKING:
    from marigoldchute.errors import MarigoldchuteError
    from marigoldchute.events import EventLog
    from marigoldchute.routing.call import Call
    from marigoldchute.routing.http_request import HttpRequest
    from marigoldchute.routing.messages import RequestHead
    from marigoldchute.routing.outcomes import Outcome

FAILED_PER_S = 20.0
FAILED_BURST = 400.0  # Lines, 0.2 MB; 40 left out 411 of 1,015 failures of a bench day.
REPEATED_PER_S = 4.0
OWNER_PER_S = 10.0
SAMPLE_EVERY = 200  # Answered requests without any trouble.
LEFT_OUT_INTERVAL_S = 5.0


class RequestLog:
    """Logs what was decided about requests.

    Requests that failed or were refused, those that a backend server answered with a
    failure, and those that needed more than one try, are logged up to a rate; of the
    others one in ``SAMPLE_EVERY``. How many lines of each kind were left out is logged
    from time to time.

    Parameters
    ----------
    log : EventLog
        Event log of the process.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._budgets = {
            "failed": TokenBucket(FAILED_PER_S, FAILED_BURST),
            "repeated": TokenBucket(REPEATED_PER_S, 2 * REPEATED_PER_S),
            "owner": TokenBucket(OWNER_PER_S, 2 * OWNER_PER_S),
        }
        self._left_out: collections.Counter[str] = collections.Counter()
        self._told_at = 0.0
        self._answered = 0

    def emit_failed(
        self,
        req: HttpRequest,
        call: Call | None,
        request_id: str,
        outcome: Outcome,
        exc: MarigoldchuteError,
        now: float,
    ) -> None:
        """Log a request that no backend server answered.

        Parameters
        ----------
        req : HttpRequest
            Request of the caller.
        call : Call, optional
            Its tries; None when it was refused before the first.
        request_id : str
            Id of the request.
        outcome : Outcome
            What the caller was told.
        exc : MarigoldchuteError
            Why.
        now : float
            Monotonic time in seconds.
        """
        if not self._admit("failed", now):
            return
        self._log.emit(
            "routing",
            outcome.value,
            f"{req.target.decode('latin-1')} is not answered: {exc.message}.",
            code=exc.code.value,
            request=request_id,
            **_of_call(call, now),
        )

    def emit_answered(self, call: Call, status: int, now: float) -> None:
        """Log an answered request when it is one that is to be logged."""
        self._answered += 1
        if status >= SERVER_FAILURE:
            if not self._admit("failed", now):
                return
            event = "backend_failed"
        elif len(call.trail) > 1:
            if not self._admit("repeated", now):
                return
            event = "repeated"
        elif self._answered % SAMPLE_EVERY == 0:
            event = "sampled"
        else:
            return
        self._log.emit(
            "routing",
            event,
            f"{call.req.target.decode('latin-1')} is answered with {status}.",
            request=call.request_id,
            status=status,
            sample_of=SAMPLE_EVERY if event == "sampled" else 1,
            **_of_call(call, now),
        )

    def emit_owner(
        self, head: RequestHead, exc: MarigoldchuteError, load: int, now: float
    ) -> None:
        """Log a request that the owner refused or got no whole answer to."""
        if not self._admit("owner", now):
            return
        self._log.emit(
            "owner",
            "not_answered",
            f"{head.server_id or 'no server'} gave no answer: {exc.message}.",
            code=exc.code.value,
            request=head.request_id,
            route=head.route,
            service=head.service,
            release=head.release,
            load=load,
            remaining_ms=head.remaining_ms,
        )

    def _admit(self, kind: str, now: float) -> bool:
        if now - self._told_at >= LEFT_OUT_INTERVAL_S and self._left_out:
            self._log.emit(
                "routing",
                "left_out",
                "Lines about requests were left out.",
                **dict(self._left_out),
            )
            self._left_out.clear()
            self._told_at = now
        if self._budgets[kind].take(1.0, now):
            return True
        self._left_out[kind] += 1
        return False


def _of_call(call: Call | None, now: float) -> dict[str, object]:
    if call is None:
        return {"tries": 0}
    return {
        "tries": call.tries,
        "trail": call.trail,
        "route": call.entry.route.name,
        "service": call.service.name,
        "release": call.release,
        "bundle": call.bundle_version,
        "elapsed_ms": round((now - call.started_at) * 1000, 1),
    }
