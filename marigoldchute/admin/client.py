"""Client of the administration API, used by the operator's program."""

from __future__ import annotations

import urllib.parse
from typing import TypeVar

import httpcore
import msgspec

from marigoldchute.admin.messages import (
    Failure,
    MoveStatus,
    RollRequest,
    RollResult,
    Status,
)
from marigoldchute.errors import MarigoldchuteError, PeerError, ResultCode
from marigoldchute.link.stats import NodeStats
from marigoldchute.moves.model import Verdict

T = TypeVar("T")
READ_TIMEOUT_S = 30.0


class AdminClient:
    """Calls the administration API of one node.

    Parameters
    ----------
    address : str
        ``address:port`` of the node's administration API.
    token : str
        Bearer token.
    """

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._token = token
        self._pool = httpcore.AsyncConnectionPool()

    async def status(self) -> Status:
        """Return the status of the mesh as known to the node."""
        return await self._call("GET", "/v1/status", b"", Status)

    async def stats(self) -> NodeStats:
        """Return the resource usage of the node."""
        return await self._call("GET", "/v1/stats", b"", NodeStats)

    async def roll(self, request: RollRequest) -> RollResult:
        """Submit a signed bundle for rollout."""
        body = msgspec.json.encode(request)
        return await self._call("POST", "/v1/bundles", body, RollResult)

    async def verdict(self, move_id: str) -> MoveStatus:
        """Return the status of a move, including its verdict."""
        return await self._call(
            "GET", f"/v1/verdicts/{_quote(move_id)}", b"", MoveStatus
        )

    async def cancel(self, move_id: str, author: str) -> Verdict:
        """Take a move back."""
        body = author.encode()
        return await self._call("POST", f"/v1/cancel/{_quote(move_id)}", body, Verdict)

    async def _call(
        self, method: str, path: str, body: bytes, response_type: type[T]
    ) -> T:
        try:
            response = await self._pool.request(
                method,
                f"http://{self._address}{path}",
                headers={"authorization": f"Bearer {self._token}"},
                content=body,
                extensions={"timeout": {"connect": 3.0, "read": READ_TIMEOUT_S}},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            detail = str(exc) or type(exc).__name__
            raise PeerError(f"node {self._address} did not respond: {detail}") from exc
        if response.status != 200:
            raise self._decode_failure(response)
        try:
            return msgspec.json.decode(response.content, type=response_type)
        except msgspec.DecodeError as exc:
            raise self._invalid_response(response) from exc

    def _decode_failure(self, response: httpcore.Response) -> MarigoldchuteError:
        try:
            failure = msgspec.json.decode(response.content, type=Failure)
            return MarigoldchuteError(failure.message, ResultCode(failure.code))
        except (msgspec.DecodeError, ValueError):
            return self._invalid_response(response)

    def _invalid_response(self, response: httpcore.Response) -> PeerError:
        return PeerError(
            f"{self._address} responded with {response.status}, but not in the format "
            "of the administration API of this release",
            ResultCode.PEER_PROTOCOL,
        )


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")
