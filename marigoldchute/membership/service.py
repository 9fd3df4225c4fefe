"""Membership: the members known to this node and what it tells them of itself."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.events import wall_clock_ms
from marigoldchute.membership.claims import claim_record, own_record
from marigoldchute.membership.contact import Contact, ContactTimes, elapsed_clock
from marigoldchute.membership.losses import Losses
from marigoldchute.membership.model import BackendServer, Member, MemberState
from marigoldchute.overlay.duties import Duties
from marigoldchute.overlay.records import RecordKind
from marigoldchute.overlay.topology import wanted_peers

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.config import NodeSettings
    from marigoldchute.events import EventLog
    from marigoldchute.overlay.records import Record, RecordTable

ANNOUNCEMENT_TTL_S = 3.0
WARM_SHIFT_MS = 500
TOMBSTONE_TTL_MS = 2 * 3600 * 1000

_MEMBER = msgspec.msgpack.Decoder(Member)


class Membership:
    """Holds the member records and publishes the local one.

    A member writes its own record; others may claim that it is unreachable, which it
    refutes with its next sequence, or gone, which ends its incarnation: should it be
    alive after all, it goes on under a new one.
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
        self._visible: tuple[Member, ...] = ()
        self._cut_centres: frozenset[str] = frozenset()
        self._generation = 0
        self._all_generation = -1
        self._wanted: tuple[int, dict[str, tuple[str, int]]] = (-1, {})
        self._roster: tuple[int, set[str]] = (-1, set())
        self._store_seeds: list[tuple[str, int]] = []
        self._strangers: list[tuple[str, int]] = []
        self._superseded = False
        self._leaving = False
        self._announced: dict[str, tuple[BackendServer, float]] = {}
        self.duties = Duties(self)
        self.losses = Losses()
        self.times = ContactTimes(cfg.fence_after_ms / 1000)
        self.contact = Contact(cfg.name, cfg.data_centre, elapsed_clock(), self.times)
        self.on_incarnation: list[Callable[[int], None]] = []
        self.on_view: list[Callable[[], None]] = []
        self._local = Member(
            name=cfg.name,
            incarnation=incarnation,
            sequence=0,
            address=cfg.advertise_address or cfg.address,
            peer_port=cfg.peer_port,
            data_centre=cfg.data_centre,
            region=cfg.region,
        )
        table.validate(RecordKind.MEMBER, self._is_acceptable)
        table.subscribe(RecordKind.MEMBER, self._take_record)
        self._publish()

    @property
    def local(self) -> Member:
        """The member record of this node."""
        return self._local

    @property
    def own_address(self) -> str:
        """IP number on which this VM's processes listen."""
        return self._cfg.address

    @property
    def generation(self) -> int:
        """Rises with each change of the members."""
        return self._generation

    @property
    def fenced(self) -> bool:
        """Whether this node must refuse requests because others may count it gone."""
        return self._superseded or self.contact.is_fenced(elapsed_clock())

    def all(self) -> tuple[Member, ...]:
        """Return every known member that is not gone, this node included.

        Members of a data centre of which no majority is heard are shown as
        unreachable, whatever their records say.
        """
        if self._all_generation != self._generation:
            self._all_generation = self._generation
            self._visible = tuple(
                self._as_seen(member)
                for member in self._members.values()
                if member.state is not MemberState.GONE
            )
        return self._visible

    def get(self, name: str) -> Member | None:
        """Return a member by name."""
        member = self._members.get(name)
        return None if member is None else self._as_seen(member)

    def recorded(self) -> list[Member]:
        """Return every member that is not gone, in the state that its record has."""
        return [m for m in self._members.values() if m.state is not MemberState.GONE]

    def record_of(self, name: str) -> Member | None:
        """Return a member in the state that its record has, also when it is gone."""
        return self._members.get(name)

    def roster(self) -> set[str]:
        """Return the names of the members of this data centre that are not gone."""
        if self._roster[0] != self._generation:
            centre = self._local.data_centre
            names = {m.name for m in self.recorded() if m.data_centre == centre}
            self._roster = (self._generation, names)
        return self._roster[1]

    def _as_seen(self, member: Member) -> Member:
        hidden = member.data_centre in self._cut_centres
        if hidden and member.state in (MemberState.ALIVE, MemberState.DRAINING):
            return dataclasses.replace(member, state=MemberState.UNREACHABLE)
        return member

    def set_cut_centres(self, centres: frozenset[str]) -> None:
        """Show the members of some data centres as unreachable."""
        if centres == self._cut_centres:
            return
        for centre in sorted(centres - self._cut_centres):
            self._log.emit("membership", "centre_cut", f"{centre} is cut off.")
        for centre in sorted(self._cut_centres - centres):
            self._log.emit("membership", "centre_heard", f"{centre} is heard again.")
        self._cut_centres = centres
        self._generation += 1
        for listener in self.on_view:
            listener()

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Return the address and port under which peers reach a member."""
        member = self._members.get(name)
        return None if member is None else (member.address, member.peer_port)

    def announce(self, server: BackendServer, now: float) -> None:
        """Take an announcement of a backend server on this VM."""
        for server_id, (held, _) in tuple(self._announced.items()):
            if held.port == server.port and server_id != server.server_id:
                del self._announced[server_id]
        held_server = self._announced.get(server.server_id, (server, now))[0]
        shift_ms = abs(server.warm_at_ms - held_server.warm_at_ms)
        if shift_ms < WARM_SHIFT_MS:
            server = dataclasses.replace(server, warm_at_ms=held_server.warm_at_ms)
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
        if self._local.state is MemberState.ALIVE:
            self._change(state=MemberState.DRAINING)

    def leave(self, now_ms: int) -> None:
        """Tell the mesh that this node stops and will not return as it is."""
        self._leaving = True
        self._table.offer(claim_record(self._local, MemberState.GONE, now_ms))

    def claim(self, member: Member, state: MemberState, why: str, now_ms: int) -> None:
        """Tell the mesh that a member is unreachable or gone.

        Parameters
        ----------
        member : Member
            Member as the evidence concerns it; a later record outranks the claim.
        state : MemberState
            ``UNREACHABLE`` or ``GONE``.
        why : str
            Evidence, for the event log.
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        """
        if self._table.offer(claim_record(member, state, now_ms)):
            self._log.emit(
                "membership",
                "claim",
                f"{member.name} is claimed {state.name.lower()}: {why}.",
                member=member.name,
                incarnation=member.incarnation,
            )

    def expire_tombstones(self, now_ms: int) -> None:
        """Drop the records of members that have long been gone."""
        for name, member in tuple(self._members.items()):
            if _is_expired(member, now_ms):
                del self._members[name]
                self._table.discard(RecordKind.MEMBER, name)

    def wanted(self) -> dict[str, tuple[str, int]]:
        """Return the address and port of each peer to keep a link to.

        Unreachable members that would be linked to if they were not are among them,
        so that links return by themselves when a cut heals.
        """
        if self._wanted[0] != self._generation:
            known = self.recorded()
            healed = [dataclasses.replace(m, state=MemberState.ALIVE) for m in known]
            names = wanted_peers(self._local, known) | wanted_peers(self._local, healed)
            targets = {
                name: (self._members[name].address, self._members[name].peer_port)
                for name in names
            }
            self._wanted = (self._generation, targets)
        return self._wanted[1]

    def seeds(self) -> list[tuple[str, int]]:
        """Return the seeds of the settings and the store, other than this node."""
        own = (self._local.address, self._local.peer_port)
        pairs = [seed.rsplit(":", 1) for seed in self._cfg.seeds]
        found = [(address, int(port)) for address, port in pairs]
        found += self._store_seeds
        return [pair for pair in found if pair != own]

    def set_store_seeds(self, seeds: list[tuple[str, int]]) -> None:
        """Try addresses that the store names while no peer is linked."""
        self._store_seeds = seeds

    def add_stranger(self, address: str, port: int) -> None:
        """Dial a member once that the store names and no record does."""
        self._strangers.append((address, port))

    def take_strangers(self) -> list[tuple[str, int]]:
        """Return addresses to dial once, whatever is linked."""
        strangers, self._strangers = self._strangers, []
        return strangers

    def link_up(self, name: str, incarnation: int, now: float) -> None:
        """Take note that a peer is linked."""
        self.losses.clear(name)
        self.contact.note(name, elapsed_clock())

    def link_lost(self, name: str, refused: bool, now: float) -> None:
        """Take note that a wanted peer cannot be reached."""
        member = self._members.get(name)
        if member is not None and member.state is not MemberState.GONE:
            self.losses.add(name, refused, now)

    def _update_servers(self) -> None:
        servers = tuple(server for server, _ in self._announced.values())
        if servers != self._local.servers:
            self._change(servers=servers)

    def _change(self, **changes: object) -> None:
        sequence = self._local.sequence + 1
        self._local = dataclasses.replace(self._local, sequence=sequence, **changes)  # type: ignore[arg-type]
        self._publish()

    def _publish(self) -> None:
        if not self._leaving:
            self._table.offer(own_record(self._local))

    def _is_acceptable(self, record: Record) -> bool:
        try:
            member = _MEMBER.decode(record.body)
        except msgspec.DecodeError:
            return False
        return member.name == record.key and not _is_expired(member, wall_clock_ms())

    def _take_record(self, record: Record) -> None:
        member = _MEMBER.decode(record.body)
        held = self._members.get(member.name)
        self._members[member.name] = member
        self._generation += 1
        if member.name == self._local.name:
            self._answer_own(member)
            return
        if member.state in (MemberState.ALIVE, MemberState.DRAINING):
            self.losses.clear(member.name)
            self.contact.note(member.name, elapsed_clock())
        else:
            self.losses.restart(member.name)
        if held is None or held.state != member.state:
            self._log.emit(
                "membership",
                member.state.name.lower(),
                f"{member.name} is {member.state.name.lower()}.",
                member=member.name,
                incarnation=member.incarnation,
            )

    def _answer_own(self, member: Member) -> None:
        """Answer a record under this node's name that this node may not have written.

        A claim is refuted. An ended incarnation, or one of a process that held this
        address before, is followed by a new one. Another address under a later
        incarnation is another VM of this name: this node stops serving.
        """
        if member == self._local or self._leaving:
            return
        local = self._local
        same_place = (member.address, member.peer_port) == (
            local.address,
            local.peer_port,
        )
        if member.state is MemberState.GONE or (
            same_place and member.incarnation > local.incarnation
        ):
            self.begin_incarnation(member.incarnation + 1)
        elif member.incarnation > local.incarnation:
            self._superseded = True
            self._log.emit(
                "membership", "superseded", f"{member.address} took over this name."
            )
        elif member.sequence >= local.sequence:
            self._local = dataclasses.replace(local, sequence=member.sequence)
            self._change()

    def begin_incarnation(self, at_least: int) -> None:
        """Go on as a new member after the present incarnation was ended."""
        incarnation = max(at_least, wall_clock_ms())
        self._local = dataclasses.replace(
            self._local, incarnation=incarnation, sequence=0
        )
        self._superseded = False
        self.contact.forget(elapsed_clock())
        self._log.emit(
            "membership",
            "incarnation",
            "This node was declared gone and joins anew.",
            incarnation=incarnation,
        )
        for listener in self.on_incarnation:
            listener(incarnation)
        self._publish()


def _is_expired(member: Member, now_ms: int) -> bool:
    gone = member.state is MemberState.GONE
    return gone and now_ms - member.gone_at_ms > TOMBSTONE_TTL_MS
