"""Messages of the administration API, encoded as JSON."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class RollRequest:
    """Request to bring a signed bundle into force.

    Parameters
    ----------
    manifest : bytes
        Encoded ``Manifest``, in base64.
    chunks : tuple of bytes
        Encoded chunks, in base64.
    """

    manifest: bytes
    chunks: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class RollResult:
    """Response to a roll request: the accepted version."""

    version: int


@dataclasses.dataclass(frozen=True)
class Failure:
    """Response to a failed request, with the numbered result code."""

    code: int
    name: str
    message: str


@dataclasses.dataclass(frozen=True)
class Health:
    """Response of the health endpoint."""

    status: str


@dataclasses.dataclass(frozen=True)
class Readiness:
    """Response of a node that is ready for callers, with its bundle version."""

    version: int


@dataclasses.dataclass(frozen=True)
class BundleInForce:
    """The bundle in force on this node.

    Parameters
    ----------
    version : int
        Version of the bundle.
    digest : str
        SHA-256 of version and chunk digests, in hexadecimal.
    key_id, author : str
        Signing key and author of the bundle.
    services, routes, moves : tuple of str
        Names of the bundle's services, routes and moves.
    """

    version: int
    digest: str
    key_id: str
    author: str
    services: tuple[str, ...]
    routes: tuple[str, ...]
    moves: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class MemberStatus:
    """Status of one member for operators."""

    name: str
    data_centre: str
    region: str
    state: str
    version: int
    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class MoveStatus:
    """Status of one move for operators.

    Parameters
    ----------
    move_id, service : str
        Id of the move, and the service that it concerns.
    verdict : str
        ``done``, ``taken back``, ``taking back`` or ``under way``. ``taking back``
        means that the verdict is ``taken back`` and not all members have confirmed it.
    reason : str
        Reason of the verdict or the fault; empty when there is neither.
    confirmed, unconfirmed : int
        Number of members that have and have not confirmed the final share: 0 after the
        verdict ``taken back``, otherwise 1.
    lowest_share, highest_share : float
        Range of the shares in force on the members that have reported.
    deadline_ms : int
        Wall-clock deadline in milliseconds since the epoch.
    """

    move_id: str
    service: str
    verdict: str
    reason: str
    confirmed: int
    unconfirmed: int
    lowest_share: float
    highest_share: float
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Status:
    """Status of the mesh as known to one node."""

    node: str
    version: int
    newest_version: int
    members: tuple[MemberStatus, ...]
    moves: tuple[MoveStatus, ...]
