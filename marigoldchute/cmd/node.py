"""marigoldchute-node: the node process of a backend server VM."""

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

GC_THRESHOLD_0 = 20_000
GC_THRESHOLD_1 = 20
GC_THRESHOLD_2 = 50


@cappa.command(
    name="marigoldchute-node",
    help="Run the node of one VM.",
    description="Example: marigoldchute-node settings.json\n\n"
    "SIGTERM drains and stops, SIGINT stops at once. Events are written to standard "
    "output, one JSON object per line.",
)
@dataclasses.dataclass(frozen=True)
class NodeCommand:
    """Command line of the node.

    Parameters
    ----------
    settings : str
        Settings file, JSON with comments.
    check_settings : bool
        Whether to check the settings and exit.
    seed : int, optional
        Seed of the random number generator; random by default.
    """

    settings: Annotated[
        str, cappa.Arg(value_name="FILE", help="Settings file, JSON with comments.")
    ]
    check_settings: Annotated[
        bool,
        cappa.Arg(long="--check-settings", help="Only check the settings and exit."),
    ] = False
    seed: Annotated[
        int | None,
        cappa.Arg(long="--seed", help="Seed of the random choices, for tests."),
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
        _tune_garbage_collector()
        node = Node(cfg, EventLog(cfg.name), random.Random(self.seed))
        trio.run(_run_until_signal, node)
        return 0


def check_ports_free(cfg: NodeSettings) -> None:
    """Check that the node can listen on its ports, to report errors at the start.

    Raises
    ------
    SettingsError
        The address is not one of this machine, or a port is in use or not allowed.
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


def _tune_garbage_collector() -> None:
    """Make garbage collections rare and short, because they add to tail latency.

    Requests leave few reference cycles. Objects that live as long as the process are
    frozen, so that collections skip them.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_0, GC_THRESHOLD_1, GC_THRESHOLD_2)


async def _run_until_signal(node: Node) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node.run)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for signal_number in signals:
                if signal_number == signal.SIGTERM:
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
