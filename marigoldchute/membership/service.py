"""Membership: the members known to this node and what it tells them of itself."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.membership.model import BackendServer, Member, MemberState
from marigoldchute.overlay.duties import Duties
from marigoldchute.overlay.records import Record, RecordKind
from marigoldchute.overlay.topology import wanted_peers

if TYPE_CHECKING:
    from marigoldchute.config import NodeSettings
    from marigoldchute.events import EventLog
    from marigoldchute.overlay.records import RecordTable

UNREACHABLE_AFTER_S = 3.0
ANNOUNCEMENT_TTL_S = 3.0

_MEMBER = msgspec.msgpack.Decoder(Member)


class Membership:
    """Holds the member records and publishes the local one.

    A member writes its own record under rank ``(incarnation, 2 * sequence)``. Another
    node may claim that it is unreachable under the odd rank above; the member answers
    with its next sequence, so a claim about a reachable member does not last.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        incarnation: int,
        table: RecordTable,
        log: EventLog,
    ) -> None:
        self._cfg = cfg
        self._table = table
        self._log = log
        self._members: dict[str, Member] = {}
        self._generation = 0
        self._wanted: tuple[int, dict[str, tuple[str, int]]] = (-1, {})
        self.duties = Duties(self)
        self._lost_at: dict[str, float] = {}
        self._announced: dict[str, tuple[BackendServer, float]] = {}
        self._local = Member(
            name=cfg.name,
            incarnation=incarnation,
            sequence=0,
            address=cfg.advertise_address or cfg.address,
            peer_port=cfg.peer_port,
            data_centre=cfg.data_centre,
            region=cfg.region,
        )
        table.subscribe(RecordKind.MEMBER, self._take_record)
        self._publish()

    @property
    def local(self) -> Member:
        """The member record of this node."""
        return self._local

    @property
    def generation(self) -> int:
        """Rises with each change of the members."""
        return self._generation

    def all(self) -> tuple[Member, ...]:
        """Return every known member that is not gone, this node included."""
        return tuple(
            member
            for member in self._members.values()
            if member.state is not MemberState.GONE
        )

    def get(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._members.get(name)

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Return the address and port under which peers reach a member."""
        member = self._members.get(name)
        return None if member is None else (member.address, member.peer_port)

    def announce(self, server: BackendServer, now: float) -> None:
        """Take an announcement of a backend server on this VM."""
        self._announced[server.server_id] = (server, now)
        self._update_servers()

    def expire_announcements(self, now: float) -> None:
        """Drop backend servers that have not announced themselves for the TTL."""
        for server_id, (_, heard_at) in tuple(self._announced.items()):
            if now - heard_at > ANNOUNCEMENT_TTL_S:
                del self._announced[server_id]
        self._update_servers()

    def drain(self) -> None:
        """Tell the mesh that this node takes no new requests."""
        self._change(state=MemberState.DRAINING)

    def wanted(self) -> dict[str, tuple[str, int]]:
        """Return the address and port of each peer to keep a link to."""
        if self._wanted[0] != self._generation:
            names = wanted_peers(self._local, self.all())
            targets = {
                name: (self._members[name].address, self._members[name].peer_port)
                for name in names
            }
            self._wanted = (self._generation, targets)
        return self._wanted[1]

    def seeds(self) -> list[tuple[str, int]]:
        """Return the seeds of the settings, other than this node."""
        own = (self._local.address, self._local.peer_port)
        pairs = [seed.rsplit(":", 1) for seed in self._cfg.seeds]
        found = [(address, int(port)) for address, port in pairs]
        return [pair for pair in found if pair != own]

    def link_up(self, name: str, incarnation: int, now: float) -> None:
        """Take note that a peer is linked."""
        self._lost_at.pop(name, None)

    def link_lost(self, name: str, now: float) -> None:
        """Take note that a wanted peer cannot be reached."""
        if name in self._members:
            self._lost_at.setdefault(name, now)

    def check_lost(self, now: float) -> None:
        """Claim as unreachable the peers that stay lost."""
        for name, lost_at in tuple(self._lost_at.items()):
            if now - lost_at < UNREACHABLE_AFTER_S:
                continue
            del self._lost_at[name]
            member = self._members.get(name)
            if member is not None and member.state is MemberState.ALIVE:
                self._claim_unreachable(member)

    def _claim_unreachable(self, member: Member) -> None:
        claim = dataclasses.replace(member, state=MemberState.UNREACHABLE)
        rank = (member.incarnation, 2 * member.sequence + 1)
        body = msgspec.msgpack.encode(claim)
        self._table.offer(Record(RecordKind.MEMBER, member.name, rank, body))

    def _update_servers(self) -> None:
        servers = tuple(server for server, _ in self._announced.values())
        if servers != self._local.servers:
            self._change(servers=servers)

    def _change(self, **changes: object) -> None:
        sequence = self._local.sequence + 1
        self._local = dataclasses.replace(self._local, sequence=sequence, **changes)  # type: ignore[arg-type]
        self._publish()

    def _publish(self) -> None:
        local = self._local
        rank = (local.incarnation, 2 * local.sequence)
        body = msgspec.msgpack.encode(local)
        self._table.offer(Record(RecordKind.MEMBER, local.name, rank, body))

    def _take_record(self, record: Record) -> None:
        member = _MEMBER.decode(record.body)
        held = self._members.get(member.name)
        self._members[member.name] = member
        self._generation += 1
        if member.name == self._local.name:
            self._refute(member)
        elif held is None or held.state != member.state:
            self._log.emit(
                "membership",
                member.state.name.lower(),
                f"{member.name} is {member.state.name.lower()}.",
                member=member.name,
                incarnation=member.incarnation,
            )

    def _refute(self, member: Member) -> None:
        if member == self._local or member.incarnation != self._local.incarnation:
            return
        if member.sequence >= self._local.sequence:
            sequence = member.sequence
            self._local = dataclasses.replace(self._local, sequence=sequence)
            self._change()
