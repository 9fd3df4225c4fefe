"""Anti-entropy between neighbours: they compare digests and exchange differences."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marigoldchute.errors import PeerError, ResultCode
from marigoldchute.link.methods import Method
from marigoldchute.overlay.records import NUM_BUCKETS, Record, RecordId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.overlay.records import RecordTable

CALL_TIMEOUT_S = 5.0
MAX_BATCH_BYTES = 65_536


class Difference(msgspec.Struct, frozen=True, array_like=True):
    """Buckets that differ, with the identities of the caller's records in them."""

    buckets: list[int]
    ids: list[RecordId]


class PullResponse(msgspec.Struct, frozen=True, array_like=True):
    """Records that the caller lacks and identities of those that the callee lacks.

    ``more`` is set when ``records`` was truncated at ``MAX_BATCH_BYTES``; in that case
    ``missing`` is empty.
    """

    records: list[Record]
    missing: list[RecordId]
    more: bool


_RECORDS = msgspec.msgpack.Decoder(list[Record])
_DIGESTS = msgspec.msgpack.Decoder(list[int])
_BUCKETS = msgspec.msgpack.Decoder(list[int])
_DIFFERENCE = msgspec.msgpack.Decoder(Difference)
_PULL_RESPONSE = msgspec.msgpack.Decoder(PullResponse)


def split_batches(records: Iterable[Record]) -> Iterator[list[Record]]:
    """Split records into non-empty batches of about ``MAX_BATCH_BYTES``."""
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
    """Send records to a peer in batches of bounded size."""
    for batch in split_batches(records):
        link.notify(Method.PUSH_RECORDS, msgspec.msgpack.encode(batch))


class Repair:
    """Compares the records of this node with those of peers, as caller and callee."""

    def __init__(self, table: RecordTable, handlers: Handlers) -> None:
        self._table = table
        handlers.register(Method.PUSH_RECORDS, self._handle_push)
        handlers.register(Method.COMPARE_DIGESTS, self._handle_compare)
        handlers.register(Method.PULL_RECORDS, self._handle_pull)

    async def synchronize(self, link: Link) -> None:
        """Synchronize the records of this node and a peer.

        Raises
        ------
        PeerError
            The peer did not respond or sent an invalid response.
        """
        digests = msgspec.msgpack.encode(self._table.digests())
        response = await link.call(Method.COMPARE_DIGESTS, digests, CALL_TIMEOUT_S)
        buckets = _decode(_BUCKETS, response)
        more = bool(buckets)
        while more:
            more = await self._pull(link, buckets)

    async def _pull(self, link: Link, buckets: list[int]) -> bool:
        difference = Difference(buckets, self._table.ids_in_buckets(buckets))
        body = msgspec.msgpack.encode(difference)
        response = await link.call(Method.PULL_RECORDS, body, CALL_TIMEOUT_S)
        result = _decode(_PULL_RESPONSE, response)
        stored = [self._table.apply(item, link.peer.name) for item in result.records]
        missing_ids = {(item.kind, item.key) for item in result.missing}
        push(
            link,
            (
                record
                for record in self._table.newer_than((), buckets)
                if (record.kind, record.key) in missing_ids
            ),
        )
        return result.more and any(stored)

    async def _handle_push(self, link: Link, body: bytes) -> bytes:
        for record in _decode(_RECORDS, body):
            self._table.apply(record, link.peer.name)
        return b""

    async def _handle_compare(self, link: Link, body: bytes) -> bytes:
        theirs = _decode(_DIGESTS, body)
        if len(theirs) != NUM_BUCKETS:
            raise PeerError("unexpected number of digests", ResultCode.PEER_PROTOCOL)
        ours = self._table.digests()
        differing = [i for i, digest in enumerate(ours) if theirs[i] != digest]
        return msgspec.msgpack.encode(differing)

    async def _handle_pull(self, link: Link, body: bytes) -> bytes:
        difference = _decode(_DIFFERENCE, body)
        batches = split_batches(
            self._table.newer_than(difference.ids, difference.buckets)
        )
        records = next(batches, [])
        more = next(batches, None) is not None
        ours = {
            (item.kind, item.key): item.rank
            for item in self._table.ids_in_buckets(difference.buckets)
        }
        missing = [
            item
            for item in difference.ids
            if ours.get((item.kind, item.key), (-1, -1)) < item.rank
        ]
        result = PullResponse(records, [] if more else missing, more)
        return msgspec.msgpack.encode(result)


def _decode(decoder: msgspec.msgpack.Decoder, body: bytes):  # type: ignore[no-untyped-def]
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as exc:
        raise PeerError(f"malformed message: {exc}", ResultCode.PEER_PROTOCOL) from exc
