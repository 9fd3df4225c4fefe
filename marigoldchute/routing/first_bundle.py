"""Handling of requests that arrive before the first bundle."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.routing.http_request import CallerDisconnectedError

if TYPE_CHECKING:
    from marigoldchute.routing.http_request import HttpRequest


class FirstBundleWait:
    """Holds requests for the short time in which the first bundle is expected.

    The time starts with the first request that needs the bundle, not with each
    request, so that later requests are refused at once if no bundle has arrived.

    Parameters
    ----------
    limit_s : float
        Seconds after the first held request for which requests are held.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._deadline: float | None = None
        self._bundle_received = trio.Event()

    def on_bundle(self) -> None:
        """Continue the held requests."""
        self._bundle_received.set()

    async def wait(self, req: HttpRequest, now: float) -> None:
        """Wait for the first bundle, or until it is no longer expected.

        Parameters
        ----------
        req : HttpRequest
            Request that needs the bundle.
        now : float
            Monotonic time in seconds.

        Raises
        ------
        CallerDisconnectedError
            The caller closed its connection meanwhile.
        """
        if self._deadline is None:
            self._deadline = now + self._limit_s
        if now >= self._deadline:
            return
        with trio.move_on_at(self._deadline) as scope:
            req.cancel_scope = scope
            await self._bundle_received.wait()
        if req.caller_disconnected:
            raise CallerDisconnectedError("caller closed the connection")
