"""Estimated request rates, and the division of a rate by them."""

from __future__ import annotations

import math

DEMAND_DECAY_S = 0.5
# Part of a rate that is divided evenly, so that callers who move to a node without
# demand are served there before its demand is known.
EVEN_PART = 0.05


class Demand:
    """Rate of requests, estimated with exponentially decaying weights."""

    __slots__ = ("_rate", "_updated_at")

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0.0

    def add(self, count: int, now: float) -> None:
        """Record requests since the last report."""
        self._rate = self.rate(now) + count / DEMAND_DECAY_S
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the requests per second."""
        return self._rate * math.exp((self._updated_at - now) / DEMAND_DECAY_S)


def divide_rate(
    rate: float, demand: float, total_demand: float, even_share: float
) -> float:
    """Return the part of a rate for one receiver.

    Parameters
    ----------
    rate : float
        Rate to divide.
    demand, total_demand : float
        Demand of the receiver and of all receivers.
    even_share : float
        Part of the rate that the receiver gets without regard to demand, 0 to 1.
    """
    if total_demand <= 0:
        return rate * even_share
    by_demand = min(1.0, demand / total_demand)
    return rate * ((1 - EVEN_PART) * by_demand + EVEN_PART * even_share)
