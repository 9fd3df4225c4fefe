"""Exchanges reports, collector responses and summaries between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import AuthError, PeerError
from marigoldchute.link.methods import Method
from marigoldchute.moves.model import (
    CollectorResponse,
    ConfirmationDigest,
    MemberReport,
    MoveSummary,
)
from marigoldchute.overlay.duties import COLLECTOR

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.link.pool import LinkPool
    from marigoldchute.membership.service import Membership
    from marigoldchute.moves.collector import Collector
    from marigoldchute.moves.engine import MoveEngine
    from marigoldchute.moves.model import MoveReport
    from marigoldchute.util.clock import Clock

REPORT_INTERVAL_S = 1.0
MAX_REPORTS_PER_S = 12.0
MAX_JITTER_S = 1.0
UNCHANGED_REPORT_INTERVAL_S = 10.0
MERGE_INTERVAL_S = 0.5
EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_PER_DATA_CENTRE_S = 0.3
CALL_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.1
REPORTS_PER_LATENCY_REPORT = 8

_REPORTS = msgspec.msgpack.Decoder(list[MemberReport])
_RESPONSES = msgspec.msgpack.Decoder(list[CollectorResponse])
_CONFIRMATION_DIGESTS = msgspec.msgpack.Decoder(list[ConfirmationDigest])
_SUMMARIES = msgspec.msgpack.Decoder(list[MoveSummary])


class Reporter:
    """Sends this node's reports to its collector and fetches data from collectors."""

    def __init__(
        self,
        membership: Membership,
        in_force: InForce,
        engine: MoveEngine,
        collector: Collector,
        control: LinkPool,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._in_force = in_force
        self._engine = engine
        self._collector = collector
        self._control = control
        self._clock = clock
        self._rng = rng
        self._changed = trio.Event()
        self._sequence = 0
        self._last_state: tuple[str, int, tuple[MoveReport, ...]] | None = None
        self._last_report_at = 0.0
        self._digests: dict[str, dict[str, ConfirmationDigest]] = {}
        in_force.add_swap_listener(lambda bundle: self.request_report())

    def request_report(self) -> None:
        """Request an early report because the state of a move changed."""
        self._changed.set()

    async def run(self) -> None:
        """Send reports and run the collector's tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_changes)
            nursery.start_soon(self._merge_reports)
            nursery.start_soon(self._exchange_summaries)

    @property
    def interval_s(self) -> float:
        """Report interval in seconds, which grows with the size of the data centre.

        It keeps a collector at no more than ``MAX_REPORTS_PER_S``, whatever the number
        of members.
        """
        data_centre = self._membership.local.data_centre
        member_count = sum(m.data_centre == data_centre for m in self._membership.all())
        return max(REPORT_INTERVAL_S, member_count / MAX_REPORTS_PER_S)

    async def _report_changes(self) -> None:
        counts_due_at = 0.0
        while True:
            self._changed = trio.Event()
            now, interval_s = trio.current_time(), self.interval_s
            include_counts = now >= counts_due_at
            if include_counts:
                counts_due_at = now + interval_s * self._rng.uniform(0.8, 1.2)
            if not await self._report(include_counts):
                counts_due_at = 0.0
            with trio.move_on_at(counts_due_at):
                await self._changed.wait()
                jitter_s = min(interval_s - REPORT_INTERVAL_S, MAX_JITTER_S)
                await trio.sleep(self._rng.uniform(0.0, jitter_s))

    async def _report(self, include_counts: bool) -> bool:
        """Send a report if it changed or is due; return False if sending failed."""
        local = self._membership.local
        target = self._membership.duties.holder(COLLECTOR, local.data_centre)
        if target is None:
            return True
        moves = self._engine.reports(self._sequence % REPORTS_PER_LATENCY_REPORT == 0)
        if not include_counts:
            moves = tuple(_without_counts(move) for move in moves)
        state = (target, self._in_force.version, moves)
        now = trio.current_time()
        undecided = any(s.verdict is None for s in self._engine.states())
        if (
            state == self._last_state
            and now - self._last_report_at < UNCHANGED_REPORT_INTERVAL_S
            and not undecided
        ):
            return True
        self._sequence += 1
        report = MemberReport(
            local.name, local.incarnation, self._sequence, state[1], moves
        )
        self._collector.apply_report(report, self._clock.now_ms())
        if target == local.name:
            self._engine.apply_collector_responses(self._collector.responses())
        elif not await self._send(target, report):
            return False
        self._last_state, self._last_report_at = state, now
        return True

    async def _send(self, target: str, report: MemberReport) -> bool:
        body = msgspec.msgpack.encode(report)
        try:
            response = await self._control.call(
                target, Method.REPORT_EVIDENCE, body, CALL_TIMEOUT_S
            )
        except (PeerError, AuthError):
            await trio.sleep(RETRY_DELAY_S)
            return False
        self._engine.apply_collector_responses(_RESPONSES.decode(response))
        return True

    @property
    def _is_collector(self) -> bool:
        local = self._membership.local
        return self._membership.duties.is_held_here(COLLECTOR, local.data_centre)

    async def _merge_reports(self) -> None:
        while True:
            await trio.sleep(MERGE_INTERVAL_S)
            if self._is_collector:
                self._collector.merge(self._clock.now_ms())

    async def _exchange_summaries(self) -> None:
        while True:
            data_centres = len({m.data_centre for m in self._membership.all()})
            interval_s = max(
                EXCHANGE_INTERVAL_S, data_centres * EXCHANGE_PER_DATA_CENTRE_S
            )
            await trio.sleep(interval_s)
            undecided = any(s.verdict is None for s in self._engine.states())
            if undecided and self._is_collector:
                await self._call_collectors(self._fetch_summaries)

    async def _call_collectors(self, fetch: Callable[..., object]) -> None:
        members = self._membership.all()
        async with trio.open_nursery() as nursery:
            for data_centre in {member.data_centre for member in members}:
                target = self._membership.duties.holder(COLLECTOR, data_centre)
                if target is not None:
                    nursery.start_soon(fetch, data_centre, target)  # type: ignore[arg-type]

    async def _call(self, target: str, method: Method) -> bytes | None:
        with trio.move_on_after(CALL_TIMEOUT_S):
            try:
                return await self._control.call(target, method, b"", CALL_TIMEOUT_S)
            except (PeerError, AuthError):
                return None
        return None

    async def _fetch_summaries(self, data_centre: str, target: str) -> None:
        if target == self._membership.local.name:
            return
        body = await self._call(target, Method.LIST_SUMMARIES)
        if body is not None:
            self._collector.apply_summaries(data_centre, _SUMMARIES.decode(body))

    async def gather_confirmations(self) -> dict[str, dict[str, ConfirmationDigest]]:
        """Return the latest confirmation digest of each data centre, by move.

        Confirmations are never withdrawn, so the digest of a data centre that no longer
        responds stays valid.
        """
        await self._call_collectors(self._fetch_confirmations)
        return self._digests

    async def _fetch_confirmations(self, data_centre: str, target: str) -> None:
        if target == self._membership.local.name:
            digests = self._collector.confirmation_digests()
        else:
            body = await self._call(target, Method.LIST_CONFIRMATION_DIGESTS)
            if body is None:
                return
            digests = _CONFIRMATION_DIGESTS.decode(body)
        for digest in digests:
            self._digests.setdefault(digest.move_id, {})[data_centre] = digest

    async def gather_reports(self) -> dict[str, MemberReport]:
        """Return the latest reports of all reachable data centres, by member."""
        gathered: dict[str, MemberReport] = {}

        async def fetch(data_centre: str, target: str) -> None:
            if target == self._membership.local.name:
                reports = self._collector.reports()
            else:
                body = await self._call(target, Method.LIST_MEMBER_REPORTS)
                reports = [] if body is None else _REPORTS.decode(body)
            for report in reports:
                existing = gathered.get(report.name)
                if existing is None or _report_order(existing) < _report_order(report):
                    gathered[report.name] = report

        await self._call_collectors(fetch)
        return gathered


def _without_counts(move: MoveReport) -> MoveReport:
    return msgspec.structs.replace(move, counts_reports=(), latencies={})


def _report_order(report: MemberReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
