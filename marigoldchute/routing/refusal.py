"""Error responses that the node itself sends when a request fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.routing.headers import CODE_HEADER, OUTCOME_HEADER

if TYPE_CHECKING:
    from marigoldchute.errors import MarigoldchuteError
    from marigoldchute.routing.http_request import HttpResponder

STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502
STATUS_UNAUTHORIZED = 401
STATUS_OVER_QUOTA = 429
_RETRIABLE_STATUSES = frozenset((STATUS_NOT_RUN, STATUS_OVER_QUOTA))
_STATUSES = {
    ResultCode.REQUEST_NOT_RUN_NO_ROUTE: 404,
    ResultCode.REQUEST_NOT_RUN_INTERNAL_ONLY: 403,
    ResultCode.REQUEST_OUTCOME_UNKNOWN_DEADLINE: 504,
    ResultCode.REQUEST_MALFORMED: 400,
    ResultCode.REQUEST_SENDER_TIMEOUT: 408,
    ResultCode.REQUEST_TOO_LARGE: 431,
    ResultCode.REQUEST_BODY_TOO_LARGE: 413,
    ResultCode.REQUEST_NOT_RUN_UNAUTHORIZED: STATUS_UNAUTHORIZED,
    ResultCode.REQUEST_NOT_RUN_QUOTA: STATUS_OVER_QUOTA,
}
CALLER_ERROR_CODES = frozenset(
    {
        ResultCode.REQUEST_MALFORMED,
        ResultCode.REQUEST_SENDER_TIMEOUT,
        ResultCode.REQUEST_TOO_LARGE,
        ResultCode.REQUEST_BODY_TOO_LARGE,
    }
)


# Used if the wait is not known; about the run time of a request.
DEFAULT_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 2.0


async def send_error_response(
    responder: HttpResponder, exc: MarigoldchuteError, jitter: float
) -> None:
    """Send the result code and whether the request certainly did not run.

    Parameters
    ----------
    responder : HttpResponder
        Sends the response.
    exc : MarigoldchuteError
        Reason of the failure.
    jitter : float
        Random number in [0, 1) that keeps callers from all retrying at the same time.
    """
    not_run = isinstance(exc, NotRunError)
    status = _STATUSES.get(exc.code, STATUS_NOT_RUN if not_run else STATUS_UNKNOWN)
    if exc.code in CALLER_ERROR_CODES:
        responder.keep_alive = False
    body = f"{exc}\n".encode()
    extra = b""
    if status in _RETRIABLE_STATUSES and isinstance(exc, NotRunError):
        wait_s = exc.retry_after_s or DEFAULT_RETRY_AFTER_S
        wait_s = min(MAX_RETRY_AFTER_S, wait_s * (1.0 + jitter))
        extra = b"retry-after: %.2f\r\n" % wait_s
    elif status == STATUS_UNAUTHORIZED:
        extra = b"www-authenticate: Bearer\r\n"  # Required by RFC 9110, 15.5.2.
    block = extra + (
        b"content-type: text/plain\r\ncontent-length: %d\r\n%s: %d\r\n%s: %s\r\n"
        % (
            len(body),
            CODE_HEADER,
            exc.code.value,
            OUTCOME_HEADER,
            b"not-run" if not_run else b"unknown",
        )
    )
    await responder.send_complete(status, block, True, body)
