"""Passing bundles from node to node as differences."""

from __future__ import annotations

import collections
import struct
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import BundleError, PeerError
from marigoldchute.hosted.catalog import apply_difference, encode_difference
from marigoldchute.link.methods import Method

if TYPE_CHECKING:
    import random

    from marigoldchute.events import EventLog
    from marigoldchute.hosted.catalog import Catalog, Snapshot
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.overlay.overlay import Overlay

FETCH_TIMEOUT_S = 1.0  # A difference takes one trip; another neighbour may answer.
FETCH_PAUSE_S = 0.1  # Between fetches while each neighbour that offers has failed.
REOFFER_S = 1.0  # To one neighbour at a time; a bundle is to be in force within 2.5 s.
_REVISION = struct.Struct(">Q")


class BundleRelay:
    """Offers the newest bundle to neighbours and fetches newer ones from them.

    An offer is a revision; a neighbour that lacks it asks for the difference from what
    it holds, so that each node receives each change once, whatever the number of its
    neighbours. An offer stands until its revision is held or its link has ended. One
    that was lost is made up for: each node repeats its own to one neighbour at a time.

    Parameters
    ----------
    catalog : Catalog
        Bundles of this node.
    overlay : Overlay
        Links to neighbours.
    handlers : Handlers
        Where the relay's methods are registered.
    log : EventLog
        Event log of the process.
    rng : random.Random
        Chooses to whom an offer is repeated.
    """

    def __init__(
        self,
        catalog: Catalog,
        overlay: Overlay,
        handlers: Handlers,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._catalog = catalog
        self._overlay = overlay
        self._log = log
        self._rng = rng
        self._offers: dict[Link, int] = {}
        self._failures: collections.Counter[Link] = collections.Counter()
        self._offered = trio.Event()
        handlers.register(Method.OFFER_BUNDLE, self._take_offer)
        handlers.register(Method.FETCH_BUNDLE, self._serve_fetch)
        overlay.on_neighbour.append(self._offer_to)
        catalog.on_newer.append(self._offer_to_all)

    async def run(self) -> None:
        """Fetch what neighbours offer, and repeat offers, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat_offers)
            while True:
                await self._offered.wait()
                self._offered = trio.Event()
                await self._fetch_offered()
                self._failures.clear()

    async def _fetch_offered(self) -> None:
        while (link := self._best_offer()) is not None:
            if self._failures[link]:
                await trio.sleep(FETCH_PAUSE_S)
            await self._fetch_from(link)

    async def _repeat_offers(self) -> None:
        while True:
            await trio.sleep(REOFFER_S * self._rng.uniform(0.5, 1.5))
            neighbours = self._overlay.neighbours()
            if neighbours:
                self._offer_to(self._rng.choice(neighbours))

    def _best_offer(self) -> Link | None:
        held = self._catalog.revision
        self._offers = {
            link: revision
            for link, revision in self._offers.items()
            if link.alive and revision > held
        }
        if not self._offers:
            return None
        return max(
            self._offers, key=lambda link: (-self._failures[link], self._offers[link])
        )

    async def _fetch_from(self, link: Link) -> None:
        offered = self._offers.pop(link)
        base = self._catalog.newest
        have = _REVISION.pack(base.revision if base is not None else 0)
        try:
            data = await link.call(Method.FETCH_BUNDLE, have, FETCH_TIMEOUT_S)
            self._catalog.take(apply_difference(base, data), link.peer.name)
        except (PeerError, BundleError) as exc:
            if isinstance(exc, PeerError):
                # The same bundle may still come, from this neighbour or another.
                self._failures[link] += 1
                self._offers.setdefault(link, offered)
            self._log.emit(
                "relay",
                "fetch_failed",
                f"Bundle of revision {offered} was not got from {link.peer.name}: "
                f"{exc.message}.",
                member=link.peer.name,
                revision=offered,
                code=exc.code.value,
            )

    async def _take_offer(self, link: Link, body: bytes) -> bytes:
        (revision,) = _REVISION.unpack(body)
        if revision > self._catalog.revision:
            self._offers[link] = revision
            self._offered.set()
        return b""

    async def _serve_fetch(self, link: Link, body: bytes) -> bytes:
        newest = self._catalog.newest
        if newest is None:
            raise PeerError("no bundle is held here")
        (revision,) = _REVISION.unpack(body)
        return encode_difference(self._catalog.kept(revision), newest)

    def _offer_to(self, link: Link) -> None:
        if self._catalog.revision:
            try:
                link.notify(Method.OFFER_BUNDLE, _REVISION.pack(self._catalog.revision))
            except PeerError:
                return  # The link has ended; its successor brings the offer again.

    def _offer_to_all(self, snapshot: Snapshot) -> None:
        for link in self._overlay.neighbours():
            if self._offers.get(link, 0) < snapshot.revision:
                self._offer_to(link)
