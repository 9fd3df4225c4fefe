"""Limit on the requests that a faulty release may get, and the shares that keep it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# A faulty release may get this part of the requests from the order to its deadline, and
# a number of requests on top of it.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
# Time from the first bad responses until no node sends requests to the target: reports
# of the counts, windows of the evidence, decision, replication of the fault.
DETECTION_DELAY_S = 0.9
# Below this number of requests a second a fault would not be detected in time.
MIN_TARGET_REQUESTS_PER_S = 8.0
# Counts reach the driver late by this time in the mean.
REPORT_DELAY_S = 0.2
MIN_RATE_TIME_S = 0.5  # The rate is not known well before.


@dataclasses.dataclass(frozen=True)
class OrderTraffic:
    """Requests to an order's service since the order, of all nodes.

    Parameters
    ----------
    requests : int
        Attempts at backend servers of either release.
    exposed : int
        Attempts at backend servers of the target.
    response_s : float
        Mean time of a response in seconds.
    """

    requests: int = 0
    exposed: int = 0
    response_s: float = 0.0

    def requests_per_s(self, elapsed_s: float) -> float:
        """Return the mean rate since the order, 0 while it is unknown.

        Parameters
        ----------
        elapsed_s : float
            Seconds since the order.
        """
        counted_s = elapsed_s - REPORT_DELAY_S
        return self.requests / counted_s if counted_s >= MIN_RATE_TIME_S else 0.0

    def allowed(self, elapsed_s: float, duration_s: float) -> float:
        """Return how many requests a faulty target may get until the deadline.

        Parameters
        ----------
        elapsed_s, duration_s : float
            Seconds since the order, and from the order to its deadline.
        """
        remaining_s = max(0.0, duration_s - elapsed_s)
        expected = self.requests + self.requests_per_s(elapsed_s) * remaining_s
        return EXPOSURE_SHARE * expected + EXPOSURE_SLACK


def may_detect_at(
    share: float, traffic: OrderTraffic, elapsed_s: float, duration_s: float
) -> bool:
    """Return whether a fault would be detected at a share within the limit.

    Parameters
    ----------
    share : float
        Share of the requests that goes to the target.
    traffic : OrderTraffic
        Requests since the order.
    elapsed_s, duration_s : float
        Seconds since the order, and from the order to its deadline.
    """
    left = traffic.allowed(elapsed_s, duration_s) - traffic.exposed
    return left >= share * _detection_cost(traffic, elapsed_s)


def _detection_cost(traffic: OrderTraffic, elapsed_s: float) -> float:
    """Return the requests that come until a fault is detected."""
    rate = traffic.requests_per_s(elapsed_s)
    return rate * (DETECTION_DELAY_S + traffic.response_s)


def share_scale(
    traffic: OrderTraffic,
    elapsed_s: float,
    duration_s: float,
    planned: Sequence[tuple[float, float]],
) -> float:
    """Return the factor for the shares before the full one, at most 1.

    A fault that shows only at the full share is detected there after the time of a
    response and ``DETECTION_DELAY_S``. What the release gets in this time grows with
    the rate of requests and the time of a response, so the shares before leave enough
    of the limit for it.

    Parameters
    ----------
    traffic : OrderTraffic
        Requests since the order.
    elapsed_s, duration_s : float
        Seconds since the order, and from the order to its deadline.
    planned : sequence of tuple
        Shares from the present one to the last before the full share, each with the
        seconds that remain for it.
    """
    rate = traffic.requests_per_s(elapsed_s)
    cost = rate * sum(share * seconds for share, seconds in planned)
    if cost <= 0.0:
        return 1.0
    allowed = traffic.allowed(elapsed_s, duration_s)
    left = allowed - traffic.exposed - _detection_cost(traffic, elapsed_s)
    needed = MIN_TARGET_REQUESTS_PER_S / (rate * planned[0][0])
    return min(1.0, max(left / cost, needed))
