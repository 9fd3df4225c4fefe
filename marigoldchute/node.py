"""Node process: creates and runs the components of one mesh member."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.admin.app import AdminApp
from marigoldchute.admin.metrics import NodeCounts
from marigoldchute.admin.service import AdminService
from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.signing import SignatureVerifier
from marigoldchute.distribution.rollout import Rollout
from marigoldchute.distribution.service import Replicator
from marigoldchute.link.endpoint import LinkEndpoint
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.handshake import PeerIdentity
from marigoldchute.link.pool import LinkPool
from marigoldchute.link.stats import collect_stats
from marigoldchute.membership.exchange import ContactExchange
from marigoldchute.membership.probe import Prober
from marigoldchute.membership.seeds import SeedSlotManager
from marigoldchute.membership.service import Membership
from marigoldchute.membership.silence import SilenceDetector
from marigoldchute.moves.collector import Collector
from marigoldchute.moves.driver import Driver, VerdictReader
from marigoldchute.moves.engine import MoveEngine
from marigoldchute.moves.reporter import Reporter
from marigoldchute.objectstore.client import HttpObjectStore
from marigoldchute.overlay.duty_log import DutyLog
from marigoldchute.overlay.overlay import Overlay
from marigoldchute.overlay.records import RecordTable
from marigoldchute.routing.path import RequestPath
from marigoldchute.util.asgi import serve_app
from marigoldchute.util.clock import Clock

if TYPE_CHECKING:
    import random

    from marigoldchute.config import NodeSettings
    from marigoldchute.events import EventLog
    from marigoldchute.link.link import Link
    from marigoldchute.link.stats import NodeStats

CHECK_INTERVAL_S = 0.05
IDLE_CHECK_INTERVAL_S = 0.25
LEAVE_PROPAGATION_S = 0.05


class Node:
    """One node: a proxy, a mesh member, a replica of bundles and possibly a driver."""

    def __init__(self, cfg: NodeSettings, log: EventLog, rng: random.Random) -> None:
        self._cfg = cfg
        self._log = log
        self._started_at = 0.0
        self._clock = Clock(cfg.clock_offset_ms)
        incarnation = self._clock.now_ms()
        handlers = Handlers()
        self._record_table = RecordTable()
        self._in_force = InForce()
        self._membership = Membership(cfg, incarnation, self._record_table, log)
        self._endpoint = LinkEndpoint(
            PeerIdentity(cfg.name, incarnation, cfg.data_centre, cfg.region),
            cfg.address,
            tuple(s.encode() for s in (cfg.peer_secret, *cfg.accepted_peer_secrets)),
            handlers,
            log.clock,
            cfg.heartbeat_ms,
            self._handle_accepted_link,
        )
        self._overlay = Overlay(self._endpoint, handlers, self._record_table, rng)
        self._membership.on_new_incarnation.append(self._endpoint.begin_incarnation)
        address_of = self._membership.address_of
        self._control_pool = LinkPool(self._endpoint, "control-call", address_of)
        self._traffic_pool = LinkPool(self._endpoint, "traffic", address_of)
        store = HttpObjectStore(cfg.store, rng, cfg.address)
        self._exchange = ContactExchange(
            self._membership, self._overlay, store, handlers, log, rng
        )
        self._prober = Prober(
            self._membership, self._endpoint, self._overlay, handlers, rng
        )
        self._silence_detector = SilenceDetector(self._membership, store)
        self._seed_slot_manager = SeedSlotManager(
            self._membership, self._overlay, store, rng
        )
        verifier = SignatureVerifier(cfg.trusted_keys)
        self._replicator = Replicator(
            self._membership,
            self._overlay,
            self._record_table,
            store,
            verifier,
            self._in_force,
            handlers,
            log,
            rng,
            cfg.distribution,
        )
        self._engine = MoveEngine(
            self._in_force,
            self._membership,
            self._record_table,
            log,
            self._clock,
            cfg.clock_error_ms,
            cfg.move_evidence,
        )
        self._reporter = Reporter(
            self._membership,
            self._in_force,
            self._engine,
            Collector(self._membership, self._engine, handlers, self._clock),
            self._control_pool,
            self._clock,
            rng,
        )
        self._driver = Driver(
            self._membership,
            self._engine,
            self._reporter,
            store,
            self._clock,
            cfg.clock_error_ms,
        )
        self._membership.on_new_incarnation.append(
            lambda _: self._engine.on_new_incarnation()
        )
        self._verdict_reader = VerdictReader(
            self._engine, store, lambda: self._replicator.is_reader
        )
        self._request_path = RequestPath(
            cfg,
            self._in_force,
            self._engine,
            self._membership,
            self._record_table,
            self._traffic_pool,
            self._engine.recorder,
            log,
            self._clock,
            rng,
        )
        handlers.stream_handler = self._request_path.owner.serve
        service = AdminService(
            self._membership,
            self._in_force,
            self._replicator,
            self._engine,
            self._reporter,
            store,
            Rollout(
                store,
                verifier,
                self._in_force,
                self._replicator,
                self._engine.check_moves,
            ),
            self._collect_stats,
            lambda: self._collect_counts(store.calls),
        )
        self._duty_log = DutyLog(self._membership, self._membership.duties, log)
        self._admin = AdminApp(service, cfg.admin_token)

    async def run(self) -> None:
        """Run all components until cancelled."""
        cfg = self._cfg
        self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            await nursery.start(self._control_pool.run)
            await nursery.start(self._traffic_pool.run)
            await nursery.start(self._endpoint.serve, cfg.peer_port)
            nursery.start_soon(self._overlay.run, self._membership)
            nursery.start_soon(self._exchange.run)
            nursery.start_soon(self._prober.run)
            nursery.start_soon(self._silence_detector.run)
            nursery.start_soon(self._seed_slot_manager.run)
            nursery.start_soon(self._replicator.run)
            nursery.start_soon(self._reporter.run)
            nursery.start_soon(self._driver.run)
            nursery.start_soon(self._verdict_reader.run)
            nursery.start_soon(self._run_periodic_checks)
            nursery.start_soon(serve_app, self._admin, cfg.address, cfg.admin_port)
            await nursery.start(self._request_path.run)
            self._log.emit(
                "node", "started", f"{cfg.name} is serving on {cfg.address}."
            )

    async def drain(self) -> None:
        """Finish running requests, leave the mesh and return when the node may stop."""
        self._log.emit("node", "draining", f"{self._cfg.name} is draining.")
        self._membership.drain()
        await self._request_path.drain()
        self._membership.leave(self._clock.now_ms())
        await trio.sleep(LEAVE_PROPAGATION_S)
        await self._endpoint.flush()
        self._log.emit("node", "drained", f"{self._cfg.name} has drained.")

    def _collect_counts(self, store_calls: int) -> NodeCounts:
        entry = self._request_path.entry
        budget = entry.retry_budget
        return NodeCounts(
            store_calls,
            entry.metrics.snapshot(),
            {
                "requests": budget.requests,
                "retries": budget.retries,
                "refused_retries": budget.refused_retries,
                **self._request_path.owner.overload_counts(),
            },
        )

    def _collect_stats(self) -> NodeStats:
        uptime_s = trio.current_time() - self._started_at
        return collect_stats(self._endpoint, len(self._membership.all()), uptime_s)

    def _handle_accepted_link(self, link: Link) -> None:
        if link.purpose == "control":
            self._overlay.accept(link)

    async def _run_periodic_checks(self) -> None:
        while True:
            now = trio.current_time()
            self._membership.expire_announcements(now)
            self._membership.expire_tombstones(self._clock.now_ms())
            self._duty_log.check()
            if self._engine.advance(self._clock.now_ms()):
                self._reporter.request_report()
            await trio.sleep(
                CHECK_INTERVAL_S if self._engine.states() else IDLE_CHECK_INTERVAL_S
            )
