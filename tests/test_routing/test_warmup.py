"""Warm-up limit of cold backend servers at owners and entries."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.routing.candidates import Candidates, CandidateTables
from marigoldchute.routing.choice import PickInfo
from marigoldchute.routing.least_time import LeastExpectedTime
from marigoldchute.routing.target import PRESUMED_COLD_S, Target
from marigoldchute.routing.warmup import (
    BOUND_WINDOW_S,
    MAX_REQUESTS,
    MIN_REPORT_DELAY_S,
    SendLog,
    WarmupGuard,
    WarmupPacer,
    make_rate,
)
from tests.test_routing.test_choice import FakeMembers

if TYPE_CHECKING:
    from collections.abc import Callable

REQUESTS_PER_S, OVERSHOOT, SLACK, WARMUP_S = 8.0, 1.5, 8.0, 3.0
REPORT_INTERVAL_S = 1.5
RATE = make_rate(REQUESTS_PER_S, OVERSHOOT, SLACK)
NOW_MS = 1_000_000_000


def most_in_window(times: list[float], window_s: float = BOUND_WINDOW_S) -> int:
    """Return the largest number of times in any window."""
    ordered = sorted(times)
    return max(
        (sum(at <= other < at + window_s for other in ordered) for at in ordered),
        default=0,
    )


def make_guard(now: float = 0.0) -> WarmupGuard:
    return WarmupGuard(SendLog(now), REPORT_INTERVAL_S, now)


class RateTest(unittest.TestCase):
    def test_limit_is_the_tolerated_rate_within_the_bound(self) -> None:
        for requests_per_s, overshoot, slack, count, window_s in (
            (8.0, 1.5, 8.0, 8, 1.0),
            (8.7, 1.5, 8.0, 8, 1.0),
            (0.5, 1.5, 8.0, 1, 2.0),
            (8.0, 0.5, 0.0, 4, 1.0),
            (8.0, 0.0, 0.0, 0, 1.0),
            (1e9, 1.0, 0.0, MAX_REQUESTS, 1.0),
        ):
            with self.subTest(requests_per_s=requests_per_s, overshoot=overshoot):
                rate = make_rate(requests_per_s, overshoot, slack)
                self.assertEqual((rate.max_requests, rate.window_s), (count, window_s))

    def test_extreme_values_give_finite_limits(self) -> None:
        """Guards against an error when a bundle with an odd rate comes into force."""
        infinity, no_number = float("inf"), float("nan")
        for requests_per_s in (5e-324, 1e308):
            for overshoot, slack in (
                (1e308, 0.0),
                (1.0, infinity),
                (1.0, no_number),
                (-1e308, -infinity),
            ):
                with self.subTest(rate=requests_per_s, slack=slack):
                    rate = make_rate(requests_per_s, overshoot, slack)
                    self.assertTrue(0 <= rate.max_requests <= MAX_REQUESTS)
                    self.assertTrue(1.0 <= rate.window_s <= 1e6)


class GuardTest(unittest.TestCase):
    """What the owner concludes from reports, requests and their absence."""

    def test_server_is_limited_until_the_first_report_that_it_is_warm(self) -> None:
        """Guards against a node that restarts beside a server that became cold."""
        guard = make_guard()
        self.assertTrue(guard.is_limited(0.5))
        guard.record_report(0.0, 0.6)
        self.assertFalse(guard.is_limited(0.6))

    def test_window_begins_full(self) -> None:
        """Guards against the requests that an earlier process had just sent."""
        guard = make_guard(10.0)
        self.assertEqual(guard.room_at(RATE, True, 10.2), 11.0)

    def test_cold_server_is_limited_until_it_is_warm(self) -> None:
        guard = make_guard()
        guard.record_report(WARMUP_S, 1.0)
        self.assertTrue(guard.is_limited(1.0 + WARMUP_S - 0.01))
        self.assertFalse(guard.is_limited(1.0 + WARMUP_S))

    def test_server_that_becomes_cold_again_is_limited_with_its_sends(self) -> None:
        """Guards against a full window just after the report of a cold server."""
        guard = make_guard()
        guard.record_report(0.0, 0.1)
        for index in range(30):
            guard.record_send(1.0 + index * 0.03)
        guard.record_report(WARMUP_S, 1.9)
        self.assertGreater(guard.room_at(RATE, True, 1.9), 2.6)

    def test_idle_server_is_limited_until_a_later_report(self) -> None:
        """Guards against a server that became cold after its last report."""
        guard = make_guard()
        guard.record_report(0.0, 0.1)
        guard.record_send(0.2)
        guard.check_idle(0.2 + REPORT_INTERVAL_S)
        self.assertFalse(guard.is_limited(0.2 + REPORT_INTERVAL_S))
        guard.record_report(0.0, 4.9)
        guard.check_idle(5.0)
        self.assertTrue(guard.is_limited(5.0))
        guard.record_report(0.0, 5.0 + MIN_REPORT_DELAY_S)
        self.assertFalse(guard.is_limited(5.0 + MIN_REPORT_DELAY_S))

    def test_reports_that_waited_during_a_pause_do_not_count(self) -> None:
        """Guards against a paused node that reads an old report after it resumes."""
        guard = make_guard()
        guard.record_report(0.0, 0.1)
        guard.record_send(0.2)
        resumed_at = 6.0
        guard.check_idle(resumed_at)
        guard.record_report(0.0, resumed_at + 0.01)
        self.assertTrue(guard.is_limited(resumed_at + 0.02))
        guard.record_report(WARMUP_S, resumed_at + 0.5)
        self.assertTrue(guard.is_limited(resumed_at + WARMUP_S))
        self.assertFalse(guard.is_limited(resumed_at + WARMUP_S + 0.6))

    def test_refused_connection_raises_doubt(self) -> None:
        """Guards against a server that starts again under the same name."""
        guard = make_guard()
        guard.record_report(0.0, 0.1)
        guard.record_send(0.2)
        guard.record_refused_connection(0.3)
        self.assertTrue(guard.is_limited(0.4))

    def test_new_server_at_a_used_port_has_the_same_window(self) -> None:
        sends = SendLog(0.0)
        for index in range(8):
            sends.record(5.0 + index * 0.01)
        guard = WarmupGuard(sends, REPORT_INTERVAL_S, 5.1)
        self.assertEqual(guard.room_at(RATE, True, 5.2), 6.0)
        self.assertEqual(guard.room_at(RATE, True, 6.5), 6.5)

    def test_requests_ahead_take_the_room_before(self) -> None:
        guard = make_guard()
        for ahead, expected in ((0, 2.0), (7, 2.0), (8, 3.0), (16, 4.0)):
            self.assertEqual(guard.room_at(RATE, True, 2.0, ahead), expected)

    def test_room_is_kept_for_urgent_requests_while_some_come(self) -> None:
        """Guards against room that a load without urgent requests cannot use."""
        guard = make_guard()
        self.assertEqual(guard.room_at(RATE, False, 2.0, 7), 2.0)
        for _ in range(4):
            with guard.waiting(RATE, True, 0.0, 2.0):
                pass
        self.assertEqual(guard.room_at(RATE, False, 2.1, 3), 2.1)
        self.assertEqual(guard.room_at(RATE, False, 2.1, 4), 3.1)
        self.assertEqual(guard.room_at(RATE, True, 2.1, 7), 2.1)
        self.assertEqual(guard.room_at(RATE, False, 3.1, 7), 3.1)

    def test_server_without_any_tolerance_gets_nothing_while_cold(self) -> None:
        rate = make_rate(8.0, 0.0, 0.0)
        self.assertEqual(make_guard().room_at(rate, True, 5.0), float("inf"))


class FloodedServerTest(unittest.TestCase):
    """A cold server whose owner gets a hundred times what it tolerates."""

    def flood(
        self,
        requests_per_s: float,
        duration_s: float,
        is_urgent: Callable[[random.Random], bool],
        max_wait_s: float = 0.25,
    ) -> tuple[list[float], list[bool]]:
        """Return the times of the requests that were sent, and which were urgent."""
        times: list[float] = []
        urgent_sent: list[bool] = []
        rng = random.Random(3)
        self.refusals: list[NotRunError] = []

        async def send_request(guard: WarmupGuard, urgent: bool) -> None:
            now = trio.current_time()
            try:
                with guard.waiting(RATE, urgent, max_wait_s, now):
                    await trio.sleep(rng.random() * 0.05)  # The wait for a slot.
                    await guard.send(RATE, urgent, now + max_wait_s)
            except NotRunError as exc:
                self.refusals.append(exc)
                return
            times.append(trio.current_time())
            urgent_sent.append(urgent)

        async def main() -> None:
            guard = make_guard(trio.current_time())
            guard.record_report(duration_s + 1.0, trio.current_time())
            async with trio.open_nursery() as nursery:
                while trio.current_time() < duration_s:
                    nursery.start_soon(send_request, guard, is_urgent(rng))
                    await trio.sleep(rng.expovariate(requests_per_s))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return times, urgent_sent

    def test_no_second_has_more_than_the_tolerated_requests(self) -> None:
        for urgent_ratio in (0.0, 0.1, 1.0):
            times, _ = self.flood(
                800.0, 10.0, lambda rng, ratio=urgent_ratio: rng.random() < ratio
            )
            self.assertLessEqual(most_in_window(times), REQUESTS_PER_S)
            self.assertEqual([t for t in times if t < BOUND_WINDOW_S], [])

    def test_room_is_used(self) -> None:
        """Guards against a cold data centre that serves less than it can."""
        for is_urgent in (True, False):
            times, _ = self.flood(40.0, 21.0, lambda rng, value=is_urgent: value)
            self.assertGreaterEqual(len(times), 0.9 * REQUESTS_PER_S * 20)

    def test_urgent_requests_come_first(self) -> None:
        _, urgent_sent = self.flood(800.0, 8.0, lambda rng: rng.random() < 0.1)
        self.assertGreaterEqual(sum(urgent_sent), 0.7 * len(urgent_sent))
        self.assertLess(sum(urgent_sent), len(urgent_sent))

    def test_requests_without_room_are_refused_at_once_as_not_run(self) -> None:
        self.flood(800.0, 3.0, lambda rng: False, max_wait_s=0.0)
        self.assertGreater(len(self.refusals), 1000)
        for exc in self.refusals:
            self.assertEqual(exc.code, ResultCode.REQUEST_NOT_RUN_WARMING_UP)
            self.assertGreater(exc.retry_after_s, 0.0)

    def test_restart_of_the_process_does_not_double_the_requests(self) -> None:
        """Guards against a killed node whose next process has an empty window."""
        times: list[float] = []

        async def main() -> None:
            for end_s in (3.55, 6.0):
                guard = make_guard(trio.current_time())
                guard.record_report(10.0, trio.current_time())
                while trio.current_time() < end_s:
                    if guard.room_at(RATE, True, trio.current_time()) <= (
                        trio.current_time()
                    ):
                        guard.record_send(trio.current_time())
                        times.append(trio.current_time())
                    await trio.sleep(0.01)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLessEqual(most_in_window(times), REQUESTS_PER_S)


def make_target(name: str, warm_at_ms: int = 0) -> Target:
    server = BackendServer(name, "s", "r1", 1, 6, 100, warm_at_ms=warm_at_ms)
    return Target(Member(name, 1, 1, "a", 1, "dc", "r", servers=(server,)), server)


class ColdDataCentreTest(unittest.TestCase):
    """A third of 78 servers comes back cold while the others are overloaded."""

    num_entries, num_cold, num_warm = 78, 26, 52
    requests_per_s = 900.0

    def send_requests(self, is_paced: bool) -> dict[str, list[float]]:
        """Return the times at which entries choose each cold server."""
        rng = random.Random(5)
        warm_at_ms = NOW_MS + int(WARMUP_S * 1000)
        chosen: dict[str, list[float]] = {}
        entries = []
        for _ in range(self.num_entries):
            targets = [make_target(f"c{i}", warm_at_ms) for i in range(self.num_cold)]
            targets += [make_target(f"w{i}") for i in range(self.num_warm)]
            entry_rng = random.Random(rng.random())
            pacer = WarmupPacer(entry_rng, lambda: self.num_entries)
            chooser = LeastExpectedTime(entry_rng)
            for target in targets[self.num_cold :]:
                target.record_load(40, 0.0)
            entries.append((Candidates((), tuple(targets)), chooser, pacer))
        now = 0.0
        while now < WARMUP_S:
            now += rng.expovariate(self.requests_per_s)
            candidates, chooser, pacer = rng.choice(entries)
            now_ms = NOW_MS + int(now * 1000)
            for target in candidates.data_centre[self.num_cold :]:
                target.record_load(40, now)
            if is_paced:
                pacer.prepare(candidates, REQUESTS_PER_S, now, now_ms)
            target = chooser.choose(candidates, set(), now, now_ms, PickInfo("r", 0.8))
            assert target is not None
            if is_paced:
                pacer.record_choice(target, REQUESTS_PER_S, now, now_ms)
            if target.server.warm_at_ms:
                chosen.setdefault(target.member.name, []).append(now)
        return chosen

    def test_entries_together_choose_a_cold_server_at_about_its_rate(self) -> None:
        """Guards against requests to a server that must refuse nearly all of them."""
        paced = self.send_requests(True)
        total = sum(len(times) for times in paced.values())
        room = self.num_cold * REQUESTS_PER_S * WARMUP_S
        self.assertGreater(total, 0.5 * room)
        self.assertLess(total, 1.2 * room)
        unpaced = self.send_requests(False)
        self.assertGreater(sum(len(times) for times in unpaced.values()), 2.0 * room)


class PacedTargetTest(unittest.TestCase):
    def test_target_is_available_when_it_is_warm(self) -> None:
        """Guards against a pause that outlasts the warm-up."""
        target = make_target("a", NOW_MS + 3000)
        pacer = WarmupPacer(random.Random(1), lambda: 1000)
        candidates = Candidates((), (target,))
        pacer.prepare(candidates, REQUESTS_PER_S, 10.0, NOW_MS)
        self.assertFalse(target.available(10.1))
        self.assertTrue(target.available(13.0))
        pacer.prepare(candidates, REQUESTS_PER_S, 13.0, NOW_MS + 3000)
        pacer.record_choice(target, REQUESTS_PER_S, 13.0, NOW_MS + 3000)
        self.assertTrue(target.available(13.0))

    def test_only_target_is_chosen_although_it_is_paused(self) -> None:
        target = make_target("a", NOW_MS + 3000)
        pacer = WarmupPacer(random.Random(1), lambda: 1000)
        candidates = Candidates((), (target,))
        pacer.prepare(candidates, REQUESTS_PER_S, 10.0, NOW_MS)
        chooser = LeastExpectedTime(random.Random(1))
        self.assertIs(chooser.choose(candidates, set(), 10.0, NOW_MS), target)

    def test_target_that_appears_later_is_presumed_cold(self) -> None:
        """Guards against full load on servers that return from an evacuation."""
        servers = [make_target(name).member for name in ("a", "b")]
        members = FakeMembers(servers[:1])
        tables = CandidateTables(members)
        (first,) = tables.find("s", "r1", 0.0).data_centre
        self.assertFalse(first.is_limited(0.0, NOW_MS))
        members.members = servers
        tables.mark_stale()
        targets = tables.find("s", "r1", 10.0).data_centre
        by_name = {target.member.name: target for target in targets}
        self.assertFalse(by_name["a"].is_limited(10.0, NOW_MS))
        self.assertTrue(by_name["b"].is_limited(10.0, NOW_MS))
        self.assertFalse(by_name["b"].is_limited(10.0 + PRESUMED_COLD_S, NOW_MS))
