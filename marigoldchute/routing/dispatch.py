"""One try of a request at one backend server, here or over a link."""

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
from marigoldchute.routing.call import SERVER_FAILURE
from marigoldchute.routing.duplex import send_and_receive
from marigoldchute.routing.failure import SHED_CODES, outcome_of
from marigoldchute.routing.messages import ENCODER
from marigoldchute.routing.outcomes import Outcome

if TYPE_CHECKING:
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

LINK_WAIT_S = 1.0
UNREACHABLE_BACKOFF_S = 1.0


class Dispatcher:
    """Takes requests to the owners of backend servers and notes how they end.

    Parameters
    ----------
    members : Members
        Members of the mesh.
    traffic : LinkPool
        Links to the owners.
    owner : Owner
        Owner side of this node.
    chooser : Chooser
        Learns of failures and of bytes on the links.
    sink : OutcomeSink
        Receives the outcome of every try.
    clock : Clock
        Wall clock of the process.
    """

    def __init__(
        self,
        members: Members,
        traffic: LinkPool,
        owner: Owner,
        chooser: Chooser,
        sink: OutcomeSink,
        clock: Clock,
    ) -> None:
        self._members = members
        self._traffic = traffic
        self._owner = owner
        self._chooser = chooser
        self._sink = sink
        self._clock = clock

    async def try_once(
        self, call: Call, target: Target, candidates: Candidates
    ) -> None:
        """Run a request at a target and pass its answer on.

        Raises
        ------
        NotRunError
            The request did not run.
        RequestError, PeerError, AuthError
            It may have run, and no whole answer was passed on.
        """
        started = time.perf_counter()
        outcome = Outcome.UNKNOWN
        call.answer = None
        expected_load = target.expected_load(trio.current_time())
        cold = target.is_cold(self._clock.now_ms())
        code = ResultCode.OK
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
            error = call.answer.status >= SERVER_FAILURE
            outcome = Outcome.ERROR if error else Outcome.OK
        except trio.Cancelled:
            gone = call.req.caller_gone
            outcome = Outcome.CANCELLED if gone else Outcome.OVERDUE
            raise
        except (RequestError, PeerError, AuthError) as exc:
            outcome = outcome_of(exc)
            code = exc.code
            if isinstance(exc, NotRunError):
                _take_refusal(target, exc)
            raise
        finally:
            target.in_flight -= 1
            latency_ms = (time.perf_counter() - started) * 1000
            call.trail.append(
                f"{target.member.name} {target.server.server_id} {outcome.value}"
                f" code={code.value} ms={latency_ms:.0f} load={expected_load:.1f}"
                f"/{target.server.slots}"
            )
            self._observe(call, target, candidates, outcome, latency_ms, cold)

    async def _try_remote(self, call: Call, target: Target, head: RequestHead) -> None:
        link = self._traffic.live(target.member.name)
        if link is None:
            link = await self._open_link(target)
        body = call.body.take_whole()
        encoded = ENCODER.encode(head)
        try:
            stream = link.open_stream(encoded, body)
        except PeerError as exc:
            raise _unreachable(target) from exc
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
                raise _unreachable(target) from exc
        raise _unreachable(target)

    def _observe(
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
        answer = call.answer
        if outcome in (Outcome.OK, Outcome.ERROR):
            target.take_answer(latency_ms, outcome is Outcome.ERROR)
        if outcome in (Outcome.UNKNOWN, Outcome.OVERDUE, Outcome.NOT_RUN):
            target.take_failure()
        if outcome is not Outcome.OK:
            self._chooser.take_failure(target, candidates, now)
        if answer is not None:
            target.take_load(answer.load, now)
            if outcome is Outcome.OK:
                run_ms = answer.backend_us / 1000
                self._chooser.take_run(target, call.entry.route.name, run_ms)
        self._sink.record(
            call.entry.route.name,
            call.service.name,
            call.release,
            call.split.move_id,
            outcome,
            latency_ms,
            answer.load_level if answer is not None else 0,
            cold,
            now_ms,
        )


def _unreachable(target: Target) -> NotRunError:
    target.busy_until = trio.current_time() + UNREACHABLE_BACKOFF_S
    return NotRunError(f"{target.member.name} cannot be reached")


def _take_refusal(target: Target, exc: NotRunError) -> None:
    if exc.code in SHED_CODES:
        target.take_busy(trio.current_time())
    elif exc.code is ResultCode.REQUEST_NOT_RUN_DRAINING:
        target.busy_until = trio.current_time() + UNREACHABLE_BACKOFF_S
