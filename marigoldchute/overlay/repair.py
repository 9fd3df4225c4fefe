"""Anti-entropy: two neighbours compare digests and exchange only what differs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marigoldchute.errors import PeerError, ResultCode
from marigoldchute.link.methods import Method
from marigoldchute.overlay.records import BUCKETS, Record, RecordId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.overlay.records import RecordTable

CALL_TIMEOUT_S = 5.0
MAX_BATCH_BYTES = 65_536


class Difference(msgspec.Struct, frozen=True, array_like=True):
    """Buckets that differ, with the records that the caller holds in them."""

    buckets: list[int]
    ids: list[RecordId]


class Pulled(msgspec.Struct, frozen=True, array_like=True):
    """Records that the caller lacks, and the names of those the answerer lacks.

    ``more`` says that the records were cut at ``MAX_BATCH_BYTES``.
    """

    records: list[Record]
    missing: list[RecordId]
    more: bool


_RECORDS = msgspec.msgpack.Decoder(list[Record])
_DIGESTS = msgspec.msgpack.Decoder(list[int])
_BUCKETS = msgspec.msgpack.Decoder(list[int])
_DIFFERENCE = msgspec.msgpack.Decoder(Difference)
_PULLED = msgspec.msgpack.Decoder(Pulled)


def split_batches(records: Iterable[Record]) -> Iterator[list[Record]]:
    """Cut records into batches of about ``MAX_BATCH_BYTES``, at least one in each."""
    batch: list[Record] = []
    size = 0
    for record in records:
        if batch and size + len(record.body) > MAX_BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += len(record.body) + len(record.key)
    if batch:
        yield batch


def push(link: Link, records: Iterable[Record]) -> None:
    """Send records to a peer in bounded batches."""
    for batch in split_batches(records):
        link.notify(Method.PUSH_RECORDS, msgspec.msgpack.encode(batch))


class Repair:
    """Serves and runs comparisons of this node's records with those of peers."""

    def __init__(self, table: RecordTable, handlers: Handlers) -> None:
        self._table = table
        handlers.register(Method.PUSH_RECORDS, self._take_records)
        handlers.register(Method.COMPARE_DIGESTS, self._compare_digests)
        handlers.register(Method.PULL_RECORDS, self._pull_records)

    async def run_once(self, link: Link) -> None:
        """Bring this node and a peer to the same records.

        Raises
        ------
        PeerError
            The peer did not answer, or not as agreed.
        """
        digests = msgspec.msgpack.encode(self._table.digests())
        reply = await link.call(Method.COMPARE_DIGESTS, digests, CALL_TIMEOUT_S)
        buckets = _decode(_BUCKETS, reply)
        more = bool(buckets)
        while more:
            more = await self._pull(link, buckets)

    async def _pull(self, link: Link, buckets: list[int]) -> bool:
        difference = Difference(buckets, self._table.ids_in(buckets))
        body = msgspec.msgpack.encode(difference)
        reply = await link.call(Method.PULL_RECORDS, body, CALL_TIMEOUT_S)
        pulled = _decode(_PULLED, reply)
        taken = [self._table.offer(item, link.peer.name) for item in pulled.records]
        wanted = {(item.kind, item.key) for item in pulled.missing}
        push(
            link,
            (
                record
                for record in self._table.newer_than((), buckets)
                if (record.kind, record.key) in wanted
            ),
        )
        return pulled.more and any(taken)

    async def _take_records(self, link: Link, body: bytes) -> bytes:
        for record in _decode(_RECORDS, body):
            self._table.offer(record, link.peer.name)
        return b""

    async def _compare_digests(self, link: Link, body: bytes) -> bytes:
        theirs = _decode(_DIGESTS, body)
        if len(theirs) != BUCKETS:
            raise PeerError("digests of another size", ResultCode.PEER_PROTOCOL)
        ours = self._table.digests()
        differing = [i for i, digest in enumerate(ours) if theirs[i] != digest]
        return msgspec.msgpack.encode(differing)

    async def _pull_records(self, link: Link, body: bytes) -> bytes:
        difference = _decode(_DIFFERENCE, body)
        batches = split_batches(
            self._table.newer_than(difference.ids, difference.buckets)
        )
        records = next(batches, [])
        more = next(batches, None) is not None
        ours = {
            (item.kind, item.key): item.rank
            for item in self._table.ids_in(difference.buckets)
        }
        missing = [
            item
            for item in difference.ids
            if ours.get((item.kind, item.key), (-1, -1)) < item.rank
        ]
        pulled = Pulled(records, [] if more else missing, more)
        return msgspec.msgpack.encode(pulled)


def _decode(decoder: msgspec.msgpack.Decoder, body: bytes):  # type: ignore[no-untyped-def]
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as exc:
        raise PeerError(f"bad message: {exc}", ResultCode.PEER_PROTOCOL) from exc
