"""Entry side of the request path: routes callers' requests to owners."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

import trio

from marigoldchute.errors import (
    AuthError,
    NotRunError,
    PeerError,
    RequestError,
    ResultCode,
)
from marigoldchute.routing.access import AccessControl
from marigoldchute.routing.budget import RetryBudget
from marigoldchute.routing.call import MIN_SERVER_ERROR_STATUS, Call
from marigoldchute.routing.candidates import NO_CANDIDATES, CandidateTables
from marigoldchute.routing.choice import PickInfo
from marigoldchute.routing.cut import CutCause, cause_of_partial
from marigoldchute.routing.dialect import DEFAULT_DIALECT
from marigoldchute.routing.dispatch import Dispatcher
from marigoldchute.routing.evacuation import NO_EVACUATIONS
from marigoldchute.routing.failure import (
    FINAL_REFUSAL_CODES,
    SHED_CODES,
    error_to_report,
    outcome_of,
)
from marigoldchute.routing.first_bundle import FirstBundleWait
from marigoldchute.routing.headers import encode_request_headers, parse_deadline_ms
from marigoldchute.routing.http_request import CallerDisconnectedError
from marigoldchute.routing.identification import RequestIdentifier
from marigoldchute.routing.metrics import RouteMetrics
from marigoldchute.routing.outcomes import Outcome
from marigoldchute.routing.policy import STREAMING_POLICY
from marigoldchute.routing.refusal import CALLER_ERROR_CODES, send_error_response
from marigoldchute.routing.regions import NO_REGION_RULES, RegionRules, is_allowed
from marigoldchute.routing.release_choice import ReleaseChoice
from marigoldchute.routing.request_log import RequestLog, cut_fields
from marigoldchute.routing.route_table import RouteTable
from marigoldchute.routing.warmup import WarmupPacer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator, Mapping

    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.bundle.model import Bundle
    from marigoldchute.errors import MarigoldchuteError
    from marigoldchute.events import EventLog
    from marigoldchute.link.pool import LinkPool
    from marigoldchute.membership.model import Members
    from marigoldchute.moves.model import SplitSource
    from marigoldchute.routing.budget import RetryLimit
    from marigoldchute.routing.candidates import Candidates
    from marigoldchute.routing.choice import Chooser
    from marigoldchute.routing.cut import Cut
    from marigoldchute.routing.dialect import Dialect
    from marigoldchute.routing.evacuation import Evacuations
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder
    from marigoldchute.routing.outcomes import OutcomeSink
    from marigoldchute.routing.owner import Owner
    from marigoldchute.routing.policy import PathPolicy
    from marigoldchute.routing.route_table import RouteEntry
    from marigoldchute.routing.running_requests import RunningRequest
    from marigoldchute.routing.stop_window import StopWindow
    from marigoldchute.routing.target import Target
    from marigoldchute.util.clock import Clock

RETRY_RATIO = 0.2
MIN_RETRIES_PER_S = 5.0
RETRY_BURST = 20.0
# With a smaller part of a request's time left, an attempt likely ends at the deadline.
MIN_REMAINING_TIME_RATIO = 0.15
# Each refusal costs one hop. With 3 attempts, at 1.05 times the capacity a quarter of
# the rejected requests were rejected while another server had a free slot.
MAX_REFUSED_ATTEMPTS = 5
DEFAULT_MAX_REFUSED_ATTEMPTS = 3  # Without customers.
# An evacuation lasts for longer than any wait that callers are told.
EVACUATED_RETRY_AFTER_S = 1.0


def _no_service() -> str:
    return ""


class QuotaLimit(Protocol):
    """Limit on the requests of customers."""

    def try_acquire(self, name: str, now: float) -> float:
        """Admit a request of a customer, or return the seconds until the next one."""

    def release(self, name: str) -> None:
        """Return the quota of a request that did not run."""

    def state_of(self, name: str, now: float) -> Mapping[str, object]:
        """Return the inputs of the latest decision about a customer, for the log."""


class Entry:
    """Routes callers' requests by the bundle in force.

    Parameters
    ----------
    in_force : InForce
        Bundle in force.
    splits : SplitSource
        Split of each service between releases.
    members : Members
        Members of the mesh.
    traffic : LinkPool
        Links to the owners.
    owner : Owner
        Owner side of the request path on this node.
    chooser : Chooser
        Load-balancing policy.
    sink : OutcomeSink
        Receives the outcome of every attempt.
    log : EventLog
        Event log of the process.
    clock : Clock
        Wall clock of the process.
    rng : random.Random
        Source of random choices.
    dialect : Dialect
        Header names of callers and backend servers.
    policy : PathPolicy
        Options of the request path.
    retry_budget : RetryLimit, optional
        Limit on retries; a ``RetryBudget`` by default.
    caller_service : callable
        Returns the service on this VM, which is sent to backend servers as the
        caller's service.
    evacuations : Evacuations
        Data centres whose backend servers get no requests.
    access : AccessControl, optional
        Identifies the customers of requests; by default one that accepts requests
        without a key from no address.
    quota : QuotaLimit, optional
        Limits the requests of customers; by default they are not limited.

    Attributes
    ----------
    access : AccessControl
        Identifies the customers of requests.
    stop_window : StopWindow or None
        Which requests are still taken; None unless the node was told to stop.
    refused_while_draining : int
        Number of requests that were refused because they may outlast the node.
    refused_by_region : int
        Number of requests refused because no allowed region has a reachable server.
    """

    def __init__(
        self,
        in_force: InForce,
        splits: SplitSource,
        members: Members,
        traffic: LinkPool,
        owner: Owner,
        chooser: Chooser,
        sink: OutcomeSink,
        log: EventLog,
        clock: Clock,
        rng: random.Random,
        dialect: Dialect = DEFAULT_DIALECT,
        policy: PathPolicy = STREAMING_POLICY,
        retry_budget: RetryLimit | None = None,
        caller_service: Callable[[], str] = _no_service,
        evacuations: Evacuations = NO_EVACUATIONS,
        access: AccessControl | None = None,
        quota: QuotaLimit | None = None,
    ) -> None:
        self.metrics = RouteMetrics()
        self.stop_window: StopWindow | None = None
        self.refused_while_draining = 0
        self.refused_by_region = 0
        self.candidate_tables = CandidateTables(members, evacuations)
        self.retry_budget: RetryLimit = retry_budget or RetryBudget(
            RETRY_RATIO, MIN_RETRIES_PER_S, RETRY_BURST
        )
        self._routes: RouteTable | None = None
        self._evacuations = evacuations
        self._region_rules = NO_REGION_RULES
        self._weighs_work = False
        self._splits = splits
        self._members = members
        self._chooser = chooser
        self._sink = sink
        self._owner = owner
        self._clock = clock
        self._rng = rng
        self._dialect = dialect
        self.access = access or AccessControl(dialect, log)
        self._quota = quota
        self._policy = policy
        self._first_bundle = FirstBundleWait(policy.first_bundle_wait_s)
        self._caller_service = caller_service
        self._release_choice = ReleaseChoice(rng, policy.boost_rare_routes)
        self._pacer = WarmupPacer(rng, lambda: len(members.all()))
        self._request_log = RequestLog(log)
        self._identifier = RequestIdentifier(
            self.access, owner.running_requests, self._request_log
        )
        self._dispatcher = Dispatcher(
            members, traffic, owner, chooser, sink, clock, self._check_region
        )
        in_force.add_swap_listener(self._on_bundle)

    def _on_bundle(self, bundle: Bundle) -> None:
        self._routes = RouteTable(bundle)
        self.access.on_bundle(bundle)
        self._owner.running_requests.record_timeouts(
            [route.timeout_ms for route in bundle.content.routes]
        )
        self._region_rules = self._owner.region_rules = RegionRules(bundle.content)
        # Customers compete for servers; without them the operators asked for no choice
        # between requests by their work.
        self._weighs_work = bool(bundle.content.customers)
        self._owner.weighs_work = self._weighs_work
        if self._evacuations.is_known:
            self._first_bundle.on_bundle()

    def handle_evacuations_change(self) -> None:
        """Apply a change of the evacuated data centres to the next attempts."""
        self.candidate_tables.mark_stale()
        if self._routes is not None and self._evacuations.is_known:
            self._first_bundle.on_bundle()

    async def handle_external(self, req: HttpRequest, responder: HttpResponder) -> None:
        """Handle a request from a caller outside the mesh."""
        await self._handle(req, responder, False)

    async def handle_internal(self, req: HttpRequest, responder: HttpResponder) -> None:
        """Handle a request from a backend server on this VM."""
        await self._handle(req, responder, True)

    def log_cut(self, cut: Cut) -> None:
        """Log a request whose connection ended without a complete response."""
        is_foreign = self._may_be_foreign(cut.req)
        self._request_log.emit_cut(cut, self._dialect.request_id, is_foreign)

    async def _handle(
        self, req: HttpRequest, responder: HttpResponder, internal: bool
    ) -> None:
        started = time.perf_counter()
        received_at = trio.current_time()
        call = None
        outcome = Outcome.OK
        try:
            if self._routes is None or not self._evacuations.is_known:
                await self._first_bundle.wait(req, received_at)
            call = self._make_call(req, responder, internal, received_at)
            await self._execute_call(call)
            if call.response_head is not None:
                self._update_regions(call)
                now = trio.current_time()
                self._request_log.emit_response(call, call.response_head.status, now)
        except CallerDisconnectedError:
            outcome = Outcome.CANCELLED
            req.cut_cause = CutCause.CALLER_LEFT
        except (RequestError, PeerError, AuthError) as exc:
            outcome = outcome_of(exc)
            self._log_failed(req, call, outcome, exc)
            if responder.started:
                req.cut_cause = cause_of_partial(exc)
            else:
                await send_error_response(responder, exc, self._rng.random())
        finally:
            if call is not None:
                self._return_quota(call)
            if call is not None and not responder.finished:
                req.call_fields = cut_fields(call, trio.current_time())
        if call is not None:
            self._record_latency(call, outcome, started)
            if call.is_nested:
                self._owner.record_nested_call(call, outcome, trio.current_time())

    def _log_failed(
        self,
        req: HttpRequest,
        call: Call | None,
        outcome: Outcome,
        exc: MarigoldchuteError,
    ) -> None:
        given_id = req.header(self._dialect.request_id) or b""
        request_id = call.request_id if call is not None else given_id.decode("latin-1")
        if exc.code is ResultCode.REQUEST_NOT_RUN_REGION:
            self.refused_by_region += 1
        if call is not None:
            self._update_regions(call)
        is_foreign = call.is_foreign if call is not None else self._may_be_foreign(req)
        now = trio.current_time()
        self._request_log.emit_failed(
            req, call, request_id, outcome, exc, now, is_foreign
        )

    def _make_call(
        self,
        req: HttpRequest,
        responder: HttpResponder,
        internal: bool,
        received_at: float,
    ) -> Call:
        if self._members.fenced:
            raise NotRunError(
                "node is fenced: too few members are reachable",
                ResultCode.REQUEST_NOT_RUN_FENCED,
            )
        entry = self._find_route(req, internal)
        request_id = self._request_id(req, internal)
        # Also without customers, as they may appear before the next attempt.
        parent = self._identifier.find_parent(req, responder, request_id, received_at)
        identity = self._identifier.identify(
            req, responder, entry.route, request_id, parent, received_at
        )
        service = self._release_choice.pick_service(entry)
        split = self._splits.split(service.name, service.release)
        deadline = self._find_deadline(req, entry, parent, received_at)
        objective_ms = entry.route.objective_ms
        if self.stop_window is not None:
            deadline = self._limit_deadline(
                self.stop_window,
                deadline,
                received_at,
                internal or parent is not None,
            )
        call = Call(
            req,
            responder,
            entry,
            service,
            split,
            self._release_choice.pick_release(req, entry, service, split),
            request_id,
            encode_request_headers(req.headers, self.access.own_headers),
            deadline,
            received_at + objective_ms / 1000 if objective_ms else 0.0,
            self._caller_service(),
            received_at,
            self._routes.version if self._routes is not None else 0,
            parent,
        )
        call.identity = identity
        call.customer_table = self.access.table
        if self._region_rules.restricts:
            self._apply_regions(call)
        return call

    def _find_deadline(
        self,
        req: HttpRequest,
        entry: RouteEntry,
        parent: RunningRequest | None,
        now: float,
    ) -> float:
        """Return the monotonic time in seconds at which a request ends at the latest.

        Raises
        ------
        NotRunError
            That time has passed.
        """
        timeout_ms = entry.route.timeout_ms
        caller_timeout_ms = parse_deadline_ms(req.header(self._dialect.deadline))
        if caller_timeout_ms is not None:
            timeout_ms = min(timeout_ms, caller_timeout_ms)
        deadline = now + timeout_ms / 1000
        if parent is not None:
            # The request that makes a call has no use for it afterwards.
            deadline = min(deadline, parent.deadline)
        if deadline <= now:
            raise NotRunError(
                "deadline has passed", ResultCode.REQUEST_NOT_RUN_DEADLINE
            )
        return deadline

    def _apply_regions(self, call: Call) -> None:
        route = call.route_entry.route.name
        call.regions = self._region_rules.allowed(route, call.customer)
        if not is_allowed(self._members.local.region, call.regions):
            call.is_foreign = True

    def _update_regions(self, call: Call) -> None:
        """Apply the regions of the bundle in force if it changed since the last check.

        A request whose route the new bundle lacks keeps the regions that it had.
        """
        routes = self._routes
        if routes is None or routes.version == call.regions_version:
            return
        call.regions_version = routes.version
        entry = routes.find(call.req.target, call.req.header(b"host") or b"")
        if entry is None:
            return
        regions = self._region_rules.allowed(entry.route.name, call.customer)
        call.regions = regions
        if not is_allowed(self._members.local.region, regions):
            call.is_foreign = True

    def _check_region(self, call: Call, target: Target) -> None:
        """Refuse an attempt in a region that the bundle in force excludes."""
        self._update_regions(call)
        if not is_allowed(target.member.region, call.regions):
            raise _region_error(call)

    def _may_be_foreign(self, req: HttpRequest) -> bool:
        """Return whether this node may be outside the regions of a request.

        Without a bundle, or without a customer that was found, this is not known.
        """
        routes = self._routes
        if routes is None:
            return True
        if not self._region_rules.restricts:
            return False
        entry = routes.find(req.target, req.header(b"host") or b"")
        route = entry.route.name if entry is not None else ""
        return self._region_rules.may_exclude(route, self._members.local.region)

    def _has_stopped(self, now: float) -> bool:
        return self.stop_window is not None and now >= self.stop_window.ends_at

    def _limit_deadline(
        self, window: StopWindow, deadline: float, now: float, is_nested: bool
    ) -> float:
        try:
            return window.limit_deadline(deadline, now, is_nested)
        except NotRunError:
            self.refused_while_draining += 1
            raise

    def _find_route(self, req: HttpRequest, internal: bool) -> RouteEntry:
        if self._routes is None:
            raise NotRunError(
                "no bundle in force", ResultCode.REQUEST_NOT_RUN_NO_BUNDLE
            )
        if not self._evacuations.is_known:
            raise NotRunError(
                "evacuations are not known yet", ResultCode.REQUEST_NOT_RUN_NO_BUNDLE
            )
        entry = self._routes.find(req.target, req.header(b"host") or b"")
        if entry is None:
            raise NotRunError(
                "no route matches the request", ResultCode.REQUEST_NOT_RUN_NO_ROUTE
            )
        if entry.service.internal and not internal:
            raise NotRunError(
                f"service {entry.service.name!r} is internal",
                ResultCode.REQUEST_NOT_RUN_INTERNAL_ONLY,
            )
        return entry

    def _request_id(self, req: HttpRequest, internal: bool) -> str:
        given_id = None
        if internal or self._dialect.forwards_given_id:
            given_id = req.header(self._dialect.request_id)
        if given_id:
            return given_id.decode("latin-1")
        return (
            ""
            if self._dialect.forwards_given_id
            else f"{self._rng.getrandbits(64):016x}"
        )

    async def _execute_call(self, call: Call) -> None:
        with trio.CancelScope(deadline=call.deadline) as scope:
            call.req.cancel_scope = scope
            await self._attempt_until_done(call)
        if not scope.cancelled_caught:
            return
        if call.req.caller_disconnected:
            raise CallerDisconnectedError("caller closed the connection")
        if call.retained_error is not None and not call.responder.started:
            await self._forward_retained_error(call)
            return
        if call.may_have_run:
            stops = self._has_stopped(trio.current_time())
            raise RequestError(
                "no complete response before "
                + ("the node stops" if stops else "the deadline"),
                ResultCode.REQUEST_OUTCOME_UNKNOWN_DEADLINE,
            )
        raise NotRunError(
            "not run before the deadline", ResultCode.REQUEST_NOT_RUN_DEADLINE
        )

    async def _attempt_until_done(self, call: Call) -> None:
        service = call.service.name
        if not call.idempotent:
            await call.req.wait_for_turn()
        self._admit(call)
        self.retry_budget.record_request(trio.current_time(), service)
        while True:
            try:
                if call.attempts:
                    self._admit(call)
            except NotRunError as exc:
                if call.retained_error is not None:
                    await self._forward_retained_error(call)
                    return
                if call.may_have_run:
                    raise error_to_report(call, exc) from exc
                raise
            call.attempts += 1
            held_quota = False
            call.retains_errors = self._may_retain_error(call)
            try:
                target, candidates = self._choose(call)
                # A run uses the quota, also when its outcome is not known.
                held_quota, call.holds_quota = call.holds_quota, False
                await self._dispatcher.attempt(call, target, candidates)
                call.delivered_attempts += 1
            except (RequestError, PeerError, AuthError) as exc:
                if isinstance(exc, NotRunError):
                    call.holds_quota = call.holds_quota or held_quota
                    if exc.code in SHED_CODES:
                        call.last_shed = (exc.code, exc.retry_after_s)
                else:
                    call.may_have_run = True
                if not self._may_retry(call, exc, trio.current_time()):
                    if call.retained_error is None:
                        if error_to_report(call, exc) is exc:
                            raise  # As its own cause it would be a reference cycle.
                        raise error_to_report(call, exc) from exc
                    await self._forward_retained_error(call)
                    return
            else:
                if call.responder.started:
                    return
                call.may_have_run = True
                if not self.retry_budget.acquire_retry(trio.current_time(), service):
                    await self._forward_retained_error(call)
                    return
            call.body.rewind()

    def _admit(self, call: Call) -> None:
        """Check the key of a request, and take quota for its next run.

        Raises
        ------
        NotRunError
            The key was withdrawn, or the quota of the customer is used up.
        """
        self._renew_identity(call)
        if self._quota is None or call.holds_quota or not call.identity.is_limited:
            return
        now = trio.current_time()
        name = call.identity.customer
        wait_s = self._quota.try_acquire(name, now)
        if wait_s:
            raise NotRunError(
                "the customer has used up its quota",
                ResultCode.REQUEST_NOT_RUN_QUOTA,
                wait_s,
                self._quota.state_of(name, now),
            )
        call.holds_quota = True

    def _return_quota(self, call: Call) -> None:
        if call.holds_quota and self._quota is not None:
            call.holds_quota = False
            self._quota.release(call.identity.customer)

    def _renew_identity(self, call: Call) -> None:
        """Identify the customer again if the customers in force have changed.

        Raises
        ------
        NotRunError
            The key of the request was withdrawn.
        """
        if call.customer_table is self.access.table:
            return
        self._return_quota(call)
        self._identifier.identify_again(call, trio.current_time())
        call.encode_headers(self.access.own_headers)

    def _may_retain_error(self, call: Call) -> bool:
        return (
            self._policy.retry_errors
            and call.may_be_repeated
            and call.retained_error is None
        )

    async def _forward_retained_error(self, call: Call) -> None:
        """Forward a retained error response when no retry succeeded."""
        assert call.retained_error is not None
        call.retains_errors = False
        head, body = call.retained_error
        await call.send_complete(head, body)

    def _choose(self, call: Call) -> tuple[Target, Candidates]:
        self._update_regions(call)
        now = trio.current_time()
        now_ms = self._clock.now_ms()
        service = call.service.name
        pick_info = PickInfo(
            call.route_entry.route.name, max(0.0, call.objective - now)
        )
        candidates = self._find_candidates(call, now, now_ms)
        target = self._chooser.choose(
            candidates, call.attempted, now, now_ms, pick_info
        )
        if target is None and self._fall_back_to_old_release(call, now_ms):
            candidates = self._find_candidates(call, now, now_ms)
            target = self._chooser.choose(
                candidates, call.attempted, now, now_ms, pick_info
            )
        if target is None and self._is_evacuated(call, candidates):
            raise NotRunError(
                f"data centres with {service!r} {call.release!r} are evacuated",
                ResultCode.REQUEST_NOT_RUN_EVACUATED,
                EVACUATED_RETRY_AFTER_S,
            )
        if (
            call.regions is not None
            and target is not None
            and not target.reachable(now)
        ):
            # Waiting for each of them in turn would delay the refusal.
            unreachable = {t for t in _targets(candidates) if not t.reachable(now)}
            target = self._chooser.choose(
                candidates, call.attempted | unreachable, now, now_ms, pick_info
            )
        if (
            target is None
            and call.last_shed is not None
            and (self._weighs_work or call.regions is not None)
        ):
            code, retry_after_s = call.last_shed
            if code is ResultCode.REQUEST_NOT_RUN_REFUSED:
                # No further attempt reached a backend server.
                code = ResultCode.REQUEST_NOT_RUN_OVERLOADED
            raise NotRunError(
                f"all backend servers of {service!r} {call.release!r} refused it",
                code,
                retry_after_s,
            )
        if (
            target is None
            and call.regions is not None
            and not any(t.reachable(now) for t in _targets(candidates))
        ):
            raise _region_error(call)
        if target is None:
            raise NotRunError(f"no backend server of {service!r} {call.release!r}")
        call.attempted.add(target)
        if target.is_paced:
            self._pacer.record_choice(
                target, call.service.warmup_requests_per_s, now, now_ms
            )
        return target, candidates

    def _find_candidates(self, call: Call, now: float, now_ms: int) -> Candidates:
        service = call.service
        candidates = self.candidate_tables.find(
            service.name, call.release, now, call.regions
        )
        if service.warmup_requests_per_s:
            self._pacer.prepare(candidates, service.warmup_requests_per_s, now, now_ms)
        return candidates

    def _is_evacuated(self, call: Call, candidates: Candidates) -> bool:
        return candidates is NO_CANDIDATES and self.candidate_tables.is_evacuated(
            call.service.name, call.release
        )

    def _fall_back_to_old_release(self, call: Call, now_ms: int) -> bool:
        """Switch to the old release if the new one has no backend server at all.

        Returns whether it did.
        """
        split = call.split
        if call.attempted or split.share >= 1.0 or call.release == split.old_release:
            return False
        if call.regions is None:
            # A release that runs elsewhere is no failure of the release.
            self._sink.record(
                call.route_entry.route.name,
                call.service.name,
                call.release,
                split.move_id,
                Outcome.NOT_RUN,
                0.0,
                0,
                False,
                now_ms,
            )
        call.release = split.old_release
        return True

    def _may_retry(self, call: Call, exc: MarigoldchuteError, now: float) -> bool:
        if call.responder.started or not call.body.is_rewindable:
            return False
        if exc.code in FINAL_REFUSAL_CODES:
            return False
        if exc.code in CALLER_ERROR_CODES or isinstance(exc, CallerDisconnectedError):
            return False
        if call.may_have_run and not call.idempotent:
            return False
        if call.deadline - now < MIN_REMAINING_TIME_RATIO * (
            call.deadline - call.started_at
        ):
            return False
        reached_backend = True
        if isinstance(exc, NotRunError):
            call.refused_attempts += 1
            reached_backend = exc.code is ResultCode.REQUEST_NOT_RUN_REFUSED
            if call.refused_attempts >= self._max_refused_attempts:
                return False
        if not reached_backend:
            return True  # Only attempts that reach a backend server count as retries.
        call.delivered_attempts += 1
        if call.delivered_attempts >= call.route_entry.route.max_attempts:
            return False
        return self.retry_budget.acquire_retry(now, call.service.name)

    @property
    def _max_refused_attempts(self) -> int:
        if self._weighs_work:
            return MAX_REFUSED_ATTEMPTS
        return DEFAULT_MAX_REFUSED_ATTEMPTS

    def _record_latency(self, call: Call, outcome: Outcome, started: float) -> None:
        total_us = int((time.perf_counter() - started) * 1_000_000)
        if call.response_head is not None:
            total_us -= call.response_head.backend_us
            if (
                outcome is Outcome.OK
                and call.response_head.status >= MIN_SERVER_ERROR_STATUS
            ):
                outcome = Outcome.ERROR
        self.metrics.record(call.route_entry.route.name, outcome.value, total_us)


def _targets(candidates: Candidates) -> Iterator[Target]:
    yield from candidates.data_centre
    yield from candidates.region
    yield from candidates.remote


def _region_error(call: Call) -> NotRunError:
    regions = ", ".join(call.regions or ()) or "none"
    return NotRunError(
        f"no reachable server of {call.service.name!r} in allowed regions: {regions}",
        ResultCode.REQUEST_NOT_RUN_REGION,
    )
