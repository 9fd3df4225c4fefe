"""Node process on the platform: signals, settings and drain."""

from __future__ import annotations

import gc
import random
import signal
import sys
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import MarigoldchuteError
from marigoldchute.events import EventLog
from marigoldchute.hosted.node import HostedNode
from marigoldchute.platform.adapter import PlatformAdapter
from marigoldchute.platform.settings import read_settings, settings_path
from marigoldchute.platform.settings_file import SettingsFile

if TYPE_CHECKING:
    from types import FrameType

RELOAD_INTERVAL_S = 2.0  # For settings that are not read when they are used.
GC_THRESHOLD_0 = 20_000  # Net allocations that start a garbage collection.


class _TermHandler:
    """Handles SIGTERM before and after the signal receiver of the process is open.

    The receiver restores this handler when it closes. The default action would end a
    process that is about to end after its drain.
    """

    def __init__(self) -> None:
        self.draining = False

    def __call__(self, signal_number: int, frame: FrameType | None) -> None:
        if not self.draining:
            signal.signal(signal_number, signal.SIG_DFL)
            signal.raise_signal(signal_number)


async def _run(
    node: HostedNode, settings: SettingsFile, log: EventLog, term_handler: _TermHandler
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node.run)
        nursery.start_soon(_reload_periodically, settings)
        signal_numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        # The receiver stays open during a drain: the default action of a further signal
        # would end the process.
        with trio.open_signal_receiver(*signal_numbers) as signals:
            async for signal_number in signals:
                _log_signal(log, signal_number, term_handler.draining)
                if signal_number == signal.SIGHUP:
                    settings.read()
                elif signal_number == signal.SIGINT:
                    nursery.cancel_scope.cancel()
                elif not term_handler.draining:
                    term_handler.draining = True
                    nursery.start_soon(_drain, node, nursery.cancel_scope)


def _log_signal(log: EventLog, signal_number: int, draining: bool) -> None:
    name = signal.Signals(signal_number).name
    ignored = draining and signal_number == signal.SIGTERM
    text = f"{name} was {'ignored in the drain' if ignored else 'received'}."
    log.emit("node", "signal", text, signal=name, ignored=ignored)


async def _drain(node: HostedNode, scope: trio.CancelScope) -> None:
    await node.drain()
    scope.cancel()


async def _reload_periodically(settings: SettingsFile) -> None:
    while True:
        await trio.sleep(RELOAD_INTERVAL_S)
        settings.read()


def main() -> int:
    """Run the node until it is stopped by a signal; return the exit status."""
    try:
        path = settings_path()
        cfg = read_settings(path)
    except MarigoldchuteError as exc:
        print(exc, file=sys.stderr)
        return exc.code.exit_status
    rng = random.Random()
    log = EventLog(cfg.name)
    node = HostedNode(cfg, PlatformAdapter(cfg, rng, log), log, rng)
    settings = SettingsFile(path, node.reload, log)
    node.refresh_settings = settings.refresh
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_0)
    term_handler = _TermHandler()
    signal.signal(signal.SIGTERM, term_handler)
    trio.run(_run, node, settings, log, term_handler)
    # The interpreter restores the default action at its end unless a signal is ignored.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    log.emit("node", "ended", f"{cfg.name} has ended.")
    return 0
