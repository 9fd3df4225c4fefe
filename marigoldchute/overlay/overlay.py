"""Keeps the links of the overlay and spreads records over them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from marigoldchute.errors import AuthError, PeerError, ResultCode
from marigoldchute.overlay.dialling import DialSchedule
from marigoldchute.overlay.flooding import Flooding
from marigoldchute.overlay.repair import Repair, push

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from marigoldchute.link.endpoint import LinkEndpoint
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.overlay.records import Record, RecordTable

FLOOD_BATCH_S = 0.005
ANTI_ENTROPY_S = 10.0
LATER_COMPARE_S = 0.6  # A few trips between regions.
MAINTAIN_S = 0.25
SIMULTANEOUS_S = 7.5
UNWANTED_CLOSE_S = 15.0
RETIRE_LIMIT_S = 10.0  # Longer than requests last.
RETIRE_UNUSED_S = 1.0  # A request that was sent before the peer switched has come.
RETIRE_POLL_S = 0.1


class PeerDirectory(Protocol):
    """Where the overlay learns whom to connect to and says whom it cannot reach."""

    def wanted(self) -> dict[str, tuple[str, int]]:
        """Return the address and port of each peer to keep a link to."""

    def seeds(self) -> list[tuple[str, int]]:
        """Return addresses to try while no peer is linked."""

    def take_strangers(self) -> list[tuple[str, int]]:
        """Return addresses to dial once, whatever is linked."""

    def link_lost(self, name: str, refused: bool, now: float) -> None:
        """Take note that a wanted peer cannot be reached."""

    def link_up(self, name: str, incarnation: int, now: float) -> None:
        """Take note that a peer is linked."""


class Overlay:
    """Links to neighbours, over which new records are spread and compared.

    Parameters
    ----------
    endpoint : LinkEndpoint
        Opens links; knows who this member is.
    handlers : Handlers
        Where the calls of the overlay are registered.
    table : RecordTable
        Records that are spread.
    rng : random.Random
        Spreads the times of dialling and comparing.
    """

    def __init__(
        self,
        endpoint: LinkEndpoint,
        handlers: Handlers,
        table: RecordTable,
        rng: random.Random,
    ) -> None:
        self._name = endpoint.local.name
        self._flooding = Flooding(endpoint.local)
        self._endpoint = endpoint
        self._rng = rng
        self._repair = Repair(table, handlers)
        self._schedule = DialSchedule(rng)
        self._neighbours: dict[str, _Neighbour] = {}
        self._dialling: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._directory: PeerDirectory | None = None
        self.on_neighbour: list[Callable[[Link], None]] = []
        table.on_change(self._flood)

    def neighbours(self) -> list[Link]:
        """Return the live control links, one for each linked peer."""
        return [item.link for item in self._neighbours.values() if item.link.alive]

    def synced_neighbours(self) -> list[Link]:
        """Return the live control links over which records were compared."""
        return [
            item.link
            for item in self._neighbours.values()
            if item.link.alive and item.synced
        ]

    def is_linked(self, name: str) -> bool:
        """Whether a control link to a peer is up and heard."""
        return self.link_to(name) is not None

    def link_to(self, name: str) -> Link | None:
        """Return the control link to a peer if it is up and heard."""
        neighbour = self._neighbours.get(name)
        if neighbour is None:
            return None
        link = neighbour.link
        return link if link.alive and not link.suspect else None

    def accept(self, link: Link) -> None:
        """Use a control link that a peer opened."""
        if self._nursery is None:
            link.close()
            return
        self._nursery.start_soon(self._serve_neighbour, link)

    def reset(self) -> None:
        """Close every link and dial anew, after this process was paused."""
        self._schedule.clear()
        for neighbour in tuple(self._neighbours.values()):
            neighbour.link.close()

    async def run(self, directory: PeerDirectory) -> None:
        """Keep the wanted links until cancelled."""
        self._directory = directory
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                wanted = directory.wanted()
                self._dial_missing(wanted, directory)
                self._close_unwanted(wanted)
                await trio.sleep(MAINTAIN_S * self._rng.uniform(0.5, 1.5))

    def _dial_missing(
        self, wanted: dict[str, tuple[str, int]], directory: PeerDirectory
    ) -> None:
        targets = dict(wanted)
        if not self._neighbours:
            targets |= {f"{a}:{p}": (a, p) for a, p in directory.seeds()}
        targets |= {f"{a}:{p}": (a, p) for a, p in directory.take_strangers()}
        assert self._nursery is not None
        for name, (address, port) in targets.items():
            if self.is_linked(name) or name in self._dialling:
                continue
            if not self._schedule.admit(name, trio.current_time()):
                continue
            self._dialling.add(name)
            self._nursery.start_soon(self._dial, name, address, port)

    def _close_unwanted(self, wanted: dict[str, tuple[str, int]]) -> None:
        """Close links that this node opened and does not need any more.

        Requests travel on these links too, so one that is still used stays open.
        """
        if len(wanted.keys() & self._neighbours.keys()) == 0:
            return
        for name, neighbour in self._neighbours.items():
            link = neighbour.link
            unused = link.unused_s > UNWANTED_CLOSE_S
            if link.opened_here and name not in wanted and unused:
                link.close()

    async def _dial(self, name: str, address: str, port: int) -> None:
        try:
            link = await self._endpoint.connect(address, port, "control")
        except (PeerError, AuthError) as exc:
            refused = exc.code is ResultCode.PEER_REFUSED
            self._note_failure(name, refused)
            return
        finally:
            self._dialling.discard(name)
        self._schedule.succeed(name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._endpoint.run_link, link)
            nursery.start_soon(self._serve_neighbour, link)

    def _note_failure(self, name: str, refused: bool) -> None:
        now = trio.current_time()
        self._schedule.fail(name, now)
        if self._directory is not None:
            self._directory.link_lost(name, refused, now)

    async def _serve_neighbour(self, link: Link) -> None:
        neighbour = _Neighbour(link)
        peer = link.peer
        if peer.name == self._name:
            link.close()
            return
        if not self._take_over(peer.name, link):
            self._retire(link)
            return
        self._neighbours[peer.name] = neighbour
        assert self._directory is not None
        self._directory.link_up(peer.name, peer.incarnation, trio.current_time())
        for listener in self.on_neighbour:
            listener(link)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push_records, neighbour)
            nursery.start_soon(self._run_repair, neighbour)
            await link.closed.wait()
            nursery.cancel_scope.cancel()
        if self._neighbours.get(peer.name) is neighbour:
            del self._neighbours[peer.name]
            self._directory.link_lost(peer.name, False, trio.current_time())

    def _take_over(self, name: str, link: Link) -> bool:
        """Decide between a new link and the one held; close the held one if it loses.

        The newer link wins, because its opener had cause to open it. Only when both
        ends connected at the same time do both keep the link of the lower name.
        """
        held = self._neighbours.get(name)
        if held is None or not held.link.alive:
            return True
        old = held.link
        simultaneous = (
            old.opened_here != link.opened_here
            and old.age_s < SIMULTANEOUS_S
            and not old.suspect
            and old.peer.incarnation == link.peer.incarnation
        )
        lower_opened_old = old.opened_here == (self._name < name)
        if simultaneous and lower_opened_old:
            return False
        self._retire(old)
        return True

    def _retire(self, link: Link) -> None:
        """Close a link that another one replaces, once nothing comes on it any more."""
        if link.suspect:
            link.close()
        else:
            assert self._nursery is not None
            self._nursery.start_soon(_close_when_idle, link)

    def _flood(self, record: Record, source: str) -> None:
        for name in self._spread_targets(source):
            self._neighbours[name].queue(record)

    def spread_links(self, source: str = "") -> list[Link]:
        """Return the links over which news from a neighbour go on.

        Parameters
        ----------
        source : str
            The neighbour; empty for news of this member.
        """
        return [self._neighbours[name].link for name in self._spread_targets(source)]

    def _spread_targets(self, source: str) -> set[str]:
        origin = self._neighbours.get(source)
        heard = [
            item.link.peer
            for item in self._neighbours.values()
            if item.link.alive and not item.link.suspect
        ]
        return self._flooding.targets(origin.link.peer if origin else None, heard)

    async def _push_records(self, neighbour: _Neighbour) -> None:
        while True:
            await neighbour.ready.wait()
            await trio.sleep(FLOOD_BATCH_S)
            try:
                push(neighbour.link, neighbour.take())
            except PeerError:
                return

    async def _run_repair(self, neighbour: _Neighbour) -> None:
        if self._compares_with_region(neighbour.link.peer.region):
            # By then most of what differs has come from there, and is not sent again.
            await trio.sleep(LATER_COMPARE_S * self._rng.uniform(0.5, 1.5))
        neighbour.compares = True
        while True:
            try:
                await self._repair.run_once(neighbour.link)
                neighbour.synced = True
            except PeerError:
                if not neighbour.link.alive:
                    return
            await trio.sleep(ANTI_ENTROPY_S * self._rng.uniform(0.5, 1.5))

    def _compares_with_region(self, region: str) -> bool:
        """Whether records were or are compared with a neighbour of a region."""
        return any(
            item.compares and item.link.alive and item.link.peer.region == region
            for item in self._neighbours.values()
        )


async def _close_when_idle(link: Link) -> None:
    with trio.move_on_after(RETIRE_LIMIT_S):
        while link.alive and link.unused_s < RETIRE_UNUSED_S:
            await trio.sleep(RETIRE_POLL_S)
    link.close()


class _Neighbour:
    """A linked peer and the records that wait to be pushed to it."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.ready = trio.Event()
        self.compares = False
        self.synced = False
        self._waiting: dict[tuple[int, str], Record] = {}

    def queue(self, record: Record) -> None:
        self._waiting[(record.kind, record.key)] = record
        self.ready.set()

    def take(self) -> list[Record]:
        records = list(self._waiting.values())
        self._waiting.clear()
        self.ready = trio.Event()
        return records
