"""Exchange of the use and the shares of quotas between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import AuthError, PeerError, ResultCode
from marigoldchute.link.methods import Method
from marigoldchute.membership.model import MemberState
from marigoldchute.overlay.topology import rendezvous_order
from marigoldchute.quota.coordinator import QuotaCoordinator
from marigoldchute.quota.limits import make_quotas
from marigoldchute.quota.messages import (
    ENCODER,
    REPORT_DECODER,
    SHARES_DECODER,
    Shares,
    UseReport,
    customer_id,
)
from marigoldchute.quota.relay import QuotaRelay
from marigoldchute.quota.roles import COORDINATOR_TOPIC, relay_topic
from marigoldchute.routing.budget import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldchute.bundle.model import Bundle, Customer
    from marigoldchute.events import EventLog
    from marigoldchute.hosted.directory import Directory
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.link.pool import LinkPool
    from marigoldchute.membership.model import Member
    from marigoldchute.quota.limiter import QuotaLimiter
    from marigoldchute.quota.limits import QuotaBound

REPORT_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 0.5
# A member that did not respond is passed over for this time.
AVOID_S = 10.0
# Just after its start a node does not know all members yet. It assumes at least this
# number of nodes until then, so that its even share is not a large part of a quota.
START_S = 1.5
START_NODES = 64
LINES_PER_S = 2.0
LINE_BURST = 40.0


class QuotaService:
    """Reports the use of quotas and applies the shares that are assigned.

    A node reports to a relay of its data centre, and the relay adds up the reports that
    it gets for the coordinator. Each is the first member in rendezvous order that
    responds. Nothing is sent while no customer has a quota.

    Parameters
    ----------
    limiter : QuotaLimiter
        Admits the requests of this node.
    bound : QuotaBound
        Bound that holds for all nodes together.
    directory : Directory
        Members of the mesh.
    control : LinkPool
        Links on which reports are sent.
    handlers : Handlers
        Message handlers; those for reports are registered here.
    log : EventLog
        Event log of the process.

    Attributes
    ----------
    lost_reports : int
        Reports that got no response.
    limited_total : int
        Times that this node, as coordinator, began to limit a customer.
    """

    def __init__(
        self,
        limiter: QuotaLimiter,
        bound: QuotaBound,
        directory: Directory,
        control: LinkPool,
        handlers: Handlers,
        log: EventLog,
    ) -> None:
        self.lost_reports = 0
        self.limited_total = 0
        self._limiter = limiter
        self._bound = bound
        self._directory = directory
        self._control = control
        self._log = log
        self._started_at: float | None = None
        self._relay = QuotaRelay()
        self._coordinator = QuotaCoordinator()
        self._customers: tuple[Customer, ...] = ()
        self._names_of: tuple[Customer, ...] = ()
        self._names_by_id: dict[bytes, str] = {}
        self._has_quotas = False
        self._avoided_until: dict[str, float] = {}
        self._ordered_from: list[Member] | None = None
        self._relays: list[str] = []
        self._coordinators: list[str] = []
        self._line_budget = TokenBucket(LINES_PER_S, LINE_BURST)
        self._logged_coordinator = ""
        self._logged_limited: frozenset[bytes] = frozenset()
        handlers.register(Method.REPORT_QUOTA_USE, self._handle_use)
        handlers.register(Method.COLLECT_QUOTA_USE, self._handle_totals)

    def on_bundle(self, bundle: Bundle) -> None:
        """Use the quotas of a bundle that came into force."""
        customers = bundle.content.customers
        if len(customers) == len(self._customers) and all(
            own is other for own, other in zip(self._customers, customers, strict=True)
        ):
            return
        self._customers = customers
        quotas = make_quotas(customers, self._bound)
        self._has_quotas = bool(quotas)
        self._limiter.set_quotas(quotas)
        self._coordinator.set_quotas(quotas)

    async def run(self) -> None:
        """Send reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat, self._report_use)
            nursery.start_soon(self._repeat, self._report_totals)

    async def _repeat(self, report: Callable[[], Awaitable[None]]) -> None:
        while True:
            started_at = trio.current_time()
            if self._has_quotas:
                self._update_members(started_at)
                await report()
            await trio.sleep_until(started_at + REPORT_INTERVAL_S)

    async def _report_use(self) -> None:
        sent_at = trio.current_time()
        usages = self._limiter.take_usages()
        name = self._choose(self._relays, sent_at)
        if name == self._directory.local.name:
            shares = self._relay.handle_report(name, usages, sent_at)
            self._limiter.apply_shares(shares, sent_at)
            return
        report = UseReport(1, usages)
        response = await self._call(name, Method.REPORT_QUOTA_USE, report)
        if response is None:
            self._limiter.restore_usages(usages)
        else:
            self._limiter.apply_shares(response, sent_at)

    async def _report_totals(self) -> None:
        sent_at = trio.current_time()
        if not self._relay.count_nodes(sent_at):
            return
        report = self._relay.take_report(sent_at)
        name = self._choose(self._coordinators, sent_at)
        if name == self._directory.local.name:
            rates = self._coordinator.handle_report(name, report, sent_at)
            self._relay.apply_rates(rates, sent_at)
            self._log_decisions(sent_at)
            return
        response = await self._call(name, Method.COLLECT_QUOTA_USE, report)
        if response is None:
            self._relay.restore_usages(report.usages)
            return
        self._relay.apply_rates(response.rates, sent_at)
        self._log_coordinator(name, sent_at)

    async def _call(
        self, name: str, method: Method, report: UseReport
    ) -> Shares | None:
        """Send a report; return the response, or None when there is none."""
        try:
            body = await self._control.call(
                name, method, ENCODER.encode(report), CALL_TIMEOUT_S
            )
            return SHARES_DECODER.decode(body)
        except (PeerError, AuthError, msgspec.DecodeError) as exc:
            now = trio.current_time()
            self.lost_reports += 1
            self._avoided_until[name] = now + AVOID_S
            if self._line_budget.try_acquire(1.0, now):
                self._log.emit(
                    "quota",
                    "report_lost",
                    f"{name} did not respond to the use of quotas: {exc}.",
                    member=name,
                    code=getattr(exc, "code", ResultCode.PEER_PROTOCOL).value,
                )
            return None

    async def _handle_use(self, link: Link, body: bytes) -> bytes:
        report = _decode(body)
        now = trio.current_time()
        shares = self._relay.handle_report(link.peer.name, report.usages, now)
        return ENCODER.encode(shares)

    async def _handle_totals(self, link: Link, body: bytes) -> bytes:
        report = _decode(body)
        now = trio.current_time()
        self._update_members(now)
        rates = self._coordinator.handle_report(link.peer.name, report, now)
        self._log_decisions(now)
        return ENCODER.encode(Shares(0, rates))

    def _update_members(self, now: float) -> None:
        """Determine the number of nodes, and who collects the reports."""
        directory = self._directory
        count = max(len(directory.all()), len(directory.seeds()) + 1)
        self._coordinator.node_count = count
        if self._started_at is None:
            self._started_at = now
        is_starting = now - self._started_at < START_S
        self._limiter.node_count = max(count, START_NODES) if is_starting else count
        members = directory.reachable()
        if members is self._ordered_from:
            return
        self._ordered_from = members
        alive = [member for member in members if member.state is MemberState.ALIVE]
        centre = directory.local.data_centre
        near = [member for member in alive if member.data_centre == centre]
        topic = relay_topic(directory.local.name, len(near))
        self._relays = [m.name for m in rendezvous_order(near, topic)]
        self._coordinators = [
            m.name for m in rendezvous_order(alive, COORDINATOR_TOPIC)
        ]

    def _choose(self, names: list[str], now: float) -> str:
        for name in names:
            if self._avoided_until.get(name, 0.0) <= now:
                return name
        return self._directory.local.name

    def _log_coordinator(self, name: str, now: float) -> None:
        if name == self._logged_coordinator:
            return
        if self._line_budget.try_acquire(1.0, now):
            self._logged_coordinator = name
            self._log.emit(
                "quota",
                "coordinator",
                f"{name} coordinates the quotas for this data centre.",
                member=name,
                nodes=self._relay.count_nodes(now),
            )

    def _log_decisions(self, now: float) -> None:
        """Log the customers that were limited or released since the last time."""
        limited = frozenset(self._coordinator.limited)
        changed = limited ^ self._logged_limited
        if not changed:
            return
        self.limited_total += len(limited - self._logged_limited)
        self._logged_limited = limited
        names = self._names()
        for key in changed:
            if self._line_budget.try_acquire(1.0, now):
                name, is_limited = names.get(key, ""), key in limited
                self._log.emit(
                    "quota",
                    "limited" if is_limited else "released",
                    f"{name or 'A former customer'} is "
                    f"{'near' if is_limited else 'far from'} its quota.",
                    customer=name,
                    **self._coordinator.state_of(key, now),
                )

    def _names(self) -> dict[bytes, str]:
        """Return the names of the customers with a quota by id."""
        if self._names_of is not self._customers:
            self._names_of = self._customers
            self._names_by_id = {
                customer_id(customer.name): customer.name
                for customer in self._customers
                if customer.rate_per_s > 0
            }
        return self._names_by_id


def _decode(body: bytes) -> UseReport:
    try:
        return REPORT_DECODER.decode(body)
    except msgspec.DecodeError as exc:
        raise PeerError(f"malformed report: {exc}", ResultCode.PEER_PROTOCOL) from exc
