"""The platform's settings file as settings of a hosted node."""

from __future__ import annotations

import os
from typing import Any

import msgspec

from marigoldchute.errors import ResultCode, SettingsError
from marigoldchute.hosted.settings import Bounds, HostedSettings, parse_endpoint
from marigoldchute.objectstore.settings import StoreSettings
from marigoldchute.routing.dialect import Dialect

SETTINGS_VARIABLE = "MARIGOLDCHUTE_BOOT"
STORE_CALLS_PER_S = 8.0  # Two watches of a reader in a storm, and some to spare.
STORE_BURST_CALLS = 40.0
STORE_TIMEOUT_MS = 1_500
METRICS_PORT = 9_464  # The deploy file names it too; it does not change by the day.

DIALECT = Dialect(
    deadline=b"deadline-ms",
    request_id=b"attempt-id",
    not_run=b"not-executed",
    echoes_id=True,
    expected_server=b"expected-instance",
    caller_service=b"caller-service",
    keeps_given_id=True,
    accepts_unframed=True,
    misdirected_status=421,
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


def settings_path() -> str:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        The environment does not name it.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f"{SETTINGS_VARIABLE} does not name a settings file",
            ResultCode.SETTINGS_UNREADABLE,
        )
    return path


def read_settings(path: str) -> HostedSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        The file cannot be read or is not allowed.
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
    """Check the content of a settings file.

    Parameters
    ----------
    data : bytes
        Content of the file.
    source : str
        Its name, for messages.

    Raises
    ------
    SettingsError
        The content is not allowed.
    """
    try:
        found = msgspec.json.decode(data, type=_File)
    except msgspec.DecodeError as exc:
        raise SettingsError(f"{source}: {exc}") from exc
    ports = found.internal_port_range
    if len(ports) != 2 or ports[1] <= ports[0]:
        raise SettingsError(f"{source}: internal_port_range: expected two ports")
    store = parse_endpoint(f"{source}: platform.address", found.platform.address)
    listen = found.listen
    return HostedSettings(
        found.node,
        found.ip,
        found.zone,
        found.region,
        found.service,
        parse_endpoint(f"{source}: app_addr", found.app_addr),
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
        found.heartbeat_ms,
        _parse_bounds(found.bounds, source),
    )


def _parse_bounds(texts: list[str], source: str) -> Bounds:
    given: dict[str, Any] = {}
    for text in texts:
        name, _, value = text.partition("=")
        try:
            given[name] = float(value)
        except ValueError:
            continue  # A bound that is true or false; none of those is used.
    usual = Bounds()
    return Bounds(
        given.get("grace_s", usual.grace_s),
        given.get("retry_ratio", usual.retry_share),
        given.get("retry_slack", usual.retry_slack),
        given.get("budget_window_s", usual.retry_window_s),
    )
