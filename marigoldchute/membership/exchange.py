"""Asks neighbours whom they hear, and the store when none of them hears enough."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import NotFoundError, PeerError, PlatformError
from marigoldchute.link.methods import Method
from marigoldchute.membership.contact import View, elapsed_clock

if TYPE_CHECKING:
    import random

    from marigoldchute.events import EventLog
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.membership.service import Membership
    from marigoldchute.objectstore.api import ObjectStore
    from marigoldchute.overlay.overlay import Overlay

GONE_PREFIX = "gone/"
ASK_SHARE = 0.05
ASKED_PEERS = 3
ASK_TIMEOUT_S = 2.0
PAUSE_AFTER_S = 4.0
DOUBT_FACTOR = 0.5
STORE_FACTOR = 0.25

_VIEW = msgspec.msgpack.Decoder(View)


def gone_key(name: str) -> str:
    """Return the store key under which a member is marked before it is declared."""
    return GONE_PREFIX + name


class ContactExchange:
    """Keeps a node's ``Contact`` up to date."""

    def __init__(
        self,
        membership: Membership,
        overlay: Overlay,
        store: ObjectStore,
        handlers: Handlers,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._contact = membership.contact
        self._overlay = overlay
        self._store = store
        self._log = log
        self._rng = rng
        self._was_fenced = False
        self._ticked_at = elapsed_clock()
        handlers.register(Method.GET_VIEW, self._get_view)

    async def run(self) -> None:
        """Ask neighbours and, in doubt, the store until cancelled."""
        ask_interval_s = ASK_SHARE * self._membership.times.fence_after_s
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_store)
            while True:
                self._tick(elapsed_clock())
                self._ask_neighbours(nursery)
                await trio.sleep(ask_interval_s * self._rng.uniform(0.8, 1.2))

    def _tick(self, now: float) -> None:
        if now - self._ticked_at > PAUSE_AFTER_S:
            self._log.emit("membership", "paused", "This process was paused.")
            self._contact.forget(now)
            self._overlay.reset()
        self._ticked_at = now
        for link in self._overlay.neighbours():
            if link.peer.data_centre == self._membership.local.data_centre:
                self._contact.note(link.peer.name, now)
        self._contact.advance(self._membership.roster(), now)
        self._membership.set_cut_centres(self._cut_centres(now))
        self._note_fence()

    def _cut_centres(self, now: float) -> frozenset[str]:
        """Return the other data centres that are not heard."""
        local = self._membership.local.data_centre
        fresh_s = self._membership.times.fresh_s
        return frozenset(
            centre
            for centre in {m.data_centre for m in self._membership.recorded()}
            if centre != local
            and self._contact.centre_silent_since(centre) < now - fresh_s
        )

    def _note_fence(self) -> None:
        fenced = self._membership.fenced
        if fenced != self._was_fenced:
            self._was_fenced = fenced
            event, text = ("fenced", "Requests are refused: no contact.")
            if not fenced:
                event, text = ("unfenced", "Requests are served: contact is back.")
            self._log.emit("membership", event, text)

    def _ask_neighbours(self, nursery: trio.Nursery) -> None:
        links = self._overlay.synced_neighbours()
        for link in self._rng.sample(links, min(ASKED_PEERS, len(links))):
            nursery.start_soon(self._ask, link)

    async def _ask(self, link: Link) -> None:
        asked_at = elapsed_clock()
        try:
            body = await link.call(Method.GET_VIEW, b"", ASK_TIMEOUT_S)
            view = _VIEW.decode(body)
        except (PeerError, msgspec.DecodeError):
            return
        if link.peer.data_centre == self._membership.local.data_centre:
            self._contact.hear(link.peer.name, asked_at)
        self._contact.take(view, self._membership.roster(), asked_at)

    async def _get_view(self, link: Link, body: bytes) -> bytes:
        view = self._contact.tell(self._membership.roster(), elapsed_clock())
        return msgspec.msgpack.encode(view)

    async def _ask_store(self) -> None:
        fence_after_s = self._membership.times.fence_after_s
        while True:
            wait_s = STORE_FACTOR * fence_after_s
            await trio.sleep(wait_s * self._rng.uniform(0.5, 1.0))
            await self.check_store(elapsed_clock())

    async def check_store(self, now: float) -> None:
        """Read this node's mark in the store if its contact is in doubt."""
        doubt_after_s = DOUBT_FACTOR * self._membership.times.fence_after_s
        if now - self._contact.contact_at > doubt_after_s:
            await self._read_mark(now)

    async def _read_mark(self, asked_at: float) -> None:
        local = self._membership.local
        try:
            mark = await self._store.get(gone_key(local.name))
        except NotFoundError:
            self._contact.grant(asked_at)
            return
        except PlatformError:
            return
        if int(mark.value) < local.incarnation:
            self._contact.grant(asked_at)
        else:
            self._membership.begin_incarnation(int(mark.value) + 1)
