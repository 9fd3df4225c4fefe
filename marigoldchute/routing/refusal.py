"""Answers that the node itself gives when no backend server answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.routing.headers import CODE_HEADER, OUTCOME_HEADER

if TYPE_CHECKING:
    from marigoldchute.errors import MarigoldchuteError
    from marigoldchute.routing.http_request import HttpResponder

STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502
_STATUSES = {
    ResultCode.REQUEST_NOT_RUN_NO_ROUTE: 404,
    ResultCode.REQUEST_NOT_RUN_INTERNAL_ONLY: 403,
    ResultCode.REQUEST_OUTCOME_UNKNOWN_DEADLINE: 504,
    ResultCode.REQUEST_MALFORMED: 400,
    ResultCode.REQUEST_SENDER_TIMEOUT: 408,
    ResultCode.REQUEST_TOO_LARGE: 431,
}
CALLER_FAULTS = frozenset(
    {
        ResultCode.REQUEST_MALFORMED,
        ResultCode.REQUEST_SENDER_TIMEOUT,
        ResultCode.REQUEST_TOO_LARGE,
    }
)


DEFAULT_RETRY_AFTER_S = 0.25  # About a request's run time, when no wait is known.
MAX_RETRY_AFTER_S = 2.0


async def send_refusal(
    responder: HttpResponder, exc: MarigoldchuteError, spread: float
) -> None:
    """Answer with the code, and whether the request certainly did not run.

    Parameters
    ----------
    responder : HttpResponder
        Takes the answer.
    exc : MarigoldchuteError
        Why the request is not answered.
    spread : float
        Random number in [0, 1) that keeps callers from coming back all at once.
    """
    not_run = isinstance(exc, NotRunError)
    status = _STATUSES.get(exc.code, STATUS_NOT_RUN if not_run else STATUS_UNKNOWN)
    if exc.code in CALLER_FAULTS:
        responder.keep_alive = False
    body = f"{exc}\n".encode()
    retry_after = b""
    if status == STATUS_NOT_RUN and isinstance(exc, NotRunError):
        wait_s = exc.retry_after_s or DEFAULT_RETRY_AFTER_S
        wait_s = min(MAX_RETRY_AFTER_S, wait_s * (1.0 + spread))
        retry_after = b"retry-after: %.2f\r\n" % wait_s
    block = retry_after + (
        b"content-type: text/plain\r\ncontent-length: %d\r\n%s: %d\r\n%s: %s\r\n"
        % (
            len(body),
            CODE_HEADER,
            exc.code.value,
            OUTCOME_HEADER,
            b"not-run" if not_run else b"unknown",
        )
    )
    await responder.send_whole(status, block, True, body)
