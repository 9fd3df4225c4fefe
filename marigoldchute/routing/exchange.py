"""Interface through which an owner reads a request and writes its response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, runtime_checkable

from marigoldchute.routing.cut import CutCause, cause_of_reset
from marigoldchute.routing.messages import ENCODER, ResponseHead

if TYPE_CHECKING:
    from marigoldchute.link.stream import Stream


class Exchange(Protocol):
    """Provides the body of a request and receives its response."""

    def pop_complete_body(self) -> bytes | None:
        """Return the complete body if all of it has arrived, else None."""

    async def receive(self) -> bytes | None:
        """Return the next piece of the body, or None after the last one.

        Raises
        ------
        MarigoldchuteError
            The body ends before it is complete.
        """

    async def send_complete(self, head: ResponseHead, body: bytes) -> None:
        """Send a complete response."""

    async def send_head(self, head: ResponseHead, body: bytes) -> None:
        """Send the head of a response and the first piece of its body."""

    async def send(self, data: bytes) -> None:
        """Send another piece of the body."""

    async def finish(self) -> None:
        """Mark the response as complete."""


@runtime_checkable
class AbandonSource(Protocol):
    """Exchange that knows why its request was cancelled."""

    def abandon_cause(self, now: float) -> CutCause | None:
        """Return why the request was cancelled, or None when the process ends."""


class StreamExchange:
    """Exchange with an entry node over a stream of a link.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds at which the request is cancelled.
    """

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self.started = False
        self.deadline = 0.0

    def abandon_cause(self, now: float) -> CutCause | None:
        """Return why the request was cancelled, or None when the process ends."""
        code = self._stream.error_code
        if code is not None:
            return cause_of_reset(code)
        return CutCause.DEADLINE if now >= self.deadline else None

    def pop_complete_body(self) -> bytes | None:
        """Return the complete body if all of it has arrived, else None."""
        return self._stream.pop_complete_data()

    async def receive(self) -> bytes | None:
        """Return the next piece of the body, or None after the last one."""
        return await self._stream.receive()

    async def send_complete(self, head: ResponseHead, body: bytes) -> None:
        """Send a complete response."""
        self.started = True
        await self._stream.send_complete(ENCODER.encode(head), body)

    async def send_head(self, head: ResponseHead, body: bytes) -> None:
        """Send the head of a response and the first piece of its body."""
        self.started = True
        self._stream.send_head(ENCODER.encode(head))
        await self._stream.send(body)

    async def send(self, data: bytes) -> None:
        """Send another piece of the body."""
        await self._stream.send(data)

    async def finish(self) -> None:
        """Mark the response as complete."""
        self._stream.send_end()
