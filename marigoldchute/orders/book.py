"""Which release of each service takes how much, by the orders that are known."""

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


class OrderBook:
    """Replicated states of orders, and the split of requests that follows from them.

    Without an order a service keeps to the release that it had: a release that appears
    beside it gets nothing until an order names it.

    Parameters
    ----------
    members : Members
        Members with the backend servers that they announce.
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
        self._faulty: set[str] = set()
        self._base: dict[str, str] = {}
        self._splits: dict[str, Split] = {}
        self.on_change: list[Callable[[OrderState], None]] = []
        table.subscribe(RecordKind.ORDER, self._take_record)
        table.subscribe(RecordKind.ORDER_FAULT, self._take_fault)

    def states(self) -> tuple[OrderState, ...]:
        """Return the newest state of each service's order."""
        return tuple(self._states.values())

    def state(self, service: str) -> OrderState | None:
        """Return the newest state of a service's order."""
        return self._states.get(service)

    def is_faulty(self, state: OrderState) -> bool:
        """Whether some node has found the order's target to be faulty."""
        return state.order_id in self._faulty

    def put(self, state: OrderState) -> bool:
        """Spread a state to all nodes; return whether it is newer."""
        body = msgspec.msgpack.encode(state)
        rank = (state.number, state.step)
        return self._table.offer(Record(RecordKind.ORDER, state.service, rank, body))

    def report_fault(self, state: OrderState, reason: str) -> None:
        """Tell all nodes that an order's target is faulty."""
        record = Record(
            RecordKind.ORDER_FAULT, state.order_id, (state.number, 0), reason.encode()
        )
        self._table.offer(record)

    def refresh(self) -> None:
        """Forget splits, because members or orders changed."""
        self._splits.clear()

    def split(self, service: str, release: str) -> Split:
        """Return how the requests of a service divide now."""
        found = self._splits.get(service)
        if found is None:
            found = self._splits[service] = self._make_split(service)
        return found

    def _make_split(self, service: str) -> Split:
        state = self._states.get(service)
        if state is None:
            base = self._base_of(service, frozenset())
            return Split(base, base, 0.0)
        if state.stage == OrderStage.DONE:
            self._base[service] = state.target
            return Split(state.target, state.target, 0.0)
        base = self._base_of(service, frozenset((*state.rejected, state.target)))
        share = state.share if state.is_open else 0.0
        if self.is_faulty(state):
            share = 0.0
        return Split(base, state.target, share, state.order_id)

    def _base_of(self, service: str, excluded: frozenset[str]) -> str:
        counts: collections.Counter[str] = collections.Counter()
        for member in self._members.all():
            for server in member.servers:
                if server.service == service and server.release not in excluded:
                    counts[server.release] += 1
        held = self._base.get(service)
        if held is not None and held not in excluded and (not counts or held in counts):
            return held
        if not counts:
            return held or ""
        # A release that is brought in has as many servers: the first one wins a tie.
        base = min(counts, key=lambda name: (-counts[name], name))
        self._base[service] = base
        return base

    def _take_record(self, record: Record) -> None:
        state = _STATE.decode(record.body)
        self._states[state.service] = state
        self.refresh()
        self._log.emit(
            "orders",
            "state",
            f"{state.service!r} gives {state.share:.0%} to {state.target!r}, "
            f"{OrderStage(state.stage).name.lower()}.",
            move=state.order_id,
            step=state.step,
            share=state.share,
            stage=OrderStage(state.stage).name,
        )
        for listener in self.on_change:
            listener(state)

    def _take_fault(self, record: Record) -> None:
        self._faulty.add(record.key)
        self.refresh()
        self._log.emit(
            "orders",
            "faulty",
            f"{record.key} gets no requests: {record.body.decode(errors='replace')}.",
            move=record.key,
        )
