"""What a node does with calls and streams of its peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.link.link import Link
    from marigoldchute.link.stream import Stream

CallHandler = Callable[["Link", bytes], Awaitable[bytes]]
StreamHandler = Callable[["Stream"], Awaitable[None]]


class Handlers:
    """What a node does with calls, notifications and streams of its peers.

    Each slice registers its methods under numbers of its own; a notification is a
    call whose result is dropped.
    """

    def __init__(self) -> None:
        self._calls: dict[int, CallHandler] = {}
        self.stream: StreamHandler | None = None

    def register(self, method: int, handler: CallHandler) -> None:
        """Serve a method number with a handler."""
        if method in self._calls:
            raise ValueError(f"method {method} is registered twice")
        self._calls[method] = handler

    def find(self, method: int) -> CallHandler | None:
        """Return the handler of a method number."""
        return self._calls.get(method)
