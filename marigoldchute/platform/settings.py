"""Conversion of the platform's settings file to the settings of a hosted node."""

from __future__ import annotations

import math
import os
from typing import Any

import msgspec

from marigoldchute.errors import ResultCode, SettingsError
from marigoldchute.hosted.settings import Bounds, HostedSettings, parse_endpoint
from marigoldchute.objectstore.settings import StoreSettings
from marigoldchute.routing.dialect import Dialect

SETTINGS_VARIABLE = "MARIGOLDCHUTE_BOOT"
STORE_CALLS_PER_S = 8.0  # Two watches of a reader in a burst of changes, with slack.
STORE_BURST_CALLS = 40.0
STORE_TIMEOUT_MS = 1_500
METRICS_PORT = 9_464  # Fixed, because the deployment file names it as well.

DIALECT = Dialect(
    deadline=b"deadline-ms",
    request_id=b"attempt-id",
    not_run=b"not-executed",
    echoes_request_id=True,
    expected_server=b"expected-instance",
    caller_service=b"caller-service",
    customer=b"tenant-id",
    authorization=b"authorization",
    warmup=b"warmup-ms",
    forwards_given_id=True,
    accepts_unframed=True,
    misdirected_status=421,
    # Not promised by the pages; calls whose ids do not follow it count as requests.
    nested_id_separator=".",
)


class _Store(msgspec.Struct, frozen=True):
    address: str


class _File(msgspec.Struct, frozen=True):
    node: str
    ip: str
    zone: str
    region: str
    listen: dict[str, str]
    internal_port_range: list[int]
    heartbeat_ms: int
    bounds: list[str]
    app_addr: str
    service: str
    platform: _Store
    # Not needed to start, so not checked here.
    limits: Any = None
    zones: Any = None


def settings_path() -> str:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        The environment variable that names it is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f"{SETTINGS_VARIABLE} is not set to the path of a settings file",
            ResultCode.SETTINGS_UNREADABLE,
        )
    return path


def read_settings(path: str) -> HostedSettings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        The file cannot be read or is invalid.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as exc:
        raise SettingsError(
            f"{path}: {exc.strerror}", ResultCode.SETTINGS_UNREADABLE
        ) from exc
    return parse_settings(data, path)


def parse_settings(data: bytes, source: str) -> HostedSettings:
    """Parse and validate the content of a settings file.

    Parameters
    ----------
    data : bytes
        Content of the file.
    source : str
        Name of the file for error messages.

    Raises
    ------
    SettingsError
        The content is invalid.
    """
    try:
        decoded = msgspec.json.decode(data, type=_File)
    except msgspec.DecodeError as exc:
        raise SettingsError(f"{source}: {exc}") from exc
    ports = decoded.internal_port_range
    if len(ports) != 2 or ports[1] <= ports[0]:
        raise SettingsError(
            f"{source}: internal_port_range: expected two ascending ports"
        )
    store = parse_endpoint(f"{source}: platform.address", decoded.platform.address)
    listen = decoded.listen
    return HostedSettings(
        decoded.node,
        decoded.ip,
        decoded.zone,
        decoded.region,
        decoded.service,
        parse_endpoint(f"{source}: app_addr", decoded.app_addr),
        parse_endpoint(f"{source}: listen.outbound", listen.get("outbound")),
        parse_endpoint(f"{source}: listen.control", listen.get("control")),
        parse_endpoint(f"{source}: listen.ready", listen.get("ready")),
        ports[0],
        METRICS_PORT,
        StoreSettings(
            store.address,
            store.port,
            STORE_CALLS_PER_S,
            STORE_BURST_CALLS,
            STORE_TIMEOUT_MS,
        ),
        decoded.heartbeat_ms,
        _parse_bounds(decoded.bounds, source),
        _parse_limit(decoded.limits, "link_mbps"),
        _parse_limit(decoded.limits, "memory_mb"),
        int(_parse_limit(decoded.limits, "max_fds")),
        _parse_regions(decoded.zones),
    )


def _parse_regions(regions: object) -> dict[str, str]:
    """Return the region of each data centre; entries of other types are left out."""
    if not isinstance(regions, dict):
        return {}
    return {k: v for k, v in regions.items() if isinstance(v, str)}


def _parse_limit(limits: object, name: str) -> float:
    """Return a limit of the VM, 0 for a missing one or one that is no number."""
    value = limits.get(name) if isinstance(limits, dict) else None
    if isinstance(value, int | float) and math.isfinite(value):
        return max(0.0, float(value))
    return 0.0


def _parse_bounds(assignments: list[str], source: str) -> Bounds:
    values: dict[str, Any] = {}
    for assignment in assignments:
        name, _, value = assignment.partition("=")
        try:
            values[name] = float(value)
        except ValueError:
            continue  # The value is a boolean; no boolean bound is used.
    defaults = Bounds()
    return Bounds(
        values.get("grace_s", defaults.grace_s),
        values.get("retry_ratio", defaults.retry_share),
        values.get("retry_slack", defaults.retry_slack),
        values.get("budget_window_s", defaults.retry_window_s),
        values.get("warmup_overshoot", defaults.warmup_overshoot),
        values.get("warmup_slack", defaults.warmup_slack),
        values.get("evacuate_ms", 0.0) / 1000,
        values.get("quota_window_s", defaults.quota_window_s),
        values.get("quota_overshoot", defaults.quota_overshoot),
        values.get("quota_slack", defaults.quota_slack),
    )
