"""Keeps the links of the overlay and spreads records over them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from marigoldchute.errors import AuthError, PeerError
from marigoldchute.link.methods import Method
from marigoldchute.overlay.records import Record, RecordId

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from marigoldchute.link.endpoint import LinkEndpoint
    from marigoldchute.link.link import Handlers, Link
    from marigoldchute.overlay.records import RecordTable

FLOOD_BATCH_S = 0.005
ANTI_ENTROPY_S = 5.0
MAINTAIN_S = 0.25
RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 5.0
CALL_TIMEOUT_S = 5.0


class _Difference(msgspec.Struct, frozen=True, array_like=True):
    """Buckets that differ, with the records that the caller holds in them."""

    buckets: list[int]
    ids: list[RecordId]


class _Pulled(msgspec.Struct, frozen=True, array_like=True):
    """Records that the caller lacks, and the names of those the answerer lacks."""

    records: list[Record]
    missing: list[RecordId]


_RECORDS = msgspec.msgpack.Decoder(list[Record])
_DIGESTS = msgspec.msgpack.Decoder(list[int])
_BUCKETS = msgspec.msgpack.Decoder(list[int])
_DIFFERENCE = msgspec.msgpack.Decoder(_Difference)
_PULLED = msgspec.msgpack.Decoder(_Pulled)


class PeerDirectory(Protocol):
    """Where the overlay learns whom to connect to and says whom it cannot reach."""

    def wanted(self) -> dict[str, tuple[str, int]]:
        """Return the address and port of each peer to keep a link to."""

    def seeds(self) -> list[tuple[str, int]]:
        """Return addresses to try while no peer is linked."""

    def link_lost(self, name: str, now: float) -> None:
        """Take note that a wanted peer cannot be reached."""

    def link_up(self, name: str, incarnation: int, now: float) -> None:
        """Take note that a peer is linked."""


class Overlay:
    """Links to neighbours; every new record goes on to all but its source."""

    def __init__(
        self,
        name: str,
        endpoint: LinkEndpoint,
        handlers: Handlers,
        table: RecordTable,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._endpoint = endpoint
        self._table = table
        self._rng = rng
        self._neighbours: dict[str, _Neighbour] = {}
        self._dialling: set[str] = set()
        self._backoff: dict[str, tuple[float, float]] = {}
        self._nursery: trio.Nursery | None = None
        self._directory: PeerDirectory | None = None
        self.on_neighbour: list[Callable[[Link], None]] = []
        handlers.register(Method.PUSH_RECORDS, self._take_records)
        handlers.register(Method.COMPARE_DIGESTS, self._compare_digests)
        handlers.register(Method.PULL_RECORDS, self._pull_records)
        table.on_change(self._flood)

    def neighbours(self) -> list[Link]:
        """Return the live control links, one for each linked peer."""
        return [item.link for item in self._neighbours.values() if item.link.alive]

    def is_linked(self, name: str) -> bool:
        """Whether a control link to a peer is up."""
        neighbour = self._neighbours.get(name)
        return neighbour is not None and neighbour.link.alive

    def accept(self, link: Link) -> None:
        """Use a control link that a peer opened."""
        assert self._nursery is not None
        self._nursery.start_soon(self._serve_neighbour, link)

    async def run(self, directory: PeerDirectory) -> None:
        """Keep the wanted links until cancelled."""
        self._directory = directory
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._dial_missing(directory)
                await trio.sleep(MAINTAIN_S * self._rng.uniform(0.5, 1.5))

    def _dial_missing(self, directory: PeerDirectory) -> None:
        targets = dict(directory.wanted())
        if not self._neighbours:
            targets |= {f"{a}:{p}": (a, p) for a, p in directory.seeds()}
        for name, (address, port) in targets.items():
            if self.is_linked(name) or name in self._dialling:
                continue
            not_before, _ = self._backoff.get(name, (0.0, 0.0))
            if trio.current_time() < not_before:
                continue
            self._dialling.add(name)
            assert self._nursery is not None
            self._nursery.start_soon(self._dial, name, address, port)

    async def _dial(self, name: str, address: str, port: int) -> None:
        try:
            link = await self._endpoint.connect(address, port, "control")
        except (PeerError, AuthError):
            self._note_failure(name)
            return
        finally:
            self._dialling.discard(name)
        self._backoff.pop(name, None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._endpoint.run_link, link)
            nursery.start_soon(self._serve_neighbour, link)

    def _note_failure(self, name: str) -> None:
        now = trio.current_time()
        _, last = self._backoff.get(name, (0.0, 0.0))
        delay = min(RECONNECT_MAX_S, max(RECONNECT_MIN_S, last * 2))
        self._backoff[name] = (now + self._rng.uniform(0.0, delay), delay)
        if self._directory is not None:
            self._directory.link_lost(name, now)

    async def _serve_neighbour(self, link: Link) -> None:
        neighbour = _Neighbour(link)
        peer = link.peer
        if peer.name == self._name:
            link.close()
            return
        self._neighbours[peer.name] = neighbour
        assert self._directory is not None
        self._directory.link_up(peer.name, peer.incarnation, trio.current_time())
        for listener in self.on_neighbour:
            listener(link)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push_records, neighbour)
            nursery.start_soon(self._repair, neighbour)
            await link.closed.wait()
            nursery.cancel_scope.cancel()
        if self._neighbours.get(peer.name) is neighbour:
            del self._neighbours[peer.name]
            self._directory.link_lost(peer.name, trio.current_time())

    def _flood(self, record: Record, source: str) -> None:
        for name, neighbour in self._neighbours.items():
            if name != source:
                neighbour.queue(record)

    async def _push_records(self, neighbour: _Neighbour) -> None:
        while True:
            await neighbour.ready.wait()
            await trio.sleep(FLOOD_BATCH_S)
            body = msgspec.msgpack.encode(neighbour.take())
            try:
                neighbour.link.notify(Method.PUSH_RECORDS, body)
            except PeerError:
                return

    async def _repair(self, neighbour: _Neighbour) -> None:
        while True:
            try:
                await self._repair_once(neighbour.link)
            except PeerError:
                if not neighbour.link.alive:
                    return
            await trio.sleep(ANTI_ENTROPY_S * self._rng.uniform(0.5, 1.5))

    async def _repair_once(self, link: Link) -> None:
        digests = msgspec.msgpack.encode(self._table.digests())
        reply = await link.call(Method.COMPARE_DIGESTS, digests, CALL_TIMEOUT_S)
        buckets = _BUCKETS.decode(reply)
        if not buckets:
            return
        difference = _Difference(buckets, self._table.ids_in(buckets))
        body = msgspec.msgpack.encode(difference)
        reply = await link.call(Method.PULL_RECORDS, body, CALL_TIMEOUT_S)
        pulled = _PULLED.decode(reply)
        for record in pulled.records:
            self._table.offer(record, link.peer.name)
        wanted = {(item.kind, item.key) for item in pulled.missing}
        records = [
            record
            for record in self._table.newer_than((), buckets)
            if (record.kind, record.key) in wanted
        ]
        if records:
            link.notify(Method.PUSH_RECORDS, msgspec.msgpack.encode(records))

    async def _take_records(self, link: Link, body: bytes) -> bytes:
        for record in _RECORDS.decode(body):
            self._table.offer(record, link.peer.name)
        return b""

    async def _compare_digests(self, link: Link, body: bytes) -> bytes:
        theirs = _DIGESTS.decode(body)
        ours = self._table.digests()
        differing = [i for i, digest in enumerate(ours) if theirs[i] != digest]
        return msgspec.msgpack.encode(differing)

    async def _pull_records(self, link: Link, body: bytes) -> bytes:
        difference = _DIFFERENCE.decode(body)
        records = self._table.newer_than(difference.ids, difference.buckets)
        ours = {
            (item.kind, item.key): item.rank
            for item in self._table.ids_in(difference.buckets)
        }
        missing = [
            item
            for item in difference.ids
            if ours.get((item.kind, item.key), (-1, -1)) < item.rank
        ]
        return msgspec.msgpack.encode(_Pulled(records, missing))


class _Neighbour:
    """A linked peer and the records that wait to be pushed to it."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.ready = trio.Event()
        self._waiting: dict[tuple[int, str], Record] = {}

    def queue(self, record: Record) -> None:
        self._waiting[(record.kind, record.key)] = record
        self.ready.set()

    def take(self) -> list[Record]:
        records = list(self._waiting.values())
        self._waiting.clear()
        self.ready = trio.Event()
        return records
