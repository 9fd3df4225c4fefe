"""Validated settings of a hosted node."""

from __future__ import annotations

import dataclasses
import ipaddress

from marigoldchute.errors import SettingsError
from marigoldchute.objectstore.settings import StoreSettings

MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits that the mesh guarantees.

    Parameters
    ----------
    grace_s : float
        Time between the stop signal and the forced end of the process.
    retry_share : float
        Retries per request that all nodes together may make in a window.
    retry_slack : float
        Additional retries that all nodes together may make in a window.
    retry_window_s : float
        Length of the retry window.
    """

    grace_s: float = 6.0
    retry_share: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """IP address and TCP port."""

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
        IP address of the VM.
    data_centre, region : str
        Data centre and region of the VM.
    service : str
        Service that the backend server on this VM provides.
    backend : Endpoint
        Address of that backend server.
    callers : Endpoint
        Address to which callers and the backend server on this VM send requests.
    control : Endpoint
        Address to which the backend server reports its state.
    readiness : Endpoint
        Address at which the platform polls the readiness of the node.
    peer_port, metrics_port : int
        TCP ports for peers and for metrics.
    store : StoreSettings
        The platform's store.
    report_interval_ms : int
        Typical time between two reports of a backend server.
    bounds : Bounds
        Limits that the mesh guarantees.
    link_mbps : float
        Rate of the VM's connection to the network in megabits a second; 0 if unknown.
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
    link_mbps: float = 0.0


def parse_endpoint(field: str, text: object) -> Endpoint:
    """Parse an endpoint like ``10.1.2.3:80``.

    Raises
    ------
    SettingsError
        The text is not a valid endpoint.
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
