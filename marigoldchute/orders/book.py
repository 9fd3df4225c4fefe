"""Replicated order states and the traffic split of each service."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.moves.model import Split
from marigoldchute.orders.model import OrderStage, OrderState
from marigoldchute.overlay.records import Record, RecordKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.membership.model import Members
    from marigoldchute.overlay.records import RecordTable

_STATE = msgspec.msgpack.Decoder(OrderState)


def decode_state(record: Record) -> OrderState:
    """Return the order state that a record describes."""
    return _STATE.decode(record.body)


class OrderBook:
    """Hold the replicated order states and compute each service's traffic split.

    A service without an order stays on the release that it had: another release that
    is announced gets no requests until an order names it.

    Parameters
    ----------
    members : Members
        Members of the mesh with the backend servers that they announce.
    table : RecordTable
        Replicated records.
    log : EventLog
        Event log of the process.
    """

    def __init__(self, members: Members, table: RecordTable, log: EventLog) -> None:
        self._members = members
        self._table = table
        self._log = log
        self._states: dict[str, OrderState] = {}
        self._faulty_order_ids: set[str] = set()
        self._base_releases: dict[str, str] = {}
        self._splits: dict[str, Split] = {}
        self.on_change: list[Callable[[OrderState], None]] = []
        table.subscribe(RecordKind.ORDER, self._handle_order_record)
        table.subscribe(RecordKind.ORDER_FAULT, self._handle_fault_record)

    def states(self) -> tuple[OrderState, ...]:
        """Return the latest state of each service's order."""
        return tuple(self._states.values())

    def state(self, service: str) -> OrderState | None:
        """Return the latest state of a service's order, None without an order."""
        return self._states.get(service)

    def is_faulty(self, state: OrderState) -> bool:
        """Return whether any node has reported the order's target as faulty."""
        return state.order_id in self._faulty_order_ids

    def publish(self, state: OrderState) -> bool:
        """Publish a state to all nodes; return whether it is the latest."""
        body = msgspec.msgpack.encode(state)
        rank = (state.number, state.step)
        return self._table.apply(Record(RecordKind.ORDER, state.service, rank, body))

    def report_fault(self, state: OrderState, reason: str) -> None:
        """Publish to all nodes that an order's target is faulty."""
        record = Record(
            RecordKind.ORDER_FAULT, state.order_id, (state.number, 0), reason.encode()
        )
        self._table.apply(record)

    def refresh(self) -> None:
        """Discard the cached splits after a change of members or orders."""
        self._splits.clear()

    def split(self, service: str, release: str) -> Split:
        """Return the present traffic split of a service."""
        split = self._splits.get(service)
        if split is None:
            split = self._splits[service] = self._compute_split(service)
        return split

    def _compute_split(self, service: str) -> Split:
        state = self._states.get(service)
        if state is None:
            base = self._base_release(service, frozenset())
            return Split(base, base, 0.0)
        if state.stage == OrderStage.DONE:
            self._base_releases[service] = state.target
            return Split(state.target, state.target, 0.0)
        base = self._base_release(service, frozenset((*state.rejected, state.target)))
        share = state.share if state.is_open else 0.0
        if self.is_faulty(state):
            share = 0.0
        return Split(base, state.target, share, state.order_id)

    def _base_release(self, service: str, excluded: frozenset[str]) -> str:
        counts: collections.Counter[str] = collections.Counter()
        for member in self._members.all():
            for server in member.servers:
                if server.service == service and server.release not in excluded:
                    counts[server.release] += 1
        current = self._base_releases.get(service)
        if (
            current is not None
            and current not in excluded
            and (not counts or current in counts)
        ):
            return current
        if not counts:
            return "" if current is None or current in excluded else current
        # A release that is being rolled out may run on as many servers as the old one;
        # a tie goes to the name that sorts first.
        base = min(counts, key=lambda name: (-counts[name], name))
        self._base_releases[service] = base
        return base

    def _handle_order_record(self, record: Record) -> None:
        state = decode_state(record)
        self._states[state.service] = state
        self.refresh()
        self._log.emit(
            "orders",
            "state",
            f"{state.service!r} sends {state.share:.1%} to {state.target!r}, "
            f"{OrderStage(state.stage).name.lower()}.",
            move=state.order_id,
            step=state.step,
            share=state.share,
            stage=OrderStage(state.stage).name,
        )
        for listener in self.on_change:
            listener(state)

    def _handle_fault_record(self, record: Record) -> None:
        self._faulty_order_ids.add(record.key)
        self.refresh()
        self._log.emit(
            "orders",
            "faulty",
            f"{record.key} gets no requests: {record.body.decode(errors='replace')}.",
            move=record.key,
        )
