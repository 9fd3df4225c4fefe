"""Driver that raises the shares of orders and writes their verdicts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from marigoldchute.errors import (
    ConflictError,
    MoveError,
    NotFoundError,
    PlatformError,
    ResultCode,
    UnknownOutcomeError,
)
from marigoldchute.orders.model import OrderDocument, OrderStage, OrderState
from marigoldchute.orders.outcomes import OrderEvidence
from marigoldchute.orders.reports import OutcomeReporter
from marigoldchute.orders.schedule import (
    Progress,
    advance,
    expiry_reason,
    has_late_fault_evidence,
    next_state,
    phase_of,
)

if TYPE_CHECKING:
    from marigoldchute.events import EventLog
    from marigoldchute.hosted.directory import Directory
    from marigoldchute.hosted.reader import StoreReader
    from marigoldchute.hosted.reader_duty import ReaderDuty
    from marigoldchute.hosted.rejections import Rejections
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.pool import LinkPool
    from marigoldchute.objectstore.documents import Document, DocumentPage
    from marigoldchute.orders.book import OrderBook
    from marigoldchute.orders.outcomes import NodeOutcomes, OutcomeCounter

TICK_INTERVAL_S = 0.1
IDLE_TICK_INTERVAL_S = 0.5
WRITE_RETRY_DELAY_S = 0.3
# A status that the store lacks is written again after this time, in which a write of
# the previous leader becomes visible.
REWRITE_DELAY_S = 1.0


class OrderApi(Protocol):
    """Access to the orders and verdicts in the store."""

    @property
    def kind(self) -> str:
        """Kind of the order documents."""

    def decode(self, document: Document) -> OrderDocument:
        """Return the order of a document.

        Raises
        ------
        MoveError
            The document is not a valid order.
        """

    async def read(self, service: str) -> OrderDocument:
        """Read the present order of a service from the store."""

    async def write(
        self, document: OrderDocument, state: OrderState, elapsed_ms: int
    ) -> OrderDocument:
        """Write an order's status unless its document has changed since it was read."""


class OrderDriver:
    """Follow the orders in the store and drive them on the leading reader.

    Two drivers at the same time do no harm: shares rise by replicated states, of which
    the higher step wins, and a verdict is written only under the revision that was
    read.

    Parameters
    ----------
    api : OrderApi
        Orders in the store.
    book : OrderBook
        Replicated order states.
    counter : OutcomeCounter
        Response counts of this node.
    directory : Directory
        Members and their backend servers.
    duty : ReaderDuty
        Election of the nodes that read the store and of their leader.
    control : LinkPool
        Links on which response counts are sent.
    handlers : Handlers
        Message handlers; those for reports of response counts are registered here.
    rejections : Rejections
        Documents that were rejected.
    log : EventLog
        Event log of the process.

    Attributes
    ----------
    rewritten_count : int
        Number of statuses written again after the store was restored.
    """

    def __init__(
        self,
        api: OrderApi,
        book: OrderBook,
        counter: OutcomeCounter,
        directory: Directory,
        duty: ReaderDuty,
        control: LinkPool,
        handlers: Handlers,
        rejections: Rejections,
        log: EventLog,
    ) -> None:
        self.kind = api.kind
        self._rejections = rejections
        self._api = api
        self._book = book
        self._counter = counter
        self._directory = directory
        self._duty = duty
        self._log = log
        self._documents: dict[str, OrderDocument] = {}
        self._started_at: dict[str, float] = {}
        # Phase of the order and its start by service.
        self._phase_since: dict[str, tuple[tuple[str, int, bool], float]] = {}
        self._evidence: dict[str, OrderEvidence] = {}
        self._advancing: set[str] = set()  # Services.
        # By service, since when the store lacks its status.
        self._lacks_status_since: dict[str, float] = {}
        self.rewritten_count = 0
        self.reader: StoreReader | None = None
        book.on_change.append(self._on_state_change)
        self._reporter = OutcomeReporter(
            counter,
            book,
            directory,
            duty,
            control,
            handlers,
            log,
            self.apply_report,
            self.age_s,
        )

    def applied_revision(self) -> int:
        """Return 0, as a reader that starts needs the revision of each document."""
        return 0

    def apply_page(self, page: DocumentPage, is_full_list: bool) -> None:
        """Apply documents from the store."""
        if is_full_list:
            names = {document.name for document in page.documents}
            self._documents = {
                name: order for name, order in self._documents.items() if name in names
            }
        for document in page.documents:
            if document.deleted:
                self._documents.pop(document.name, None)
                continue
            try:
                order = self._api.decode(document)
            except MoveError as exc:
                self._log_rejection(document, exc.message, exc.code)
                continue
            if document.error:
                self._log_rejection(document, document.error, ResultCode.MOVE_INVALID)
            self._apply_order(order)

    def _log_rejection(self, document: Document, cause: str, code: ResultCode) -> None:
        if self._rejections.is_new(document):
            self._log.emit(
                "orders",
                "malformed",
                f"Revision {document.revision} of {document.name!r} is not a valid "
                f"order: {cause}.",
                revision=document.revision,
                code=code.value,
            )

    def _apply_order(self, order: OrderDocument) -> None:
        before = self._documents.get(order.service)
        self._documents[order.service] = order
        known = self._book.state(order.service)
        if known is not None and known.target == order.target:
            # Shares are replicated; only a verdict is taken from the status.
            has_verdict = order.stage > max(known.stage, OrderStage.RUNNING)
            if has_verdict and not self._is_older(order, known):
                self._book.publish(_with_verdict(known, order.stage))
            return
        if self._book.is_superseded(order.service, order.target, order.number):
            if before is None or before.revision != order.revision:
                self._log_superseded(order)
            return
        rejected = set(order.rejected)
        if known is not None:
            rejected |= set(known.rejected)
            if known.stage == OrderStage.TAKEN_BACK:
                rejected.add(known.target)
        rejected.discard(order.target)
        state = OrderState(
            order.service,
            order.target,
            order.number,
            0,
            0.0,
            OrderStage.WAITING,
            order.duration_s,
            tuple(sorted(rejected)),
        )
        if order.stage > OrderStage.RUNNING:
            state = _with_verdict(state, order.stage)
        self._started_at[state.order_id] = trio.current_time() - order.elapsed_ms / 1000
        self._book.publish(state)

    def _is_older(self, order: OrderDocument, known: OrderState) -> bool:
        """Return whether a restored store shows an earlier order of the same target."""
        predates = self._book.predates(known, order.revision)
        return predates and order.number < known.number

    def _log_superseded(self, order: OrderDocument) -> None:
        self._log.emit(
            "orders",
            "superseded",
            f"A restored store shows the order of {order.target!r} for "
            f"{order.service!r}, which a later order has replaced.",
            service=order.service,
            target=order.target,
            revision=order.revision,
        )

    def _find_start(self, state: OrderState, now: float) -> float:
        """Return when an order began, also if it had another number before."""
        prefix = f"{state.service}/{state.target}/"
        if not self._book.predates(state, state.number):
            return now
        starts = (at for key, at in self._started_at.items() if key.startswith(prefix))
        return min(starts, default=now)

    def _on_state_change(self, state: OrderState) -> None:
        now = trio.current_time()
        if state.order_id not in self._started_at:
            self._started_at[state.order_id] = self._find_start(state, now)
        phase = phase_of(state)
        previous = self._phase_since.get(state.service)
        if previous is None or previous[0] != phase:
            self._phase_since[state.service] = (phase, now)
        if not state.is_open:
            self._counter.discard(state.order_id)
            self._evidence.pop(state.order_id, None)

    async def run(self) -> None:
        """Drive orders and report response counts until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reporter.run)
            while True:
                open_orders = [s for s in self._book.states() if s.is_open]
                for state in open_orders:
                    if state.service in self._advancing:
                        # A write to a store that is away must not delay a fault.
                        self._test_evidence(state, trio.current_time())
                    else:
                        self._advancing.add(state.service)
                        nursery.start_soon(self._advance_one, state)
                lacking = self._next_without_status(trio.current_time())
                if lacking is not None:
                    self._advancing.add(lacking.service)
                    nursery.start_soon(self._rewrite_one, lacking)
                await trio.sleep(
                    TICK_INTERVAL_S if open_orders else IDLE_TICK_INTERVAL_S
                )

    def _next_without_status(self, now: float) -> OrderState | None:
        """Return an order whose status a restored store has lacked for long enough."""
        lacking = {s.service: s for s in self._book.states() if self._lacks_status(s)}
        self._lacks_status_since = {
            service: self._lacks_status_since.get(service, now) for service in lacking
        }
        for service, since in self._lacks_status_since.items():
            if now - since < REWRITE_DELAY_S or service in self._advancing:
                continue
            self._lacks_status_since[service] = now
            assert self.reader is not None
            if self._duty.is_leader(self.reader.is_reading(now), now):
                return lacking[service]
        return None

    def _lacks_status(self, state: OrderState) -> bool:
        document = self._documents.get(state.service)
        return (
            document is not None
            and document.target == state.target
            and document.stage != state.stage
            and state.stage != OrderStage.WAITING
            and self._book.predates(state, document.revision)
        )

    async def _rewrite_one(self, state: OrderState) -> None:
        try:
            await self._write(state, state)
            if not self._lacks_status(state):
                self.rewritten_count += 1
                self._log.emit(
                    "orders",
                    "status_rewritten",
                    f"The status of {state.order_id} was written again.",
                    move=state.order_id,
                    stage=OrderStage(state.stage).name,
                )
        finally:
            self._advancing.discard(state.service)

    async def _advance_one(self, state: OrderState) -> None:
        try:
            await self._advance(state)
        finally:
            self._advancing.discard(state.service)

    def _test_evidence(self, state: OrderState, now: float) -> bool:
        """Report a fault that the counts prove; return whether this node leads."""
        evidence = self._evidence_for(state)
        local_report = self._reporter.local_report(state.order_id, now)
        evidence.apply_report(local_report, int(now * 1000))
        assert self.reader is not None
        is_reading = self.reader.is_reading(now)
        is_leader = self._duty.is_leader(is_reading, now)
        if is_reading or is_leader:
            # Each reader has the counts of all nodes, and the leader may be cut off.
            fault = evidence.fault_reason()
            if fault and not self._book.is_faulty(state):
                self._book.report_fault(state, fault)
        return is_leader

    async def _advance(self, state: OrderState) -> None:
        now = trio.current_time()
        if not self._test_evidence(state, now):
            return
        if self._book.is_faulty(state):
            await self._take_back(state)
            return
        progress = self._compute_progress(state, self._evidence_for(state), now)
        new_state = next_state(state, progress)
        if new_state is None:
            reason = expiry_reason(state, progress)
            if reason:
                self._book.report_fault(state, reason)
            return
        if has_late_fault_evidence(state, progress):
            reason = (
                f"evidence is {progress.fault_evidence:.0%} of the threshold, "
                "too much for another raise"
            )
            self._book.report_fault(state, reason)
            return
        if new_state.stage == OrderStage.DONE:
            await self._write(state, new_state)
        elif self._book.publish(new_state):
            self._log_raise(new_state, progress)
            if state.stage == OrderStage.WAITING:
                await self._write(new_state, new_state)

    async def _take_back(self, state: OrderState) -> None:
        taken_back = _with_verdict(state, OrderStage.TAKEN_BACK)
        await self._write(state, taken_back)

    async def _write(self, state: OrderState, new_state: OrderState) -> None:
        """Write a status; publish a verdict to the mesh only after it was written."""
        document = self._documents.get(state.service)
        if document is None or document.target != state.target:
            return
        elapsed_s = self.age_s(state.order_id, trio.current_time())
        try:
            written = await self._api.write(document, new_state, int(elapsed_s * 1000))
        except (ConflictError, UnknownOutcomeError) as exc:
            # The document has changed, or it is unknown whether it was written: read it
            # again and let the next tick act on it.
            self._log_write_failure(state, exc)
            await self._reread(state.service)
            return
        except PlatformError as exc:
            self._log_write_failure(state, exc)
            await trio.sleep(WRITE_RETRY_DELAY_S)
            return
        self._documents[state.service] = written
        if state.is_open and not new_state.is_open:
            self._log.emit(
                "orders",
                "verdict",
                f"{state.order_id} is {OrderStage(new_state.stage).name.lower()}.",
                move=state.order_id,
                elapsed_s=round(elapsed_s, 2),
                revision=written.revision,
            )
            self._book.publish(new_state)

    async def _reread(self, service: str) -> None:
        try:
            self._apply_order(await self._api.read(service))
        except NotFoundError:
            # The operator deleted the order, or a restored store lacks it.
            self._documents.pop(service, None)
        except (PlatformError, MoveError) as exc:
            self._log.emit(
                "orders",
                "reread_failed",
                f"The order of {service!r} could not be read: {exc.message}.",
                code=exc.code.value,
            )
            await trio.sleep(WRITE_RETRY_DELAY_S)

    def _log_raise(self, state: OrderState, progress: Progress) -> None:
        self._log.emit(
            "orders",
            "paused" if state.paused else "raised",
            f"{state.order_id} sends {state.share:.1%} to its target.",
            move=state.order_id,
            share=round(state.share, 4),
            level=state.level,
            responses=progress.responses,
            evidence=round(progress.fault_evidence, 2),
            elapsed_s=round(progress.elapsed_s, 2),
            **_describe_traffic(state, progress),
        )

    def _log_write_failure(self, state: OrderState, exc: PlatformError) -> None:
        self._log.emit(
            "orders",
            "write_failed",
            f"The status of {state.order_id} was not written: {exc.message}.",
            move=state.order_id,
            code=exc.code.value,
        )

    def age_s(self, order_id: str, now: float) -> float:
        """Return the seconds since an order, as far as this node knows.

        Parameters
        ----------
        order_id : str
            Id of the order.
        now : float
            Monotonic time in seconds.
        """
        return now - self._started_at.get(order_id, now)

    def _compute_progress(
        self, state: OrderState, evidence: OrderEvidence, now: float
    ) -> Progress:
        phase, since = self._phase_since[state.service]
        held_s = now - since if phase == phase_of(state) else 0
        has_servers = any(
            server.service == state.service
            and server.release == state.target
            and not server.draining
            for member in self._directory.all()
            if member.accepts_requests
            for server in member.servers
        )
        return Progress(
            self.age_s(state.order_id, now),
            held_s,
            has_servers,
            evidence.new_response_count,
            evidence.fault_evidence(),
            evidence.traffic(),
        )

    def _evidence_for(self, state: OrderState) -> OrderEvidence:
        evidence = self._evidence.get(state.order_id)
        if evidence is None:
            evidence = self._evidence[state.order_id] = OrderEvidence(state)
        return evidence

    def _record_age(self, order_id: str, elapsed_s: float) -> None:
        """Use the age that another node knows if it knows the order for longer."""
        if order_id in self._started_at:
            started_at = trio.current_time() - elapsed_s
            self._started_at[order_id] = min(self._started_at[order_id], started_at)

    def apply_report(self, report: NodeOutcomes) -> None:
        """Apply the response counts of another node."""
        self._record_age(report.order_id, report.elapsed_ms / 1000)
        for state in self._book.states():
            if state.order_id == report.order_id and state.is_open:
                now_ms = int(trio.current_time() * 1000)
                self._evidence_for(state).apply_report(report, now_ms)


def _describe_traffic(state: OrderState, progress: Progress) -> dict[str, float]:
    traffic = progress.traffic
    return {
        "requests": traffic.requests,
        "exposed": traffic.exposed,
        "allowed": round(traffic.allowed(progress.elapsed_s, state.duration_s)),
        "response_s": round(traffic.response_s, 3),
    }


def _with_verdict(state: OrderState, stage: OrderStage) -> OrderState:
    return advance(state, 1.0 if stage == OrderStage.DONE else 0.0, stage)
