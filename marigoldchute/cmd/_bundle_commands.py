"""Operator commands for signing keys and bundle files."""

from __future__ import annotations

import dataclasses
import getpass
import os
from typing import Annotated, Any

import cappa
import msgspec

from marigoldchute.bundle.signing import derive_public_key, generate_private_key
from marigoldchute.bundle.signoff import (
    BuiltBundle,
    KeyFile,
    parse_bundle_content,
    parse_key_file,
    sign_content,
)
from marigoldchute.cmd._program import print_json, report_error
from marigoldchute.errors import MarigoldchuteError
from marigoldchute.events import wall_clock_ms
from marigoldchute.util.jsonc import load_file

KEY_FILE_PERMISSIONS = 0o600

BundlePathArg = Annotated[
    str, cappa.Arg(value_name="FILE", help="Bundle file, JSON with comments.")
]
KeyPathArg = Annotated[
    str,
    cappa.Arg(
        long="--key",
        short="-k",
        value_name="FILE",
        default=cappa.Env("MARIGOLDCHUTE_KEY", default=""),
        help="Signing key created by 'keys new'. Also $MARIGOLDCHUTE_KEY.",
    ),
]
OutputPathArg = Annotated[
    str,
    cappa.Arg(
        long="--out",
        short="-o",
        value_name="FILE",
        help="Output file; standard output if omitted.",
    ),
]
CompleteWithinMsArg = Annotated[
    int | None,
    cappa.Arg(
        long="--complete-within-ms",
        value_name="MS",
        help="Time from start to deadline of every move; overrides the file.",
    ),
]


def load_key(path: str) -> KeyFile:
    """Read and validate a signing key.

    Raises
    ------
    MarigoldchuteError
        The path is empty, or the file cannot be read or is not a signing key.
    """
    if not path:
        raise MarigoldchuteError(
            "no signing key: give --key FILE, created by 'marigoldchute-ctl keys new'"
        )
    return parse_key_file(load_file(path), path)


def write_output(value: Any, path: str, permissions: int = 0o644) -> None:
    """Write a value as JSON to a new file, or print it if the path is empty.

    Raises
    ------
    MarigoldchuteError
        The file exists already or cannot be written.
    """
    if not path:
        print_json(value)
        return
    body = msgspec.json.format(msgspec.json.encode(value)) + b"\n"
    try:
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, permissions)
    except OSError as exc:
        raise MarigoldchuteError(f"{path}: cannot be written: {exc.strerror}") from exc
    with os.fdopen(fd, "wb") as file:
        file.write(body)


@cappa.command(name="new", help="Create a signing key.")
@dataclasses.dataclass(frozen=True)
class KeysNewCommand:
    """Create an Ed25519 key for signing bundles.

    The private key stays with the operator. The entry for ``trusted_keys`` in the
    nodes' settings is printed.
    """

    key_id: Annotated[
        str, cappa.Arg(value_name="KEY_ID", help="Name of the key, e.g. ops-2026.")
    ]
    out: OutputPathArg = ""

    def __call__(self) -> int:
        """Create the key and write it to the output."""
        private_key = generate_private_key()
        key = KeyFile(self.key_id, private_key, derive_public_key(private_key))
        try:
            write_output(key, self.out, KEY_FILE_PERMISSIONS)
        except MarigoldchuteError as exc:
            return report_error(exc)
        if self.out:
            print(f"{self.out}: keep it secret. Entry for trusted_keys in settings:")
            print_json({"key_id": key.key_id, "public_key": key.public_key})
        return 0


@cappa.command(name="keys", help="Create signing keys.")
@dataclasses.dataclass(frozen=True)
class KeysCommand:
    """Commands for signing keys."""

    command: cappa.Subcommands[KeysNewCommand]


@cappa.command(name="check", help="Check a bundle file without a node.")
@dataclasses.dataclass(frozen=True)
class CheckCommand:
    """Validate the names, references and moves of a bundle file."""

    bundle: BundlePathArg

    def __call__(self) -> int:
        """Validate the file and print a summary."""
        try:
            value = load_file(self.bundle)
            content = parse_bundle_content(value, self.bundle, wall_clock_ms())
        except MarigoldchuteError as exc:
            return report_error(exc)
        print(
            f"{self.bundle}: valid, {len(content.services)} services, "
            f"{len(content.routes)} routes, {len(content.moves)} moves"
        )
        return 0


@cappa.command(name="build", help="Check a bundle file and make its times absolute.")
@dataclasses.dataclass(frozen=True)
class BuildCommand:
    """Build the content to sign, with the moves' times counted from now."""

    bundle: BundlePathArg
    out: OutputPathArg = ""
    complete_within_ms: CompleteWithinMsArg = None

    def __call__(self) -> int:
        """Build the content and write it to the output."""
        try:
            content = parse_bundle_content(
                load_file(self.bundle),
                self.bundle,
                wall_clock_ms(),
                self.complete_within_ms,
            )
            write_output(BuiltBundle(content), self.out)
        except MarigoldchuteError as exc:
            return report_error(exc)
        return 0


@cappa.command(name="sign", help="Sign a bundle for a later roll.")
@dataclasses.dataclass(frozen=True)
class SignCommand:
    """Sign a bundle file or a built bundle with a version number."""

    bundle: BundlePathArg
    key: KeyPathArg
    version: Annotated[
        int,
        cappa.Arg(
            long="--as-version",
            value_name="N",
            help="Version of the signed bundle, one above the newest in 'status'.",
        ),
    ]
    out: OutputPathArg = ""
    complete_within_ms: CompleteWithinMsArg = None

    def __call__(self) -> int:
        """Sign the bundle and write it to the output."""
        try:
            key = load_key(self.key)
            value = load_file(self.bundle)
            content = parse_bundle_content(
                value, self.bundle, wall_clock_ms(), self.complete_within_ms
            )
            if self.version < 1:
                raise MarigoldchuteError("--as-version must be at least 1")
            roll_request = sign_content(content, self.version, key, getpass.getuser())
            write_output(roll_request, self.out)
        except MarigoldchuteError as exc:
            return report_error(exc)
        return 0


@cappa.command(name="bundle", help="Check, build and sign bundles; needs no node.")
@dataclasses.dataclass(frozen=True)
class BundleCommand:
    """Commands for bundle files."""

    command: cappa.Subcommands[CheckCommand | BuildCommand | SignCommand]
