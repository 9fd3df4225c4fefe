"""Drives orders from share to share and writes their verdicts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from marigoldchute.errors import (
    AuthError,
    ConflictError,
    MoveError,
    PeerError,
    PlatformError,
    UnknownOutcomeError,
)
from marigoldchute.link.methods import Method
from marigoldchute.orders.model import OrderDocument, OrderStage, OrderState
from marigoldchute.orders.outcomes import NodeOutcomes, OrderEvidence
from marigoldchute.orders.schedule import (
    STAGES,
    Progress,
    advance,
    is_doubtful,
    is_too_late,
    next_state,
)

if TYPE_CHECKING:
    from marigoldchute.events import EventLog
    from marigoldchute.hosted.directory import Directory
    from marigoldchute.hosted.reader import ReaderDuty, StoreReader
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.link.pool import LinkPool
    from marigoldchute.objectstore.documents import Document, DocumentPage
    from marigoldchute.orders.book import OrderBook
    from marigoldchute.orders.outcomes import OutcomeCounter
    from marigoldchute.util.clock import Clock

TICK_S = 0.1
IDLE_TICK_S = 0.5
REPORT_S = 0.25
# From this share on, a tenth of all requests may go to a bad release within a second.
FAST_REPORT_SHARE = STAGES[-2].share
FAST_REPORT_S = 0.1
REPORT_TIMEOUT_S = 0.5
WRITE_PAUSE_S = 0.3


class OrderApi(Protocol):
    """How orders and verdicts lie in the store."""

    @property
    def kind(self) -> str:
        """Kind of the orders' documents."""

    def decode(self, document: Document) -> OrderDocument:
        """Return the order of a document.

        Raises
        ------
        MoveError
            The document is no order.
        """

    async def read(self, service: str) -> OrderDocument:
        """Return the order of a service as the store holds it now."""

    async def write(
        self, document: OrderDocument, state: OrderState, elapsed_ms: int
    ) -> OrderDocument:
        """Write an order's status if its document has not changed since."""


class OrderDriver:
    """Follows orders in the store; drives them on the node that leads.

    Two drivers at once do no harm: shares rise by replicated states of which the
    higher step wins, and a verdict is written only under the revision that was read.

    Parameters
    ----------
    api : OrderApi
        Orders in the store.
    book : OrderBook
        Replicated states.
    counter : OutcomeCounter
        What this node has counted.
    directory : Directory
        Members and their backend servers.
    duty : ReaderDuty
        Who reads the store, and who of them leads.
    control : LinkPool
        Links on which counts go to the readers.
    handlers : Handlers
        Where the report's method is registered.
    log : EventLog
        Event log of the process.
    clock : Clock
        Wall clock of the process.
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
        log: EventLog,
        clock: Clock,
    ) -> None:
        self.kind = api.kind
        self._api = api
        self._book = book
        self._counter = counter
        self._directory = directory
        self._duty = duty
        self._control = control
        self._log = log
        self._clock = clock
        self._documents: dict[str, OrderDocument] = {}
        self._seen_at: dict[str, float] = {}
        self._held_since: dict[str, tuple[str, int, float]] = {}
        self._evidence: dict[str, OrderEvidence] = {}
        self.reader: StoreReader | None = None
        book.on_change.append(self._note_state)
        handlers.register(Method.REPORT_OUTCOMES, self._take_report)

    def known_revision(self) -> int:
        """Return 0: a reader that begins needs the documents' own revisions."""
        return 0

    def take_page(self, page: DocumentPage, whole: bool) -> None:
        """Take orders from the store."""
        for document in page.documents:
            if document.deleted:
                self._documents.pop(document.name, None)
                continue
            try:
                order = self._api.decode(document)
            except MoveError as exc:
                self._log.emit(
                    "orders",
                    "malformed",
                    f"{document.name!r} is no order: {exc.message}.",
                    code=exc.code.value,
                )
                continue
            self._take_order(order)

    def _take_order(self, order: OrderDocument) -> None:
        self._documents[order.service] = order
        held = self._book.state(order.service)
        if held is not None and held.target == order.target:
            if order.stage > held.stage:
                self._book.put(_decided(held, order.stage))
            return
        rejected = set(order.rejected)
        if held is not None:
            rejected |= set(held.rejected)
            if held.stage == OrderStage.TAKEN_BACK:
                rejected.add(held.target)
        rejected.discard(order.target)
        state = OrderState(
            order.service,
            order.target,
            order.revision,
            0,
            0.0,
            OrderStage.WAITING,
            order.duration_s,
            tuple(sorted(rejected)),
        )
        if order.stage > OrderStage.RUNNING:
            state = _decided(state, order.stage)
        self._seen_at[state.order_id] = trio.current_time() - order.elapsed_ms / 1000
        self._book.put(state)

    def _note_state(self, state: OrderState) -> None:
        now = trio.current_time()
        self._seen_at.setdefault(state.order_id, now)
        self._held_since[state.service] = (state.order_id, state.step, now)
        if not state.is_open:
            self._counter.forget(state.order_id)
            self._evidence.pop(state.order_id, None)

    async def run(self) -> None:
        """Drive and report until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report)
            while True:
                open_orders = [s for s in self._book.states() if s.is_open]
                for state in open_orders:
                    await self._advance(state)
                await trio.sleep(TICK_S if open_orders else IDLE_TICK_S)

    async def _advance(self, state: OrderState) -> None:
        now = trio.current_time()
        now_ms = self._clock.now_ms()
        evidence = self._evidence_of(state)
        evidence.take(self._own_report(state.order_id), now_ms)
        assert self.reader is not None
        if not self._duty.leads(self.reader.reads(now), now):
            return
        fault = evidence.fault()
        if fault and not self._book.is_faulty(state):
            self._book.report_fault(state, fault)
        if self._book.is_faulty(state):
            await self._take_back(state)
            return
        progress = self._progress(state, evidence, now)
        following = next_state(state, progress)
        if following is None:
            if is_too_late(state, progress.elapsed_s):
                self._book.report_fault(state, "its full share is not reached in time")
            return
        if is_doubtful(state, progress):
            reason = f"evidence of {progress.doubt:.0%} of a proof at the last raise"
            self._book.report_fault(state, reason)
            return
        if following.stage == OrderStage.DONE:
            await self._write(state, following)
        elif self._book.put(following):
            self._note_raise(following, progress)
            if state.stage == OrderStage.WAITING:
                await self._write(following, following)

    async def _take_back(self, state: OrderState) -> None:
        stopped = _decided(state, OrderStage.TAKEN_BACK)
        await self._write(state, stopped)

    async def _write(self, state: OrderState, following: OrderState) -> None:
        """Write a status, and only then let the mesh act on a verdict."""
        document = self._documents.get(state.service)
        if document is None or document.target != state.target:
            return
        elapsed_s = trio.current_time() - self._seen_at[state.order_id]
        try:
            written = await self._api.write(document, following, int(elapsed_s * 1000))
        except (ConflictError, UnknownOutcomeError) as exc:
            # The watch brings what stands; the next tick acts on that.
            self._note_write(state, exc)
            await self._reread(state.service)
            return
        except PlatformError as exc:
            self._note_write(state, exc)
            await trio.sleep(WRITE_PAUSE_S)
            return
        self._documents[state.service] = written
        if not following.is_open:
            self._log.emit(
                "orders",
                "verdict",
                f"{state.order_id} is {OrderStage(following.stage).name.lower()}.",
                move=state.order_id,
                elapsed_s=round(elapsed_s, 2),
                revision=written.revision,
            )
            self._book.put(following)

    async def _reread(self, service: str) -> None:
        try:
            self._take_order(await self._api.read(service))
        except (PlatformError, MoveError) as exc:
            self._log.emit(
                "orders",
                "reread_failed",
                f"The order of {service!r} could not be read: {exc.message}.",
                code=exc.code.value,
            )
            await trio.sleep(WRITE_PAUSE_S)

    def _note_raise(self, state: OrderState, progress: Progress) -> None:
        self._log.emit(
            "orders",
            "raised",
            f"{state.order_id} is raised to {state.share:.0%}.",
            move=state.order_id,
            share=state.share,
            answers=progress.answers,
            doubt=round(progress.doubt, 2),
            elapsed_s=round(progress.elapsed_s, 2),
        )

    def _note_write(self, state: OrderState, exc: PlatformError) -> None:
        self._log.emit(
            "orders",
            "write_failed",
            f"The status of {state.order_id} was not written: {exc.message}.",
            move=state.order_id,
            code=exc.code.value,
        )

    def _progress(
        self, state: OrderState, evidence: OrderEvidence, now: float
    ) -> Progress:
        order_id, step, since = self._held_since[state.service]
        held_s = now - since if (order_id, step) == (state.order_id, state.step) else 0
        has_servers = any(
            server.service == state.service
            and server.release == state.target
            and not server.draining
            for member in self._directory.all()
            if member.usable
            for server in member.servers
        )
        elapsed_s = now - self._seen_at[state.order_id]
        answers, doubt = evidence.new_answers, evidence.doubt()
        return Progress(elapsed_s, held_s, has_servers, answers, doubt)

    def _evidence_of(self, state: OrderState) -> OrderEvidence:
        evidence = self._evidence.get(state.order_id)
        if evidence is None:
            evidence = self._evidence[state.order_id] = OrderEvidence(state)
        return evidence

    def _own_report(self, order_id: str) -> NodeOutcomes:
        local = self._directory.local
        counts = self._counter.counts_of(order_id)
        return NodeOutcomes(local.name, local.incarnation, order_id, counts)

    async def _report(self) -> None:
        """Send what this node has counted to the nodes that may decide."""
        told: set[str] = set()
        while True:
            await trio.sleep(self._report_interval_s())
            changed = set(self._counter.changed)
            self._counter.changed.clear()
            deciders = self._duty.deciders(trio.current_time())
            # Who has begun to decide needs the counts of before as well.
            known = {state.order_id for state in self._book.states() if state.is_open}
            for name in deciders:
                for order_id in changed if name in told else changed | known:
                    body = msgspec.msgpack.encode(self._own_report(order_id))
                    await self._send(name, body)
            told = set(deciders)

    def _report_interval_s(self) -> float:
        fast = any(
            state.is_open and state.share >= FAST_REPORT_SHARE
            for state in self._book.states()
        )
        return FAST_REPORT_S if fast else REPORT_S

    async def _send(self, name: str, body: bytes) -> None:
        try:
            await self._control.call(
                name, Method.REPORT_OUTCOMES, body, REPORT_TIMEOUT_S
            )
        except (PeerError, AuthError) as exc:
            # Counts are cumulative, so the next report holds these too.
            self._log.emit(
                "orders",
                "report_lost",
                f"{name} did not take the counts: {exc.message}.",
                member=name,
                code=exc.code.value,
            )

    async def _take_report(self, link: Link, body: bytes) -> bytes:
        report = msgspec.msgpack.decode(body, type=NodeOutcomes)
        for state in self._book.states():
            if state.order_id == report.order_id and state.is_open:
                self._evidence_of(state).take(report, self._clock.now_ms())
        return b""


def _decided(state: OrderState, stage: OrderStage) -> OrderState:
    return advance(state, 1.0 if stage == OrderStage.DONE else 0.0, stage)
