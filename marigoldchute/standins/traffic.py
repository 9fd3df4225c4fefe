"""Stand-in for callers that send requests to the nodes of a mesh at a constant rate."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

import httpcore
import trio

if TYPE_CHECKING:
    from collections.abc import Sequence

REQUEST_TIMEOUT_S = 5.0
OUTCOME_HEADER = b"marigoldchute-outcome"
NO_RESPONSE = "no answer"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Path and result of a request.

    Parameters
    ----------
    path : str
        Request path.
    result : str
        Status and release, or status and outcome header of a refusal.
    """

    path: str
    result: str


class Callers:
    """Sends requests at a constant rate, whether or not earlier ones are complete.

    Parameters
    ----------
    origins : sequence of str
        ``address:port`` of the nodes, chosen at random for each request.
    paths : sequence of str
        Request paths, used in turn.
    rate_per_s : float
        Requests per second over all paths.
    seed : int
        Seed of the random choices.
    """

    def __init__(
        self, origins: Sequence[str], paths: Sequence[str], rate_per_s: float, seed: int
    ) -> None:
        self._origins = origins
        self._paths = paths
        self._interval_s = 1.0 / rate_per_s
        self._rng = random.Random(seed)
        self.outcomes: collections.Counter[Outcome] = collections.Counter()

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with (
            httpcore.AsyncConnectionPool(max_connections=200) as pool,
            trio.open_nursery() as nursery,
        ):
            request_count = 0
            start = trio.current_time()
            while True:
                path = self._paths[request_count % len(self._paths)]
                nursery.start_soon(self._send_request, pool, path)
                request_count += 1
                await trio.sleep_until(start + request_count * self._interval_s)

    async def _send_request(
        self, pool: httpcore.AsyncConnectionPool, path: str
    ) -> None:
        url = f"http://{self._rng.choice(self._origins)}{path}"
        result = NO_RESPONSE
        try:
            with trio.move_on_after(REQUEST_TIMEOUT_S):
                response = await pool.request("GET", url)
                result = _describe_response(response)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            result = NO_RESPONSE
        self.outcomes[Outcome(path, result)] += 1


def _describe_response(response: httpcore.Response) -> str:
    outcome = dict(response.headers).get(OUTCOME_HEADER)
    if outcome is not None:
        return f"{response.status} {outcome.decode()}"
    release = response.content.partition(b" ")[0].decode()
    return f"{response.status} from {release}"
