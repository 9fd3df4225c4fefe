"""How a mesh's request path treats answers, refusals and load."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class PathPolicy:
    """Choices of the request path that depend on where the mesh runs.

    Parameters
    ----------
    adaptive_limit : bool
        Whether an owner lowers the slots of its backend server by latency and
        refusals; without, the announced slots stand.
    gather_bytes : int
        Size up to which an answer is held until it is whole, so that a cut one can
        still be replaced by another try or by an honest failure; 0 streams all.
    retry_errors : bool
        Whether a repeatable request that a backend server answered with a failure of
        its own is tried at another one.
    boost_rare_routes : bool
        Whether a new release gets a larger share of the routes with few requests.
    first_bundle_wait_s : float
        Seconds for which a new process holds requests while it has no bundle yet.
    """

    adaptive_limit: bool = True
    gather_bytes: int = 0
    retry_errors: bool = False
    boost_rare_routes: bool = False
    first_bundle_wait_s: float = 0.0


STREAMING_POLICY = PathPolicy()
