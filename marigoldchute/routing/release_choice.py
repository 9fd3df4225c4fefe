"""Choice of the service and the release for each request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.routing.route_mix import RouteMix
from marigoldchute.routing.sticky import sticky_point
from marigoldchute.routing.weighted_choice import LowDiscrepancySequence

if TYPE_CHECKING:
    import random

    from marigoldchute.bundle.model import Service
    from marigoldchute.moves.model import Split
    from marigoldchute.routing.http_request import HttpRequest
    from marigoldchute.routing.route_table import RouteEntry


class ReleaseChoice:
    """Chooses the service and the release of requests by weights and shares.

    Parameters
    ----------
    rng : random.Random
        Source of the start of each low-discrepancy sequence.
    boost_rare_routes : bool
        Whether a new release gets a larger share on routes with few requests.
    """

    def __init__(self, rng: random.Random, boost_rare_routes: bool) -> None:
        self._rng = rng
        self._boost_rare_routes = boost_rare_routes
        self._sequences: dict[str, LowDiscrepancySequence] = {}
        self._route_mix = RouteMix()

    def pick_service(self, entry: RouteEntry) -> Service:
        """Return the service of a request, by weight if the route has several."""
        if entry.parts is None:
            return entry.service
        return entry.service_at(self._sequence_for(entry.route.name).next())

    def pick_release(
        self, req: HttpRequest, entry: RouteEntry, service: Service, split: Split
    ) -> str:
        """Return the release of a request and record the request.

        Parameters
        ----------
        req : HttpRequest
            Request; its sticky header, if any, determines the release.
        entry : RouteEntry
            Route of the request.
        service : Service
            Service that the request is sent to.
        split : Split
            Current split of the service's traffic between releases.
        """
        if self._boost_rare_routes:
            self._route_mix.record_request(service.name, entry.route.name)
        if split.share <= 0.0:
            return split.old_release
        if split.share >= 1.0:
            return split.new_release
        share = split.share
        if self._boost_rare_routes:
            share = self._route_mix.share(service.name, entry.route.name, share)
        point = self._sample_point(req, entry, split)
        return split.new_release if point < share else split.old_release

    def _sample_point(self, req: HttpRequest, entry: RouteEntry, split: Split) -> float:
        if entry.sticky_header:
            value = req.header(entry.sticky_header)
            if value is not None:
                return sticky_point(split.move_id, value)
        return self._sequence_for(f"{split.move_id}/{entry.route.name}").next()

    def _sequence_for(self, key: str) -> LowDiscrepancySequence:
        sequence = self._sequences.get(key)
        if sequence is None:
            sequence = self._sequences[key] = LowDiscrepancySequence(self._rng.random())
        return sequence
