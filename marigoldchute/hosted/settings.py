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
    warmup_overshoot, warmup_slack : float
        A cold backend server may get ``warmup_overshoot`` times its tolerated rate
        and ``warmup_slack`` requests in any second.
    evacuation_s : float
        Time in which an evacuated data centre must stop getting requests; 0 when data
        centres cannot be evacuated.
    quota_window_s : float
        Length of the windows in which customers' requests are limited.
    quota_overshoot, quota_slack : float
        Ratio and number of requests by which a window may exceed a customer's quota.
    """

    grace_s: float = 6.0
    retry_share: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    warmup_overshoot: float = 1.0
    warmup_slack: float = 0.0
    evacuation_s: float = 0.0
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0


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
    memory_mb : float
        Memory that the process may use in megabytes; 0 if unknown.
    max_descriptors : int
        File descriptors that the process may open; 0 if unknown.
    region_by_data_centre : dict of str to str
        Region of each data centre.
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
    memory_mb: float = 0.0
    max_descriptors: int = 0
    region_by_data_centre: dict[str, str] = dataclasses.field(default_factory=dict)


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
