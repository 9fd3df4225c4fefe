"""Settings of a node, read from JSON with comments and checked."""

from __future__ import annotations

import dataclasses
import difflib
from typing import Any

import msgspec

from marigoldchute.errors import SettingsError
from marigoldchute.util.jsonc import load_file


@dataclasses.dataclass(frozen=True)
class TrustedKey:
    """Public key whose signature makes a bundle valid.

    Parameters
    ----------
    key_id : str
        Name under which a signature refers to the key.
    public_key : str
        Ed25519 public key, 32 bytes in base64.
    """

    key_id: str
    public_key: str


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """Where the platform's object API is and how often it may be called.

    Parameters
    ----------
    address : str
        IP number of the object API.
    port : int
        TCP port of the object API.
    calls_per_s : float
        Greatest sustained rate of calls from this node.
    burst_calls : float
        Calls that this node may make at once after a quiet time.
    timeout_ms : int
        Time limit of one call.
    """

    address: str
    port: int
    calls_per_s: float = 2.0
    burst_calls: float = 60.0
    timeout_ms: int = 3000


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Settings of one node process.

    Parameters
    ----------
    name : str
        Unique name of the VM.
    address : str
        IP number on which the node listens.
    data_centre, region : str
        Place of the VM.
    store : StoreSettings
        The platform's object API.
    trusted_keys : tuple of TrustedKey
        Keys that may sign bundles.
    seeds : tuple of str
        ``address:port`` of peers to try first when joining.
    advertise_address : str
        IP number under which peers reach the node; ``address`` when empty.
    caller_port, internal_port, peer_port, admin_port : int
        TCP ports for callers, local backend servers, peers and operators.
    peer_secret, admin_token : str
        Shared secrets of peers and operators.
    clock_error_ms : int
        Greatest difference between a VM's clock and true time.
    heartbeat_ms : int
        Interval between heartbeats on an idle connection.
    """

    name: str
    address: str
    data_centre: str
    region: str
    store: StoreSettings
    trusted_keys: tuple[TrustedKey, ...]
    seeds: tuple[str, ...] = ()
    advertise_address: str = ""
    caller_port: int = 8000
    internal_port: int = 8001
    peer_port: int = 7000
    admin_port: int = 7100
    peer_secret: str = ""
    admin_token: str = ""
    clock_error_ms: int = 250
    heartbeat_ms: int = 1000


def check_keys(value: Any, cls: type, path: str) -> None:
    """Refuse keys that a settings class does not know.

    Parameters
    ----------
    value : Any
        Decoded JSON value.
    cls : type
        Dataclass that describes it.
    path : str
        File name and key path for the message.

    Raises
    ------
    SettingsError
        An unknown key, with the nearest known name.
    """
    if not isinstance(value, dict):
        return
    known = {field.name for field in dataclasses.fields(cls)}
    for key in value:
        if key in known:
            continue
        near = difflib.get_close_matches(key, sorted(known), n=1)
        hint = f"; did you mean {near[0]!r}?" if near else ""
        raise SettingsError(f"{path}: unknown key {key!r}{hint}")


def parse_node_settings(value: Any, source: str) -> NodeSettings:
    """Check decoded settings and return them as a dataclass.

    Parameters
    ----------
    value : Any
        Decoded JSON value.
    source : str
        File name for messages.

    Returns
    -------
    NodeSettings
        Checked settings.

    Raises
    ------
    SettingsError
        A missing or unknown key, or a value that is not allowed.
    """
    check_keys(value, NodeSettings, source)
    if isinstance(value, dict):
        check_keys(value.get("store"), StoreSettings, f"{source}: $.store")
        for index, key in enumerate(value.get("trusted_keys") or ()):
            check_keys(key, TrustedKey, f"{source}: $.trusted_keys[{index}]")
    try:
        return msgspec.convert(value, NodeSettings)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{source}: {exc}") from exc


def load_node_settings(path: str) -> NodeSettings:
    """Read the settings of a node from a file.

    Parameters
    ----------
    path : str
        File of JSON with comments.

    Returns
    -------
    NodeSettings
        Checked settings.

    Raises
    ------
    SettingsError
        The file cannot be read, parsed or is not allowed.
    """
    return parse_node_settings(load_file(path), path)
