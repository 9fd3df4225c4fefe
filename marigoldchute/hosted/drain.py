"""Graceful shutdown of a node without interrupting requests."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import trio

from marigoldchute.routing.stop_window import StopWindow

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldchute.hosted.directory import Directory
    from marigoldchute.routing.entry import Entry
    from marigoldchute.routing.http_server import HttpServer
    from marigoldchute.routing.owner import Owner

# Callers poll readiness once a second and stop sending after two failures.
MIN_ACCEPT_S = 2.6
# Callers are assumed to have left after this time without a request: a draining node
# that was still in use received 10 requests within 0.35 s.
CALLERS_IDLE_S = 0.4
# Part of the grace period kept for the last requests of callers.
ENTRY_RESERVE_S = 2.0
# Part of the grace period kept for the last requests of the backend server; uploads
# take long.
OWNER_RESERVE_S = 3.0
# Part of the grace period kept for the last messages and the end of the process.
ANNOUNCE_RESERVE_S = 0.7
# Part of that for the responses to requests that end with the drain.
LAST_RESPONSES_S = 0.15
# Part of that for the end of the process, which takes long where many processes share
# few processors.
EXIT_RESERVE_S = 0.35
# The last messages take a tenth of a second if the peers and the store respond.
ANNOUNCE_TIMEOUT_S = 0.35
POLL_INTERVAL_S = 0.05
# A poll that is later than this follows a pause of the process, in which requests may
# have arrived that are not read yet.
MAX_POLL_DELAY_S = 0.1


class DrainStage(enum.Enum):
    """Stage that a drain has reached; the value is the name of its log event.

    ``DRAINED`` means that nothing was in progress at the end, ``TIMED_OUT`` that
    something still was.
    """

    STARTED = "draining"
    SERVER_WITHDRAWN = "server_withdrawn"
    LISTENER_CLOSED = "listener_closed"
    DRAINED = "drained"
    TIMED_OUT = "drain_timed_out"


def _ignore(stage: DrainStage, elapsed_s: float) -> None:
    pass


class NodeDrain:
    """Drains a node in stages: readiness, backend server, caller connections.

    Each stage starts once the other nodes can do without what it withdraws. The
    backend server of the VM keeps running when only the node stops. It receives
    requests until the callers have left, so that it is unused only while its last
    requests end and the next node process starts.

    Callers may go on sending until the end, on connections that they keep and while
    other nodes are down as well. A request that may outlast the node is not taken.

    Parameters
    ----------
    callers : HttpServer
        HTTP server for callers.
    entry : Entry
        Entry side of the node, which takes the requests of callers.
    owner : Owner
        Owner side of the node, which runs requests on the backend server of this VM.
    directory : Directory
        Members of the mesh.
    grace_s : float
        Seconds between the stop signal and the latest end of the process.
    report : callable, optional
        Called when a stage is reached, with the seconds since the start of the drain.
    """

    def __init__(
        self,
        callers: HttpServer,
        entry: Entry,
        owner: Owner,
        directory: Directory,
        grace_s: float,
        report: Callable[[DrainStage, float], None] = _ignore,
    ) -> None:
        self._callers = callers
        self._entry = entry
        self._owner = owner
        self._directory = directory
        self._grace_s = grace_s
        self._report = report
        self._resumed_at = 0.0

    async def run(self, announce: Callable[[], Awaitable[None]]) -> None:
        """Drain the node and return when the process may end.

        Parameters
        ----------
        announce : callable
            Sends the last messages to peers and the store; it is cancelled after
            ``ANNOUNCE_TIMEOUT_S``, and ``EXIT_RESERVE_S`` before the end of the grace
            period.
        """
        started = trio.current_time()
        ends_at = started + self._grace_s - ANNOUNCE_RESERVE_S
        window = StopWindow(started + MIN_ACCEPT_S, ends_at)
        self._entry.stop_window = self._owner.stop_window = window
        self._callers.drain()
        self._callers.limit_requests(ends_at)
        self._report(DrainStage.STARTED, 0.0)
        with trio.move_on_at(ends_at) as scope:
            while trio.current_time() < started + MIN_ACCEPT_S:
                await self._wait_for_next_poll()
            await self._wait_for_callers_to_leave(started, OWNER_RESERVE_S)
            self._directory.drain()
            self._owner.drain()
            self._report_stage(DrainStage.SERVER_WITHDRAWN, started)
            await self._wait_for_callers_to_leave(started, ENTRY_RESERVE_S)
            # What still runs on the backend server may call others through this node.
            while self._owner.running:
                await trio.sleep(POLL_INTERVAL_S)
            self._callers.stop_accepting()
            self._report_stage(DrainStage.LISTENER_CLOSED, started)
            while self._callers.is_busy:
                await trio.sleep(POLL_INTERVAL_S)
        if scope.cancelled_caught:
            self._callers.stop_accepting()
            self._report_stage(DrainStage.TIMED_OUT, started)
            await self._wait_for_last_responses(ends_at + LAST_RESPONSES_S)
        # A stage that was late shortens the ones after it, not the reserve.
        latest_end = started + self._grace_s - EXIT_RESERVE_S
        announce_ends_at = trio.current_time() + ANNOUNCE_TIMEOUT_S
        with trio.move_on_at(min(announce_ends_at, latest_end)):
            await announce()
        if not scope.cancelled_caught:
            self._report_stage(DrainStage.DRAINED, started)

    async def _wait_for_last_responses(self, ends_at: float) -> None:
        with trio.move_on_at(ends_at):
            while self._callers.running:
                await trio.sleep(POLL_INTERVAL_S / 5)

    def _report_stage(self, stage: DrainStage, started: float) -> None:
        self._report(stage, trio.current_time() - started)

    async def _wait_for_callers_to_leave(
        self, started: float, reserve_s: float
    ) -> None:
        """Keep serving while callers still send, as other nodes may be down as well."""
        limit_s = self._grace_s - reserve_s
        while (now := trio.current_time()) < started + limit_s:
            last_sign_at = max(self._callers.last_request_at, self._resumed_at)
            if now - last_sign_at > CALLERS_IDLE_S:
                return
            await self._wait_for_next_poll()

    async def _wait_for_next_poll(self) -> None:
        due_at = trio.current_time() + POLL_INTERVAL_S
        await trio.sleep_until(due_at)
        now = trio.current_time()
        if now - due_at > MAX_POLL_DELAY_S:
            self._resumed_at = now
