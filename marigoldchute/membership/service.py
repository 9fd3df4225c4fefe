"""Members known to this node, and the record that it publishes about itself."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.events import wall_clock_ms
from marigoldchute.membership.claims import claim_record, decode_member, own_record
from marigoldchute.membership.contact import (
    ContactTimeouts,
    ContactTracker,
    boottime_clock,
)
from marigoldchute.membership.lost_peers import LostPeers
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
WARM_AT_TOLERANCE_MS = 500
TOMBSTONE_TTL_MS = 2 * 3600 * 1000


class Membership:
    """Holds the member records and publishes the record of this node.

    A member writes its own record. Others may claim that it is unreachable, which the
    member refutes with its next sequence, or gone, which ends its incarnation. A member
    that is declared gone while it is alive continues under a new incarnation.
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
        self._listed_members: tuple[Member, ...] = ()
        self._unreachable_data_centres: frozenset[str] = frozenset()
        self._generation = 0
        self._listed_generation = -1
        self._wanted: tuple[int, dict[str, tuple[str, int]]] = (-1, {})
        self._data_centre_names: tuple[int, set[str]] = (-1, set())
        self._store_seeds: list[tuple[str, int]] = []
        self._one_time_addresses: list[tuple[str, int]] = []
        self._superseded = False
        self._leaving = False
        self._announced: dict[str, tuple[BackendServer, float]] = {}
        self.duties = Duties(self)
        self.lost_peers = LostPeers()
        self.contact_timeouts = ContactTimeouts(cfg.fence_after_ms / 1000)
        self.contact = ContactTracker(
            cfg.name, cfg.data_centre, boottime_clock(), self.contact_timeouts
        )
        self.on_new_incarnation: list[Callable[[int], None]] = []
        self.on_view_changed: list[Callable[[], None]] = []
        self._local = Member(
            name=cfg.name,
            incarnation=incarnation,
            sequence=0,
            address=cfg.advertise_address or cfg.address,
            peer_port=cfg.peer_port,
            data_centre=cfg.data_centre,
            region=cfg.region,
        )
        table.register_validator(RecordKind.MEMBER, self._is_valid_record)
        table.subscribe(RecordKind.MEMBER, self._apply_record)
        self._publish()

    @property
    def local(self) -> Member:
        """Member record of this node."""
        return self._local

    @property
    def own_address(self) -> str:
        """IP address on which the processes of this VM listen."""
        return self._cfg.address

    @property
    def generation(self) -> int:
        """Number that increases with each change of the members."""
        return self._generation

    @property
    def fenced(self) -> bool:
        """Whether this node must refuse requests, as others may consider it gone."""
        return self._superseded or self.contact.is_fenced(boottime_clock())

    def all(self) -> tuple[Member, ...]:
        """Return every known member that is not gone, this node included.

        Members of an unreachable data centre are returned as unreachable, whatever
        their records state.
        """
        if self._listed_generation != self._generation:
            self._listed_generation = self._generation
            self._listed_members = tuple(
                self._with_effective_state(member)
                for member in self._members.values()
                if member.state is not MemberState.GONE
            )
        return self._listed_members

    def get(self, name: str) -> Member | None:
        """Return a member by name."""
        member = self._members.get(name)
        return None if member is None else self._with_effective_state(member)

    def recorded_members(self) -> list[Member]:
        """Return every member that is not gone, in the state of its record."""
        return [m for m in self._members.values() if m.state is not MemberState.GONE]

    def get_recorded(self, name: str) -> Member | None:
        """Return a member in the state of its record, even if it is gone."""
        return self._members.get(name)

    def data_centre_member_names(self) -> set[str]:
        """Return the names of the members of this data centre that are not gone."""
        if self._data_centre_names[0] != self._generation:
            data_centre = self._local.data_centre
            names = {
                m.name for m in self.recorded_members() if m.data_centre == data_centre
            }
            self._data_centre_names = (self._generation, names)
        return self._data_centre_names[1]

    def _with_effective_state(self, member: Member) -> Member:
        is_unreachable = member.data_centre in self._unreachable_data_centres
        if is_unreachable and member.state in (MemberState.ALIVE, MemberState.DRAINING):
            return dataclasses.replace(member, state=MemberState.UNREACHABLE)
        return member

    def set_unreachable_data_centres(self, data_centres: frozenset[str]) -> None:
        """Set the data centres whose members are presented as unreachable."""
        if data_centres == self._unreachable_data_centres:
            return
        for data_centre in sorted(data_centres - self._unreachable_data_centres):
            self._log.emit(
                "membership",
                "centre_cut",
                f"{data_centre} is unreachable: no contact with a majority.",
            )
        for data_centre in sorted(self._unreachable_data_centres - data_centres):
            self._log.emit(
                "membership", "centre_heard", f"{data_centre} is reachable again."
            )
        self._unreachable_data_centres = data_centres
        self._generation += 1
        for listener in self.on_view_changed:
            listener()

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Return the address and port at which peers reach a member."""
        member = self._members.get(name)
        return None if member is None else (member.address, member.peer_port)

    def register_server(self, server: BackendServer, now: float) -> None:
        """Register an announced backend server on this VM or renew its registration."""
        for server_id, (known, _) in tuple(self._announced.items()):
            if known.port == server.port and server_id != server.server_id:
                del self._announced[server_id]
        previous = self._announced.get(server.server_id, (server, now))[0]
        shift_ms = abs(server.warm_at_ms - previous.warm_at_ms)
        if shift_ms < WARM_AT_TOLERANCE_MS:
            server = dataclasses.replace(server, warm_at_ms=previous.warm_at_ms)
        self._announced[server.server_id] = (server, now)
        self._update_servers()

    def expire_announcements(self, now: float) -> None:
        """Remove backend servers whose latest announcement is older than the TTL."""
        for server_id, (_, announced_at) in tuple(self._announced.items()):
            if now - announced_at > ANNOUNCEMENT_TTL_S:
                del self._announced[server_id]
        self._update_servers()

    def drain(self) -> None:
        """Publish that this node accepts no new requests."""
        if self._local.state is MemberState.ALIVE:
            self._update_local(state=MemberState.DRAINING)

    def leave(self, now_ms: int) -> None:
        """Publish that this node stops and that its incarnation has ended."""
        self._leaving = True
        self._table.apply(claim_record(self._local, MemberState.GONE, now_ms))

    def publish_claim(
        self, member: Member, state: MemberState, reason: str, now_ms: int
    ) -> None:
        """Publish a claim that a member is unreachable or gone.

        Parameters
        ----------
        member : Member
            Member to which the evidence applies; a later record outranks the claim.
        state : MemberState
            ``UNREACHABLE`` or ``GONE``.
        reason : str
            Evidence, for the event log.
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        """
        if self._table.apply(claim_record(member, state, now_ms)):
            self._log.emit(
                "membership",
                "claim",
                f"{member.name} is claimed to be {state.name.lower()}: {reason}.",
                member=member.name,
                incarnation=member.incarnation,
            )

    def expire_tombstones(self, now_ms: int) -> None:
        """Remove the records of members that have been gone for longer than the TTL."""
        for name, member in tuple(self._members.items()):
            if _is_expired(member, now_ms):
                del self._members[name]
                self._table.discard(RecordKind.MEMBER, name)

    def wanted_peers(self) -> dict[str, tuple[str, int]]:
        """Return the address and port of each peer to keep a link to.

        Unreachable members that would be linked if they were alive are included, so
        that their links are opened again when a network partition ends.
        """
        if self._wanted[0] != self._generation:
            recorded = self.recorded_members()
            all_alive = [
                dataclasses.replace(m, state=MemberState.ALIVE) for m in recorded
            ]
            names = wanted_peers(self._local, recorded) | wanted_peers(
                self._local, all_alive
            )
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
        seeds = [(address, int(port)) for address, port in pairs]
        seeds += self._store_seeds
        return [pair for pair in seeds if pair != own]

    def set_store_seeds(self, seeds: list[tuple[str, int]]) -> None:
        """Set the seeds from the store, which are dialled while no peer is linked."""
        self._store_seeds = seeds

    def add_one_time_address(self, address: str, port: int) -> None:
        """Add an address from the store to dial once, as no member record names it."""
        self._one_time_addresses.append((address, port))

    def pop_one_time_addresses(self) -> list[tuple[str, int]]:
        """Return and clear the addresses to dial once, even if peers are linked."""
        addresses, self._one_time_addresses = self._one_time_addresses, []
        return addresses

    def link_up(self, name: str, incarnation: int, now: float) -> None:
        """Record that a peer is linked."""
        self.lost_peers.remove(name)
        self.contact.record_activity(name, boottime_clock())

    def link_lost(self, name: str, refused: bool, now: float) -> None:
        """Record that a wanted peer cannot be reached."""
        member = self._members.get(name)
        if member is not None and member.state is not MemberState.GONE:
            self.lost_peers.record_failure(name, refused, now)

    def _update_servers(self) -> None:
        servers = tuple(server for server, _ in self._announced.values())
        if servers != self._local.servers:
            self._update_local(servers=servers)

    def _update_local(self, **changes: object) -> None:
        sequence = self._local.sequence + 1
        self._local = dataclasses.replace(self._local, sequence=sequence, **changes)  # type: ignore[arg-type]
        self._publish()

    def _publish(self) -> None:
        if not self._leaving:
            self._table.apply(own_record(self._local))

    def _is_valid_record(self, record: Record) -> bool:
        try:
            member = decode_member(record)
        except (msgspec.DecodeError, RecursionError):
            return False
        return member.name == record.key and not _is_expired(member, wall_clock_ms())

    def _apply_record(self, record: Record) -> None:
        member = decode_member(record)
        previous = self._members.get(member.name)
        self._members[member.name] = member
        self._generation += 1
        if member.name == self._local.name:
            self._handle_own_record(member)
            return
        if member.state in (MemberState.ALIVE, MemberState.DRAINING):
            self.lost_peers.remove(member.name)
            self.contact.record_activity(member.name, boottime_clock())
        else:
            self.lost_peers.reset_refused_count(member.name)
        if previous is None or previous.state != member.state:
            self._log.emit(
                "membership",
                member.state.name.lower(),
                f"{member.name} is {member.state.name.lower()}.",
                member=member.name,
                incarnation=member.incarnation,
            )

    def _handle_own_record(self, member: Member) -> None:
        """Handle a record under this node's name that another node may have written.

        A claim of unreachability is refuted. If the incarnation was ended, or if an
        earlier process at this address used a later one, this node begins a new
        incarnation. A different address with a later incarnation belongs to another VM
        of the same name, so this node stops serving.
        """
        if member == self._local or self._leaving:
            return
        local = self._local
        same_address = (member.address, member.peer_port) == (
            local.address,
            local.peer_port,
        )
        if member.state is MemberState.GONE or (
            same_address and member.incarnation > local.incarnation
        ):
            self.begin_incarnation(member.incarnation + 1)
        elif member.incarnation > local.incarnation:
            self._superseded = True
            self._log.emit(
                "membership",
                "superseded",
                f"{member.address} has taken over the name of this node.",
            )
        elif member.sequence >= local.sequence:
            self._local = dataclasses.replace(local, sequence=member.sequence)
            self._update_local()

    def begin_incarnation(self, at_least: int) -> None:
        """Begin a new incarnation of this node after the present one was ended."""
        incarnation = max(at_least, wall_clock_ms())
        self._local = dataclasses.replace(
            self._local, incarnation=incarnation, sequence=0
        )
        self._superseded = False
        self.contact.reset(boottime_clock())
        self._log.emit(
            "membership",
            "incarnation",
            "The incarnation of this node was ended; it rejoins under a new one.",
            incarnation=incarnation,
        )
        for listener in self.on_new_incarnation:
            listener(incarnation)
        self._publish()


def _is_expired(member: Member, now_ms: int) -> bool:
    gone = member.state is MemberState.GONE
    return gone and now_ms - member.gone_at_ms > TOMBSTONE_TTL_MS
