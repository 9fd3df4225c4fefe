"""Assembly and graceful shutdown of the request path of one node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import MarigoldchuteError, ResultCode
from marigoldchute.membership.announcement import ANNOUNCE_TARGET, handle_announcement
from marigoldchute.overlay.records import RecordKind
from marigoldchute.routing.choice import NearestLeastLoaded
from marigoldchute.routing.entry import Entry
from marigoldchute.routing.http_server import HttpServer
from marigoldchute.routing.owner import Owner
from marigoldchute.routing.stop_window import StopWindow

if TYPE_CHECKING:
    import random

    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.config import NodeSettings
    from marigoldchute.events import EventLog
    from marigoldchute.link.pool import LinkPool
    from marigoldchute.membership.service import Membership
    from marigoldchute.moves.engine import MoveEngine
    from marigoldchute.overlay.records import RecordTable
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder
    from marigoldchute.routing.outcomes import OutcomeSink
    from marigoldchute.util.clock import Clock

MAX_ANNOUNCEMENT_BYTES = 65_536
DRAIN_ACCEPT_S = 1.0
DRAIN_LIMIT_S = 30.0
DRAIN_POLL_INTERVAL_S = 0.02


class RequestPath:
    """Entry, owner and HTTP servers of one node.

    Parameters
    ----------
    cfg : NodeSettings
        Settings of the node.
    in_force : InForce
        Bundle in force.
    engine : MoveEngine
        Source of the split of each service between releases.
    membership : Membership
        Members of the mesh and announced backend servers.
    table : RecordTable
        Record table whose member records are watched.
    traffic : LinkPool
        Links to the owners.
    sink : OutcomeSink
        Receives the outcome of every attempt.
    log : EventLog
        Event log of the process.
    clock : Clock
        Wall clock of the process.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        in_force: InForce,
        engine: MoveEngine,
        membership: Membership,
        table: RecordTable,
        traffic: LinkPool,
        sink: OutcomeSink,
        log: EventLog,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._membership = membership
        self._log = log
        self._clock = clock
        self.owner = Owner(membership, cfg.address)
        chooser = NearestLeastLoaded(rng, self.owner.gate, cfg.region)
        self.entry = Entry(
            in_force,
            engine,
            membership,
            traffic,
            self.owner,
            chooser,
            sink,
            log,
            clock,
            rng,
        )
        self._caller_server = HttpServer(
            self.entry.handle_external, self._log_failure, self.entry.log_cut
        )
        self._internal_server = HttpServer(
            self._handle_internal, self._log_failure, self.entry.log_cut
        )
        membership.on_view_changed.append(self.entry.candidate_tables.mark_stale)
        table.subscribe(
            RecordKind.MEMBER, lambda record: self.entry.candidate_tables.mark_stale()
        )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve requests of callers and backend servers until cancelled."""
        cfg = self._cfg
        async with trio.open_nursery() as nursery:
            await nursery.start(self.owner.run)
            await nursery.start(
                self._internal_server.serve, cfg.address, cfg.internal_port
            )
            await nursery.start(self._caller_server.serve, cfg.address, cfg.caller_port)
            task_status.started()

    async def drain(self) -> None:
        """Stop without interrupting a request, within ``DRAIN_LIMIT_S``.

        Backend servers of this VM get no new requests from now on: requests that wait
        here or still arrive from other nodes are refused as not run and retried
        elsewhere. For ``DRAIN_ACCEPT_S`` callers are still served, by backend servers
        on other VMs.
        """
        started = trio.current_time()
        ends_at = started + DRAIN_LIMIT_S
        self.entry.stop_window = StopWindow(started + DRAIN_ACCEPT_S, ends_at)
        self.owner.drain()
        self._caller_server.drain()
        self._caller_server.limit_requests(ends_at)
        with trio.move_on_at(ends_at) as scope:
            await trio.sleep(DRAIN_ACCEPT_S)
            self._caller_server.stop_accepting()
            while self._caller_server.is_busy or self.owner.running:
                await trio.sleep(DRAIN_POLL_INTERVAL_S)
        if scope.cancelled_caught:
            self._log.emit(
                "routing",
                "drain-limit",
                f"{self.owner.running} requests still run at the drain limit.",
            )

    async def _handle_internal(
        self, req: HttpRequest, responder: HttpResponder
    ) -> None:
        if req.target != ANNOUNCE_TARGET:
            await self.entry.handle_internal(req, responder)
            return
        body = b""
        while (data := await req.receive()) is not None:
            body += data
            if len(body) > MAX_ANNOUNCEMENT_BYTES:
                return
        status, text = 204, b""
        try:
            handle_announcement(
                self._membership,
                body,
                responder.peer_address,
                self._clock.now_ms(),
                trio.current_time(),
            )
        except MarigoldchuteError as exc:
            foreign = exc.code is ResultCode.ANNOUNCEMENT_FOREIGN
            status, text = 403 if foreign else 400, f"{exc}\n".encode()
        await responder.start(
            status, [(b"content-length", str(len(text)).encode())], text
        )
        await responder.finish()

    def _log_failure(self, exc: Exception) -> None:
        self._log.emit(
            "routing", "failure", f"A request failed with an unexpected error: {exc!r}."
        )
