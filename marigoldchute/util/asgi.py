"""Helpers for ASGI applications served by hypercorn on trio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import hypercorn.config
import hypercorn.trio
import trio

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

KEEP_ALIVE_S = 120


async def read_body(receive: Receive, limit: int) -> bytes | None:
    """Return the whole body of a request, or None if it exceeds ``limit`` bytes."""
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        if len(body) > limit:
            return None
        if not message.get("more_body"):
            return bytes(body)


async def send_response(
    send: Send,
    status: int,
    body: bytes,
    content_type: str = "application/json",
    headers: Iterable[tuple[bytes, bytes]] = (),
) -> None:
    """Send a complete response, with additional headers if given."""
    response_headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", str(len(body)).encode()),
        *headers,
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": response_headers}
    )
    await send({"type": "http.response.body", "body": body})


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Handle the events of the lifespan scope.

    Hypercorn on trio fails to start if the application returns from this scope, so
    this function never returns.
    """
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            await trio.sleep_forever()


async def serve_app(app: App, address: str, port: int) -> None:
    """Serve an ASGI application on an address and port until cancelled."""
    config = hypercorn.config.Config()
    config.bind = [f"{address}:{port}"]
    config.keep_alive_max_requests = 1_000_000_000
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.accesslog = None
    config.errorlog = None
    await hypercorn.trio.serve(app, config, mode="asgi")  # type: ignore[arg-type]
