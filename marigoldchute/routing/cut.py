"""Requests whose connection ends without a complete response, and why."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import PeerError, ResultCode
from marigoldchute.routing.http_request import HttpRequest, HttpResponder

if TYPE_CHECKING:
    from marigoldchute.errors import MarigoldchuteError


class CutCause(enum.Enum):
    """Why a request was ended before its response was complete.

    At the entry, ``CALLER_LEFT`` means that the caller closed its connection or that
    the connection broke, ``CLOSED_HERE`` that this node had closed it before.
    ``EARLIER_RESPONSE`` means that an earlier response ended the connection, and
    ``UNREAD`` that bytes behind the last response were discarded. ``DRAIN_TIMEOUT``
    is the end of the grace period, ``STOPPED`` any other end of the process.
    ``MEMORY`` means that the connection was among those that took the most memory.
    ``HANDLER_ERROR`` is an unexpected exception or a missing response. A response that
    had begun may end by ``LINK``, the loss of the link to the owner, ``OWNER``, a reset
    by the owner, ``DEADLINE`` or ``PARTIAL_RESPONSE`` of the backend server. At the
    owner, ``ENTRY_CANCELLED`` means that the entry node reset the stream.
    """

    CALLER_LEFT = "caller_left"
    CLOSED_HERE = "closed_here"
    EARLIER_RESPONSE = "earlier_response"
    UNREAD = "unread"
    DRAIN_TIMEOUT = "drain_timeout"
    STOPPED = "stopped"
    HANDLER_ERROR = "handler_error"
    LINK = "link"
    OWNER = "owner"
    DEADLINE = "deadline"
    PARTIAL_RESPONSE = "partial_response"
    ENTRY_CANCELLED = "entry_cancelled"
    MEMORY = "memory"


@dataclasses.dataclass(frozen=True)
class Cut:
    """One request that got no complete response, or the bytes behind the last one.

    Parameters
    ----------
    req : HttpRequest
        The request; with ``UNREAD`` the last one that was answered.
    responder : HttpResponder or None
        Its response; None if the request was read but not taken.
    cause : CutCause
        Why it was cut.
    seen : str
        How the node noticed it, such as ``poll 0x2000``; may be empty.
    at : float
        Monotonic time of the cut, in seconds.
    taken_at, drain_started_at : float or None
        Monotonic times in seconds; None if the request was not taken or no drain began.
    conn_requests : int
        Number of requests taken before on the same connection.
    unread : bytes
        First of the bytes that were discarded.
    """

    req: HttpRequest
    responder: HttpResponder | None
    cause: CutCause
    seen: str
    at: float
    taken_at: float | None
    drain_started_at: float | None
    conn_requests: int
    unread: bytes = b""


def cause_of_partial(exc: MarigoldchuteError) -> CutCause:
    """Return the cause of an error that ended a response that had begun."""
    if exc.code is ResultCode.PEER_UNREACHABLE:
        return CutCause.LINK
    if exc.code is ResultCode.REQUEST_OUTCOME_UNKNOWN_DEADLINE:
        return CutCause.DEADLINE
    return CutCause.OWNER if isinstance(exc, PeerError) else CutCause.PARTIAL_RESPONSE


def cause_of_reset(code: ResultCode) -> CutCause:
    """Return the cause of the early end of a stream at the owner."""
    if code is ResultCode.PEER_UNREACHABLE:
        return CutCause.LINK
    return CutCause.ENTRY_CANCELLED


def is_cancelled(exc: BaseException) -> bool:
    """Return whether an exception is a cancellation, also one of several tasks."""
    if isinstance(exc, BaseExceptionGroup):
        return exc.split(trio.Cancelled)[1] is None
    return isinstance(exc, trio.Cancelled)
