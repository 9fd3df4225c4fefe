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
LOCAL_ADDRESS = "127.0.0.1"
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_COLD_MS = 3_600_000

Label = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


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
    instance : str
        Chosen anew at each start, so that a restart on the same port is told apart.
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
    """An announcement that cannot be taken."""

    code = ResultCode.ANNOUNCEMENT_INVALID


def take_announcement(
    membership: Membership, body: bytes, sender: str, now_ms: int, now: float
) -> None:
    """Decode an announcement and hand it to membership.

    Parameters
    ----------
    membership : Membership
        Members of the mesh.
    body : bytes
        JSON of an ``Announcement``.
    sender : str
        IP number from which it came; only the VM's own is accepted.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    now : float
        Monotonic time in seconds.

    Raises
    ------
    AnnouncementError
        The body is not an announcement, or it came from another VM.
    """
    if sender not in (membership.own_address, LOCAL_ADDRESS):
        raise AnnouncementError(
            f"announcement came from {sender}, not from this VM",
            ResultCode.ANNOUNCEMENT_FOREIGN,
        )
    try:
        said = msgspec.json.decode(body, type=Announcement)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise AnnouncementError(f"announcement is malformed: {exc}") from exc
    instance = f"/{said.instance}" if said.instance else ""
    server = BackendServer(
        server_id=f"{membership.local.name}/{said.port}{instance}",
        service=said.service,
        release=said.release,
        port=said.port,
        slots=said.slots,
        connections=said.connections,
        draining=said.draining,
        warm_at_ms=now_ms + said.cold_ms if said.cold_ms else 0,
    )
    membership.announce(server, now)
