"""Mapping of result codes to HTTP status codes of the administration API."""

from __future__ import annotations

from marigoldchute.errors import MarigoldchuteError, ResultCode

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
CONFLICT = 409
CONTENT_TOO_LARGE = 413
UNPROCESSABLE_CONTENT = 422
INTERNAL_ERROR = 500
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503

_STATUS_BY_CLASS = {
    1: BAD_REQUEST,
    2: UNPROCESSABLE_CONTENT,
    3: SERVICE_UNAVAILABLE,
    4: BAD_GATEWAY,
    5: SERVICE_UNAVAILABLE,
    6: CONFLICT,
    7: UNAUTHORIZED,
}
_STATUS_BY_CODE = {
    ResultCode.BUNDLE_TOO_LARGE: CONTENT_TOO_LARGE,
    ResultCode.BUNDLE_VERSION_NOT_HIGHER: CONFLICT,
    ResultCode.BUNDLE_VERSION_TAKEN: CONFLICT,
    ResultCode.STORE_CONFLICT: CONFLICT,
    ResultCode.STORE_NOT_FOUND: NOT_FOUND,
    ResultCode.MOVE_INVALID: UNPROCESSABLE_CONTENT,
    ResultCode.MOVE_DEADLINE_TOO_SHORT: UNPROCESSABLE_CONTENT,
    ResultCode.MOVE_CAPACITY_TOO_SMALL: UNPROCESSABLE_CONTENT,
    ResultCode.MOVE_OVERLAP: UNPROCESSABLE_CONTENT,
    ResultCode.MOVE_UNKNOWN: NOT_FOUND,
    ResultCode.MOVE_VERDICT_UNKNOWN: SERVICE_UNAVAILABLE,
}


class UnknownPathError(MarigoldchuteError):
    """The requested path is not part of the API."""


class MethodNotAllowedError(MarigoldchuteError):
    """The path does not accept the method of the request.

    Parameters
    ----------
    message : str
        Short sentence for an operator.
    allowed : str
        Value of the ``allow`` header.
    """

    def __init__(self, message: str, allowed: str) -> None:
        super().__init__(message)
        self.allowed = allowed


def http_status_of(exc: MarigoldchuteError) -> int:
    """Return the HTTP status code of the response to a failed request."""
    if isinstance(exc, UnknownPathError):
        return NOT_FOUND
    if isinstance(exc, MethodNotAllowedError):
        return METHOD_NOT_ALLOWED
    status = _STATUS_BY_CODE.get(exc.code)
    return status if status is not None else _STATUS_BY_CLASS[exc.code.exit_status]
