"""Link transport over trio's memory streams, for tests with a mock clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio
    from trio.testing import MemoryReceiveStream, MemorySendStream

    MemoryStreamEnd = trio.StapledStream[MemorySendStream, MemoryReceiveStream]


class MemoryTransport:
    """Replaces ``TcpConn`` as the transport of a link."""

    def __init__(self, local_end: MemoryStreamEnd, peer_end: MemoryStreamEnd) -> None:
        self._local_end = local_end
        self._peer_end = peer_end

    async def receive(self, limit: int) -> bytes:
        return bytes(await self._local_end.receive_some(limit))

    async def send(self, data: bytes | bytearray) -> None:
        await self._local_end.send_all(data)

    def send_now(self, data: bytes | bytearray | memoryview) -> int:
        self._peer_end.receive_stream.put_data(data)
        return len(data)

    def close(self) -> None:
        self._local_end.send_stream.close()
        self._local_end.receive_stream.close()
