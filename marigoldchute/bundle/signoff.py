"""Parsing of bundle and key files, and signing of bundles for a roll."""

from __future__ import annotations

import dataclasses
import secrets
from typing import Any

from marigoldchute.admin.messages import RollRequest
from marigoldchute.bundle.codec import chunk_digest, encode_manifest, split_content
from marigoldchute.bundle.model import BundleContent
from marigoldchute.bundle.signing import derive_public_key, sign_manifest
from marigoldchute.bundle.source import build_content, parse_source
from marigoldchute.bundle.validation import validate_content
from marigoldchute.errors import BundleError, MarigoldchuteError, SettingsError
from marigoldchute.util.convert import ConversionError, convert


@dataclasses.dataclass(frozen=True)
class KeyFile:
    """Signing key of an operator, in the file format of ``keys new``.

    Parameters
    ----------
    key_id : str
        Name of the key in the trusted keys of the nodes.
    private_key, public_key : str
        Ed25519 key pair, 32 bytes each in base64.
    """

    key_id: str
    private_key: str
    public_key: str


@dataclasses.dataclass(frozen=True)
class BuiltBundle:
    """Validated content with absolute times, ready to be signed."""

    content: BundleContent


def parse_key_file(value: Any, source: str) -> KeyFile:
    """Convert and check a decoded key file.

    Raises
    ------
    SettingsError
        A value is missing, or the public key does not belong to the private key.
    """
    try:
        key = convert(value, KeyFile)
    except ConversionError as exc:
        raise SettingsError(f"{source}: {exc}") from exc
    try:
        public_key = derive_public_key(key.private_key)
    except SettingsError as exc:
        raise SettingsError(f"{source}: $.private_key: {exc.message}") from exc
    if public_key != key.public_key:
        raise SettingsError(f"{source}: $.public_key does not belong to $.private_key")
    return key


def parse_bundle_content(
    value: Any, source: str, now_ms: int, complete_within_ms: int | None = None
) -> BundleContent:
    """Return the validated content of an operator's source file or a built file.

    Parameters
    ----------
    value : Any
        Decoded file.
    source : str
        File name for error messages.
    now_ms : int
        Wall-clock time in milliseconds since the epoch to which the relative times of
        a source file are added.
    complete_within_ms : int, optional
        Replaces the time limit of every move of a source file.

    Raises
    ------
    MarigoldchuteError
        The file is not a valid bundle.
    """
    if isinstance(value, dict) and "content" in value:
        try:
            content = convert(value, BuiltBundle).content
        except ConversionError as exc:
            raise BundleError(f"{source}: {exc}") from exc
    else:
        bundle_source = parse_source(value, source)
        content = build_content(bundle_source, now_ms, complete_within_ms)
    try:
        validate_content(content)
    except MarigoldchuteError as exc:
        raise type(exc)(f"{source}: {exc.message}", exc.code) from exc
    return content


def sign_content(
    content: BundleContent, version: int, key: KeyFile, author: str
) -> RollRequest:
    """Sign content as a version and return the request to roll it."""
    chunks = split_content(content)
    manifest = sign_manifest(
        version,
        [chunk_digest(chunk) for chunk in chunks],
        key.key_id,
        key.private_key,
        author,
        secrets.token_hex(8),
    )
    return RollRequest(encode_manifest(manifest), tuple(chunks))


def is_signed_bundle(value: Any) -> bool:
    """Return whether a decoded file is a signed bundle."""
    return isinstance(value, dict) and "manifest" in value


def parse_signed_bundle(value: Any, source: str) -> RollRequest:
    """Convert and check a decoded signed bundle.

    Raises
    ------
    BundleError
        The file is not a signed bundle.
    """
    try:
        return convert(value, RollRequest)
    except ConversionError as exc:
        raise BundleError(f"{source}: {exc}") from exc
