"""Routes of a bundle, prepared for lookup by path."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from marigoldchute.bundle.model import Route, Service

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Bundle


@dataclasses.dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route with what a request needs of it."""

    route: Route
    service: Service
    idempotent_methods: frozenset[bytes]
    sticky_header: bytes


class RouteTable:
    """Longest-prefix lookup: one look in a map for each length of a prefix.

    Parameters
    ----------
    bundle : Bundle
        Validated bundle.
    """

    def __init__(self, bundle: Bundle) -> None:
        self.version = bundle.version
        services = {service.name: service for service in bundle.content.services}
        self._by_prefix = {
            route.path_prefix.encode(): _entry(route, services[route.service])
            for route in bundle.content.routes
        }
        lengths = {len(prefix) for prefix in self._by_prefix}
        self._lengths = tuple(sorted(lengths, reverse=True))

    def find(self, target: bytes) -> RouteEntry | None:
        """Return the entry with the longest prefix of a request target."""
        path = target.partition(b"?")[0]
        by_prefix = self._by_prefix
        for length in self._lengths:
            entry = by_prefix.get(path[:length])
            if entry is not None:
                return entry
        return None


def _entry(route: Route, service: Service) -> RouteEntry:
    methods = frozenset(method.encode() for method in route.idempotent_methods)
    return RouteEntry(route, service, methods, route.sticky_header.lower().encode())
