"""Heads of requests and answers as they travel between nodes."""

from __future__ import annotations

import msgspec

HeaderList = list[tuple[bytes, bytes]]


class RequestHead(msgspec.Struct, frozen=True, array_like=True):
    """Head of a request on its way to the node of a backend server.

    Parameters
    ----------
    request_id : str
        Unique per caller's request; equal for its retries.
    route, service, release : str
        Route taken and backend servers that may answer.
    server_id : str
        Backend server chosen by the entry node.
    method, target : bytes
        HTTP method and request target.
    headers : list of (bytes, bytes)
        End-to-end headers.
    remaining_ms : int
        Time left until the caller's deadline.
    priority : int
        Admission class of the route.
    has_body : bool
        Whether body data follows.
    """

    request_id: str
    route: str
    service: str
    release: str
    server_id: str
    method: bytes
    target: bytes
    headers: HeaderList
    remaining_ms: int
    priority: int
    has_body: bool


class ResponseHead(msgspec.Struct, frozen=True, array_like=True):
    """Head of an answer; ``code`` is 0 when a backend server answered.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        End-to-end headers.
    code : int
        ``ResultCode`` of a refusal by the node.
    """

    status: int
    headers: HeaderList
    code: int = 0


REQUEST_DECODER = msgspec.msgpack.Decoder(RequestHead)
RESPONSE_DECODER = msgspec.msgpack.Decoder(ResponseHead)
ENCODER = msgspec.msgpack.Encoder()
