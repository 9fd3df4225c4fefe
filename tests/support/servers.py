"""Scripted TCP servers inside the test process and helpers that read connections."""

from __future__ import annotations

import contextlib
import functools
from typing import TYPE_CHECKING

import trio

from marigoldchute.standins.loopback import LoopbackBlock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

PORT = 9100


@contextlib.asynccontextmanager
async def serve_script(
    script: Callable[[trio.SocketStream], Awaitable[None]],
) -> AsyncIterator[str]:
    """Serve each connection with a script; yield the address of the server."""
    block = LoopbackBlock()
    address = f"127.{block.number}.1.1"

    async def serve(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await script(stream)
        await trio.aclose_forcefully(stream)

    try:
        async with trio.open_nursery() as nursery:
            start = functools.partial(trio.serve_tcp, host=address)
            await nursery.start(start, serve, PORT)
            yield address
            nursery.cancel_scope.cancel()
    finally:
        block.release()


async def read_request(stream: trio.SocketStream) -> bytes:
    """Read one request, with its body if it has a length; empty at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = await stream.receive_some(65_536)
        if not piece:
            return b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += await stream.receive_some(65_536)
    return head + b"\r\n\r\n" + body


async def read_all(stream: trio.SocketStream) -> bytes:
    """Read until the peer closes the connection.

    Raises
    ------
    trio.BrokenResourceError
        The connection was reset.
    """
    data = b""
    while piece := await stream.receive_some(65_536):
        data += piece
    return data
