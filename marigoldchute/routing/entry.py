"""Entry side of the request path: from a caller to the node of a backend server."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import (
    AuthError,
    NotRunError,
    PeerError,
    RequestError,
    ResultCode,
)
from marigoldchute.routing.backend_conn import HOP_HEADERS
from marigoldchute.routing.messages import (
    ENCODER,
    RESPONSE_DECODER,
    RequestHead,
    ResponseHead,
)

if TYPE_CHECKING:
    import random

    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.bundle.model import Bundle, Route, Service
    from marigoldchute.link.pool import LinkPool
    from marigoldchute.link.stream import Stream
    from marigoldchute.membership.model import BackendServer, Member
    from marigoldchute.membership.service import Membership
    from marigoldchute.moves.engine import MoveEngine
    from marigoldchute.routing.http_server import HttpRequest, HttpResponder

DEADLINE_HEADER = b"marigoldchute-deadline-ms"
CODE_HEADER = b"marigoldchute-code"
OUTCOME_HEADER = b"marigoldchute-outcome"


class Entry:
    """Routes callers' requests by the bundle in force."""

    def __init__(
        self,
        in_force: InForce,
        engine: MoveEngine,
        membership: Membership,
        traffic: LinkPool,
        rng: random.Random,
    ) -> None:
        self._in_force = in_force
        self._engine = engine
        self._membership = membership
        self._traffic = traffic
        self._rng = rng

    async def handle_external(self, req: HttpRequest, responder: HttpResponder) -> None:
        """Answer a request from a caller outside the mesh."""
        await self._handle(req, responder, False)

    async def handle_internal(self, req: HttpRequest, responder: HttpResponder) -> None:
        """Answer a request from a backend server on this VM."""
        await self._handle(req, responder, True)

    async def _handle(
        self, req: HttpRequest, responder: HttpResponder, internal: bool
    ) -> None:
        try:
            await self._forward(req, responder, internal)
        except (RequestError, PeerError) as exc:
            if not responder.started:
                await _refuse(responder, exc)

    async def _forward(
        self, req: HttpRequest, responder: HttpResponder, internal: bool
    ) -> None:
        route, service = self._find_route(req.target, internal)
        split = self._engine.split(service.name, service.release)
        new = self._rng.random() < split.share
        release = split.new_release if new else split.old_release
        member, server = self._choose(service.name, release)
        head = _request_head(req, route, service, release, server)
        try:
            link = await self._traffic.get(member.name)
        except (PeerError, AuthError) as exc:
            raise NotRunError(f"{member.name} cannot be reached") from exc
        stream = link.open_stream(ENCODER.encode(head))
        try:
            with trio.fail_after(head.remaining_ms / 1000):
                await self._exchange(req, responder, stream)
        except trio.TooSlowError as exc:
            stream.reset(ResultCode.REQUEST_NOT_RUN_DEADLINE)
            raise RequestError("no answer before the deadline") from exc
        except BaseException:
            stream.reset(ResultCode.REQUEST_OUTCOME_UNKNOWN)
            raise
        finally:
            link.forget_stream(stream)

    async def _exchange(
        self, req: HttpRequest, responder: HttpResponder, stream: Stream
    ) -> None:
        while req.has_body and (data := await req.receive()) is not None:
            await stream.send(data)
        stream.send_end()
        answer = RESPONSE_DECODER.decode(await stream.receive_head())
        if answer.code:
            raise NotRunError("refused by the owner", ResultCode(answer.code))
        await _copy_answer(responder, stream, answer)

    def _find_route(self, target: bytes, internal: bool) -> tuple[Route, Service]:
        bundle = self._in_force.bundle
        if bundle is None:
            raise NotRunError(
                "no bundle in force", ResultCode.REQUEST_NOT_RUN_NO_BUNDLE
            )
        route = _longest_match(bundle, target.decode("latin-1"))
        service = next(s for s in bundle.content.services if s.name == route.service)
        if service.internal and not internal:
            raise NotRunError(
                f"service {service.name!r} is internal",
                ResultCode.REQUEST_NOT_RUN_INTERNAL_ONLY,
            )
        return route, service

    def _choose(self, service: str, release: str) -> tuple[Member, BackendServer]:
        candidates = [
            (member, server)
            for member in self._membership.all()
            if member.usable
            for server in member.servers
            if server.service == service
            and server.release == release
            and not server.draining
        ]
        if not candidates:
            raise NotRunError(f"no backend server of {service!r} release {release!r}")
        local = self._membership.local.data_centre
        near = [pair for pair in candidates if pair[0].data_centre == local]
        return self._rng.choice(near or candidates)


def _longest_match(bundle: Bundle, path: str) -> Route:
    matches = [r for r in bundle.content.routes if path.startswith(r.path_prefix)]
    if not matches:
        raise NotRunError("no route", ResultCode.REQUEST_NOT_RUN_NO_ROUTE)
    return max(matches, key=lambda route: len(route.path_prefix))


def _request_head(
    req: HttpRequest,
    route: Route,
    service: Service,
    release: str,
    server: BackendServer,
) -> RequestHead:
    given = req.header(DEADLINE_HEADER)
    remaining_ms = route.timeout_ms
    if given is not None and given.isdigit():
        remaining_ms = min(remaining_ms, int(given))
    keep = [
        (name, value)
        for name, value in req.headers
        if name not in HOP_HEADERS and name != DEADLINE_HEADER
    ]
    if req.has_body and req.header(b"content-length") is None:
        keep.append((b"transfer-encoding", b"chunked"))
    return RequestHead(
        request_id=secrets.token_hex(8),
        route=route.name,
        service=service.name,
        release=release,
        server_id=server.server_id,
        method=req.method,
        target=req.target,
        headers=keep,
        remaining_ms=remaining_ms,
        priority=route.priority,
        has_body=req.has_body,
    )


async def _copy_answer(
    responder: HttpResponder, stream: Stream, answer: ResponseHead
) -> None:
    first = await stream.receive()
    await responder.start(answer.status, answer.headers, first or b"")
    if first is not None:
        while (data := await stream.receive()) is not None:
            await responder.send(data)
    await responder.finish()


async def _refuse(responder: HttpResponder, exc: RequestError | PeerError) -> None:
    not_run = isinstance(exc, NotRunError)
    status = 503 if not_run else 502
    if exc.code is ResultCode.REQUEST_NOT_RUN_NO_ROUTE:
        status = 404
    elif exc.code is ResultCode.REQUEST_NOT_RUN_INTERNAL_ONLY:
        status = 403
    body = f"{exc}\n".encode()
    headers = [
        (b"content-type", b"text/plain"),
        (b"content-length", str(len(body)).encode()),
        (CODE_HEADER, str(exc.code.value).encode()),
        (OUTCOME_HEADER, b"not-run" if not_run else b"unknown"),
    ]
    await responder.start(status, headers, body)
    await responder.finish()
