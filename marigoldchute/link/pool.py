"""Links to any member, opened when needed and closed when idle."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import PeerError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.link.endpoint import LinkEndpoint
    from marigoldchute.link.link import Link

IDLE_CLOSE_S = 60.0
SWEEP_S = 5.0


class LinkPool:
    """One link for each peer in use.

    Parameters
    ----------
    endpoint : LinkEndpoint
        Opens the links.
    purpose : str
        ``control`` or ``traffic``.
    address_of : callable
        Returns the address and port of a member by name, or None.
    shared : callable, optional
        Returns a link to a member that is held for another purpose and can be used,
        or None.
    """

    def __init__(
        self,
        endpoint: LinkEndpoint,
        purpose: str,
        address_of: Callable[[str], tuple[str, int] | None],
        shared: Callable[[str], Link | None] | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._purpose = purpose
        self._address_of = address_of
        self._shared = shared
        self._links: dict[str, Link] = {}
        self._locks: dict[str, trio.Lock] = {}
        self._used_at: dict[str, float] = {}
        self._retired: list[Link] = []
        self._nursery: trio.Nursery | None = None

    def live(self, name: str) -> Link | None:
        """Return the open link to a member, if one is heard."""
        link = self._shared(name) if self._shared is not None else None
        if link is not None:
            return link
        link = self._links.get(name)
        if link is None or not link.alive or link.suspect:
            return None
        self._used_at[name] = trio.current_time()
        return link

    async def get(self, name: str) -> Link:
        """Return a link to a member, opening it when needed.

        Raises
        ------
        PeerError
            The member is not known or cannot be reached.
        AuthError
            The peer does not hold the shared secret.
        """
        link = self.live(name)
        if link is not None:
            return link
        lock = self._locks.setdefault(name, trio.Lock())
        async with lock:
            link = self.live(name)
            if link is not None:
                return link
            return await self._open(name)

    async def call(
        self, name: str, method: int, body: bytes, timeout_s: float
    ) -> bytes:
        """Call a method of a member, opening a link when needed.

        Parameters
        ----------
        name : str
            Member.
        method : int
            Method number.
        body : bytes
            Encoded message.
        timeout_s : float
            Time limit in seconds of opening and calling together.

        Returns
        -------
        bytes
            Encoded reply.

        Raises
        ------
        PeerError
            No reply in time, or the member cannot be reached.
        AuthError
            The peer does not hold the shared secret.
        """
        with trio.move_on_after(timeout_s):
            link = await self.get(name)
            return await link.call(method, body, timeout_s)
        raise PeerError(f"{name!r} did not reply in time", ResultCode.PEER_TIMEOUT)

    async def _open(self, name: str) -> Link:
        target = self._address_of(name)
        if target is None:
            raise PeerError(f"member {name!r} is not known")
        link = await self._endpoint.connect(*target, self._purpose)
        if link.peer.name != name:
            link.close()
            raise PeerError(f"{link.peer.name!r} answered for {name!r}")
        self._retire(name)
        self._links[name] = link
        self._used_at[name] = trio.current_time()
        assert self._nursery is not None
        self._nursery.start_soon(self._endpoint.run_link, link)
        return link

    def _retire(self, name: str) -> None:
        """Let the streams of a replaced link end before it is closed."""
        link = self._links.pop(name, None)
        if link is not None and link.alive:
            self._retired.append(link)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Drive the links and close idle ones until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(SWEEP_S)
                self._sweep(trio.current_time())

    def _sweep(self, now: float) -> None:
        for link in self._retired:
            if link.stream_count == 0:
                link.close()
        self._retired = [link for link in self._retired if link.alive]
        for name, link in tuple(self._links.items()):
            idle = now - self._used_at.get(name, now) > IDLE_CLOSE_S
            if idle and link.stream_count == 0:
                link.close()
            if not link.alive:
                del self._links[name]
