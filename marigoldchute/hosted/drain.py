"""How a node leaves without cutting a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldchute.hosted.directory import Directory
    from marigoldchute.routing.http_server import HttpEdge
    from marigoldchute.routing.owner import Owner

CALLERS_ACCEPT_S = 2.6  # Readiness is polled once a second; two failures end new work.
CALLERS_QUIET_S = 0.4  # A draining node that was still used got 10 requests in 0.35 s.
ENTRY_RUN_S = 2.0  # Left of the grace for requests that callers sent last.
OWNER_RUN_S = 3.0  # Left for those that its backend server took last; uploads are long.
RESERVE_S = 0.7  # Left of the grace for the last messages.
POLL_S = 0.05


class NodeDrain:
    """Leaves in the order in which others can do without this node.

    The backend server of the VM stays when only the node stops. It is used until the
    callers have left, so that it is out of use only while its last requests end and
    the next process starts.

    Parameters
    ----------
    callers : HttpEdge
        Where callers connect.
    owner : Owner
        Owner side of the node.
    directory : Directory
        Members of the mesh.
    grace_s : float
        Seconds after the signal within which the process is to end.
    """

    def __init__(
        self, callers: HttpEdge, owner: Owner, directory: Directory, grace_s: float
    ) -> None:
        self._callers = callers
        self._owner = owner
        self._directory = directory
        self._grace_s = grace_s

    async def run(self, announce: Callable[[], Awaitable[None]]) -> None:
        """Leave; returns when the process may end.

        Parameters
        ----------
        announce : callable
            Sends the last messages to peers and the store, within half of the reserve.
        """
        started = trio.current_time()
        self._callers.drain()
        with trio.move_on_at(started + self._grace_s - RESERVE_S):
            await trio.sleep_until(started + CALLERS_ACCEPT_S)
            await self._wait_for_callers_to_leave(started, OWNER_RUN_S)
            self._directory.drain()
            self._owner.drain()
            await self._wait_for_callers_to_leave(started, ENTRY_RUN_S)
            self._callers.stop_accepting()
            while self._callers.is_busy or self._owner.running:
                await trio.sleep(POLL_S)
        with trio.move_on_after(RESERVE_S / 2):
            await announce()

    async def _wait_for_callers_to_leave(self, started: float, left_s: float) -> None:
        """Serve on while callers still come, as other nodes may be out as well."""
        last_s = self._grace_s - left_s
        while trio.current_time() < started + last_s:
            quiet_s = trio.current_time() - self._callers.last_request_at
            if quiet_s > CALLERS_QUIET_S:
                return
            await trio.sleep(POLL_S)
