"""Conversion of the platform's configuration to a bundle."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marigoldchute.bundle.model import (
    BundleContent,
    CallerLimits,
    Route,
    RoutePart,
    Service,
)
from marigoldchute.errors import BundleError

if TYPE_CHECKING:
    from marigoldchute.objectstore.documents import Document

REPEATABLE_ROUTE_KIND = "idempotent"
ROUTE_KINDS = frozenset((REPEATABLE_ROUTE_KIND, "non_idempotent", "upload"))


class _Part(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Path(msgspec.Struct, frozen=True):
    name: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    max_attempts: int
    priority: int
    # Latency objective for the whole response; it limits nothing.
    target_latency_ms: float = 0.0
    service: str = ""
    weighted_services: list[_Part] = []


class _Host(msgspec.Struct, frozen=True):
    host: str
    paths: list[_Path]


class _Service(msgspec.Struct, frozen=True):
    name: str
    # Limit of each backend server, for all callers together.
    max_connections: int = 0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class _Configuration(msgspec.Struct, frozen=True):
    version: str  # Hexadecimal.
    services: list[_Service]
    virtual_hosts: list[_Host]
    limits: _Limits


class PlatformBundleApi:
    """``BundleApi`` for the platform's configuration."""

    kind = "config"
    name = "main"

    def decode(self, document: Document) -> tuple[int, BundleContent]:
        """Return the version and the content of a document."""
        try:
            configuration = msgspec.convert(
                document.content, _Configuration, strict=False
            )
            version = int(configuration.version, 16)
            return version, _to_content(configuration)
        except (msgspec.ValidationError, ValueError) as exc:
            raise BundleError(f"configuration is malformed: {exc}") from exc


def _to_content(configuration: _Configuration) -> BundleContent:
    services = tuple(
        Service(s.name, "", max_connections=s.max_connections)
        for s in configuration.services
    )
    hosts = configuration.virtual_hosts
    routes = tuple(_to_route(h.host, path) for h in hosts for path in h.paths)
    limits = configuration.limits
    return BundleContent(
        services,
        routes,
        (),
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
    )


def _to_route(host: str, path: _Path) -> Route:
    if path.route_kind not in ROUTE_KINDS:
        raise ValueError(f"route {path.name!r} has the kind {path.route_kind!r}")
    parts = tuple(RoutePart(p.service, p.weight) for p in path.weighted_services)
    return Route(
        path.name,
        path.path_prefix,
        path.service or parts[0].service,
        int(path.timeout_ms),
        (),
        path.priority,
        path.max_attempts,
        "",
        host,
        parts,
        path.route_kind == REPEATABLE_ROUTE_KIND,
        int(path.target_latency_ms),
    )
