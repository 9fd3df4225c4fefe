"""Settings of a node: parsing from JSON with comments, and validation."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import enum
import ipaddress
from typing import TYPE_CHECKING, Annotated, Any

import msgspec

from marigoldchute.errors import SettingsError
from marigoldchute.objectstore.settings import Port, StoreSettings
from marigoldchute.util.convert import ConversionError, convert
from marigoldchute.util.jsonc import load_file

if TYPE_CHECKING:
    from collections.abc import Iterable

PUBLIC_KEY_BYTES = 32
MIN_SECRET_CHARS = 16

Name = Annotated[
    str,
    msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=64),
]
ClockErrorMs = Annotated[int, msgspec.Meta(ge=0, le=60_000)]
HeartbeatMs = Annotated[int, msgspec.Meta(ge=50, le=60_000)]
FenceAfterMs = Annotated[int, msgspec.Meta(ge=1000, le=600_000)]
MIN_FENCE_HEARTBEATS = 4


class DistributionMode(enum.StrEnum):
    """How bundles reach a node: relayed by a reader and peers, or from the store."""

    RELAYED = "relayed"
    DIRECT = "direct"


@dataclasses.dataclass(frozen=True)
class TrustedKey:
    """Public key that verifies the signatures of bundles.

    Parameters
    ----------
    key_id : str
        Name by which a signature refers to the key.
    public_key : str
        Ed25519 public key, 32 bytes in base64.
    """

    key_id: Name
    public_key: str


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Settings of one node process.

    Parameters
    ----------
    name : str
        Unique name of the VM.
    address : str
        IP address on which the node listens.
    data_centre, region : str
        Location of the VM.
    store : StoreSettings
        Connection to the platform's object API.
    trusted_keys : tuple of TrustedKey
        Keys that may sign bundles.
    seeds : tuple of str
        ``address:port`` of the peers that the node contacts first when it joins.
    advertise_address : str
        IP address at which peers reach the node; ``address`` when empty.
    caller_port, internal_port, peer_port, admin_port : int
        TCP ports for callers, local backend servers, peers and operators.
    peer_secret, admin_token : str
        Shared secrets of peers and operators, at least ``MIN_SECRET_CHARS``
        characters each.
    accepted_peer_secrets : tuple of str
        Additional secrets that are accepted from peers while ``peer_secret`` is being
        replaced.
    clock_error_ms : int
        Maximum difference between a VM's clock and true time.
    heartbeat_ms : int
        Interval between heartbeats on an idle connection.
    clock_offset_ms : int
        Offset added to the machine's clock, for tests.
    move_evidence : bool
        Whether the outcomes of requests influence moves. Benchmarks turn it off to
        measure the difference.
    distribution : DistributionMode
        How bundles reach this node. Benchmarks use ``direct`` for comparison.
    fence_after_ms : int
        Time without contact to other members after which the node refuses requests.
    """

    name: Name
    address: str
    data_centre: Name
    region: Name
    store: StoreSettings
    trusted_keys: tuple[TrustedKey, ...]
    seeds: tuple[str, ...] = ()
    advertise_address: str = ""
    caller_port: Port = 8000
    internal_port: Port = 8001
    peer_port: Port = 7000
    admin_port: Port = 7100
    peer_secret: str = ""
    accepted_peer_secrets: tuple[str, ...] = ()
    admin_token: str = ""
    clock_error_ms: ClockErrorMs = 250
    heartbeat_ms: HeartbeatMs = 1000
    clock_offset_ms: int = 0
    move_evidence: bool = True
    distribution: DistributionMode = DistributionMode.RELAYED
    fence_after_ms: FenceAfterMs = 20_000


def parse_node_settings(value: Any, source: str) -> NodeSettings:
    """Validate decoded settings and return them as a dataclass.

    Parameters
    ----------
    value : Any
        Decoded JSON value.
    source : str
        File name for error messages.

    Returns
    -------
    NodeSettings
        Validated settings.

    Raises
    ------
    SettingsError
        A key is missing or unknown, or a value is not allowed.
    """
    try:
        cfg = convert(value, NodeSettings)
        _check_addresses(cfg)
        _check_ports(cfg)
        _check_keys(cfg.trusted_keys)
        _check_secrets(cfg)
        _check_fence_timeout(cfg)
    except ConversionError as exc:
        raise SettingsError(f"{source}: {exc}") from exc
    return cfg


def load_node_settings(path: str) -> NodeSettings:
    """Read the settings of a node from a file.

    Parameters
    ----------
    path : str
        Path of a JSON file, which may contain comments.

    Returns
    -------
    NodeSettings
        Validated settings.

    Raises
    ------
    SettingsError
        The file cannot be read or parsed, or its settings are not allowed.
    """
    return parse_node_settings(load_file(path), path)


def _check_fence_timeout(cfg: NodeSettings) -> None:
    if cfg.fence_after_ms < MIN_FENCE_HEARTBEATS * cfg.heartbeat_ms:
        raise ConversionError(
            f"$.fence_after_ms: must be at least {MIN_FENCE_HEARTBEATS} times"
            " heartbeat_ms"
        )


def _check_addresses(cfg: NodeSettings) -> None:
    _check_address("$.address", cfg.address)
    _check_address("$.store.address", cfg.store.address)
    if cfg.advertise_address:
        _check_address("$.advertise_address", cfg.advertise_address)
    for index, seed in enumerate(cfg.seeds):
        _check_seed(f"$.seeds[{index}]", seed)
    _check_unique("$.seeds", "seed", cfg.seeds)


def _check_address(path: str, text: str) -> None:
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError as exc:
        raise ConversionError(
            f"{path}: expected an IP address like 10.1.2.3, found {text!r}"
        ) from exc
    if address.is_unspecified or address.is_multicast:
        raise ConversionError(
            f"{path}: expected the address of one machine, found {text!r}"
        )


def _check_seed(path: str, seed: str) -> None:
    address, colon, port = seed.partition(":")
    if not colon:
        raise ConversionError(
            f"{path}: expected ADDRESS:PORT like 10.1.2.3:7000, found {seed!r}"
        )
    _check_address(path, address)
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= 65535):
        raise ConversionError(
            f"{path}: expected a port from 1 to 65535, found {port!r}"
        )


def _check_ports(cfg: NodeSettings) -> None:
    ports = (cfg.caller_port, cfg.internal_port, cfg.peer_port, cfg.admin_port)
    _check_unique(
        "$", "port of caller, internal, peer and admin", (str(port) for port in ports)
    )


def _check_keys(keys: tuple[TrustedKey, ...]) -> None:
    if not keys:
        raise ConversionError(
            "$.trusted_keys: expected at least one key, otherwise no bundle can be "
            "accepted; create one with 'marigoldchute-ctl keys new'"
        )
    _check_unique("$.trusted_keys", "key_id", (key.key_id for key in keys))
    for index, key in enumerate(keys):
        _check_key(f"$.trusted_keys[{index}].public_key", key.public_key)


def _check_key(path: str, text: str) -> None:
    try:
        length = len(base64.b64decode(text, validate=True))
    except (binascii.Error, ValueError) as exc:
        raise ConversionError(f"{path}: expected base64, found {text!r}") from exc
    if length != PUBLIC_KEY_BYTES:
        raise ConversionError(
            f"{path}: expected an Ed25519 public key of {PUBLIC_KEY_BYTES} bytes, "
            f"found {length} bytes"
        )


def _check_secrets(cfg: NodeSettings) -> None:
    for name in ("peer_secret", "admin_token"):
        length = len(getattr(cfg, name))
        if length < MIN_SECRET_CHARS:
            raise ConversionError(
                f"$.{name}: expected at least {MIN_SECRET_CHARS} characters, "
                f"found {length}"
            )
    for index, secret in enumerate(cfg.accepted_peer_secrets):
        if len(secret) < MIN_SECRET_CHARS:
            raise ConversionError(
                f"$.accepted_peer_secrets[{index}]: expected at least "
                f"{MIN_SECRET_CHARS} characters, found {len(secret)}"
            )
    if cfg.admin_token in (cfg.peer_secret, *cfg.accepted_peer_secrets):
        raise ConversionError("$.admin_token: must differ from $.peer_secret")


def _check_unique(path: str, label: str, values: Iterable[str]) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise ConversionError(f"{path}: {label} {value!r} appears twice")
        seen.add(value)
