"""Checks of invariants on the event logs of a run with real processes."""

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
    """Return the events of every ``*.log`` file, in the order of each file."""
    events: list[dict[str, Any]] = []
    for path in sorted(directory.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue  # A traceback, or the partial last line of a killed process.
            if isinstance(event, dict) and "message_type" in event:
                events.append(event)
    return events


def find_violations(
    events: Iterable[dict[str, Any]], public_keys: dict[str, str]
) -> list[str]:
    """Return a sentence for each violated invariant in the events of a run.

    Parameters
    ----------
    events : iterable of dict
        Events; those of one process in the order in which they were logged.
    public_keys : dict of str to str
        Trusted Ed25519 public keys in base64, by key id.
    """
    violations: list[str] = []
    highest_versions: dict[str, int] = {}
    digests_by_version: dict[int, str] = {}
    for event in events:
        if event["message_type"] != IN_FORCE:
            continue
        label = f"{event['process']}: version {event['version']}"
        version = event["version"]
        previous = highest_versions.get(event["process"], 0)
        if version < previous:
            violations.append(f"{label} is in force after version {previous}")
        highest_versions[event["process"]] = max(version, previous)
        expected_digest = digests_by_version.setdefault(version, event["digest"])
        if expected_digest != event["digest"]:
            violations.append(f"{label} differs from another node's")
        violations += _check_completeness(event, label)
        violations += _check_signature(event, label, public_keys)
    return violations


def _check_completeness(event: dict[str, Any], label: str) -> list[str]:
    violations: list[str] = []
    missing = set(event["routed_services"]) - set(event["services"])
    if missing:
        violations.append(f"{label} routes to {sorted(missing)}, which it lacks")
    if event["content_digest"] != event["digest"]:
        violations.append(f"{label} holds other content than was signed off")
    return violations


def _check_signature(
    event: dict[str, Any], label: str, public_keys: dict[str, str]
) -> list[str]:
    public_key = public_keys.get(event["key_id"])
    if public_key is None:
        return [f"{label} is signed with the unknown key {event['key_id']!r}"]
    key = Ed25519PublicKey.from_public_bytes(base64.b64decode(public_key))
    try:
        key.verify(bytes.fromhex(event["signature"]), event["digest"].encode())
    except InvalidSignature:
        return [f"{label} is not signed off"]
    return []
