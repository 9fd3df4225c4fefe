"""Settles on a version before a joining node serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import PeerError
from marigoldchute.link.methods import Method

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.link.link import Handlers, Link
    from marigoldchute.overlay.overlay import Overlay

ASK_INTERVAL_S = 0.1
ASK_TIMEOUT_S = 1.0
PEERS_TO_ASK = 3
SETTLE_S = 1.0


class _Head(msgspec.Struct, frozen=True, array_like=True):
    """Newest manifest that a node knows, and whether it has settled itself."""

    settled: bool
    manifest: bytes


_HEAD = msgspec.msgpack.Decoder(_Head)


class Joiner:
    """Asks several peers for their newest manifest before any comes into force.

    A node has settled once ``PEERS_TO_ASK`` settled peers have answered, or all that
    are linked when there are fewer, or the store has been read, or ``SETTLE_S`` after
    it learnt of a first version while peers stay silent.
    """

    def __init__(
        self,
        overlay: Overlay,
        handlers: Handlers,
        newest: Callable[[], bytes],
        offer: Callable[[bytes], None],
    ) -> None:
        self._overlay = overlay
        self._newest = newest
        self._offer = offer
        self._answered: set[str] = set()
        self._first_known_at: float | None = None
        self.settled = trio.Event()
        handlers.register(Method.GET_HEAD, self._get_head)

    async def run(self) -> None:
        """Ask until settled."""
        while not self.settled.is_set():
            links = self._overlay.neighbours()
            async with trio.open_nursery() as nursery:
                for link in links:
                    if link.peer.name not in self._answered:
                        nursery.start_soon(self._ask, link)
            self._check(len(links), trio.current_time())
            with trio.move_on_after(ASK_INTERVAL_S):
                await self.settled.wait()

    async def _ask(self, link: Link) -> None:
        try:
            reply = await link.call(Method.GET_HEAD, b"", ASK_TIMEOUT_S)
            head = _HEAD.decode(reply)
        except (PeerError, msgspec.DecodeError):
            return
        if head.manifest:
            self._offer(head.manifest)
        if head.settled:
            self._answered.add(link.peer.name)

    def _check(self, linked: int, now: float) -> None:
        if self._newest() and self._first_known_at is None:
            self._first_known_at = now
        needed = min(PEERS_TO_ASK, max(1, linked))
        waited = (
            self._first_known_at is not None and now - self._first_known_at >= SETTLE_S
        )
        if len(self._answered) >= needed or waited:
            self.settled.set()

    async def _get_head(self, link: Link, body: bytes) -> bytes:
        head = _Head(self.settled.is_set(), self._newest())
        return msgspec.msgpack.encode(head)
