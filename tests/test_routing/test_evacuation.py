"""Evacuated data centres at the entry node."""

from __future__ import annotations

import dataclasses
import random
import unittest

import trio
import trio.testing

from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import Bundle, BundleContent, Manifest, Route, Service
from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.events import MemoryEventLog
from marigoldchute.routing.candidates import Candidates
from marigoldchute.routing.dispatch import leave_out_data_centre
from marigoldchute.routing.entry import Entry
from marigoldchute.routing.http_request import HttpRequest
from marigoldchute.routing.least_time import LeastExpectedTime
from marigoldchute.util.clock import Clock
from tests.test_routing.test_attempts import (
    POLICY,
    FakeMembers,
    FakeOwner,
    FakeResponder,
    FakeRetryBudget,
    FakeSink,
    FakeSplits,
)
from tests.test_routing.test_choice import NOW_MS, make_target


class FakeEvacuations:
    def __init__(self, is_known: bool = True) -> None:
        self.is_known = is_known
        self.evacuated: set[str] = set()

    def is_evacuated(self, data_centre: str) -> bool:
        return data_centre in self.evacuated


class EvacuatedEntryTest(unittest.TestCase):
    """One data centre, ``dc``, with all backend servers."""

    def start(self, *script: int | Exception, is_known: bool = True) -> None:
        self.owner = FakeOwner(list(script))
        self.evacuations = FakeEvacuations(is_known)
        in_force = InForce()
        self.entry = Entry(
            in_force,
            FakeSplits(),
            FakeMembers({"turnos": 4}),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            self.owner,  # type: ignore[arg-type]
            LeastExpectedTime(random.Random(1)),
            FakeSink(),
            MemoryEventLog(),  # type: ignore[arg-type]
            Clock(),
            random.Random(1),
            policy=POLICY,
            retry_budget=FakeRetryBudget(),
            evacuations=self.evacuations,
        )
        routes = (Route("r", "/a/", "turnos", 2000),)
        content = BundleContent((Service("turnos", ""),), routes)
        in_force.swap(Bundle(Manifest(1, (), "", "", b""), content))

    async def send(self) -> FakeResponder:
        req = HttpRequest(None)  # type: ignore[arg-type]
        req.method, req.target, req.complete = b"POST", b"/a/1", True
        req.headers = [(b"host", b"h.example")]
        responder = FakeResponder()
        await self.entry.handle_external(req, responder)  # type: ignore[arg-type]
        return responder

    def run_test(self, body) -> None:
        trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_request_is_refused_at_once_when_no_data_centre_is_left(self) -> None:
        """Guards against callers that wait although nothing can serve them."""
        self.start()

        async def body() -> None:
            self.evacuations.evacuated = {"dc"}
            self.entry.handle_evacuations_change()
            responder = await self.send()
            self.assertEqual(trio.current_time(), 0.0)
            self.assertEqual(responder.statuses, [503])
            self.assertIn(b"retry-after: ", responder.block)
            self.assertIn(b"marigoldchute-code: 514", responder.block)
            self.assertIn(b"marigoldchute-outcome: not-run", responder.block)

        self.run_test(body)
        self.assertEqual(self.owner.servers, [])

    def test_requests_are_served_again_after_the_end(self) -> None:
        self.start(200)

        async def body() -> None:
            self.evacuations.evacuated = {"dc"}
            self.entry.handle_evacuations_change()
            self.assertEqual((await self.send()).statuses, [503])
            self.evacuations.evacuated = set()
            self.entry.handle_evacuations_change()
            await trio.sleep(0.2)
            self.assertEqual((await self.send()).statuses, [200])

        self.run_test(body)

    def test_refusal_by_an_owner_holds_for_its_data_centre(self) -> None:
        """Guards against attempts at each server there before the node knows."""
        self.start(NotRunError("evacuated", ResultCode.REQUEST_NOT_RUN_EVACUATED))

        async def body() -> None:
            responder = await self.send()
            self.assertEqual(responder.statuses, [503])
            self.assertIn(b"marigoldchute-outcome: not-run", responder.block)

        self.run_test(body)
        self.assertEqual(len(self.owner.servers), 1)

    def test_other_data_centres_are_tried_after_a_refusal(self) -> None:
        """Guards against a lost request when the owner learns of it first."""
        near = [make_target(f"near{i}") for i in range(3)]
        far = [make_target(f"far{i}", "limon") for i in range(2)]
        for target in far:
            target.member = dataclasses.replace(target.member, data_centre="dc-2")
        candidates = Candidates((), tuple(near), (), tuple(far))
        attempted = leave_out_data_centre(near[0], candidates, 5.0)
        self.assertEqual(attempted, set(near))
        chooser = LeastExpectedTime(random.Random(1))
        self.assertIn(chooser.choose(candidates, attempted, 5.0, NOW_MS), far)
        # Other requests avoid the data centre as well, until the record has arrived.
        self.assertIn(chooser.choose(candidates, set(), 5.5, NOW_MS), far)
        self.assertIn(chooser.choose(candidates, set(), 6.5, NOW_MS), near)

    def test_new_node_holds_requests_until_it_knows_the_evacuations(self) -> None:
        """Guards against a node that starts and sends where nothing may arrive."""
        self.start(200, is_known=False)

        async def body() -> None:
            async def become_informed() -> None:
                await trio.sleep(0.3)
                self.assertEqual(self.owner.servers, [])
                self.evacuations.is_known = True
                self.entry.handle_evacuations_change()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(become_informed)
                self.assertEqual((await self.send()).statuses, [200])
            self.assertAlmostEqual(trio.current_time(), 0.3)

        self.run_test(body)

    def test_request_is_refused_while_the_evacuations_stay_unknown(self) -> None:
        self.start(is_known=False)

        async def body() -> None:
            responder = await self.send()
            self.assertEqual(responder.statuses, [503])
            self.assertIn(b"marigoldchute-outcome: not-run", responder.block)

        self.run_test(body)
        self.assertEqual(self.owner.servers, [])
