"""Tests of attempts at the entry node: retries, retained errors and refusals."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import (
    Bundle,
    BundleContent,
    Manifest,
    Route,
    RoutePart,
    Service,
)
from marigoldchute.errors import NotRunError, RequestError, ResultCode
from marigoldchute.events import MemoryEventLog
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.moves.model import Split
from marigoldchute.routing.entry import Entry
from marigoldchute.routing.first_bundle import FirstBundleWait
from marigoldchute.routing.http_request import CallerDisconnectedError, HttpRequest
from marigoldchute.routing.least_time import LeastExpectedTime
from marigoldchute.routing.messages import ResponseHead
from marigoldchute.routing.policy import PathPolicy
from marigoldchute.routing.running_requests import RunningRequests
from marigoldchute.util.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.routing.call import Call
    from marigoldchute.routing.messages import RequestHead

FIRST_BUNDLE_WAIT_S = 0.7
POLICY = PathPolicy(False, 65_536, True, first_bundle_wait_s=FIRST_BUNDLE_WAIT_S)
BODY = b"x"


class FakeMembers:
    """One VM with several backend servers, so that no link is needed."""

    fenced = False

    def __init__(self, services: dict[str, int]) -> None:
        servers = tuple(
            BackendServer(f"{name}-{i}", name, "v1", 80, 4, 100)
            for name, count in services.items()
            for i in range(count)
        )
        self.local = Member("vm", 1, 1, "a", 1, "dc", "r", servers=servers)

    def all(self) -> tuple[Member, ...]:
        return (self.local,)

    def get(self, name: str) -> Member | None:
        return self.local


class FakeSplits:
    def split(self, service: str, release: str) -> Split:
        return Split("v1", "v1", 0.0)


class FakeSink:
    def record_attempt(self, *args: object) -> None:
        """Ignore an attempt."""

    def record(self, *args: object) -> None:
        """Ignore an outcome."""


class FakeResponder:
    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.block = b""
        self.started = False
        self.finished = False
        self.keep_alive = True

    async def send_complete(
        self, status: int, block: bytes, has_length: bool, body: bytes
    ) -> None:
        self.statuses.append(status)
        self.block = block
        self.started = self.finished = True


class FakeOwner:
    """Runs requests by a script with one result for each attempt."""

    remaining_ms = 0

    def __init__(self, script: list[int | Exception]) -> None:
        self.script = script
        self.servers: list[str] = []
        self.running_requests = RunningRequests("")

    async def execute(self, head: RequestHead, exchange: Call) -> None:
        await trio.lowlevel.checkpoint()
        self.servers.append(head.server_id)
        self.remaining_ms = head.remaining_ms
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        await exchange.send_complete(ResponseHead(result, b"", True), BODY)


class FakeRetryBudget:
    requests = retries = refused_retries = 0

    def __init__(self, allowed: int = 1000) -> None:
        self.allowed = allowed

    def record_request(self, now: float = 0.0, service: str = "") -> None:
        self.requests += 1

    def acquire_retry(self, now: float, service: str = "") -> bool:
        self.retries += 1
        return self.retries <= self.allowed


def refusal(code: ResultCode) -> NotRunError:
    return NotRunError("refused", code, 0.4)


class AttemptTestCase(unittest.TestCase):
    def send_with_script(
        self,
        *script: int | Exception,
        repeatable: bool = True,
        servers: int = 4,
        allowed: int = 1000,
        modify_request: Callable[[HttpRequest], None] | None = None,
    ) -> FakeResponder:
        self.start(*script, servers=servers, allowed=allowed)
        self.apply_bundle(repeatable)
        return self.send(b"/a/1", modify_request)

    def start(
        self, *script: int | Exception, servers: int = 4, allowed: int = 1000
    ) -> None:
        """Start a node that has no bundle yet."""
        self.owner = FakeOwner(list(script))
        self.budget = FakeRetryBudget(allowed)
        self.in_force = InForce()
        self.entry = Entry(
            self.in_force,
            FakeSplits(),
            FakeMembers({"turnos": servers, "reservas": servers}),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            self.owner,  # type: ignore[arg-type]
            LeastExpectedTime(random.Random(1)),
            FakeSink(),
            MemoryEventLog(),  # type: ignore[arg-type]
            Clock(),
            random.Random(1),
            policy=POLICY,
            retry_budget=self.budget,
        )

    def apply_bundle(self, repeatable: bool = True) -> None:
        """Put a bundle in force."""
        parts = (RoutePart("turnos", 3), RoutePart("reservas", 1))
        routes = (
            Route("r", "/a/", "turnos", 2000, max_attempts=2, repeatable=repeatable),
            Route("p", "/p/", "turnos", 2000, parts=parts, repeatable=repeatable),
        )
        content = BundleContent(
            (Service("turnos", ""), Service("reservas", "")), routes
        )
        self.in_force.swap(Bundle(Manifest(1, (), "", "", b""), content))

    def send(
        self,
        target: bytes,
        modify_request: Callable[[HttpRequest], None] | None = None,
        clock: trio.abc.Clock | None = None,
    ) -> FakeResponder:
        req = HttpRequest(None)  # type: ignore[arg-type]
        req.method, req.target, req.complete = b"POST", target, True
        req.headers = [(b"host", b"h.example")]
        if modify_request is not None:
            modify_request(req)
        responder = FakeResponder()
        trio.run(self.entry.handle_external, req, responder, clock=clock)
        return responder


class ErrorResponseTest(AttemptTestCase):
    def test_error_is_retried_at_one_other_server(self) -> None:
        responder = self.send_with_script(500, 200)
        self.assertEqual(responder.statuses, [200])
        self.assertEqual(len(set(self.owner.servers)), 2)

    def test_two_errors_give_one_response_and_no_third_attempt(self) -> None:
        responder = self.send_with_script(500, 500, 200)
        self.assertEqual(responder.statuses, [500])
        self.assertEqual(len(self.owner.servers), 2)

    def test_retained_error_is_forwarded_when_no_retry_succeeds(self) -> None:
        self.assertEqual(self.send_with_script(500, 200, allowed=0).statuses, [500])
        overloaded = refusal(ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        responder = self.send_with_script(
            500, overloaded, overloaded, overloaded, overloaded
        )
        self.assertEqual(responder.statuses, [500])

    def test_non_repeatable_request_is_never_retried(self) -> None:
        responder = self.send_with_script(500, 200, repeatable=False)
        self.assertEqual(responder.statuses, [500])
        lost = RequestError("response was lost")
        responder = self.send_with_script(lost, 200, repeatable=False)
        self.assertEqual(responder.statuses, [502])
        self.assertEqual(len(self.owner.servers), 1)

    def test_lost_response_is_retried_within_attempts_and_budget(self) -> None:
        lost = RequestError("response was lost")
        self.assertEqual(self.send_with_script(lost, 200).statuses, [200])
        self.assertEqual(self.send_with_script(lost, 200, allowed=0).statuses, [502])
        self.assertEqual(self.send_with_script(lost, lost, 200).statuses, [502])


class RefusalTest(AttemptTestCase):
    def test_refusals_by_owners_use_no_budget_and_no_attempts(self) -> None:
        overloaded = refusal(ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        responder = self.send_with_script(
            overloaded, overloaded, 200, repeatable=False, allowed=0
        )
        self.assertEqual(responder.statuses, [200])
        self.assertEqual(self.budget.retries, 0)

    def test_refusal_by_backend_server_uses_budget_and_attempt(self) -> None:
        busy = refusal(ResultCode.REQUEST_NOT_RUN_REFUSED)
        self.assertEqual(
            self.send_with_script(busy, 200, repeatable=False).statuses, [200]
        )
        self.assertEqual(self.budget.retries, 1)
        responder = self.send_with_script(busy, busy, 200, repeatable=False)
        self.assertEqual(responder.statuses, [503])

    def test_refusal_has_retry_after_header(self) -> None:
        overloaded = refusal(ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        responder = self.send_with_script(
            overloaded, overloaded, overloaded, overloaded, repeatable=False
        )
        self.assertEqual(responder.statuses, [503])
        line = next(
            line
            for line in responder.block.split(b"\r\n")
            if line.startswith(b"retry-after: ")
        )
        self.assertTrue(0.4 <= float(line.partition(b": ")[2]) <= 0.8)

    def test_refusal_by_all_servers_is_reported_as_overload(self) -> None:
        """Callers must not be told that there is no server."""
        overloaded = refusal(ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        self.start(overloaded, overloaded, servers=2)
        self.apply_bundle()
        self.entry._weighs_work = True
        responder = self.send(b"/a/1")
        self.assertEqual(responder.statuses, [503])
        self.assertIn(b"marigoldchute-code: 504\r\n", responder.block)

    def test_refusal_after_lost_response_is_reported_as_unknown(self) -> None:
        lost = RequestError("response was lost")
        overloaded = refusal(ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        responder = self.send_with_script(
            lost, overloaded, overloaded, overloaded, overloaded
        )
        self.assertEqual(responder.statuses, [502])


class PartsTest(AttemptTestCase):
    def test_few_requests_are_divided_by_weights(self) -> None:
        self.send_with_script(200)
        self.owner.script = [200] * 400
        self.owner.servers.clear()
        for _ in range(40):
            self.send(b"/p/1")
        part_count = sum(name.startswith("reservas") for name in self.owner.servers)
        self.assertAlmostEqual(part_count, 10, delta=1)

    def test_requests_of_part_without_servers_are_refused(self) -> None:
        self.send_with_script(200)
        self.entry.candidate_tables._members = FakeMembers({"turnos": 2})  # type: ignore[assignment]
        self.entry.candidate_tables.mark_stale()
        self.entry.candidate_tables._rebuild(0.0)
        self.owner.script = [200] * 100
        self.owner.servers.clear()
        statuses = [self.send(b"/p/1").statuses[0] for _ in range(40)]
        self.assertAlmostEqual(statuses.count(503), 10, delta=1)


class RemainingTimeTest(AttemptTestCase):
    def test_no_attempt_starts_shortly_before_deadline(self) -> None:
        overloaded = refusal(ResultCode.REQUEST_NOT_RUN_OVERLOADED)

        class SlowOwner(FakeOwner):
            async def execute(self, head: RequestHead, exchange: Call) -> None:
                await trio.sleep(0.9 * exchange.route_entry.route.timeout_ms / 1000)
                await super().execute(head, exchange)

        self.send_with_script(200)
        owner = SlowOwner([overloaded, 200])
        self.entry._dispatcher._owner = owner  # type: ignore[assignment]
        clock = trio.testing.MockClock(autojump_threshold=0)
        responder = self.send(b"/a/1", clock=clock)
        self.assertEqual(responder.statuses, [503])
        self.assertEqual(len(owner.servers), 1)


class FirstBundleTest(AttemptTestCase):
    """All nodes start at once after a power failure, before any has a bundle."""

    def send_at(
        self, *times_s: float, bundle_at_s: float | None
    ) -> list[tuple[int, float]]:
        """Return the status of each request and the seconds until its response."""
        results: list[tuple[int, float]] = []

        async def send(sent_at_s: float) -> None:
            await trio.sleep(sent_at_s)
            req = HttpRequest(None)  # type: ignore[arg-type]
            req.method, req.target, req.complete = b"POST", b"/a/1", True
            req.headers = [(b"host", b"h.example")]
            responder = FakeResponder()
            await self.entry.handle_external(req, responder)  # type: ignore[arg-type]
            elapsed_s = round(trio.current_time() - started - sent_at_s, 3)
            results.append((responder.statuses[0], elapsed_s))

        async def main() -> None:
            nonlocal started
            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                for sent_at_s in times_s:
                    nursery.start_soon(send, sent_at_s)
                if bundle_at_s is not None:
                    await trio.sleep(bundle_at_s)
                    self.apply_bundle()

        started = 0.0
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return results

    def test_requests_wait_for_first_bundle(self) -> None:
        self.start(*[200] * 3)
        results = self.send_at(0.0, 0.1, 0.3, bundle_at_s=0.4)
        self.assertEqual(sorted(results), [(200, 0.1), (200, 0.3), (200, 0.4)])

    def test_wait_counts_against_request_timeout(self) -> None:
        self.start(200)
        self.send_at(0.0, bundle_at_s=0.4)
        self.assertEqual(self.owner.remaining_ms, 1600)

    def test_without_bundle_later_requests_are_refused_at_once(self) -> None:
        self.start()
        results = self.send_at(0.0, 0.5, 0.8, 2.0, bundle_at_s=None)
        self.assertEqual([status for status, _ in results], [503] * 4)
        self.assertEqual(
            sorted(elapsed_s for _, elapsed_s in results), [0.0, 0.0, 0.2, 0.7]
        )

    def test_request_of_disconnected_caller_is_not_held(self) -> None:
        wait = FirstBundleWait(FIRST_BUNDLE_WAIT_S)

        async def main() -> None:
            req = HttpRequest(None)  # type: ignore[arg-type]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._disconnect_caller, req)
                with self.assertRaises(CallerDisconnectedError):
                    await wait.wait(req, trio.current_time())
                self.assertAlmostEqual(trio.current_time() - started, 0.1)

        started = 0.0
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)

    async def _disconnect_caller(self, req: HttpRequest) -> None:
        await trio.sleep(0.1)
        req.caller_disconnected = True
        assert req.cancel_scope is not None
        req.cancel_scope.cancel()
