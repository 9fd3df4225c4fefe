"""Which linked peers have which version in force."""

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


class Holders:
    """Tells neighbours the version in force here and remembers theirs.

    So a node asks for chunks only where they are, the moment they are there.
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
        in_force.on_swap(lambda bundle: self._tell_all())
        overlay.on_neighbour.append(self._tell)
        handlers.register(Method.HAVE_VERSION, self._take_version)

    def links_with(self, version: int) -> list[Link]:
        """Return the links to the peers known to have at least a version."""
        return [
            link
            for link in self._overlay.neighbours()
            if self._versions.get(link.peer.name, 0) >= version
        ]

    def distrust(self, name: str) -> None:
        """Forget a peer's version until it tells again."""
        self._versions.pop(name, None)

    def _tell_all(self) -> None:
        for link in self._overlay.neighbours():
            self._tell(link)

    def _tell(self, link: Link) -> None:
        if self._in_force.version == 0:
            return
        body = msgspec.msgpack.encode(self._in_force.version)
        try:
            link.notify(Method.HAVE_VERSION, body)
        except PeerError:
            return  # it is told again when it is linked again

    async def _take_version(self, link: Link, body: bytes) -> bytes:
        self._versions[link.peer.name] = _VERSION.decode(body)
        self._on_change()
        return b""
