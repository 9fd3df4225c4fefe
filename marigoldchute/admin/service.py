"""Operations behind the administration API."""

from __future__ import annotations

import collections
import secrets
from typing import TYPE_CHECKING

from marigoldchute.admin.messages import (
    BundleInForce,
    MemberStatus,
    MoveStatus,
    Readiness,
    RollOrder,
    RollResult,
    Status,
)
from marigoldchute.admin.metrics import MoveShare, NodeSnapshot
from marigoldchute.errors import (
    MoveError,
    NotFoundError,
    NotRunError,
    PlatformError,
    ResultCode,
)
from marigoldchute.moves.driver import decode_verdict, verdict_key, write_verdict
from marigoldchute.moves.model import MemberReport, Verdict, VerdictKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.admin.metrics import NodeCounts
    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.distribution.rollout import Rollout
    from marigoldchute.distribution.service import Replicator
    from marigoldchute.link.stats import NodeStats
    from marigoldchute.membership.service import Membership
    from marigoldchute.moves.engine import MoveEngine
    from marigoldchute.moves.reporter import Reporter
    from marigoldchute.moves.state import MoveState
    from marigoldchute.objectstore.api import ObjectStore


class AdminService:
    """Takes operators' orders and tells them what is known."""

    def __init__(
        self,
        membership: Membership,
        in_force: InForce,
        replicator: Replicator,
        engine: MoveEngine,
        reporter: Reporter,
        store: ObjectStore,
        rollout: Rollout,
        stats: Callable[[], NodeStats],
        counts: Callable[[], NodeCounts],
    ) -> None:
        self._membership = membership
        self._in_force = in_force
        self._replicator = replicator
        self._engine = engine
        self._reporter = reporter
        self._store = store
        self._rollout = rollout
        self.stats = stats
        self._counts = counts

    async def roll(self, order: RollOrder) -> RollResult:
        """Check a signed bundle and write it to the store.

        Raises
        ------
        BundleError
            The bundle is not valid or its version is taken.
        PlatformError
            The store did not take it, or it is not known whether it did.
        """
        version = await self._rollout.accept(order.manifest, order.chunks)
        return RollResult(version)

    async def cancel(self, move_id: str, author: str, now_ms: int) -> Verdict:
        """Take a move back unless it is decided; return the verdict that stands."""
        self._state_of(move_id)
        wanted = Verdict(
            move_id,
            VerdictKind.TAKEN_BACK,
            f"cancelled by {author}",
            author,
            now_ms,
            secrets.token_hex(8),
            0,
        )
        standing = await write_verdict(self._store, wanted)
        self._engine.publish_verdict(standing)
        if standing.token != wanted.token:
            raise MoveError(
                f"{move_id} is already {standing.kind.value}: {standing.reason}",
                ResultCode.MOVE_ALREADY_DECIDED,
            )
        return standing

    async def verdict(self, move_id: str) -> MoveStatus:
        """Return the verdict of a move as the store holds it.

        Raises
        ------
        MoveError
            The move is not known, or the store cannot say.
        """
        state = self._state_of(move_id)
        try:
            if state.verdict is None:
                stored = await self._store.get(verdict_key(move_id))
                self._engine.publish_verdict(decode_verdict(stored.value))
        except NotFoundError:
            pass
        except PlatformError as exc:
            raise MoveError(
                f"verdict of {move_id} is not known: {exc.message}",
                ResultCode.MOVE_VERDICT_UNKNOWN,
            ) from exc
        return self._move_status(state, await self._reporter.gather())

    async def status(self) -> Status:
        """Return what is known of members and moves."""
        gathered = await self._reporter.gather()
        members = tuple(
            MemberStatus(
                member.name,
                member.data_centre,
                member.region,
                member.state.name.lower(),
                gathered[member.name].version if member.name in gathered else 0,
                tuple(
                    f"{server.service}@{server.release}" for server in member.servers
                ),
            )
            for member in sorted(self._membership.all(), key=lambda m: m.name)
        )
        moves = tuple(
            self._move_status(state, gathered) for state in self._engine.states()
        )
        return Status(
            self._membership.local.name,
            self._in_force.version,
            self._replicator.newest_version,
            members,
            moves,
        )

    def ready(self) -> Readiness:
        """Return that this node can answer callers.

        Raises
        ------
        NotRunError
            It has no bundle in force, or it drains.
        """
        if self._in_force.bundle is None:
            raise NotRunError(
                "no bundle is in force yet", ResultCode.REQUEST_NOT_RUN_NO_BUNDLE
            )
        if not self._membership.local.usable:
            raise NotRunError("this node drains", ResultCode.REQUEST_NOT_RUN_DRAINING)
        return Readiness(self._in_force.version)

    def bundle_in_force(self) -> BundleInForce:
        """Return what is in force.

        Raises
        ------
        NotRunError
            No bundle is in force yet.
        """
        bundle = self._in_force.bundle
        if bundle is None:
            raise NotRunError(
                "no bundle is in force yet", ResultCode.REQUEST_NOT_RUN_NO_BUNDLE
            )
        manifest, content = bundle.manifest, bundle.content
        return BundleInForce(
            manifest.version,
            manifest.digest,
            manifest.key_id,
            manifest.author,
            tuple(service.name for service in content.services),
            tuple(route.name for route in content.routes),
            tuple(move.move_id for move in content.moves),
        )

    def snapshot(self) -> NodeSnapshot:
        """Return what the metrics show."""
        states = collections.Counter(
            member.state.name.lower() for member in self._membership.all()
        )
        moves = tuple(
            MoveShare(state.move.move_id, state.move.service, state.share)
            for state in self._engine.states()
        )
        return NodeSnapshot(
            self._in_force.version,
            self._replicator.newest_version,
            states,
            moves,
            self.stats(),
            self._counts(),
        )

    def _state_of(self, move_id: str) -> MoveState:
        for state in self._engine.states():
            if state.move.move_id == move_id:
                return state
        raise MoveError(
            f"move {move_id!r} is not in the bundle in force", ResultCode.MOVE_UNKNOWN
        )

    def _move_status(
        self, state: MoveState, gathered: dict[str, MemberReport]
    ) -> MoveStatus:
        move = state.move
        wanted = 1.0
        verdict = "under way"
        reason = ""
        if state.fault is not None:
            reason = state.fault.reason
        if state.verdict is not None:
            reason = state.verdict.reason
            wanted = 1.0 if state.verdict.kind is VerdictKind.DONE else 0.0
        shares: list[float] = []
        confirmed = 0
        members = self._membership.all()
        for member in members:
            report = gathered.get(member.name)
            if report is None or report.incarnation != member.incarnation:
                continue
            for item in report.moves:
                if item.move_id == move.move_id:
                    shares.append(item.share)
                    confirmed += item.share == wanted
        unconfirmed = len(members) - confirmed
        if state.verdict is not None:
            verdict = state.verdict.kind.value
            if state.verdict.kind is VerdictKind.TAKEN_BACK and unconfirmed:
                verdict = "taking back"
        return MoveStatus(
            move.move_id,
            move.service,
            verdict,
            reason,
            confirmed,
            unconfirmed,
            min(shares, default=0.0),
            max(shares, default=0.0),
            move.deadline_ms,
        )
