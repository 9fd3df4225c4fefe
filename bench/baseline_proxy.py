"""Minimal proxy on hypercorn and httpcore, the baseline for the request path."""

from __future__ import annotations

import sys

import httpcore
import trio

from marigoldchute.util.asgi import serve_app, serve_lifespan


class BaselineProxy:
    """Forwards each request to one backend server without routing or limits."""

    def __init__(self, origin: str) -> None:
        self._origin = origin
        self._pool = httpcore.AsyncConnectionPool(max_connections=100)

    async def __call__(self, scope, receive, send) -> None:
        if scope["type"] != "http":
            await serve_lifespan(receive, send)
            return
        message = await receive()
        response = await self._pool.request(
            scope["method"],
            f"{self._origin}{scope['path']}",
            headers=[pair for pair in scope["headers"] if pair[0] != b"connection"],
            content=message.get("body", b""),
        )
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": [(name.lower(), value) for name, value in response.headers],
            }
        )
        await send({"type": "http.response.body", "body": response.content})


if __name__ == "__main__":
    listen_address, listen_port, backend_origin = sys.argv[1:]
    trio.run(serve_app, BaselineProxy(backend_origin), listen_address, int(listen_port))
