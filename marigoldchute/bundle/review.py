"""Review of a bundle's content before it is sent: findings and differences."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Any

from marigoldchute.bundle.validation import validate_content
from marigoldchute.errors import MarigoldchuteError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from marigoldchute.bundle.model import (
        BundleContent,
        CallerLimits,
        Customer,
        Route,
        Service,
    )

ERROR = "error"
WARNING = "warning"
ADDED = "added"
REMOVED = "removed"
CHANGED = "changed"
MAX_LISTED_NAMES = 5
_PREFIX_FIELDS = frozenset(("name", "host", "path_prefix"))


@dataclasses.dataclass(frozen=True)
class Finding:
    """One finding of a review.

    Parameters
    ----------
    severity : str
        ``error`` if nodes refuse the content, otherwise ``warning``.
    kind : str
        Stable name of the finding, such as ``route-hidden``.
    place : str
        Entry that it is about, such as ``route h.example/a/``.
    text : str
        Short sentence for an operator; contains no key.
    code : int
        Numbered result code, 0 if there is none.
    """

    severity: str
    kind: str
    place: str
    text: str
    code: int = 0


@dataclasses.dataclass(frozen=True)
class Change:
    """One difference from the version in force.

    Parameters
    ----------
    subject : str
        ``service``, ``route``, ``customer`` or ``limits``.
    name : str
        Name of the entry, host and prefix of a route; empty for limits.
    operation : str
        ``added``, ``removed`` or ``changed``.
    field : str
        Field that is changed; empty otherwise.
    before, after : Any
        Values of a changed field; for keys how many are removed and added.
    """

    subject: str
    name: str
    operation: str
    field: str = ""
    before: Any = None
    after: Any = None


def review_content(
    content: BundleContent, known_regions: Collection[str] = ()
) -> tuple[Finding, ...]:
    """Return the findings on a content, errors first.

    Parameters
    ----------
    content : BundleContent
        Content to review.
    known_regions : collection of str
        Regions of the mesh; empty if they are not known.
    """
    return (
        *_find_errors(content),
        *_find_unreachable_routes(content.routes),
        *_find_route_contradictions(content.routes),
        *_find_unusable_customers(content),
        *_find_shared_keys(content.customers),
        *_find_quota_contradictions(content.customers),
        *_find_disjoint_regions(content),
        *_find_unknown_regions(content, known_regions),
        *_find_warmup_contradictions(content.services),
        *_find_limit_contradictions(content.limits),
    )


def review_version(
    version: int, content: BundleContent, version_before: int, before: BundleContent
) -> tuple[Finding, ...]:
    """Return a finding for a version that is not higher than the one in force.

    The same content with the same version is no change and has no finding.
    """
    if version > version_before or (version == version_before and content == before):
        return ()
    return (
        _warning(
            "version-not-higher",
            "version",
            f"{version} is not higher than {version_before}, which is in force; nodes "
            "compare versions when the store comes back from an older copy",
            ResultCode.BUNDLE_VERSION_NOT_HIGHER,
        ),
    )


def compare_contents(before: BundleContent, after: BundleContent) -> tuple[Change, ...]:
    """Return the differences between two contents.

    Services and customers are matched by name, routes by host and path prefix.
    """
    return (
        *_compare_entries(
            "service",
            {s.name: _public_fields(s) for s in before.services},
            {s.name: _public_fields(s) for s in after.services},
        ),
        *_compare_entries(
            "route",
            {_route_place(r): _route_fields(r) for r in before.routes},
            {_route_place(r): _route_fields(r) for r in after.routes},
        ),
        *_compare_customers(before.customers, after.customers),
        *_compare_fields(
            "limits", "", _public_fields(before.limits), _public_fields(after.limits)
        ),
    )


def _find_errors(content: BundleContent) -> Iterator[Finding]:
    """Yield the first error of the validation, which stops there."""
    try:
        validate_content(content, names_releases=False)
    except MarigoldchuteError as exc:
        yield make_error(exc)


def make_error(exc: MarigoldchuteError) -> Finding:
    """Return the finding for an error of the decoder or of the validation."""
    return Finding(ERROR, "invalid", "configuration", exc.message, exc.code.value)


def _find_unreachable_routes(routes: tuple[Route, ...]) -> Iterator[Finding]:
    last_by_place = {_route_place(route): route for route in routes}
    for route in routes:
        place = _route_place(route)
        last = last_by_place[place]
        if last is not route:
            yield _warning(
                "route-hidden",
                f"route {place}",
                f"{route.name!r} is hidden by {last.name!r}, which has the "
                "same prefix and host; case does not matter in a host",
            )
        if ":" in route.host:
            yield _warning(
                "host-with-port",
                f"route {place}",
                "the host has a port; ports of requests are ignored, so none matches",
            )
        for part in route.parts:
            if part.weight == 0:
                yield _warning(
                    "part-without-weight",
                    f"route {place}",
                    f"service {part.service!r} has weight 0 and gets no requests",
                )


def _find_route_contradictions(routes: tuple[Route, ...]) -> Iterator[Finding]:
    for route in routes:
        place = f"route {_route_place(route)}"
        if route.objective_ms > route.timeout_ms:
            yield _warning(
                "objective-above-timeout",
                place,
                f"objective of {route.objective_ms} ms is longer than the timeout of "
                f"{route.timeout_ms} ms",
            )
        weighted_count = sum(part.weight > 0 for part in route.parts)
        if route.max_attempts == 1 and weighted_count > 1:
            yield _warning(
                "one-attempt-for-parts",
                place,
                f"one attempt for {weighted_count} services: a failed request is not "
                "tried at another one",
            )
        if route.unknown_kind:
            yield _warning(
                "kind-unknown",
                place,
                f"kind {route.unknown_kind!r} is not known; requests run at most once",
            )


def _find_unusable_customers(content: BundleContent) -> Iterator[Finding]:
    if any(route.is_public for route in content.routes):
        return
    for customer in content.customers:
        if not customer.key_digests:
            yield _warning(
                "customer-without-keys",
                _customer_place(customer),
                "has no usable key and no route is public, so its requests are refused",
            )


def _find_shared_keys(customers: tuple[Customer, ...]) -> Iterator[Finding]:
    names_by_digest: dict[bytes, list[str]] = {}
    for customer in customers:
        for digest in customer.key_digests:
            names_by_digest.setdefault(digest, []).append(customer.name)
    counts = collections.Counter(
        tuple(names) for names in names_by_digest.values() if len(names) > 1
    )
    for names, count in counts.items():
        yield _warning(
            "key-shared",
            f"customer {names[0]}",
            f"{count} of its keys also belong to {_join(names[1:])}; such a key "
            "identifies no customer",
            ResultCode.BUNDLE_CUSTOMER_KEY_SHARED,
        )


def _find_quota_contradictions(customers: tuple[Customer, ...]) -> Iterator[Finding]:
    for customer in customers:
        rate, burst = customer.rate_per_s, customer.burst
        place = _customer_place(customer)
        if 0 < rate < 1:
            yield _warning(
                "rate-below-one", place, f"rate of {rate:g} a second is below a request"
            )
        if rate > 0 and burst < 1:
            yield _warning(
                "burst-below-one", place, f"burst of {burst:g} is below one request"
            )
        if rate <= 0 < burst:
            yield _warning(
                "burst-without-rate",
                place,
                f"burst of {burst:g} has no effect without a rate",
            )


def _find_disjoint_regions(content: BundleContent) -> Iterator[Finding]:
    """Yield a finding for each two lists, since many entries have the same list."""
    routes = _group_by_regions(content.routes, _route_place)
    customers = _group_by_regions(content.customers, lambda customer: customer.name)
    for customer_regions, names in customers.items():
        for route_regions, places in routes.items():
            if customer_regions.isdisjoint(route_regions):
                yield _warning(
                    "regions-disjoint",
                    f"customer {_join(names)}",
                    f"allowed in {_join(sorted(customer_regions))}, but route "
                    f"{_join(places)} in {_join(sorted(route_regions))}; such requests "
                    "are refused",
                    ResultCode.REQUEST_NOT_RUN_REGION,
                )


def _group_by_regions(
    entries: Iterable[Any], name_of: Any
) -> dict[frozenset[str], list[str]]:
    names: dict[frozenset[str], list[str]] = {}
    for entry in entries:
        if entry.regions:
            names.setdefault(frozenset(entry.regions), []).append(name_of(entry))
    return names


def _find_unknown_regions(
    content: BundleContent, known_regions: Collection[str]
) -> Iterator[Finding]:
    if not known_regions:
        return
    places = [(f"route {_route_place(r)}", r.regions) for r in content.routes]
    places += [(_customer_place(c), c.regions) for c in content.customers]
    for place, regions in places:
        unknown = [region for region in regions if region not in known_regions]
        if unknown:
            yield _warning(
                "region-unknown", place, f"allowed regions not known: {_join(unknown)}"
            )


def _find_warmup_contradictions(services: tuple[Service, ...]) -> Iterator[Finding]:
    for service in services:
        has_time, has_rate = service.warmup_s > 0, service.warmup_requests_per_s > 0
        if has_time and not has_rate:
            yield _warning(
                "warmup-without-rate",
                f"service {service.name}",
                f"warm-up of {service.warmup_s:g} s has no rate and limits nothing",
            )
        if has_rate and not has_time:
            yield _warning(
                "warmup-without-time",
                f"service {service.name}",
                f"warm-up rate of {service.warmup_requests_per_s:g} a second has no "
                "warm-up time",
            )


def _find_limit_contradictions(limits: CallerLimits) -> Iterator[Finding]:
    for name in ("head_bytes", "head_timeout_ms", "idle_timeout_ms"):
        value = getattr(limits, name)
        if value <= 0:
            yield _warning("limit-not-positive", "limits", f"{name} is {value}")
    if 0 < limits.body_bytes < limits.head_bytes:
        yield _warning(
            "head-above-body",
            "limits",
            f"head limit of {limits.head_bytes} bytes is above the body limit of "
            f"{limits.body_bytes} bytes",
        )


def _compare_entries(
    subject: str, before: dict[str, dict[str, Any]], after: dict[str, dict[str, Any]]
) -> Iterator[Change]:
    for name in after:
        if name not in before:
            yield Change(subject, name, ADDED)
    for name in before:
        if name not in after:
            yield Change(subject, name, REMOVED)
    for name, fields in after.items():
        if name in before:
            yield from _compare_fields(subject, name, before[name], fields)


def _compare_fields(
    subject: str, name: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Change]:
    for field, value in after.items():
        if before[field] != value:
            yield Change(subject, name, CHANGED, field, before[field], value)


def _compare_customers(
    before: tuple[Customer, ...], after: tuple[Customer, ...]
) -> Iterator[Change]:
    yield from _compare_entries(
        "customer",
        {c.name: _public_fields(c) for c in before},
        {c.name: _public_fields(c) for c in after},
    )
    digests_before = {c.name: set(c.key_digests) for c in before}
    for customer in after:
        old = digests_before.get(customer.name)
        new = set(customer.key_digests)
        if old is not None and old != new:
            removed, added = f"{len(old - new)} removed", f"{len(new - old)} added"
            yield Change("customer", customer.name, CHANGED, "keys", removed, added)


def _public_fields(entry: Any) -> dict[str, Any]:
    """Return the fields of an entry without keys."""
    return {
        field.name: getattr(entry, field.name)
        for field in dataclasses.fields(entry)
        if field.name != "key_digests"
    }


def _route_fields(route: Route) -> dict[str, Any]:
    """Return the fields of a route without those that identify it.

    The name is left out too: it is derived from host and prefix if it is not unique,
    and changes with routes of other hosts.
    """
    fields = _public_fields(route)
    return {name: v for name, v in fields.items() if name not in _PREFIX_FIELDS}


def _route_place(route: Route) -> str:
    return f"{route.host.lower()}{route.path_prefix}"


def _customer_place(customer: Customer) -> str:
    return f"customer {customer.name}"


def _join(names: Iterable[str]) -> str:
    """Return the first names, and how many more there are."""
    listed = list(names)
    text = ", ".join(listed[:MAX_LISTED_NAMES])
    rest = len(listed) - MAX_LISTED_NAMES
    return f"{text} and {rest} more" if rest > 0 else text


def _warning(
    kind: str, place: str, text: str, code: ResultCode = ResultCode.OK
) -> Finding:
    return Finding(WARNING, kind, place, text, code.value)
