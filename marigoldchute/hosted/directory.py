"""Members of a hosted mesh and their backend servers, as seen by this node."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from marigoldchute.membership.claims import claim_record, decode_member, own_record
from marigoldchute.membership.model import BackendServer, Member, MemberState
from marigoldchute.overlay.records import RecordKind
from marigoldchute.overlay.topology import wanted_peers

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.overlay.records import Record, RecordTable

# Up to this size every pair of members has a link, which detects a lost member within
# 1.5 s. In a larger mesh the heartbeats of all pairs would be most of the control
# traffic.
MAX_FULL_MESH_MEMBERS = 48


class Directory:
    """Member records, the state of links to members, and this node's own record.

    A member whose link is wanted but down is unreachable for this node only. This is
    not replicated, because other nodes do not depend on what this node can reach. For
    members to which no link is wanted, only requests show whether they are reachable.

    Parameters
    ----------
    local : Member
        Record of this node.
    table : RecordTable
        Replicated records.
    log : EventLog
        Event log of the process.
    """

    fenced = False  # A hosted node is never fenced.

    def __init__(self, local: Member, table: RecordTable, log: EventLog) -> None:
        self._local = local
        self._table = table
        self._log = log
        self._members: dict[str, Member] = {}
        self._discovered: dict[str, tuple[str, int]] = {}
        self._unreachable: set[str] = set()
        self._requested: list[tuple[str, int]] = []
        self._cached_view: tuple[Member, ...] | None = None
        self._cached_reachable: list[Member] | None = None
        self._cached_peers: dict[str, tuple[str, int]] | None = None
        self._present_count = 0  # Members that are not gone.
        self._leaving = False
        self.on_view_changed: list[Callable[[], None]] = []
        table.subscribe(RecordKind.MEMBER, self._handle_record)
        self._publish_local()

    @property
    def local(self) -> Member:
        """Member record of this node."""
        return self._local

    def all(self) -> tuple[Member, ...]:
        """Return every known member that is not gone, this node included."""
        if self._cached_view is None:
            self._cached_view = tuple(
                self._with_link_state(member)
                for member in self._members.values()
                if member.state is not MemberState.GONE
            )
        return self._cached_view

    def get(self, name: str) -> Member | None:
        """Return a member by name."""
        member = self._members.get(name)
        return None if member is None else self._with_link_state(member)

    def reachable(self) -> list[Member]:
        """Return the members that this node can reach, itself included.

        The same list is returned until a member changes.
        """
        if self._cached_reachable is None:
            states = (MemberState.ALIVE, MemberState.DRAINING)
            self._cached_reachable = [m for m in self.all() if m.state in states]
        return self._cached_reachable

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Return the address and peer port of a member."""
        member = self._members.get(name)
        return None if member is None else (member.address, member.peer_port)

    def set_discovered(self, endpoints: dict[str, tuple[str, int]]) -> None:
        """Replace the members that the store lists; they are dialled until linked.

        A VM that was removed for good is no longer listed, and not dialled any more.
        """
        others = {n: e for n, e in endpoints.items() if n != self._local.name}
        if others != self._discovered:
            self._discovered = others
            self._cached_peers = None

    def publish_servers(self, servers: tuple[BackendServer, ...]) -> None:
        """Publish the backend servers of this VM to the mesh."""
        self._update_local(servers=servers)

    def publish_store_latency(self, store_ms: int) -> None:
        """Publish the latency between this node and the store to the mesh."""
        if store_ms != self._local.store_ms:
            self._update_local(store_ms=store_ms)

    def drain(self) -> None:
        """Publish to the mesh that this node accepts no new requests."""
        if self._local.state is MemberState.ALIVE:
            self._update_local(state=MemberState.DRAINING)

    def leave(self, now_ms: int) -> None:
        """Publish to the mesh that this node stops."""
        self._leaving = True
        self._table.apply(claim_record(self._local, MemberState.GONE, now_ms))

    @property
    def is_full_mesh(self) -> bool:
        """Whether the mesh is small enough for a link between every pair of members."""
        return self._present_count <= MAX_FULL_MESH_MEMBERS

    @property
    def is_isolated(self) -> bool:
        """Whether links to peers are wanted and none of these peers is reachable."""
        wanted = self.wanted_peers()
        return bool(wanted) and wanted.keys() <= self._unreachable

    def wanted_peers(self) -> dict[str, tuple[str, int]]:
        """Return the address and port of each peer to keep a link to.

        The same dictionary is returned until a member joins, leaves or moves.
        """
        if self._cached_peers is None:
            self._cached_peers = self._select_peers()
        if not self.is_full_mesh:
            self._clear_unreachable(self._unreachable - self._cached_peers.keys())
        return self._cached_peers

    def _select_peers(self) -> dict[str, tuple[str, int]]:
        known = [m for m in self._members.values() if m.state is not MemberState.GONE]
        targets = {m.name: (m.address, m.peer_port) for m in known}
        for name, endpoint in self._discovered.items():
            if name not in self._members:
                targets[name] = endpoint
        targets.pop(self._local.name, None)
        if self.is_full_mesh and len(targets) < MAX_FULL_MESH_MEMBERS:
            return targets
        alive = [dataclasses.replace(m, state=MemberState.ALIVE) for m in known]
        names = wanted_peers(self._local, alive)
        return {name: targets[name] for name in names if name in targets}

    def seeds(self) -> list[tuple[str, int]]:
        """Return addresses to try while no peer is linked."""
        return list(self._discovered.values())

    def request_links(self, names: list[str]) -> None:
        """Have members dialled once, in addition to the wanted peers."""
        endpoints = [self.address_of(name) for name in names]
        self._requested += [item for item in endpoints if item is not None]

    def pop_one_time_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses of the requested links.

        Those from the store are not among them, they are dialled until a link is up.
        """
        requested, self._requested = self._requested, []
        return requested

    def link_up(self, name: str, incarnation: int, now: float) -> None:
        """Handle a new link to a peer."""
        if name in self._unreachable:
            self._unreachable.discard(name)
            self._log.emit(
                "directory", "peer_up", f"{name} is linked again.", member=name
            )
            self._notify_view_changed()

    def link_lost(self, name: str, refused: bool, now: float) -> None:
        """Handle a link that has ended or could not be opened.

        The end of an unwanted link does not mean that the peer is lost: peers close
        links that they do not need.
        """
        if name in self._unreachable or name not in self.wanted_peers():
            return
        if name in self._members:
            self._unreachable.add(name)
            self._log.emit(
                "directory", "peer_down", f"{name} is unreachable.", member=name
            )
            self._notify_view_changed()

    def _clear_unreachable(self, names: set[str]) -> None:
        if names:
            self._unreachable -= names
            self._notify_view_changed()

    def _with_link_state(self, member: Member) -> Member:
        if member.name in self._unreachable and member.state is MemberState.ALIVE:
            return dataclasses.replace(member, state=MemberState.UNREACHABLE)
        return member

    def _update_local(self, **changes: object) -> None:
        sequence = self._local.sequence + 1
        self._local = dataclasses.replace(
            self._local,
            sequence=sequence,
            **changes,  # type: ignore[arg-type]
        )
        self._publish_local()

    def _publish_local(self) -> None:
        if not self._leaving:
            self._table.apply(own_record(self._local))

    def _handle_record(self, record: Record) -> None:
        member = decode_member(record)
        previous = self._members.get(member.name)
        self._members[member.name] = member
        previous_place, place = _place_of(previous), _place_of(member)
        if previous_place != place or previous is None:
            self._cached_peers = None
            self._present_count += (place is not None) - (previous_place is not None)
        if member.name == self._local.name and member != self._local:
            self._supersede_own_record(member)
        elif previous is None or (previous.state, previous.servers) != (
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
        self._notify_view_changed()

    def _supersede_own_record(self, member: Member) -> None:
        """Supersede a record that an earlier process of this VM published."""
        if self._leaving or member.incarnation < self._local.incarnation:
            return
        incarnation = max(self._local.incarnation, member.incarnation + 1)
        self._update_local(incarnation=incarnation)

    def _notify_view_changed(self) -> None:
        self._cached_view = None
        self._cached_reachable = None
        for listener in self.on_view_changed:
            listener()


def _place_of(member: Member | None) -> tuple[str, int, str, str] | None:
    """Return what the choice of links depends on; None without a present member."""
    if member is None or member.state is MemberState.GONE:
        return None
    return member.address, member.peer_port, member.data_centre, member.region
