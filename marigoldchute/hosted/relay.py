"""Transfer of bundles between neighbours as differences."""

from __future__ import annotations

import collections
import math
import struct
import time
from typing import TYPE_CHECKING, NamedTuple

import trio

from marigoldchute.errors import BundleError, PeerError, ResultCode
from marigoldchute.hosted.catalog import (
    apply_difference,
    encode_difference,
    is_newer,
)
from marigoldchute.link.methods import Method
from marigoldchute.objectstore.eras import era_of

if TYPE_CHECKING:
    import random

    from marigoldchute.events import EventLog
    from marigoldchute.hosted.catalog import Catalog, Snapshot
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.overlay.overlay import Overlay

# A difference takes one round trip. After the delay the node fetches from a further
# neighbour as well; a response that comes later is still used.
NEXT_FETCH_DELAY_S = 0.3
MAX_FETCHES = 3
FETCH_TIMEOUT_S = 3.0
FETCH_RETRY_DELAY_S = 0.1  # Delay while every neighbour with an offer has failed.
# An offer is repeated to one neighbour at a time. A bundle must be in force within
# 2.5 s.
REOFFER_INTERVAL_S = 1.0
RECORDS_POLL_S = 0.02
# A node that has more than this to send refuses a fetch: its neighbour fetches from
# another one, or returns after the delay.
MAX_SEND_DELAY_S = 0.05
BUSY_RETRY_DELAY_S = 0.05
MAX_BUSY_S = 1.0  # After one transfer, whatever the rate in the settings.
SEND_SHARE = 0.5  # Of the connection of a VM; the other half is for requests.
BYTES_PER_MBIT = 125_000
_REVISION = struct.Struct(">Q")
_POSITION = struct.Struct(">QQ")  # Revision and version.
MAX_VERSION = 2**64 - 1


class Offer(NamedTuple):
    """Offer of a bundle.

    Parameters
    ----------
    revision : int
        Revision of the bundle.
    version : int or None
        Its version; None if the offer does not state it.
    """

    revision: int
    version: int | None = None


def encode_offer(revision: int, version: int) -> bytes:
    """Encode an offer, with the version only for a store that has eras."""
    if not era_of(revision) or version > MAX_VERSION:
        return _REVISION.pack(revision)
    return _POSITION.pack(revision, version)


def decode_offer(body: bytes) -> Offer:
    """Decode an offer."""
    if len(body) == _POSITION.size:
        return Offer(*_POSITION.unpack(body))
    return Offer(*_REVISION.unpack(body))


def _outranks(snapshot: Snapshot, offer: Offer) -> bool:
    version = snapshot.version if offer.version is None else offer.version
    return is_newer(snapshot.revision, snapshot.version, offer.revision, version)


class BundleRelay:
    """Offers the newest bundle to neighbours and fetches newer ones from them.

    An offer is a revision, and in a store with eras also a version. A neighbour with an
    older bundle requests the difference from its own revision, so that each node
    receives each change once, whatever the number of its neighbours. A node sends to
    few neighbours at a time, so that those it has served pass the bundle on meanwhile.
    An offer is valid until its revision is in force or its link has closed. The first
    bundle is fetched once the records of a node that offers one are known, as they tell
    which release to serve. To make up for lost offers, each node repeats its offer to
    one neighbour at a time.

    Parameters
    ----------
    catalog : Catalog
        Catalog of this node.
    overlay : Overlay
        Links to neighbours.
    handlers : Handlers
        Registry for the handlers of offers and fetches.
    log : EventLog
        Event log of the process.
    rng : random.Random
        Selects the neighbour to which an offer is repeated.
    link_mbps : float
        Rate of the VM's connection in megabits a second; 0 if unknown.
    """

    def __init__(
        self,
        catalog: Catalog,
        overlay: Overlay,
        handlers: Handlers,
        log: EventLog,
        rng: random.Random,
        link_mbps: float = 0.0,
    ) -> None:
        self._send_bytes_per_s = link_mbps * BYTES_PER_MBIT * SEND_SHARE or math.inf
        self._sending_until = 0.0
        self._busy_until: dict[Link, float] = {}
        self._catalog = catalog
        self._overlay = overlay
        self._log = log
        self._rng = rng
        self._offers: dict[Link, Offer] = {}
        self._failures: collections.Counter[Link] = collections.Counter()
        self._offer_received = trio.Event()
        self._fetching: set[Link] = set()
        self._fetch_ended = trio.Event()
        self._updated_at = 0.0
        # Monotonic and processor time of the first offer of the next bundle.
        self._awaited_since: tuple[float, float] | None = None
        handlers.register(Method.OFFER_BUNDLE, self._handle_offer)
        handlers.register(Method.FETCH_BUNDLE, self._handle_fetch)
        overlay.neighbour_listeners.append(self._offer_to)
        catalog.on_update.append(self._offer_to_all)

    async def run(self) -> None:
        """Fetch offered bundles and repeat offers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat_offers)
            while True:
                await self._offer_received.wait()
                self._offer_received = trio.Event()
                await self._fetch_offers(nursery)

    async def _fetch_offers(self, nursery: trio.Nursery) -> None:
        while self._idle_offers():
            link = self._best_offer(trio.current_time())
            if link is None:
                await trio.sleep(BUSY_RETRY_DELAY_S * self._rng.uniform(0.5, 1.0))
                continue
            if not self._knows_records():
                self._overlay.request_compare(link)
                await trio.sleep(RECORDS_POLL_S)
                continue
            if self._failures[link]:
                await trio.sleep(FETCH_RETRY_DELAY_S)
                if self._best_offer(trio.current_time()) is not link:
                    continue
            self._fetch_ended = trio.Event()
            self._fetching.add(link)
            nursery.start_soon(self._fetch_from, link, self._offers.pop(link))
            with trio.move_on_after(NEXT_FETCH_DELAY_S):
                await self._fetch_ended.wait()
            while len(self._fetching) >= MAX_FETCHES:
                await self._fetch_ended.wait()

    def _knows_records(self) -> bool:
        if self._catalog.revision:
            return True
        return any(link in self._offers for link in self._overlay.synced_neighbours())

    async def _repeat_offers(self) -> None:
        while True:
            await trio.sleep(REOFFER_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            neighbours = self._overlay.neighbours()
            if neighbours:
                self._offer_to(self._rng.choice(neighbours))

    def _idle_offers(self) -> list[Link]:
        """Return the links with an offer from which nothing is fetched now."""
        self._offers = {
            link: offer
            for link, offer in self._offers.items()
            if link.is_open and self._catalog.wants(*offer)
        }
        return [link for link in self._offers if link not in self._fetching]

    def _best_offer(self, now: float) -> Link | None:
        """Return the link to fetch from; None while all neighbours are busy."""
        idle = [link for link in self._idle_offers() if not self._is_busy(link, now)]
        if not idle:
            return None
        return max(idle, key=self._preference)

    def _preference(self, link: Link) -> tuple[int, int, int]:
        offer = self._offers[link]
        return -self._failures[link], offer.version or 0, offer.revision

    def _is_busy(self, link: Link, now: float) -> bool:
        return self._busy_until.get(link, 0.0) > now

    async def _fetch_from(self, link: Link, offer: Offer) -> None:
        base = self._catalog.newest
        base_revision = _REVISION.pack(base.revision if base is not None else 0)
        started_at = trio.current_time()
        try:
            data = await link.call(Method.FETCH_BUNDLE, base_revision, FETCH_TIMEOUT_S)
            times_ms = self._measure_transfer(started_at, trio.current_time())
            snapshot = apply_difference(base, data)
            self._catalog.apply(snapshot, link.peer.name, times_ms)
        except (PeerError, BundleError) as exc:
            if isinstance(exc, PeerError):
                # The bundle may still be fetched from this neighbour or another one.
                self._offers.setdefault(link, offer)
                if exc.code is ResultCode.PEER_BUSY:
                    now = trio.current_time()
                    self._busy_until[link] = now + BUSY_RETRY_DELAY_S
                    return
                self._failures[link] += 1
            self._log.emit(
                "relay",
                "fetch_failed",
                f"Fetching revision {offer.revision} from {link.peer.name} failed: "
                f"{exc.message}.",
                member=link.peer.name,
                revision=offer.revision,
                code=exc.code.value,
                fetch_ms=round((trio.current_time() - started_at) * 1000),
            )
        finally:
            self._fetching.discard(link)
            self._fetch_ended.set()
            # Offers that came, or came back, during the fetch are considered now.
            self._offer_received.set()

    def _measure_transfer(self, started_at: float, now: float) -> dict[str, int]:
        """Return the times from the first offer of a bundle to its arrival."""
        offered_at, offered_cpu_s = self._awaited_since or (started_at, 0.0)
        cpu_s = time.process_time() - offered_cpu_s if offered_cpu_s else 0.0
        return {
            "waited_ms": round((started_at - offered_at) * 1000),
            "fetch_ms": round((now - started_at) * 1000),
            "cpu_ms": round(cpu_s * 1000),
        }

    async def _handle_offer(self, link: Link, body: bytes) -> bytes:
        offer = decode_offer(body)
        if self._catalog.wants(*offer):
            self._offers[link] = offer
            self._offer_received.set()
            if self._awaited_since is None:
                self._awaited_since = trio.current_time(), time.process_time()
        return b""

    async def _handle_fetch(self, link: Link, body: bytes) -> bytes:
        newest = self._catalog.newest
        if newest is None:
            raise PeerError("this node has no bundle yet")
        (revision,) = _REVISION.unpack(body)
        now = trio.current_time()
        if self._sending_until - now > MAX_SEND_DELAY_S:
            raise PeerError("this node sends to others", ResultCode.PEER_BUSY)
        held_ms = round((now - self._updated_at) * 1000)
        base = self._catalog.get_snapshot(revision)
        data = encode_difference(base, newest, held_ms)
        send_s = min(len(data) / self._send_bytes_per_s, MAX_BUSY_S)
        self._sending_until = max(now, self._sending_until) + send_s
        return data

    def _offer_to(self, link: Link) -> None:
        if self._catalog.revision:
            offer = encode_offer(self._catalog.revision, self._catalog.version)
            try:
                link.notify(Method.OFFER_BUNDLE, offer)
            except PeerError:
                return  # The link has closed; the offer is sent again on the next one.

    def _offer_to_all(self, snapshot: Snapshot) -> None:
        self._updated_at = trio.current_time()
        self._awaited_since = None
        self._failures.clear()
        self._busy_until.clear()
        for link in self._overlay.neighbours():
            offer = self._offers.get(link)
            if offer is None or _outranks(snapshot, offer):
                self._offer_to(link)
