"""Decides moves and writes one verdict for each to the store."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import PlatformError, ResultCode
from marigoldchute.moves.decision import Decision, decide_verdict
from marigoldchute.moves.model import Verdict
from marigoldchute.objectstore.conditional import create_once
from marigoldchute.overlay.duties import DRIVER

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.membership.service import Membership
    from marigoldchute.moves.engine import MoveEngine
    from marigoldchute.moves.model import ConfirmationDigest
    from marigoldchute.moves.reporter import Reporter
    from marigoldchute.moves.state import MoveState
    from marigoldchute.objectstore.api import ObjectStore
    from marigoldchute.util.clock import Clock

VERDICT_PREFIX = "verdicts/"
DECIDE_INTERVAL_S = 0.25
READER_CHECK_INTERVAL_S = 0.5
BACKUP_DELAY_MS = 1000

_VERDICT = msgspec.json.Decoder(Verdict)


def verdict_key(move_id: str) -> str:
    """Return the store key of a move's verdict."""
    return VERDICT_PREFIX + move_id


def decode_verdict(value: bytes) -> Verdict:
    """Decode a verdict read from the store.

    Raises
    ------
    PlatformError
        The value is not a valid verdict.
    """
    try:
        return _VERDICT.decode(value)
    except msgspec.DecodeError as exc:
        raise PlatformError(
            f"cannot decode a verdict from the store: {exc}",
            ResultCode.STORE_ANSWER_MALFORMED,
        ) from exc


async def write_verdict(store: ObjectStore, verdict: Verdict) -> Verdict:
    """Write a verdict unless the store has one; return the stored verdict.

    Raises
    ------
    PlatformError
        It is unknown which verdict is stored.
    """
    created = await create_once(
        store,
        verdict_key(verdict.move_id),
        msgspec.json.encode(verdict),
        lambda value: decode_verdict(value).token == verdict.token,
    )
    return verdict if created.is_own else decode_verdict(created.value)


class Driver:
    """Decides the moves of the bundle in force while this node is the driver.

    The driver is the first reachable member in rendezvous order. When a verdict is
    overdue, the first reachable member of each data centre acts as backup driver, so
    that a driver behind a network partition does not delay the verdict. Two drivers at
    the same time are safe: a verdict is written with a conditional create, and each
    driver writes only verdicts that its collected confirmations justify.
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
        """Whether this node is the driver of the mesh."""
        return self._membership.duties.is_held_here(DRIVER)

    @property
    def is_backup(self) -> bool:
        """Whether this node is the backup driver of its data centre."""
        data_centre = self._membership.local.data_centre
        return self._membership.duties.is_held_here(DRIVER, data_centre)

    async def run(self) -> None:
        """Decide moves until cancelled."""
        while True:
            await trio.sleep(DECIDE_INTERVAL_S)
            states = self._states_to_decide(self._clock.now_ms())
            if not states:
                continue
            digests = await self._reporter.gather_confirmations()
            for state in states:
                await self._decide(state, digests.get(state.move.move_id, {}))

    def _states_to_decide(self, now_ms: int) -> list[MoveState]:
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

    async def _decide(
        self, state: MoveState, digests: dict[str, ConfirmationDigest]
    ) -> None:
        now_ms = self._clock.now_ms()
        decision = decide_verdict(
            state.move,
            state.fault,
            self._membership.all(),
            digests,
            now_ms,
            self._clock_error_ms,
        )
        if decision is None:
            return
        verdict = self._build_verdict(state.move.move_id, decision, now_ms)
        try:
            stored = await write_verdict(self._store, verdict)
        except PlatformError:
            return
        self._engine.publish_verdict(stored)

    def _build_verdict(self, move_id: str, decision: Decision, now_ms: int) -> Verdict:
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
    """Watches the store for verdicts of undecided moves, on one node per data centre.

    If the writer of a verdict dies before it notifies its peers, only the store has
    the verdict.

    Parameters
    ----------
    engine : MoveEngine
        Moves of the bundle in force.
    store : ObjectStore
        Store that holds the verdicts.
    is_reader : callable
        Returns whether this node reads the store for its data centre.
    """

    def __init__(
        self, engine: MoveEngine, store: ObjectStore, is_reader: Callable[[], bool]
    ) -> None:
        self._engine = engine
        self._store = store
        self._is_reader = is_reader
        self._watch_scopes: dict[str, trio.CancelScope] = {}

    async def run(self) -> None:
        """Watch the verdict key of each undecided move until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                undecided = self._undecided_move_ids() if self._is_reader() else set()
                for move_id in undecided - self._watch_scopes.keys():
                    self._watch_scopes[move_id] = trio.CancelScope()
                    nursery.start_soon(self._watch, move_id)
                for move_id in self._watch_scopes.keys() - undecided:
                    self._watch_scopes.pop(move_id).cancel()
                await trio.sleep(READER_CHECK_INTERVAL_S)

    def _undecided_move_ids(self) -> set[str]:
        states = self._engine.states()
        return {state.move.move_id for state in states if state.verdict is None}

    async def _watch(self, move_id: str) -> None:
        key = verdict_key(move_id)
        with self._watch_scopes[move_id]:
            async for event in self._store.watch(key):
                if event.key == key and event.value is not None:
                    self._engine.publish_verdict(decode_verdict(event.value))
