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
    MethodNotAllowedError,
    UnknownPathError,
    http_status_of,
)
from marigoldchute.admin.messages import Failure, Health, RollRequest
from marigoldchute.admin.metrics import render_metrics
from marigoldchute.errors import AuthError, BundleError, MarigoldchuteError, ResultCode
from marigoldchute.events import wall_clock_ms
from marigoldchute.util.asgi import Receive, read_body, send_response, serve_lifespan

if TYPE_CHECKING:
    from marigoldchute.admin.service import AdminService
    from marigoldchute.util.asgi import Scope, Send

MAX_ROLL_REQUEST_BYTES = 64_000_000
MAX_AUTHOR_BYTES = 256
JSON_CONTENT_TYPE = "application/json"


@dataclasses.dataclass(frozen=True)
class ApiRequest:
    """One request to the API.

    Parameters
    ----------
    name : str
        Part of the path that follows the endpoint's prefix.
    receive : callable
        ASGI channel from which the body is received.
    """

    name: str
    receive: Receive


@dataclasses.dataclass(frozen=True)
class ApiResponse:
    """Encoded body of a response and its content type."""

    body: bytes
    content_type: str = JSON_CONTENT_TYPE


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One path of the API.

    Parameters
    ----------
    method : str
        The only HTTP method that the endpoint accepts.
    path : str
        Path of the endpoint, or prefix before the name when it ends in a slash.
    handler : callable
        Returns the response.
    public : bool
        Whether the endpoint can be used without a token.
    """

    method: str
    path: str
    handler: Callable[[ApiRequest], Awaitable[ApiResponse]]
    public: bool = False

    def matches(self, path: str) -> bool:
        """Return whether a path belongs to this endpoint."""
        if self.path.endswith("/"):
            return path.startswith(self.path) and len(path) > len(self.path)
        return path == self.path


class AdminApp:
    """Dispatches requests to the administration API to its service.

    Parameters
    ----------
    service : AdminService
        Implementation of the operations.
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
            response = await self._dispatch(scope, receive)
        except MarigoldchuteError as exc:
            failure = Failure(exc.code.value, exc.code.name, exc.message)
            body = msgspec.json.encode(failure)
            await send_response(
                send, http_status_of(exc), body, headers=_error_headers(exc)
            )
            return
        await send_response(send, 200, response.body, response.content_type)

    async def _dispatch(self, scope: Scope, receive: Receive) -> ApiResponse:
        endpoint = self._find_endpoint(scope["method"], scope["path"])
        if not endpoint.public:
            self._authenticate(scope)
        name = urllib.parse.unquote(scope["path"].removeprefix(endpoint.path))
        return await endpoint.handler(ApiRequest(name, receive))

    def _find_endpoint(self, method: str, path: str) -> Endpoint:
        endpoint = next((e for e in self.endpoints if e.matches(path)), None)
        if endpoint is None:
            raise UnknownPathError(f"{path} is not part of the API")
        if method != endpoint.method:
            raise MethodNotAllowedError(
                f"{path} accepts {endpoint.method} only", endpoint.method
            )
        return endpoint

    def _authenticate(self, scope: Scope) -> None:
        headers = dict(scope["headers"])
        credentials = headers.get(b"authorization", b"")
        if not credentials:
            raise AuthError("the admin token is missing")
        expected = f"Bearer {self._token}".encode()
        if not hmac.compare_digest(credentials, expected):
            raise AuthError("the admin token is invalid")

    async def _health(self, request: ApiRequest) -> ApiResponse:
        return _json_response(Health("ok"))

    async def _ready(self, request: ApiRequest) -> ApiResponse:
        return _json_response(self._service.ready())

    async def _status(self, request: ApiRequest) -> ApiResponse:
        return _json_response(await self._service.status())

    async def _in_force(self, request: ApiRequest) -> ApiResponse:
        return _json_response(self._service.bundle_in_force())

    async def _members(self, request: ApiRequest) -> ApiResponse:
        return _json_response((await self._service.status()).members)

    async def _moves(self, request: ApiRequest) -> ApiResponse:
        return _json_response((await self._service.status()).moves)

    async def _metrics(self, request: ApiRequest) -> ApiResponse:
        return ApiResponse(
            render_metrics(self._service.snapshot()), CONTENT_TYPE_LATEST
        )

    async def _stats(self, request: ApiRequest) -> ApiResponse:
        return _json_response(self._service.stats())

    async def _roll(self, request: ApiRequest) -> ApiResponse:
        return _json_response(
            await self._service.roll(await _read_roll_request(request.receive))
        )

    async def _verdict(self, request: ApiRequest) -> ApiResponse:
        return _json_response(await self._service.verdict(request.name))

    async def _cancel(self, request: ApiRequest) -> ApiResponse:
        author = await _read_author(request.receive)
        return _json_response(
            await self._service.cancel(request.name, author, wall_clock_ms())
        )


def _json_response(value: object) -> ApiResponse:
    return ApiResponse(msgspec.json.encode(value))


def _error_headers(exc: MarigoldchuteError) -> tuple[tuple[bytes, bytes], ...]:
    if isinstance(exc, MethodNotAllowedError):
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
        raise MarigoldchuteError("author contains characters that are not printable")
    return author or "unknown"


async def _read_roll_request(receive: Receive) -> RollRequest:
    body = await read_body(receive, MAX_ROLL_REQUEST_BYTES)
    if body is None:
        raise BundleError(
            f"roll request is larger than {MAX_ROLL_REQUEST_BYTES} bytes",
            ResultCode.BUNDLE_TOO_LARGE,
        )
    try:
        return msgspec.json.decode(body, type=RollRequest)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BundleError(f"roll request is malformed: {exc}") from exc
