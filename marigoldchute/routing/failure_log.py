"""Events of requests that were not answered, at a bounded rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.routing.budget import TokenBucket

if TYPE_CHECKING:
    from marigoldchute.errors import MarigoldchuteError
    from marigoldchute.events import EventLog
    from marigoldchute.routing.call import Call
    from marigoldchute.routing.http_request import HttpRequest
    from marigoldchute.routing.outcomes import Outcome

LOGGED_PER_S = 20.0


class FailureLog:
    """Logs failed requests; those above ``LOGGED_PER_S`` are left out.

    Parameters
    ----------
    log : EventLog
        Event log of the process.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._budget = TokenBucket(LOGGED_PER_S, LOGGED_PER_S)

    def emit(
        self,
        req: HttpRequest,
        call: Call | None,
        outcome: Outcome,
        exc: MarigoldchuteError,
        now: float,
    ) -> None:
        """Log one failed request.

        Parameters
        ----------
        req : HttpRequest
            Request of the caller.
        call : Call, optional
            Its tries; None when it was refused before the first.
        outcome : Outcome
            What the caller was told.
        exc : MarigoldchuteError
            Why.
        now : float
            Monotonic time in seconds.
        """
        if not self._budget.take(1.0, now):
            return
        self._log.emit(
            "routing",
            outcome.value,
            f"{req.target.decode('latin-1')} is not answered: {exc.message}.",
            code=exc.code.value,
            request=call.request_id if call is not None else "",
            tries=call.tries if call is not None else 0,
        )
