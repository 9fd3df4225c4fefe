"""ASGI application of the administration API."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.admin.messages import Failure, RollOrder
from marigoldchute.errors import (
    AuthError,
    BundleError,
    MarigoldchuteError,
    ResultCode,
)
from marigoldchute.events import wall_clock_ms
from marigoldchute.util.asgi import answer, read_body, serve_lifespan

if TYPE_CHECKING:
    from marigoldchute.admin.service import AdminService
    from marigoldchute.util.asgi import Receive, Scope, Send

MAX_ORDER_BYTES = 64_000_000


class AdminApp:
    """Routes the paths of the administration API to its service.

    Parameters
    ----------
    service : AdminService
        Operations.
    token : str
        Bearer token that operators must present.
    """

    def __init__(self, service: AdminService, token: str) -> None:
        self._service = service
        self._token = token

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_http(scope, receive, send)

    async def _serve_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        try:
            self._authenticate(scope)
            result = await self._dispatch(scope, receive)
        except MarigoldchuteError as exc:
            failure = Failure(exc.code.value, exc.code.name, exc.message)
            status = 401 if exc.code is ResultCode.AUTH_FAILED else 409
            await answer(send, status, msgspec.json.encode(failure))
            return
        await answer(send, 200, msgspec.json.encode(result))

    def _authenticate(self, scope: Scope) -> None:
        headers = dict(scope["headers"])
        given = headers.get(b"authorization", b"")
        wanted = f"Bearer {self._token}".encode()
        if not hmac.compare_digest(given, wanted):
            raise AuthError("the admin token is missing or wrong")

    async def _dispatch(self, scope: Scope, receive: Receive) -> object:
        method, path = scope["method"], scope["path"]
        if (method, path) == ("GET", "/v1/status"):
            return await self._service.status()
        if (method, path) == ("GET", "/v1/stats"):
            return self._service.stats()
        if (method, path) == ("POST", "/v1/bundles"):
            return await self._service.roll(await _read_order(receive))
        kind, _, name = path.removeprefix("/v1/").partition("/")
        if method == "GET" and kind == "verdicts":
            return await self._service.verdict(name)
        if method == "POST" and kind == "cancel":
            author = (await read_body(receive, 256) or b"").decode(errors="replace")
            return await self._service.cancel(name, author, wall_clock_ms())
        raise MarigoldchuteError(f"{method} {path} is not part of the API")


async def _read_order(receive: Receive) -> RollOrder:
    body = await read_body(receive, MAX_ORDER_BYTES)
    if body is None:
        raise BundleError("bundle is too large", ResultCode.BUNDLE_TOO_LARGE)
    try:
        return msgspec.json.decode(body, type=RollOrder)
    except msgspec.DecodeError as exc:
        raise BundleError(f"order is malformed: {exc}") from exc
