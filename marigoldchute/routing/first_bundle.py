"""Requests that arrive while a new process has no bundle yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.routing.http_request import CallerGoneError

if TYPE_CHECKING:
    from marigoldchute.routing.http_request import HttpRequest


class FirstBundleWait:
    """Holds requests for the short time in which the first bundle is expected.

    The time counts from the first request that needed it, not for each request, so
    that requests are refused at once where no bundle comes.

    Parameters
    ----------
    limit_s : float
        Seconds after the first held request in which requests are held.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._until: float | None = None
        self._taken = trio.Event()

    def take_bundle(self) -> None:
        """Let the held requests go on."""
        self._taken.set()

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
        CallerGoneError
            The caller left meanwhile.
        """
        if self._until is None:
            self._until = now + self._limit_s
        if now >= self._until:
            return
        with trio.move_on_at(self._until) as scope:
            req.scope = scope
            await self._taken.wait()
        if req.caller_gone:
            raise CallerGoneError("caller closed the connection")
