"""Orders as the store holds them and as nodes replicate them."""

from __future__ import annotations

import dataclasses
import enum

import msgspec


class OrderStage(enum.IntEnum):
    """Where an order stands; later ones never go back to earlier ones."""

    WAITING = 0
    RUNNING = 1
    DONE = 2
    TAKEN_BACK = 3


@dataclasses.dataclass(frozen=True)
class OrderDocument:
    """An order as an operator wrote it, with what this mesh wrote beside it.

    Parameters
    ----------
    service : str
        Service whose traffic moves.
    target : str
        Release to which it moves.
    duration_s : float
        Time from the order to its deadline.
    revision : int
        Revision of the store's document, needed to write the status.
    stage : OrderStage
        What the status says of this target.
    rejected : tuple of str
        Releases of earlier orders that were taken back.
    elapsed_ms : int
        Time that had passed since the order when the status was written.
    """

    service: str
    target: str
    duration_s: float
    revision: int
    stage: OrderStage = OrderStage.WAITING
    rejected: tuple[str, ...] = ()
    elapsed_ms: int = 0


class OrderState(msgspec.Struct, frozen=True, array_like=True):
    """An order as all nodes act on it.

    Parameters
    ----------
    service, target : str
        What moves where.
    number : int
        Revision of the store at which the order was first seen; a later order of the
        same service has a higher one.
    step : int
        Rises with each change of the share.
    share : float
        Part of the service's requests for the target.
    stage : OrderStage
        Where the order stands.
    duration_s : float
        Time from the order to its deadline.
    rejected : tuple of str
        Releases that no request may go to.
    """

    service: str
    target: str
    number: int
    step: int
    share: float
    stage: int
    duration_s: float
    rejected: tuple[str, ...]

    @property
    def order_id(self) -> str:
        """Name of the order in logs and evidence."""
        return f"{self.service}/{self.target}/{self.number}"

    @property
    def is_open(self) -> bool:
        """Whether no verdict has been given."""
        return self.stage in (OrderStage.WAITING, OrderStage.RUNNING)
