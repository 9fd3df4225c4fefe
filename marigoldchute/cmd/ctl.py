"""marigoldchute-ctl: the operator's program."""

from __future__ import annotations

import dataclasses
import getpass
import secrets
import sys
from typing import TYPE_CHECKING, Annotated, Any

import cappa
import msgspec
import trio

from marigoldchute import __version__
from marigoldchute.admin.client import AdminClient
from marigoldchute.admin.messages import RollOrder
from marigoldchute.bundle.codec import chunk_digest, encode_manifest, split_content
from marigoldchute.bundle.signing import (
    generate_private_key,
    public_key_of,
    sign_manifest,
)
from marigoldchute.bundle.source import build_content, parse_source
from marigoldchute.bundle.validation import validate_content
from marigoldchute.errors import MarigoldchuteError, ResultCode
from marigoldchute.events import wall_clock_ms
from marigoldchute.util.jsonc import load_file

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

POLL_S = 0.2


@dataclasses.dataclass(frozen=True)
class KeyFile:
    """Signing key of an operator, as ``keys new`` writes it."""

    key_id: str
    private_key: str
    public_key: str


def _run(action: Callable[[], Awaitable[int]]) -> int:
    try:
        return trio.run(action)
    except MarigoldchuteError as exc:
        print(exc, file=sys.stderr)
        return exc.code.exit_status


def _show(value: Any) -> None:
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


@cappa.command(name="keys", help="Print a new signing key as JSON.")
@dataclasses.dataclass(frozen=True)
class KeysCommand:
    """Make a signing key."""

    key_id: str

    def __call__(self) -> int:
        """Print the key."""
        private_key = generate_private_key()
        _show(KeyFile(self.key_id, private_key, public_key_of(private_key)))
        return 0


@cappa.command(name="roll", help="Build, sign off and roll a bundle.")
@dataclasses.dataclass(frozen=True)
class RollCommand:
    """Build a bundle from a file, sign it and hand it to a node."""

    bundle: str
    key: str
    node: str
    token: str
    complete_within_ms: Annotated[int | None, cappa.Arg(long=True)] = None

    def __call__(self) -> int:
        """Roll the bundle."""
        return _run(self._roll)

    async def _roll(self) -> int:
        source = parse_source(load_file(self.bundle), self.bundle)
        content = build_content(source, wall_clock_ms(), self.complete_within_ms)
        validate_content(content)
        key = msgspec.convert(load_file(self.key), KeyFile)
        client = AdminClient(self.node, self.token)
        version = (await client.status()).newest_version + 1
        chunks = split_content(content)
        manifest = sign_manifest(
            version,
            [chunk_digest(chunk) for chunk in chunks],
            key.key_id,
            key.private_key,
            getpass.getuser(),
            secrets.token_hex(8),
        )
        order = RollOrder(encode_manifest(manifest), tuple(chunks))
        _show(await client.roll(order))
        return 0


@cappa.command(name="status", help="Show members, versions and moves.")
@dataclasses.dataclass(frozen=True)
class StatusCommand:
    """Show what a node knows."""

    node: str
    token: str

    def __call__(self) -> int:
        """Show the status."""
        return _run(self._status)

    async def _status(self) -> int:
        _show(await AdminClient(self.node, self.token).status())
        return 0


@cappa.command(name="verdict", help="Show the verdict of a move.")
@dataclasses.dataclass(frozen=True)
class VerdictCommand:
    """Show a verdict, on request once it is final."""

    move: str
    node: str
    token: str
    wait: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> int:
        """Show the verdict."""
        return _run(self._verdict)

    async def _verdict(self) -> int:
        client = AdminClient(self.node, self.token)
        while True:
            status = await client.verdict(self.move)
            if status.verdict in ("done", "taken back") or not self.wait:
                _show(status)
                taken_back = status.verdict == "taken back"
                return ResultCode.MOVE_TAKEN_BACK.exit_status if taken_back else 0
            await trio.sleep(POLL_S)


@cappa.command(name="cancel", help="Take a move back.")
@dataclasses.dataclass(frozen=True)
class CancelCommand:
    """Cancel a move."""

    move: str
    node: str
    token: str

    def __call__(self) -> int:
        """Cancel the move."""
        return _run(self._cancel)

    async def _cancel(self) -> int:
        client = AdminClient(self.node, self.token)
        _show(await client.cancel(self.move, getpass.getuser()))
        return 0


@cappa.command(name="marigoldchute-ctl", help="Roll bundles and read verdicts.")
@dataclasses.dataclass(frozen=True)
class CtlCommand:
    """Command line of the operator's program."""

    command: cappa.Subcommands[
        KeysCommand | RollCommand | StatusCommand | VerdictCommand | CancelCommand
    ]


def main() -> None:
    """Run the program."""
    sys.exit(cappa.invoke(CtlCommand, version=__version__))


if __name__ == "__main__":
    main()
