"""Responses of the store that arrive slowly, or not at all."""

from __future__ import annotations

import random
import time
import unittest
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import PlatformError
from marigoldchute.hosted.reader import WATCH_TIMEOUT_MS
from marigoldchute.objectstore.caller import StoreCaller
from marigoldchute.objectstore.settings import StoreSettings
from marigoldchute.platform.settings import STORE_TIMEOUT_MS
from tests.support.servers import PORT, read_request, serve_script

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TIMEOUT_MS = 400
PIECE_INTERVAL_S = 0.1
SCHEDULING_S = 0.5  # For the processor that other tests take meanwhile.
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n"


class SlowResponseTest(unittest.TestCase):
    def call(
        self,
        serve: Callable[[trio.SocketStream], Awaitable[None]],
        timeout_ms: int = TIMEOUT_MS,
        wait_ms: int = 0,
    ) -> tuple[bytes, float]:
        """Make a call to a scripted store; return its body and transfer time."""

        async def main() -> tuple[bytes, float] | PlatformError:
            async with serve_script(serve) as address:
                settings = StoreSettings(address, PORT, 1000.0, 1000.0, timeout_ms)
                caller = StoreCaller(settings, random.Random(1), address)
                try:
                    return await caller.call_timed(
                        lambda body, method: body, "GET", "/x", wait_ms=wait_ms
                    )
                except PlatformError as exc:
                    return exc

        result = trio.run(main)
        if isinstance(result, PlatformError):
            raise result
        return result

    def test_response_that_keeps_arriving_is_received(self) -> None:
        # Guards against a large document that is given up at the limit of a call.
        async def serve(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await stream.send_all(HEAD)
            for _ in range(12):
                await trio.sleep(PIECE_INTERVAL_S)
                await stream.send_all(b"x")

        body, transfer_s = self.call(serve)
        self.assertEqual(body, b"x" * 12)
        self.assertGreater(transfer_s, 11 * PIECE_INTERVAL_S)

    def test_response_that_stops_arriving_is_given_up(self) -> None:
        # Guards against a call that waits for a connection that has fallen silent.
        async def serve(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await stream.send_all(HEAD + b"x")
            await trio.sleep_forever()

        self.check_given_up(serve, 2 * TIMEOUT_MS / 1000)

    def test_watch_without_a_response_is_given_up(self) -> None:
        # Guards against a reader that waits for seconds after the store is back.
        async def serve(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await trio.sleep_forever()

        self.assertEqual(STORE_TIMEOUT_MS + WATCH_TIMEOUT_MS, 2_500)
        self.check_given_up(serve, 2.5, STORE_TIMEOUT_MS, WATCH_TIMEOUT_MS)

    def check_given_up(
        self,
        serve: Callable[[trio.SocketStream], Awaitable[None]],
        limit_s: float,
        timeout_ms: int = TIMEOUT_MS,
        wait_ms: int = 0,
    ) -> None:
        started_at = time.monotonic()
        with self.assertRaises(PlatformError):
            self.call(serve, timeout_ms, wait_ms)
        self.assertLess(time.monotonic() - started_at, limit_s + SCHEDULING_S)
