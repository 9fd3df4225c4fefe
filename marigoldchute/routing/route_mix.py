"""Shares of a new release by route, so that rare routes are judged in time too."""

from __future__ import annotations

RARE_BOOST_MAX = 12.0  # A route of one request in twenty gets as many as one of two.
RARE_SHARE_MAX = 0.7  # Leaves the old release some answers to compare with.
MIN_REQUESTS = 20  # With fewer, the part of a route is not known.
WINDOW_REQUESTS = 2_000  # Counts are halved here, so that a changed mix is followed.


class RouteMix:
    """How the requests of each service divide over its routes at this node.

    A release may be bad on one route only. With one share for all, a route that takes
    few requests brings too few answers to tell before most requests go there.
    """

    def __init__(self) -> None:
        self._counts: dict[str, dict[str, int]] = {}
        self._totals: dict[str, int] = {}

    def add_request(self, service: str, route: str) -> None:
        """Count a request."""
        counts = self._counts.setdefault(service, {})
        counts[route] = counts.get(route, 0) + 1
        total = self._totals.get(service, 0) + 1
        if total >= WINDOW_REQUESTS:
            counts = {n: c // 2 for n, c in counts.items() if c > 1}
            self._counts[service] = counts
            total = sum(counts.values())
        self._totals[service] = total

    def share(self, service: str, route: str, share: float) -> float:
        """Return the share of a route for a new release.

        Parameters
        ----------
        service, route : str
            Where the request goes.
        share : float
            Share of the service's requests, 0 to 1.

        Returns
        -------
        float
            At least ``share``; more for a route that takes less than an even part of
            the service's requests.
        """
        counts = self._counts.get(service, {})
        total = self._totals.get(service, 0)
        if total < MIN_REQUESTS:
            return share
        part = max(1, counts.get(route, 0)) / total
        boost = min(RARE_BOOST_MAX, 1.0 / (len(counts) * part))
        return max(share, min(RARE_SHARE_MAX, share * boost))
