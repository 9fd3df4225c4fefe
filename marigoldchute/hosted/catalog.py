"""Bundles as snapshots of named items, and the differences between snapshots."""

from __future__ import annotations

import dataclasses
import zlib
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.bundle.limits import MAX_CONTENT_BYTES
from marigoldchute.bundle.model import (
    Bundle,
    BundleContent,
    CallerLimits,
    Customer,
    Manifest,
    Route,
    Service,
)
from marigoldchute.bundle.validation import validate_content
from marigoldchute.errors import BundleError, PeerError, ResultCode
from marigoldchute.objectstore.eras import era_of

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.events import EventLog

# Covers two seconds of a burst of updates; a neighbour fetches sooner than that.
MAX_SNAPSHOTS = 8
COMPRESSION_LEVEL = 6
MAX_LOGGED_KINDS = 5

_SERVICE = "s/"
_ROUTE = "r/"
_CUSTOMER = "c/"
_LIMITS = "limits"
_ENCODER = msgspec.msgpack.Encoder()
_DECODE_SERVICE = msgspec.msgpack.Decoder(Service)
_DECODE_ROUTE = msgspec.msgpack.Decoder(Route)
_DECODE_CUSTOMER = msgspec.msgpack.Decoder(Customer)
_DECODE_LIMITS = msgspec.msgpack.Decoder(CallerLimits)

Items = dict[str, bytes]
Item = Service | Route | Customer | CallerLimits


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Content of the bundle at one revision of the store.

    Parameters
    ----------
    revision : int
        Revision of the store; it decides which snapshot of an era is newer.
    version : int
        Version assigned by the operator; it decides between snapshots of two eras.
    items : dict of str to bytes
        Encoded services, routes, customers and limits by key.
    hops : int
        Number of transfers between nodes since it was read from the store.
    age_ms : int
        Milliseconds from its arrival at the first node to its arrival at this one,
        without the time that the last response took.
    """

    revision: int
    version: int
    items: Items
    hops: int = dataclasses.field(default=0, compare=False)
    age_ms: int = dataclasses.field(default=0, compare=False)


class Difference(msgspec.Struct, frozen=True, array_like=True):
    """Changes that turn one snapshot into another.

    Parameters
    ----------
    base : int
        Revision of the snapshot to which it applies; 0 for an empty snapshot.
    revision, version : int
        Revision and version of the resulting snapshot.
    changed : dict of str to bytes
        Items that were added or changed.
    removed : list of str
        Keys of items that were removed.
    hops, age_ms : int
        Transfers and milliseconds since the first node read the resulting snapshot.
    """

    base: int
    revision: int
    version: int
    changed: dict[str, bytes]
    removed: list[str]
    hops: int = 0
    age_ms: int = 0


_DIFFERENCE = msgspec.msgpack.Decoder(Difference)


def make_snapshot(revision: int, version: int, content: BundleContent) -> Snapshot:
    """Encode the content of a bundle as a snapshot."""
    items = {_SERVICE + s.name: _ENCODER.encode(s) for s in content.services}
    for route in content.routes:
        items[_ROUTE + route.name] = _ENCODER.encode(route)
    for customer in content.customers:
        items[_CUSTOMER + customer.name] = _ENCODER.encode(customer)
    items[_LIMITS] = _ENCODER.encode(content.limits)
    return Snapshot(revision, version, items)


class ContentDecoder:
    """Decodes the items of snapshots; an item that is the same is decoded once.

    A new version of a bundle changes few of its items. Those of the last version are
    kept, so that the unchanged ones are the same objects.
    """

    def __init__(self) -> None:
        self._decoded: dict[str, tuple[bytes, Item | None]] = {}

    def decode(self, items: Items) -> BundleContent:
        """Decode the content of a bundle from its items.

        Raises
        ------
        BundleError
            An item is malformed.
        """
        services: list[Service] = []
        routes: list[Route] = []
        customers: list[Customer] = []
        limits = CallerLimits()
        decoded: dict[str, tuple[bytes, Item | None]] = {}
        for key, data in items.items():
            known = self._decoded.get(key)
            if known is not None and known[0] == data:
                value = known[1]
            else:
                value = _decode_item(key, data)
            decoded[key] = data, value
            if isinstance(value, Route):
                routes.append(value)
            elif isinstance(value, Service):
                services.append(value)
            elif isinstance(value, Customer):
                customers.append(value)
            elif value is not None:
                limits = value
        self._decoded = decoded
        return BundleContent(
            tuple(services), tuple(routes), (), limits, tuple(customers)
        )


def _decode_item(key: str, data: bytes) -> Item | None:
    try:
        if key.startswith(_SERVICE):
            return _DECODE_SERVICE.decode(data)
        if key.startswith(_ROUTE):
            return _DECODE_ROUTE.decode(data)
        if key.startswith(_CUSTOMER):
            return _DECODE_CUSTOMER.decode(data)
        if key == _LIMITS:
            return _DECODE_LIMITS.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise BundleError(f"item {key!r} is malformed: {exc}") from exc
    return None  # An item of a newer build.


def decode_content(items: Items) -> BundleContent:
    """Decode the content of a bundle from its items.

    Raises
    ------
    BundleError
        An item is malformed.
    """
    return ContentDecoder().decode(items)


def encode_difference(
    base: Snapshot | None, target: Snapshot, held_ms: int = 0
) -> bytes:
    """Return the compressed difference from ``base``, or from an empty snapshot.

    ``held_ms`` is the time since ``target`` arrived at this node, in milliseconds.
    """
    base_items = base.items if base is not None else {}
    changed = {k: v for k, v in target.items.items() if base_items.get(k) != v}
    removed = [key for key in base_items if key not in target.items]
    difference = Difference(
        base.revision if base is not None else 0,
        target.revision,
        target.version,
        changed,
        removed,
        target.hops + 1,
        target.age_ms + held_ms,
    )
    return zlib.compress(_ENCODER.encode(difference), COMPRESSION_LEVEL)


def _decompress(data: bytes) -> bytes:
    """Decompress a difference, which may be at most ``MAX_CONTENT_BYTES`` long."""
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_CONTENT_BYTES)
    if not decompressor.eof:
        raise zlib.error("the difference is too long or incomplete")
    return content


def apply_difference(base: Snapshot | None, data: bytes) -> Snapshot:
    """Return the snapshot that results from applying a compressed difference.

    Raises
    ------
    PeerError
        The difference is malformed or was made from another snapshot.
    """
    try:
        difference = _DIFFERENCE.decode(_decompress(data))
    except (zlib.error, msgspec.DecodeError) as exc:
        raise PeerError(
            f"malformed difference: {exc}", ResultCode.PEER_PROTOCOL
        ) from exc
    items: Items = {}
    if difference.base:
        if base is None or base.revision != difference.base:
            raise PeerError(
                "difference from another snapshot", ResultCode.PEER_PROTOCOL
            )
        items = dict(base.items)
    for key in difference.removed:
        items.pop(key, None)
    items.update(difference.changed)
    return Snapshot(
        difference.revision,
        difference.version,
        items,
        difference.hops,
        difference.age_ms,
    )


def is_newer(
    revision: int, version: int, present_revision: int, present_version: int
) -> bool:
    """Return whether a snapshot replaces the present one.

    Within an era the revision decides. Between eras the version does, because a
    restored store may hold an older bundle than the mesh; with the same version, the
    later era is the newer one.

    Parameters
    ----------
    revision, version : int
        Revision and version of the snapshot.
    present_revision, present_version : int
        Revision and version of the present snapshot.
    """
    if era_of(revision) == era_of(present_revision) or version == present_version:
        return revision > present_revision
    return version > present_version


def _is_same_in_later_era(snapshot: Snapshot, present: Snapshot) -> bool:
    return (
        era_of(snapshot.revision) != era_of(present.revision)
        and snapshot.version == present.version
        and snapshot.items == present.items
    )


class Catalog:
    """Holds the newest snapshot and puts it in force.

    Parameters
    ----------
    in_force : InForce
        Holder of the bundle in force, whose version never decreases within an era
        or from one to the next.
    log : EventLog
        Event log of the process.

    Attributes
    ----------
    unknown_kind_count : int
        Routes of the bundle in force whose kind this build does not know.
    ignored_count : int
        Number of snapshots that were ignored because a restored store was older.
    """

    def __init__(self, in_force: InForce, log: EventLog) -> None:
        self._in_force = in_force
        self._log = log
        self._snapshots: dict[int, Snapshot] = {}
        self._ignored_revision = 0
        self._decoder = ContentDecoder()
        self.unknown_kind_count = 0
        self.ignored_count = 0
        self.newest: Snapshot | None = None
        self.on_update: list[Callable[[Snapshot], None]] = []

    @property
    def revision(self) -> int:
        """Revision of the bundle in force, 0 before the first one."""
        return self.newest.revision if self.newest is not None else 0

    @property
    def version(self) -> int:
        """Version of the bundle in force, 0 before the first one."""
        return self.newest.version if self.newest is not None else 0

    def wants(self, revision: int, version: int | None = None) -> bool:
        """Return whether a snapshot would replace the present one.

        Parameters
        ----------
        revision : int
            Revision of the snapshot.
        version : int, optional
            Its version; None if it is not known.
        """
        if self.newest is None or version is None:
            return revision > self.revision
        return is_newer(revision, version, self.revision, self.version)

    def get_snapshot(self, revision: int) -> Snapshot | None:
        """Return the recent snapshot of a revision, None when it is no longer kept."""
        return self._snapshots.get(revision)

    def apply(
        self, snapshot: Snapshot, source: str, times_ms: Mapping[str, int] | None = None
    ) -> bool:
        """Put a snapshot in force if it is newer.

        Parameters
        ----------
        snapshot : Snapshot
            Snapshot from the store or a peer.
        source : str
            Origin of the snapshot, for the log.
        times_ms : mapping of str to int, optional
            Durations of the steps of its transfer in milliseconds, for the log.

        Raises
        ------
        BundleError
            The bundle is invalid; the one in force stays in force.
        """
        newest = self.newest
        if newest is not None:
            if not self.wants(snapshot.revision, snapshot.version):
                self._record_ignored(snapshot, newest, source)
                return False
            if _is_same_in_later_era(snapshot, newest):
                self._move(newest, snapshot.revision)
                return False
        content = self._decoder.decode(snapshot.items)
        previous = self._in_force.bundle
        validate_content(
            content,
            names_releases=False,
            checked=previous.content if previous is not None else None,
        )
        # The revision is lower if a peer kept a newer version than a restored store.
        number = max(snapshot.revision, self._in_force.version + 1)
        manifest = Manifest(number, (), "", "", b"")
        self._keep(snapshot)
        self._in_force.swap(Bundle(manifest, content))
        self._log.emit(
            "catalog",
            "in_force",
            f"Version {snapshot.version} of the bundle is in force, from {source}.",
            version=snapshot.version,
            revision=snapshot.revision,
            source=source,
            routes=len(content.routes),
            hops=snapshot.hops,
            age_ms=snapshot.age_ms,
            **(times_ms or {}),
        )
        self._report_unknown_kinds(content)
        for listener in self.on_update:
            listener(snapshot)
        return True

    def _keep(self, snapshot: Snapshot) -> None:
        self.newest = snapshot
        self._snapshots.pop(snapshot.revision, None)
        self._snapshots[snapshot.revision] = snapshot
        while len(self._snapshots) > MAX_SNAPSHOTS:
            del self._snapshots[next(iter(self._snapshots))]

    def _move(self, newest: Snapshot, revision: int) -> None:
        """Continue at the position of the same bundle in a later era."""
        self._keep(dataclasses.replace(newest, revision=revision))
        self._log.emit(
            "catalog",
            "moved",
            f"Version {newest.version} of the bundle was written again to the store.",
            version=newest.version,
            revision=revision,
            revision_before=newest.revision,
        )

    def _record_ignored(
        self, snapshot: Snapshot, newest: Snapshot, source: str
    ) -> None:
        if era_of(snapshot.revision) <= era_of(newest.revision):
            return
        self.ignored_count += 1
        if snapshot.revision == self._ignored_revision:
            return
        self._ignored_revision = snapshot.revision
        self._log.emit(
            "catalog",
            "older_ignored",
            f"Version {snapshot.version} of a restored store is older than version "
            f"{newest.version} in force and is ignored.",
            version=snapshot.version,
            in_force=newest.version,
            code=ResultCode.BUNDLE_VERSION_NOT_HIGHER.value,
            revision=snapshot.revision,
            source=source,
        )

    def _report_unknown_kinds(self, content: BundleContent) -> None:
        routes = [route for route in content.routes if route.unknown_kind]
        self.unknown_kind_count = len(routes)
        if routes:
            kinds = sorted({route.unknown_kind for route in routes})[:MAX_LOGGED_KINDS]
            self._log.emit(
                "catalog",
                "unknown_kinds",
                f"{len(routes)} routes of version {self.version} have a kind that "
                "this build does not know; their requests are executed at most once.",
                version=self.version,
                routes=len(routes),
                kinds=kinds,
                code=ResultCode.BUNDLE_KIND_UNKNOWN.value,
            )
