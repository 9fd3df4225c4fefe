"""Collection of the use of quotas in a data centre, and division of its shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.quota.demand import Demand, divide_rate
from marigoldchute.quota.messages import Shares, UseReport

if TYPE_CHECKING:
    from marigoldchute.quota.messages import Usages

NODE_SILENT_S = 0.6
FORGET_S = 5.0


class QuotaRelay:
    """Adds up the reports of the nodes of a data centre for the coordinator.

    It divides the rates that the coordinator assigned to the data centre among the
    nodes by their demand.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, float] = {}
        self._pending: dict[bytes, list[int]] = {}
        self._demands: dict[bytes, dict[str, Demand]] = {}
        self._rates: dict[bytes, float] = {}
        self._rates_at: float | None = None
        self._swept_at = 0.0

    def handle_report(self, node: str, usages: Usages, now: float) -> Shares:
        """Record the report of a node; return its shares."""
        self._nodes[node] = now
        for key, (used, wanted) in usages.items():
            pending = self._pending.setdefault(key, [0, 0])
            pending[0] += used
            pending[1] += wanted
            demands = self._demands.setdefault(key, {})
            if node not in demands:
                demands[node] = Demand()
            demands[node].add(wanted, now)
        self._sweep(now)
        if self._rates_at is None:
            return Shares(-1, {})
        even_share = 1 / self.count_nodes(now)
        rates = {
            key: self._rate_for(key, rate, node, even_share, now)
            for key, rate in self._rates.items()
        }
        return Shares(int((now - self._rates_at) * 1000), rates)

    def count_nodes(self, now: float) -> int:
        """Return the number of nodes that report here."""
        return sum(now - at < NODE_SILENT_S for at in self._nodes.values())

    def take_report(self, now: float) -> UseReport:
        """Return what the nodes used since the last call, for the coordinator."""
        usages = {key: (used, wanted) for key, (used, wanted) in self._pending.items()}
        self._pending = {}
        return UseReport(self.count_nodes(now), usages)

    def restore_usages(self, usages: Usages) -> None:
        """Add what was taken for a report that was possibly not received."""
        for key, (used, wanted) in usages.items():
            pending = self._pending.setdefault(key, [0, 0])
            pending[0] += used
            pending[1] += wanted

    def apply_rates(self, rates: dict[bytes, float], sent_at: float) -> None:
        """Use the rates of a response to a report that was sent at ``sent_at``."""
        if self._rates_at is None or sent_at > self._rates_at:
            self._rates = rates
            self._rates_at = sent_at

    def _rate_for(
        self, key: bytes, rate: float, node: str, even_share: float, now: float
    ) -> float:
        demands = self._demands.get(key, {})
        demand = demands.get(node)
        return divide_rate(
            rate,
            demand.rate(now) if demand is not None else 0.0,
            sum(other.rate(now) for other in demands.values()),
            even_share,
        )

    def _sweep(self, now: float) -> None:
        if now - self._swept_at < FORGET_S:
            return
        self._swept_at = now
        self._nodes = {n: at for n, at in self._nodes.items() if now - at < FORGET_S}
        self._demands = {
            key: kept
            for key, demands in self._demands.items()
            if (kept := {n: d for n, d in demands.items() if d.rate(now) > 1e-3})
        }
