"""Reports of response counts to the nodes that may decide on an order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import AuthError, PeerError
from marigoldchute.link.methods import Method
from marigoldchute.membership.model import MemberState
from marigoldchute.orders.outcomes import NodeOutcomes
from marigoldchute.orders.schedule import SCHEDULE, level_of
from marigoldchute.overlay.topology import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from marigoldchute.events import EventLog
    from marigoldchute.hosted.directory import Directory
    from marigoldchute.hosted.reader_duty import ReaderDuty
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.link.pool import LinkPool
    from marigoldchute.membership.model import Member
    from marigoldchute.orders.book import OrderBook
    from marigoldchute.orders.outcomes import OutcomeCounter

REPORT_INTERVAL_S = 0.25
# From this level on, a faulty release can exceed its exposure limit within a second.
FAST_REPORT_LEVEL = len(SCHEDULE) - 1
FAST_REPORT_INTERVAL_S = 0.1
REPORT_TIMEOUT_S = 0.5
MAX_REPORTS_IN_MESSAGE = 100
AVOID_COLLECTOR_S = 10.0

_REPORTS = msgspec.msgpack.Decoder(list[NodeOutcomes])
_Key = tuple[str, int, str]  # Node, incarnation and order.


class OutcomeReporter:
    """Sends the counts of this node, and as a collector those of its data centre.

    In a small mesh each node sends its counts to all candidates. In a larger one that
    is too much for a candidate: a node sends them to the collector of its data centre,
    which every node computes alike, and the collector sends them on in batches. Counts
    are cumulative, so a report that is sent twice does no harm. A destination that does
    not respond does not delay the reports to others.

    Parameters
    ----------
    counter : OutcomeCounter
        Response counts of this node.
    book : OrderBook
        Replicated order states.
    directory : Directory
        Members of the mesh.
    duty : ReaderDuty
        Names the candidates, the other nodes that may decide on an order.
    control : LinkPool
        Links on which reports are sent.
    handlers : Handlers
        Message handlers; those for reports are registered here.
    log : EventLog
        Event log of the process.
    apply : callable
        Called with each report that is received.
    age_s : callable
        Returns the seconds since an order, given its id and the present time.
    """

    def __init__(
        self,
        counter: OutcomeCounter,
        book: OrderBook,
        directory: Directory,
        duty: ReaderDuty,
        control: LinkPool,
        handlers: Handlers,
        log: EventLog,
        apply: Callable[[NodeOutcomes], None],
        age_s: Callable[[str, float], float],
    ) -> None:
        self._counter = counter
        self._book = book
        self._directory = directory
        self._duty = duty
        self._control = control
        self._log = log
        self._apply = apply
        self._age_s = age_s
        self._latest: dict[_Key, NodeOutcomes] = {}
        # Reports that a destination has yet to get, by its name.
        self._pending: dict[str, set[_Key]] = {}
        self._sending: set[str] = set()
        self._ordered_from: list[Member] | None = None
        self._collectors: list[str] = []
        # Collectors that did not respond, and until when they are left out.
        self._avoided_until: dict[str, float] = {}
        handlers.register(Method.REPORT_OUTCOMES, self._handle_reports)
        handlers.register(Method.COLLECT_OUTCOMES, self._handle_collected)

    async def run(self) -> None:
        """Send reports until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._interval_s())
                method = self._update_pending(trio.current_time())
                for name, keys in self._pending.items():
                    if keys and name not in self._sending:
                        self._sending.add(name)
                        nursery.start_soon(self._send, name, method)

    def local_report(self, order_id: str, now: float) -> NodeOutcomes:
        """Return the counts of this node for an order.

        Parameters
        ----------
        order_id : str
            Id of the order.
        now : float
            Monotonic time in seconds.
        """
        local = self._directory.local
        elapsed_ms = int(self._age_s(order_id, now) * 1000)
        return self._counter.report(local.name, local.incarnation, order_id, elapsed_ms)

    def collector(self, now: float) -> str:
        """Return the name of the member that collects for this data centre.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        members = self._directory.reachable()
        if members is not self._ordered_from:
            self._ordered_from = members
            self._collectors = self._order_collectors(members)
        for name in self._collectors:
            # A member without a link to this one may be gone and still be listed.
            if self._avoided_until.get(name, 0.0) <= now:
                return name
        return self._directory.local.name

    def _order_collectors(self, members: list[Member]) -> list[str]:
        data_centre = self._directory.local.data_centre
        alive = [
            member
            for member in members
            if member.data_centre == data_centre and member.state is MemberState.ALIVE
        ]
        return [m.name for m in rendezvous_order(alive, "order-collector")]

    def _update_pending(self, now: float) -> Method:
        """Add the changed counts of this node; return how to send what is pending."""
        open_ids = {state.order_id for state in self._book.states() if state.is_open}
        # Without counts a report still tells the age of the order.
        known_ids = {report.order_id for report in self._latest.values()}
        for order_id in self._counter.changed_order_ids | (open_ids - known_ids):
            self._add(self.local_report(order_id, now))
        self._counter.changed_order_ids.clear()
        self._latest = {
            key: report
            for key, report in self._latest.items()
            if report.order_id in open_ids
        }
        method, names = self._destinations(now)
        # A new destination needs the earlier counts as well.
        keys = set(self._latest)
        self._pending = {name: self._pending.get(name, keys) & keys for name in names}
        return method

    def _destinations(self, now: float) -> tuple[Method, list[str]]:
        candidates = self._duty.leader_candidates(now)
        if not self._directory.is_full_mesh:
            collector = self.collector(now)
            if collector != self._directory.local.name:
                return Method.COLLECT_OUTCOMES, [collector]
        return Method.REPORT_OUTCOMES, candidates

    def _add(self, report: NodeOutcomes) -> None:
        key = (report.node, report.incarnation, report.order_id)
        self._latest[key] = report
        for keys in self._pending.values():
            keys.add(key)

    def _interval_s(self) -> float:
        fast = any(
            state.is_open and level_of(state) >= FAST_REPORT_LEVEL
            for state in self._book.states()
        )
        return FAST_REPORT_INTERVAL_S if fast else REPORT_INTERVAL_S

    async def _send(self, name: str, method: Method) -> None:
        try:
            keys, self._pending[name] = self._pending[name], set()
            for batch in _split(list(keys)):
                reports = [self._latest[key] for key in batch if key in self._latest]
                is_sent = await self._send_batch(name, method, reports)
                if is_sent:
                    continue
                if name in self._pending:
                    self._pending[name].update(batch)
                if method is Method.COLLECT_OUTCOMES:
                    avoided_until = trio.current_time() + AVOID_COLLECTOR_S
                    self._avoided_until[name] = avoided_until
        finally:
            self._sending.discard(name)

    async def _send_batch(
        self, name: str, method: Method, reports: list[NodeOutcomes]
    ) -> bool:
        """Send reports; return whether they were received."""
        body = msgspec.msgpack.encode(reports)
        try:
            await self._control.call(name, method, body, REPORT_TIMEOUT_S)
        except (PeerError, AuthError) as exc:
            self._log.emit(
                "orders",
                "report_lost",
                f"{name} did not receive the response counts: {exc.message}.",
                member=name,
                code=exc.code.value,
            )
            return False
        return True

    async def _handle_reports(self, link: Link, body: bytes) -> bytes:
        for report in _decode(body):
            self._apply(report)
        return b""

    async def _handle_collected(self, link: Link, body: bytes) -> bytes:
        for report in _decode(body):
            self._apply(report)
            key = (report.node, report.incarnation, report.order_id)
            latest = self._latest.get(key)
            # Two nodes that take each other for the collector send nothing twice.
            if latest is None or latest.elapsed_ms < report.elapsed_ms:
                self._add(report)
        return b""


def _split(keys: list[_Key]) -> Iterator[list[_Key]]:
    for start in range(0, len(keys), MAX_REPORTS_IN_MESSAGE):
        yield keys[start : start + MAX_REPORTS_IN_MESSAGE]


def _decode(body: bytes) -> list[NodeOutcomes]:
    try:
        return _REPORTS.decode(body)
    except msgspec.DecodeError as exc:
        raise PeerError(f"malformed report: {exc}") from exc
