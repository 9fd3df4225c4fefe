"""Store stand-in that is served inside the test process."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING

import trio

from marigoldchute.objectstore.client import HttpObjectStore
from marigoldchute.objectstore.settings import StoreSettings
from marigoldchute.standins.loopback import STORE_PORT, LoopbackBlock
from marigoldchute.standins.store import Store, StoreApp
from marigoldchute.util.asgi import serve_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@contextlib.asynccontextmanager
async def served_store(
    timeout_ms: int = 1000, calls_per_s: float = 1000.0, burst_calls: float = 1000.0
) -> AsyncIterator[tuple[Store, HttpObjectStore]]:
    """Serve a store stand-in; yield the store and a client of it."""
    block = LoopbackBlock()
    address = f"127.{block.number}.200.1"
    settings = StoreSettings(address, STORE_PORT, calls_per_s, burst_calls, timeout_ms)
    store = Store()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_app, StoreApp(store), address, STORE_PORT)
        await _wait_for_port(address)
        yield store, HttpObjectStore(settings, random.Random(1))
        nursery.cancel_scope.cancel()
    block.release()


async def _wait_for_port(address: str) -> None:
    with trio.fail_after(10):
        while True:
            try:
                stream = await trio.open_tcp_stream(address, STORE_PORT)
            except OSError:
                await trio.sleep(0.02)
                continue
            await stream.aclose()
            return
