"""Replicated order states and the traffic split of each service."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.moves.model import Split
from marigoldchute.objectstore.eras import era_of, revision_of
from marigoldchute.orders.model import OrderStage, OrderState
from marigoldchute.overlay.records import Record, RecordKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.membership.model import Members
    from marigoldchute.overlay.records import RecordTable

# Earlier orders of a service that a restored store may show again.
MAX_EARLIER_ORDERS = 8

_STATE = msgspec.msgpack.Decoder(OrderState)


def decode_state(record: Record) -> OrderState:
    """Return the order state that a record describes."""
    return _STATE.decode(record.body)


class OrderBook:
    """Hold the replicated order states and compute each service's traffic split.

    A service without an order stays on the release that it had: another release that
    is announced gets no requests until an order names it.

    A store that came back from an older copy may show an order under another revision,
    or an order that a later one has replaced. A node without records of it publishes
    what it reads, with a higher rank. Nodes that have the earlier state then publish it
    again above that rank.

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
        self._earlier: dict[str, collections.deque[tuple[str, int]]] = {}
        self._kept_order_ids: set[str] = set()
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

    def is_superseded(self, service: str, target: str, number: int) -> bool:
        """Return whether a restored store shows an order that a later one replaced.

        Parameters
        ----------
        service, target : str
            Service and target of the order.
        number : int
            Number of the order.
        """
        known = self._states.get(service)
        return known is not None and self._is_superseded(known, target, number)

    def predates(self, state: OrderState, revision: int) -> bool:
        """Return whether an order is of an earlier era of the store than a revision.

        A restored store may lack the status of such an order.
        """
        is_kept = state.order_id in self._kept_order_ids
        return is_kept or era_of(revision) > era_of(state.number)

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
        previous = self._states.get(state.service)
        kept = None
        if previous is not None:
            kept = self._kept_state(previous, state)
            if kept is not None:
                self._kept_order_ids.add(kept.order_id)
            self._record_earlier(previous, state)
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
        if previous is not None and kept is not None:
            self._publish_kept(previous, kept)

    def _is_superseded(self, known: OrderState, target: str, number: int) -> bool:
        if known.target == target or era_of(number) <= era_of(known.number):
            return False
        earlier = self._earlier.get(known.service, ())
        return (target, revision_of(number)) in earlier

    def _record_earlier(self, previous: OrderState, state: OrderState) -> None:
        if previous.target != state.target:
            earlier = self._earlier.setdefault(
                state.service, collections.deque(maxlen=MAX_EARLIER_ORDERS)
            )
            earlier.append((previous.target, revision_of(previous.number)))

    def _kept_state(self, previous: OrderState, state: OrderState) -> OrderState | None:
        """Return the state to publish again in place of that of a restored store."""
        if era_of(state.number) <= era_of(previous.number):
            return None
        if state.target != previous.target:
            is_behind = self._is_superseded(previous, state.target, state.number)
        elif previous.is_open:
            is_behind = state.is_open and state.step < previous.step
        else:
            is_behind = state.stage != previous.stage
        if not is_behind:
            return None
        step = max(previous.step, state.step + 1)
        return msgspec.structs.replace(previous, number=state.number, step=step)

    def _publish_kept(self, previous: OrderState, kept: OrderState) -> None:
        self._log.emit(
            "orders",
            "kept",
            f"{previous.order_id} keeps its state, as the store was restored.",
            move=kept.order_id,
            stage=OrderStage(kept.stage).name,
        )
        if self.is_faulty(previous):
            self.report_fault(kept, "it was faulty before the store was restored")
        self.publish(kept)

    def _handle_fault_record(self, record: Record) -> None:
        self._faulty_order_ids.add(record.key)
        self.refresh()
        self._log.emit(
            "orders",
            "faulty",
            f"{record.key} gets no requests: {record.body.decode(errors='replace')}.",
            move=record.key,
        )
