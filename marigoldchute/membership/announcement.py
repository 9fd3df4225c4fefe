"""Announcements of backend servers to the node on their VM."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.errors import MarigoldchuteError, ResultCode
from marigoldchute.membership.model import BackendServer

if TYPE_CHECKING:
    from marigoldchute.membership.service import Membership

ANNOUNCE_TARGET = b"/marigoldchute/announce"


@dataclasses.dataclass(frozen=True)
class Announcement:
    """What a backend server says of itself, at least once a second.

    Parameters
    ----------
    service, release : str
        What it serves.
    port : int
        TCP port on the VM's address.
    slots : int
        Requests that it can run at once.
    connections : int
        Connections that it accepts.
    draining : bool
        Whether it takes no new requests.
    cold_ms : int
        Time left until its cold start ends.
    """

    service: str
    release: str
    port: int
    slots: int
    connections: int
    draining: bool = False
    cold_ms: int = 0


class AnnouncementError(MarigoldchuteError):
    """An announcement that cannot be taken."""

    code = ResultCode.ANNOUNCEMENT_INVALID


def take_announcement(
    membership: Membership, body: bytes, now_ms: int, now: float
) -> None:
    """Decode an announcement and hand it to membership.

    Parameters
    ----------
    membership : Membership
        Members of the mesh.
    body : bytes
        JSON of an ``Announcement``.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    now : float
        Monotonic time in seconds.

    Raises
    ------
    AnnouncementError
        The body is not an announcement.
    """
    try:
        said = msgspec.json.decode(body, type=Announcement)
    except msgspec.DecodeError as exc:
        raise AnnouncementError(f"announcement is malformed: {exc}") from exc
    if said.slots < 1 or said.connections < 1:
        raise AnnouncementError("slots and connections must be at least 1")
    server = BackendServer(
        server_id=f"{membership.local.name}/{said.port}",
        service=said.service,
        release=said.release,
        port=said.port,
        slots=said.slots,
        connections=said.connections,
        draining=said.draining,
        warm_at_ms=now_ms + said.cold_ms if said.cold_ms else 0,
    )
    membership.announce(server, now)
