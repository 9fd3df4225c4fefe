"""Conversion of the platform's configuration to a bundle."""

from __future__ import annotations

import collections
import hashlib
import re
from typing import TYPE_CHECKING, Any

import msgspec

from marigoldchute.bundle.customer_keys import digest_key
from marigoldchute.bundle.limits import (
    MAX_ATTEMPTS,
    MAX_PRIORITY,
    MAX_TIMEOUT_MS,
    is_name,
)
from marigoldchute.bundle.model import (
    BundleContent,
    CallerLimits,
    Customer,
    Route,
    RoutePart,
    Service,
)
from marigoldchute.errors import BundleError, ResultCode

if TYPE_CHECKING:
    from marigoldchute.objectstore.documents import Document

# Requests of these kinds may be executed more than once.
REPEATABLE_ROUTE_KINDS = frozenset(("idempotent", "download"))
ROUTE_KINDS = REPEATABLE_ROUTE_KINDS | {"non_idempotent", "upload"}
NAME_DIGEST_BYTES = 12
_KEY = re.compile("[!-~]+")


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
    allowed_regions: list[str] = []
    public: bool = False


class _Host(msgspec.Struct, frozen=True):
    host: str
    paths: list[_Path]


class _Service(msgspec.Struct, frozen=True):
    name: str
    # Limit of each backend server, for all callers together.
    max_connections: int = 0
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Customer(msgspec.Struct, frozen=True):
    name: str
    api_keys: list[Any] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] = []


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
    tenants: list[_Customer] = []


class PlatformBundleApi:
    """``BundleApi`` for the platform's configuration."""

    kind = "config"
    name = "main"

    def decode(self, document: Document) -> tuple[int, BundleContent]:
        """Return the version and the content of a document."""
        if document.content is None and document.error:
            raise BundleError(f"configuration is malformed: {document.error}")
        try:
            configuration = msgspec.convert(
                document.content, _Configuration, strict=False
            )
            version = int(configuration.version, 16)
            return version, _to_content(configuration)
        except (ValueError, OverflowError, RecursionError) as exc:
            raise BundleError(f"configuration is malformed: {exc}") from exc


def _to_content(configuration: _Configuration) -> BundleContent:
    _check_customer_names(configuration.tenants)
    services = tuple(
        Service(
            s.name,
            "",
            max_connections=s.max_connections,
            warmup_s=max(0.0, s.warmup_s),
            warmup_requests_per_s=max(0.0, s.warmup_per_s),
        )
        for s in configuration.services
    )
    hosts = configuration.virtual_hosts
    names = collections.Counter(path.name for h in hosts for path in h.paths)
    routes = tuple(
        _to_route(h.host, path, _route_name(h.host, path, names[path.name] > 1))
        for h in hosts
        for path in h.paths
    )
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
        tuple(_to_customer(customer) for customer in configuration.tenants),
    )


def _to_customer(customer: _Customer) -> Customer:
    priority = customer.priority
    return Customer(
        customer.name,
        _digest_keys(customer.api_keys),
        None if priority is None else _clamp(priority, 0, MAX_PRIORITY),
        max(0.0, customer.rate_per_s),
        max(0.0, customer.burst),
        tuple(customer.allowed_regions),
    )


def _digest_keys(keys: list[Any]) -> tuple[bytes, ...]:
    """Return the digests of keys, each once.

    A value that no request can carry as a key is left out; it does not make the whole
    configuration malformed, because other customers depend on it.
    """
    sendable = (key for key in keys if isinstance(key, str) and _KEY.fullmatch(key))
    return tuple(dict.fromkeys(digest_key(key.encode()) for key in sendable))


def _check_customer_names(customers: list[_Customer]) -> None:
    """Raise an error for a name that is used twice.

    Of two such customers only one would be left among the items of a snapshot.
    """
    counts = collections.Counter(customer.name for customer in customers)
    for name, count in counts.items():
        if count > 1:
            raise BundleError(
                f"$.tenants: the name {name[:80]!r} is used {count} times",
                ResultCode.BUNDLE_DUPLICATE_NAME,
            )


def _route_name(host: str, path: _Path, is_shared: bool) -> str:
    """Return the name of a route, unique within the bundle.

    The platform identifies a route by host and prefix. Its name may be that of a route
    of another host, or be no name in a bundle.
    """
    if is_name(path.name) and not is_shared:
        return path.name
    place = f"{host}{path.path_prefix}".encode()
    digest = hashlib.blake2b(place, digest_size=NAME_DIGEST_BYTES).hexdigest()
    return f"route-{digest}"


def _to_route(host: str, path: _Path, name: str) -> Route:
    """Convert a route; values beyond the limits of a bundle are reduced to them.

    Requests of an unknown kind are executed at most once, as the strictest kind is.
    """
    parts = tuple(RoutePart(p.service, p.weight) for p in path.weighted_services)
    service = path.service or (parts[0].service if parts else "")
    if not service:
        raise ValueError(f"route {path.name!r} has no service")
    return Route(
        name,
        path.path_prefix,
        service,
        _clamp(int(path.timeout_ms), 1, MAX_TIMEOUT_MS),
        (),
        _clamp(path.priority, 0, MAX_PRIORITY),
        _clamp(path.max_attempts, 1, MAX_ATTEMPTS),
        "",
        host,
        parts,
        path.route_kind in REPEATABLE_ROUTE_KINDS,
        _clamp(int(path.target_latency_ms), 0, MAX_TIMEOUT_MS),
        "" if path.route_kind in ROUTE_KINDS else path.route_kind,
        tuple(path.allowed_regions),
        path.public,
    )


def _clamp(value: int, minimum: int, maximum: int) -> int:
    return max(minimum, min(maximum, value))
