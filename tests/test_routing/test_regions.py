"""Tests that requests are served and logged only in their allowed regions."""

from __future__ import annotations

import dataclasses
import json
import random
import unittest
from typing import TYPE_CHECKING, Any, cast

import trio
import trio.testing

from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import (
    Bundle,
    BundleContent,
    Customer,
    Manifest,
    Route,
    Service,
)
from marigoldchute.errors import NotRunError, PeerError, RequestError, ResultCode
from marigoldchute.events import MemoryEventLog
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.moves.model import Split
from marigoldchute.routing.access import Identity
from marigoldchute.routing.candidates import CandidateTables
from marigoldchute.routing.choice import NearestLeastLoaded, RandomChooser
from marigoldchute.routing.cut import Cut, CutCause
from marigoldchute.routing.entry import Entry
from marigoldchute.routing.http_request import HttpRequest
from marigoldchute.routing.least_time import LeastExpectedTime
from marigoldchute.routing.messages import ENCODER, REQUEST_DECODER, ResponseHead
from marigoldchute.routing.owner import Owner
from marigoldchute.routing.policy import PathPolicy
from marigoldchute.routing.regions import RegionRules, intersect_regions
from marigoldchute.routing.running_requests import RunningRequests
from marigoldchute.util.clock import Clock
from tests.support.servers import read_request
from tests.test_routing.test_attempts import FakeResponder, FakeRetryBudget
from tests.test_routing.test_owner import (
    OK_RESPONSE,
    CollectingExchange,
    FakeServers,
    OwnerTestCase,
    make_head,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.routing.call import Call
    from marigoldchute.routing.choice import Chooser
    from marigoldchute.routing.messages import RequestHead

POLICY = PathPolicy(False, 65_536, True)
LOCAL_REGION = "sur"
TARGET = b"/a/private-target"


def make_content(
    route_regions: tuple[str, ...] = (), customer_regions: tuple[str, ...] = ()
) -> BundleContent:
    route = Route("r", "/a/", "turnos", 2000, max_attempts=2, regions=route_regions)
    customers = (Customer("ana", regions=customer_regions),) if customer_regions else ()
    return BundleContent((Service("turnos", "v1"),), (route,), customers=customers)


class IntersectionTest(unittest.TestCase):
    def test_empty_restriction_allows_all_regions(self) -> None:
        self.assertIsNone(intersect_regions(()))
        self.assertIsNone(intersect_regions((), ()))

    def test_one_restriction_applies_alone(self) -> None:
        self.assertEqual(intersect_regions(("sur", "este", "sur")), ("este", "sur"))
        self.assertEqual(intersect_regions((), ("sur",)), ("sur",))

    def test_both_restrictions_apply(self) -> None:
        self.assertEqual(intersect_regions(("este", "sur"), ("sur",)), ("sur",))

    def test_disjoint_restrictions_allow_no_region(self) -> None:
        """An empty intersection must not be taken for a missing restriction."""
        self.assertEqual(intersect_regions(("este",), ("sur",)), ())


class RegionRulesTest(unittest.TestCase):
    def test_rules_of_unrestricted_bundle_restrict_nothing(self) -> None:
        rules = RegionRules(make_content())
        self.assertFalse(rules.restricts)
        self.assertIsNone(rules.allowed("r", "ana"))
        self.assertFalse(rules.may_exclude("r", "sur"))

    def test_route_and_customer_are_looked_up_by_name(self) -> None:
        rules = RegionRules(make_content(("este", "sur"), ("sur",)))
        self.assertEqual(rules.allowed("r", "ana"), ("sur",))
        self.assertEqual(rules.allowed("r"), ("este", "sur"))
        self.assertEqual(rules.allowed("other", "ana"), ("sur",))
        self.assertIsNone(rules.allowed("other"))

    def test_unknown_customer_may_exclude_any_other_region(self) -> None:
        rules = RegionRules(make_content((), ("sur",)))
        self.assertTrue(rules.may_exclude("r", "este"))
        self.assertFalse(rules.may_exclude("r", "sur"))


class FakeMembers:
    """One backend server in each of several regions."""

    fenced = False

    def __init__(self, *regions: str) -> None:
        self.local = make_member(LOCAL_REGION, 0, has_server=False)
        self._members = [make_member(r, i) for i, r in enumerate(regions, 1)]

    def all(self) -> tuple[Member, ...]:
        return (self.local, *self._members)

    def get(self, name: str) -> Member | None:
        return next((m for m in self.all() if m.name == name), None)


def make_member(region: str, index: int, has_server: bool = True) -> Member:
    server = BackendServer(f"i-{index}", "turnos", "v1", 80, 4, 100)
    servers = (server,) if has_server else ()
    name = f"vm-{index}"
    return Member(name, 1, 1, "a", 1, f"dc-{region}", region, servers=servers)


class CandidateTablesTest(unittest.TestCase):
    def setUp(self) -> None:
        members: Any = FakeMembers("sur", "este", "norte")
        self.tables = CandidateTables(members)

    def find_regions(self, regions: tuple[str, ...] | None) -> set[str]:
        found = self.tables.find("turnos", "v1", 1.0, regions)
        return {
            target.member.region
            for tier in (found.own, found.data_centre, found.region, found.remote)
            for target in tier
        }

    def test_each_tier_is_filtered(self) -> None:
        self.assertEqual(self.find_regions(None), {"sur", "este", "norte"})
        self.assertEqual(self.find_regions(("este",)), {"este"})
        self.assertEqual(self.find_regions(("este", "sur")), {"este", "sur"})
        self.assertEqual(self.find_regions(()), set())
        self.assertEqual(self.find_regions(("oeste",)), set())

    def test_filtered_table_is_computed_once_between_rebuilds(self) -> None:
        first = self.tables.find("turnos", "v1", 1.0, ("este",))
        self.assertIs(self.tables.find("turnos", "v1", 1.0, ("este",)), first)
        self.tables.mark_stale()
        self.assertIsNot(self.tables.find("turnos", "v1", 2.0, ("este",)), first)

    def test_every_policy_keeps_to_the_filtered_table(self) -> None:
        """The last resort of a policy may choose any target of its table."""
        rng = random.Random(1)
        choosers: list[Chooser] = [
            LeastExpectedTime(rng),
            NearestLeastLoaded(rng, lambda server_id: None, LOCAL_REGION),
            RandomChooser(rng),
        ]
        candidates = self.tables.find("turnos", "v1", 1.0, ("este",))
        (target,) = candidates.remote
        for busy_until in (0.0, 9.0):
            target.busy_until = busy_until
            for chooser in choosers:
                self.assertIs(chooser.choose(candidates, set(), 1.0, 1000), target)
                self.assertIsNone(chooser.choose(candidates, {target}, 1.0, 1000))


class FakeSplits:
    new_release = "v1"

    def split(self, service: str, release: str) -> Split:
        is_moving = self.new_release != "v1"
        return Split("v1", self.new_release, 0.999999 if is_moving else 0.0)


class CountingSink:
    def __init__(self) -> None:
        self.outcomes: list[object] = []

    def record_attempt(self, *args: object) -> None:
        """Ignore an attempt."""

    def record(self, *args: object) -> None:
        self.outcomes.append(args[4])


class FakeOwner:
    region_rules: RegionRules

    def __init__(self) -> None:
        self.running_requests = RunningRequests("")


class FakeStream:
    """Stream of an attempt, which ends with one result."""

    outlasts_silence = False

    def __init__(self, result: int | Exception) -> None:
        self._result = result

    async def receive_head(self) -> bytes:
        await trio.lowlevel.checkpoint()
        if isinstance(self._result, Exception):
            raise self._result
        return ENCODER.encode(ResponseHead(self._result, b"", True))

    def pop_complete_data(self) -> bytes | None:
        return b"x"

    def reset(self, code: ResultCode) -> None:
        """Ignore the end of the attempt."""


class FakeTraffic:
    """Links to other nodes; records the regions that requests are sent to."""

    def __init__(self, members: FakeMembers, script: list[int | Exception]) -> None:
        self.members = members
        self.script = script
        self.opened: list[str] = []
        self.heads: list[RequestHead] = []
        self.before_attempt: Callable[[], None] = lambda: None
        self.while_opening: Callable[[], None] = lambda: None
        self.unreachable: set[str] = set()
        self._member: Member | None = None

    def find_open(self, name: str) -> FakeTraffic | None:
        return None

    async def get(self, name: str) -> FakeTraffic:
        member = self.members.get(name)
        assert member is not None
        self.opened.append(member.region)
        if member.region in self.unreachable:
            await trio.sleep(60)
        await trio.lowlevel.checkpoint()
        self.while_opening()
        return self

    def open_stream(self, head: bytes, body: bytes | None) -> FakeStream:
        decoded = REQUEST_DECODER.decode(head)
        self.heads.append(decoded)
        self.before_attempt()
        return FakeStream(self.script.pop(0))

    def remove_stream(self, stream: FakeStream) -> None:
        """Ignore the end of a stream."""


class EntryTestCase(unittest.TestCase):
    def start(self, *regions: str, script: tuple[int | Exception, ...] = ()) -> None:
        self.members = FakeMembers(*regions)
        self.traffic = FakeTraffic(self.members, list(script))
        self.in_force = InForce()
        self.events = MemoryEventLog()
        self.sink = CountingSink()
        self.splits = FakeSplits()
        self.entry = Entry(
            self.in_force,
            self.splits,
            self.members,  # type: ignore[arg-type]
            self.traffic,  # type: ignore[arg-type]
            FakeOwner(),  # type: ignore[arg-type]
            LeastExpectedTime(random.Random(1)),
            self.sink,
            self.events,  # type: ignore[arg-type]
            Clock(),
            random.Random(1),
            policy=POLICY,
            retry_budget=FakeRetryBudget(),
        )
        self.version = 0

    def apply(self, content: BundleContent) -> None:
        self.version += 1
        self.in_force.swap(Bundle(Manifest(self.version, (), "", "", b""), content))

    def make_request(self) -> HttpRequest:
        req = HttpRequest(None)  # type: ignore[arg-type]
        req.method, req.target, req.complete = b"GET", TARGET, True
        req.headers = [(b"host", b"h.example")]
        return req

    def send(self) -> FakeResponder:
        return self.send_several(1)[0]

    def send_several(self, count: int) -> list[FakeResponder]:
        responders = [FakeResponder() for _ in range(count)]

        async def main() -> None:
            for responder in responders:
                await self.entry.handle_external(
                    self.make_request(),
                    responder,  # type: ignore[arg-type]
                )

        trio.run(main)
        return responders

    def sent_regions(self) -> list[str]:
        members = self.members.all()
        region_of = {s.server_id: m.region for m in members for s in m.servers}
        return [region_of[head.server_id] for head in self.traffic.heads]


class AttemptTest(EntryTestCase):
    def test_request_goes_only_to_allowed_region(self) -> None:
        self.start("sur", "este", "norte", script=(200,) * 20)
        self.apply(make_content(("norte",)))
        statuses = [r.statuses for r in self.send_several(20)]
        self.assertEqual(statuses, [[200]] * 20)
        self.assertEqual(set(self.sent_regions()), {"norte"})
        self.assertEqual({head.regions for head in self.traffic.heads}, {("norte",)})

    def test_request_without_restriction_carries_no_regions(self) -> None:
        self.start("sur", script=(200,))
        self.apply(make_content())
        self.send()
        self.assertEqual(self.traffic.heads[0].regions, ())

    def test_retry_stays_in_allowed_region(self) -> None:
        lost = PeerError("link was lost")
        self.start("este", "sur", "este", script=(lost, 200))
        self.apply(make_content(("este",)))
        self.assertEqual(self.send().statuses, [200])
        self.assertEqual(self.sent_regions(), ["este", "este"])

    def test_no_server_in_allowed_region_is_refused_at_once(self) -> None:
        self.start("sur", "norte")
        self.apply(make_content(("este",)))
        responder = self.send()
        self.assertEqual(responder.statuses, [503])
        self.assertIn(b"marigoldchute-code: 516", responder.block)
        self.assertIn(b"marigoldchute-outcome: not-run", responder.block)
        self.assertIn(b"retry-after: ", responder.block)
        self.assertEqual(self.traffic.opened, [])
        self.assertEqual(self.entry.refused_by_region, 1)

    def test_overloaded_server_is_not_reported_as_a_region_without_servers(
        self,
    ) -> None:
        overloaded = NotRunError("full", ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        self.start("este", "sur", script=(overloaded,))
        self.apply(make_content(("este",)))
        responder = self.send()
        self.assertEqual(responder.statuses, [503])
        self.assertNotIn(b"marigoldchute-code: 516", responder.block)
        self.assertEqual(self.entry.refused_by_region, 0)

    def test_disjoint_restrictions_are_refused(self) -> None:
        """An empty intersection must not allow every region."""
        self.start("sur", "este", script=(200,))
        self.apply(make_content(("este",), ("sur",)))
        self.entry._make_call = self._with_customer(self.entry._make_call)  # type: ignore[method-assign]
        responder = self.send()
        self.assertEqual(responder.statuses, [503])
        self.assertEqual(self.traffic.heads, [])

    def _with_customer(self, make_call: Callable[..., Call]) -> Callable[..., Call]:
        def make(*args: Any) -> Call:
            call = make_call(*args)
            call.identity = Identity("ana")
            self.entry._apply_regions(call)
            return call

        return make

    def test_unreachable_region_is_refused_without_waiting_again(self) -> None:
        """A cut-off region must not delay each request by the time to open links."""
        self.start("este", "este", "sur")
        self.apply(make_content(("este",)))
        self.traffic.unreachable = {"este"}
        elapsed_s: list[float] = []

        async def main() -> None:
            for _ in range(3):
                started = trio.current_time()
                responder = FakeResponder()
                await self.entry.handle_external(
                    self.make_request(),
                    responder,  # type: ignore[arg-type]
                )
                elapsed_s.append(trio.current_time() - started)
                self.assertEqual(responder.statuses, [503])

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(set(self.traffic.opened), {"este"})
        self.assertLessEqual(elapsed_s[1], 1.0)
        self.assertEqual(elapsed_s[2], 0.0)
        self.assertEqual(len(self.traffic.opened), 3)

    def test_release_without_server_in_allowed_region_is_no_failure_of_it(
        self,
    ) -> None:
        """A roll-out that has not reached a region must not be rolled back."""
        self.start("este", script=(200,))
        self.splits.new_release = "v2"
        self.apply(make_content(("este",)))
        self.assertEqual(self.send().statuses, [200])
        self.assertEqual([o.value for o in cast("Any", self.sink.outcomes)], ["ok"])


class ChangedBundleTest(EntryTestCase):
    """A new version changes the regions while a request waits or is retried."""

    def test_narrowed_regions_apply_to_next_attempt(self) -> None:
        lost = PeerError("link was lost")
        self.start("sur", "sur", "este", script=(lost, 200))
        self.apply(make_content())
        self.traffic.before_attempt = lambda: self.apply(make_content(("este",)))
        self.assertEqual(self.send().statuses, [200])
        self.assertEqual(self.sent_regions(), ["sur", "este"])

    def test_added_region_applies_to_next_attempt(self) -> None:
        lost = PeerError("link was lost")
        self.start("norte", "este", script=(lost, 200))
        self.apply(make_content(("norte",)))
        self.traffic.before_attempt = lambda: self.apply(
            make_content(("este", "norte"))
        )
        self.assertEqual(self.send().statuses, [200])
        self.assertEqual(self.sent_regions(), ["norte", "este"])

    def test_change_while_a_link_opens_stops_the_attempt(self) -> None:
        """The body must not be sent to a region that is no longer allowed."""
        self.start("sur", script=(200,))
        self.apply(make_content())
        self.traffic.while_opening = lambda: self.apply(make_content(("este",)))
        self.assertEqual(self.send().statuses, [503])
        self.assertEqual(self.traffic.heads, [])

    def test_removed_route_keeps_its_regions(self) -> None:
        lost = PeerError("link was lost")
        self.start("este", "sur", script=(lost, 200))
        self.apply(make_content(("este",)))
        empty = BundleContent((Service("turnos", "v1"),), ())
        self.traffic.before_attempt = lambda: self.apply(empty)
        self.send()
        self.assertEqual(self.sent_regions(), ["este"])


class ForeignLogTest(EntryTestCase):
    """A node outside the allowed regions logs nothing that a request contains."""

    def logged(self) -> str:
        events = [dataclasses.asdict(event) for event in self.events.events]
        return json.dumps(events, default=str)

    def test_refused_request_is_logged_without_target(self) -> None:
        self.start("sur")
        self.apply(make_content(("este",)))
        self.send()
        text = self.logged()
        self.assertNotIn("private-target", text)
        self.assertNotIn("body", text)
        self.assertIn('"code": 516', text)
        self.assertIn('"route": "r"', text)

    def test_failed_and_repeated_requests_are_logged_without_target(self) -> None:
        lost = RequestError("response had private-target")
        self.start("este", "este", script=(lost, 500, lost, 200, lost, lost))
        self.apply(make_content(("este",)))
        statuses = [r.statuses for r in self.send_several(3)]
        self.assertEqual(statuses, [[500], [200], [502]])
        self.assertEqual(len(self.events.events), 3)
        self.assertNotIn("private-target", self.logged())

    def test_cut_request_is_logged_without_target(self) -> None:
        self.start("sur")
        self.apply(make_content(("este",)))
        cut = Cut(self.make_request(), None, CutCause.CALLER_LEFT, "", 1, 0, None, 0)
        self.entry.log_cut(cut)
        self.assertEqual(len(self.events.events), 1)
        self.assertNotIn("private-target", self.logged())
        self.assertNotIn("body", self.logged())

    def test_request_before_the_first_bundle_is_logged_without_target(self) -> None:
        """Its restrictions are not known yet."""
        self.start("sur")
        self.send()
        self.assertEqual(len(self.events.events), 1)
        self.assertNotIn("private-target", self.logged())

    def test_request_that_becomes_foreign_is_logged_without_target(self) -> None:
        lost = PeerError("link was lost")
        self.start("sur", script=(lost, 200))
        self.apply(make_content())
        self.traffic.before_attempt = lambda: self.apply(make_content(("este",)))
        self.send()
        self.assertNotIn("private-target", self.logged())

    def test_request_of_an_allowed_region_is_logged_with_target(self) -> None:
        self.start("sur", script=(500, 500))
        self.apply(make_content(("sur",)))
        self.send()
        self.assertIn("private-target", self.logged())


class OwnerRegionTest(OwnerTestCase):
    """The owner refuses a request that must not reach its region, ``r``."""

    def test_owner_refuses_foreign_request_as_not_run(self) -> None:
        owner = Owner(FakeServers("127.9.9.9"), "127.9.9.9")
        head = _with_regions(("este",))
        with self.assertRaises(NotRunError) as caught:
            trio.run(owner.execute, head, CollectingExchange())
        self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_REGION)
        self.assertEqual(owner.refused_by_region, 1)

    def test_owner_applies_its_own_newer_bundle(self) -> None:
        """The entry may not have received a bundle that narrows the regions."""
        owner = Owner(FakeServers("127.9.9.9"), "127.9.9.9")
        route = Route("turnos", "/", "turnos", regions=("este",))
        owner.region_rules = RegionRules(BundleContent((), (route,)))
        for head in (make_head(), _with_regions(("r",))):
            with self.assertRaises(NotRunError) as caught:
                trio.run(owner.execute, head, CollectingExchange())
            self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_REGION)

    def test_request_that_waits_for_a_slot_is_checked_again(self) -> None:
        received: list[bytes] = []
        route = Route("turnos", "/", "turnos", regions=("este",))
        rules = RegionRules(BundleContent((), (route,)))

        async def serve(stream: trio.SocketStream) -> None:
            while data := await read_request(stream):
                received.append(data)
                await trio.sleep(0.2)
                await stream.send_all(OK_RESPONSE)

        codes: list[ResultCode] = []

        async def send(owner: Owner, head: RequestHead) -> None:
            try:
                await owner.execute(head, CollectingExchange())
            except NotRunError as exc:
                codes.append(exc.code)

        async def body(owner: Owner) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, owner, make_head(b"/1"))
                await trio.sleep(0.05)
                nursery.start_soon(send, owner, make_head(b"/2", request_id="id2"))
                await trio.sleep(0.05)
                owner.region_rules = rules
            self.assertEqual(owner.running, 0)

        self.slots = 1
        self.run_owner(serve, body)
        self.assertEqual(codes, [ResultCode.REQUEST_NOT_RUN_REGION])
        self.assertEqual(len(received), 1)


def _with_regions(regions: tuple[str, ...]) -> RequestHead:
    head = make_head()
    fields = {name: getattr(head, name) for name in head.__struct_fields__}
    return type(head)(**(fields | {"regions": regions}))


if __name__ == "__main__":
    unittest.main()
