"""Announcements of backend servers to the node on their VM."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Annotated

import msgspec

from marigoldchute.errors import MarigoldchuteError, ResultCode
from marigoldchute.membership.model import BackendServer

if TYPE_CHECKING:
    from marigoldchute.membership.service import Membership

ANNOUNCE_TARGET = b"/marigoldchute/announce"
LOOPBACK_ADDRESS = "127.0.0.1"
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_COLD_MS = 3_600_000

Label = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


@dataclasses.dataclass(frozen=True)
class Announcement:
    """Report that a backend server sends to its node at least once a second.

    Parameters
    ----------
    service, release : str
        Service and release that the server provides.
    port : int
        TCP port on the VM's address.
    slots : int
        Maximum number of concurrent requests.
    connections : int
        Maximum number of connections.
    draining : bool
        Whether the server accepts no new requests.
    cold_ms : int
        Time left until its cold start ends, in milliseconds.
    instance : str
        Id that changes with each start, which distinguishes a restarted server from
        the previous one on the same port.
    """

    service: Label
    release: Label
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=MAX_CONNECTIONS)]
    draining: bool = False
    cold_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_COLD_MS)] = 0
    instance: Annotated[str, msgspec.Meta(max_length=64)] = ""


class AnnouncementError(MarigoldchuteError):
    """An announcement is malformed or was sent by another VM."""

    code = ResultCode.ANNOUNCEMENT_INVALID


def handle_announcement(
    membership: Membership, body: bytes, sender: str, now_ms: int, now: float
) -> None:
    """Decode an announcement and register its backend server with the membership.

    Parameters
    ----------
    membership : Membership
        Members of the mesh.
    body : bytes
        JSON of an ``Announcement``.
    sender : str
        IP address of the sender; only addresses of this VM are accepted.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    now : float
        Monotonic time in seconds.

    Raises
    ------
    AnnouncementError
        The body is not an announcement, or another VM sent it.
    """
    if sender not in (membership.own_address, LOOPBACK_ADDRESS):
        raise AnnouncementError(
            f"announcement came from {sender}, not from this VM",
            ResultCode.ANNOUNCEMENT_FOREIGN,
        )
    try:
        announcement = msgspec.json.decode(body, type=Announcement)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise AnnouncementError(f"announcement is malformed: {exc}") from exc
    instance_suffix = f"/{announcement.instance}" if announcement.instance else ""
    server = BackendServer(
        server_id=f"{membership.local.name}/{announcement.port}{instance_suffix}",
        service=announcement.service,
        release=announcement.release,
        port=announcement.port,
        slots=announcement.slots,
        connections=announcement.connections,
        draining=announcement.draining,
        warm_at_ms=now_ms + announcement.cold_ms if announcement.cold_ms else 0,
    )
    membership.register_server(server, now)
