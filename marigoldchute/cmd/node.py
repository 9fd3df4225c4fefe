"""marigoldchute-node: the process on each backend server VM."""

from __future__ import annotations

import dataclasses
import gc
import random
import signal
import socket
from typing import Annotated

import cappa
import trio

from marigoldchute.cmd._program import report_error, run_program
from marigoldchute.config import NodeSettings, load_node_settings
from marigoldchute.errors import MarigoldchuteError, SettingsError
from marigoldchute.events import EventLog
from marigoldchute.node import Node

GC_ALLOCATIONS = 20_000
GC_YOUNG_RUNS = 20
GC_MIDDLE_RUNS = 50


@cappa.command(
    name="marigoldchute-node",
    help="Run the node of one VM.",
    description="Example: marigoldchute-node settings.json\n\n"
    "SIGTERM drains and stops, SIGINT stops at once. Events go to standard output, "
    "one JSON object a line.",
)
@dataclasses.dataclass(frozen=True)
class NodeCommand:
    """Command line of the node.

    Parameters
    ----------
    settings : str
        Settings file of JSON with comments.
    check_settings : bool
        Only check the settings.
    seed : int, optional
        Seed of the random choices; random when omitted.
    """

    settings: Annotated[
        str, cappa.Arg(value_name="FILE", help="Settings, JSON with comments.")
    ]
    check_settings: Annotated[
        bool,
        cappa.Arg(long="--check-settings", help="Only check the settings and exit."),
    ] = False
    seed: Annotated[
        int | None, cappa.Arg(long="--seed", help="Seed of random choices, for tests.")
    ] = None

    def __call__(self) -> int:
        """Run the node; return the exit status."""
        try:
            cfg = load_node_settings(self.settings)
        except MarigoldchuteError as exc:
            return report_error(exc)
        if self.check_settings:
            print(f"{self.settings}: settings are valid")
            return 0
        try:
            check_ports_free(cfg)
        except MarigoldchuteError as exc:
            return report_error(exc)
        _calm_collector()
        node = Node(cfg, EventLog(cfg.name), random.Random(self.seed))
        trio.run(_run_until_signal, node)
        return 0


def check_ports_free(cfg: NodeSettings) -> None:
    """Check that the node can listen, so that it fails at once and says why.

    Raises
    ------
    SettingsError
        An address is not this machine's, or a port is in use or not allowed.
    """
    for name in ("caller_port", "internal_port", "peer_port", "admin_port"):
        port = getattr(cfg, name)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((cfg.address, port))
                sock.listen(1)
            except OSError as exc:
                raise SettingsError(
                    f"$.address and $.{name}: cannot listen on "
                    f"{cfg.address}:{port}: {exc.strerror}"
                ) from exc


def _calm_collector() -> None:
    """Make garbage collections rare and short, for the tail of the latencies.

    Requests leave few cycles; what the modules hold for good is not looked at again.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS, GC_YOUNG_RUNS, GC_MIDDLE_RUNS)


async def _run_until_signal(node: Node) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node.run)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                if number == signal.SIGTERM:
                    break
                nursery.cancel_scope.cancel()
                return
            nursery.start_soon(_drain, node, nursery.cancel_scope)
            async for _ in signals:
                nursery.cancel_scope.cancel()


async def _drain(node: Node, scope: trio.CancelScope) -> None:
    await node.drain()
    scope.cancel()


def main() -> None:
    """Run the program."""
    run_program(NodeCommand)


if __name__ == "__main__":
    main()
