"""Checks what must always hold on the event logs of a run of real processes."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable

IN_FORCE = "marigoldchute:distribution:in_force"


def read_events(directory: pathlib.Path) -> list[dict[str, Any]]:
    """Return the events of every ``*.log`` file, each file in its own order."""
    events: list[dict[str, Any]] = []
    for path in sorted(directory.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue  # a traceback, or the last line of a killed process
            if isinstance(event, dict) and "message_type" in event:
                events.append(event)
    return events


def find_violations(
    events: Iterable[dict[str, Any]], public_keys: dict[str, str]
) -> list[str]:
    """Return one sentence for each violation in the events of a run.

    Parameters
    ----------
    events : iterable of dict
        Events, those of one process in the order in which it logged them.
    public_keys : dict of str to str
        Trusted Ed25519 public keys in base64, by key id.
    """
    violations: list[str] = []
    highest: dict[str, int] = {}
    digests: dict[int, str] = {}
    for event in events:
        if event["message_type"] != IN_FORCE:
            continue
        where = f"{event['process']}: version {event['version']}"
        version = event["version"]
        held = highest.get(event["process"], 0)
        if version < held:
            violations.append(f"{where} is in force after version {held}")
        highest[event["process"]] = max(version, held)
        known = digests.setdefault(version, event["digest"])
        if known != event["digest"]:
            violations.append(f"{where} differs from another node's")
        violations += _check_whole(event, where)
        violations += _check_signature(event, where, public_keys)
    return violations


def _check_whole(event: dict[str, Any], where: str) -> list[str]:
    found: list[str] = []
    missing = set(event["routed_services"]) - set(event["services"])
    if missing:
        found.append(f"{where} routes to {sorted(missing)}, which it lacks")
    if event["content_digest"] != event["digest"]:
        found.append(f"{where} holds other content than was signed off")
    return found


def _check_signature(
    event: dict[str, Any], where: str, public_keys: dict[str, str]
) -> list[str]:
    public_key = public_keys.get(event["key_id"])
    if public_key is None:
        return [f"{where} is signed with the unknown key {event['key_id']!r}"]
    key = Ed25519PublicKey.from_public_bytes(base64.b64decode(public_key))
    try:
        key.verify(bytes.fromhex(event["signature"]), event["digest"].encode())
    except InvalidSignature:
        return [f"{where} is not signed off"]
    return []
