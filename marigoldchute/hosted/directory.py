"""Members of a hosted mesh and their backend servers, as this node knows them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.membership.claims import claim_record, own_record
from marigoldchute.membership.model import BackendServer, Member, MemberState
from marigoldchute.overlay.records import RecordKind
from marigoldchute.overlay.topology import wanted_peers

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.overlay.records import Record, RecordTable

# A link for each pair shows within 1.5 s who is gone. Above, the heartbeats of all
# pairs would be most of what control sends.
FULL_MESH_MEMBERS = 48

_MEMBER = msgspec.msgpack.Decoder(Member)


class Directory:
    """Member records, the links seen from here, and this node's own record.

    A member whose link is wanted and down is shown as unreachable to this node alone;
    no claim about it is spread, since who cannot reach it from here does not need to
    know. Of members to which no link is wanted, only requests tell whether they can be
    reached.

    Parameters
    ----------
    local : Member
        Record of this node.
    table : RecordTable
        Replicated records.
    log : EventLog
        Event log of the process.
    """

    fenced = False

    def __init__(self, local: Member, table: RecordTable, log: EventLog) -> None:
        self._local = local
        self._table = table
        self._log = log
        self._members: dict[str, Member] = {}
        self._found: dict[str, tuple[str, int]] = {}
        self._down: set[str] = set()
        self._visible: tuple[Member, ...] | None = None
        self._leaving = False
        self.on_view: list[Callable[[], None]] = []
        table.subscribe(RecordKind.MEMBER, self._take_record)
        self._publish()

    @property
    def local(self) -> Member:
        """The member record of this node."""
        return self._local

    def all(self) -> tuple[Member, ...]:
        """Return every known member that is not gone, this node included."""
        if self._visible is None:
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

    def reachable(self) -> list[Member]:
        """Return the members that can be reached from here, this node included."""
        states = (MemberState.ALIVE, MemberState.DRAINING)
        return [member for member in self.all() if member.state in states]

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Return the address and port under which peers reach a member."""
        member = self._members.get(name)
        return None if member is None else (member.address, member.peer_port)

    def add_found(self, name: str, address: str, port: int) -> None:
        """Take a member that the store names; it is dialled until it answers."""
        if name != self._local.name:
            self._found[name] = (address, port)

    def publish_servers(self, servers: tuple[BackendServer, ...]) -> None:
        """Tell the mesh which backend servers this VM has."""
        self._change(servers=servers)

    def publish_store_time(self, store_ms: int) -> None:
        """Tell the mesh how far away the store is from here."""
        if store_ms != self._local.store_ms:
            self._change(store_ms=store_ms)

    def drain(self) -> None:
        """Tell the mesh that this node takes no new requests."""
        if self._local.state is MemberState.ALIVE:
            self._change(state=MemberState.DRAINING)

    def leave(self, now_ms: int) -> None:
        """Tell the mesh that this node stops."""
        self._leaving = True
        self._table.offer(claim_record(self._local, MemberState.GONE, now_ms))

    @property
    def links_all_pairs(self) -> bool:
        """Whether the mesh is small enough for a link between each pair."""
        gone = sum(m.state is MemberState.GONE for m in self._members.values())
        return len(self._members) - gone <= FULL_MESH_MEMBERS

    def wanted(self) -> dict[str, tuple[str, int]]:
        """Return the address and port of each peer to keep a link to."""
        known = [m for m in self._members.values() if m.state is not MemberState.GONE]
        targets = {m.name: (m.address, m.peer_port) for m in known}
        for name, place in self._found.items():
            if name not in self._members:
                targets[name] = place
        targets.pop(self._local.name, None)
        if self.links_all_pairs and len(targets) < FULL_MESH_MEMBERS:
            return targets
        alive = [dataclasses.replace(m, state=MemberState.ALIVE) for m in known]
        names = wanted_peers(self._local, alive)
        chosen = {name: targets[name] for name in names if name in targets}
        self._forget_down(self._down - chosen.keys())
        return chosen

    def seeds(self) -> list[tuple[str, int]]:
        """Return addresses to try while no peer is linked."""
        return list(self._found.values())

    def take_strangers(self) -> list[tuple[str, int]]:
        """Return addresses to dial once; the store's are dialled until they answer."""
        return []

    def link_up(self, name: str, incarnation: int, now: float) -> None:
        """Take note that a peer is linked."""
        if name in self._down:
            self._down.discard(name)
            self._log.emit("directory", "peer_up", f"{name} is heard.", member=name)
            self._change_view()

    def link_lost(self, name: str, refused: bool, now: float) -> None:
        """Take note that a link has ended or could not be opened.

        The end of a link that is not wanted is no sign of a loss: its peer closes it
        when it does not need it.
        """
        if name in self._down or name not in self.wanted():
            return
        if name in self._members:
            self._down.add(name)
            self._log.emit("directory", "peer_down", f"{name} is lost.", member=name)
            self._change_view()

    def _forget_down(self, names: set[str]) -> None:
        if names:
            self._down -= names
            self._change_view()

    def _as_seen(self, member: Member) -> Member:
        if member.name in self._down and member.state is MemberState.ALIVE:
            return dataclasses.replace(member, state=MemberState.UNREACHABLE)
        return member

    def _change(self, **changes: object) -> None:
        sequence = self._local.sequence + 1
        self._local = dataclasses.replace(
            self._local,
            sequence=sequence,
            **changes,  # type: ignore[arg-type]
        )
        self._publish()

    def _publish(self) -> None:
        if not self._leaving:
            self._table.offer(own_record(self._local))

    def _take_record(self, record: Record) -> None:
        member = _MEMBER.decode(record.body)
        held = self._members.get(member.name)
        self._members[member.name] = member
        if member.name == self._local.name and member != self._local:
            self._answer_own(member)
        elif held is None or (held.state, held.servers) != (
            member.state,
            member.servers,
        ):
            self._log.emit(
                "directory",
                "member",
                f"{member.name} is {member.state.name.lower()}.",
                member=member.name,
                incarnation=member.incarnation,
                servers=[
                    f"{s.server_id} {s.service} {s.release}"
                    + (" draining" if s.draining else "")
                    for s in member.servers
                ],
            )
        self._change_view()

    def _answer_own(self, member: Member) -> None:
        """Outrank a record that an earlier process of this VM left behind."""
        if self._leaving or member.incarnation < self._local.incarnation:
            return
        incarnation = max(self._local.incarnation, member.incarnation + 1)
        self._change(incarnation=incarnation)

    def _change_view(self) -> None:
        self._visible = None
        for listener in self.on_view:
            listener()
