"""Assembly of the components of a hosted node."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, Any, Protocol

import trio

from marigoldchute.bundle.inforce import InForce
from marigoldchute.hosted.bundle_topic import BundleTopic
from marigoldchute.hosted.catalog import Catalog
from marigoldchute.hosted.directory import Directory
from marigoldchute.hosted.discovery import Discovery
from marigoldchute.hosted.drain import DrainStage, NodeDrain
from marigoldchute.hosted.evacuation import EvacuationBook, EvacuationTopic
from marigoldchute.hosted.metrics import MetricsPage, count_states
from marigoldchute.hosted.reader import StoreReader
from marigoldchute.hosted.reader_duty import ReaderDuty
from marigoldchute.hosted.record_checks import register_checks
from marigoldchute.hosted.registry import MAX_MISSED_REPORTS, LocalRegistry
from marigoldchute.hosted.rejections import Rejections
from marigoldchute.hosted.relay import BundleRelay
from marigoldchute.hosted.run_exchange import RunExchange
from marigoldchute.hosted.settings import Endpoint
from marigoldchute.link.endpoint import LinkEndpoint
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.handshake import PeerIdentity
from marigoldchute.link.pool import LinkPool
from marigoldchute.link.stats import collect_stats
from marigoldchute.membership.model import Member
from marigoldchute.orders.book import OrderBook
from marigoldchute.orders.driver import OrderDriver
from marigoldchute.orders.outcomes import OutcomeCounter
from marigoldchute.overlay.overlay import Overlay
from marigoldchute.overlay.records import RecordKind, RecordTable
from marigoldchute.quota.limiter import QuotaLimiter
from marigoldchute.quota.limits import QuotaBound
from marigoldchute.quota.service import QuotaService
from marigoldchute.routing.access import AccessControl, IdentitySource, KeyFault
from marigoldchute.routing.budget import WindowRetryBudget
from marigoldchute.routing.cut import CutCause
from marigoldchute.routing.entry import Entry
from marigoldchute.routing.http_server import MAX_CALLER_CONNECTIONS, HttpServer
from marigoldchute.routing.least_time import LeastExpectedTime
from marigoldchute.routing.memory_budget import MemoryBudget, budget_bytes
from marigoldchute.routing.memory_log import MemoryLog
from marigoldchute.routing.owner import Owner
from marigoldchute.routing.policy import PathPolicy
from marigoldchute.routing.request_log import RequestLog
from marigoldchute.routing.warmup import make_rate
from marigoldchute.util.clock import Clock

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from marigoldchute.admin.metrics import NodeSnapshot
    from marigoldchute.bundle.model import Bundle
    from marigoldchute.events import EventLog
    from marigoldchute.hosted.bundle_topic import BundleApi
    from marigoldchute.hosted.evacuation import EvacuationApi
    from marigoldchute.hosted.node_entry import Leave
    from marigoldchute.hosted.reader import Topic
    from marigoldchute.hosted.settings import HostedSettings
    from marigoldchute.link.link import Link
    from marigoldchute.objectstore.documents import DocumentStore
    from marigoldchute.orders.driver import OrderApi
    from marigoldchute.routing.dialect import Dialect
    from marigoldchute.routing.http_server import RequestHandler
    from marigoldchute.routing.warmup import WarmupRate

# Only nodes share the network of a hosted mesh. The fixed secret only tells it apart
# from a mesh with a configured secret.
MESH_SECRET = b"marigoldchute hosted mesh"
LINK_HEARTBEAT_MS = 500  # A link is closed after three missed heartbeats, 1.5 s.
MAX_BUFFERED_RESPONSE_BYTES = 262_144
# Descriptors for links to all nodes, the backend server, the store and files; the
# largest mesh has 874 nodes, and a node has links to a few dozen of them.
RESERVED_DESCRIPTORS = 1_024
# At the control, readiness and metrics addresses each, which the backend server and the
# platform use with a few connections.
MAX_LOCAL_CONNECTIONS = 128
EXPIRY_CHECK_INTERVAL_S = 0.25
LEAVE_PROPAGATION_S = 0.05
LOOPBACK_ADDRESS = "127.0.0.1"
PEERS_TIMEOUT_S = 1.5
# A few round trips between regions: opening a link, comparison and difference.
PEERS_SYNC_S = 0.4
# After the loss of all nodes the first bundle arrives 0.3 to 0.6 s after the start.
FIRST_BUNDLE_WAIT_S = 0.7
POLICY = PathPolicy(
    adaptive_limit=False,
    max_buffered_response_bytes=MAX_BUFFERED_RESPONSE_BYTES,
    retry_errors=True,
    boost_rare_routes=True,
    first_bundle_wait_s=FIRST_BUNDLE_WAIT_S,
)


_STAGE_TEXTS = {
    DrainStage.STARTED: "is draining",
    DrainStage.SERVER_WITHDRAWN: "has withdrawn its backend server",
    DrainStage.LISTENER_CLOSED: "accepts no more connections",
    DrainStage.DRAINED: "has drained",
    DrainStage.TIMED_OUT: "has not drained within the grace period",
}


def _connection_limit(max_descriptors: int) -> int:
    """Return the number of callers' connections that may be open."""
    if not max_descriptors:
        return MAX_CALLER_CONNECTIONS
    free = max_descriptors - RESERVED_DESCRIPTORS
    return min(MAX_CALLER_CONNECTIONS, max(max_descriptors // 2, free))


class HostAdapter(Protocol):
    """Interface to the platform that hosts a mesh."""

    @property
    def dialect(self) -> Dialect:
        """Header names used by callers and backend servers."""

    @property
    def bundles(self) -> BundleApi:
        """Access to the bundle in the store."""

    @property
    def orders(self) -> OrderApi:
        """Access to the orders in the store."""

    @property
    def evacuations(self) -> EvacuationApi:
        """Access to the evacuations in the store."""

    @property
    def store(self) -> DocumentStore:
        """The platform's store."""

    def control_handlers(
        self,
        registry: LocalRegistry,
        backend: Callable[[], Endpoint],
        is_ready: Callable[[], bool],
        clock: Clock,
        store_leave: Callable[[Leave], Awaitable[bool]],
    ) -> tuple[RequestHandler, RequestHandler]:
        """Return the request handlers of the control and readiness addresses."""


def _keep_settings() -> None:
    pass


class HostedNode:
    """One node process: proxy, member, relay and possibly reader and driver.

    Parameters
    ----------
    cfg : HostedSettings
        Settings of the node.
    adapter : HostAdapter
        Interface to the platform.
    log : EventLog
        Event log of the process.
    rng : random.Random
        Source of random choices and jitter.

    Attributes
    ----------
    refresh_settings : callable
        Calls ``reload`` if the settings have changed; called before each use of what
        they say of the backend server beside this node.
    """

    def __init__(
        self,
        cfg: HostedSettings,
        adapter: HostAdapter,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self.refresh_settings: Callable[[], None] = _keep_settings
        self._log = log
        self._clock = Clock()
        self._draining = False
        self._drain_started_at: float | None = None
        self._started_at = 0.0
        self._store = adapter.store
        now_ms = self._clock.now_ms()
        handlers = Handlers()
        handlers.report_failure = self._log_failure
        table = RecordTable()
        register_checks(table)
        self._in_force = InForce()
        local = Member(
            cfg.name,
            now_ms,
            0,
            cfg.address,
            cfg.peer_port,
            cfg.data_centre,
            cfg.region,
            link_mbps=cfg.link_mbps,
        )
        self.directory = Directory(local, table, log)
        self._link_endpoint = LinkEndpoint(
            PeerIdentity(cfg.name, now_ms, cfg.data_centre, cfg.region),
            cfg.address,
            (MESH_SECRET,),
            handlers,
            log.clock,
            LINK_HEARTBEAT_MS,
            self._handle_accepted_link,
        )
        self._overlay = Overlay(self._link_endpoint, handlers, table, rng)
        address_of = self.directory.address_of
        shared_link = self._overlay.link_to
        self._control_pool = LinkPool(
            self._link_endpoint, "control-call", address_of, shared_link
        )
        self._traffic_pool = LinkPool(
            self._link_endpoint, "traffic", address_of, shared_link
        )
        self._registry = LocalRegistry(
            cfg.name,
            table,
            self.directory.publish_servers,
            log,
            MAX_MISSED_REPORTS * cfg.report_interval_ms / 1000,
            awaits_leaves=True,
        )
        self._registry.max_connections = self._max_connections
        self._warmup_rates: dict[str, WarmupRate] = {}
        self._rejections = Rejections()
        self._catalog = Catalog(self._in_force, log)
        self._relay = BundleRelay(
            self._catalog, self._overlay, handlers, log, rng, cfg.link_mbps
        )
        self._reader_duty = ReaderDuty(self.directory)
        self._order_book = OrderBook(self.directory, table, log)
        outcome_counter = OutcomeCounter(self._order_book)
        self._driver = OrderDriver(
            adapter.orders,
            self._order_book,
            outcome_counter,
            self.directory,
            self._reader_duty,
            self._control_pool,
            handlers,
            self._rejections,
            log,
        )
        bundles = BundleTopic(adapter.bundles, self._catalog, self._rejections, log)
        # Without the orders a bundle does not tell which release to serve.
        topics: list[Topic] = [self._driver, bundles]
        self._evacuations = EvacuationBook(table, log, cfg.bounds.evacuation_s > 0)
        if cfg.bounds.evacuation_s > 0:
            # A node that has just started must know them before it sends requests.
            topics.insert(
                0,
                EvacuationTopic(
                    adapter.evacuations, self._evacuations, self._rejections, log
                ),
            )
        self._reader = StoreReader(
            adapter.store, topics, self._reader_duty, self._overlay, handlers, log, rng
        )
        self._driver.reader = self._reader
        self._discovery = Discovery(
            adapter.store, self.directory, self._rejections, log, rng
        )
        entry = self._discovery.entry
        entry.on_loaded = self._registry.restore_leaves
        adapter.store.on_restored.append(entry.handle_restored)
        self._owner = Owner(
            self.directory,
            cfg.address,
            adapter.dialect,
            POLICY,
            RequestLog(log),
            cfg.report_interval_ms / 1000,
            self._warmup_rate,
        )
        self._registry.on_report = self._owner.record_report
        self._registry.limits_warmup = self._warmup_rates.__contains__
        self._run_exchange = RunExchange(
            self._owner.running_requests,
            self.directory,
            self._control_pool,
            handlers,
            log,
            now_ms,
        )
        bounds = cfg.bounds
        self._limiter = QuotaLimiter(rng, bounds.quota_window_s)
        self._quota = QuotaService(
            self._limiter,
            QuotaBound(
                bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack
            ),
            self.directory,
            self._control_pool,
            handlers,
            log,
        )
        self.entry = Entry(
            self._in_force,
            self._order_book,
            self.directory,
            self._traffic_pool,
            self._owner,
            LeastExpectedTime(rng),
            outcome_counter,
            log,
            self._clock,
            rng,
            adapter.dialect,
            POLICY,
            WindowRetryBudget(
                bounds.retry_share,
                bounds.retry_slack,
                bounds.retry_window_s,
                lambda: len(self.directory.reachable()),
            ),
            lambda: self._current_settings().service,
            self._evacuations,
            AccessControl(adapter.dialect, log, self._is_own_address),
            self._limiter,
        )
        self._evacuations.on_change.append(self._apply_evacuations)
        handlers.stream_handler = self._owner.serve
        control, readiness = adapter.control_handlers(
            self._registry,
            lambda: self._current_settings().backend,
            self.is_ready,
            self._clock,
            entry.store_leave,
        )
        metrics_page = MetricsPage(self._metrics_snapshot)
        self._memory = MemoryBudget(budget_bytes(cfg.memory_mb))
        MemoryLog(log, self._memory, trio.current_time)
        self._caller_http_server = HttpServer(
            self.entry.handle_external,
            self._log_failure,
            self.entry.log_cut,
            self._memory,
            _connection_limit(cfg.max_descriptors),
        )
        self._metrics_http_server = self._make_local_server(metrics_page.handle)
        self._control_http_server = self._make_local_server(control)
        self._readiness_http_server = self._make_local_server(readiness)
        self._in_force.add_swap_listener(self._apply_bundle)
        self._in_force.add_swap_listener(self._quota.on_bundle)
        self._in_force.add_swap_listener(self._run_exchange.on_bundle)
        self.directory.on_view_changed += [
            self.entry.candidate_tables.mark_stale,
            self._order_book.refresh,
        ]
        table.subscribe(RecordKind.MEMBER, lambda record: self._order_book.refresh())

    def _make_local_server(self, handler: RequestHandler) -> HttpServer:
        return HttpServer(
            handler,
            self._log_failure,
            memory=self._memory,
            connection_limit=MAX_LOCAL_CONNECTIONS,
        )

    def is_ready(self) -> bool:
        """Return whether this node is ready for requests of callers."""
        return (
            self._in_force.bundle is not None
            and not self._draining
            and self._evacuations.is_known
        )

    def _current_settings(self) -> HostedSettings:
        self.refresh_settings()
        return self._cfg

    def reload(self, cfg: HostedSettings) -> None:
        """Apply settings that changed while the node runs.

        Listen addresses cannot change.
        """
        if cfg == self._cfg:
            return
        self._cfg = dataclasses.replace(
            self._cfg, service=cfg.service, backend=cfg.backend, bounds=cfg.bounds
        )
        self._log.emit(
            "node",
            "reloaded",
            "Changed settings were applied.",
            service=self._cfg.service,
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        cfg = self._cfg
        self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            await nursery.start(self._owner.run)
            await nursery.start(self._serve, self._control_http_server, cfg.control)
            await nursery.start(self._control_pool.run)
            await nursery.start(self._traffic_pool.run)
            await nursery.start(self._link_endpoint.serve, cfg.peer_port)
            nursery.start_soon(self._overlay.run, self.directory)
            nursery.start_soon(self._discovery.run)
            nursery.start_soon(self._relay.run)
            nursery.start_soon(self._quota.run)
            nursery.start_soon(self._run_exchange.run)
            nursery.start_soon(self._expire_servers)
            await nursery.start(self._serve, self._caller_http_server, cfg.callers)
            await nursery.start(self._serve, self._readiness_http_server, cfg.readiness)
            await nursery.start(
                self._serve,
                self._metrics_http_server,
                Endpoint(cfg.address, cfg.metrics_port),
            )
            nursery.start_soon(self._driver.run)
            self._log.emit(
                "node", "started", f"{cfg.name} is serving on {cfg.address}."
            )
            await self._wait_for_peers()
            self._reader_duty.start_timeout(trio.current_time())
            await self._reader.run()

    async def _wait_for_peers(self) -> None:
        """Give peers time to send their records and bundle before reading the store."""
        with trio.move_on_after(PEERS_TIMEOUT_S):
            await self._discovery.first_list_done.wait()
            await trio.sleep(PEERS_SYNC_S)

    async def drain(self) -> None:
        """Drain without interrupting requests and return when the process may end."""
        self._draining = True
        self._drain_started_at = trio.current_time()
        drain = NodeDrain(
            self._caller_http_server,
            self.entry,
            self._owner,
            self.directory,
            self._cfg.bounds.grace_s,
            self._log_drain_stage,
        )
        await drain.run(self._announce_leave)
        # What still runs is cut when the process ends.
        self._caller_http_server.stop_cause = CutCause.DRAIN_TIMEOUT
        self._owner.stop_cause = CutCause.DRAIN_TIMEOUT

    def _log_drain_stage(self, stage: DrainStage, elapsed_s: float) -> None:
        callers = self._caller_http_server
        self._log.emit(
            "node",
            stage.value,
            f"{self._cfg.name} {_STAGE_TEXTS[stage]}.",
            elapsed_s=round(elapsed_s, 3),
            grace_s=self._cfg.bounds.grace_s,
            requests=callers.running,
            connections=callers.connections,
            reading=callers.reading,
            taken=callers.taken_while_draining,
            idle_closed=callers.idle_closed,
            last_taken_s=round(trio.current_time() - callers.last_request_at, 3),
            running=self._owner.running,
            of_other_nodes=self._owner.remote_requests,
        )

    async def _announce_leave(self) -> None:
        self.directory.leave(self._clock.now_ms())
        await trio.sleep(LEAVE_PROPAGATION_S)
        if not self._registry.has_server:
            await self._discovery.remove_entry()
        await self._link_endpoint.flush()

    async def _serve(
        self,
        http_server: HttpServer,
        endpoint: Endpoint,
        task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await http_server.serve(
            endpoint.address, endpoint.port, task_status=task_status
        )

    async def _expire_servers(self) -> None:
        while True:
            due_at = trio.current_time() + EXPIRY_CHECK_INTERVAL_S
            await trio.sleep_until(due_at)
            now = trio.current_time()
            self._registry.expire(now, now - due_at)
            if self._in_force.bundle is not None:
                self._evacuations.check_overdue(now)

    def _metrics_snapshot(self) -> NodeSnapshot:
        from marigoldchute.admin.metrics import MoveShare, NodeCounts, NodeSnapshot

        members = self.directory.all()
        budget = self.entry.retry_budget
        states = self._order_book.states()
        uptime_s = trio.current_time() - self._started_at
        writer = self._log.line_writer
        callers = self._caller_http_server
        drain_s = 0.0
        if self._drain_started_at is not None:
            drain_s = trio.current_time() - self._drain_started_at
        return NodeSnapshot(
            self._catalog.version,
            self._catalog.version,
            count_states(members),
            tuple(MoveShare(s.order_id, s.service, s.share) for s in states),
            collect_stats(self._link_endpoint, len(members), uptime_s),
            NodeCounts(
                self._store.calls,
                self.entry.metrics.snapshot(),
                {
                    "requests": budget.requests,
                    "retries": budget.retries,
                    "refused_retries": budget.refused_retries,
                    "requests_over_quota": self._limiter.denied_count,
                    "quota_reports_lost": self._quota.lost_reports,
                    "quota_customers_limited": self._quota.limited_total,
                    "requests_restored": self._run_exchange.restored_count,
                    "run_reports_lost": self._run_exchange.lost_reports,
                    **{
                        f"requests_refused_key_{fault.value}": (
                            self.entry.access.fault_counts[fault]
                        )
                        for fault in KeyFault
                    },
                    **{
                        f"requests_identified_by_{source.value}": (
                            self.entry.access.source_counts[source]
                        )
                        for source in IdentitySource
                    },
                    "routes_of_unknown_kind": self._catalog.unknown_kind_count,
                    "store_restorations": self._store.restorations,
                    "order_statuses_rewritten": self._driver.rewritten_count,
                    "bundles_ignored_as_older": self._catalog.ignored_count,
                    "rejected_documents": self._rejections.count,
                    "requests_refused_by_region": self.entry.refused_by_region,
                    "owner_refusals_by_region": self._owner.refused_by_region,
                    "log_lines_dropped": writer.dropped_count if writer else 0,
                    **self._owner.overload_counts(),
                    "connections_closed_for_memory": self._memory.closed_count,
                    "unused_connections_closed": callers.unused_closed,
                    "requests_taken_while_draining": callers.taken_while_draining,
                    "requests_refused_while_draining": (
                        self.entry.refused_while_draining
                        + self._owner.refused_while_draining
                    ),
                    "requests_refused_while_evacuated": (
                        self._owner.refused_while_evacuated
                    ),
                    "requests_refused_after_transit": (
                        self._owner.refused_after_transit
                    ),
                    "requests_refused_while_cold": self._owner.refused_while_cold,
                },
                {cause.value: callers.cut_counts[cause] for cause in CutCause},
                drain_s,
                {
                    "evacuated_data_centres": len(self._evacuations.evacuated),
                    "limited_cold_servers": self._count_limited(),
                    "running_requests_copied": self._run_exchange.count_copied(
                        trio.current_time()
                    ),
                },
                self._memory.held_bytes,
                self._memory.limit_bytes,
            ),
        )

    def _handle_accepted_link(self, link: Link) -> None:
        if link.purpose == "control":
            self._overlay.accept(link)

    def _apply_bundle(self, bundle: Bundle) -> None:
        self._caller_http_server.apply_limits(
            bundle.content.limits, trio.current_time()
        )
        self._registry.refresh_limits()
        bounds = self._cfg.bounds
        self._warmup_rates.clear()
        for service in bundle.content.services:
            if service.warmup_requests_per_s > 0.0:
                self._warmup_rates[service.name] = make_rate(
                    service.warmup_requests_per_s,
                    bounds.warmup_overshoot,
                    bounds.warmup_slack,
                )

    def _warmup_rate(self, service: str, requests_per_s: float) -> WarmupRate | None:
        """Return the limit of cold servers, by the entry's rate before a bundle."""
        if self._in_force.bundle is not None:
            return self._warmup_rates.get(service)
        if not 0.0 < requests_per_s < math.inf:  # Not trusted: it comes from a peer.
            return None
        bounds = self._cfg.bounds
        return make_rate(requests_per_s, bounds.warmup_overshoot, bounds.warmup_slack)

    def _count_limited(self) -> int:
        if not self._warmup_rates:
            return 0
        return self._owner.count_limited(trio.current_time())

    def _apply_evacuations(self) -> None:
        data_centre = self._cfg.data_centre
        self._owner.set_evacuated(self._evacuations.is_evacuated(data_centre))
        self.entry.handle_evacuations_change()

    def _is_own_address(self, address: str) -> bool:
        """Return whether connections from an IP address originate on this VM."""
        cfg = self._cfg
        own = (cfg.address, cfg.backend.address, cfg.callers.address, LOOPBACK_ADDRESS)
        return address in own

    def _max_connections(self, service: str) -> int:
        bundle = self._in_force.bundle
        if bundle is None:
            return 0
        for candidate in bundle.content.services:
            if candidate.name == service:
                return candidate.max_connections
        return 0

    def _log_failure(self, exc: Exception) -> None:
        text = f"A request failed with an unexpected error: {exc!r}."
        self._log.emit("node", "failure", text)
