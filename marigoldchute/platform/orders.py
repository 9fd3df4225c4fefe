"""Conversion between the platform's rollouts and the mesh's orders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from marigoldchute.bundle.limits import MAX_WALL_CLOCK_MS
from marigoldchute.errors import MoveError
from marigoldchute.orders.model import OrderDocument, OrderStage
from marigoldchute.platform.objects import Revision

if TYPE_CHECKING:
    from marigoldchute.objectstore.documents import Document, DocumentStore
    from marigoldchute.orders.model import OrderState

_STATE_BY_STAGE = {
    OrderStage.RUNNING: "running",
    OrderStage.DONE: "succeeded",
    OrderStage.TAKEN_BACK: "rolled_back",
}
_STAGE_BY_STATE = {state: stage for stage, state in _STATE_BY_STAGE.items()}


MAX_DURATION_S = 604_800.0


class _Order(msgspec.Struct, frozen=True):
    service: str
    target_version: str
    duration_s: Annotated[float, msgspec.Meta(gt=0.0, le=MAX_DURATION_S)]


class _Status(msgspec.Struct, frozen=True):
    state: str
    target_version: str
    # Fields of this project: releases of earlier orders that were taken back, the
    # order's age, and the revision at which it was first read.
    rejected: list[str] = []
    elapsed_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_CLOCK_MS)] = 0
    first_revision: Revision = 0


class PlatformOrderApi:
    """``OrderApi`` for the platform's rollouts.

    Parameters
    ----------
    store : DocumentStore
        The platform's store.
    """

    kind = "rollouts"

    def __init__(self, store: DocumentStore) -> None:
        self._store = store

    def decode(self, document: Document) -> OrderDocument:
        """Return the order of a document."""
        if document.content is None and document.error:
            raise MoveError(f"order is malformed: {document.error}")
        try:
            order = msgspec.convert(document.content, _Order, strict=False)
        except (msgspec.ValidationError, RecursionError) as exc:
            raise MoveError(f"order is malformed: {exc}") from exc
        if order.service != document.name:
            raise MoveError(f"order is for another service, {order.service!r}")
        status = _status_of(document)
        rejected = set(status.rejected) if status is not None else set()
        stage, elapsed_ms, first_revision = OrderStage.WAITING, 0, 0
        if status is not None and status.target_version == order.target_version:
            stage = _STAGE_BY_STATE.get(status.state, OrderStage.WAITING)
            elapsed_ms = status.elapsed_ms
            first_revision = min(status.first_revision, document.revision)
        elif (
            status is not None
            and status.state == _STATE_BY_STAGE[OrderStage.TAKEN_BACK]
        ):
            rejected.add(status.target_version)
        rejected.discard(order.target_version)
        return OrderDocument(
            order.service,
            order.target_version,
            order.duration_s,
            document.revision,
            stage,
            tuple(sorted(rejected)),
            elapsed_ms,
            first_revision,
        )

    async def read(self, service: str) -> OrderDocument:
        """Read the present order of a service from the store."""
        return self.decode(await self._store.get(self.kind, service))

    async def write(
        self, document: OrderDocument, state: OrderState, elapsed_ms: int
    ) -> OrderDocument:
        """Write an order's status unless its document has changed since it was read."""
        status = _Status(
            _STATE_BY_STAGE[OrderStage(state.stage)],
            state.target,
            list(state.rejected),
            elapsed_ms,
            state.number,
        )
        written = await self._store.write_status(
            self.kind,
            document.service,
            msgspec.to_builtins(status),
            document.revision,
        )
        return self.decode(written)


def _status_of(document: Document) -> _Status | None:
    try:
        return msgspec.convert(document.status, _Status, strict=False)
    except (msgspec.ValidationError, RecursionError):
        return None  # No status, or one of another writer: there is no verdict.
