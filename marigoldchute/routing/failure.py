"""Classification of the errors that end an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.errors import NotRunError, RequestError, ResultCode
from marigoldchute.routing.http_request import CallerDisconnectedError
from marigoldchute.routing.outcomes import Outcome
from marigoldchute.routing.refusal import CALLER_ERROR_CODES

if TYPE_CHECKING:
    from marigoldchute.errors import MarigoldchuteError
    from marigoldchute.routing.call import Call

SHED_CODES = frozenset(
    {
        ResultCode.REQUEST_NOT_RUN_EVACUATED,
        ResultCode.REQUEST_NOT_RUN_WARMING_UP,
        ResultCode.REQUEST_NOT_RUN_OVERLOADED,
        ResultCode.REQUEST_NOT_RUN_DEADLINE,
        ResultCode.REQUEST_NOT_RUN_REFUSED,
    }
)
# Refusals that other backend servers would repeat, and that say nothing about the load
# of the one that refused.
FINAL_REFUSAL_CODES = frozenset({ResultCode.REQUEST_NOT_RUN_CALLS_FAIL})


def outcome_of(exc: MarigoldchuteError) -> Outcome:
    """Return the outcome of an attempt that ended with an error."""
    if isinstance(exc, CallerDisconnectedError) or exc.code in CALLER_ERROR_CODES:
        return Outcome.CANCELLED
    if isinstance(exc, NotRunError):
        is_shed = exc.code in SHED_CODES or exc.code in FINAL_REFUSAL_CODES
        return Outcome.SHED if is_shed else Outcome.NOT_RUN
    if exc.code is ResultCode.REQUEST_OUTCOME_UNKNOWN_DEADLINE:
        return Outcome.OVERDUE
    return Outcome.UNKNOWN


def error_to_report(call: Call, exc: MarigoldchuteError) -> MarigoldchuteError:
    """Return the error to report to the caller.

    A request that may have run is never reported as not run, which also the status of
    a caller that sent its body too slowly says.
    """
    says_not_run = (
        isinstance(exc, NotRunError) or exc.code is ResultCode.REQUEST_SENDER_TIMEOUT
    )
    if call.may_have_run and says_not_run:
        return RequestError(
            f"an earlier attempt may have run; last attempt: {exc.message}",
            ResultCode.REQUEST_OUTCOME_UNKNOWN,
        )
    return exc
