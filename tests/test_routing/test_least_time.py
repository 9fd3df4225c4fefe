"""Where work goes: the server from which an answer is expected first."""

from __future__ import annotations

import collections
import random
import unittest

from marigoldchute.routing.budget import WindowRetryBudget
from marigoldchute.routing.candidates import Candidates
from marigoldchute.routing.choice import Wish
from marigoldchute.routing.least_time import LeastExpectedTime
from tests.test_routing.test_choice import NOW_MS, make_target

WISH = Wish("r", 0.6)


def choose(chooser: LeastExpectedTime, candidates: Candidates, now: float = 0.0) -> str:
    target = chooser.choose(candidates, set(), now, NOW_MS, WISH)
    return target.member.name if target is not None else ""


class UnevenLoadTest(unittest.TestCase):
    """One zone is busy while the other side of the link has room."""

    def setUp(self) -> None:
        self.near = [make_target(f"near{i}") for i in range(2)]
        self.far = [make_target(f"far{i}", "limon") for i in range(2)]
        self.candidates = Candidates((), tuple(self.near), (), tuple(self.far))
        self.chooser = LeastExpectedTime(random.Random(1))
        for target in (*self.near, *self.far):
            self.chooser.take_run(target, "r", 200.0)

    def test_near_servers_are_taken_while_they_answer_in_time(self) -> None:
        for target in self.near:
            target.take_load(12, 0.0)
        chosen = {choose(self.chooser, self.candidates) for _ in range(50)}
        self.assertLessEqual(chosen, {"near0", "near1"})

    def test_far_servers_are_taken_once_near_ones_would_be_late(self) -> None:
        for target in self.near:
            target.take_load(36, 0.0)
        chosen = {choose(self.chooser, self.candidates) for _ in range(50)}
        self.assertLessEqual(chosen, {"far0", "far1"})

    def test_far_servers_with_the_same_queue_are_not(self) -> None:
        for target in (*self.near, *self.far):
            target.take_load(36, 0.0)
        chosen = {choose(self.chooser, self.candidates) for _ in range(50)}
        self.assertLessEqual(chosen, {"near0", "near1"})

    def test_what_others_had_there_is_forgotten_with_time(self) -> None:
        for target in self.near:
            target.take_load(36, 0.0)
        self.assertIn(choose(self.chooser, self.candidates, 5.0), {"near0", "near1"})

    def test_the_faster_server_gets_more(self) -> None:
        for _ in range(30):
            self.chooser.take_run(self.near[0], "r", 300.0)
            self.chooser.take_run(self.near[1], "r", 100.0)
        counts = collections.Counter(
            choose(self.chooser, self.candidates) for _ in range(100)
        )
        self.assertGreater(counts["near1"], 90)


class CalmDayTest(unittest.TestCase):
    """Each data centre has room; a hop to another one is paid for."""

    def setUp(self) -> None:
        self.own = make_target("own")
        self.others = tuple(make_target(f"other{i}") for i in range(3))
        self.candidates = Candidates((), (self.own,), self.others, ())
        self.chooser = LeastExpectedTime(random.Random(1))
        for target in (self.own, *self.others):
            self.chooser.take_run(target, "r", 200.0)

    def test_the_own_data_centre_serves_while_it_has_room(self) -> None:
        self.own.take_load(self.own.server.slots // 3, 0.0)
        chosen = [choose(self.chooser, self.candidates) for _ in range(50)]
        self.assertEqual(set(chosen), {"own"})

    def test_another_one_does_before_requests_wait(self) -> None:
        self.own.take_load(self.own.server.slots + 2, 0.0)
        chosen = {choose(self.chooser, self.candidates) for _ in range(50)}
        self.assertNotIn("own", chosen)


class SickServerTest(unittest.TestCase):
    """One server fails half of its answers while its health is said to be good."""

    def setUp(self) -> None:
        self.targets = tuple(make_target(f"t{i}") for i in range(4))
        self.candidates = Candidates(centre=self.targets)
        self.chooser = LeastExpectedTime(random.Random(1))

    def fail(self, target, times: int) -> None:  # type: ignore[no-untyped-def]
        for index in range(times):
            target.take_answer(10.0, index % 2 == 0)
            self.chooser.take_failure(target, self.candidates, 1.0)

    def test_it_is_ejected_and_the_others_are_not(self) -> None:
        self.fail(self.targets[0], 20)
        self.assertGreater(self.targets[0].ejected_until, 1.0)
        chosen = {choose(self.chooser, self.candidates, 1.1) for _ in range(50)}
        self.assertNotIn("t0", chosen)

    def test_when_all_fail_alike_none_is_ejected(self) -> None:
        for _ in range(20):
            for target in self.targets:
                self.fail(target, 2)
        ejected = sum(target.ejected_until > 1.0 for target in self.targets)
        self.assertLessEqual(ejected, 1)


class RetryStormTest(unittest.TestCase):
    """Every request fails: repeats of all nodes together stay within the budget."""

    def test_no_window_exceeds_the_shared_budget(self) -> None:
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
            budget.add_request(now, "turnos")
            requests.append(now)
            if budget.take_retry(now, "turnos"):
                retries.append(now)
        self.assertGreater(len(retries), 500)
        for start in range(0, 30):
            span = (start, start + window_s)
            made = sum(span[0] <= at < span[1] for at in retries)
            asked = sum(span[0] <= at < span[1] for at in requests)
            self.assertLessEqual(made, share * asked + slack)
