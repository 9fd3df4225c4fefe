"""Reading of the store by the members that are selected for it."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from marigoldchute.errors import CompactedError, PeerError, PlatformError
from marigoldchute.hosted.reader_duty import Beacon
from marigoldchute.link.methods import Method

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.hosted.reader_duty import ReaderDuty
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.objectstore.documents import DocumentPage, DocumentStore
    from marigoldchute.overlay.overlay import Overlay

BEACON_INTERVAL_S = 0.5
# A store that stops responding is detected within this time plus that of one call.
WATCH_TIMEOUT_MS = 1_000
# Delay of a response beyond the time of its watch, as from a slow store.
READ_OVERDUE_S = 0.45
# A read of which bytes arrive may last longer than that by this: others that read the
# same document in its place would receive it no sooner.
MAX_SLOW_READ_S = 2.0
# After a transfer of a change that takes this long, the next read is of the present
# documents, because the store may keep more versions than can be received in time.
SLOW_TRANSFER_S = 0.1
DUTY_POLL_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.4
EARLIER_TOPIC_POLL_S = 0.02

_ENCODER = msgspec.msgpack.Encoder()
_BEACON = msgspec.msgpack.Decoder(Beacon)


class Topic(Protocol):
    """Documents of one kind that a reader follows for the mesh."""

    @property
    def kind(self) -> str:
        """Kind of the documents."""

    def applied_revision(self) -> int:
        """Return the revision up to which all changes are applied, 0 for none."""

    def apply_page(self, page: DocumentPage, is_full_list: bool) -> None:
        """Apply the changes of a page, or all documents when ``is_full_list``.

        An invalid document is logged and leaves the previous state unchanged.
        """


class StoreReader:
    """Follows topics of the store while this node is a reader.

    Parameters
    ----------
    store : DocumentStore
        The platform's store.
    topics : sequence of Topic
        Topics to follow; beacons are sent while all of them are read. One of which
        nothing is known is read after the one before it.
    duty : ReaderDuty
        Decides whether this node reads.
    overlay : Overlay
        Links over which beacons are sent.
    handlers : Handlers
        Registry for the handler of beacons.
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
        self._beacon_numbers = itertools.count()
        self._store = store
        self._topics = topics
        self._duty = duty
        self._overlay = overlay
        self._log = log
        self._rng = rng
        # By kind, the time of the last bytes, and that of the last complete read or,
        # before it, of the first attempt.
        self._received_at: dict[str, float] = {}
        self._begun_at: dict[str, float] = {}
        self._read_kinds: set[str] = set()
        self._was_reading = False
        self.on_read: list[Callable[[], None]] = []
        handlers.register(Method.READER_BEACON, self._handle_beacon)

    def is_reading(self, now: float) -> bool:
        """Return whether every topic was recently read, or is being received."""
        limit_s = WATCH_TIMEOUT_MS / 1000 + READ_OVERDUE_S
        return len(self._received_at) == len(self._topics) and all(
            now - at <= limit_s
            and now - self._begun_at[kind] <= limit_s + MAX_SLOW_READ_S
            for kind, at in self._received_at.items()
        )

    async def run(self) -> None:
        """Read the store and send beacons until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_beacons)
            self.start_topics(nursery)

    def start_topics(self, nursery: trio.Nursery) -> None:
        """Start to follow each topic."""
        earlier: Topic | None = None
        for topic in self._topics:
            nursery.start_soon(self._follow, topic, earlier)
            earlier = topic

    async def _follow(self, topic: Topic, earlier: Topic | None) -> None:
        position: int | None = None
        # A read that does not wait shows at once whether this node can read.
        wait_ms = 0
        while True:
            if not self._duty.is_reader(trio.current_time()):
                position, wait_ms = None, 0
                self._forget_reads(topic)
                await trio.sleep(DUTY_POLL_INTERVAL_S)
                continue
            if position is None:
                position = topic.applied_revision()
                if not position and earlier and earlier.kind not in self._read_kinds:
                    position = None
                    await trio.sleep(EARLIER_TOPIC_POLL_S)
                    continue
            try:
                position = await self._read_once(topic, position, wait_ms)
                self._record_read(topic, trio.current_time())
                wait_ms = WATCH_TIMEOUT_MS
            except CompactedError as exc:
                self._log_failure(topic, exc)
                position = 0
            except PlatformError as exc:
                self._log_failure(topic, exc)
                # The changes since then may be too many to be received in time.
                position, wait_ms = 0, 0
                await trio.sleep(RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.0))

    async def _read_once(self, topic: Topic, position: int, wait_ms: int) -> int:
        """Read all documents when ``position`` is 0, else the changes since then.

        Returns the position from which to read on.
        """

        def handle_piece() -> None:
            self._received_at[kind] = trio.current_time()

        kind, applied = topic.kind, topic.applied_revision()
        self._begun_at.setdefault(kind, trio.current_time())
        if position:
            page = await self._store.changes(kind, position, wait_ms, handle_piece)
        else:
            page = await self._store.list(kind, on_piece=handle_piece)
        topic.apply_page(page, is_full_list=not position)
        if page.transfer_s >= SLOW_TRANSFER_S and topic.applied_revision() != applied:
            return 0
        return max(position, page.revision)

    def _record_read(self, topic: Topic, now: float) -> None:
        self._received_at[topic.kind] = self._begun_at[topic.kind] = now
        self._read_kinds.add(topic.kind)

    def _forget_reads(self, topic: Topic) -> None:
        self._received_at.pop(topic.kind, None)
        self._begun_at.pop(topic.kind, None)
        self._read_kinds.discard(topic.kind)

    def _log_failure(self, topic: Topic, exc: PlatformError) -> None:
        self._log.emit(
            "reader",
            "read_failed",
            f"The store's {topic.kind!r} could not be read: {exc.message}.",
            kind=topic.kind,
            code=exc.code.value,
        )

    async def _send_beacons(self) -> None:
        sent_at = float("-inf")
        while True:
            await trio.sleep(DUTY_POLL_INTERVAL_S)
            now = trio.current_time()
            is_settled = self._duty.is_settled(now)
            is_reading = self._duty.is_reader(now) and self.is_reading(now)
            has_changed = is_reading != self._was_reading
            if has_changed:
                self._was_reading = is_reading
                self._log_duty(is_reading)
            is_due = is_reading and now - sent_at >= BEACON_INTERVAL_S
            if is_settled and (is_due or has_changed):
                sent_at = now
                self._publish_beacon(is_reading)
                self._repair_links(now)

    def _repair_links(self, now: float) -> None:
        directory = self._duty.directory
        if not directory.is_full_mesh:
            linked = {link.peer.name for link in self._overlay.neighbours()}
            names = self._duty.next_repair_peers(now)
            directory.request_links([n for n in names if n not in linked])

    def _log_duty(self, is_reading: bool) -> None:
        event, text = "duty_taken", "reads the store for the mesh"
        if not is_reading:
            event, text = "duty_lost", "no longer reads the store for the mesh"
        self._log.emit("reader", event, f"This node {text}.")

    def _publish_beacon(self, is_reading: bool) -> None:
        directory = self._duty.directory
        local = directory.local
        beacon = Beacon(
            local.name, local.incarnation, next(self._beacon_numbers), is_reading
        )
        if directory.is_full_mesh:
            self._send_beacon(self._overlay.neighbours(), beacon)
        else:
            self._send_beacon(self._overlay.flood_links(), beacon)

    def _send_beacon(self, links: list[Link], beacon: Beacon) -> None:
        body = _ENCODER.encode(beacon)
        for link in links:
            try:
                link.notify(Method.READER_BEACON, body)
            except PeerError:
                continue  # The link has closed; the overlay opens a new one.

    async def _handle_beacon(self, link: Link, body: bytes) -> bytes:
        beacon = _BEACON.decode(body)
        local = self._duty.directory.local.name
        if beacon.member == local or not self._duty.is_newer(beacon):
            return b""
        if beacon.is_reading:
            self._duty.record_beacon(beacon.member, trio.current_time())
        else:
            self._duty.record_stop(beacon.member, trio.current_time())
        if not self._duty.directory.is_full_mesh:
            # Most members have no link to the reader, so the beacon is relayed.
            self._send_beacon(self._overlay.flood_links(link.peer.name), beacon)
        return b""
