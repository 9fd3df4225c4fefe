"""ASGI application of the administration API."""

from __future__ import annotations

import dataclasses
import hmac
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import msgspec
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from marigoldchute.admin.http_status import (
    MethodError,
    UnknownPathError,
    http_status_of,
)
from marigoldchute.admin.messages import Failure, Health, RollOrder
from marigoldchute.admin.metrics import render_metrics
from marigoldchute.errors import AuthError, BundleError, MarigoldchuteError, ResultCode
from marigoldchute.events import wall_clock_ms
from marigoldchute.util.asgi import Receive, answer, read_body, serve_lifespan

if TYPE_CHECKING:
    from marigoldchute.admin.service import AdminService
    from marigoldchute.util.asgi import Scope, Send

MAX_ORDER_BYTES = 64_000_000
MAX_AUTHOR_BYTES = 256
JSON = "application/json"


@dataclasses.dataclass(frozen=True)
class Call:
    """One call of the API.

    Parameters
    ----------
    name : str
        Rest of the path after the endpoint's prefix.
    receive : callable
        ASGI channel of the body.
    """

    name: str
    receive: Receive


@dataclasses.dataclass(frozen=True)
class Reply:
    """Encoded answer."""

    body: bytes
    content_type: str = JSON


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One path of the API.

    Parameters
    ----------
    method : str
        The only method that it takes.
    path : str
        Path, or prefix of the name when it ends in a slash.
    serve : callable
        Returns the answer.
    public : bool
        Whether it needs no token.
    """

    method: str
    path: str
    serve: Callable[[Call], Awaitable[Reply]]
    public: bool = False

    def matches(self, path: str) -> bool:
        """Whether a path is this endpoint's."""
        if self.path.endswith("/"):
            return path.startswith(self.path) and len(path) > len(self.path)
        return path == self.path


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
        self.endpoints = (
            Endpoint("GET", "/v1/health", self._health, public=True),
            Endpoint("GET", "/v1/ready", self._ready, public=True),
            Endpoint("GET", "/v1/status", self._status),
            Endpoint("GET", "/v1/in-force", self._in_force),
            Endpoint("GET", "/v1/members", self._members),
            Endpoint("GET", "/v1/moves", self._moves),
            Endpoint("GET", "/v1/metrics", self._metrics),
            Endpoint("GET", "/v1/stats", self._stats),
            Endpoint("POST", "/v1/bundles", self._roll),
            Endpoint("GET", "/v1/verdicts/", self._verdict),
            Endpoint("POST", "/v1/cancel/", self._cancel),
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_http(scope, receive, send)

    async def _serve_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        try:
            reply = await self._dispatch(scope, receive)
        except MarigoldchuteError as exc:
            failure = Failure(exc.code.value, exc.code.name, exc.message)
            body = msgspec.json.encode(failure)
            await answer(send, http_status_of(exc), body, headers=_headers_of(exc))
            return
        await answer(send, 200, reply.body, reply.content_type)

    async def _dispatch(self, scope: Scope, receive: Receive) -> Reply:
        endpoint = self._find(scope["method"], scope["path"])
        if not endpoint.public:
            self._authenticate(scope)
        name = urllib.parse.unquote(scope["path"].removeprefix(endpoint.path))
        return await endpoint.serve(Call(name, receive))

    def _find(self, method: str, path: str) -> Endpoint:
        endpoint = next((e for e in self.endpoints if e.matches(path)), None)
        if endpoint is None:
            raise UnknownPathError(f"{path} is not part of the API")
        if method != endpoint.method:
            raise MethodError(f"{path} takes {endpoint.method} only", endpoint.method)
        return endpoint

    def _authenticate(self, scope: Scope) -> None:
        headers = dict(scope["headers"])
        given = headers.get(b"authorization", b"")
        if not given:
            raise AuthError("the admin token is missing")
        wanted = f"Bearer {self._token}".encode()
        if not hmac.compare_digest(given, wanted):
            raise AuthError("the admin token is wrong")

    async def _health(self, call: Call) -> Reply:
        return _json(Health("ok"))

    async def _ready(self, call: Call) -> Reply:
        return _json(self._service.ready())

    async def _status(self, call: Call) -> Reply:
        return _json(await self._service.status())

    async def _in_force(self, call: Call) -> Reply:
        return _json(self._service.bundle_in_force())

    async def _members(self, call: Call) -> Reply:
        return _json((await self._service.status()).members)

    async def _moves(self, call: Call) -> Reply:
        return _json((await self._service.status()).moves)

    async def _metrics(self, call: Call) -> Reply:
        return Reply(render_metrics(self._service.snapshot()), CONTENT_TYPE_LATEST)

    async def _stats(self, call: Call) -> Reply:
        return _json(self._service.stats())

    async def _roll(self, call: Call) -> Reply:
        return _json(await self._service.roll(await _read_order(call.receive)))

    async def _verdict(self, call: Call) -> Reply:
        return _json(await self._service.verdict(call.name))

    async def _cancel(self, call: Call) -> Reply:
        author = await _read_author(call.receive)
        return _json(await self._service.cancel(call.name, author, wall_clock_ms()))


def _json(value: object) -> Reply:
    return Reply(msgspec.json.encode(value))


def _headers_of(exc: MarigoldchuteError) -> tuple[tuple[bytes, bytes], ...]:
    if isinstance(exc, MethodError):
        return ((b"allow", exc.allowed.encode()),)
    if isinstance(exc, AuthError):
        return ((b"www-authenticate", b"Bearer"),)
    return ()


async def _read_author(receive: Receive) -> str:
    body = await read_body(receive, MAX_AUTHOR_BYTES)
    if body is None:
        raise MarigoldchuteError(f"author is longer than {MAX_AUTHOR_BYTES} bytes")
    try:
        author = body.decode().strip()
    except UnicodeDecodeError as exc:
        raise MarigoldchuteError("author is not UTF-8") from exc
    if not author.isprintable():
        raise MarigoldchuteError("author has characters that cannot be printed")
    return author or "unknown"


async def _read_order(receive: Receive) -> RollOrder:
    body = await read_body(receive, MAX_ORDER_BYTES)
    if body is None:
        raise BundleError(
            f"order is larger than {MAX_ORDER_BYTES} bytes", ResultCode.BUNDLE_TOO_LARGE
        )
    try:
        return msgspec.json.decode(body, type=RollOrder)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BundleError(f"order is malformed: {exc}") from exc
