"""Tests of LeastExpectedTime and of the retry budget of all nodes."""

from __future__ import annotations

import collections
import random
import unittest
from typing import TYPE_CHECKING

from marigoldchute.routing.budget import WindowRetryBudget
from marigoldchute.routing.candidates import Candidates
from marigoldchute.routing.choice import PickInfo
from marigoldchute.routing.least_time import LeastExpectedTime
from tests.test_routing.test_choice import NOW_MS, make_target

if TYPE_CHECKING:
    from marigoldchute.routing.target import Target

PICK_INFO = PickInfo("r", 0.6)


def choose(chooser: LeastExpectedTime, candidates: Candidates, now: float = 0.0) -> str:
    target = chooser.choose(candidates, set(), now, NOW_MS, PICK_INFO)
    return target.member.name if target is not None else ""


class UnevenLoadTest(unittest.TestCase):
    """One region is loaded while the other one has free slots."""

    def setUp(self) -> None:
        self.near = [make_target(f"near{i}") for i in range(2)]
        self.remote = [make_target(f"far{i}", "limon") for i in range(2)]
        self.candidates = Candidates((), tuple(self.near), (), tuple(self.remote))
        self.chooser = LeastExpectedTime(random.Random(1))
        for target in (*self.near, *self.remote):
            self.chooser.record_run_time(target, "r", 200.0)

    def test_near_servers_are_chosen_while_they_meet_the_objective(self) -> None:
        for target in self.near:
            target.record_load(12, 0.0)
        chosen = {choose(self.chooser, self.candidates) for _ in range(50)}
        self.assertLessEqual(chosen, {"near0", "near1"})

    def test_remote_servers_are_chosen_when_near_ones_miss_the_objective(self) -> None:
        for target in self.near:
            target.record_load(36, 0.0)
        chosen = {choose(self.chooser, self.candidates) for _ in range(50)}
        self.assertLessEqual(chosen, {"far0", "far1"})

    def test_remote_servers_with_equal_queue_are_not_chosen(self) -> None:
        for target in (*self.near, *self.remote):
            target.record_load(36, 0.0)
        chosen = {choose(self.chooser, self.candidates) for _ in range(50)}
        self.assertLessEqual(chosen, {"near0", "near1"})

    def test_remote_servers_that_are_little_sooner_are_not_chosen(self) -> None:
        """Answers an overload of both regions, in which the link carried 30 MB."""
        for target in self.near:
            target.record_load(48, 0.0)
        for target in self.remote:
            target.record_load(38, 0.0)
        chosen = {choose(self.chooser, self.candidates) for _ in range(50)}
        self.assertLessEqual(chosen, {"near0", "near1"})

    def test_reported_load_decays_with_time(self) -> None:
        for target in self.near:
            target.record_load(36, 0.0)
        self.assertIn(choose(self.chooser, self.candidates, 5.0), {"near0", "near1"})

    def test_faster_server_gets_more_requests(self) -> None:
        for _ in range(30):
            self.chooser.record_run_time(self.near[0], "r", 300.0)
            self.chooser.record_run_time(self.near[1], "r", 100.0)
        counts = collections.Counter(
            choose(self.chooser, self.candidates) for _ in range(100)
        )
        self.assertGreater(counts["near1"], 90)


class ReportedRunTimeTest(unittest.TestCase):
    """With many entries, one entry sends too little to measure each server itself."""

    def test_reported_mean_is_learned_in_few_responses(self) -> None:
        slow, fast = make_target("slow"), make_target("fast")
        candidates = Candidates((), (slow, fast))
        chooser = LeastExpectedTime(random.Random(1))
        chooser.record_run_time(fast, "r", 100.0, mean_run_ms=100.0)
        for _ in range(2):
            # A single quick response does not hide that the server is slow.
            chooser.record_run_time(slow, "r", 90.0, mean_run_ms=200.0)
        self.assertGreater(slow.slowness, 1.6)
        counts = collections.Counter(choose(chooser, candidates) for _ in range(100))
        self.assertEqual(counts["fast"], 100)


class TypicalLoadTest(unittest.TestCase):
    """Each data centre has free slots; traffic to another one costs money."""

    def setUp(self) -> None:
        self.own = make_target("own")
        self.others = tuple(make_target(f"other{i}") for i in range(3))
        self.candidates = Candidates((), (self.own,), self.others, ())
        self.chooser = LeastExpectedTime(random.Random(1))
        for target in (self.own, *self.others):
            self.chooser.record_run_time(target, "r", 200.0)

    def test_own_data_centre_is_chosen_while_it_has_free_slots(self) -> None:
        self.own.record_load(self.own.server.slots // 3, 0.0)
        chosen = [choose(self.chooser, self.candidates) for _ in range(50)]
        self.assertEqual(set(chosen), {"own"})

    def test_other_data_centre_is_chosen_before_requests_wait(self) -> None:
        self.own.record_load(self.own.server.slots + 2, 0.0)
        chosen = {choose(self.chooser, self.candidates) for _ in range(50)}
        self.assertNotIn("own", chosen)


class LargeTransferTest(unittest.TestCase):
    """Downloads of 90 KB, whose bytes between data centres and regions are billed."""

    def setUp(self) -> None:
        self.own = make_target("own")
        self.others = tuple(make_target(f"other{i}") for i in range(3))
        self.remote = tuple(make_target(f"far{i}", "limon") for i in range(3))
        self.candidates = Candidates((), (self.own,), self.others, self.remote)
        self.chooser = LeastExpectedTime(random.Random(1))

    def record(self, run_ms: float, body_bytes: int) -> None:
        for target in (self.own, *self.others, *self.remote):
            self.chooser.record_run_time(target, "r", run_ms, body_bytes)

    def choose_all(self, attempted: tuple[Target, ...] = ()) -> set[str]:
        chosen = set()
        for _ in range(50):
            target = self.chooser.choose(
                self.candidates, set(attempted), 0.0, NOW_MS, PICK_INFO
            )
            assert target is not None
            chosen.add(target.member.name)
        return chosen

    def test_they_stay_while_the_own_data_centre_meets_the_objective(self) -> None:
        self.own.record_load(self.own.server.slots + 4, 0.0)
        self.record(200.0, 90_000)
        self.assertEqual(self.choose_all(), {"own"})

    def test_small_ones_leave_before_they_wait(self) -> None:
        self.own.record_load(self.own.server.slots + 4, 0.0)
        self.record(200.0, 2_000)
        self.assertNotIn("own", self.choose_all())

    def test_they_leave_when_they_would_miss_the_objective(self) -> None:
        self.own.record_load(4 * self.own.server.slots, 0.0)
        self.record(200.0, 90_000)
        self.assertLessEqual(self.choose_all(), {"other0", "other1", "other2"})

    def test_they_cross_regions_only_when_no_near_server_takes_them(self) -> None:
        for target in (self.own, *self.others):
            target.record_load(6 * target.server.slots, 0.0)
        self.record(200.0, 90_000)
        self.assertTrue(all(not name.startswith("far") for name in self.choose_all()))
        chosen = self.choose_all((self.own, *self.others))
        self.assertTrue(all(name.startswith("far") for name in chosen))


class FaultyServerTest(unittest.TestCase):
    """One server returns errors for half of its requests but reports good health."""

    def setUp(self) -> None:
        self.targets = tuple(make_target(f"t{i}") for i in range(4))
        self.candidates = Candidates(data_centre=self.targets)
        self.chooser = LeastExpectedTime(random.Random(1))

    def send_half_failing(self, target, times: int) -> None:  # type: ignore[no-untyped-def]
        for index in range(times):
            target.record_response(10.0, index % 2 == 0)
            self.chooser.record_failure(target, self.candidates, 1.0)

    def test_faulty_server_is_ejected_and_others_are_not(self) -> None:
        self.send_half_failing(self.targets[0], 20)
        self.assertGreater(self.targets[0].ejected_until, 1.0)
        chosen = {choose(self.chooser, self.candidates, 1.1) for _ in range(50)}
        self.assertNotIn("t0", chosen)

    def test_at_most_one_is_ejected_when_all_fail_equally(self) -> None:
        for _ in range(20):
            for target in self.targets:
                self.send_half_failing(target, 2)
        ejected = sum(target.ejected_until > 1.0 for target in self.targets)
        self.assertLessEqual(ejected, 1)


class RetryStormTest(unittest.TestCase):
    """Every request fails on all nodes."""

    def test_retries_of_all_nodes_stay_within_budget_in_every_window(self) -> None:
        nodes, share, slack, window_s = 12, 0.2, 56.0, 10.0
        rng = random.Random(3)
        budgets = [
            WindowRetryBudget(share, slack, window_s, lambda: nodes)
            for _ in range(nodes)
        ]
        requests: list[float] = []
        retries: list[float] = []
        now = 0.0
        while now < 40.0:
            now += rng.expovariate(160.0)
            budget = rng.choice(budgets)
            budget.record_request(now, "turnos")
            requests.append(now)
            if budget.acquire_retry(now, "turnos"):
                retries.append(now)
        self.assertGreater(len(retries), 500)
        for start in range(0, 30):
            span = (start, start + window_s)
            retry_count = sum(span[0] <= at < span[1] for at in retries)
            request_count = sum(span[0] <= at < span[1] for at in requests)
            self.assertLessEqual(retry_count, share * request_count + slack)
