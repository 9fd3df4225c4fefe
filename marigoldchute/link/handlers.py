"""Registry of the handlers for calls and streams of peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.link.link import Link
    from marigoldchute.link.stream import Stream

CallHandler = Callable[["Link", bytes], Awaitable[bytes]]
StreamHandler = Callable[["Stream"], Awaitable[None]]


class Handlers:
    """Handlers for the calls, notifications and streams of peers.

    Each component registers its methods under its own method numbers. A notification
    is a call whose result is discarded.

    Attributes
    ----------
    report_failure : callable
        Called with an exception that a handler must not raise; the message that caused
        it is refused and its link closed.
    """

    def __init__(self) -> None:
        self.report_failure: Callable[[Exception], None] = lambda exc: None
        self._calls: dict[int, CallHandler] = {}
        self.stream_handler: StreamHandler | None = None

    def register(self, method: int, handler: CallHandler) -> None:
        """Register the handler of a method number."""
        if method in self._calls:
            raise ValueError(f"method {method} is already registered")
        self._calls[method] = handler

    def find(self, method: int) -> CallHandler | None:
        """Return the handler of a method number, or None when there is none."""
        return self._calls.get(method)
