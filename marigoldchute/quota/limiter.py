"""Admission of requests by the quota of their customer on one node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.quota.messages import Shares, Usages, customer_id

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from marigoldchute.quota.limits import Quota

# After this time without word from a coordinator, a node keeps to its even share.
SHARES_VALID_S = 0.8
SHARE_BURST_S = 0.25
# Part of a quota that one node may admit between two reports while the customer is far
# from its quota; it bounds what is admitted before a coordinator can intervene.
FREE_PART_OF_BURST = 0.5
MIN_FREE_COUNT = 2
MAX_RETRY_AFTER_S = 2.0


class _Account:
    """State of one customer on one node."""

    __slots__ = (
        "denied",
        "level",
        "limiting_rate",
        "own_level",
        "own_refilled_at",
        "quota",
        "refilled_at",
        "share",
        "used",
    )

    def __init__(self, quota: Quota, level: float, now: float) -> None:
        self.quota = quota
        # Bucket of the even share, from which each admitted request is taken.
        self.own_level = level
        self.own_refilled_at = now
        self.share: float | None = None  # None while the customer is not limited.
        self.used = 0
        self.denied = 0
        # Rate of the token bucket; 0 while it is not in use.
        self.limiting_rate = 0.0
        self.level = 0.0
        self.refilled_at = 0.0

    @property
    def free_count(self) -> float:
        return max(MIN_FREE_COUNT, self.quota.burst * FREE_PART_OF_BURST)


class QuotaLimiter:
    """Decides whether a request is within the quota of its customer.

    While the coordinator regards a customer as far from its quota, requests are only
    counted. Near it, a token bucket admits the share that the coordinator assigned to
    this node. Without word from a coordinator for ``SHARES_VALID_S``, the node keeps to
    its even share; the even shares of all nodes add up to the quota. What it admitted
    beyond the even share before is held back then. No bucket starts with a burst.

    Parameters
    ----------
    rng : random.Random
        Source of the initial levels of token buckets. They differ between nodes, so
        that many nodes with small shares do not all admit their first request at the
        same time.
    window_s : float
        Length of the windows in which the quotas hold.

    Attributes
    ----------
    node_count : int
        Number of nodes that share the quotas.
    denied_count : int
        Requests that were denied since the start.
    """

    def __init__(self, rng: random.Random, window_s: float = 5.0) -> None:
        self.node_count = 1
        self._window_s = window_s
        self.denied_count = 0
        self._rng = rng
        self._quotas: Mapping[bytes, Quota] = {}
        self._accounts: dict[str, _Account] = {}
        self._changed: dict[bytes, _Account] = {}
        self._rates: dict[bytes, float] = {}
        self._valid_until = float("-inf")

    def set_quotas(self, quotas: Mapping[bytes, Quota]) -> None:
        """Use the quotas of a bundle that came into force, by the customer's id."""
        self._quotas = quotas
        for name, account in list(self._accounts.items()):
            quota = quotas.get(customer_id(name))
            if quota is None:
                del self._accounts[name]
            else:
                account.quota = quota

    def try_acquire(self, name: str, now: float) -> float:
        """Admit a request of a customer, or return when to try again.

        Returns
        -------
        float
            0 when the request is admitted, else the seconds until the next one may be.
        """
        account = self._accounts.get(name)
        if account is None:
            quota = self._quotas.get(customer_id(name))
            if quota is None:
                return 0.0
            account = _Account(quota, self._rng.random(), now)
            self._accounts[name] = account
            account.share = self._rates.get(customer_id(name))
        if not account.used and not account.denied:
            self._changed[customer_id(name)] = account
        own_rate = self._refill_own(account, now)
        wait_s = self._acquire(account, own_rate, now)
        if wait_s:
            account.denied += 1
            self.denied_count += 1
        else:
            account.used += 1
            account.own_level -= 1.0
        return wait_s

    def release(self, name: str) -> None:
        """Return the quota of a request that did not run."""
        account = self._accounts.get(name)
        if account is None:
            return
        self._changed[customer_id(name)] = account
        account.used -= 1
        account.own_level += 1.0
        if account.limiting_rate:
            account.level = min(self._capacity(account), account.level + 1)

    def state_of(self, name: str, now: float) -> dict[str, object]:
        """Return the inputs of the latest decision about a customer, for the log."""
        account = self._accounts.get(name)
        if account is None:
            return {}
        return {
            "quota_per_s": account.quota.rate_per_s,
            "share_per_s": round(account.limiting_rate, 3),
            "share_of": "coordinator" if now < self._valid_until else "even",
            "nodes": self.node_count,
        }

    def take_usages(self) -> Usages:
        """Return what was used since the last call."""
        usages = {}
        for key, account in self._changed.items():
            usages[key] = account.used, account.used + account.denied
            account.used = account.denied = 0
        self._changed = {}
        return usages

    def restore_usages(self, usages: Usages) -> None:
        """Add what was taken for a report that was possibly not received.

        It may be counted twice, which never admits too many requests.
        """
        for account_name, account in self._accounts.items():
            usage = usages.get(customer_id(account_name))
            if usage is not None:
                account.used += usage[0]
                account.denied += usage[1] - usage[0]
                self._changed[customer_id(account_name)] = account

    def apply_shares(self, shares: Shares, sent_at: float) -> None:
        """Use the shares that were received in response to a report.

        Parameters
        ----------
        shares : Shares
            The response.
        sent_at : float
            Monotonic time at which the report was sent.
        """
        if shares.age_ms < 0:
            return
        valid_until = sent_at + SHARES_VALID_S - shares.age_ms / 1000
        if valid_until <= self._valid_until:
            return
        self._valid_until = valid_until
        self._rates = shares.rates
        for name, account in self._accounts.items():
            account.share = shares.rates.get(customer_id(name))

    def _acquire(self, account: _Account, own_rate: float, now: float) -> float:
        if now >= self._valid_until:
            account.limiting_rate = 0.0
            return _wait_for(1.0 - account.own_level, own_rate)
        if account.share is None:
            account.limiting_rate = 0.0
            return 0.0 if account.used < account.free_count else SHARE_BURST_S
        self._refill(account, account.share, now)
        wait_s = _wait_for(1.0 - account.level, account.share)
        if not wait_s:
            account.level -= 1.0
        return wait_s

    def _refill_own(self, account: _Account, now: float) -> float:
        """Refill the bucket of the even share; return its rate."""
        rate = account.quota.rate_per_s / self.node_count
        burst = max(1.0, account.quota.burst / self.node_count)
        # What was admitted before a window no longer counts in it.
        level = max(account.own_level, -rate * self._window_s)
        gained = (now - account.own_refilled_at) * rate
        account.own_level = min(burst, level + gained)
        account.own_refilled_at = now
        return rate

    def _refill(self, account: _Account, rate: float, now: float) -> None:
        if account.limiting_rate:
            gained = (now - account.refilled_at) * account.limiting_rate
            account.level = min(self._capacity(account), account.level + gained)
        else:
            account.level = self._rng.random()
        account.limiting_rate = max(rate, 1e-9)
        account.refilled_at = now

    @staticmethod
    def _capacity(account: _Account) -> float:
        return max(1.0, account.limiting_rate * SHARE_BURST_S)


def _wait_for(missing: float, rate: float) -> float:
    """Return the seconds until a bucket has gained what is missing."""
    if missing <= 0:
        return 0.0
    return min(MAX_RETRY_AFTER_S, missing / rate) if rate > 0 else MAX_RETRY_AFTER_S
