"""Limits of callers that change while their connections are open."""

from __future__ import annotations

import contextlib
import dataclasses
from unittest import mock

import trio

from marigoldchute.bundle.model import CallerLimits
from marigoldchute.routing import http_server
from tests.test_routing.test_head_size import SMALL, make_head
from tests.test_routing.test_http_server import PORT, ServerTestCase

LIMITS = CallerLimits(2_000, 50_000, 400, 1_000)
PAUSE_S = 0.8  # Longer than the short timeouts, shorter than the long ones.


def make_upload(size: int) -> bytes:
    head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
    return head + bytes(size)


async def read_status(stream: trio.SocketStream) -> int:
    """Return the status of the next response, 0 if the connection ends."""
    with contextlib.suppress(trio.BrokenResourceError):
        data = await stream.receive_some(65_536)
        return int(data.split()[1]) if data else 0
    return 0


class LimitsTestCase(ServerTestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(http_server, "EXPIRY_CHECK_INTERVAL_S", 0.05)
        patch.start()
        self.addCleanup(patch.stop)

    async def open_used(self, address: str) -> trio.SocketStream:
        """Open a connection and use it for one request."""
        stream = await trio.open_tcp_stream(address, PORT)
        await stream.send_all(SMALL)
        self.assertEqual(await read_status(stream), 200)
        return stream

    def apply(self, **changes: int) -> None:
        limits = dataclasses.replace(LIMITS, **changes)
        self.server.apply_limits(limits, trio.current_time())


class SizeTest(LimitsTestCase):
    """Guards against kept connections that go on by limits no longer in force."""

    def check(self, data: bytes, raised: int, **change: int) -> None:
        for statuses in ((raised, 200), (200, raised)):

            async def body(address: str, statuses: tuple[int, int] = statuses) -> None:
                before, after = {}, change
                if statuses[0] == 200:
                    before, after = change, {}
                self.apply(**before)
                used = [await self.open_used(address) for _ in range(3)]
                unused = await trio.open_tcp_stream(address, PORT)
                await trio.sleep(0.05)
                self.apply(**after)
                fresh = await trio.open_tcp_stream(address, PORT)
                for stream in (*used, unused, fresh):
                    await stream.send_all(data)
                    self.assertEqual(await read_status(stream), statuses[1])

            with self.subTest(change=change, statuses=statuses):
                self.run_server(body)

    def test_new_limit_of_the_body_holds_on_kept_connections(self) -> None:
        self.check(make_upload(90_000), 413, body_bytes=100_000)

    def test_new_limit_of_the_head_holds_on_kept_connections(self) -> None:
        self.check(make_head(3_000), 431, head_bytes=4_000)

    def test_new_limit_holds_for_the_next_request_that_is_sent_ahead(self) -> None:
        async def body(address: str) -> None:
            self.apply()
            stream = await self.open_used(address)
            begun = make_head(1_000)
            await stream.send_all(begun[:500])
            await trio.sleep(0.05)
            self.apply(head_bytes=800)
            await stream.send_all(begun[500:] + make_head(900))
            received = b""
            while piece := await stream.receive_some(65_536):
                received += piece
            self.assertEqual(received.count(b"HTTP/1.1 200"), 1)
            self.assertEqual(received.count(b"HTTP/1.1 431"), 1)

        self.run_server(body)


class TimeoutTest(LimitsTestCase):
    def test_longer_time_for_a_head_holds_on_kept_connections(self) -> None:
        async def body(address: str) -> None:
            self.apply()
            idle, slow = [await self.open_used(address) for _ in range(2)]
            await slow.send_all(SMALL[:20])
            await trio.sleep(0.1)
            self.apply(head_timeout_ms=5_000)
            await idle.send_all(SMALL[:20])
            await trio.sleep(PAUSE_S)
            for stream in (idle, slow):
                await stream.send_all(SMALL[20:])
                self.assertEqual(await read_status(stream), 200)

        self.run_server(body)

    def test_shorter_time_for_a_head_holds_on_kept_connections(self) -> None:
        async def body(address: str) -> None:
            self.apply(head_timeout_ms=5_000)
            idle, slow = [await self.open_used(address) for _ in range(2)]
            await slow.send_all(SMALL[:20])
            await trio.sleep(0.1)
            self.apply()
            await idle.send_all(SMALL[:20])
            await trio.sleep(PAUSE_S)
            self.assertEqual(await read_status(idle), 408)
            await slow.send_all(SMALL[20:])
            self.assertEqual(await read_status(slow), 200)

        self.run_server(body)

    def test_new_idle_time_holds_on_kept_connections(self) -> None:
        margin = mock.patch.object(http_server, "IDLE_MARGIN_S", 0.0)
        for old_ms, new_ms in ((500, 5_000), (5_000, 500)):

            async def body(
                address: str, old_ms: int = old_ms, new_ms: int = new_ms
            ) -> None:
                self.apply(idle_timeout_ms=old_ms)
                stream = await self.open_used(address)
                await trio.sleep(0.3)
                self.apply(idle_timeout_ms=new_ms)
                await trio.sleep(0.3)
                self.assertEqual(self.server.connections, 1)
                await trio.sleep(PAUSE_S)
                self.assertEqual(self.server.connections, int(new_ms > old_ms))
                await stream.aclose()

            with self.subTest(old_ms=old_ms), margin:
                self.run_server(body)

    def test_new_limits_do_not_keep_connections_open_in_a_stop(self) -> None:
        async def body(address: str) -> None:
            self.apply()
            await self.open_used(address)
            self.server.stop_accepting()
            self.apply(idle_timeout_ms=60_000)
            await trio.sleep(2 * http_server.LAST_REQUEST_WAIT_S + 0.2)
            self.assertEqual(self.server.connections, 0)

        self.run_server(body)
