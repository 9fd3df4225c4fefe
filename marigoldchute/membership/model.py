"""Members and backend servers as the other packages see them."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol


class MemberState(enum.IntEnum):
    """Liveness of a member."""

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
        Unique id: ``node/port``, ``node/port/instance`` or, for a server listed by the
        platform, ``instance@start``.
    service, release : str
        Service and release that the server provides.
    port : int
        TCP port on the VM's own address.
    slots : int
        Maximum number of concurrent requests.
    connections : int
        Maximum number of connections.
    draining : bool
        Whether the server accepts no new requests.
    warm_at_ms : int
        Wall-clock time at which its cold start ends, in milliseconds since the epoch;
        0 without a cold start.
    instance : str
        Id that the backend server uses for itself; empty when it has none.
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
    """A node of the mesh, as described by its member record.

    Parameters
    ----------
    name : str
        Name of the VM.
    incarnation : int
        Increases with each start of the node process.
    sequence : int
        Increases with each change within an incarnation.
    address : str
        IP address at which peers reach the node.
    peer_port : int
        TCP port for peers.
    data_centre, region : str
        Location of the VM.
    state : MemberState
        Liveness.
    servers : tuple of BackendServer
        Backend servers on the VM.
    gone_at_ms : int
        Wall-clock time at which the member was declared gone, in milliseconds since
        the epoch; 0 before.
    store_ms : int
        Lowest latency of its calls to the store in milliseconds; 0 while unknown.
    link_mbps : float
        Rate of the VM's connection to the network in megabits a second; 0 if unknown.
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
    link_mbps: float = 0.0

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent to the member."""
        return self.state is MemberState.ALIVE


class Members(Protocol):
    """Interface of membership for the other packages."""

    @property
    def local(self) -> Member:
        """Member record of this node."""

    @property
    def fenced(self) -> bool:
        """Whether this node must refuse requests, as others may consider it gone."""

    def all(self) -> tuple[Member, ...]:
        """Return every known member that is not gone, this node included."""

    def get(self, name: str) -> Member | None:
        """Return a member by name."""
