"""HTTP status of each result code on the administration API."""

from __future__ import annotations

from marigoldchute.errors import MarigoldchuteError, ResultCode

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
CONFLICT = 409
TOO_LARGE = 413
UNPROCESSABLE = 422
INTERNAL_ERROR = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503

_BY_CLASS = {
    1: BAD_REQUEST,
    2: UNPROCESSABLE,
    3: UNAVAILABLE,
    4: BAD_GATEWAY,
    5: UNAVAILABLE,
    6: CONFLICT,
    7: UNAUTHORIZED,
}
_BY_CODE = {
    ResultCode.BUNDLE_TOO_LARGE: TOO_LARGE,
    ResultCode.BUNDLE_VERSION_NOT_HIGHER: CONFLICT,
    ResultCode.BUNDLE_VERSION_TAKEN: CONFLICT,
    ResultCode.STORE_CONFLICT: CONFLICT,
    ResultCode.STORE_NOT_FOUND: NOT_FOUND,
    ResultCode.MOVE_INVALID: UNPROCESSABLE,
    ResultCode.MOVE_DEADLINE_TOO_SHORT: UNPROCESSABLE,
    ResultCode.MOVE_CAPACITY_TOO_SMALL: UNPROCESSABLE,
    ResultCode.MOVE_OVERLAP: UNPROCESSABLE,
    ResultCode.MOVE_UNKNOWN: NOT_FOUND,
    ResultCode.MOVE_VERDICT_UNKNOWN: UNAVAILABLE,
}


class UnknownPathError(MarigoldchuteError):
    """A path that the API does not have."""


class MethodError(MarigoldchuteError):
    """A method that the path does not take.

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
    """Return the HTTP status that tells an error on the API."""
    if isinstance(exc, UnknownPathError):
        return NOT_FOUND
    if isinstance(exc, MethodError):
        return METHOD_NOT_ALLOWED
    status = _BY_CODE.get(exc.code)
    return status if status is not None else _BY_CLASS[exc.code.exit_status]
