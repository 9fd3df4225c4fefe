"""Pool of links to members, opened on demand and closed when idle."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import PeerError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.link.endpoint import LinkEndpoint
    from marigoldchute.link.link import Link

IDLE_TIMEOUT_S = 60.0
SWEEP_INTERVAL_S = 5.0


class LinkPool:
    """Keeps one link to each peer that is in use.

    Parameters
    ----------
    endpoint : LinkEndpoint
        Opens the links.
    purpose : str
        ``control-call`` or ``traffic``.
    address_of : callable
        Returns the address and port of a member by name, or None when it is unknown.
    find_shared_link : callable, optional
        Returns a usable link to a member that was opened for another purpose, or
        None.
    """

    def __init__(
        self,
        endpoint: LinkEndpoint,
        purpose: str,
        address_of: Callable[[str], tuple[str, int] | None],
        find_shared_link: Callable[[str], Link | None] | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._purpose = purpose
        self._address_of = address_of
        self._find_shared_link = find_shared_link
        self._links: dict[str, Link] = {}
        self._locks: dict[str, trio.Lock] = {}
        self._last_used_at: dict[str, float] = {}
        self._retired_links: list[Link] = []
        self._nursery: trio.Nursery | None = None

    def find_open(self, name: str) -> Link | None:
        """Return an open link to a member that is not suspected, or None."""
        link = (
            self._find_shared_link(name) if self._find_shared_link is not None else None
        )
        if link is not None:
            return link
        link = self._links.get(name)
        if link is None or not link.is_open or link.is_suspected:
            return None
        self._last_used_at[name] = trio.current_time()
        return link

    async def get(self, name: str) -> Link:
        """Return a link to a member, opening one if needed.

        Raises
        ------
        PeerError
            The member is unknown or cannot be reached.
        AuthError
            The peer does not hold the shared secret.
        """
        link = self.find_open(name)
        if link is not None:
            return link
        lock = self._locks.setdefault(name, trio.Lock())
        async with lock:
            link = self.find_open(name)
            if link is not None:
                return link
            return await self._open(name)

    async def call(
        self, name: str, method: int, body: bytes, timeout_s: float
    ) -> bytes:
        """Call a method of a member, opening a link if needed.

        Parameters
        ----------
        name : str
            Name of the member.
        method : int
            Method number.
        body : bytes
            Encoded message.
        timeout_s : float
            Time limit in seconds for opening the link and the call together.

        Returns
        -------
        bytes
            Encoded response.

        Raises
        ------
        PeerError
            The call timed out, or the member cannot be reached.
        AuthError
            The peer does not hold the shared secret.
        """
        with trio.move_on_after(timeout_s):
            link = await self.get(name)
            return await link.call(method, body, timeout_s)
        raise PeerError(f"{name!r} did not respond in time", ResultCode.PEER_TIMEOUT)

    async def _open(self, name: str) -> Link:
        peer_address = self._address_of(name)
        if peer_address is None:
            raise PeerError(f"member {name!r} is unknown")
        link = await self._endpoint.connect(*peer_address, self._purpose)
        if link.peer.name != name:
            link.close()
            raise PeerError(f"{link.peer.name!r} responded instead of {name!r}")
        self._retire(name)
        self._links[name] = link
        self._last_used_at[name] = trio.current_time()
        assert self._nursery is not None
        self._nursery.start_soon(self._endpoint.run_link, link)
        return link

    def _retire(self, name: str) -> None:
        """Keep a replaced link open until its streams have closed."""
        link = self._links.pop(name, None)
        if link is not None and link.is_open:
            self._retired_links.append(link)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Drive the links and close idle links until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(SWEEP_INTERVAL_S)
                self._close_idle_links(trio.current_time())

    def _close_idle_links(self, now: float) -> None:
        for link in self._retired_links:
            if link.stream_count == 0:
                link.close()
        self._retired_links = [link for link in self._retired_links if link.is_open]
        for name, link in tuple(self._links.items()):
            is_idle = now - self._last_used_at.get(name, now) > IDLE_TIMEOUT_S
            if is_idle and link.stream_count == 0:
                link.close()
            if not link.is_open:
                del self._links[name]
