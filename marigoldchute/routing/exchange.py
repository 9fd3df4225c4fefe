"""The caller's side of one try, as the owner of a backend server sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from marigoldchute.routing.messages import ENCODER, ResponseHead

if TYPE_CHECKING:
    from marigoldchute.link.stream import Stream


class Exchange(Protocol):
    """Gives the body of a request and takes its answer."""

    def take_whole_body(self) -> bytes | None:
        """Return the whole body if all of it has arrived, else None."""

    async def receive(self) -> bytes | None:
        """Return the next piece of the body, or None at its whole end.

        Raises
        ------
        MarigoldchuteError
            The body ends before its whole end.
        """

    async def send_whole(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole answer."""

    async def send_head(self, head: ResponseHead, body: bytes) -> None:
        """Send the head of an answer and the first piece of its body."""

    async def send(self, data: bytes) -> None:
        """Send a further piece of the body."""

    async def finish(self) -> None:
        """Say that the answer is whole."""


class StreamExchange:
    """Exchange with an entry node over a stream of a link."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self.started = False

    def take_whole_body(self) -> bytes | None:
        """Return the whole body if all of it has arrived, else None."""
        return self._stream.take_whole()

    async def receive(self) -> bytes | None:
        """Return the next piece of the body, or None at its whole end."""
        return await self._stream.receive()

    async def send_whole(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole answer."""
        self.started = True
        await self._stream.send_whole(ENCODER.encode(head), body)

    async def send_head(self, head: ResponseHead, body: bytes) -> None:
        """Send the head of an answer and the first piece of its body."""
        self.started = True
        self._stream.send_head(ENCODER.encode(head))
        await self._stream.send(body)

    async def send(self, data: bytes) -> None:
        """Send a further piece of the body."""
        await self._stream.send(data)

    async def finish(self) -> None:
        """Say that the answer is whole."""
        self._stream.send_end()
