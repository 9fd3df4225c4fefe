"""Transport of a link over trio's memory streams, for tests on a mock clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio
    from trio.testing import MemoryReceiveStream, MemorySendStream

    MemoryPairEnd = trio.StapledStream[MemorySendStream, MemoryReceiveStream]


class MemoryTransport:
    """Takes the place of ``TcpConn`` under a link."""

    def __init__(self, ours: MemoryPairEnd, theirs: MemoryPairEnd) -> None:
        self._stream = ours
        self._peer = theirs

    async def receive(self, limit: int) -> bytes:
        return bytes(await self._stream.receive_some(limit))

    async def send(self, data: bytes | bytearray) -> None:
        await self._stream.send_all(data)

    def send_now(self, data: bytes | bytearray | memoryview) -> int:
        self._peer.receive_stream.put_data(data)
        return len(data)

    def close(self) -> None:
        self._stream.send_stream.close()
        self._stream.receive_stream.close()
