"""Entry side of the request path: from a caller to the node of a backend server."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import (
    AuthError,
    MarigoldchuteError,
    NotRunError,
    PeerError,
    RequestError,
    ResultCode,
)
from marigoldchute.routing.budget import RetryBudget
from marigoldchute.routing.call import Call
from marigoldchute.routing.candidates import CandidateTables
from marigoldchute.routing.duplex import send_and_receive
from marigoldchute.routing.failure import SHED_CODES, outcome_of, truthful
from marigoldchute.routing.failure_log import FailureLog
from marigoldchute.routing.headers import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    parse_deadline_ms,
    request_block,
)
from marigoldchute.routing.http_request import CallerGoneError
from marigoldchute.routing.messages import ENCODER
from marigoldchute.routing.metrics import RouteMetrics
from marigoldchute.routing.outcomes import Outcome
from marigoldchute.routing.refusal import CALLER_FAULTS, send_refusal
from marigoldchute.routing.route_table import RouteTable
from marigoldchute.routing.sticky import sticky_point

if TYPE_CHECKING:
    import random

    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.bundle.model import Bundle
    from marigoldchute.events import EventLog
    from marigoldchute.link.link import Link
    from marigoldchute.link.pool import LinkPool
    from marigoldchute.membership.model import Members
    from marigoldchute.moves.engine import MoveEngine
    from marigoldchute.moves.model import Split
    from marigoldchute.routing.candidates import Candidates
    from marigoldchute.routing.choice import Chooser
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder
    from marigoldchute.routing.messages import RequestHead
    from marigoldchute.routing.outcomes import OutcomeSink
    from marigoldchute.routing.owner import Owner
    from marigoldchute.routing.route_table import RouteEntry
    from marigoldchute.routing.target import Target
    from marigoldchute.util.clock import Clock

RETRY_SHARE = 0.2
RETRY_FLOOR_PER_S = 5.0
RETRY_BURST = 20.0
LINK_WAIT_S = 1.0
UNREACHABLE_BACKOFF_S = 1.0
ERROR_STATUS = 500


class Entry:
    """Routes callers' requests by the bundle in force.

    Parameters
    ----------
    in_force : InForce
        Bundle in force.
    engine : MoveEngine
        Split of each service between releases.
    members : Members
        Members of the mesh.
    traffic : LinkPool
        Links to the owners.
    owner : Owner
        Owner side of this node.
    chooser : Chooser
        Policy of the choice.
    sink : OutcomeSink
        Receives the outcome of every try.
    log : EventLog
        Event log of the process.
    clock : Clock
        Wall clock of the process.
    rng : random.Random
        Random choices.
    """

    def __init__(
        self,
        in_force: InForce,
        engine: MoveEngine,
        members: Members,
        traffic: LinkPool,
        owner: Owner,
        chooser: Chooser,
        sink: OutcomeSink,
        log: EventLog,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.metrics = RouteMetrics()
        self.tables = CandidateTables(members)
        self._routes: RouteTable | None = None
        self._engine = engine
        self._members = members
        self._traffic = traffic
        self._owner = owner
        self._chooser = chooser
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self.retry_budget = RetryBudget(RETRY_SHARE, RETRY_FLOOR_PER_S, RETRY_BURST)
        self._failures = FailureLog(log)
        in_force.on_swap(self._take_bundle)

    def _take_bundle(self, bundle: Bundle) -> None:
        self._routes = RouteTable(bundle)

    async def handle_external(self, req: HttpRequest, responder: HttpResponder) -> None:
        """Answer a request from a caller outside the mesh."""
        await self._handle(req, responder, False)

    async def handle_internal(self, req: HttpRequest, responder: HttpResponder) -> None:
        """Answer a request from a backend server on this VM."""
        await self._handle(req, responder, True)

    async def _handle(
        self, req: HttpRequest, responder: HttpResponder, internal: bool
    ) -> None:
        started = time.perf_counter()
        call = None
        outcome = Outcome.OK
        try:
            call = self._make_call(req, responder, internal)
            await self._run_call(call)
        except CallerGoneError:
            outcome = Outcome.CANCELLED
        except (RequestError, PeerError, AuthError) as exc:
            outcome = outcome_of(exc)
            self._failures.emit(req, call, outcome, exc, trio.current_time())
            if not responder.started:
                await send_refusal(responder, exc)
        if call is not None:
            self._measure(call, outcome, started)

    def _make_call(
        self, req: HttpRequest, responder: HttpResponder, internal: bool
    ) -> Call:
        if self._members.fenced:
            raise NotRunError(
                "too few members are heard", ResultCode.REQUEST_NOT_RUN_FENCED
            )
        entry = self._find_route(req.target, internal)
        split = self._engine.split(entry.service.name, entry.service.release)
        timeout_ms = entry.route.timeout_ms
        given_ms = parse_deadline_ms(req.header(DEADLINE_HEADER))
        if given_ms is not None:
            timeout_ms = min(timeout_ms, given_ms)
        if timeout_ms <= 0:
            raise NotRunError(
                "deadline has passed", ResultCode.REQUEST_NOT_RUN_DEADLINE
            )
        return Call(
            req,
            responder,
            entry,
            split,
            self._pick_release(req, entry, split),
            self._request_id(req, internal),
            request_block(req.headers),
            trio.current_time() + timeout_ms / 1000,
        )

    def _find_route(self, target: bytes, internal: bool) -> RouteEntry:
        if self._routes is None:
            raise NotRunError(
                "no bundle in force", ResultCode.REQUEST_NOT_RUN_NO_BUNDLE
            )
        entry = self._routes.find(target)
        if entry is None:
            raise NotRunError("no route", ResultCode.REQUEST_NOT_RUN_NO_ROUTE)
        if entry.service.internal and not internal:
            raise NotRunError(
                f"service {entry.service.name!r} is internal",
                ResultCode.REQUEST_NOT_RUN_INTERNAL_ONLY,
            )
        return entry

    def _pick_release(self, req: HttpRequest, entry: RouteEntry, split: Split) -> str:
        if split.share <= 0.0:
            return split.old_release
        if split.share >= 1.0:
            return split.new_release
        point = None
        if entry.sticky_header:
            value = req.header(entry.sticky_header)
            if value is not None:
                point = sticky_point(split.move_id, value)
        if point is None:
            point = self._rng.random()
        return split.new_release if point < split.share else split.old_release

    def _request_id(self, req: HttpRequest, internal: bool) -> str:
        given = req.header(REQUEST_ID_HEADER) if internal else None
        if given:
            return given.decode("latin-1")
        return f"{self._rng.getrandbits(64):016x}"

    async def _run_call(self, call: Call) -> None:
        with trio.CancelScope(deadline=call.deadline) as scope:
            call.req.scope = scope
            await self._try_until_done(call)
        if not scope.cancelled_caught:
            return
        if call.req.caller_gone:
            raise CallerGoneError("caller closed the connection")
        if call.maybe_run:
            raise RequestError(
                "no whole answer before the deadline",
                ResultCode.REQUEST_OUTCOME_UNKNOWN_DEADLINE,
            )
        raise NotRunError(
            "not run before the deadline", ResultCode.REQUEST_NOT_RUN_DEADLINE
        )

    async def _try_until_done(self, call: Call) -> None:
        self.retry_budget.add_request()
        while True:
            target, candidates = self._choose(call)
            call.tries += 1
            try:
                await self._try_once(call, target, candidates)
                return
            except (RequestError, PeerError, AuthError) as exc:
                if not isinstance(exc, NotRunError):
                    call.maybe_run = True
                if not self._may_retry(call, exc, trio.current_time()):
                    raise truthful(call, exc) from exc
            call.body.rewind()

    def _choose(self, call: Call) -> tuple[Target, Candidates]:
        now = trio.current_time()
        now_ms = self._clock.now_ms()
        service = call.entry.service.name
        candidates = self.tables.find(service, call.release, now)
        target = self._chooser.choose(candidates, call.tried, now, now_ms)
        if target is None and self._fall_back(call, now_ms):
            candidates = self.tables.find(service, call.release, now)
            target = self._chooser.choose(candidates, call.tried, now, now_ms)
        if target is None:
            raise truthful(
                call,
                NotRunError(f"no backend server of {service!r} {call.release!r}"),
            )
        call.tried.add(target)
        return target, candidates

    def _fall_back(self, call: Call, now_ms: int) -> bool:
        """Use the old release while the new one has no backend server at all."""
        split = call.split
        if call.tried or split.share >= 1.0 or call.release == split.old_release:
            return False
        self._record(call, Outcome.NOT_RUN, 0.0, False, now_ms)
        call.release = split.old_release
        return True

    async def _try_once(
        self, call: Call, target: Target, candidates: Candidates
    ) -> None:
        started = time.perf_counter()
        outcome = Outcome.UNKNOWN
        target.in_flight += 1
        try:
            head = call.head_for(target, trio.current_time())
            if target.member.name == self._members.local.name:
                call.maybe_run, before = True, call.maybe_run
                try:
                    await self._owner.execute(head, call)
                except NotRunError:
                    call.maybe_run = before
                    raise
            else:
                await self._try_remote(call, target, head)
            assert call.answer is not None
            error = call.answer.status >= ERROR_STATUS
            outcome = Outcome.ERROR if error else Outcome.OK
        except trio.Cancelled:
            if call.req.caller_gone:
                outcome = Outcome.CANCELLED
            raise
        except (RequestError, PeerError, AuthError) as exc:
            outcome = outcome_of(exc)
            if isinstance(exc, NotRunError):
                self._take_refusal(target, exc)
            raise
        finally:
            target.in_flight -= 1
            latency_ms = (time.perf_counter() - started) * 1000
            self._observe(call, target, candidates, outcome, latency_ms)

    async def _try_remote(self, call: Call, target: Target, head: RequestHead) -> None:
        link = self._traffic.live(target.member.name)
        if link is None:
            link = await self._open_link(target)
        body = call.body.take_whole()
        encoded = ENCODER.encode(head)
        try:
            stream = link.open_stream(encoded, body)
        except PeerError as exc:
            raise self._unreachable(target) from exc
        call.maybe_run, before = True, call.maybe_run
        call.link_bytes = len(encoded) + len(body or b"")
        try:
            if body is not None:
                await call.pass_answer(stream)
            else:
                await send_and_receive(
                    lambda: call.send_body(stream), lambda: call.pass_answer(stream)
                )
        except NotRunError:
            call.maybe_run = before
            stream.reset(ResultCode.REQUEST_CANCELLED)
            raise
        except BaseException:
            stream.reset(ResultCode.REQUEST_CANCELLED)
            raise
        finally:
            link.forget_stream(stream)
            now = trio.current_time()
            self._chooser.charge_link(target, call.link_bytes, now)

    async def _open_link(self, target: Target) -> Link:
        with trio.move_on_after(LINK_WAIT_S):
            try:
                return await self._traffic.get(target.member.name)
            except (PeerError, AuthError) as exc:
                raise self._unreachable(target) from exc
        raise self._unreachable(target)

    def _unreachable(self, target: Target) -> NotRunError:
        target.busy_until = trio.current_time() + UNREACHABLE_BACKOFF_S
        return NotRunError(f"{target.member.name} cannot be reached")

    def _take_refusal(self, target: Target, exc: NotRunError) -> None:
        if exc.code in SHED_CODES:
            target.take_busy(trio.current_time())
        elif exc.code is ResultCode.REQUEST_NOT_RUN_DRAINING:
            target.busy_until = trio.current_time() + UNREACHABLE_BACKOFF_S

    def _may_retry(self, call: Call, exc: MarigoldchuteError, now: float) -> bool:
        if call.responder.started or not call.body.rewindable:
            return False
        if exc.code in CALLER_FAULTS or isinstance(exc, CallerGoneError):
            return False
        if call.maybe_run and not call.idempotent:
            return False
        if call.tries >= call.entry.route.max_attempts or now >= call.deadline:
            return False
        if exc.code is ResultCode.REQUEST_NOT_RUN_DRAINING:
            return True  # A planned stop is no sign of overload.
        return self.retry_budget.take_retry(now)

    def _observe(
        self,
        call: Call,
        target: Target,
        candidates: Candidates,
        outcome: Outcome,
        latency_ms: float,
    ) -> None:
        now_ms = self._clock.now_ms()
        if outcome in (Outcome.OK, Outcome.ERROR):
            target.take_answer(latency_ms, outcome is Outcome.ERROR)
        if outcome in (Outcome.UNKNOWN, Outcome.NOT_RUN):
            target.take_failure()
        if outcome is not Outcome.OK:
            self._chooser.take_failure(target, candidates, trio.current_time())
        self._record(call, outcome, latency_ms, target.is_cold(now_ms), now_ms)

    def _record(
        self, call: Call, outcome: Outcome, latency_ms: float, cold: bool, now_ms: int
    ) -> None:
        self._sink.record(
            call.entry.route.name,
            call.entry.service.name,
            call.release,
            call.split.move_id,
            outcome,
            latency_ms,
            call.answer.load_level if call.answer is not None else 0,
            cold,
            now_ms,
        )

    def _measure(self, call: Call, outcome: Outcome, started: float) -> None:
        total_us = int((time.perf_counter() - started) * 1_000_000)
        if call.answer is not None:
            total_us -= call.answer.backend_us
            if outcome is Outcome.OK and call.answer.status >= ERROR_STATUS:
                outcome = Outcome.ERROR
        self.metrics.record(call.entry.route.name, outcome.value, total_us)
