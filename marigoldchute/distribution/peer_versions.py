"""Versions in force on linked peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marigoldchute.errors import PeerError
from marigoldchute.link.methods import Method

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.bundle.inforce import InForce
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.overlay.overlay import Overlay

_VERSION = msgspec.msgpack.Decoder(int)


class PeerVersions:
    """Notifies neighbours of the local version in force and records theirs.

    A node therefore requests chunks only from peers that have them, and does so as soon
    as they are available.
    """

    def __init__(
        self,
        overlay: Overlay,
        in_force: InForce,
        handlers: Handlers,
        on_change: Callable[[], None],
    ) -> None:
        self._overlay = overlay
        self._in_force = in_force
        self._on_change = on_change
        self._versions: dict[str, int] = {}
        in_force.add_swap_listener(lambda bundle: self._notify_all())
        overlay.neighbour_listeners.append(self._notify)
        handlers.register(Method.ANNOUNCE_VERSION, self._handle_announce_version)

    def links_with_version(self, version: int) -> list[Link]:
        """Return the links to peers that have reported at least this version."""
        return [
            link
            for link in self._overlay.neighbours()
            if self._versions.get(link.peer.name, 0) >= version
        ]

    def forget(self, name: str) -> None:
        """Forget the version of a peer until its next notification."""
        self._versions.pop(name, None)

    def _notify_all(self) -> None:
        for link in self._overlay.neighbours():
            self._notify(link)

    def _notify(self, link: Link) -> None:
        if self._in_force.version == 0:
            return
        body = msgspec.msgpack.encode(self._in_force.version)
        try:
            link.notify(Method.ANNOUNCE_VERSION, body)
        except PeerError:
            return  # The peer is notified again when the link is re-established.

    async def _handle_announce_version(self, link: Link, body: bytes) -> bytes:
        self._versions[link.peer.name] = _VERSION.decode(body)
        self._on_change()
        return b""
