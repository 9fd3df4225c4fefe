"""Review of a configuration of the platform before it is sent."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING, Any

from marigoldchute.bundle.review import (
    ERROR,
    WARNING,
    Change,
    Finding,
    compare_contents,
    make_error,
    review_content,
    review_version,
)
from marigoldchute.errors import BundleError, SettingsError
from marigoldchute.objectstore.documents import Document
from marigoldchute.objectstore.settings import StoreSettings
from marigoldchute.platform.bundle import PlatformBundleApi, is_sendable_key
from marigoldchute.platform.settings import read_settings
from marigoldchute.platform.store import PlatformDocumentStore

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from marigoldchute.bundle.model import BundleContent
    from marigoldchute.hosted.settings import Endpoint

LOCAL_ADDRESS = "0.0.0.0"
# Fields of which values below 0 are used as 0, which means no limit.
_QUOTA_FIELDS = ("rate_per_s", "burst")
_WARMUP_FIELDS = ("warmup_s", "warmup_per_s")
_ROUTE_FIELDS = {
    "timeout_ms": "timeout_ms",
    "max_attempts": "max_attempts",
    "priority": "priority",
    "target_latency_ms": "objective_ms",
}


@dataclasses.dataclass(frozen=True)
class Review:
    """Result of the review of a configuration.

    Parameters
    ----------
    version : int or None
        Version of the configuration, None if it cannot be decoded.
    version_in_force : int or None
        Version that it was compared with, None if it was not compared.
    findings : tuple of Finding
        Errors and warnings.
    changes : tuple of Change
        Differences from the version in force.
    """

    version: int | None
    version_in_force: int | None
    findings: tuple[Finding, ...]
    changes: tuple[Change, ...] = ()

    @property
    def has_errors(self) -> bool:
        """Whether nodes refuse the configuration."""
        return any(finding.severity == ERROR for finding in self.findings)


def make_document(value: Any) -> Document:
    """Return the document of a configuration, or of the stored object with one."""
    if isinstance(value, dict) and "metadata" in value and "spec" in value:
        value = value["spec"]
    return Document(PlatformBundleApi.kind, PlatformBundleApi.name, 0, value)


def review_configuration(
    document: Document,
    known_regions: Collection[str] = (),
    in_force: Document | None = None,
) -> Review:
    """Review a configuration.

    Parameters
    ----------
    document : Document
        Configuration to review.
    known_regions : collection of str
        Regions of the mesh; empty if they are not known.
    in_force : Document, optional
        Configuration in force. If it is malformed, that is a warning, because the
        reviewed one may be its correction.
    """
    api = PlatformBundleApi()
    try:
        version, content = api.decode(document)
    except BundleError as exc:
        return Review(None, None, (make_error(exc),))
    findings = review_content(content, known_regions)
    findings += tuple(_find_replaced_values(document.content, content))
    if in_force is None:
        return Review(version, None, findings)
    try:
        version_before, before = api.decode(in_force)
    except BundleError as exc:
        finding = dataclasses.replace(
            make_error(exc),
            severity=WARNING,
            kind="in-force-malformed",
            place="version in force",
        )
        return Review(version, None, (*findings, finding))
    return Review(
        version,
        version_before,
        findings + review_version(version, content, version_before, before),
        compare_contents(before, content),
    )


def read_known_regions(path: str) -> frozenset[str]:
    """Return the regions that the settings file of a node names.

    Raises
    ------
    SettingsError
        The file cannot be read, is invalid or names no region but that of the node.
    """
    cfg = read_settings(path)
    if not cfg.region_by_data_centre:
        raise SettingsError(f"{path}: zones: names no regions")
    return frozenset((cfg.region, *cfg.region_by_data_centre.values()))


async def fetch_configuration(endpoint: Endpoint) -> Document:
    """Return the configuration in the store.

    Raises
    ------
    PlatformError
        The store does not respond, has no configuration, or responds with a
        malformed object.
    """
    settings = StoreSettings(endpoint.address, endpoint.port)
    store = PlatformDocumentStore(settings, random.Random(), LOCAL_ADDRESS)
    return await store.get(PlatformBundleApi.kind, PlatformBundleApi.name)


def _find_replaced_values(value: Any, content: BundleContent) -> Iterator[Finding]:
    """Yield a finding for each value that the decoder leaves out or replaces."""
    for service in value["services"]:
        yield from _find_negative_limits("service", service, _WARMUP_FIELDS)
    for customer in value.get("tenants", []):
        yield from _find_negative_limits("customer", customer, _QUOTA_FIELDS)
        yield from _find_ignored_keys(customer)
    places = [(h["host"], path) for h in value["virtual_hosts"] for path in h["paths"]]
    for (host, path), route in zip(places, content.routes, strict=True):
        for field, route_field in _ROUTE_FIELDS.items():
            given, used = int(float(path.get(field, 0))), getattr(route, route_field)
            if given != used:
                yield Finding(
                    WARNING,
                    "value-replaced",
                    f"route {host.lower()}{path['path_prefix']}",
                    f"{field} {given} is out of range; nodes use {used}",
                )


def _find_negative_limits(
    subject: str, entry: dict[str, Any], fields: Iterable[str]
) -> Iterator[Finding]:
    for field in fields:
        if float(entry.get(field, 0)) < 0:
            yield Finding(
                WARNING,
                "limit-negative",
                f"{subject} {entry['name']}",
                f"{field} is below 0, which means no limit",
            )


def _find_ignored_keys(customer: dict[str, Any]) -> Iterator[Finding]:
    keys = customer.get("api_keys", [])
    count = sum(not is_sendable_key(key) for key in keys)
    if count:
        yield Finding(
            WARNING,
            "key-not-sendable",
            f"customer {customer['name']}",
            f"{count} of {len(keys)} keys are ignored: no request can carry them",
        )
