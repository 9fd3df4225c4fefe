"""Owner side of the request path: the only way to the VM's backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import (
    MarigoldchuteError,
    NotRunError,
    PeerError,
    RequestError,
    ResultCode,
)
from marigoldchute.routing.backend_conn import BackendConnPool, BackendResponse
from marigoldchute.routing.messages import ENCODER, REQUEST_DECODER, ResponseHead

if TYPE_CHECKING:
    from marigoldchute.link.stream import Stream
    from marigoldchute.membership.model import BackendServer
    from marigoldchute.membership.service import Membership
    from marigoldchute.routing.messages import RequestHead


class Owner:
    """Runs requests on the backend servers of this VM within their slots."""

    def __init__(self, membership: Membership, address: str) -> None:
        self._membership = membership
        self._pool = BackendConnPool(address)
        self._running: dict[str, int] = {}

    async def serve(self, stream: Stream) -> None:
        """Serve one request of a peer."""
        head = REQUEST_DECODER.decode(stream.head)
        try:
            server = self._admit(head)
        except NotRunError as exc:
            stream.send_head(ENCODER.encode(ResponseHead(503, [], exc.code)))
            stream.send_end()
            return
        self._running[server.server_id] = self._running.get(server.server_id, 0) + 1
        try:
            with trio.move_on_after(head.remaining_ms / 1000) as scope:
                await self._run(head, server, stream)
            if scope.cancelled_caught:
                stream.reset(ResultCode.REQUEST_OUTCOME_UNKNOWN)
        except NotRunError as exc:
            stream.send_head(ENCODER.encode(ResponseHead(503, [], exc.code)))
            stream.send_end()
        except PeerError:
            pass
        except MarigoldchuteError as exc:
            stream.reset(exc.code)
        finally:
            self._running[server.server_id] -= 1

    def _admit(self, head: RequestHead) -> BackendServer:
        for server in self._membership.local.servers:
            if server.server_id == head.server_id:
                break
        else:
            raise NotRunError("backend server is not here")
        if server.draining:
            raise NotRunError("draining", ResultCode.REQUEST_NOT_RUN_DRAINING)
        if self._running.get(server.server_id, 0) >= server.slots:
            raise NotRunError("no slot", ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        return server

    async def _run(
        self, head: RequestHead, server: BackendServer, stream: Stream
    ) -> None:
        conn = await self._pool.take(server.port)
        try:
            await conn.send_request(head, None)
            response = BackendResponse(head.method == b"HEAD")
            async with trio.open_nursery() as nursery:
                if head.has_body:
                    nursery.start_soon(self._forward_body, head, stream, conn)
                await self._forward_answer(conn, response, stream)
                nursery.cancel_scope.cancel()
            conn.reusable = response.keep_alive
        except* RequestError as group:
            raise RequestError("backend server did not answer whole") from group
        finally:
            self._pool.give_back(server.port, conn)

    async def _forward_body(self, head: RequestHead, stream: Stream, conn) -> None:  # type: ignore[no-untyped-def]
        chunked = any(name == b"transfer-encoding" for name, _ in head.headers)
        while (data := await stream.receive()) is not None:
            await conn.send_body(
                b"%x\r\n%s\r\n" % (len(data), data) if chunked else data
            )
        if chunked:
            await conn.send_body(b"0\r\n\r\n")

    async def _forward_answer(self, conn, response, stream: Stream) -> None:  # type: ignore[no-untyped-def]
        while not response.has_head:
            await conn.read_more(response)
        head = ResponseHead(response.status, response.headers)
        stream.send_head(ENCODER.encode(head))
        while True:
            while response.chunks:
                await stream.send(response.chunks.popleft())
            if response.complete:
                break
            await conn.read_more(response)
        stream.send_end()
