"""Hosted mesh in one process and in simulated time: links, readers and bundles."""

from __future__ import annotations

import dataclasses
import hashlib
import math
import random
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import BundleContent, Route, Service
from marigoldchute.errors import PeerError, PlatformError
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.bundle_topic import BundleTopic
from marigoldchute.hosted.catalog import Catalog
from marigoldchute.hosted.directory import Directory
from marigoldchute.hosted.reader import StoreReader
from marigoldchute.hosted.reader_duty import ReaderDuty
from marigoldchute.hosted.rejections import Rejections
from marigoldchute.hosted.relay import BundleRelay
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.handshake import PeerIdentity
from marigoldchute.membership.claims import own_record
from marigoldchute.membership.model import Member
from marigoldchute.objectstore.caller import MAX_TRANSFER_S
from marigoldchute.objectstore.documents import Document, DocumentPage
from marigoldchute.overlay.flooding import Flooding
from marigoldchute.overlay.records import RecordTable
from marigoldchute.platform.settings import STORE_TIMEOUT_MS
from tests.support.simulation import run_simulated

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

IN_REGION_S, BETWEEN_REGIONS_S = 0.001, 0.03
SUSPECTED_AFTER_S, LOST_AFTER_S = 1.125, 1.5  # Heartbeats twice a second.
MAINTENANCE_INTERVAL_S = 0.25
STORE_TIMEOUT_S = STORE_TIMEOUT_MS / 1000
SETTLING_S = 3.0
# Of a connection, beside the requests that it carries.
FREE_BYTES_PER_MBIT = 0.6 * 125_000
# A message up to this size passes between the packets of larger ones.
SMALL_MESSAGE_BYTES = 1_000
PIECE_BYTES = 16_384  # Of a response of the store.
DOCUMENT_BYTES_PER_ROUTE = 170  # As the platform encodes them, in JSON.
CONTENT = BundleContent((Service("turnos", ""),), (Route("a", "/a/", "turnos"),))


def make_content(count: int, version: int = 0) -> BundleContent:
    """Return a content with a number of routes, of which one names the version."""
    routes = [Route("version", f"/version-{version}/", "turnos")]
    for index in range(count):
        # Names as random as the platform's, which leave little to compress.
        digest = hashlib.blake2b(str(index).encode(), digest_size=5).hexdigest()
        prefix, host = f"/{digest[:6]}/", f"{digest[6:]}.example"
        routes.append(Route(f"route-{digest}", prefix, "turnos", host=host))
    return BundleContent((Service("turnos", ""),), tuple(routes))


class _Api:
    kind, name = "config", "main"

    def __init__(self, mesh: BundleMesh) -> None:
        self._mesh = mesh

    def decode(self, document: Document) -> tuple[int, BundleContent]:
        return document.revision, self._mesh.contents[document.revision]


class FakeStore:
    """The store as one node sees it; it keeps each change of its only document."""

    def __init__(self, mesh: BundleMesh, node: Node) -> None:
        self._mesh = mesh
        self._node = node

    async def list(
        self, kind: str, stale_allowed: bool = False, on_piece: Any = None
    ) -> DocumentPage:
        return await self._read(kind, None, 0, on_piece)

    async def changes(
        self, kind: str, after: int, wait_ms: int, on_piece: Any = None
    ) -> DocumentPage:
        """Wait for a change; fail late while the store is silent for this node."""
        return await self._read(kind, after, wait_ms, on_piece)

    async def _read(
        self, kind: str, after: int | None, wait_ms: int, on_piece: Any
    ) -> DocumentPage:
        mesh, node = self._mesh, self._node
        with trio.move_on_after(STORE_TIMEOUT_S + wait_ms / 1000) as scope:
            await node.pause()
            await trio.sleep(2 * mesh.store_latency_s(node))
            with trio.move_on_after(wait_ms / 1000):
                await mesh.wait_for_change(
                    mesh.revision - 1 if after is None else after
                )
            if node.member.name in mesh.without_store:
                await trio.sleep_forever()
            revisions = [mesh.revision]
            if after is not None:
                revisions = [r for r in mesh.contents if r > after]
            routes = sum(len(mesh.contents[r].routes) for r in revisions)
            revision = mesh.revision
            started_at = trio.current_time()
            scope.deadline = started_at + MAX_TRANSFER_S
            await mesh.receive_from_store(
                node, routes * DOCUMENT_BYTES_PER_ROUTE, on_piece
            )
            documents = tuple(Document(kind, "main", r, None) for r in revisions)
            return DocumentPage(documents, revision, trio.current_time() - started_at)
        raise PlatformError("store sent no response")


class FakeLink:
    """One end of a link between two nodes."""

    def __init__(self, node: Node, to: Node) -> None:
        self.peer = to.identity
        self.is_open = True
        self.reverse: FakeLink = self
        self._node, self._to = node, to

    def is_usable(self, now: float) -> bool:
        silent_since = self._node.mesh.silent_since(self._node, self._to)
        return self.is_open and now - silent_since <= SUSPECTED_AFTER_S

    def notify(self, method: int, body: bytes) -> None:
        if not self.is_open:
            raise PeerError("closed")
        self._node.mesh.nursery.start_soon(self._deliver, method, body)

    async def _deliver(self, method: int, body: bytes) -> bytes:
        await self._node.pause()
        await self._node.mesh.transfer(self._node, self._to, len(body))
        if math.isfinite(self._node.mesh.silent_since(self._node, self._to)):
            await trio.sleep_forever()
        await self._to.pause()
        handler: Any = self._to.handlers.find(method)
        response: bytes = await handler(self.reverse, body)
        return response

    async def call(self, method: int, body: bytes, timeout_s: float) -> bytes:
        response: list[bytes] = []
        failure: list[PeerError] = []

        async def run() -> None:
            try:
                data = await self._deliver(method, body)
            except PeerError as exc:
                failure.append(exc)
            else:
                await self._node.mesh.transfer(self._to, self._node, len(data))
                await self._node.pause()
                response.append(data)
            done.set()

        done = trio.Event()
        self._node.mesh.nursery.start_soon(run)
        with trio.move_on_after(timeout_s):
            await done.wait()
        if not response:
            raise failure[0] if failure else PeerError("did not respond in time")
        return response[0]


class Node:
    """Links, reader, relay and catalog of one node; ``delay_s`` makes it slow.

    ``bytes_per_s`` is the rate of its connection to the network, in each direction.
    """

    def __init__(self, mesh: BundleMesh, member: Member, rng: random.Random) -> None:
        self.mesh, self.member = mesh, member
        self.identity = PeerIdentity(member.name, 1, member.data_centre, member.region)
        self.scope = trio.CancelScope()
        self.delay_s = 0.0
        self.bytes_per_s = member.link_mbps * FREE_BYTES_PER_MBIT or math.inf
        self.uplink, self.downlink = trio.Lock(), trio.Lock()
        self.links: dict[str, FakeLink] = {}
        self.handlers = Handlers()
        self.events = MemoryEventLog()
        self.neighbour_listeners: list[Callable[[FakeLink], None]] = []
        log: Any = self.events
        overlay: Any = self
        self.table = RecordTable()
        self.directory = Directory(member, self.table, log)
        self.catalog = Catalog(InForce(), log)
        self.relay = BundleRelay(
            self.catalog, overlay, self.handlers, log, rng, member.link_mbps
        )
        self.duty = ReaderDuty(self.directory)
        api: Any = _Api(mesh)
        topic = BundleTopic(api, self.catalog, Rejections(), log)
        store: Any = FakeStore(mesh, self)
        self.reader = StoreReader(
            store, [topic], self.duty, overlay, self.handlers, log, rng
        )
        self._flooding = Flooding(self.identity)

    async def pause(self) -> None:
        """Wait for as long as this node needs for a message."""
        if self.delay_s:
            await trio.sleep(self.delay_s)

    async def run(self) -> None:
        self.duty.start_timeout(trio.current_time())
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.relay.run)
                nursery.start_soon(self.reader.run)

    def lose_link(self, name: str) -> None:
        del self.links[name]
        self.directory.link_lost(name, False, trio.current_time())

    # The interface of the overlay.

    def neighbours(self) -> list[FakeLink]:
        return [link for link in self.links.values() if link.is_open]

    synced_neighbours = neighbours

    def request_compare(self, link: FakeLink) -> None:
        pass

    def flood_links(self, source: str = "") -> list[FakeLink]:
        now = trio.current_time()
        peers = [link.peer for link in self.links.values() if link.is_usable(now)]
        origin = self.links[source].peer if source in self.links else None
        return [self.links[n] for n in self._flooding.targets(origin, peers)]


@dataclasses.dataclass(frozen=True)
class Layout:
    """Nodes of a mesh and the data centres among which they are distributed.

    The store is in the first region.
    """

    nodes: int
    data_centres: tuple[tuple[str, str], ...]


class BundleMesh:
    """Mesh whose links, nodes and ways to the store can be cut.

    ``link_mbps`` returns the rate of the connection of the n-th node; 0 for no limit.
    """

    def __init__(
        self,
        layout: Layout,
        seed: int,
        link_mbps: Callable[[int], float] = lambda index: 0.0,
    ) -> None:
        self._seed = seed
        self.rng = random.Random(seed)
        self.revision = 1
        self.contents = {self.revision: CONTENT}
        self.settling_s = SETTLING_S
        # All messages between two regions share one link in each direction.
        self.region_bytes_per_s = math.inf
        self._region_links = {region: trio.Lock() for _, region in layout.data_centres}
        self.without_store: set[str] = set()
        self._changed = trio.Event()
        self._cuts: list[tuple[Callable[[Member, Member], bool], float, float]] = []
        self._store_region = layout.data_centres[0][1]
        members = [
            dataclasses.replace(self._make_member(i, layout), link_mbps=link_mbps(i))
            for i in range(layout.nodes)
        ]
        self.nodes = {
            m.name: Node(self, m, random.Random(self.rng.random())) for m in members
        }
        self.nursery: trio.Nursery
        records = [own_record(member) for member in members]
        for node in self.nodes.values():
            for record in records:
                if record.key != node.member.name:
                    node.table.apply(record, "peer")

    def _make_member(self, index: int, layout: Layout) -> Member:
        place = index % len(layout.data_centres)
        data_centre, region = layout.data_centres[place]
        store_ms = 5 if region == self._store_region else 65
        return Member(
            f"vm-{index}-{self.rng.randrange(10**6)}",
            1,
            0,
            "10.0.0.1",
            index + 1,
            data_centre,
            region,
            store_ms=store_ms,
        )

    def run(self, scenario: Callable[[BundleMesh], Any]) -> None:
        """Start the mesh, let it settle and play a scenario."""

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self._maintain_links)
                for node in self.nodes.values():
                    nursery.start_soon(node.run)
                await trio.sleep(self.settling_s)
                await scenario(self)
                nursery.cancel_scope.cancel()

        run_simulated(main, self._seed)

    def latency_s(self, node: Node, to: Node) -> float:
        same = node.member.region == to.member.region
        return IN_REGION_S if same else BETWEEN_REGIONS_S

    def store_latency_s(self, node: Node) -> float:
        near = node.member.region == self._store_region
        return IN_REGION_S if near else BETWEEN_REGIONS_S

    async def transfer(self, node: Node, to: Node, size: int) -> None:
        """Wait until a message between two nodes has arrived."""
        if size > SMALL_MESSAGE_BYTES:
            async with node.uplink:
                await trio.sleep(size / node.bytes_per_s)
            if node.member.region != to.member.region:
                async with self._region_links[node.member.region]:
                    await trio.sleep(size / self.region_bytes_per_s)
        await trio.sleep(self.latency_s(node, to))
        await self._receive(to, size, node.bytes_per_s)

    async def receive_from_store(
        self, node: Node, size: int, on_piece: Callable[[], None] | None
    ) -> None:
        """Wait until a response of the store has arrived, after its first byte."""
        while size > 0:
            piece = min(size, PIECE_BYTES)
            if node.member.region != self._store_region:
                async with self._region_links[self._store_region]:
                    await trio.sleep(piece / self.region_bytes_per_s)
            await self._receive(node, piece, math.inf)
            if on_piece is not None:
                on_piece()
            size -= piece

    async def _receive(self, node: Node, size: int, sent_per_s: float) -> None:
        """Wait for what the connection of a node delays beyond that of the sender."""
        delay_s = size / node.bytes_per_s - size / sent_per_s
        if size > SMALL_MESSAGE_BYTES and delay_s > 0.0:
            async with node.downlink:
                await trio.sleep(delay_s)

    def restart(self, names: Iterable[str]) -> None:
        """End the processes of nodes; new ones start at once, without a bundle."""
        names = dict.fromkeys(names)  # In their order, unlike a set.
        for name in names:
            old = self.nodes[name]
            old.scope.cancel()
            for peer, link in old.links.items():
                link.is_open = link.reverse.is_open = False
                if peer not in names:
                    self.nodes[peer].lose_link(name)
            member = dataclasses.replace(
                old.member, incarnation=old.member.incarnation + 1
            )
            self.nodes[name] = Node(self, member, random.Random(self.rng.random()))
        for node in self.nodes.values():
            for other in self.nodes.values():
                if other is not node:
                    node.table.apply(own_record(other.member), "peer")
        for name in names:
            self.nursery.start_soon(self.nodes[name].run)

    def put_change(self, content: BundleContent = CONTENT) -> int:
        """Confirm a change; return its revision."""
        self.revision += 3
        self.contents[self.revision] = content
        self._changed.set()
        self._changed = trio.Event()
        return self.revision

    async def wait_for_change(self, after: int) -> None:
        while self.revision <= after:
            await self._changed.wait()

    def cut(
        self,
        separates: Callable[[Member, Member], bool],
        duration_s: float = math.inf,
    ) -> None:
        """Lose all messages between two members, in either direction, for a time."""
        now = trio.current_time()
        self._cuts.append((separates, now, now + duration_s))

    def cut_off(self, names: Iterable[str]) -> None:
        """Cut nodes off from every other node."""
        cut = set(names)
        self.cut(lambda a, b: a.name in cut or b.name in cut)

    def silent_since(self, node: Node, to: Node) -> float:
        """Return the time since which two nodes are cut, infinity if they are not."""
        ends, now = (node.member, to.member), trio.current_time()
        times = [
            at
            for separates, at, until in self._cuts
            if separates(*ends) and now < until
        ]
        return min(times, default=math.inf)

    def readers(self) -> list[str]:
        """Return the nodes that read the store."""
        now = trio.current_time()
        return [n for n, node in self.nodes.items() if node.reader.is_reading(now)]

    async def wait_until_in_force(
        self, revision: int, names: Iterable[str], limit_s: float
    ) -> list[str]:
        """Return the nodes on which a revision is not in force after a time."""
        await trio.sleep(limit_s)
        nodes = self.nodes
        return [n for n in names if nodes[n].catalog.revision < revision]

    def components(self, names: Iterable[str]) -> list[set[str]]:
        """Return the parts into which the links between some nodes divide them."""
        remaining = set(names)
        parts: list[set[str]] = []
        while remaining:
            part, pending = set(), [remaining.pop()]
            while pending:
                name = pending.pop()
                part.add(name)
                linked = self.nodes[name].links.keys() & remaining
                remaining -= linked
                pending += linked
            parts.append(part)
        return parts

    async def _maintain_links(self) -> None:
        while True:
            nodes = list(self.nodes.values())
            for node in nodes:
                for name in node.directory.wanted_peers():
                    self._link(node, self.nodes[name])
                for _, port in node.directory.pop_one_time_addresses():
                    self._link(node, nodes[port - 1])
            self._close_lost()
            await trio.sleep(MAINTENANCE_INTERVAL_S)

    def _link(self, node: Node, to: Node) -> None:
        cut = math.isfinite(self.silent_since(node, to))
        if to.member.name in node.links or cut:
            return
        link, reverse = FakeLink(node, to), FakeLink(to, node)
        link.reverse, reverse.reverse = reverse, link
        for end, near, far in ((link, node, to), (reverse, to, node)):
            near.links[far.member.name] = end
            near.directory.link_up(far.member.name, 1, trio.current_time())
            for listener in near.neighbour_listeners:
                listener(end)

    def _close_lost(self) -> None:
        now = trio.current_time()
        for node in self.nodes.values():
            for name, link in tuple(node.links.items()):
                silent_since = self.silent_since(node, self.nodes[name])
                if now - silent_since > LOST_AFTER_S:
                    link.is_open = False
                    node.lose_link(name)
