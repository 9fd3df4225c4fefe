"""Reading the store for the whole mesh: who does it, and how."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from marigoldchute.errors import CompactedError, PeerError, PlatformError
from marigoldchute.link.methods import Method
from marigoldchute.overlay.topology import rendezvous_order

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.hosted.directory import Directory
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.membership.model import Member
    from marigoldchute.objectstore.documents import DocumentPage, DocumentStore
    from marigoldchute.overlay.overlay import Overlay

READERS = 2  # One may freeze or be cut off without a gap in the other's reading.
BEACON_S = 0.5
BEACON_FRESH_S = 1.3  # Two beacons may be lost before another node steps in.
WAIT_MS = 1_000  # A silent store is noticed within this and one call's time.
BACKUPS = 4
BACKUP_AFTER_S = 4.0
POLL_S = 0.1
RETRY_S = 0.4
NEAR_FACTOR = 3.0

_ENCODER = msgspec.msgpack.Encoder()


class Beacon(msgspec.Struct, frozen=True, array_like=True):
    """Says that a member reads the store successfully.

    Parameters
    ----------
    member : str
        Who reads.
    incarnation : int
        Of the member.
    number : int
        Rises with each beacon of an incarnation.
    """

    member: str
    incarnation: int
    number: int


_BEACON = msgspec.msgpack.Decoder(Beacon)


class Topic(Protocol):
    """Documents of a kind that a reader follows for the mesh."""

    @property
    def kind(self) -> str:
        """Kind of the documents."""

    def known_revision(self) -> int:
        """Return the revision up to which all changes are known, or 0."""

    def take_page(self, page: DocumentPage, whole: bool) -> None:
        """Take changes, or all documents when ``whole``.

        A document that is not allowed is logged, and what was known before stands.
        """


class ReaderDuty:
    """Decides whether this node reads the store, without any message but beacons.

    The first ``READERS`` members in an order that all nodes compute alike read, those
    near the store first. Who reads successfully says so twice a second. A node that
    hears no such beacon reads by itself until it hears one again: at once when it is
    among the next few in the order, after ``BACKUP_AFTER_S`` otherwise.

    Parameters
    ----------
    directory : Directory
        Members.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self._started_at = 0.0
        self._beacons: dict[str, float] = {}
        self._newest: dict[str, tuple[int, int]] = {}

    def begin(self, now: float) -> None:
        """Count the time without beacons from now on, a monotonic time in seconds."""
        self._started_at = now

    def take_beacon(self, name: str, now: float) -> None:
        """Take note that a member reads the store successfully."""
        self._beacons[name] = now

    def is_news(self, beacon: Beacon) -> bool:
        """Return whether a beacon is newer than those of its member before it."""
        rank = (beacon.incarnation, beacon.number)
        news = rank > self._newest.get(beacon.member, (-1, -1))
        if news:
            self._newest[beacon.member] = rank
        return news

    def is_reader(self, now: float) -> bool:
        """Return whether this node is to read now."""
        rank = self._rank()
        if rank < READERS:
            return True
        heard_at = max(self._beacons.values(), default=self._started_at)
        silent_s = now - heard_at
        if silent_s <= BEACON_FRESH_S:
            return False
        return rank < READERS + BACKUPS or silent_s > BACKUP_AFTER_S

    def active_readers(self, now: float) -> list[str]:
        """Return the names of other members that read successfully of late."""
        return [n for n, at in self._beacons.items() if now - at <= BEACON_FRESH_S]

    def deciders(self, now: float) -> list[str]:
        """Return the names of the other members that may decide for all.

        Those that read of late; while nobody does, the members whose duty it is.
        """
        active = self.active_readers(now)
        if active:
            return active
        first = [member.name for member in self._ordered()[:READERS]]
        return [name for name in first if name != self.directory.local.name]

    def leads(self, reads: bool, now: float) -> bool:
        """Return whether this node decides what one reader must decide.

        While nobody reads the store, the first member in the order decides, if it
        reaches most of the members: what is under way must not stand still.

        Parameters
        ----------
        reads : bool
            Whether this node reads successfully.
        now : float
            Monotonic time in seconds.
        """
        local = self.directory.local.name
        active = set(self.active_readers(now))
        if reads:
            active.add(local)
        ordered = [member.name for member in self._ordered()]
        if active:
            return next((n for n in ordered if n in active), local) == local
        reaches_most = 2 * len(ordered) > len(self.directory.all())
        return reaches_most and ordered[0] == local

    def _ordered(self) -> list[Member]:
        members = self.directory.reachable()
        times = [member.store_ms for member in members if member.store_ms]
        limit_ms = NEAR_FACTOR * min(times, default=0)
        order = rendezvous_order(members, "store-reader")
        return sorted(order, key=lambda m: not 0 < m.store_ms <= limit_ms)

    def _rank(self) -> int:
        for index, member in enumerate(self._ordered()):
            if member.name == self.directory.local.name:
                return index
        return READERS + BACKUPS


class StoreReader:
    """Follows topics of the store while this node has the duty to.

    Parameters
    ----------
    store : DocumentStore
        The platform's store.
    topics : sequence of Topic
        What to follow; beacons say that the first one is read.
    duty : ReaderDuty
        Whether to read.
    overlay : Overlay
        Links over which beacons go.
    handlers : Handlers
        Where the beacon's method is registered.
    log : EventLog
        Event log of the process.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        store: DocumentStore,
        topics: list[Topic],
        duty: ReaderDuty,
        overlay: Overlay,
        handlers: Handlers,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._numbers = itertools.count()
        self._store = store
        self._topics = topics
        self._duty = duty
        self._overlay = overlay
        self._log = log
        self._rng = rng
        self._read_at: dict[str, float] = {}
        self._reading = False
        self.on_read: list[Callable[[], None]] = []
        handlers.register(Method.READER_BEACON, self._take_beacon)

    def reads(self, now: float) -> bool:
        """Return whether every topic was read successfully of late."""
        oldest = now - WAIT_MS / 1000 - BEACON_S
        return len(self._read_at) == len(self._topics) and all(
            at >= oldest for at in self._read_at.values()
        )

    async def run(self) -> None:
        """Read and send beacons until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_beacons)
            for topic in self._topics:
                nursery.start_soon(self._follow, topic)

    async def _follow(self, topic: Topic) -> None:
        position: int | None = None
        while True:
            if not self._duty.is_reader(trio.current_time()):
                position = None
                self._read_at.pop(topic.kind, None)
                await trio.sleep(POLL_S)
                continue
            if position is None:
                position = topic.known_revision()
            try:
                position = await self._read_once(topic, position)
                self._read_at[topic.kind] = trio.current_time()
            except CompactedError as exc:
                self._note_failure(topic, exc)
                position = 0
            except PlatformError as exc:
                self._note_failure(topic, exc)
                await trio.sleep(RETRY_S * self._rng.uniform(0.5, 1.0))

    async def _read_once(self, topic: Topic, position: int) -> int:
        """Read all documents at position 0, the changes after any other one."""
        if not position:
            page = await self._store.list(topic.kind)
            topic.take_page(page, True)
            return page.revision
        page = await self._store.changes(topic.kind, position, WAIT_MS)
        topic.take_page(page, False)
        return max(position, page.revision)

    def _note_failure(self, topic: Topic, exc: PlatformError) -> None:
        self._log.emit(
            "reader",
            "read_failed",
            f"The store's {topic.kind!r} could not be read: {exc.message}.",
            kind=topic.kind,
            code=exc.code.value,
        )

    async def _send_beacons(self) -> None:
        while True:
            await trio.sleep(BEACON_S)
            now = trio.current_time()
            reads = self._duty.is_reader(now) and self.reads(now)
            if reads != self._reading:
                self._reading = reads
                event, text = ("duty_taken", "reads the store for the mesh")
                if not reads:
                    event, text = ("duty_lost", "does not read the store any more")
                self._log.emit("reader", event, f"This node {text}.")
            if reads:
                local = self._duty.directory.local
                beacon = Beacon(local.name, local.incarnation, next(self._numbers))
                if self._duty.directory.links_all_pairs:
                    self._notify(self._overlay.neighbours(), beacon)
                else:
                    self._notify(self._overlay.spread_links(), beacon)

    def _notify(self, links: list[Link], beacon: Beacon) -> None:
        body = _ENCODER.encode(beacon)
        for link in links:
            try:
                link.notify(Method.READER_BEACON, body)
            except PeerError:
                continue  # The link has ended; the overlay opens another.

    async def _take_beacon(self, link: Link, body: bytes) -> bytes:
        beacon = _BEACON.decode(body)
        local = self._duty.directory.local.name
        if beacon.member == local or not self._duty.is_news(beacon):
            return b""
        self._duty.take_beacon(beacon.member, trio.current_time())
        if not self._duty.directory.links_all_pairs:
            # Most members have no link to the reader.
            self._notify(self._overlay.spread_links(link.peer.name), beacon)
        return b""
