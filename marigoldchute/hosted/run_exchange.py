"""Exchange of running requests between nodes, so that they outlast a process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from marigoldchute.errors import AuthError, PeerError, ResultCode
from marigoldchute.hosted.run_copies import (
    ENCODER,
    MAX_COPIED_RUNS,
    REPORT_DECODER,
    RUNS_DECODER,
    CopiedRun,
    RunCopies,
    RunReport,
)
from marigoldchute.link.methods import Method
from marigoldchute.membership.model import MemberState
from marigoldchute.overlay.topology import rendezvous_order
from marigoldchute.routing.running_requests import RunningRequest

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Bundle
    from marigoldchute.events import EventLog
    from marigoldchute.hosted.directory import Directory
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.membership.model import Member
    from marigoldchute.routing.running_requests import RunningRequests

CHECK_INTERVAL_S = 0.2
# After its start a node may not know the members of its data centre yet.
START_S = 2.0
MIN_REPORT_INTERVAL_S = 0.5  # Between two reports to a holder.
# A new process takes longer to start, so that shorter requests have ended by then.
MIN_AGE_S = 0.4
# A report has these as well, as the next one may be too late for them.
MIN_REPORTED_AGE_S = 0.2
MAX_STALE_S = 2.0  # For which a holder may have ended requests.
CALL_TIMEOUT_S = 0.5
# A member that did not respond is passed over for this time.
AVOID_S = 2.0
HOLDERS = 2
# The earlier process may have passed over its first holders.
ASKED_HOLDERS = 4


class ControlCalls(Protocol):
    """Calls of other members."""

    async def call(
        self, name: str, method: int, body: bytes, timeout_s: float
    ) -> bytes:
        """Call a method of a member, see ``LinkPool.call``."""


class RunExchange:
    """Reports the running requests of this VM, and restores those of before a restart.

    Requests that run for ``MIN_AGE_S`` are reported to the first peers in the data
    centre in rendezvous order, which keep the latest report. A new process of the node
    asks them for the requests of the earlier one. Nothing is sent while there are no
    customers: calls need no parent then.

    Parameters
    ----------
    requests : RunningRequests
        Requests that run on the backend servers of this VM.
    directory : Directory
        Members of the mesh.
    control : ControlCalls
        Sends the reports.
    handlers : Handlers
        Message handlers; that for reports is registered here.
    log : EventLog
        Event log of the process.
    process_id : int
        See ``RunReport``.

    Attributes
    ----------
    restored_count : int
        Requests of earlier processes that were restored.
    lost_reports : int
        Reports that got no response.
    """

    def __init__(
        self,
        requests: RunningRequests,
        directory: Directory,
        control: ControlCalls,
        handlers: Handlers,
        log: EventLog,
        process_id: int,
    ) -> None:
        self.restored_count = 0
        self.lost_reports = 0
        self._requests = requests
        self._directory = directory
        self._control = control
        self._log = log
        self._process_id = process_id
        self._copies = RunCopies()
        self._has_customers = False
        self._customers_appeared = trio.Event()
        self._asked: set[str] = set()
        self._avoided_until: dict[str, float] = {}
        # What a member has got and when, by its name and incarnation.
        self._reported: dict[
            tuple[str, int], tuple[frozenset[RunningRequest], float]
        ] = {}
        self._started_at: float | None = None
        self._ordered_from: tuple[list[Member], bool] | None = None
        self._holders: list[Member] = []
        handlers.register(Method.REPORT_RUNS, self._handle_report)

    def count_copied(self, now: float) -> int:
        """Return the number of running requests of which a member has a copy.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        copied = {run for runs, _ in self._reported.values() for run in runs}
        return len(copied.intersection(self._requests.list_runs(now, 0.0)))

    def on_bundle(self, bundle: Bundle) -> None:
        """Report while the bundle that came into force has customers."""
        self._has_customers = bool(bundle.content.customers)
        if self._has_customers:
            self._customers_appeared.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            if not self._has_customers:
                self._customers_appeared = trio.Event()
                await self._customers_appeared.wait()
            started_at = trio.current_time()
            self._copies.expire(started_at)
            await self.report(started_at)
            await trio.sleep_until(started_at + CHECK_INTERVAL_S)

    async def report(self, now: float) -> None:
        """Send a report to each holder that is due for one.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        runs = self._requests.list_runs(now, MIN_REPORTED_AGE_S)[:MAX_COPIED_RUNS]
        self._update_holders(now)
        holders = [
            member
            for member in self._holders[:ASKED_HOLDERS]
            if self._avoided_until.get(member.name, 0.0) <= now
        ]
        async with trio.open_nursery() as nursery:
            for member in holders[:HOLDERS]:
                if self._is_due(member, runs, now):
                    nursery.start_soon(self._send, member, runs, now)
            if self._requests.is_complete(now):
                return
            for member in holders[HOLDERS:]:
                if member.name not in self._asked:
                    nursery.start_soon(self._send, member, [], now)

    def _is_due(self, member: Member, runs: list[RunningRequest], now: float) -> bool:
        """Return whether a holder lacks a request that has run for long.

        Other changes are reported after ``MAX_STALE_S``.
        """
        last = self._reported.get((member.name, member.incarnation))
        if last is None:
            return True
        reported, reported_at = last
        elapsed_s = now - reported_at
        if elapsed_s >= MAX_STALE_S:
            return reported != frozenset(runs)
        return elapsed_s >= MIN_REPORT_INTERVAL_S and any(
            run not in reported and now - run.started_at >= MIN_AGE_S for run in runs
        )

    async def _send(
        self, member: Member, runs: list[RunningRequest], now: float
    ) -> None:
        name = member.name
        wants_earlier = name not in self._asked
        copied = tuple(_copy_run(run, now) for run in runs)
        report = RunReport(self._process_id, wants_earlier, copied)
        self._reported = {k: v for k, v in self._reported.items() if k[0] != name}
        try:
            body = await self._control.call(
                name, Method.REPORT_RUNS, ENCODER.encode(report), CALL_TIMEOUT_S
            )
            earlier = RUNS_DECODER.decode(body)
        except (PeerError, AuthError, msgspec.DecodeError):
            self.lost_reports += 1
            self._avoided_until[name] = now + AVOID_S
            return
        self._reported[name, member.incarnation] = (frozenset(runs), now)
        self._asked.add(name)
        if wants_earlier:
            self._restore(name, earlier, trio.current_time())

    def _restore(self, name: str, runs: tuple[CopiedRun, ...], now: float) -> None:
        count = sum(self._requests.restore(_restored_run(run, now)) for run in runs)
        if not count:
            return
        self.restored_count += count
        self._log.emit(
            "node",
            "requests_restored",
            f"{count} requests of an earlier process may still run here.",
            count=count,
            member=name,
        )

    async def _handle_report(self, link: Link, body: bytes) -> bytes:
        try:
            report = REPORT_DECODER.decode(body)
        except msgspec.DecodeError as exc:
            raise PeerError(
                f"malformed report: {exc}", ResultCode.PEER_PROTOCOL
            ) from exc
        now = trio.current_time()
        return ENCODER.encode(self._copies.handle_report(link.peer.name, report, now))

    def _update_holders(self, now: float) -> None:
        if self._started_at is None:
            self._started_at = now
        members = self._directory.reachable()
        knows_members = now - self._started_at >= START_S
        if (members, knows_members) == self._ordered_from:
            return
        self._ordered_from = (members, knows_members)
        local = self._directory.local
        others = [
            member
            for member in members
            if member.name != local.name and member.state is MemberState.ALIVE
        ]
        near = [m for m in others if m.data_centre == local.data_centre]
        # Links to these are open anyway.
        peers = self._directory.wanted_peers()
        linked = [m for m in near if m.name in peers]
        far: list[Member] = []
        if knows_members:
            far = [m for m in others if m.region == local.region] or others
        self._holders = rendezvous_order(linked or near or far, f"runs/{local.name}")


def _copy_run(run: RunningRequest, now: float) -> CopiedRun:
    remaining_ms = int((run.deadline - now) * 1000)
    return CopiedRun(
        run.request_id, run.route, run.customer, run.server_id, remaining_ms
    )


def _restored_run(run: CopiedRun, now: float) -> RunningRequest:
    deadline = now + run.remaining_ms / 1000
    return RunningRequest(
        run.request_id, run.route, run.customer, run.server_id, -math.inf, deadline
    )
