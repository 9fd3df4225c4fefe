"""Operator commands that call a node."""

from __future__ import annotations

import dataclasses
import getpass
import sys
from typing import Annotated, Any

import cappa
import trio

from marigoldchute.bundle.signoff import (
    is_signed_bundle,
    parse_bundle_content,
    parse_signed_bundle,
    sign_content,
)
from marigoldchute.cmd._bundle_commands import (
    BundlePathArg,
    CompleteWithinMsArg,
    KeyPathArg,
    load_key,
)
from marigoldchute.cmd._connection import Connection
from marigoldchute.cmd._program import print_json, run_action
from marigoldchute.cmd._render import (
    DECIDED_VERDICTS,
    render_members,
    render_move,
    render_status,
)
from marigoldchute.errors import MarigoldchuteError, ResultCode
from marigoldchute.events import wall_clock_ms
from marigoldchute.util.jsonc import load_file

POLL_INTERVAL_S = 0.2
WATCH_INTERVAL_S = 1.0
CLEAR_SCREEN = "\x1b[H\x1b[2J"

MoveIdArg = Annotated[
    str, cappa.Arg(value_name="MOVE", help="Id of the move in the bundle.")
]
ConnectionArg = Annotated[Connection, cappa.Arg.destructured()]


@cappa.command(name="roll", help="Sign a bundle and roll it, or roll a signed one.")
@dataclasses.dataclass(frozen=True)
class RollCommand:
    """Send a bundle to a node, which writes it to the store.

    FILE is a bundle file, a built bundle, or a bundle signed by 'bundle sign'. A
    signed bundle needs no key.
    """

    bundle: BundlePathArg
    connection: ConnectionArg
    key: KeyPathArg
    complete_within_ms: CompleteWithinMsArg = None

    def __call__(self) -> int:
        """Roll the bundle."""
        return run_action(self._roll, self.connection.as_json)

    async def _roll(self) -> int:
        value = load_file(self.bundle)
        client = self.connection.client()
        if is_signed_bundle(value):
            self._reject_complete_within_ms()
            roll_request = parse_signed_bundle(value, self.bundle)
        else:
            key = load_key(self.key)
            content = parse_bundle_content(
                value, self.bundle, wall_clock_ms(), self.complete_within_ms
            )
            version = (await client.status()).newest_version + 1
            roll_request = sign_content(content, version, key, getpass.getuser())
        result = await client.roll(roll_request)
        if self.connection.as_json:
            print_json(result)
        else:
            print(f"version {result.version} is accepted")
        return 0

    def _reject_complete_within_ms(self) -> None:
        if self.complete_within_ms is not None:
            raise MarigoldchuteError(
                "--complete-within-ms cannot change a signed bundle; sign it again"
            )


@cappa.command(name="status", help="Show versions, members and moves.")
@dataclasses.dataclass(frozen=True)
class StatusCommand:
    """Show the state of the mesh as reported by a node."""

    connection: ConnectionArg
    watch: Annotated[
        bool, cappa.Arg(long=True, short="-w", help="Refresh the status every second.")
    ] = False

    def __call__(self) -> int:
        """Show the status."""
        return run_action(self._status, self.connection.as_json)

    async def _status(self) -> int:
        client = self.connection.client()
        while True:
            status = await client.status()
            if self.connection.as_json:
                print_json(status)
            else:
                if self.watch and sys.stdout.isatty():
                    print(CLEAR_SCREEN, end="")
                print(render_status(status, wall_clock_ms()), flush=True)
            if not self.watch:
                return 0
            await trio.sleep(WATCH_INTERVAL_S)


@cappa.command(name="members", help="Show every member and its backend servers.")
@dataclasses.dataclass(frozen=True)
class MembersCommand:
    """Show the members in the membership view of a node."""

    connection: ConnectionArg

    def __call__(self) -> int:
        """Show the members."""
        return run_action(self._members, self.connection.as_json)

    async def _members(self) -> int:
        status = await self.connection.client().status()
        if self.connection.as_json:
            print_json(status.members)
        else:
            print(render_members(status.members))
        return 0


@cappa.command(name="verdict", help="Show whether a move is done or taken back.")
@dataclasses.dataclass(frozen=True)
class VerdictCommand:
    """Show the verdict of a move.

    The exit status is 0 if the move is done or, without --wait, still under way. It is
    6 if the move is taken back, is being taken back or is unknown.
    """

    move: MoveIdArg
    connection: ConnectionArg
    wait: Annotated[
        bool, cappa.Arg(long=True, short="-w", help="Wait until the verdict is final.")
    ] = False

    def __call__(self) -> int:
        """Show the verdict."""
        return run_action(self._verdict, self.connection.as_json)

    async def _verdict(self) -> int:
        client = self.connection.client()
        while True:
            move = await client.verdict(self.move)
            if move.verdict in DECIDED_VERDICTS or not self.wait:
                break
            await trio.sleep(POLL_INTERVAL_S)
        _print_result(move, render_move(move, wall_clock_ms()), self.connection)
        if move.verdict in ("taken back", "taking back"):
            return ResultCode.MOVE_TAKEN_BACK.exit_status
        return 0


@cappa.command(name="cancel", help="Take a move back.")
@dataclasses.dataclass(frozen=True)
class CancelCommand:
    """Take a move back, unless it is already decided."""

    move: MoveIdArg
    connection: ConnectionArg

    def __call__(self) -> int:
        """Cancel the move."""
        return run_action(self._cancel, self.connection.as_json)

    async def _cancel(self) -> int:
        client = self.connection.client()
        verdict = await client.cancel(self.move, getpass.getuser())
        text = f"{verdict.move_id} is {verdict.kind.value}: {verdict.reason}"
        _print_result(verdict, text, self.connection)
        return 0


def _print_result(value: Any, text: str, connection: Connection) -> None:
    if connection.as_json:
        print_json(value)
    else:
        print(text)
