"""Order documents of the store and the order states that nodes replicate."""

from __future__ import annotations

import dataclasses
import enum

import msgspec


class OrderStage(enum.IntEnum):
    """Stage of an order; an order never returns to an earlier stage."""

    WAITING = 0
    RUNNING = 1
    DONE = 2
    TAKEN_BACK = 3


@dataclasses.dataclass(frozen=True)
class OrderDocument:
    """An operator's order and the status that the mesh has written for it.

    Parameters
    ----------
    service : str
        Service whose traffic is moved.
    target : str
        Release to which the traffic is moved.
    duration_s : float
        Seconds from the order to its deadline.
    revision : int
        Revision of the document in the store; a status is written only under it.
    stage : OrderStage
        Stage of this target according to the status.
    rejected : tuple of str
        Releases of earlier orders that were taken back.
    elapsed_ms : int
        Age of the order in milliseconds when the status was written.
    first_revision : int
        Revision at which the order was first read, according to the status; 0 without
        one. Each status raises ``revision``.
    """

    service: str
    target: str
    duration_s: float
    revision: int
    stage: OrderStage = OrderStage.WAITING
    rejected: tuple[str, ...] = ()
    elapsed_ms: int = 0
    first_revision: int = 0

    @property
    def number(self) -> int:
        """Number of the order, the same for every reader at any time."""
        return self.first_revision or self.revision


class OrderState(msgspec.Struct, frozen=True, array_like=True):
    """State of an order as it is replicated to all nodes.

    Parameters
    ----------
    service, target : str
        Service whose traffic is moved, and the release to which it is moved.
    number : int
        Store revision at which the order was first read; a later order of the same
        service has a higher one.
    step : int
        Counter that rises with each change of the share.
    share : float
        Fraction of the service's requests that goes to the target.
    stage : OrderStage
        Stage of the order.
    duration_s : float
        Seconds from the order to its deadline.
    rejected : tuple of str
        Releases that must not get any request.
    level : int
        Level of the schedule that the share belongs to; 0 before the first one, and in
        states of nodes that do not know levels.
    paused : bool
        Whether the share is below that of its level because of fault evidence.
    """

    service: str
    target: str
    number: int
    step: int
    share: float
    stage: int
    duration_s: float
    rejected: tuple[str, ...]
    level: int = 0
    paused: bool = False

    @property
    def order_id(self) -> str:
        """Identifier of the order in logs and evidence."""
        return f"{self.service}/{self.target}/{self.number}"

    @property
    def is_open(self) -> bool:
        """Whether the order has no verdict yet."""
        return self.stage in (OrderStage.WAITING, OrderStage.RUNNING)
