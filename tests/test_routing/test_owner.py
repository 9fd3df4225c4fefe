"""Tests of outcomes and connection handling at the owner."""

from __future__ import annotations

import dataclasses
import types
import unittest
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import msgspec
import trio

from marigoldchute.errors import NotRunError, RequestError, ResultCode
from marigoldchute.events import MemoryEventLog
from marigoldchute.link.transit import TransitDelay
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.routing import backend_conn
from marigoldchute.routing.cut import CutCause
from marigoldchute.routing.messages import (
    ENCODER,
    RESPONSE_DECODER,
    RequestHead,
    ResponseHead,
)
from marigoldchute.routing.owner import Owner
from marigoldchute.routing.request_log import RequestLog
from tests.support.servers import PORT, read_request, serve_script

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Script = Callable[[trio.SocketStream], Awaitable[None]]

NOW_MS = 5_000_000  # Of the clock that runs on while a VM is suspended.
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class FakeServers:
    """Announces one backend server."""

    fenced = False

    def __init__(self, address: str, slots: int = 4) -> None:
        server = BackendServer("vm/1", "turnos", "r1", PORT, slots, 10)
        self.local = Member("vm", 1, 1, address, 1, "dc", "r", servers=(server,))


class CollectingExchange:
    """Exchange that stores what the owner sends."""

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.body = b""
        self.finished = False

    def pop_complete_body(self) -> bytes | None:
        return b""

    async def receive(self) -> bytes | None:
        return None

    async def send_complete(self, head: ResponseHead, body: bytes) -> None:
        await self.send_head(head, body)
        self.finished = True

    async def send_head(self, head: ResponseHead, body: bytes) -> None:
        self.head = head
        self.body += body

    async def send(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        self.finished = True


def make_head(
    target: bytes = b"/1",
    idempotent: bool = False,
    request_id: str = "id",
    has_body: bool = False,
) -> RequestHead:
    return RequestHead(
        request_id,
        "turnos",
        "turnos",
        "r1",
        "vm/1",
        b"POST",
        target,
        b"host: a\r\ncontent-length: 0\r\n",
        1000,
        1,
        idempotent,
        has_body,
        has_body,
    )


class OwnerTestCase(unittest.TestCase):
    """Runs an owner against a scripted backend server."""

    slots = 4

    def run_owner(
        self, script: Script, body: Callable[[Owner], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            with trio.fail_after(10):
                async with (
                    serve_script(script) as address,
                    trio.open_nursery() as nursery,
                ):
                    owner = Owner(FakeServers(address, self.slots), address)
                    await nursery.start(owner.run)
                    await body(owner)
                    nursery.cancel_scope.cancel()

        trio.run(main)


class NotRunTest(OwnerTestCase):
    def test_refusal_by_backend_server_is_not_run(self) -> None:
        async def refuse(stream: trio.SocketStream) -> None:
            while await read_request(stream):
                await stream.send_all(
                    b"HTTP/1.1 503 Busy\r\nMarigoldchute-Not-Run: 1\r\n"
                    b"Content-Length: 0\r\n\r\n"
                )

        async def body(owner: Owner) -> None:
            exchange = CollectingExchange()
            with self.assertRaises(NotRunError):
                await owner.execute(make_head(), exchange)
            self.assertIsNone(exchange.head)
            self.assertEqual(owner.running, 0)

        self.run_owner(refuse, body)

    def test_error_without_not_run_header_is_forwarded(self) -> None:
        async def fail(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await stream.send_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

        async def body(owner: Owner) -> None:
            exchange = CollectingExchange()
            await owner.execute(make_head(), exchange)
            assert exchange.head is not None
            self.assertEqual(exchange.head.status, 503)
            # Quick errors would make a failing server look like a fast one.
            self.assertEqual(exchange.head.mean_run_us, 0)

        self.run_owner(fail, body)

    def test_response_reports_the_mean_run_time_of_its_route(self) -> None:
        async def answer(stream: trio.SocketStream) -> None:
            while await read_request(stream):
                await trio.sleep(0.01)
                await stream.send_all(OK_RESPONSE)

        async def body(owner: Owner) -> None:
            owner.weighs_work = True
            exchange = CollectingExchange()
            for _ in range(3):
                exchange = CollectingExchange()
                await owner.execute(make_head(), exchange)
            assert exchange.head is not None
            self.assertGreater(exchange.head.mean_run_us, 5_000)

        self.run_owner(answer, body)

    def test_refused_connection_is_not_run(self) -> None:
        async def main() -> None:
            owner = Owner(FakeServers("127.9.9.9"), "127.9.9.9")
            with self.assertRaises(NotRunError):
                await owner.execute(make_head(), CollectingExchange())
            self.assertEqual(owner.running, 0)

        trio.run(main)

    def test_draining_owner_refuses_requests(self) -> None:
        async def main() -> None:
            owner = Owner(FakeServers("127.9.9.9"), "127.9.9.9")
            owner.drain()
            with self.assertRaises(NotRunError) as caught:
                await owner.execute(make_head(), CollectingExchange())
            code = caught.exception.code
            self.assertEqual(code, ResultCode.REQUEST_NOT_RUN_DRAINING)

        trio.run(main)


class EvacuationTest(OwnerTestCase):
    """The data centre of the VM is evacuated."""

    slots = 1

    def test_new_and_waiting_requests_are_refused_and_running_ones_end(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            while await read_request(stream):
                await trio.sleep(0.2)
                await stream.send_all(OK_RESPONSE)

        async def body(owner: Owner) -> None:
            running = CollectingExchange()
            codes: list[ResultCode] = []

            async def send_refused() -> None:
                with self.assertRaises(NotRunError) as caught:
                    await owner.execute(make_head(), CollectingExchange())
                codes.append(caught.exception.code)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(owner.execute, make_head(), running)
                await trio.sleep(0.05)
                nursery.start_soon(send_refused)
                await trio.sleep(0.05)
                owner.set_evacuated(True)
                await send_refused()
            self.assertEqual(codes, [ResultCode.REQUEST_NOT_RUN_EVACUATED] * 2)
            self.assertEqual(owner.refused_while_evacuated, 2)
            self.assertTrue(running.finished)
            owner.set_evacuated(False)
            await owner.execute(make_head(), CollectingExchange())

        self.run_owner(serve, body)

    def test_request_that_opens_a_connection_is_refused(self) -> None:
        """Guards against a request that is sent after a long wait to connect."""

        async def serve(stream: trio.SocketStream) -> None:
            if await read_request(stream):
                self.fail("the backend server got a request")

        async def body(owner: Owner) -> None:
            self.assertIsNotNone(owner.gate("vm/1"))
            pool: Any = owner._owned["vm/1"].pool
            acquire = pool.acquire

            async def acquire_late(*args: Any) -> Any:
                conn = await acquire(*args)
                owner.set_evacuated(True)
                return conn

            pool.acquire = acquire_late
            with self.assertRaises(NotRunError) as caught:
                await owner.execute(make_head(), CollectingExchange())
            code = caught.exception.code
            self.assertEqual(code, ResultCode.REQUEST_NOT_RUN_EVACUATED)
            self.assertEqual(owner.running, 0)

        self.run_owner(serve, body)


class ColdServerTest(OwnerTestCase):
    """The backend server is cold, and its service has a warm-up rate."""

    slots = 1

    def make_cold_head(self) -> RequestHead:
        return msgspec.structs.replace(make_head(), warmup_requests_per_s=8.0)

    def test_request_without_room_is_refused_and_its_slot_is_free(self) -> None:
        """Guards against a slot that a refused request keeps."""

        async def serve(stream: trio.SocketStream) -> None:
            while await read_request(stream):
                await stream.send_all(OK_RESPONSE)

        async def body(owner: Owner) -> None:
            owner.record_report("vm/1", 60.0, trio.current_time())
            with self.assertRaises(NotRunError) as caught:
                await owner.execute(self.make_cold_head(), CollectingExchange())
            code = caught.exception.code
            self.assertEqual(code, ResultCode.REQUEST_NOT_RUN_WARMING_UP)
            self.assertEqual((owner.running, owner.refused_while_cold), (0, 1))
            await trio.sleep(1.0)  # The window begins full.
            for _ in range(8):
                await owner.execute(self.make_cold_head(), CollectingExchange())
            with self.assertRaises(NotRunError):
                await owner.execute(self.make_cold_head(), CollectingExchange())
            self.assertEqual((owner.running, owner.refused_while_cold), (0, 2))

        self.run_owner(serve, body)

    def test_server_that_appears_later_has_room_at_once(self) -> None:
        """Guards against a second without requests after the loss of all nodes."""

        async def serve(stream: trio.SocketStream) -> None:
            while await read_request(stream):
                await stream.send_all(OK_RESPONSE)

        async def body(owner: Owner) -> None:
            await trio.sleep(1.0)  # Only now the server is looked up.
            await owner.execute(self.make_cold_head(), CollectingExchange())

        self.run_owner(serve, body)

    def test_cancelled_wait_for_room_leaks_nothing(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            if await read_request(stream):
                self.fail("the backend server got a request")

        async def body(owner: Owner) -> None:
            owner.record_report("vm/1", 60.0, trio.current_time())
            head = msgspec.structs.replace(
                self.make_cold_head(), remaining_ms=5000, is_nested=True
            )
            with trio.move_on_after(0.1) as scope:
                await owner.execute(head, CollectingExchange())
            self.assertTrue(scope.cancelled_caught)
            self.assertEqual(owner.running, 0)

        self.run_owner(serve, body)

    def test_service_without_a_rate_is_not_limited(self) -> None:
        """Guards against waits in meshes that have no warm-up rate."""

        async def serve(stream: trio.SocketStream) -> None:
            while await read_request(stream):
                await stream.send_all(OK_RESPONSE)

        async def body(owner: Owner) -> None:
            owner.record_report("vm/1", 60.0, trio.current_time())
            for _ in range(30):
                await owner.execute(make_head(), CollectingExchange())

        self.run_owner(serve, body)


class UnknownOutcomeTest(OwnerTestCase):
    def test_written_request_without_response_is_unknown(self) -> None:
        async def close(stream: trio.SocketStream) -> None:
            await read_request(stream)

        async def body(owner: Owner) -> None:
            with self.assertRaises(RequestError) as caught:
                await owner.execute(make_head(), CollectingExchange())
            self.assertNotIsInstance(caught.exception, NotRunError)

        self.run_owner(close, body)

    def test_truncated_response_is_never_finished(self) -> None:
        responses = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nclose-delimited",
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        )
        for response in responses:
            with self.subTest(response):
                self._check_truncated_response(response)

    def _check_truncated_response(self, response: bytes) -> None:
        async def send_truncated(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await stream.send_all(response)

        async def body(owner: Owner) -> None:
            exchange = CollectingExchange()
            with self.assertRaises(RequestError) as caught:
                await owner.execute(make_head(), exchange)
            self.assertNotIsInstance(caught.exception, NotRunError)
            self.assertFalse(exchange.finished)
            await owner.wait_idle()

        self.run_owner(send_truncated, body)


class ConnectionReuseTest(OwnerTestCase):
    def test_connection_is_reused_after_complete_response(self) -> None:
        connections = 0

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal connections
            connections += 1
            while await read_request(stream):
                await stream.send_all(OK_RESPONSE)

        async def body(owner: Owner) -> None:
            for _ in range(5):
                exchange = CollectingExchange()
                await owner.execute(make_head(), exchange)
                self.assertEqual(exchange.body, b"ok")
            self.assertEqual(connections, 1)

        self.run_owner(serve, body)

    def test_late_response_never_reaches_another_request(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            while request := await read_request(stream):
                path = request.split()[1]
                if path == b"/slow":
                    await trio.sleep(0.1)
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(path), path)
                )

        async def body(owner: Owner) -> None:
            with trio.move_on_after(0.03):
                await owner.execute(make_head(b"/slow"), CollectingExchange())
            for _ in range(8):
                exchange = CollectingExchange()
                await owner.execute(make_head(b"/fast"), exchange)
                self.assertEqual(exchange.body, b"/fast")
                await trio.sleep(0.02)

        self.run_owner(serve, body)

    def test_extra_bytes_after_response_close_connection(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            while await read_request(stream):
                await stream.send_all(OK_RESPONSE + OK_RESPONSE.replace(b"ok", b"no"))

        async def body(owner: Owner) -> None:
            for _ in range(3):
                exchange = CollectingExchange()
                await owner.execute(make_head(), exchange)
                self.assertEqual(exchange.body, b"ok")

        self.run_owner(serve, body)

    def test_closed_idle_connection_is_not_reused(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await stream.send_all(OK_RESPONSE)

        async def body(owner: Owner) -> None:
            for _ in range(3):
                await owner.execute(make_head(), CollectingExchange())
                await trio.sleep(0.02)

        self.run_owner(serve, body)

    def test_non_idempotent_request_avoids_long_idle_connection(self) -> None:
        connections = 0

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal connections
            connections += 1
            while await read_request(stream):
                await stream.send_all(OK_RESPONSE)

        async def body(owner: Owner) -> None:
            await owner.execute(make_head(), CollectingExchange())
            await trio.sleep(0.05)
            await owner.execute(make_head(idempotent=True), CollectingExchange())
            self.assertEqual(connections, 1)
            await trio.sleep(0.05)
            await owner.execute(make_head(), CollectingExchange())
            self.assertEqual(connections, 2)

        limit_s = backend_conn.MAX_IDLE_NON_IDEMPOTENT_S
        backend_conn.MAX_IDLE_NON_IDEMPOTENT_S = 0.03
        try:
            self.run_owner(serve, body)
        finally:
            backend_conn.MAX_IDLE_NON_IDEMPOTENT_S = limit_s


class FakeStream:
    """Stream of an entry node that has already cancelled its request."""

    head = ENCODER.encode(make_head())

    def on_cancel(self, callback: Callable[[], None]) -> None:
        callback()

    def reset(self, code: ResultCode) -> None:
        self.code = code


class LateRequestTest(OwnerTestCase):
    def test_request_cancelled_before_arrival_is_not_run(self) -> None:
        requests = []

        async def serve(stream: trio.SocketStream) -> None:
            while request := await read_request(stream):
                requests.append(request)
                await stream.send_all(OK_RESPONSE)

        async def body(owner: Owner) -> None:
            await owner.execute(make_head(), CollectingExchange())
            await owner.serve(FakeStream())
            await trio.sleep(0.05)
            self.assertEqual(len(requests), 1)

        self.run_owner(serve, body)


class StoppedOwnerTest(OwnerTestCase):
    # A request that still runs when the process ends is cancelled; the closed nursery
    # of its owner is not an unexpected error of the request.
    def test_request_cancelled_after_the_end_of_its_owner_is_no_failure(self) -> None:
        received = trio.Event()

        async def hang(stream: trio.SocketStream) -> None:
            await read_request(stream)
            received.set()
            await trio.sleep_forever()

        async def main() -> None:
            async with serve_script(hang) as address, trio.open_nursery() as nursery:
                owner = Owner(FakeServers(address), address)

                async def execute() -> None:
                    with self.assertRaises(trio.Cancelled) as caught:
                        await owner.execute(make_head(), CollectingExchange())
                    raise caught.exception

                async with trio.open_nursery() as owner_nursery:
                    await owner_nursery.start(owner.run)
                    nursery.start_soon(execute)
                    await received.wait()
                    owner_nursery.cancel_scope.cancel()
                nursery.cancel_scope.cancel()

        trio.run(main)


class RunningStream(FakeStream):
    """Stream of a request that runs until the stream ends."""

    def __init__(self, remaining_ms: int) -> None:
        head = msgspec.structs.replace(make_head(), remaining_ms=remaining_ms)
        self.head = ENCODER.encode(head)
        self.error_code: ResultCode | None = None

    def pop_complete_data(self) -> bytes:
        return b""

    def on_cancel(self, callback: Callable[[], None]) -> None:
        self._on_cancel = callback

    def fail(self, code: ResultCode) -> None:
        self.error_code = code
        self._on_cancel()


class DelayedRequestTest(OwnerTestCase):
    """Guards against requests that run although their callers have left long ago.

    On a narrow connection a request waits on its way, and its cancellation behind it.
    """

    def serve_delayed(self, delay_ms: int) -> tuple[list[int], list[ResponseHead]]:
        """Serve a request on its way for 0 ms and one for longer, each with 1000 ms.

        Returns the deadlines that the backend server receives and the refusals.
        """
        deadlines: list[int] = []
        refusals: list[ResponseHead] = []

        async def serve(stream: trio.SocketStream) -> None:
            while request := await read_request(stream):
                text = request.lower().partition(b"deadline-ms: ")[2]
                deadlines.append(int(text.partition(b"\r\n")[0]))
                await stream.send_all(OK_RESPONSE)

        class DelayedStream(RunningStream):
            def __init__(self, link: Any, sent_ms: int) -> None:
                super().__init__(1_000)
                self.link = link
                head = msgspec.structs.replace(make_head(), sent_ms=sent_ms)
                self.head = ENCODER.encode(head)

            async def send_complete(self, head: bytes, body: bytes) -> None:
                response = RESPONSE_DECODER.decode(head)
                if response.code:
                    refusals.append(response)

        async def body(owner: Owner) -> None:
            link = types.SimpleNamespace(transit=TransitDelay(), is_ending=False)
            # A clock that runs may reach the next millisecond before the first arrival.
            with patch("marigoldchute.routing.owner.boottime_ms", return_value=NOW_MS):
                for transit_ms in (0, delay_ms):
                    await owner.serve(DelayedStream(link, NOW_MS - transit_ms))

        self.run_owner(serve, body)
        return deadlines, refusals

    def test_request_arrives_after_its_deadline(self) -> None:
        deadlines, refusals = self.serve_delayed(1_500)
        self.assertEqual(len(deadlines), 1)
        codes = [refusal.code for refusal in refusals]
        self.assertEqual(codes, [ResultCode.REQUEST_NOT_RUN_DEADLINE])

    def test_backend_server_gets_the_time_that_is_left(self) -> None:
        deadlines, refusals = self.serve_delayed(600)
        self.assertEqual(refusals, [])
        self.assertGreater(deadlines[0], 900)
        self.assertLessEqual(deadlines[1], 400)


class AbandonedLineTest(unittest.TestCase):
    """Runs that are given up are logged with the cause and what they waited for."""

    def abandon(
        self,
        *codes: ResultCode | None,
        remaining_ms: int = 5000,
        cause_of_stop: CutCause | None = None,
    ) -> list[dict[str, Any]]:
        """Serve a request for each code, which ends its stream; return the lines.

        One request runs at a time. Without a code the process ends at last.
        """
        sink = MemoryEventLog()

        async def hang(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await trio.sleep_forever()

        async def main() -> None:
            async with serve_script(hang) as address, trio.open_nursery() as nursery:
                log = RequestLog(sink)  # type: ignore[arg-type]
                owner = Owner(FakeServers(address, 1), address, log=log)
                await nursery.start(owner.run)
                streams = [RunningStream(remaining_ms) for _ in codes]
                for stream in streams:
                    nursery.start_soon(owner.serve, stream)
                    await trio.sleep(0.02)
                self.assertEqual(owner.remote_requests, len(codes))
                for stream, code in zip(streams, codes, strict=True):
                    if code is not None:
                        stream.fail(code)
                await trio.sleep(0.1)
                owner.stop_cause = cause_of_stop
                nursery.cancel_scope.cancel()

        trio.run(main)
        return [e.fields for e in sink.events if e.event == "abandoned"]

    def check_line(self, fields: dict[str, Any], cause: str, waits_for: str) -> None:
        self.assertEqual((fields["cause"], fields["waits_for"]), (cause, waits_for))
        self.assertEqual(fields["written"], waits_for == "response")
        self.assertEqual(fields["request"], "id")

    def test_entry_node_that_cancels_its_request(self) -> None:
        (fields,) = self.abandon(ResultCode.REQUEST_CANCELLED)
        self.check_line(fields, "entry_cancelled", "response")

    def test_link_that_closes(self) -> None:
        (fields,) = self.abandon(ResultCode.PEER_UNREACHABLE)
        self.check_line(fields, "link", "response")

    def test_deadline(self) -> None:
        (fields,) = self.abandon(None, remaining_ms=50)
        self.check_line(fields, "deadline", "response")

    def test_end_of_the_process(self) -> None:
        (fields,) = self.abandon(None)
        self.check_line(fields, "stopped", "response")

    def test_request_that_waits_for_a_slot(self) -> None:
        cause = CutCause.DRAIN_TIMEOUT
        running, waiting = sorted(
            self.abandon(None, None, cause_of_stop=cause),
            key=lambda fields: str(fields["waits_for"]),
        )
        self.check_line(running, "drain_timeout", "response")
        self.check_line(waiting, "drain_timeout", "slot")

    def test_refusals_because_of_a_drain_are_counted(self) -> None:
        owner = Owner(FakeServers("127.0.0.1"), "127.0.0.1")
        owner.drain()

        async def main() -> None:
            with self.assertRaises(NotRunError):
                await owner.execute(make_head(), CollectingExchange())

        trio.run(main)
        self.assertEqual(owner.refused_while_draining, 1)


class AbandonedRequestTest(OwnerTestCase):
    slots = 1

    def test_abandoned_request_keeps_its_slot_until_cancelled(
        self,
    ) -> None:
        cancelled = trio.Event()

        async def serve(stream: trio.SocketStream) -> None:
            if (await read_request(stream)).split()[1] != b"/hang":
                await stream.send_all(OK_RESPONSE)
                return
            await stream.receive_some(1)  # Returns when the node closes the connection.
            cancelled.set()
            await trio.sleep(0.1)

        async def body(owner: Owner) -> None:
            with trio.move_on_after(0.05):
                await owner.execute(make_head(b"/hang"), CollectingExchange())
            self.assertEqual(owner.running, 1)
            await cancelled.wait()
            start = trio.current_time()
            await owner.execute(make_head(b"/next"), CollectingExchange())
            self.assertGreater(trio.current_time() - start, 0.05)
            self.assertEqual(owner.running, 0)

        self.run_owner(serve, body)


class ReturningServerTest(unittest.TestCase):
    # Guards against a backend server that is refused for good, because it was silent
    # for some time while a request ran on it.
    def test_server_that_returns_while_a_request_runs_is_used_again(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            if (await read_request(stream)).split()[1] == b"/long":
                await trio.sleep(0.5)
            await stream.send_all(OK_RESPONSE)

        async def main() -> None:
            async with serve_script(serve) as address, trio.open_nursery() as nursery:
                servers = FakeServers(address)
                owner = Owner(servers, address)
                await nursery.start(owner.run)
                announced = servers.local
                exchange = CollectingExchange()
                nursery.start_soon(owner.execute, make_head(b"/long"), exchange)
                await trio.sleep(0.1)
                servers.local = dataclasses.replace(announced, servers=())
                with self.assertRaises(NotRunError):
                    await owner.execute(make_head(), CollectingExchange())
                servers.local = announced
                for target in (b"/next", b"/next"):
                    answer = CollectingExchange()
                    await owner.execute(make_head(target), answer)
                    self.assertTrue(answer.finished)
                    await trio.sleep(0.6)
                self.assertTrue(exchange.finished)
                nursery.cancel_scope.cancel()

        trio.run(main)
