"""Implementation of the operations of the administration API."""

from __future__ import annotations

import collections
import secrets
from typing import TYPE_CHECKING

from marigoldchute.admin.messages import (
    BundleInForce,
    MemberStatus,
    MoveStatus,
    Readiness,
    RollRequest,
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
    """Implements the operations of the administration API."""

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
        self._collect_counts = counts

    async def roll(self, request: RollRequest) -> RollResult:
        """Validate a signed bundle and write it to the store.

        Raises
        ------
        BundleError
            The bundle is invalid or its version is already used.
        PlatformError
            The store did not accept the bundle, or the outcome is unknown.
        """
        version = await self._rollout.accept(request.manifest, request.chunks)
        return RollResult(version)

    async def cancel(self, move_id: str, author: str, now_ms: int) -> Verdict:
        """Take a move back unless it is decided, and return the stored verdict.

        Raises
        ------
        MoveError
            The move is unknown, or it already has another verdict.
        PlatformError
            The store cannot be reached, or the outcome of the write is unknown.
        """
        self._find_move_state(move_id)
        requested = Verdict(
            move_id,
            VerdictKind.TAKEN_BACK,
            f"cancelled by {author}",
            author,
            now_ms,
            secrets.token_hex(8),
            0,
        )
        stored = await write_verdict(self._store, requested)
        self._engine.publish_verdict(stored)
        if stored.token != requested.token:
            raise MoveError(
                f"{move_id} is already {stored.kind.value}: {stored.reason}",
                ResultCode.MOVE_ALREADY_DECIDED,
            )
        return stored

    async def verdict(self, move_id: str) -> MoveStatus:
        """Return the status of a move with the verdict that the store holds.

        Raises
        ------
        MoveError
            The move is unknown, or the store cannot be read.
        """
        state = self._find_move_state(move_id)
        try:
            if state.verdict is None:
                stored = await self._store.get(verdict_key(move_id))
                self._engine.publish_verdict(decode_verdict(stored.value))
        except NotFoundError:
            pass
        except PlatformError as exc:
            raise MoveError(
                f"verdict of {move_id} is unknown: {exc.message}",
                ResultCode.MOVE_VERDICT_UNKNOWN,
            ) from exc
        return self._move_status(state, await self._reporter.gather_reports())

    async def status(self) -> Status:
        """Return the status of the known members and moves."""
        reports = await self._reporter.gather_reports()
        members = tuple(
            MemberStatus(
                member.name,
                member.data_centre,
                member.region,
                member.state.name.lower(),
                reports[member.name].version if member.name in reports else 0,
                tuple(
                    f"{server.service}@{server.release}" for server in member.servers
                ),
            )
            for member in sorted(self._membership.all(), key=lambda m: m.name)
        )
        moves = tuple(
            self._move_status(state, reports) for state in self._engine.states()
        )
        return Status(
            self._membership.local.name,
            self._in_force.version,
            self._replicator.newest_version,
            members,
            moves,
        )

    def ready(self) -> Readiness:
        """Return the bundle version if this node is ready for callers.

        Raises
        ------
        NotRunError
            No bundle is in force yet, or this node is draining.
        """
        if self._in_force.bundle is None:
            raise NotRunError(
                "no bundle is in force yet", ResultCode.REQUEST_NOT_RUN_NO_BUNDLE
            )
        if not self._membership.local.accepts_requests:
            raise NotRunError(
                "this node is draining", ResultCode.REQUEST_NOT_RUN_DRAINING
            )
        return Readiness(self._in_force.version)

    def bundle_in_force(self) -> BundleInForce:
        """Return a description of the bundle in force.

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
        """Return the values of all metrics."""
        state_counts = collections.Counter(
            member.state.name.lower() for member in self._membership.all()
        )
        moves = tuple(
            MoveShare(state.move.move_id, state.move.service, state.share)
            for state in self._engine.states()
        )
        return NodeSnapshot(
            self._in_force.version,
            self._replicator.newest_version,
            state_counts,
            moves,
            self.stats(),
            self._collect_counts(),
        )

    def _find_move_state(self, move_id: str) -> MoveState:
        for state in self._engine.states():
            if state.move.move_id == move_id:
                return state
        raise MoveError(
            f"move {move_id!r} is not in the bundle in force", ResultCode.MOVE_UNKNOWN
        )

    def _move_status(
        self, state: MoveState, reports: dict[str, MemberReport]
    ) -> MoveStatus:
        move = state.move
        target_share = 1.0
        verdict = "under way"
        reason = ""
        if state.fault is not None:
            reason = state.fault.reason
        if state.verdict is not None:
            reason = state.verdict.reason
            target_share = 1.0 if state.verdict.kind is VerdictKind.DONE else 0.0
        shares: list[float] = []
        confirmed = 0
        members = self._membership.all()
        for member in members:
            report = reports.get(member.name)
            if report is None or report.incarnation != member.incarnation:
                continue
            for move_report in report.moves:
                if move_report.move_id == move.move_id:
                    shares.append(move_report.share)
                    confirmed += move_report.share == target_share
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
