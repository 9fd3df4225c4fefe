"""Maintenance of the links of the overlay and flooding of records over them."""

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

FLOOD_BATCH_INTERVAL_S = 0.005
ANTI_ENTROPY_INTERVAL_S = 10.0
LATER_COMPARE_DELAY_S = 0.6  # A few round trips between regions.
MAINTENANCE_INTERVAL_S = 0.25
SIMULTANEOUS_WINDOW_S = 7.5
UNWANTED_IDLE_S = 15.0
# Requests that the peer sent before it switched links have arrived by then.
RETIRE_IDLE_S = 1.0
RETIRE_POLL_INTERVAL_S = 0.1


class PeerDirectory(Protocol):
    """Source of the peers to connect to and receiver of the state of links."""

    def wanted_peers(self) -> dict[str, tuple[str, int]]:
        """Return the address and port of each peer to keep a link to."""

    def seeds(self) -> list[tuple[str, int]]:
        """Return addresses to try while no peer is linked."""

    def pop_one_time_addresses(self) -> list[tuple[str, int]]:
        """Return addresses to dial once, regardless of existing links."""

    def link_lost(self, name: str, refused: bool, now: float) -> None:
        """Handle a link that has ended or could not be opened.

        ``refused`` tells whether the connection was refused, so that no node listens
        on the port of the peer.
        """

    def link_up(self, name: str, incarnation: int, now: float) -> None:
        """Handle a new link to a peer."""


class Overlay:
    """Links to neighbours, over which records are flooded and compared.

    Parameters
    ----------
    endpoint : LinkEndpoint
        Opens links and holds the identity of this member.
    handlers : Handlers
        Registry for the handlers of the overlay.
    table : RecordTable
        Records to replicate.
    rng : random.Random
        Source of jitter for dialling and comparing.
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
        self._dialling: set[tuple[str, int]] = set()
        self._nursery: trio.Nursery | None = None
        self._directory: PeerDirectory | None = None
        self.neighbour_listeners: list[Callable[[Link], None]] = []
        table.on_change(self._flood)

    def neighbours(self) -> list[Link]:
        """Return the open control links, one for each linked peer."""
        return [item.link for item in self._neighbours.values() if item.link.is_open]

    def synced_neighbours(self) -> list[Link]:
        """Return the open control links over which records were compared."""
        return [
            item.link
            for item in self._neighbours.values()
            if item.link.is_open and item.is_synced
        ]

    def request_compare(self, link: Link) -> None:
        """Compare records with a neighbour for the first time without a delay."""
        neighbour = self._neighbours.get(link.peer.name)
        if neighbour is not None and neighbour.link is link:
            neighbour.compare_requested.set()

    def is_linked(self, name: str) -> bool:
        """Return whether an open, unsuspected control link to a peer exists."""
        return self.link_to(name) is not None

    def link_to(self, name: str) -> Link | None:
        """Return the control link to a peer if it is open and not suspected."""
        neighbour = self._neighbours.get(name)
        if neighbour is None:
            return None
        link = neighbour.link
        return link if link.is_open and not link.is_suspected else None

    def accept(self, link: Link) -> None:
        """Use a control link that a peer opened."""
        if self._nursery is None:
            link.close()
            return
        self._nursery.start_soon(self._serve_neighbour, link)

    def reset(self) -> None:
        """Close every link and dial again, after a pause of this process."""
        self._schedule.clear()
        for neighbour in tuple(self._neighbours.values()):
            neighbour.link.close()

    async def run(self, directory: PeerDirectory) -> None:
        """Maintain the wanted links until cancelled."""
        self._directory = directory
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                wanted = directory.wanted_peers()
                self._dial_missing(wanted, directory)
                self._close_unwanted(wanted)
                await trio.sleep(MAINTENANCE_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    def _dial_missing(
        self, wanted: dict[str, tuple[str, int]], directory: PeerDirectory
    ) -> None:
        targets = dict(wanted)
        if not self._neighbours:
            targets |= {f"{a}:{p}": (a, p) for a, p in directory.seeds()}
        targets |= {f"{a}:{p}": (a, p) for a, p in directory.pop_one_time_addresses()}
        assert self._nursery is not None
        for name, (address, port) in targets.items():
            if self.is_linked(name) or (address, port) in self._dialling:
                continue
            if not self._schedule.admit(name, trio.current_time()):
                continue
            self._dialling.add((address, port))
            self._nursery.start_soon(self._dial, name, address, port)

    def _close_unwanted(self, wanted: dict[str, tuple[str, int]]) -> None:
        """Close links that this node opened and no longer wants.

        Links also carry requests, so one that is still used stays open. Nothing is
        closed while no wanted peer is linked.
        """
        if len(wanted.keys() & self._neighbours.keys()) == 0:
            return
        for name, neighbour in self._neighbours.items():
            link = neighbour.link
            is_idle = link.idle_s > UNWANTED_IDLE_S
            if link.is_initiator and name not in wanted and is_idle:
                link.close()

    async def _dial(self, name: str, address: str, port: int) -> None:
        try:
            link = await self._endpoint.connect(address, port, "control")
        except (PeerError, AuthError) as exc:
            refused = exc.code is ResultCode.PEER_REFUSED
            self._handle_dial_failure(name, refused)
            return
        finally:
            self._dialling.discard((address, port))
        self._schedule.record_success(name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._endpoint.run_link, link)
            nursery.start_soon(self._serve_neighbour, link)

    def _handle_dial_failure(self, name: str, refused: bool) -> None:
        now = trio.current_time()
        self._schedule.record_failure(name, now)
        if self._directory is not None:
            self._directory.link_lost(name, refused, now)

    async def _serve_neighbour(self, link: Link) -> None:
        neighbour = _Neighbour(link)
        peer = link.peer
        if peer.name == self._name:
            link.close()
            return
        if not self._replace_link(peer.name, link):
            self._retire(link)
            return
        self._neighbours[peer.name] = neighbour
        assert self._directory is not None
        self._directory.link_up(peer.name, peer.incarnation, trio.current_time())
        for listener in self.neighbour_listeners:
            listener(link)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push_records, neighbour)
            nursery.start_soon(self._run_repair, neighbour)
            await link.lost.wait()
            nursery.cancel_scope.cancel()
        if self._neighbours.get(peer.name) is neighbour:
            del self._neighbours[peer.name]
            self._directory.link_lost(peer.name, False, trio.current_time())

    def _replace_link(self, name: str, link: Link) -> bool:
        """Return whether a new link replaces the existing one, which is then retired.

        The newer link is kept, because its opener had a reason to open it. When both
        ends connected at the same time, both keep the link that the member with the
        lower name opened.
        """
        existing = self._neighbours.get(name)
        if existing is None or not existing.link.is_open:
            return True
        old = existing.link
        simultaneous = (
            old.is_initiator != link.is_initiator
            and old.age_s < SIMULTANEOUS_WINDOW_S
            and not old.is_suspected
            and old.peer.incarnation == link.peer.incarnation
        )
        lower_opened_old = old.is_initiator == (self._name < name)
        if simultaneous and lower_opened_old:
            return False
        if old.is_suspected and old.peer.incarnation != link.peer.incarnation:
            old.close()
        else:
            self._retire(old)
        return True

    def _retire(self, link: Link) -> None:
        """Close a replaced link once it is idle.

        A suspected link may belong to a peer that was only paused and still runs the
        requests on it. If the peer is lost, its missing heartbeats close the link.
        """
        assert self._nursery is not None
        self._nursery.start_soon(_close_when_idle, link)

    def _flood(self, record: Record, source: str) -> None:
        for name in self._flood_targets(source):
            self._neighbours[name].enqueue(record)

    def flood_links(self, source: str = "") -> list[Link]:
        """Return the links over which a message from a neighbour is forwarded.

        Parameters
        ----------
        source : str
            Name of the neighbour; empty for a message of this member.
        """
        return [self._neighbours[name].link for name in self._flood_targets(source)]

    def _flood_targets(self, source: str) -> set[str]:
        origin = self._neighbours.get(source)
        now = trio.current_time()
        reachable = [
            item.link.peer
            for item in self._neighbours.values()
            if item.link.is_usable(now)
        ]
        return self._flooding.targets(origin.link.peer if origin else None, reachable)

    async def _push_records(self, neighbour: _Neighbour) -> None:
        while True:
            await neighbour.has_queued.wait()
            await trio.sleep(FLOOD_BATCH_INTERVAL_S)
            try:
                push(neighbour.link, neighbour.pop_queued())
            except PeerError:
                return

    async def _run_repair(self, neighbour: _Neighbour) -> None:
        if self._compares_with_region(neighbour.link.peer.region):
            # Most differences arrive meanwhile over the other link and are not resent.
            delay_s = LATER_COMPARE_DELAY_S * self._rng.uniform(0.5, 1.5)
            with trio.move_on_after(delay_s):
                await neighbour.compare_requested.wait()
        neighbour.compare_started = True
        while True:
            try:
                await self._repair.synchronize(neighbour.link)
                neighbour.is_synced = True
            except PeerError:
                if not neighbour.link.is_open:
                    return
            await trio.sleep(ANTI_ENTROPY_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    def _compares_with_region(self, region: str) -> bool:
        """Return whether a comparison with a neighbour of a region has started."""
        return any(
            item.compare_started
            and item.link.is_open
            and item.link.peer.region == region
            for item in self._neighbours.values()
        )


async def _close_when_idle(link: Link) -> None:
    while link.is_open and link.idle_s < RETIRE_IDLE_S:
        await trio.sleep(RETIRE_POLL_INTERVAL_S)
    link.close()


class _Neighbour:
    """Linked peer and the records queued for it."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.has_queued = trio.Event()
        self.compare_requested = trio.Event()
        self.compare_started = False
        self.is_synced = False
        self._queued: dict[tuple[int, str], Record] = {}

    def enqueue(self, record: Record) -> None:
        self._queued[(record.kind, record.key)] = record
        self.has_queued.set()

    def pop_queued(self) -> list[Record]:
        records = list(self._queued.values())
        self._queued.clear()
        self.has_queued = trio.Event()
        return records
