"""Shares of a new release by route, raised on routes with few requests."""

from __future__ import annotations

# Of two routes, one with 1 in 20 requests sends as many to the new release as one with
# half of them.
MAX_RARE_ROUTE_BOOST = 12.0
MAX_RARE_ROUTE_SHARE = 0.7  # Leaves the old release some responses to compare with.
MIN_REQUESTS = 20  # With fewer, a route's part of the traffic is not known well.
# Counts are halved at this total, so that they follow changes of the traffic.
WINDOW_REQUESTS = 2_000


class RouteMix:
    """Distribution of each service's requests over its routes at this node.

    A release may be faulty on one route only. With the same share on all routes, a
    route with few requests yields too few responses to detect that before most
    requests go to the new release.
    """

    def __init__(self) -> None:
        self._counts: dict[str, dict[str, int]] = {}
        self._totals: dict[str, int] = {}

    def record_request(self, service: str, route: str) -> None:
        """Record a request."""
        counts = self._counts.setdefault(service, {})
        counts[route] = counts.get(route, 0) + 1
        total = self._totals.get(service, 0) + 1
        if total >= WINDOW_REQUESTS:
            counts = {name: count // 2 for name, count in counts.items() if count > 1}
            self._counts[service] = counts
            total = sum(counts.values())
        self._totals[service] = total

    def share(self, service: str, route: str, share: float) -> float:
        """Return the share of a route for a new release.

        Parameters
        ----------
        service, route : str
            Service and route of the request.
        share : float
            Share of the service's traffic for the new release, 0 to 1.

        Returns
        -------
        float
            At least ``share``; more for a route that gets less than an equal part of
            the service's requests.
        """
        counts = self._counts.get(service, {})
        total = self._totals.get(service, 0)
        if total < MIN_REQUESTS:
            return share
        route_ratio = max(1, counts.get(route, 0)) / total
        boost = min(MAX_RARE_ROUTE_BOOST, 1.0 / (len(counts) * route_ratio))
        return max(share, min(MAX_RARE_ROUTE_SHARE, share * boost))
