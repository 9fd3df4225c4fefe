"""Signing and verification of bundles with Ed25519 keys."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from marigoldchute.bundle.codec import manifest_digest
from marigoldchute.bundle.model import Manifest
from marigoldchute.errors import BundleError, ResultCode, SettingsError

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from marigoldchute.config import TrustedKey


def generate_private_key() -> str:
    """Return a new Ed25519 private key, 32 bytes in base64."""
    return base64.b64encode(Ed25519PrivateKey.generate().private_bytes_raw()).decode()


def derive_public_key(private_key: str) -> str:
    """Return the public key of a private key, both in base64."""
    key = Ed25519PrivateKey.from_private_bytes(_decode_key(private_key))
    return base64.b64encode(key.public_key().public_bytes_raw()).decode()


def _decode_key(text: str) -> bytes:
    try:
        raw = base64.b64decode(text, validate=True)
    except binascii.Error as exc:
        raise SettingsError(f"key is not base64: {exc}") from exc
    if len(raw) != 32:
        raise SettingsError(f"key has {len(raw)} bytes, an Ed25519 key has 32")
    return raw


def sign_manifest(
    version: int,
    chunks: Sequence[str],
    key_id: str,
    private_key: str,
    author: str,
    token: str,
) -> Manifest:
    """Return the signed manifest of a version with these chunk digests."""
    digest = manifest_digest(version, chunks, author, token)
    key = Ed25519PrivateKey.from_private_bytes(_decode_key(private_key))
    signature = key.sign(digest.encode())
    return Manifest(version, tuple(chunks), digest, key_id, signature, author, token)


class SignatureVerifier:
    """Verifies manifests with the trusted keys of the settings."""

    def __init__(self, keys: Iterable[TrustedKey]) -> None:
        self._keys = {
            key.key_id: Ed25519PublicKey.from_public_bytes(_decode_key(key.public_key))
            for key in keys
        }

    def verify(self, manifest: Manifest) -> None:
        """Verify the digest and the signature of a manifest.

        Raises
        ------
        BundleError
            The manifest is not signed, is signed with an untrusted key, or does not
            match its digest or signature.
        """
        if not manifest.signature:
            raise BundleError("bundle is not signed", ResultCode.BUNDLE_UNSIGNED)
        key = self._keys.get(manifest.key_id)
        if key is None:
            raise BundleError(
                f"signing key {manifest.key_id!r} is not trusted",
                ResultCode.BUNDLE_KEY_UNKNOWN,
            )
        computed = manifest_digest(
            manifest.version, manifest.chunks, manifest.author, manifest.token
        )
        if manifest.digest != computed:
            raise BundleError(
                "manifest does not match its digest", ResultCode.BUNDLE_DIGEST_MISMATCH
            )
        try:
            key.verify(manifest.signature, manifest.digest.encode())
        except InvalidSignature as exc:
            raise BundleError(
                "signature does not match", ResultCode.BUNDLE_SIGNATURE_INVALID
            ) from exc
