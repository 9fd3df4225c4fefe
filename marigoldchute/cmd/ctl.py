"""marigoldchute-ctl: command line program for operators."""

from __future__ import annotations

import dataclasses

import cappa

from marigoldchute.cmd._bundle_commands import BundleCommand, KeysCommand
from marigoldchute.cmd._config_commands import ConfigCommand
from marigoldchute.cmd._mesh_commands import (
    CancelCommand,
    MembersCommand,
    RollCommand,
    StatusCommand,
    VerdictCommand,
)
from marigoldchute.cmd._program import run_program

DESCRIPTION = """
Example of a first roll:

    marigoldchute-ctl keys new ops-1 --out ops-1.json

    marigoldchute-ctl bundle check bundle.json

    export MARIGOLDCHUTE_NODE=10.1.2.3 MARIGOLDCHUTE_TOKEN_FILE=token

    marigoldchute-ctl roll bundle.json --key ops-1.json

    marigoldchute-ctl status --watch

    marigoldchute-ctl verdict turnos-r2 --wait

The exit status is 0, or the class of the result code: 1 input, 2 bundle, 3 store,
4 node unreachable, 5 request, 6 move taken back or unknown, 7 token or key rejected.
'config check' has 8 for warnings only.
Shell completion: marigoldchute-ctl --completion generate
"""


@cappa.command(
    name="marigoldchute-ctl",
    help="Roll bundles and read verdicts.",
    description=DESCRIPTION,
)
@dataclasses.dataclass(frozen=True)
class CtlCommand:
    """Command line of ``marigoldchute-ctl``."""

    command: cappa.Subcommands[
        KeysCommand
        | BundleCommand
        | ConfigCommand
        | RollCommand
        | StatusCommand
        | MembersCommand
        | VerdictCommand
        | CancelCommand
    ]


def main() -> None:
    """Run the program."""
    run_program(CtlCommand)


if __name__ == "__main__":
    main()
