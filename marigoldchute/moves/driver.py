"""Decides moves: writes the one verdict of each to the store."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import (
    ConflictError,
    PlatformError,
    UnknownOutcomeError,
)
from marigoldchute.events import wall_clock_ms
from marigoldchute.moves.model import MemberReport, Verdict, VerdictKind
from marigoldchute.overlay.duties import DRIVER
from marigoldchute.platform.api import CREATE_ONLY, ObjectStore

if TYPE_CHECKING:
    from marigoldchute.membership.service import Membership
    from marigoldchute.moves.collector import Reporter
    from marigoldchute.moves.engine import MoveEngine, MoveState

VERDICT_PREFIX = "verdicts/"
DECIDE_INTERVAL_S = 0.1

_VERDICT = msgspec.json.Decoder(Verdict)


def verdict_key(move_id: str) -> str:
    """Return the store key of a move's verdict."""
    return VERDICT_PREFIX + move_id


async def write_verdict(store: ObjectStore, verdict: Verdict) -> Verdict:
    """Write a verdict unless one stands; return the one that stands.

    Raises
    ------
    PlatformError
        It is not known which verdict stands.
    """
    key = verdict_key(verdict.move_id)
    try:
        await store.put(key, msgspec.json.encode(verdict), CREATE_ONLY)
        return verdict
    except (ConflictError, UnknownOutcomeError):
        stored = await store.get(key)
        return _VERDICT.decode(stored.value)


class Driver:
    """Decides the moves of the bundle in force while this node is the driver.

    The driver is the first reachable member in rendezvous order. Two drivers at once
    are harmless: a verdict is a conditional create, and each writes only what the
    confirmations that it holds justify.
    """

    def __init__(
        self,
        membership: Membership,
        engine: MoveEngine,
        reporter: Reporter,
        store: ObjectStore,
        clock_error_ms: int,
    ) -> None:
        self._membership = membership
        self._engine = engine
        self._reporter = reporter
        self._store = store
        self._clock_error_ms = clock_error_ms

    @property
    def is_driver(self) -> bool:
        """Whether this node decides moves now."""
        return self._membership.duties.is_held_here(DRIVER)

    async def run(self) -> None:
        """Decide moves until cancelled."""
        while True:
            await trio.sleep(DECIDE_INTERVAL_S)
            undecided = [s for s in self._engine.states() if s.verdict is None]
            if not undecided or not self.is_driver:
                continue
            gathered = await self._reporter.gather()
            for state in undecided:
                await self._decide(state, gathered)

    async def _decide(
        self, state: MoveState, gathered: dict[str, MemberReport]
    ) -> None:
        verdict = self._judge(state, gathered, wall_clock_ms())
        if verdict is None:
            return
        try:
            standing = await write_verdict(self._store, verdict)
        except PlatformError:
            return
        self._engine.publish_verdict(standing)

    def _judge(
        self, state: MoveState, gathered: dict[str, MemberReport], now_ms: int
    ) -> Verdict | None:
        move = state.move
        members = self._membership.all()
        confirmed = sum(
            is_confirmed(gathered.get(member.name), member.incarnation, move.move_id)
            for member in members
        )
        if state.fault is not None:
            return self._verdict(state, VerdictKind.TAKEN_BACK, "fault", confirmed)
        in_time = now_ms + self._clock_error_ms < move.deadline_ms
        if confirmed == len(members) and in_time:
            return self._verdict(
                state, VerdictKind.DONE, "all members confirmed", confirmed
            )
        if now_ms > move.deadline_ms + self._clock_error_ms:
            reason = f"{len(members) - confirmed} members unconfirmed at the deadline"
            return self._verdict(state, VerdictKind.TAKEN_BACK, reason, confirmed)
        return None

    def _verdict(
        self, state: MoveState, kind: VerdictKind, reason: str, confirmed: int
    ) -> Verdict:
        return Verdict(
            state.move.move_id,
            kind,
            reason,
            self._membership.local.name,
            wall_clock_ms(),
            secrets.token_hex(8),
            confirmed,
        )


def is_confirmed(report: MemberReport | None, incarnation: int, move_id: str) -> bool:
    """Whether a report confirms a move for an incarnation of a member."""
    if report is None or report.incarnation != incarnation:
        return False
    return any(m.move_id == move_id and m.confirmed for m in report.moves)
