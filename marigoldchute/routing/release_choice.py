"""Which part of a route and which release a request goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.routing.route_mix import RouteMix
from marigoldchute.routing.spread import Spread
from marigoldchute.routing.sticky import sticky_point

if TYPE_CHECKING:
    import random

    from marigoldchute.bundle.model import Service
    from marigoldchute.moves.model import Split
    from marigoldchute.routing.http_request import HttpRequest
    from marigoldchute.routing.route_table import RouteEntry


class ReleaseChoice:
    """Divides requests by weights and by the shares of releases.

    Parameters
    ----------
    rng : random.Random
        Source of the first point of each sequence.
    boost_rare_routes : bool
        Whether a new release gets a larger share of the routes with few requests.
    """

    def __init__(self, rng: random.Random, boost_rare_routes: bool) -> None:
        self._rng = rng
        self._boost_rare_routes = boost_rare_routes
        self._spreads: dict[str, Spread] = {}
        self._mix = RouteMix()

    def pick_service(self, entry: RouteEntry) -> Service:
        """Return the service of a request; one of its parts where it has some."""
        if entry.parts is None:
            return entry.service
        return entry.service_at(self._spread_of(entry.route.name).next())

    def pick_release(
        self, req: HttpRequest, entry: RouteEntry, service: Service, split: Split
    ) -> str:
        """Return the release of a request and count the request.

        Parameters
        ----------
        req : HttpRequest
            Request; its sticky header decides where there is one.
        entry : RouteEntry
            Its route.
        service : Service
            Where it goes.
        split : Split
            How the service's requests divide now.
        """
        if self._boost_rare_routes:
            self._mix.add_request(service.name, entry.route.name)
        if split.share <= 0.0:
            return split.old_release
        if split.share >= 1.0:
            return split.new_release
        share = split.share
        if self._boost_rare_routes:
            share = self._mix.share(service.name, entry.route.name, share)
        point = self._point(req, entry, split)
        return split.new_release if point < share else split.old_release

    def _point(self, req: HttpRequest, entry: RouteEntry, split: Split) -> float:
        if entry.sticky_header:
            value = req.header(entry.sticky_header)
            if value is not None:
                return sticky_point(split.move_id, value)
        return self._spread_of(f"{split.move_id}/{entry.route.name}").next()

    def _spread_of(self, key: str) -> Spread:
        spread = self._spreads.get(key)
        if spread is None:
            spread = self._spreads[key] = Spread(self._rng.random())
        return spread
