"""Members and backend servers as other slices see them."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol


class MemberState(enum.IntEnum):
    """What is known of a member."""

    ALIVE = 0
    DRAINING = 1
    UNREACHABLE = 2
    GONE = 3


@dataclasses.dataclass(frozen=True)
class BackendServer:
    """A backend server as it announced itself to the node on its VM.

    Parameters
    ----------
    server_id : str
        Unique per announcement lifetime, ``node/port``.
    service, release : str
        What it serves.
    port : int
        TCP port on the VM's own address.
    slots : int
        Requests that it can run at once.
    connections : int
        Connections that it accepts.
    draining : bool
        Whether it takes no new requests.
    warm_at_ms : int
        Wall-clock time at which its cold start ends.
    instance : str
        Id by which the backend server knows itself; empty when it has none.
    """

    server_id: str
    service: str
    release: str
    port: int
    slots: int
    connections: int
    draining: bool = False
    warm_at_ms: int = 0
    instance: str = ""


@dataclasses.dataclass(frozen=True)
class Member:
    """One node as the mesh knows it.

    Parameters
    ----------
    name : str
        Name of the VM.
    incarnation : int
        Rises with each start of the node process.
    sequence : int
        Rises with each change within an incarnation.
    address : str
        IP number under which peers reach it.
    peer_port : int
        TCP port for peers.
    data_centre, region : str
        Its place.
    state : MemberState
        Liveness.
    servers : tuple of BackendServer
        Backend servers on its VM.
    gone_at_ms : int
        Wall-clock time at which it was found to be gone.
    store_ms : int
        Shortest time of its calls to the store; 0 while that is not known.
    """

    name: str
    incarnation: int
    sequence: int
    address: str
    peer_port: int
    data_centre: str
    region: str
    state: MemberState = MemberState.ALIVE
    servers: tuple[BackendServer, ...] = ()
    gone_at_ms: int = 0
    store_ms: int = 0

    @property
    def usable(self) -> bool:
        """Whether the member may be given new requests."""
        return self.state is MemberState.ALIVE


class Members(Protocol):
    """What membership offers to the other slices."""

    @property
    def local(self) -> Member:
        """The member record of this node."""

    @property
    def fenced(self) -> bool:
        """Whether this node must refuse requests because it hears too few others."""

    def all(self) -> tuple[Member, ...]:
        """Return every known member that is not gone, this node included."""

    def get(self, name: str) -> Member | None:
        """Return a member by name."""
