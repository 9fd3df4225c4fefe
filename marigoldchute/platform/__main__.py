"""The node's program on the platform."""

from __future__ import annotations

import gc
import random
import signal
import sys

import trio

from marigoldchute.errors import MarigoldchuteError, SettingsError
from marigoldchute.events import EventLog
from marigoldchute.hosted.node import HostedNode
from marigoldchute.platform.adapter import PlatformAdapter
from marigoldchute.platform.settings import read_settings, settings_path

RELOAD_POLL_S = 2.0  # The file may change without a signal.
GC_ALLOCATIONS = 20_000


async def _run(node: HostedNode, path: str, log: EventLog) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node.run)
        nursery.start_soon(_reload_from_time_to_time, node, path, log)
        draining = False
        numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        # Signals that come during a drain must not meet their default actions.
        with trio.open_signal_receiver(*numbers) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    _reload(node, path, log)
                elif number == signal.SIGINT:
                    nursery.cancel_scope.cancel()
                elif not draining:
                    draining = True
                    nursery.start_soon(_drain, node, nursery.cancel_scope)


async def _drain(node: HostedNode, scope: trio.CancelScope) -> None:
    await node.drain()
    scope.cancel()


async def _reload_from_time_to_time(node: HostedNode, path: str, log: EventLog) -> None:
    while True:
        await trio.sleep(RELOAD_POLL_S)
        _reload(node, path, log)


def _reload(node: HostedNode, path: str, log: EventLog) -> None:
    try:
        node.reload(read_settings(path))
    except SettingsError as exc:
        log.emit("node", "reload_failed", f"{exc.message}.", code=exc.code.value)


def main() -> int:
    """Run the node until it is told to stop; return the exit status."""
    try:
        path = settings_path()
        cfg = read_settings(path)
    except MarigoldchuteError as exc:
        print(exc, file=sys.stderr)
        return exc.code.exit_status
    rng = random.Random()
    log = EventLog(cfg.name)
    node = HostedNode(cfg, PlatformAdapter(cfg, rng), log, rng)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)
    trio.run(_run, node, path, log)
    return 0


if __name__ == "__main__":
    sys.exit(main())
