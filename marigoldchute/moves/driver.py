"""Decides moves: writes the one verdict of each to the store."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import PlatformError, ResultCode
from marigoldchute.moves.judge import Decision, judge
from marigoldchute.moves.model import Verdict
from marigoldchute.objectstore.conditional import create_once
from marigoldchute.overlay.duties import DRIVER

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.membership.service import Membership
    from marigoldchute.moves.engine import MoveEngine
    from marigoldchute.moves.model import Stand
    from marigoldchute.moves.reporter import Reporter
    from marigoldchute.moves.state import MoveState
    from marigoldchute.objectstore.api import ObjectStore
    from marigoldchute.util.clock import Clock

VERDICT_PREFIX = "verdicts/"
DECIDE_INTERVAL_S = 0.25
READER_CHECK_S = 0.5
BACKUP_DELAY_MS = 1000

_VERDICT = msgspec.json.Decoder(Verdict)


def verdict_key(move_id: str) -> str:
    """Return the store key of a move's verdict."""
    return VERDICT_PREFIX + move_id


def decode_verdict(value: bytes) -> Verdict:
    """Decode a verdict as the store holds it.

    Raises
    ------
    PlatformError
        The store holds something else.
    """
    try:
        return _VERDICT.decode(value)
    except msgspec.DecodeError as exc:
        raise PlatformError(
            f"the store holds a malformed verdict: {exc}",
            ResultCode.STORE_ANSWER_MALFORMED,
        ) from exc


async def write_verdict(store: ObjectStore, verdict: Verdict) -> Verdict:
    """Write a verdict unless one stands; return the one that stands.

    Raises
    ------
    PlatformError
        It is not known which verdict stands.
    """
    created = await create_once(
        store,
        verdict_key(verdict.move_id),
        msgspec.json.encode(verdict),
        lambda value: decode_verdict(value).token == verdict.token,
    )
    return verdict if created.is_mine else decode_verdict(created.value)


class Driver:
    """Decides the moves of the bundle in force while this node is the driver.

    The driver is the first reachable member in rendezvous order; the first of each data
    centre steps in for it when a verdict is overdue, so that a cut-off driver delays
    nobody. Two drivers at once are harmless: a verdict is a conditional create, and
    each writes only what the confirmations that it holds justify.
    """

    def __init__(
        self,
        membership: Membership,
        engine: MoveEngine,
        reporter: Reporter,
        store: ObjectStore,
        clock: Clock,
        clock_error_ms: int,
    ) -> None:
        self._membership = membership
        self._engine = engine
        self._reporter = reporter
        self._store = store
        self._clock = clock
        self._clock_error_ms = clock_error_ms

    @property
    def is_driver(self) -> bool:
        """Whether this node decides moves now."""
        return self._membership.duties.is_held_here(DRIVER)

    @property
    def is_backup(self) -> bool:
        """Whether this node decides what the driver leaves undecided."""
        home = self._membership.local.data_centre
        return self._membership.duties.is_held_here(DRIVER, home)

    async def run(self) -> None:
        """Decide moves until cancelled."""
        while True:
            await trio.sleep(DECIDE_INTERVAL_S)
            due = self._due_states(self._clock.now_ms())
            if not due:
                continue
            stands = await self._reporter.gather_stands()
            for state in due:
                await self._decide(state, stands.get(state.move.move_id, {}))

    def _due_states(self, now_ms: int) -> list[MoveState]:
        undecided = [s for s in self._engine.states() if s.verdict is None]
        if not undecided or self.is_driver:
            return undecided
        if not self.is_backup:
            return []
        return [s for s in undecided if self._is_overdue(s, now_ms)]

    def _is_overdue(self, state: MoveState, now_ms: int) -> bool:
        latest_ms = state.move.deadline_ms + self._clock_error_ms
        if state.fault is not None:
            latest_ms = min(latest_ms, state.fault.at_ms + self._clock_error_ms)
        return now_ms > latest_ms + BACKUP_DELAY_MS

    async def _decide(self, state: MoveState, stands: dict[str, Stand]) -> None:
        now_ms = self._clock.now_ms()
        decision = judge(
            state.move,
            state.fault,
            self._membership.all(),
            stands,
            now_ms,
            self._clock_error_ms,
        )
        if decision is None:
            return
        verdict = self._verdict(state.move.move_id, decision, now_ms)
        try:
            standing = await write_verdict(self._store, verdict)
        except PlatformError:
            return
        self._engine.publish_verdict(standing)

    def _verdict(self, move_id: str, decision: Decision, now_ms: int) -> Verdict:
        return Verdict(
            move_id,
            decision.kind,
            decision.reason,
            self._membership.local.name,
            now_ms,
            secrets.token_hex(8),
            decision.confirmed,
        )


class VerdictReader:
    """Watches the store for the verdicts of undecided moves, one node a data centre.

    A writer that dies before it has told its peers leaves the verdict in the store
    alone.

    Parameters
    ----------
    engine : MoveEngine
        Moves of the bundle in force.
    store : ObjectStore
        Where verdicts stand.
    is_reader : callable
        Whether this node reads the store for its data centre.
    """

    def __init__(
        self, engine: MoveEngine, store: ObjectStore, is_reader: Callable[[], bool]
    ) -> None:
        self._engine = engine
        self._store = store
        self._is_reader = is_reader
        self._scopes: dict[str, trio.CancelScope] = {}

    async def run(self) -> None:
        """Keep a watch for each undecided move until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                wanted = self._undecided() if self._is_reader() else set()
                for move_id in wanted - self._scopes.keys():
                    self._scopes[move_id] = trio.CancelScope()
                    nursery.start_soon(self._watch, move_id)
                for move_id in self._scopes.keys() - wanted:
                    self._scopes.pop(move_id).cancel()
                await trio.sleep(READER_CHECK_S)

    def _undecided(self) -> set[str]:
        states = self._engine.states()
        return {state.move.move_id for state in states if state.verdict is None}

    async def _watch(self, move_id: str) -> None:
        key = verdict_key(move_id)
        with self._scopes[move_id]:
            async for event in self._store.watch(key):
                if event.key == key and event.value is not None:
                    self._engine.publish_verdict(decode_verdict(event.value))
