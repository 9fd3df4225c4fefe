"""Backend servers that echo request ids, send invalid responses or refuse requests."""

from __future__ import annotations

import dataclasses
import unittest

import trio

from marigoldchute.errors import NotRunError, RequestError, ResultCode
from marigoldchute.routing.backend_response import BackendResponse
from marigoldchute.routing.dialect import DEFAULT_DIALECT
from marigoldchute.routing.messages import RequestHead
from marigoldchute.routing.owner import Owner
from marigoldchute.routing.policy import PathPolicy
from tests.support.servers import read_request, serve_script
from tests.test_routing.test_owner import CollectingExchange, FakeServers, make_head

DIALECT = dataclasses.replace(
    DEFAULT_DIALECT,
    request_id=b"x-id",
    echoes_request_id=True,
    expected_server=b"x-server",
    caller_service=b"x-caller",
    forwards_given_id=True,
    accepts_unframed=True,
    misdirected_status=421,
)
POLICY = PathPolicy(
    adaptive_limit=False, max_buffered_response_bytes=65_536, retry_errors=True
)


def encode_response(request_id: bytes, body: bytes, status: bytes = b"200 OK") -> bytes:
    return b"HTTP/1.1 %s\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s" % (
        status,
        request_id,
        len(body),
        body,
    )


class RequestIdEchoTest(unittest.TestCase):
    def test_late_response_to_another_request_is_skipped(self) -> None:
        data = encode_response(b"old", b"stale") + encode_response(b"id", b"mine")
        for split_at in range(1, len(data)):
            response = BackendResponse(False, DIALECT, b"id")
            response.feed(data[:split_at])
            if not response.complete:
                response.feed(data[split_at:])
            self.assertEqual(response.pop_body(), b"mine")
            self.assertEqual(response.skipped_count, 1)
            self.assertNotIn(b"old", response.header_block)

    def test_response_without_id_is_not_accepted(self) -> None:
        response = BackendResponse(False, DIALECT, b"id")
        response.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        self.assertFalse(response.complete)

    def test_refusal_without_id_is_accepted(self) -> None:
        for head in (b"421 No\r\n", b"503 Busy\r\nMarigoldchute-Not-Run: 1\r\n"):
            response = BackendResponse(False, DIALECT, b"id")
            response.feed(b"HTTP/1.1 " + head + b"Content-Length: 0\r\n\r\n")
            self.assertTrue(response.refused)

    def test_second_response_prevents_connection_reuse(self) -> None:
        response = BackendResponse(False, DIALECT, b"id")
        response.feed(encode_response(b"id", b"ok") + encode_response(b"id", b"ok"))
        self.assertTrue(response.complete)
        self.assertFalse(response.keep_alive)

    def test_keep_alive_timeout_is_parsed(self) -> None:
        response = BackendResponse(False, DIALECT, b"id")
        response.feed(
            b"HTTP/1.1 200 OK\r\nX-Id: id\r\nKeep-Alive: max=5, timeout=3\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        self.assertEqual(response.keep_alive_s, 3.0)


class DialectOwnerTest(unittest.TestCase):
    def run_owner(self, script, body) -> None:  # type: ignore[no-untyped-def]
        async def main() -> None:
            with trio.fail_after(10):
                async with (
                    serve_script(script) as address,
                    trio.open_nursery() as nursery,
                ):
                    servers = FakeServers(address)
                    server = dataclasses.replace(servers.local.servers[0], instance="i")
                    servers.local = dataclasses.replace(
                        servers.local, servers=(server,)
                    )
                    owner = Owner(servers, address, DIALECT, POLICY)
                    await nursery.start(owner.run)
                    await body(owner)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def head(self, **changes: object) -> RequestHead:
        fields = {f: getattr(make_head(), f) for f in RequestHead.__struct_fields__}
        return RequestHead(**{**fields, "caller_service": "web", **changes})

    def test_request_carries_instance_caller_service_and_id(self) -> None:
        received_requests = []

        async def serve(stream: trio.SocketStream) -> None:
            while request := await read_request(stream):
                received_requests.append(request.lower())
                await stream.send_all(encode_response(b"id", b"ok"))

        async def body(owner: Owner) -> None:
            await owner.execute(self.head(), CollectingExchange())

        self.run_owner(serve, body)
        for line in (b"x-server: i\r\n", b"x-caller: web\r\n", b"x-id: id\r\n"):
            self.assertIn(line, received_requests[0])

    def test_response_that_ends_with_its_connection_is_complete(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await stream.send_all(b"HTTP/1.1 200 OK\r\nX-Id: id\r\n\r\nwhole")

        async def body(owner: Owner) -> None:
            exchange = CollectingExchange()
            await owner.execute(self.head(), exchange)
            self.assertEqual((exchange.body, exchange.finished), (b"whole", True))

        self.run_owner(serve, body)

    def test_reset_response_without_length_is_not_forwarded(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await stream.send_all(b"HTTP/1.1 200 OK\r\nX-Id: id\r\n\r\npart")
            await trio.sleep(0.05)
            linger = (1).to_bytes(4, "little") + bytes(4)
            stream.socket.setsockopt(
                trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger
            )

        async def body(owner: Owner) -> None:
            exchange = CollectingExchange()
            with self.assertRaises(RequestError):
                await owner.execute(self.head(), exchange)
            self.assertIsNone(exchange.head)

        self.run_owner(serve, body)

    def test_misdirected_request_is_reported_as_not_run(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            while await read_request(stream):
                await stream.send_all(
                    b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
                )

        async def body(owner: Owner) -> None:
            with self.assertRaises(NotRunError) as caught:
                await owner.execute(self.head(), CollectingExchange())
            code = caught.exception.code
            self.assertEqual(code, ResultCode.REQUEST_NOT_RUN_REFUSED)

        self.run_owner(serve, body)

    def test_connection_with_unsent_body_is_not_reused(self) -> None:
        connections = 0

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal connections
            connections += 1
            await stream.receive_some(65_536)
            await stream.send_all(
                b"HTTP/1.1 503 Busy\r\nMarigoldchute-Not-Run: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            await stream.receive_some(65_536)

        class SlowUpload(CollectingExchange):
            def pop_complete_body(self) -> bytes | None:
                return None

            async def receive(self) -> bytes | None:
                await trio.sleep_forever()

        async def body(owner: Owner) -> None:
            for _ in range(2):
                with self.assertRaises(NotRunError):
                    await owner.execute(self.head(has_body=True), SlowUpload())
            self.assertEqual(connections, 2)

        self.run_owner(serve, body)
