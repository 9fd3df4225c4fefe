"""Settings of a hosted node, checked."""

from __future__ import annotations

import dataclasses
import ipaddress

from marigoldchute.errors import SettingsError
from marigoldchute.objectstore.settings import StoreSettings

MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds that the mesh promises to keep.

    Parameters
    ----------
    grace_s : float
        Time between a request to stop and the end of the process by force.
    retry_share : float
        Repeats for each request that all nodes together may make in a window.
    retry_slack : float
        Repeats that all nodes together may make on top.
    retry_window_s : float
        Length of the window.
    """

    grace_s: float = 6.0
    retry_share: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """IP number and TCP port."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True)
class HostedSettings:
    """Settings of one hosted node.

    Parameters
    ----------
    name : str
        Unique name of the VM.
    address : str
        IP number of the VM.
    data_centre, region : str
        Place of the VM.
    service : str
        Service of the backend server on this VM.
    backend : Endpoint
        Where that backend server listens.
    callers : Endpoint
        Where callers and the backend server on this VM send their requests.
    control : Endpoint
        Where the backend server reports its state.
    readiness : Endpoint
        Where the platform asks whether the node is ready.
    peer_port, metrics_port : int
        TCP ports for peers and for metrics.
    store : StoreSettings
        The platform's store.
    report_interval_ms : int
        Usual time between two reports of a backend server.
    bounds : Bounds
        Bounds to keep.
    """

    name: str
    address: str
    data_centre: str
    region: str
    service: str
    backend: Endpoint
    callers: Endpoint
    control: Endpoint
    readiness: Endpoint
    peer_port: int
    metrics_port: int
    store: StoreSettings
    report_interval_ms: int
    bounds: Bounds = Bounds()


def parse_endpoint(field: str, text: object) -> Endpoint:
    """Return the endpoint that a text like ``10.1.2.3:80`` names.

    Raises
    ------
    SettingsError
        It names none.
    """
    address, _, port = str(text).rpartition(":")
    try:
        ipaddress.IPv4Address(address)
    except ValueError as exc:
        raise SettingsError(
            f"{field}: expected ADDRESS:PORT like 10.1.2.3:80, found {text!r}"
        ) from exc
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT):
        raise SettingsError(f"{field}: expected a port from 1 to 65535 in {text!r}")
    return Endpoint(address, int(port))
