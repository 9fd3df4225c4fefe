"""Passing bundles from node to node as differences."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import BundleError, PeerError
from marigoldchute.hosted.catalog import apply_difference, encode_difference
from marigoldchute.link.methods import Method

if TYPE_CHECKING:
    from marigoldchute.events import EventLog
    from marigoldchute.hosted.catalog import Catalog, Snapshot
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.overlay.overlay import Overlay

FETCH_TIMEOUT_S = 1.0  # A difference takes one trip; another neighbour may answer.
_REVISION = struct.Struct(">Q")


class BundleRelay:
    """Offers the newest bundle to neighbours and fetches newer ones from them.

    An offer is a revision; a neighbour that lacks it asks for the difference from what
    it holds, so that each node receives each change once, whatever the number of its
    neighbours.

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
    """

    def __init__(
        self, catalog: Catalog, overlay: Overlay, handlers: Handlers, log: EventLog
    ) -> None:
        self._catalog = catalog
        self._overlay = overlay
        self._log = log
        self._offers: dict[Link, int] = {}
        self._offered = trio.Event()
        handlers.register(Method.OFFER_BUNDLE, self._take_offer)
        handlers.register(Method.FETCH_BUNDLE, self._serve_fetch)
        overlay.on_neighbour.append(self._offer_to)
        catalog.on_newer.append(self._offer_to_all)

    async def run(self) -> None:
        """Fetch what neighbours offer until cancelled."""
        while True:
            await self._offered.wait()
            self._offered = trio.Event()
            while (link := self._best_offer()) is not None:
                await self._fetch_from(link)

    def _best_offer(self) -> Link | None:
        held = self._catalog.revision
        self._offers = {
            link: revision
            for link, revision in self._offers.items()
            if link.alive and revision > held
        }
        if not self._offers:
            return None
        return max(self._offers, key=lambda link: self._offers[link])

    async def _fetch_from(self, link: Link) -> None:
        offered = self._offers.pop(link)
        base = self._catalog.newest
        have = _REVISION.pack(base.revision if base is not None else 0)
        try:
            data = await link.call(Method.FETCH_BUNDLE, have, FETCH_TIMEOUT_S)
            self._catalog.take(apply_difference(base, data), link.peer.name)
        except (PeerError, BundleError) as exc:
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
