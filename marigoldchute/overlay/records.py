"""Replicated records, of which every node stores a copy.

A record is replaced only by one of the same kind and key with a higher rank, so copies
converge even when messages are reordered, lost or repeated.
"""

from __future__ import annotations

import enum
import functools
import hashlib
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

NUM_BUCKETS = 32
BUCKET_CACHE_SIZE = 4096  # Takes 0.4 MB.


class RecordKind(enum.IntEnum):
    """Type of the content of a record."""

    MEMBER = 1
    BUNDLE = 2
    FAULT = 3
    SUMMARY = 4
    VERDICT = 5
    LEAVING = 6
    ORDER = 7
    ORDER_FAULT = 8
    VM_SERVER = 9
    EVACUATION = 10
    EVACUATION_LIST = 11


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One replicated record.

    Parameters
    ----------
    kind : int
        A ``RecordKind``.
    key : str
        Unique name within the kind.
    rank : tuple of (int, int)
        Order among records of the same kind and key; the higher one wins.
    body : bytes
        Encoded content.
    """

    kind: int
    key: str
    rank: tuple[int, int]
    body: bytes


class RecordId(msgspec.Struct, frozen=True, array_like=True):
    """Kind, key and rank of a record without its body."""

    kind: int
    key: str
    rank: tuple[int, int]


Validator = Callable[[Record], bool]
Listener = Callable[[Record], None]


class RecordTable:
    """Table of the records that this node stores.

    Digests are kept per bucket. Comparing equal tables takes a few bytes; when one
    record differs, the identities of one bucket are exchanged as well.
    """

    def __init__(self) -> None:
        self._records: dict[tuple[int, str], Record] = {}
        self._digests = [0] * NUM_BUCKETS
        self._validators: dict[int, Validator] = {}
        self._listeners: dict[int, list[Listener]] = {}
        self._on_change: list[Callable[[Record, str], None]] = []

    def register_validator(self, kind: RecordKind, validator: Validator) -> None:
        """Reject records of a kind for which ``validator`` returns False."""
        self._validators[kind] = validator

    def subscribe(self, kind: RecordKind, listener: Listener) -> None:
        """Call ``listener`` with each newly stored record of a kind."""
        self._listeners.setdefault(kind, []).append(listener)

    def on_change(self, listener: Callable[[Record, str], None]) -> None:
        """Call ``listener`` with each newly stored record and its source peer."""
        self._on_change.append(listener)

    def apply(self, record: Record, source: str = "") -> bool:
        """Store a valid record if its rank is higher than that of the stored one.

        Parameters
        ----------
        record : Record
            Record from this node or a peer.
        source : str
            Name of the peer that sent the record; empty for this node.

        Returns
        -------
        bool
            Whether the record was stored.
        """
        identity = (record.kind, record.key)
        stored = self._records.get(identity)
        if stored is not None and stored.rank >= record.rank:
            return False
        validator = self._validators.get(record.kind)
        if validator is not None and not validator(record):
            return False
        self._replace(identity, stored, record)
        for listener in self._listeners.get(record.kind, ()):
            listener(record)
        for change_listener in self._on_change:
            change_listener(record, source)
        return True

    def get(self, kind: RecordKind, key: str) -> Record | None:
        """Return the stored record of a kind and key."""
        return self._records.get((kind, key))

    def of_kind(self, kind: RecordKind) -> list[Record]:
        """Return every stored record of a kind."""
        return [record for (k, _), record in self._records.items() if k == kind]

    def discard(self, kind: RecordKind, key: str) -> None:
        """Remove a record."""
        stored = self._records.pop((kind, key), None)
        if stored is not None:
            self._toggle_digest(stored)

    def digests(self) -> list[int]:
        """Return the digest of each bucket, ``NUM_BUCKETS`` integers of 64 bits."""
        return list(self._digests)

    def ids_in_buckets(self, buckets: Iterable[int]) -> list[RecordId]:
        """Return the identities of the records in some buckets."""
        selected = set(buckets)
        return [
            RecordId(record.kind, record.key, record.rank)
            for record in self._records.values()
            if bucket_of(record.kind, record.key) in selected
        ]

    def newer_than(
        self, ids: Iterable[RecordId], buckets: Iterable[int]
    ) -> list[Record]:
        """Return the stored records in buckets that ``ids`` lacks or ranks lower."""
        known_ranks = {(item.kind, item.key): item.rank for item in ids}
        selected = set(buckets)
        return [
            record
            for identity, record in self._records.items()
            if bucket_of(*identity) in selected
            and (identity not in known_ranks or known_ranks[identity] < record.rank)
        ]

    def _replace(
        self, identity: tuple[int, str], stored: Record | None, record: Record
    ) -> None:
        if stored is not None:
            self._toggle_digest(stored)
        self._records[identity] = record
        self._toggle_digest(record)

    def _toggle_digest(self, record: Record) -> None:
        self._digests[bucket_of(record.kind, record.key)] ^= _record_hash(record)


@functools.lru_cache(maxsize=BUCKET_CACHE_SIZE)
def bucket_of(kind: int, key: str) -> int:
    """Return the bucket of a record's kind and key."""
    return (
        hashlib.blake2b(f"{kind}/{key}".encode(), digest_size=1).digest()[0]
        % NUM_BUCKETS
    )


def _record_hash(record: Record) -> int:
    text = f"{record.kind}/{record.key}/{record.rank[0]}/{record.rank[1]}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
