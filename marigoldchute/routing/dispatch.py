"""One attempt of a request at a backend server, local or over a link."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import (
    AuthError,
    NotRunError,
    PeerError,
    RequestError,
    ResultCode,
)
from marigoldchute.routing.call import MIN_SERVER_ERROR_STATUS
from marigoldchute.routing.duplex import send_and_receive
from marigoldchute.routing.failure import SHED_CODES, outcome_of
from marigoldchute.routing.messages import ENCODER
from marigoldchute.routing.outcomes import Outcome
from marigoldchute.routing.target import BUSY_BACKOFF_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.link.link import Link
    from marigoldchute.link.pool import LinkPool
    from marigoldchute.membership.model import Members
    from marigoldchute.routing.call import Call
    from marigoldchute.routing.candidates import Candidates
    from marigoldchute.routing.choice import Chooser
    from marigoldchute.routing.messages import RequestHead
    from marigoldchute.routing.outcomes import OutcomeSink
    from marigoldchute.routing.owner import Owner
    from marigoldchute.routing.target import Target
    from marigoldchute.util.clock import Clock

OPEN_LINK_TIMEOUT_S = 1.0
UNREACHABLE_BACKOFF_S = 1.0
# Refusals that last until the node learns of their cause, which takes less than the
# pause of a target that cannot be reached.
LASTING_CODES = frozenset(
    {
        ResultCode.REQUEST_NOT_RUN_DRAINING,
        ResultCode.REQUEST_NOT_RUN_EVACUATED,
    }
)
# Longer than the attempts of one request need to time out at several targets, so that
# the next requests for the same regions are refused without waiting.
UNREACHABLE_MEMORY_S = 3.0


class Dispatcher:
    """Sends requests to the owners of backend servers and records the outcomes.

    Parameters
    ----------
    members : Members
        Members of the mesh.
    traffic : LinkPool
        Links to the owners.
    owner : Owner
        Owner side of the request path on this node.
    chooser : Chooser
        Load-balancing policy; gets run times, failures and bytes on the links.
    sink : OutcomeSink
        Receives the outcome of every attempt.
    clock : Clock
        Wall clock of the process.
    check_target : callable
        Raises ``NotRunError`` if a request may no longer be sent to a target.
    """

    def __init__(
        self,
        members: Members,
        traffic: LinkPool,
        owner: Owner,
        chooser: Chooser,
        sink: OutcomeSink,
        clock: Clock,
        check_target: Callable[[Call, Target], None],
    ) -> None:
        self._members = members
        self._traffic = traffic
        self._owner = owner
        self._chooser = chooser
        self._sink = sink
        self._clock = clock
        self._check_target = check_target

    async def attempt(self, call: Call, target: Target, candidates: Candidates) -> None:
        """Run a request at a target and forward its response.

        Raises
        ------
        NotRunError
            The request did not run.
        RequestError, PeerError, AuthError
            It may have run, and no complete response was forwarded.
        """
        started = time.perf_counter()
        outcome = Outcome.UNKNOWN
        call.response_head = None
        expected_load = target.expected_load(trio.current_time())
        cold = target.is_cold(self._clock.now_ms())
        code = ResultCode.OK
        self._sink.record_attempt(call.service.name, call.release, call.split.move_id)
        target.in_flight += 1
        try:
            head = call.make_request_head(target, trio.current_time())
            if target.member.name == self._members.local.name:
                call.may_have_run, may_have_run_before = True, call.may_have_run
                try:
                    await self._owner.execute(head, call)
                except NotRunError:
                    call.may_have_run = may_have_run_before
                    raise
            else:
                await self._attempt_remote(call, target, head)
            assert call.response_head is not None
            is_error = call.response_head.status >= MIN_SERVER_ERROR_STATUS
            outcome = Outcome.ERROR if is_error else Outcome.OK
        except trio.Cancelled:
            caller_disconnected = call.req.caller_disconnected
            outcome = Outcome.CANCELLED if caller_disconnected else Outcome.OVERDUE
            raise
        except (RequestError, PeerError, AuthError) as exc:
            outcome = outcome_of(exc)
            code = exc.code
            if isinstance(exc, NotRunError):
                _handle_refusal(target, exc)
            if exc.code is ResultCode.REQUEST_NOT_RUN_EVACUATED:
                now = trio.current_time()
                call.attempted |= leave_out_data_centre(target, candidates, now)
            raise
        finally:
            target.in_flight -= 1
            latency_ms = (time.perf_counter() - started) * 1000
            call.attempt_log.append(
                f"{target.member.name} {target.server.server_id} {outcome.value}"
                f" code={code.value} ms={latency_ms:.0f} load={expected_load:.1f}"
                f"/{target.server.slots}"
            )
            self._record_outcome(call, target, candidates, outcome, latency_ms, cold)

    async def _attempt_remote(
        self, call: Call, target: Target, head: RequestHead
    ) -> None:
        link = self._traffic.find_open(target.member.name)
        if link is None:
            link = await self._open_link(target)
            target.unreachable_until = 0.0
            self._check_target(call, target)
        body = call.body.pop_complete_body()
        encoded = ENCODER.encode(head)
        try:
            stream = link.open_stream(encoded, body)
        except PeerError as exc:
            raise _unreachable_error(target) from exc
        # Another attempt would start at once; otherwise the response may still come.
        stream.outlasts_silence = not call.may_be_repeated
        call.may_have_run, may_have_run_before = True, call.may_have_run
        call.link_bytes = len(encoded) + len(body or b"")
        try:
            if body is not None:
                await call.forward_response(stream)
            else:
                await send_and_receive(
                    lambda: call.send_body(stream),
                    lambda: call.forward_response(stream),
                )
        except NotRunError:
            call.may_have_run = may_have_run_before
            stream.reset(ResultCode.REQUEST_CANCELLED)
            raise
        except BaseException:
            stream.reset(ResultCode.REQUEST_CANCELLED)
            raise
        finally:
            link.remove_stream(stream)
            now = trio.current_time()
            self._chooser.record_link_bytes(target, call.link_bytes, now)

    async def _open_link(self, target: Target) -> Link:
        with trio.move_on_after(OPEN_LINK_TIMEOUT_S):
            try:
                return await self._traffic.get(target.member.name)
            except (PeerError, AuthError) as exc:
                raise _unreachable_error(target) from exc
        raise _unreachable_error(target)

    def _record_outcome(
        self,
        call: Call,
        target: Target,
        candidates: Candidates,
        outcome: Outcome,
        latency_ms: float,
        cold: bool,
    ) -> None:
        now = trio.current_time()
        now_ms = self._clock.now_ms()
        response_head = call.response_head
        if outcome in (Outcome.OK, Outcome.ERROR):
            target.record_response(latency_ms, outcome is Outcome.ERROR)
        if outcome in (Outcome.UNKNOWN, Outcome.OVERDUE, Outcome.NOT_RUN):
            target.record_failure()
        if outcome is not Outcome.OK:
            self._chooser.record_failure(target, candidates, now)
        if response_head is not None:
            call.found_queue = response_head.load > target.server.slots
            target.record_load(response_head.load, now)
            if outcome is Outcome.OK:
                run_ms = response_head.backend_us / 1000
                self._chooser.record_run_time(
                    target,
                    call.route_entry.route.name,
                    run_ms,
                    call.body_bytes,
                    response_head.mean_run_us / 1000,
                )
        self._sink.record(
            call.route_entry.route.name,
            call.service.name,
            call.release,
            call.split.move_id,
            outcome,
            latency_ms,
            response_head.load_level if response_head is not None else 0,
            cold,
            now_ms,
        )


def leave_out_data_centre(
    refused: Target, candidates: Candidates, now: float
) -> set[Target]:
    """Pause and return the targets in the data centre of a target that is evacuated.

    Its owner has learned of the evacuation before this node. Without that, the further
    attempts of a request would be refused there as well.
    """
    data_centre = refused.member.data_centre
    targets = {
        target
        for tier in (candidates.data_centre, candidates.region, candidates.remote)
        for target in tier
        if target.member.data_centre == data_centre
    }
    for target in targets:
        target.pause(now + UNREACHABLE_BACKOFF_S)
    return targets


def _unreachable_error(target: Target) -> NotRunError:
    """Pause the target and return the error of the attempt."""
    target.busy_until = trio.current_time() + UNREACHABLE_BACKOFF_S
    target.unreachable_until = trio.current_time() + UNREACHABLE_MEMORY_S
    return NotRunError(f"{target.member.name} cannot be reached")


def _handle_refusal(target: Target, exc: NotRunError) -> None:
    if exc.code in LASTING_CODES:
        target.busy_until = trio.current_time() + UNREACHABLE_BACKOFF_S
    elif exc.code is ResultCode.REQUEST_NOT_RUN_WARMING_UP:
        now = trio.current_time()
        target.presume_cold(now)
        target.pause(now + max(BUSY_BACKOFF_S, exc.retry_after_s))
    elif exc.code in SHED_CODES:
        target.back_off(trio.current_time())
