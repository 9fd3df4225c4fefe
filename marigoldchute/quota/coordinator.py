"""Decision whether customers are near their quota, and division of their quotas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.quota.demand import Demand, divide_rate

if TYPE_CHECKING:
    from collections.abc import Mapping

    from marigoldchute.quota.limits import Quota
    from marigoldchute.quota.messages import UseReport

# The nodes of a relay that is silent for longer do not contribute to the quotas.
CONTRIBUTION_S = 0.6
# Nodes act on a decision within this time: two reports and the links between regions.
REACTION_S = 0.6
# Times over which an unused burst is handed out, and an overdraft held back.
SETTLE_S = 1.0
HOLD_BACK_S = 0.5
# Part of a limited customer's burst that is kept for decisions that arrive late.
# Without it the fullest window of 5 seeds was 0.997 of the bound, beside two
# coordinators.
RESERVE_S = 0.15
RELEASE_PART = 0.25
START_LEVEL = 3.0
START_S = 1.5  # After its start a coordinator does not know the demand.
FORGET_S = 10.0


class _Customer:
    """Use and demand of one customer."""

    __slots__ = ("demands", "is_limited", "level", "updated_at", "used_at")

    def __init__(self, level: float, is_limited: bool, now: float) -> None:
        self.level = level
        self.updated_at = now
        self.used_at = now
        self.is_limited = is_limited
        self.demands: dict[str, Demand] = {}

    def demand(self, now: float) -> float:
        return sum(demand.rate(now) for demand in self.demands.values())


class QuotaCoordinator:
    """Shares the quotas of customers among data centres.

    Each node contributes an even share of every quota to the one coordinator that its
    data centre reports to, so that two coordinators in separate parts of the mesh
    never assign more than the whole quota. The coordinator keeps a token bucket for
    each customer, from which reported use is taken, also beyond its end: what was used
    too much is held back later.

    Attributes
    ----------
    node_count : int
        Number of nodes that share the quotas, reachable or not.
    limited : set of bytes
        Customers that are near their quota.
    """

    def __init__(self) -> None:
        self.node_count = 1
        self.limited: set[bytes] = set()
        # Time of the first report after a time without any; buckets are empty then.
        self._started_at = 0.0
        self._quotas: Mapping[bytes, Quota] = {}
        self._customers: dict[bytes, _Customer] = {}
        self._reports: dict[str, tuple[int, float]] = {}
        self._swept_at = 0.0

    def set_quotas(self, quotas: Mapping[bytes, Quota]) -> None:
        """Use the quotas of a bundle that came into force, by the customer's id."""
        self._quotas = quotas
        for key in [key for key in self._customers if key not in quotas]:
            del self._customers[key]
            self.limited.discard(key)

    def contribution(self, now: float) -> float:
        """Return the part of each quota that this coordinator may assign, 0 to 1."""
        count = sum(n for n, at in self._reports.values() if now - at < CONTRIBUTION_S)
        return min(1.0, count / max(1, self.node_count))

    def handle_report(
        self, sender: str, report: UseReport, now: float
    ) -> dict[bytes, float]:
        """Record a report; return the rates of the sender by limited customer.

        Parameters
        ----------
        sender : str
            Name of the relay.
        report : UseReport
            Use since its last report.
        now : float
            Monotonic time in seconds.
        """
        if not any(now - at < CONTRIBUTION_S for _, at in self._reports.values()):
            self._restart(now)
        self._reports[sender] = (report.node_count, now)
        part = self.contribution(now)
        for key, (used, wanted) in report.usages.items():
            quota = self._quotas.get(key)
            if quota is not None:
                self._record(key, quota, sender, used, wanted, part, now)
        self._sweep(now)
        for key in self.limited | report.usages.keys():
            self._decide(key, part, now)
        even_share = report.node_count / max(
            1, sum(n for n, at in self._reports.values() if now - at < CONTRIBUTION_S)
        )
        return {
            key: self._rate_for(key, sender, part, even_share, now)
            for key in self.limited
        }

    def state_of(self, key: bytes, now: float) -> dict[str, object]:
        """Return the inputs of the latest decision about a customer, for the log."""
        customer, quota = self._customers.get(key), self._quotas.get(key)
        if customer is None or quota is None:
            return {}
        return {
            "quota_per_s": quota.rate_per_s,
            "level": round(customer.level, 1),
            "demand_per_s": round(customer.demand(now), 1),
            "contribution": round(self.contribution(now), 3),
        }

    def _restart(self, now: float) -> None:
        """Begin anew; another coordinator may have assigned the quotas meanwhile."""
        self._started_at = now
        for key, customer in self._customers.items():
            customer.level = min(_start_level(self._quotas[key]), customer.level)
            customer.updated_at = now
            customer.is_limited = True

    def _record(
        self,
        key: bytes,
        quota: Quota,
        sender: str,
        used: int,
        wanted: int,
        part: float,
        now: float,
    ) -> None:
        customer = self._customers.get(key)
        if customer is None:
            gained = (now - self._started_at) * quota.rate_per_s
            level = max(min(quota.burst, gained) * part, _start_level(quota))
            # Its demand is not known yet, so it is limited at first.
            is_limited = now - self._started_at < START_S
            customer = self._customers[key] = _Customer(level, is_limited, now)
        self._refill(customer, quota, part, now)
        customer.level -= used
        customer.used_at = now
        demand = customer.demands.get(sender)
        if demand is None:
            demand = customer.demands[sender] = Demand()
        demand.add(wanted, now)

    def _refill(
        self, customer: _Customer, quota: Quota, part: float, now: float
    ) -> None:
        gained = (now - customer.updated_at) * quota.rate_per_s * part
        customer.level = min(quota.burst * part, customer.level + gained)
        customer.updated_at = now

    def _decide(self, key: bytes, part: float, now: float) -> None:
        customer, quota = self._customers.get(key), self._quotas.get(key)
        if customer is None or quota is None:
            return
        self._refill(customer, quota, part, now)
        customer.is_limited = is_near_quota(
            customer.level,
            quota.rate_per_s * part,
            quota.burst * part,
            customer.demand(now),
            customer.is_limited,
        )
        if customer.is_limited:
            self.limited.add(key)
        else:
            self.limited.discard(key)

    def _rate_for(
        self, key: bytes, sender: str, part: float, even_share: float, now: float
    ) -> float:
        customer = self._customers[key]
        quota_rate = self._quotas[key].rate_per_s * part
        surplus = customer.level - RESERVE_S * quota_rate
        rate = quota_rate + surplus / (SETTLE_S if surplus > 0 else HOLD_BACK_S)
        demand = customer.demands.get(sender)
        return divide_rate(
            max(0.0, rate),
            demand.rate(now) if demand is not None else 0.0,
            customer.demand(now),
            even_share,
        )

    def _sweep(self, now: float) -> None:
        """Drop customers without use; their buckets are full by then."""
        if now - self._swept_at < FORGET_S:
            return
        self._swept_at = now
        for key, customer in list(self._customers.items()):
            quota = self._quotas[key]
            full_s = quota.burst / quota.rate_per_s
            if now - customer.used_at > FORGET_S + full_s and not customer.is_limited:
                del self._customers[key]
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report[1] < FORGET_S
        }


def _start_level(quota: Quota) -> float:
    """Return what may be admitted just after the start.

    A customer with few requests would else wait for a minute for its first one.
    """
    return min(START_LEVEL, quota.burst / 2)


def is_near_quota(
    level: float, rate: float, burst: float, demand: float, was_near: bool
) -> bool:
    """Return whether nodes must keep to assigned shares of a customer's quota.

    Parameters
    ----------
    level : float
        Requests that may be admitted at once; negative after an overdraft.
    rate, burst : float
        Quota of the customer.
    demand : float
        Requests per second that callers send.
    was_near : bool
        The last decision. A customer is released later than it is limited, so that
        decisions do not alternate.
    """
    if level < 0:
        return True
    # A single request, which may be the only one, is no sign of more.
    expected = max(0.0, demand * REACTION_S - 1.0)
    level_then = level + rate * REACTION_S - expected
    return level_then < (RELEASE_PART * burst if was_near else 0.0)
