"""Quotas of the customers of a bundle, and the bound that holds for all nodes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from marigoldchute.quota.messages import customer_id

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldchute.bundle.model import Customer

# Parts of the permitted overshoot and slack with which customers are served; the rest
# is for requests that are admitted before a node learns that a quota is used up. Small
# customers, of whom few requests are admitted in that time, are served with the slack.
USED_OVERSHOOT = 0.1
USED_SLACK = 0.3


@dataclasses.dataclass(frozen=True)
class QuotaBound:
    """Bound on the requests of a customer in any window, over all nodes.

    Parameters
    ----------
    window_s : float
        Length of a window in seconds.
    overshoot, slack : float
        Ratio and number of requests by which a window may exceed the quota.
    """

    window_s: float = 5.0
    overshoot: float = 0.0
    slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Quota of one customer.

    Parameters
    ----------
    rate_per_s : float
        Requests per second that all nodes together may admit.
    burst : float
        Requests beyond the rate that they may admit at once, with a part of the
        overshoot that the bound permits.
    """

    rate_per_s: float
    burst: float


def window_limit(rate_per_s: float, burst: float, bound: QuotaBound) -> float:
    """Return how many requests all nodes may run in a window."""
    permitted = rate_per_s * bound.window_s + burst
    return permitted * (1 + bound.overshoot) + bound.slack


def make_quotas(customers: Iterable[Customer], bound: QuotaBound) -> dict[bytes, Quota]:
    """Return the quotas of the customers that have one, by id."""
    quotas = {}
    for customer in customers:
        rate, burst = customer.rate_per_s, customer.burst
        if rate > 0:
            overshoot = (rate * bound.window_s + burst) * bound.overshoot
            margin = USED_OVERSHOOT * overshoot + USED_SLACK * bound.slack
            quotas[customer_id(customer.name)] = Quota(rate, burst + margin)
    return quotas
