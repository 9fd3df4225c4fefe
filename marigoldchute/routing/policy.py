"""Options of the request path that differ between kinds of mesh."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class PathPolicy:
    """Options of the request path that depend on the platform of the mesh.

    Parameters
    ----------
    adaptive_limit : bool
        Whether an owner lowers the concurrency limit of its backend server on rising
        latency and refusals; otherwise the announced slots are the limit.
    max_buffered_response_bytes : int
        Size in bytes up to which a response is buffered until it is complete, so that
        a truncated one can still be replaced by a retry or by an error response; 0
        streams every response.
    retry_errors : bool
        Whether an idempotent request is retried at another backend server when the
        first one responds with an error.
    boost_rare_routes : bool
        Whether a new release gets a larger share on routes with few requests.
    first_bundle_wait_s : float
        Seconds for which a new process holds requests until its first bundle.
    """

    adaptive_limit: bool = True
    max_buffered_response_bytes: int = 0
    retry_errors: bool = False
    boost_rare_routes: bool = False
    first_bundle_wait_s: float = 0.0


STREAMING_POLICY = PathPolicy()
