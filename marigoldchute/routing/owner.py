"""Owner side of the request path: runs requests on the VM's backend servers."""

from __future__ import annotations

import contextlib
import dataclasses
import math
from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from marigoldchute.errors import (
    MarigoldchuteError,
    NotRunError,
    PeerError,
    ResultCode,
)
from marigoldchute.routing.admission import AdmissionGate
from marigoldchute.routing.admission_queue import AdmissionCounts
from marigoldchute.routing.backend_attempt import BackendAttempt
from marigoldchute.routing.backend_conn import BackendConnPool
from marigoldchute.routing.cut import CutCause, is_cancelled
from marigoldchute.routing.dialect import DEFAULT_DIALECT, Dialect
from marigoldchute.routing.exchange import AbandonSource, StreamExchange
from marigoldchute.routing.messages import ENCODER, REQUEST_DECODER, ResponseHead
from marigoldchute.routing.nested_limit import NestedLimit, is_failed_call
from marigoldchute.routing.policy import STREAMING_POLICY, PathPolicy
from marigoldchute.routing.regions import NO_REGION_RULES, is_allowed
from marigoldchute.routing.running_requests import RunningRequest, RunningRequests
from marigoldchute.routing.warmup import (
    DEFAULT_REPORT_INTERVAL_S,
    SendLog,
    WarmupGuard,
    is_urgent,
    make_rate,
    max_wait_s,
)
from marigoldchute.util.clock import boottime_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.link.stream import Stream
    from marigoldchute.membership.model import BackendServer, Member
    from marigoldchute.routing.backend_conn import BackendConn
    from marigoldchute.routing.call import Call
    from marigoldchute.routing.exchange import Exchange
    from marigoldchute.routing.messages import RequestHead
    from marigoldchute.routing.outcomes import Outcome
    from marigoldchute.routing.regions import RegionRules
    from marigoldchute.routing.request_log import RequestLog
    from marigoldchute.routing.stop_window import StopWindow
    from marigoldchute.routing.warmup import WarmupRate

SWEEP_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.02
CALLS_FAIL_RETRY_S = 0.5  # The limit of calls that fail changes twice a second.
# Shorter delays are those of the scheduler, and change no decision.
MIN_TRANSIT_DELAY_MS = 20


class LocalServers(Protocol):
    """Source of the announced backend servers of this VM."""

    @property
    def local(self) -> Member:
        """The member record of this node."""

    @property
    def fenced(self) -> bool:
        """Whether requests must be refused."""


def _no_rate(service: str, requests_per_s: float) -> WarmupRate | None:
    return make_rate(requests_per_s) if 0.0 < requests_per_s < math.inf else None


class OwnedServer:
    """Backend server of this VM with its gate, connection pool and warm-up."""

    def __init__(
        self,
        server: BackendServer,
        address: str,
        adaptive: bool,
        guard: WarmupGuard,
        counts: AdmissionCounts | None = None,
    ) -> None:
        self.server = server
        self.guard = guard
        self.gate = AdmissionGate(server, adaptive, counts)
        self.pool = BackendConnPool(address, server.port)

    def update(self, server: BackendServer) -> None:
        """Apply a new announcement of the backend server."""
        self.server = server
        self.gate.update(server)
        if server.draining:
            self.pool.close_all_idle()


class Owner:
    """Runs requests on the backend servers of this VM within their slots.

    No request reaches these backend servers in another way.

    Parameters
    ----------
    servers : LocalServers
        Source of the announced backend servers.
    address : str
        IP address of the VM.
    dialect : Dialect
        Header names of the backend servers.
    policy : PathPolicy
        Options of the request path.
    log : RequestLog, optional
        Log for failed requests of other nodes and for abandoned requests.
    report_interval_s : float
        Typical time between two status reports of a backend server in seconds.
    warmup_rate : callable
        Returns the limit of cold backend servers of a service, None without one; the
        arguments are the service and the rate that the entry node has for it.

    Attributes
    ----------
    remote_requests : int
        Number of requests of other nodes that wait or run here.
    refused_while_draining : int
        Number of requests that were refused because of a drain.
    nested_limit : NestedLimit
        Limit of requests whose nested calls fail.
    admission_counts : AdmissionCounts
        Decisions about requests that waited here.
    refused_while_evacuated : int
        Number of requests that were refused because the data centre is evacuated.
    refused_while_cold : int
        Number of requests that were refused because a backend server is or may be cold.
    refused_after_transit : int
        Number of requests that were refused because their deadline had passed when
        they arrived.
    stop_cause : CutCause or None
        Set just before the process ends; cause of the requests that it abandons.
    stop_window : StopWindow or None
        Which requests are still taken; None unless the node was told to stop.
    region_rules : RegionRules
        Restrictions of the bundle in force on this node.
    refused_by_region : int
        Number of requests refused because this region is not allowed.
    running_requests : RunningRequests
        Requests that run on the backend servers of this VM.
    """

    def __init__(
        self,
        servers: LocalServers,
        address: str,
        dialect: Dialect = DEFAULT_DIALECT,
        policy: PathPolicy = STREAMING_POLICY,
        log: RequestLog | None = None,
        report_interval_s: float = DEFAULT_REPORT_INTERVAL_S,
        warmup_rate: Callable[[str, float], WarmupRate | None] = _no_rate,
    ) -> None:
        self._report_interval_s = report_interval_s
        self._warmup_rate = warmup_rate
        self._sends: dict[int, SendLog] = {}  # By port.
        self._started_at: float | None = None
        self.stop_window: StopWindow | None = None
        self.region_rules: RegionRules = NO_REGION_RULES
        self.refused_by_region = 0
        self._log = log
        self._servers = servers
        self._address = address
        self._dialect = dialect
        self._policy = policy
        self._owned: dict[str, OwnedServer] = {}
        self._member: Member | None = None
        self._draining = False
        self.running_requests = RunningRequests(dialect.nested_id_separator)
        self._weighs_work = False
        self.nested_limit = NestedLimit()
        self.admission_counts = AdmissionCounts()
        self._nursery: trio.Nursery | None = None
        self.remote_requests = 0
        self.refused_while_draining = 0
        self.refused_while_evacuated = 0
        self.refused_after_transit = 0
        self.refused_while_cold = 0
        self.stop_cause: CutCause | None = None
        self._is_evacuated = False

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Close idle connections and track abandoned requests until cancelled."""
        self._started_at = trio.current_time()
        self.running_requests.start(self._started_at)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(SWEEP_INTERVAL_S)
                self._refresh()
                self.running_requests.expire(trio.current_time())
                for owned in self._owned.values():
                    owned.pool.close_idle(trio.current_time())

    @property
    def running(self) -> int:
        """Number of requests that run on the backend servers of this VM."""
        return sum(owned.gate.running for owned in self._owned.values())

    @property
    def weighs_work(self) -> bool:
        """Whether the work of requests decides which of them wait."""
        return self._weighs_work

    @weighs_work.setter
    def weighs_work(self, weighs_work: bool) -> None:
        self._weighs_work = weighs_work
        for owned in self._owned.values():
            owned.gate.weighs_work = weighs_work

    def overload_counts(self) -> dict[str, int]:
        """Return the counters of overload by the names of their metrics."""
        counts = self.admission_counts
        return {
            "requests_displaced": counts.displaced,
            "requests_refused_late": counts.refused_late,
            "requests_refused_queue_full": counts.refused_full,
            "requests_queued_after_objective": counts.waited_late,
            "requests_refused_nested_calls_fail": self.nested_limit.refused,
        }

    def record_nested_call(self, call: Call, outcome: Outcome, now: float) -> None:
        """Record the end of a call that a request on this VM made."""
        parent = self.running_requests.find_parent(call.request_id, now)
        if parent is None or not self._weighs_work:
            return
        route = parent.route
        failed = is_failed_call(outcome, call.objective, call.found_queue, now)
        before = self.nested_limit.ratio(route)
        self.nested_limit.record_call(route, failed, now)
        after = self.nested_limit.ratio(route)
        if self._log is not None and before != after:
            self._log.emit_nested_limit(route, call.service.name, before, after, now)

    def gate(self, server_id: str) -> AdmissionGate | None:
        """Return the admission gate of a backend server of this VM."""
        owned = self._find(server_id)
        return None if owned is None else owned.gate

    def record_report(self, server_id: str, warmup_left_s: float, now: float) -> None:
        """Record a status report of a backend server of this VM.

        Parameters
        ----------
        server_id : str
            Id under which the server is announced.
        warmup_left_s : float
            Time for which it stays cold in seconds.
        now : float
            Monotonic time in seconds.
        """
        owned = self._find(server_id)
        if owned is not None:
            owned.guard.record_report(warmup_left_s, now)

    def count_limited(self, now: float) -> int:
        """Return the number of backend servers that are or may be cold."""
        return sum(owned.guard.is_limited(now) for owned in self._owned.values())

    def drain(self) -> None:
        """Refuse new and waiting requests for all backend servers of this VM."""
        self._draining = True
        for owned in self._owned.values():
            owned.gate.drain()

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Refuse new and waiting requests while the data centre is evacuated.

        Requests that run end as usual.
        """
        self._is_evacuated = is_evacuated
        if is_evacuated:
            for owned in self._owned.values():
                owned.gate.refuse_waiting(ResultCode.REQUEST_NOT_RUN_EVACUATED)

    async def wait_idle(self) -> None:
        """Wait until no request runs on a backend server of this VM."""
        while self.running:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)

    async def serve(self, stream: Stream) -> None:
        """Handle one request from an entry node."""
        exchange = StreamExchange(stream)
        try:
            head = REQUEST_DECODER.decode(stream.head)
        except msgspec.DecodeError:
            stream.reset(ResultCode.PEER_PROTOCOL)
            return
        delay_ms = self._transit_delay_ms(stream, head)
        head = _after_transit(head, delay_ms)
        # The result of a request that may not be repeated cannot be had elsewhere.
        stream.outlasts_silence = not head.idempotent
        self.remote_requests += 1
        try:
            self._check_arrival(head, delay_ms)
            with trio.CancelScope() as scope:
                scope.deadline = trio.current_time() + head.remaining_ms / 1000
                exchange.deadline = scope.deadline
                stream.on_cancel(scope.cancel)
                if not scope.cancel_called:
                    await self.execute(head, exchange)
            if scope.cancelled_caught:
                stream.reset(ResultCode.REQUEST_OUTCOME_UNKNOWN_DEADLINE)
        except NotRunError as exc:
            self._log_failed_request(head, exc)
            owned = self._find(head.server_id)
            refusal = ResponseHead(
                503,
                code=exc.code,
                load=owned.gate.load if owned is not None else 0,
                retry_after_ms=int(exc.retry_after_s * 1000),
            )
            await stream.send_complete(ENCODER.encode(refusal), b"")
        except PeerError as exc:
            self._log_failed_request(head, exc)
            stream.reset(ResultCode.REQUEST_OUTCOME_UNKNOWN)
        except MarigoldchuteError as exc:
            self._log_failed_request(head, exc)
            stream.reset(exc.code)
        finally:
            self.remote_requests -= 1

    def _transit_delay_ms(self, stream: Stream, head: RequestHead) -> int:
        if not head.sent_ms:
            return 0
        return stream.link.transit.record(head.sent_ms, boottime_ms())

    def _check_arrival(self, head: RequestHead, delay_ms: int) -> None:
        """Refuse a request whose deadline has passed on its way to this node.

        Its cancellation, if the caller left, is still on the way as well.
        """
        if head.remaining_ms > 0:
            return
        self.refused_after_transit += 1
        raise NotRunError(
            f"deadline passed on the way to this node, which took {delay_ms} ms longer "
            "than usual",
            ResultCode.REQUEST_NOT_RUN_DEADLINE,
        )

    def _log_failed_request(self, head: RequestHead, exc: MarigoldchuteError) -> None:
        if self._log is not None:
            owned = self._find(head.server_id)
            load = owned.gate.load if owned is not None else 0
            self._log.emit_owner_failure(head, exc, load, trio.current_time())

    def _log_abandoned(
        self,
        head: RequestHead,
        exchange: Exchange,
        waits_for: str,
        written: bool = False,
    ) -> None:
        if self._log is not None:
            now = trio.current_time()
            # Links end together with the process.
            cause = self.stop_cause
            if cause is None and isinstance(exchange, AbandonSource):
                cause = exchange.abandon_cause(now)
            self._log.emit_abandoned(
                head, cause or CutCause.STOPPED, waits_for, written, now
            )

    async def execute(self, head: RequestHead, exchange: Exchange) -> None:
        """Run one request on the backend server named in its head.

        Raises
        ------
        NotRunError
            The request did not run; nothing was sent to ``exchange``.
        RequestError
            The request may have run, and no complete response was sent.
        """
        if self._servers.fenced:
            raise NotRunError(
                "node is fenced: too few members are reachable",
                ResultCode.REQUEST_NOT_RUN_FENCED,
            )
        self._check_region(head)
        self._check_stop_window(head.remaining_ms / 1000, trio.current_time())
        self._check_evacuation()
        owned = self._find(head.server_id)
        if owned is None:
            raise NotRunError("backend server is not on this VM")
        server = owned.server
        if server.service != head.service or server.release != head.release:
            raise NotRunError("backend server now runs another service or release")
        gate = owned.gate
        now = trio.current_time()
        if (
            self._weighs_work
            and not head.is_nested
            and not self.nested_limit.admit(head.route, now)
        ):
            raise NotRunError(
                "a service that requests of this route call is overloaded",
                ResultCode.REQUEST_NOT_RUN_CALLS_FAIL,
                CALLS_FAIL_RETRY_S,
            )
        remaining_ms = await self._acquire_slot_and_room(head, exchange, owned)
        running = gate.running
        try:
            self._check_region(head)
            conn = await owned.pool.acquire(
                head.idempotent, server.connections, head.request_id
            )
        except BaseException as exc:
            gate.release_slot()
            if is_cancelled(exc):
                self._log_abandoned(head, exchange, "connection")
            elif isinstance(exc.__cause__, ConnectionRefusedError):
                owned.guard.record_refused_connection(trio.current_time())
            raise
        try:
            # An evacuation or another bundle may have come during the waits.
            self._check_evacuation()
            self._check_region(head)
        except NotRunError:
            owned.pool.release(conn, trio.current_time())
            gate.release_slot()
            raise
        attempt = BackendAttempt(
            head,
            exchange,
            conn,
            remaining_ms,
            server.instance,
            gate,
            self._dialect,
            self._policy,
        )
        now = trio.current_time()
        run = RunningRequest(
            head.request_id,
            head.route,
            head.customer,
            server.server_id,
            now,
            now + remaining_ms / 1000,
        )
        self.running_requests.begin(run)
        try:
            await attempt.execute()
        except BaseException as exc:
            cancelled = is_cancelled(exc)
            if cancelled:
                self._log_abandoned(head, exchange, "response", attempt.written)
            self._release_failed(owned, attempt, cancelled, run)
            raise
        self.running_requests.end(run)
        now = trio.current_time()
        gate.record_sample(attempt.duration_s, running, now, head.route)
        if attempt.reusable and not gate.draining:
            conn.limit_idle_reuse(attempt.keep_alive_s)
            owned.pool.release(conn, now)
        else:
            owned.pool.discard(conn)
        gate.release_slot()

    async def _acquire_slot_and_room(
        self, head: RequestHead, exchange: Exchange, owned: OwnedServer
    ) -> int:
        """Wait for a slot and until the server may get one more request.

        Returns the milliseconds until the caller's deadline.
        """
        gate, guard = owned.gate, owned.guard
        rate = self._warmup_rate(head.service, head.warmup_requests_per_s)
        if rate is None:
            remaining_ms = await self._acquire_slot(head, exchange, gate)
            guard.record_send(trio.current_time())
            return remaining_ms
        started = trio.current_time()
        urgent, wait_s = is_urgent(head), max_wait_s(head)
        try:
            with guard.waiting(rate, urgent, wait_s, started):
                await self._acquire_slot(head, exchange, gate)
                try:
                    await guard.send(rate, urgent, started + wait_s)
                except BaseException as exc:
                    gate.release_slot()
                    if is_cancelled(exc):
                        self._log_abandoned(head, exchange, "warm-up")
                    raise
        except NotRunError as exc:
            if exc.code is ResultCode.REQUEST_NOT_RUN_WARMING_UP:
                self.refused_while_cold += 1
            raise
        waited_ms = int((trio.current_time() - started) * 1000)
        return max(1, head.remaining_ms - waited_ms)

    async def _acquire_slot(
        self, head: RequestHead, exchange: Exchange, gate: AdmissionGate
    ) -> int:
        """Wait for a slot; return the milliseconds until the caller's deadline."""
        queued_at = trio.current_time()
        try:
            if gate.try_acquire_slot():
                return head.remaining_ms
            await gate.acquire_slot(
                head.priority,
                head.remaining_ms / 1000,
                head.objective_ms / 1000,
                head.route,
                head.is_nested,
            )
        except NotRunError as exc:
            if exc.code is ResultCode.REQUEST_NOT_RUN_DRAINING:
                self.refused_while_draining += 1
            elif exc.code is ResultCode.REQUEST_NOT_RUN_EVACUATED:
                self.refused_while_evacuated += 1
            raise
        except trio.Cancelled:
            self._log_abandoned(head, exchange, "slot")
            raise
        waited_ms = int((trio.current_time() - queued_at) * 1000)
        return max(1, head.remaining_ms - waited_ms)

    def _check_region(self, head: RequestHead) -> None:
        """Refuse a request that the entry or this node excludes from this region.

        Until both have the same bundle, the stricter restriction applies.
        """
        rules = self.region_rules
        if not head.regions and not rules.restricts:
            return
        region = self._servers.local.region
        if is_allowed(region, head.regions or None) and is_allowed(
            region, rules.allowed(head.route, head.customer)
        ):
            return
        self.refused_by_region += 1
        raise NotRunError(
            f"region {region!r} is not allowed for route {head.route!r}",
            ResultCode.REQUEST_NOT_RUN_REGION,
        )

    def _check_stop_window(self, remaining_s: float, now: float) -> None:
        if self.stop_window is None:
            return
        try:
            self.stop_window.check_fits(now + remaining_s, now)
        except NotRunError:
            self.refused_while_draining += 1
            raise

    def _check_evacuation(self) -> None:
        if self._is_evacuated:
            self.refused_while_evacuated += 1
            raise NotRunError(
                "data centre of the backend server is evacuated",
                ResultCode.REQUEST_NOT_RUN_EVACUATED,
            )

    def _release_failed(
        self,
        owned: OwnedServer,
        attempt: BackendAttempt,
        cancelled: bool,
        run: RunningRequest,
    ) -> None:
        if attempt.refused:
            owned.gate.record_refusal(trio.current_time())
        may_still_run = attempt.written and not attempt.server_finished
        if may_still_run and self._nursery is not None:
            with contextlib.suppress(RuntimeError):  # Closed when the process ends.
                self._nursery.start_soon(self._wait_abandoned, owned, attempt.conn, run)
                return
        if attempt.written and attempt.conn.was_reset:
            self.running_requests.detach(run)
        else:
            self.running_requests.end(run)
        if attempt.refused and attempt.reusable:
            owned.pool.release(attempt.conn, trio.current_time())
        else:
            owned.pool.discard(attempt.conn)
        owned.gate.release_slot()

    async def _wait_abandoned(
        self, owned: OwnedServer, conn: BackendConn, run: RunningRequest
    ) -> None:
        # The slot stays in use, as the backend server may still run the request.
        self.running_requests.detach(run)
        try:
            if await conn.wait_for_abandoned_request():
                self.running_requests.end(run)
        finally:
            owned.pool.discard(conn)
            owned.gate.release_slot()

    def _find(self, server_id: str) -> OwnedServer | None:
        if self._servers.local is not self._member:
            self._refresh()
        return self._owned.get(server_id)

    def _refresh(self) -> None:
        member = self._servers.local
        if member is self._member:
            return
        self._member = member
        announced = {server.server_id: server for server in member.servers}
        if announced:
            self.running_requests.retain_servers(announced)
        for server_id in tuple(self._owned):
            if server_id not in announced:
                self._remove(server_id)
        for server_id, server in announced.items():
            owned = self._owned.get(server_id)
            if owned is None:
                adaptive = self._policy.adaptive_limit
                guard = self._make_guard(server.port, trio.current_time())
                owned = OwnedServer(
                    server, self._address, adaptive, guard, self.admission_counts
                )
                owned.gate.weighs_work = self._weighs_work
                self._owned[server_id] = owned
            elif owned.server != server:
                owned.update(server)
            if self._draining:
                owned.gate.drain()

    def _make_guard(self, port: int, now: float) -> WarmupGuard:
        """Return the guard of a new server, which may reuse the port of another one."""
        sends = self._sends.get(port)
        if sends is None:
            # An earlier process had ended when this one started.
            started_at = now if self._started_at is None else self._started_at
            sends = self._sends[port] = SendLog(started_at)
        return WarmupGuard(sends, self._report_interval_s, now)

    def _remove(self, server_id: str) -> None:
        owned = self._owned[server_id]
        # Differs from the next announcement, so that a server that returns while its
        # last requests run is used again.
        owned.update(dataclasses.replace(owned.server, draining=True))
        if not owned.gate.running:
            del self._owned[server_id]


def _after_transit(head: RequestHead, delay_ms: int) -> RequestHead:
    """Return the head with the times that are left after a delay on the way.

    The times of a head begin when it is sent. On a narrow connection a request may
    wait for seconds, after which neither its caller nor its deadline has to be there.
    """
    if delay_ms < MIN_TRANSIT_DELAY_MS:
        return head
    objective_ms = head.objective_ms
    if objective_ms:
        objective_ms = max(1, objective_ms - delay_ms)
    return msgspec.structs.replace(
        head,
        remaining_ms=max(0, head.remaining_ms - delay_ms),
        objective_ms=objective_ms,
    )
