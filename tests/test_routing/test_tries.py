"""Tries of one request at the entry node: repeats, failures that are kept, refusals."""

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
from marigoldchute.events import EventSink
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.moves.model import Split
from marigoldchute.routing.entry import Entry
from marigoldchute.routing.first_bundle import FirstBundleWait
from marigoldchute.routing.http_request import CallerGoneError, HttpRequest
from marigoldchute.routing.least_time import LeastExpectedTime
from marigoldchute.routing.messages import ResponseHead
from marigoldchute.routing.policy import PathPolicy
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
    def record(self, *args: object) -> None:
        """Take an outcome."""


class FakeResponder:
    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.block = b""
        self.started = False
        self.finished = False
        self.keep_alive = True

    async def send_whole(
        self, status: int, block: bytes, has_length: bool, body: bytes
    ) -> None:
        self.statuses.append(status)
        self.block = block
        self.started = self.finished = True


class FakeOwner:
    """Runs requests by a script, one entry a try."""

    remaining_ms = 0

    def __init__(self, script: list[int | Exception]) -> None:
        self.script = script
        self.servers: list[str] = []

    async def execute(self, head: RequestHead, exchange: Call) -> None:
        await trio.lowlevel.checkpoint()
        self.servers.append(head.server_id)
        self.remaining_ms = head.remaining_ms
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        await exchange.send_whole(ResponseHead(step, b"", True), BODY)


class Unlimited:
    requests = retries = refused_retries = 0

    def __init__(self, allowed: int = 1000) -> None:
        self.allowed = allowed

    def add_request(self, now: float = 0.0, service: str = "") -> None:
        self.requests += 1

    def take_retry(self, now: float, service: str = "") -> bool:
        self.retries += 1
        return self.retries <= self.allowed


def refused(code: ResultCode) -> NotRunError:
    return NotRunError("refused", code, 0.4)


class TriesTestCase(unittest.TestCase):
    def serve(
        self,
        *script: int | Exception,
        repeatable: bool = True,
        servers: int = 4,
        allowed: int = 1000,
        change: Callable[[HttpRequest], None] | None = None,
    ) -> FakeResponder:
        self.start(*script, servers=servers, allowed=allowed)
        self.take_bundle(repeatable)
        return self.ask(b"/a/1", change)

    def start(
        self, *script: int | Exception, servers: int = 4, allowed: int = 1000
    ) -> None:
        """Start a node that has no bundle yet."""
        self.owner = FakeOwner(list(script))
        self.budget = Unlimited(allowed)
        self.in_force = InForce()
        self.entry = Entry(
            self.in_force,
            FakeSplits(),
            FakeMembers({"turnos": servers, "reservas": servers}),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            self.owner,  # type: ignore[arg-type]
            LeastExpectedTime(random.Random(1)),
            FakeSink(),
            EventSink(),  # type: ignore[arg-type]
            Clock(),
            random.Random(1),
            policy=POLICY,
            retry_budget=self.budget,
        )

    def take_bundle(self, repeatable: bool = True) -> None:
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

    def ask(
        self,
        target: bytes,
        change: Callable[[HttpRequest], None] | None = None,
        clock: trio.abc.Clock | None = None,
    ) -> FakeResponder:
        req = HttpRequest(None)  # type: ignore[arg-type]
        req.method, req.target, req.complete = b"POST", target, True
        req.headers = [(b"host", b"h.example")]
        if change is not None:
            change(req)
        responder = FakeResponder()
        trio.run(self.entry.handle_external, req, responder, clock=clock)
        return responder


class FailureTest(TriesTestCase):
    def test_a_failure_is_made_up_for_by_one_other_server(self) -> None:
        responder = self.serve(500, 200)
        self.assertEqual(responder.statuses, [200])
        self.assertEqual(len(set(self.owner.servers)), 2)

    def test_two_failures_give_one_answer_and_no_third_try(self) -> None:
        responder = self.serve(500, 500, 200)
        self.assertEqual(responder.statuses, [500])
        self.assertEqual(len(self.owner.servers), 2)

    def test_the_kept_failure_is_passed_on_when_no_try_follows(self) -> None:
        self.assertEqual(self.serve(500, 200, allowed=0).statuses, [500])
        full = refused(ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        responder = self.serve(500, full, full, full, full)
        self.assertEqual(responder.statuses, [500])

    def test_what_must_not_run_twice_is_never_repeated(self) -> None:
        responder = self.serve(500, 200, repeatable=False)
        self.assertEqual(responder.statuses, [500])
        lost = RequestError("answer was lost")
        responder = self.serve(lost, 200, repeatable=False)
        self.assertEqual(responder.statuses, [502])
        self.assertEqual(len(self.owner.servers), 1)

    def test_a_lost_answer_is_repeated_within_attempts_and_budget(self) -> None:
        lost = RequestError("answer was lost")
        self.assertEqual(self.serve(lost, 200).statuses, [200])
        self.assertEqual(self.serve(lost, 200, allowed=0).statuses, [502])
        self.assertEqual(self.serve(lost, lost, 200).statuses, [502])


class RefusalTest(TriesTestCase):
    def test_owners_refusals_cost_no_budget_and_no_attempts(self) -> None:
        full = refused(ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        responder = self.serve(full, full, 200, repeatable=False, allowed=0)
        self.assertEqual(responder.statuses, [200])
        self.assertEqual(self.budget.retries, 0)

    def test_a_backend_servers_refusal_costs_both(self) -> None:
        busy = refused(ResultCode.REQUEST_NOT_RUN_REFUSED)
        self.assertEqual(self.serve(busy, 200, repeatable=False).statuses, [200])
        self.assertEqual(self.budget.retries, 1)
        responder = self.serve(busy, busy, 200, repeatable=False)
        self.assertEqual(responder.statuses, [503])

    def test_a_refusal_says_when_to_come_back(self) -> None:
        full = refused(ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        responder = self.serve(full, full, full, full, repeatable=False)
        self.assertEqual(responder.statuses, [503])
        line = next(
            line
            for line in responder.block.split(b"\r\n")
            if line.startswith(b"retry-after: ")
        )
        self.assertTrue(0.4 <= float(line.partition(b": ")[2]) <= 0.8)

    def test_a_refusal_after_a_lost_answer_promises_nothing(self) -> None:
        lost = RequestError("answer was lost")
        full = refused(ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        responder = self.serve(lost, full, full, full, full)
        self.assertEqual(responder.statuses, [502])


class PartsTest(TriesTestCase):
    def test_short_runs_of_requests_keep_to_the_weights(self) -> None:
        self.serve(200)
        self.owner.script = [200] * 400
        self.owner.servers.clear()
        for _ in range(40):
            self.ask(b"/p/1")
        part = sum(name.startswith("reservas") for name in self.owner.servers)
        self.assertAlmostEqual(part, 10, delta=1)

    def test_a_part_without_room_is_refused_and_not_moved(self) -> None:
        self.serve(200)
        self.entry.tables._members = FakeMembers({"turnos": 2})  # type: ignore[assignment]
        self.entry.tables.mark_stale()
        self.entry.tables._rebuild(0.0)
        self.owner.script = [200] * 100
        self.owner.servers.clear()
        statuses = [self.ask(b"/p/1").statuses[0] for _ in range(40)]
        self.assertAlmostEqual(statuses.count(503), 10, delta=1)


class LittleTimeTest(TriesTestCase):
    def test_no_try_begins_in_the_last_part_of_the_time(self) -> None:
        full = refused(ResultCode.REQUEST_NOT_RUN_OVERLOADED)

        class SlowOwner(FakeOwner):
            async def execute(self, head: RequestHead, exchange: Call) -> None:
                await trio.sleep(0.9 * exchange.entry.route.timeout_ms / 1000)
                await super().execute(head, exchange)

        self.serve(200)
        owner = SlowOwner([full, 200])
        self.entry._dispatcher._owner = owner  # type: ignore[assignment]
        clock = trio.testing.MockClock(autojump_threshold=0)
        responder = self.ask(b"/a/1", clock=clock)
        self.assertEqual(responder.statuses, [503])
        self.assertEqual(len(owner.servers), 1)


class FirstBundleTest(TriesTestCase):
    """All nodes start at once after a loss of power, before any has a bundle."""

    def ask_at(self, *times: float, bundle_at: float | None) -> list[tuple[int, float]]:
        """Return the status of each request and after how many seconds it came."""
        found: list[tuple[int, float]] = []

        async def ask(at: float) -> None:
            await trio.sleep(at)
            req = HttpRequest(None)  # type: ignore[arg-type]
            req.method, req.target, req.complete = b"POST", b"/a/1", True
            req.headers = [(b"host", b"h.example")]
            responder = FakeResponder()
            await self.entry.handle_external(req, responder)  # type: ignore[arg-type]
            took_s = round(trio.current_time() - started - at, 3)
            found.append((responder.statuses[0], took_s))

        async def main() -> None:
            nonlocal started
            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                for at in times:
                    nursery.start_soon(ask, at)
                if bundle_at is not None:
                    await trio.sleep(bundle_at)
                    self.take_bundle()

        started = 0.0
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return found

    def test_requests_wait_for_a_bundle_that_comes(self) -> None:
        self.start(*[200] * 3)
        found = self.ask_at(0.0, 0.1, 0.3, bundle_at=0.4)
        self.assertEqual(sorted(found), [(200, 0.1), (200, 0.3), (200, 0.4)])

    def test_waiting_counts_as_time_of_the_request(self) -> None:
        self.start(200)
        self.ask_at(0.0, bundle_at=0.4)
        self.assertEqual(self.owner.remaining_ms, 1600)

    def test_without_a_bundle_requests_are_soon_refused_at_once(self) -> None:
        self.start()
        found = self.ask_at(0.0, 0.5, 0.8, 2.0, bundle_at=None)
        self.assertEqual([status for status, _ in found], [503] * 4)
        self.assertEqual(sorted(took for _, took in found), [0.0, 0.0, 0.2, 0.7])

    def test_caller_that_leaves_is_not_held(self) -> None:
        wait = FirstBundleWait(FIRST_BUNDLE_WAIT_S)

        async def main() -> None:
            req = HttpRequest(None)  # type: ignore[arg-type]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._leave, req)
                with self.assertRaises(CallerGoneError):
                    await wait.wait(req, trio.current_time())
                self.assertAlmostEqual(trio.current_time() - started, 0.1)

        started = 0.0
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)

    async def _leave(self, req: HttpRequest) -> None:
        await trio.sleep(0.1)
        req.caller_gone = True
        assert req.scope is not None
        req.scope.cancel()
