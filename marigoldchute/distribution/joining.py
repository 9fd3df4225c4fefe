"""Settles on a version before a joining node serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import PeerError
from marigoldchute.link.methods import Method

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.overlay.overlay import Overlay

ASK_INTERVAL_S = 0.1
ASK_TIMEOUT_S = 1.0
PEERS_TO_ASK = 3
SETTLE_S = 1.0
STORE_ANSWER = "/store"  # no member's name holds a slash


class _Head(msgspec.Struct, frozen=True, array_like=True):
    """What a node tells a joining one.

    Parameters
    ----------
    settled : bool
        Whether it has settled itself.
    members : int
        Members that it knows, unreachable ones included.
    manifest : bytes
        Newest manifest that it knows; empty for none.
    """

    settled: bool
    members: int
    manifest: bytes


_HEAD = msgspec.msgpack.Decoder(_Head)


class Joiner:
    """Asks several peers for their newest manifest before any comes into force.

    A node has settled once ``PEERS_TO_ASK`` settled peers have answered, or all others
    in a smaller mesh, or ``SETTLE_S`` after the first answer or version when further
    peers stay silent. The first peer to answer may be the one that is behind, and the
    store may answer from the past, so one answer alone is enough only in a mesh of two.
    """

    def __init__(
        self,
        overlay: Overlay,
        handlers: Handlers,
        newest: Callable[[], bytes],
        offer: Callable[[bytes], None],
        count_members: Callable[[], int],
    ) -> None:
        self._overlay = overlay
        self._count_members = count_members
        self._members_told = 0
        self._newest = newest
        self._offer = offer
        self._answered: set[str] = set()
        self._heard_at: float | None = None
        self.settled = trio.Event()
        handlers.register(Method.GET_HEAD, self._get_head)

    def note_store_read(self) -> None:
        """Count the store as one that has answered."""
        self._answered.add(STORE_ANSWER)

    async def run(self) -> None:
        """Ask until settled."""
        while not self.settled.is_set():
            links = self._overlay.neighbours()
            async with trio.open_nursery() as nursery:
                for link in links:
                    if link.peer.name not in self._answered:
                        nursery.start_soon(self._ask, link)
            self._check(trio.current_time())
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
        self._members_told = max(self._members_told, head.members)
        if head.settled:
            self._answered.add(link.peer.name)

    def _check(self, now: float) -> None:
        heard = bool(self._newest() or self._answered)
        if heard and self._heard_at is None:
            self._heard_at = now
        others = max(self._members_told, self._count_members()) - 1
        needed = min(PEERS_TO_ASK, max(1, others))
        waited = self._heard_at is not None and now - self._heard_at >= SETTLE_S
        if len(self._answered) >= needed or waited:
            self.settled.set()

    async def _get_head(self, link: Link, body: bytes) -> bytes:
        members = self._count_members()
        head = _Head(self.settled.is_set(), members, self._newest())
        return msgspec.msgpack.encode(head)
