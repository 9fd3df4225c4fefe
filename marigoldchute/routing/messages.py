"""Heads of requests and responses that nodes send to each other."""

from __future__ import annotations

import msgspec

HeaderList = list[tuple[bytes, bytes]]


class RequestHead(msgspec.Struct, frozen=True, array_like=True):
    """Head of a request that is forwarded to the node of a backend server.

    Parameters
    ----------
    request_id : str
        Unique per request of a caller; the same for all attempts of the entry node.
    route, service, release : str
        Matched route, and the service and release whose backend servers may respond.
    server_id : str
        Backend server chosen by the entry node.
    method, target : bytes
        HTTP method and request target.
    header_block : bytes
        End-to-end headers, each line ended by CR LF.
    remaining_ms : int
        Time left until the caller's deadline.
    priority : int
        Admission class of the route.
    idempotent : bool
        Whether the request may run more than once.
    has_body : bool
        Whether body data follows.
    chunked : bool
        Whether the body is sent to the backend server with chunked transfer encoding.
    caller_service : str
        Service on whose VM the request originated; empty when it is unknown.
    objective_ms : int
        Time left until the latency objective of the route; 0 when it has none, and 1
        when it has passed.
    is_nested : bool
        Whether a request that runs on the entry node's backend server makes this one.
    customer : str
        Customer whose key the request has; empty without one.
    regions : tuple of str
        Regions in which the request may be served; empty for all.
    warmup_requests_per_s : float
        Requests per second that a cold backend server of the service tolerates; 0 for
        no limit. An owner without a bundle of its own uses it.
    sent_ms : int
        Time of ``boottime_ms`` of the entry node; 0 when it is unknown.
    """

    request_id: str
    route: str
    service: str
    release: str
    server_id: str
    method: bytes
    target: bytes
    header_block: bytes
    remaining_ms: int
    priority: int
    idempotent: bool
    has_body: bool
    chunked: bool
    caller_service: str = ""
    objective_ms: int = 0
    is_nested: bool = False
    customer: str = ""
    regions: tuple[str, ...] = ()
    warmup_requests_per_s: float = 0
    sent_ms: int = 0


class ResponseHead(msgspec.Struct, frozen=True, array_like=True):
    """Head of a response; ``code`` is 0 when a backend server responded.

    Parameters
    ----------
    status : int
        HTTP status.
    header_block : bytes
        End-to-end headers, each line ended by CR LF.
    has_length : bool
        Whether the headers state the length of the body.
    code : int
        ``ResultCode`` of a refusal by the node.
    load_level : int
        Quarter of the backend server's slots in use when it admitted the request,
        0 to ``NUM_LOAD_LEVELS - 1``.
    backend_us : int
        Time from the last byte written to the backend server until the head of its
        response, in microseconds.
    load : int
        Requests that ran or waited at the backend server when it responded.
    retry_after_ms : int
        Time after which a refused request may be admitted; 0 when it is unknown.
    mean_run_us : int
        Mean run time of the route's requests at the backend server, in microseconds;
        0 when it is unknown.
    """

    status: int
    header_block: bytes = b""
    has_length: bool = False
    code: int = 0
    load_level: int = 0
    backend_us: int = 0
    load: int = 0
    retry_after_ms: int = 0
    mean_run_us: int = 0


REQUEST_DECODER = msgspec.msgpack.Decoder(RequestHead)
RESPONSE_DECODER = msgspec.msgpack.Decoder(ResponseHead)
ENCODER = msgspec.msgpack.Encoder()
