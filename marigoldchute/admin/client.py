"""Client of the administration API, as the operator's program uses it."""

from __future__ import annotations

import urllib.parse
from typing import TypeVar

import httpcore
import msgspec

from marigoldchute.admin.messages import (
    Failure,
    MoveStatus,
    RollOrder,
    RollResult,
    Status,
)
from marigoldchute.errors import MarigoldchuteError, PeerError, ResultCode
from marigoldchute.link.stats import NodeStats
from marigoldchute.moves.model import Verdict

T = TypeVar("T")
TIMEOUT_S = 30.0


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
        """Return what the node knows of the mesh."""
        return await self._call("GET", "/v1/status", b"", Status)

    async def stats(self) -> NodeStats:
        """Return what the node has spent."""
        return await self._call("GET", "/v1/stats", b"", NodeStats)

    async def roll(self, order: RollOrder) -> RollResult:
        """Hand over a signed bundle."""
        body = msgspec.json.encode(order)
        return await self._call("POST", "/v1/bundles", body, RollResult)

    async def verdict(self, move_id: str) -> MoveStatus:
        """Return the verdict of a move."""
        return await self._call(
            "GET", f"/v1/verdicts/{_quote(move_id)}", b"", MoveStatus
        )

    async def cancel(self, move_id: str, author: str) -> Verdict:
        """Take a move back."""
        body = author.encode()
        return await self._call("POST", f"/v1/cancel/{_quote(move_id)}", body, Verdict)

    async def _call(self, method: str, path: str, body: bytes, kind: type[T]) -> T:
        try:
            response = await self._pool.request(
                method,
                f"http://{self._address}{path}",
                headers={"authorization": f"Bearer {self._token}"},
                content=body,
                extensions={"timeout": {"connect": 3.0, "read": TIMEOUT_S}},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            detail = str(exc) or type(exc).__name__
            raise PeerError(f"node {self._address} did not answer: {detail}") from exc
        if response.status != 200:
            raise self._failure(response)
        try:
            return msgspec.json.decode(response.content, type=kind)
        except msgspec.DecodeError as exc:
            raise self._not_a_node(response) from exc

    def _failure(self, response: httpcore.Response) -> MarigoldchuteError:
        try:
            failure = msgspec.json.decode(response.content, type=Failure)
            return MarigoldchuteError(failure.message, ResultCode(failure.code))
        except (msgspec.DecodeError, ValueError):
            return self._not_a_node(response)

    def _not_a_node(self, response: httpcore.Response) -> PeerError:
        return PeerError(
            f"{self._address} answered {response.status}, but not as a node's "
            "administration API of this release does",
            ResultCode.PEER_PROTOCOL,
        )


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")
