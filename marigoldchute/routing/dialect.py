"""Names of the headers that a mesh and its callers and backend servers exchange."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Dialect:
    """Header names, lower case; an empty name stands for a header that is not used.

    Parameters
    ----------
    deadline : bytes
        Milliseconds that are left for a request.
    request_id : bytes
        Id of one attempt of a caller.
    not_run : bytes
        Set by a backend server on an answer to a request that it did not run.
    echoes_id : bool
        Whether backend servers repeat the id of the request in their answers.
    expected_server : bytes
        Instance of the backend server that may run the request.
    caller_service : bytes
        Service on whose VM the request began; set by the entry node only.
    keeps_given_id : bool
        Whether the id that a caller gives is passed on, whoever the caller is.
    accepts_unframed : bool
        Whether an answer may have no length and end with its connection.
    misdirected_status : int
        Status of a backend server that is not the expected one; 0 when there is none.
    """

    deadline: bytes = b"marigoldchute-deadline-ms"
    request_id: bytes = b"marigoldchute-request-id"
    not_run: bytes = b"marigoldchute-not-run"
    echoes_id: bool = False
    expected_server: bytes = b""
    caller_service: bytes = b""
    keeps_given_id: bool = False
    accepts_unframed: bool = False
    misdirected_status: int = 0

    @property
    def own_request_headers(self) -> frozenset[bytes]:
        """Headers of a request that the mesh sets and never passes on as given."""
        names = (
            self.deadline,
            self.request_id,
            self.expected_server,
            self.caller_service,
        )
        return frozenset(name for name in names if name)


OWN_DIALECT = Dialect()
