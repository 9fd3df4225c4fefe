"""Names of the headers that a mesh and its callers and backend servers exchange."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Dialect:
    """Lower-case header names; an empty name means that the header is not used.

    Parameters
    ----------
    deadline : bytes
        Header with the remaining time of a request in milliseconds.
    request_id : bytes
        Header with the id of a request. It is the same for all attempts of the mesh;
        a caller that sends its request again uses another one.
    not_run : bytes
        Header that a backend server sets on the response to a request that it did
        not run.
    echoes_request_id : bool
        Whether backend servers copy the id of the request into their responses.
    expected_server : bytes
        Header with the instance of the backend server that may run the request.
    caller_service : bytes
        Header with the service on whose VM the request originated; set by the entry
        node only.
    forwards_given_id : bool
        Whether a request id is forwarded also when an external caller sends it.
    accepts_unframed : bool
        Whether a response may have no length and end when its connection closes.
    misdirected_status : int
        Status that a backend server returns when it is not the expected one; 0 when
        there is none.
    nested_id_separator : str
        Text between the id of a request and the rest of the id of a call that its
        backend server makes for it; empty when the ids of calls are unrelated.
    customer : bytes
        Header with the name of the customer; set by the entry node only, in bundles
        with customers.
    authorization : bytes
        Header with a caller's key, which is not forwarded in bundles with customers.
    warmup : bytes
        Header of health responses with the milliseconds that a backend server stays
        cold.
    """

    deadline: bytes = b"marigoldchute-deadline-ms"
    request_id: bytes = b"marigoldchute-request-id"
    not_run: bytes = b"marigoldchute-not-run"
    echoes_request_id: bool = False
    expected_server: bytes = b""
    caller_service: bytes = b""
    forwards_given_id: bool = False
    accepts_unframed: bool = False
    misdirected_status: int = 0
    nested_id_separator: str = ""
    customer: bytes = b""
    authorization: bytes = b""
    warmup: bytes = b""

    @property
    def mesh_request_headers(self) -> frozenset[bytes]:
        """Request headers that the mesh sets and never forwards as received."""
        names = (
            self.deadline,
            self.request_id,
            self.expected_server,
            self.caller_service,
        )
        return frozenset(name for name in names if name)


DEFAULT_DIALECT = Dialect()
