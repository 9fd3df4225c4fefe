"""Messages of the administration API, JSON over HTTP."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class RollOrder:
    """A signed bundle that an operator wants in force.

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
    """The accepted version."""

    version: int


@dataclasses.dataclass(frozen=True)
class Failure:
    """A refusal with its numbered code."""

    code: int
    name: str
    message: str


@dataclasses.dataclass(frozen=True)
class Health:
    """Whether the process serves."""

    status: str


@dataclasses.dataclass(frozen=True)
class Readiness:
    """That the node can answer callers, and with which version."""

    version: int


@dataclasses.dataclass(frozen=True)
class BundleInForce:
    """The bundle in force on this node.

    Parameters
    ----------
    version : int
        Its version.
    digest : str
        SHA-256 of version and chunk digests, in hexadecimal.
    key_id, author : str
        Who signed it off.
    services, routes, moves : tuple of str
        Names of what it holds.
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
    """One member as an operator sees it."""

    name: str
    data_centre: str
    region: str
    state: str
    version: int
    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class MoveStatus:
    """One move as an operator sees it.

    Parameters
    ----------
    move_id, service : str
        Move and its service.
    verdict : str
        ``done``, ``taken back``, ``taking back``, ``under way`` or
        ``not known``.
    reason : str
        Why, when there is a verdict or a fault.
    confirmed, unconfirmed : int
        Members that have and have not confirmed what the verdict wants.
    lowest_share, highest_share : float
        Range of the shares in force on the members heard from.
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
    """What one node knows of the mesh."""

    node: str
    version: int
    newest_version: int
    members: tuple[MemberStatus, ...]
    moves: tuple[MoveStatus, ...]
