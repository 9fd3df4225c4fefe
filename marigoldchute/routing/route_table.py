"""Routes of a bundle, prepared for lookup by host and path."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from marigoldchute.bundle.model import Route, Service
from marigoldchute.routing.weighted_choice import WeightedChoice

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Bundle


@dataclasses.dataclass(frozen=True, slots=True)
class RouteEntry:
    """Route with values precomputed for requests."""

    route: Route
    service: Service
    parts: WeightedChoice[Service] | None
    idempotent_methods: frozenset[bytes]
    sticky_header: bytes

    def is_idempotent(self, method: bytes) -> bool:
        """Return whether a request may run more than once."""
        if self.route.repeatable is not None:
            return self.route.repeatable
        return method in self.idempotent_methods

    def service_at(self, point: float) -> Service:
        """Return the service for a point in [0, 1), by weight."""
        return self.service if self.parts is None else self.parts.item_at(point)


class RouteTable:
    """Longest-prefix lookup, with one map access for each length of a prefix.

    Parameters
    ----------
    bundle : Bundle
        Validated bundle.
    """

    def __init__(self, bundle: Bundle) -> None:
        self.version = bundle.version
        services = {service.name: service for service in bundle.content.services}
        by_host: dict[bytes, dict[bytes, RouteEntry]] = {}
        for route in bundle.content.routes:
            prefixes = by_host.setdefault(route.host.lower().encode(), {})
            prefixes[route.path_prefix.encode()] = _make_entry(route, services)
        self._by_host = {host: _PrefixTable(found) for host, found in by_host.items()}
        self._any_host = self._by_host.get(b"")

    def find(self, target: bytes, host: bytes = b"") -> RouteEntry | None:
        """Return the entry with the longest prefix of a request target.

        Parameters
        ----------
        target : bytes
            Request target; its query string is ignored.
        host : bytes
            Value of the Host header, with or without a port.
        """
        path = target.partition(b"?")[0]
        prefixes = self._by_host.get(host.partition(b":")[0].lower())
        found = prefixes.find(path) if prefixes is not None else None
        if found is None and self._any_host is not None:
            found = self._any_host.find(path)
        return found


class _PrefixTable:
    """The routes of one host."""

    def __init__(self, by_prefix: dict[bytes, RouteEntry]) -> None:
        self._by_prefix = by_prefix
        lengths = {len(prefix) for prefix in by_prefix}
        self._lengths = tuple(sorted(lengths, reverse=True))

    def find(self, path: bytes) -> RouteEntry | None:
        for length in self._lengths:
            entry = self._by_prefix.get(path[:length])
            if entry is not None:
                return entry
        return None


def _make_entry(route: Route, services: dict[str, Service]) -> RouteEntry:
    methods = frozenset(method.encode() for method in route.idempotent_methods)
    parts = None
    if route.parts:
        parts = WeightedChoice(
            [services[part.service] for part in route.parts],
            [part.weight for part in route.parts],
        )
    sticky_header = route.sticky_header.lower().encode()
    return RouteEntry(route, services[route.service], parts, methods, sticky_header)
