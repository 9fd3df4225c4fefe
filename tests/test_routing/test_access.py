"""Tests of keys: which requests run, under which name, and what is forwarded."""

from __future__ import annotations

import dataclasses
import json
import socket
import struct
import unittest
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.bundle.customer_keys import digest_key
from marigoldchute.bundle.model import Customer, Route
from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.quota.messages import Shares, customer_id
from marigoldchute.routing.access import IdentitySource, KeyFault, parse_key
from marigoldchute.routing.stop_window import StopWindow
from tests.support.path_in_process import ROUTE, LocalPath, local_path
from tests.support.servers import read_request

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldchute.routing.messages import RequestHead

KEY = b"k-4f1c90ab"
OTHER_KEY = b"k-77b1d2e3"
PUBLIC = Route("p", "/p/", "turnos", 3_000, is_public=True)
ACME = Customer("acme", (digest_key(KEY),))
BOLT = Customer("bolt", (digest_key(OTHER_KEY),), priority=0)
NAME = b"authorization"


def encode_request(
    *lines: bytes, target: bytes = b"/a/x", request_id: bytes = b"id", end: bool = True
) -> bytes:
    head = [b"GET %s HTTP/1.1" % target, b"Host: h", b"Attempt-Id: " + request_id]
    head += lines
    if end:
        head.append(b"Connection: close")
    return b"\r\n".join(head) + b"\r\n\r\n"


def bearer(key: bytes) -> bytes:
    return b"Authorization: Bearer " + key


def status_of(response: bytes) -> int:
    return int(response.split(b" ", 2)[1])


class AccessTestCase(unittest.TestCase):
    """Runs a node with two customers.

    Attributes
    ----------
    received : list of bytes
        Requests that ran.
    release : trio.Event
        Responses wait for it, from the arrival of their request on.
    resets_next : bool
        Whether the connection is reset instead of the next response.
    """

    def run_path(self, body: Callable[[LocalPath], Awaitable[None]]) -> None:
        self.received: list[bytes] = []
        self.release = trio.Event()
        self.release.set()
        self.resets_next = False

        async def serve(stream: trio.SocketStream) -> None:
            while request := await read_request(stream):
                self.received.append(request)
                await self.release.wait()
                if self.resets_next:
                    self.resets_next = False
                    reset(stream)
                    return
                request_id = request.partition(b"attempt-id: ")[2].partition(b"\r\n")[0]
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 2\r\n\r\nok"
                    % request_id
                )

        async def main() -> None:
            with trio.fail_after(10):
                async with local_path(serve) as path:
                    path.put_in_force((ROUTE, PUBLIC), (ACME, BOLT))
                    await body(path)

        trio.run(main)

    def headers_of(self, index: int = -1) -> list[bytes]:
        return self.received[index].lower().split(b"\r\n")


class KeyFormTest(unittest.TestCase):
    def test_only_one_bearer_key_is_accepted(self) -> None:
        cases: list[tuple[list[bytes], bytes | KeyFault]] = [
            ([b"Bearer abc"], b"abc"),
            ([b"bEARER abc="], b"abc="),
            ([], KeyFault.MISSING),
            ([b"Bearer abc", b"Bearer abc"], KeyFault.REPEATED),
        ]
        malformed = [b"", b"Bearer", b"Bearer ", b"Bearer  abc", b"Bearer a b", b"abc"]
        malformed += [b"Basic abc", b"Bearer\tabc", b"Bearer abc, Bearer abc"]
        cases += [([value], KeyFault.MALFORMED) for value in malformed]
        for values, expected in cases:
            with self.subTest(values):
                headers = [(NAME, value) for value in values]
                self.assertEqual(parse_key(headers, NAME), expected)


class RejectionTest(AccessTestCase):
    def test_requests_without_a_valid_key_get_401_and_do_not_run(self) -> None:
        cases = [
            ("missing", []),
            ("unknown", [bearer(b"k-nobody")]),
            ("repeated", [bearer(KEY), bearer(KEY)]),
            ("malformed", [b"Authorization: Basic " + KEY]),
        ]

        async def body(path: LocalPath) -> None:
            for name, lines in cases:
                response = await path.send(encode_request(*lines))
                self.assertEqual(status_of(response), 401, name)
                self.assertIn(b"marigoldchute-outcome: not-run", response)
                self.assertIn(b"www-authenticate: Bearer", response)
            counts = path.entry.access.fault_counts
            self.assertEqual(
                {f.value: n for f, n in counts.items()},
                dict.fromkeys((name for name, _ in cases), 1),
            )
            self.assertEqual(self.received, [])

        self.run_path(body)

    def test_keys_appear_in_no_response_and_no_log_line(self) -> None:
        """A key in a log or an error text can be used by whoever reads it."""

        async def body(path: LocalPath) -> None:
            for line in (bearer(KEY + b"x"), b"Authorization: Basic " + KEY):
                self.assertNotIn(KEY, await path.send(encode_request(line)))
            self.assertNotIn(KEY.decode(), json.dumps(path.log.events, default=repr))

        self.run_path(body)

    def test_without_a_bundle_the_status_is_503(self) -> None:
        """A caller whose key is valid must not be told that it is not."""

        async def body(path: LocalPath) -> None:
            path.entry._routes = None
            path.entry._first_bundle._limit_s = 0.0
            response = await path.send(encode_request(bearer(KEY)))
            self.assertEqual(status_of(response), 503)

        self.run_path(body)


class ForwardingTest(AccessTestCase):
    def test_name_replaces_the_key_and_what_the_caller_sent(self) -> None:
        async def body(path: LocalPath) -> None:
            line = b"Tenant-Id: bolt"
            response = await path.send(encode_request(line, bearer(KEY), line))
            self.assertEqual(status_of(response), 200)
            lines = self.headers_of()
            self.assertEqual(lines.count(b"tenant-id: acme"), 1)
            self.assertEqual(sum(li.startswith(b"tenant-id") for li in lines), 1)
            self.assertNotIn(KEY, self.received[0])

        self.run_path(body)

    def test_public_route_has_a_name_only_with_a_valid_key(self) -> None:
        async def body(path: LocalPath) -> None:
            cases = [([], b""), ([bearer(KEY)], b"acme"), ([bearer(b"no")], b"")]
            for lines, name in cases:
                request = encode_request(*lines, b"Tenant-Id: bolt", target=b"/p/x")
                self.assertEqual(status_of(await path.send(request)), 200)
                names = [li for li in self.headers_of() if li.startswith(b"tenant-id")]
                self.assertEqual(names, [b"tenant-id: " + name] if name else [])
                self.assertNotIn(b"authorization", self.received[-1].lower())

        self.run_path(body)

    def test_pipelined_requests_are_identified_one_by_one(self) -> None:
        async def body(path: LocalPath) -> None:
            first = encode_request(bearer(KEY), request_id=b"i1", end=False)
            second = encode_request(bearer(OTHER_KEY), request_id=b"i2", end=False)
            third = encode_request(request_id=b"i3")
            received = await path.send(first + second + third)
            statuses = [line for line in received.split(b"\r\n") if b"HTTP/1.1" in line]
            codes = [int(li[li.index(b"HTTP/1.1") :].split(b" ")[1]) for li in statuses]
            self.assertEqual(codes, [200, 200, 401])
            names = {
                i: n
                for r in self.received
                for i in (b"i1", b"i2")
                for n in (b"acme", b"bolt")
                if b"attempt-id: " + i in r and b"tenant-id: " + n in r
            }
            self.assertEqual(names, {b"i1": b"acme", b"i2": b"bolt"})

        self.run_path(body)

    def test_without_customers_both_headers_are_forwarded(self) -> None:
        """Deployments without customers are served as before."""

        async def body(path: LocalPath) -> None:
            path.put_in_force((ROUTE,))
            request = encode_request(bearer(KEY), b"Tenant-Id: mine")
            self.assertEqual(status_of(await path.send(request)), 200)
            self.assertIn(b"tenant-id: mine", self.headers_of())
            self.assertIn(b"authorization: bearer " + KEY, self.headers_of())

        self.run_path(body)


class NestedCallTest(AccessTestCase):
    """Calls that the backend server makes while it runs a request have no key."""

    async def run_nested(self, path: LocalPath, *lines: bytes) -> tuple[int, bytes]:
        """Return the status and the name of a nested call of a request of acme."""
        self.release = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(path.send, encode_request(bearer(KEY)))
            while not self.received:
                await trio.sleep(0.01)
            response = b""

            async def call() -> None:
                nonlocal response
                response = await path.send(encode_request(*lines, request_id=b"id.1"))

            async with trio.open_nursery() as calls:
                calls.start_soon(call)
                await trio.sleep(0.2)
                self.release.set()
        names = [li for li in self.headers_of() if li.startswith(b"tenant-id")]
        return status_of(response), b",".join(names)

    def test_nested_call_runs_under_the_name_of_its_parent(self) -> None:
        async def body(path: LocalPath) -> None:
            result = await self.run_nested(path, b"Tenant-Id: bolt")
            self.assertEqual(result, (200, b"tenant-id: acme"))

        self.run_path(body)

    # Guards against the rejection of calls of a run that goes on without its caller.
    def test_call_of_a_request_whose_caller_left_runs_until_the_server_drops_it(
        self,
    ) -> None:
        async def body(path: LocalPath) -> None:
            self.release = trio.Event()
            stream = await trio.open_tcp_stream(path.address, 9101)
            await stream.send_all(encode_request(bearer(KEY)))
            while not self.received:
                await trio.sleep(0.01)
            await stream.aclose()
            await trio.sleep(0.2)
            parent, self.release = self.release, trio.Event()
            self.release.set()
            response = await path.send(encode_request(request_id=b"id.1"))
            self.assertEqual(status_of(response), 200)
            self.assertIn(b"tenant-id: acme", self.headers_of())
            parent.set()
            await trio.sleep(0.2)
            response = await path.send(encode_request(request_id=b"id.2"))
            self.assertEqual(status_of(response), 401)

        self.run_path(body)

    # Guards against the rejection of calls of a run whose connection the network reset.
    def test_call_of_a_request_whose_connection_was_reset_runs(self) -> None:
        async def body(path: LocalPath) -> None:
            self.resets_next = True
            response = await path.send(encode_request(bearer(KEY)))
            self.assertEqual(status_of(response), 502)
            response = await path.send(encode_request(request_id=b"id.1"))
            self.assertEqual(status_of(response), 200)
            self.assertIn(b"tenant-id: acme", self.headers_of())
            await trio.sleep(ROUTE.timeout_ms / 1000)
            response = await path.send(encode_request(request_id=b"id.2"))
            self.assertEqual(status_of(response), 401)

        self.run_path(body)

    def test_id_of_a_nested_call_from_another_machine_needs_a_key(self) -> None:
        """Whoever knows the id of a running request could otherwise do without one."""

        async def body(path: LocalPath) -> None:
            path.own_addresses.clear()
            status, _ = await self.run_nested(path)
            self.assertEqual(status, 401)
            self.assertEqual(len(self.received), 1)

        self.run_path(body)

    def test_id_that_extends_no_running_request_needs_a_key(self) -> None:
        async def body(path: LocalPath) -> None:
            response = await path.send(encode_request(request_id=b"gone.1"))
            self.assertEqual(status_of(response), 401)

        self.run_path(body)

    # Guards against requests without a key that pass as calls of one without an id.
    def test_request_without_an_id_makes_no_calls(self) -> None:
        async def body(path: LocalPath) -> None:
            parent = self.release = trio.Event()
            async with trio.open_nursery() as nursery:
                request = encode_request(bearer(KEY)).replace(
                    b"Attempt-Id: id\r\n", b""
                )
                nursery.start_soon(path.send, request)
                while not self.received:
                    await trio.sleep(0.01)
                self.release = trio.Event()
                self.release.set()
                response = await path.send(encode_request(request_id=b".1"))
                parent.set()
            self.assertEqual(status_of(response), 401)

        self.run_path(body)

    def test_requests_are_counted_by_how_their_customer_was_determined(self) -> None:
        async def body(path: LocalPath) -> None:
            await self.run_nested(path)
            await path.send(encode_request(target=b"/p/x"))
            self.assertEqual(
                path.entry.access.source_counts,
                dict.fromkeys(IdentitySource, 1),
            )

        self.run_path(body)

    def test_key_of_a_request_with_the_id_of_a_call_is_logged(self) -> None:
        async def body(path: LocalPath) -> None:
            await self.run_nested(path)
            self.received.clear()
            await self.run_nested(path, bearer(KEY))
            lines = [e for e in path.log.events if e.event == "no_nested_call"]
            self.assertEqual(
                [line.fields for line in lines],
                [{"request": "id.1", "parent": "id", "parent_route": "r"}],
            )

        self.run_path(body)

    def test_ended_requests_leave_no_customer_behind(self) -> None:
        async def body(path: LocalPath) -> None:
            await path.send(encode_request(bearer(KEY)))
            self.assertEqual(len(path.owner.running_requests), 0)

        self.run_path(body)


class PretendedCallTest(AccessTestCase):
    """Requests of callers with the id of a call, while its parent runs.

    Calls have no key.
    """

    async def send_beside_run(
        self, path: LocalPath, *lines: bytes, **options: Any
    ) -> bytes:
        """Return the response to a request with the id of a call of a running one."""
        own_release = trio.Event()
        own_release.set()
        parent, self.release = self.release, own_release
        response = await path.send(
            encode_request(*lines, request_id=b"id.1", **options)
        )
        self.release = parent
        return response

    def run_beside(
        self, body: Callable[[LocalPath], Awaitable[None]], deadline_ms: int = 3_000
    ) -> None:
        """Run a test body while a request of acme with the id ``id`` runs."""

        async def run(path: LocalPath) -> None:
            self.release = trio.Event()
            deadline = b"Deadline-Ms: %d" % deadline_ms
            async with trio.open_nursery() as nursery:
                nursery.start_soon(path.send, encode_request(bearer(KEY), deadline))
                while not self.received:
                    await trio.sleep(0.01)
                await body(path)
                self.release.set()

        self.run_path(run)

    # Guards against withdrawn keys that run by an id that extends a running request's.
    def test_request_with_an_invalid_key_is_no_call_of_a_running_request(self) -> None:
        withdrawn = dataclasses.replace(ACME, key_digests=(digest_key(b"k-next"),))
        values = [bearer(KEY), bearer(b"k-nobody"), b"Authorization: Basic x"]

        async def body(path: LocalPath) -> None:
            path.put_in_force((ROUTE, PUBLIC), (withdrawn, BOLT))
            for lines in ([value] for value in values):
                response = await self.send_beside_run(path, *lines)
                self.assertEqual(status_of(response), 401, lines)
            many = [b"X-%d: a" % number for number in range(100)]
            for lines in ([bearer(KEY), bearer(KEY)], [*many, bearer(KEY)]):
                response = await self.send_beside_run(path, *lines)
                self.assertEqual(status_of(response), 401)
            self.assertEqual(len(self.received), 1)
            response = await self.send_beside_run(path)
            self.assertEqual(status_of(response), 200)

        self.run_beside(body)

    # Guards against requests of one customer that run under the name of another one.
    def test_valid_key_tells_the_customer_whatever_the_id(self) -> None:
        async def body(path: LocalPath) -> None:
            for target in (b"/a/x", b"/p/x"):
                await self.send_beside_run(path, bearer(OTHER_KEY), target=target)
                self.assertIn(b"tenant-id: bolt", self.headers_of())

        self.run_beside(body)

    # Guards against requests of callers that run beyond the quota of their customer.
    def test_request_with_a_key_counts_towards_the_quota_whatever_the_id(self) -> None:
        limited = dataclasses.replace(ACME, rate_per_s=10.0, burst=5.0)

        async def body(path: LocalPath) -> None:
            path.put_in_force((ROUTE, PUBLIC), (limited, BOLT))
            path.limiter.apply_shares(Shares(0, {customer_id("acme"): 0.0}), 1e12)
            response = await self.send_beside_run(path, bearer(KEY))
            self.assertEqual(status_of(response), 429)
            self.assertEqual(status_of(await self.send_beside_run(path)), 200)

        self.run_beside(body)

    # Guards against requests of callers that are admitted before those of others.
    def test_request_with_a_key_is_admitted_as_a_request_of_a_caller(self) -> None:
        async def body(path: LocalPath) -> None:
            heads = record_heads(path)
            await self.send_beside_run(path)
            await self.send_beside_run(path, bearer(KEY))
            await self.send_beside_run(path, bearer(b"k-nobody"), target=b"/p/x")
            nested = [head.is_nested for head in heads]
            self.assertEqual(nested, [True, False, False])

        self.run_beside(body)

    # Guards against chains of calls without a key that outlast the first request.
    def test_call_ends_with_the_request_that_makes_it(self) -> None:
        async def body(path: LocalPath) -> None:
            parent, self.release = self.release, trio.Event()
            heads = record_heads(path)
            response = await path.send(encode_request(request_id=b"id.1"))
            self.assertEqual(status_of(response), 504)
            self.assertLessEqual(heads[0].remaining_ms, 700)
            self.release.set()
            response = await path.send(encode_request(request_id=b"id.1.1"))
            self.assertEqual(status_of(response), 401)
            self.release = parent

        self.run_beside(body, deadline_ms=700)

    # Guards against callers elsewhere whose requests are admitted first by their id.
    def test_request_of_another_machine_is_no_call_without_customers_either(
        self,
    ) -> None:
        async def body(path: LocalPath) -> None:
            path.put_in_force((ROUTE, PUBLIC))
            heads = record_heads(path)
            await self.send_beside_run(path)
            path.own_addresses.clear()
            await self.send_beside_run(path)
            await self.send_beside_run(path, target=b"/p/x")
            nested = [head.is_nested for head in heads]
            self.assertEqual(nested, [True, False, False])

        self.run_beside(body)

    # Guards against requests of callers that a stopping node takes to its end.
    def test_stopping_node_takes_a_request_with_a_key_as_one_of_a_caller(self) -> None:
        async def body(path: LocalPath) -> None:
            now = trio.current_time()
            path.entry.stop_window = StopWindow(notice_until=now, ends_at=now + 2.5)
            response = await self.send_beside_run(path, bearer(KEY))
            self.assertEqual(status_of(response), 503)
            self.assertEqual(status_of(await self.send_beside_run(path)), 200)

        self.run_beside(body)


class UnknownParentTest(AccessTestCase):
    """A process that has just started does not know what already runs."""

    def status_after(self, uptime_s: float, *lines: bytes, **options: Any) -> int:
        """Return the status of a request to a process that started some time ago."""
        statuses = []

        async def body(path: LocalPath) -> None:
            path.owner.running_requests.start(trio.current_time() - uptime_s)
            if not options.pop("own", True):
                path.own_addresses.clear()
            options.setdefault("request_id", b"earlier.1")
            response = await path.send(encode_request(*lines, **options))
            statuses.append(status_of(response))
            self.assertEqual(len(self.received), statuses[0] == 200)
            self.assertEqual(
                path.entry.access.fault_counts[KeyFault.PARENT_UNKNOWN],
                statuses[0] == 503,
            )

        self.run_path(body)
        return statuses[0]

    # Guards against the rejection of calls whose parent an earlier process has sent.
    def test_call_that_an_earlier_process_may_know_gets_503(self) -> None:
        self.assertEqual(self.status_after(0.0), 503)
        self.assertEqual(self.status_after(29.0), 503)

    def test_call_is_rejected_when_no_earlier_request_runs(self) -> None:
        self.assertEqual(self.status_after(31.0), 401)

    def test_only_a_call_of_this_vm_without_any_key_may_be_unknown(self) -> None:
        self.assertEqual(self.status_after(0.0, bearer(b"k-nobody")), 401)
        self.assertEqual(self.status_after(0.0, b"Authorization: Basic x"), 401)
        self.assertEqual(self.status_after(0.0, own=False), 401)
        for request_id in (b"earlier", b".1", b"earlier."):
            with self.subTest(request_id):
                self.assertEqual(self.status_after(0.0, request_id=request_id), 401)

    def test_key_and_public_route_do_not_depend_on_the_parent(self) -> None:
        self.assertEqual(self.status_after(0.0, bearer(KEY)), 200)
        self.assertEqual(self.status_after(0.0, target=b"/p/x"), 200)


class ChangeTest(AccessTestCase):
    def test_keys_change_on_an_open_connection(self) -> None:
        async def body(path: LocalPath) -> None:
            stream = await trio.open_tcp_stream(path.address, 9101)
            routes = (ROUTE, PUBLIC)
            statuses = []
            for customers in ((ACME, BOLT), (BOLT,), (ACME,)):
                path.put_in_force(routes, customers)
                await stream.send_all(encode_request(bearer(KEY), end=False))
                data = await stream.receive_some(65_536)
                while not data.endswith((b"ok", b"\n")):
                    data += await stream.receive_some(65_536)
                statuses.append(status_of(data))
            await stream.aclose()
            self.assertEqual(statuses, [200, 401, 200])

        self.run_path(body)

    def test_withdrawn_key_is_rejected_at_the_next_attempt(self) -> None:
        """The first attempt is refused by the server after the key was withdrawn."""

        async def body(path: LocalPath) -> None:
            execute = path.owner.execute

            async def withdraw(*args: Any) -> None:
                path.put_in_force((ROUTE, PUBLIC), (BOLT,))
                path.owner.execute = execute  # type: ignore[method-assign]
                await refuse()

            path.owner.execute = withdraw  # type: ignore[method-assign]
            response = await path.send(encode_request(bearer(KEY)))
            self.assertEqual(status_of(response), 401)
            self.assertEqual(self.received, [])

        self.run_path(body)

    def add_customers_during_call(self, *lines: bytes) -> tuple[int, list[bool]]:
        """Put the first customers in force before the first attempt of a nested call.

        Returns its status, and whether it is a nested call before and after that.
        """
        statuses: list[int] = []
        nested: list[bool] = []

        async def body(path: LocalPath) -> None:
            path.put_in_force((ROUTE, PUBLIC))
            parent = self.release = trio.Event()
            renew = path.entry._renew_identity

            def add_customers(call: Any) -> None:
                nested.append(call.is_nested)
                path.put_in_force((ROUTE, PUBLIC), (ACME, BOLT))
                try:
                    renew(call)
                finally:
                    nested.append(call.is_nested)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(path.send, encode_request())
                while not self.received:
                    await trio.sleep(0.01)
                self.release = trio.Event()
                self.release.set()
                path.entry._renew_identity = add_customers  # type: ignore[method-assign]
                response = await path.send(encode_request(*lines, request_id=b"id.1"))
                statuses.append(status_of(response))
                parent.set()

        self.run_path(body)
        return statuses[0], nested

    # Guards against requests with a key that stay calls when customers appear.
    def test_request_with_a_key_is_no_call_once_customers_appear(self) -> None:
        status, nested = self.add_customers_during_call(bearer(b"k-nobody"))
        self.assertEqual((status, nested), (401, [True, False]))

    # Guards against the rejection of calls in progress when the first customers appear.
    def test_call_in_progress_when_customers_appear_runs(self) -> None:
        status, nested = self.add_customers_during_call()
        self.assertEqual((status, nested), (200, [True, True]))

    def test_waiting_request_of_a_customer_that_stays_runs_at_the_next_attempt(
        self,
    ) -> None:
        async def body(path: LocalPath) -> None:
            calls = 0
            make = path.entry._renew_identity

            def renew(call: Any) -> None:
                nonlocal calls
                calls += 1
                path.put_in_force((ROUTE, PUBLIC), (BOLT, Customer("new"), ACME))
                make(call)

            path.entry._renew_identity = renew  # type: ignore[method-assign]
            response = await path.send(encode_request(bearer(KEY)))
            self.assertEqual((status_of(response), calls), (200, 1))
            self.assertIn(b"tenant-id: acme", self.headers_of())

        self.run_path(body)


class PriorityTest(AccessTestCase):
    def test_priority_of_the_customer_takes_precedence(self) -> None:
        async def body(path: LocalPath) -> None:
            heads = record_heads(path)
            for key in (KEY, OTHER_KEY):
                await path.send(encode_request(bearer(key)))
            priorities = [head.priority for head in heads]
            self.assertEqual(priorities, [ROUTE.priority, 0])

        self.run_path(body)


def record_heads(path: LocalPath) -> list[RequestHead]:
    """Return a list that gets the head of each attempt from now on."""
    heads: list[RequestHead] = []
    execute = path.owner.execute

    async def record(head: RequestHead, exchange: Any) -> None:
        heads.append(head)
        await execute(head, exchange)

    path.owner.execute = record  # type: ignore[method-assign]
    return heads


def reset(stream: trio.SocketStream) -> None:
    """Close a connection so that its peer gets a reset."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


async def refuse() -> None:
    await trio.lowlevel.checkpoint()
    raise NotRunError("full", ResultCode.REQUEST_NOT_RUN_DRAINING)
