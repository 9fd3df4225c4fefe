"""Tests of NearestLeastLoaded and the candidate tables."""

from __future__ import annotations

import collections
import random
import unittest

from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.routing.admission import AdmissionGate
from marigoldchute.routing.candidates import NO_CANDIDATES, Candidates, CandidateTables
from marigoldchute.routing.choice import NearestLeastLoaded
from marigoldchute.routing.target import Target

NOW_MS = 1_000_000


def make_target(name: str, region: str = "cartago", warm_at_ms: int = 0) -> Target:
    server = BackendServer(
        f"{name}/1", "turnos", "r1", 1, 12, 110, warm_at_ms=warm_at_ms
    )
    return Target(Member(name, 1, 1, "127.0.0.1", 1, "dc", region), server)


def make_chooser(gate: AdmissionGate | None = None) -> NearestLeastLoaded:
    return NearestLeastLoaded(random.Random(1), lambda server_id: gate, "cartago")


def count_choices(
    chooser: NearestLeastLoaded, candidates: Candidates, rounds: int = 1000
) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for index in range(rounds):
        target = chooser.choose(candidates, set(), index * 0.01, NOW_MS)
        counts[target.member.name if target else ""] += 1
    return counts


class TierTest(unittest.TestCase):
    def setUp(self) -> None:
        self.own = make_target("own")
        self.near = make_target("near")
        self.region = make_target("region")
        self.remote = make_target("far", "limon")
        self.candidates = Candidates(
            (self.own,), (self.own, self.near), (self.region,), (self.remote,)
        )
        self.gate = AdmissionGate(self.own.server)

    def test_own_server_is_preferred_while_lightly_loaded(self) -> None:
        chooser = make_chooser(self.gate)
        self.assertEqual(count_choices(chooser, self.candidates), {"own": 1000})

    def test_loaded_own_server_is_not_preferred(self) -> None:
        while self.gate.running < 10:
            self.gate.try_acquire_slot()
        counts = count_choices(make_chooser(self.gate), self.candidates)
        self.assertGreater(counts["near"], 200)
        self.assertEqual(counts["region"] + counts["far"], 0)

    def test_farther_tier_is_used_after_attempts_at_nearer_ones(self) -> None:
        chooser = make_chooser()
        attempted = {self.own, self.near}
        target = chooser.choose(self.candidates, attempted, 0.0, NOW_MS)
        self.assertIs(target, self.region)
        attempted.add(self.region)
        self.assertIs(
            chooser.choose(self.candidates, attempted, 0.0, NOW_MS), self.remote
        )
        attempted.add(self.remote)
        self.assertIsNone(chooser.choose(self.candidates, attempted, 0.0, NOW_MS))

    def test_other_region_is_chosen_only_within_the_byte_budget(self) -> None:
        chooser = make_chooser()
        candidates = Candidates(remote=(self.remote,))
        self.assertIs(chooser.choose(candidates, set(), 0.0, NOW_MS), self.remote)
        chooser.record_link_bytes(self.remote, 1_000_000, 0.0)
        self.assertIsNone(chooser.choose(candidates, set(), 0.1, NOW_MS))
        self.assertIs(chooser.choose(candidates, set(), 10.0, NOW_MS), self.remote)

    def test_bytes_within_region_are_not_charged(self) -> None:
        chooser = make_chooser()
        chooser.record_link_bytes(self.near, 10_000_000, 0.0)
        candidates = Candidates(remote=(self.remote,))
        self.assertIs(chooser.choose(candidates, set(), 0.0, NOW_MS), self.remote)


class LoadTest(unittest.TestCase):
    def test_loaded_server_gets_fewer_requests(self) -> None:
        targets = tuple(make_target(f"t{i}") for i in range(4))
        targets[0].in_flight = 8
        counts = count_choices(make_chooser(), Candidates(data_centre=targets))
        self.assertLess(counts["t0"], 120)

    def test_slow_server_gets_fewer_requests(self) -> None:
        targets = tuple(make_target(f"t{i}") for i in range(4))
        for target in targets:
            target.record_response(2.0, False)
        for _ in range(50):
            targets[0].record_response(40.0, False)
        counts = count_choices(make_chooser(), Candidates(data_centre=targets))
        self.assertLess(counts["t0"], 120)

    def test_busy_server_is_skipped_until_backoff_ends(self) -> None:
        targets = (make_target("a"), make_target("b"))
        targets[0].back_off(0.0)
        chooser = make_chooser()
        candidates = Candidates(data_centre=targets)
        chosen = {chooser.choose(candidates, set(), 0.1, NOW_MS) for _ in range(50)}
        self.assertEqual(chosen, {targets[1]})
        chosen = {chooser.choose(candidates, set(), 0.5, NOW_MS) for _ in range(50)}
        self.assertEqual(len(chosen), 2)


class SlowStartTest(unittest.TestCase):
    def test_cold_server_gets_few_requests(self) -> None:
        cold = make_target("cold", warm_at_ms=NOW_MS + 3000)
        targets = (cold, *(make_target(f"t{i}") for i in range(3)))
        for target in targets[1:]:
            target.in_flight = 3
        counts = count_choices(make_chooser(), Candidates(data_centre=targets))
        self.assertLess(counts["cold"], 120)

    def test_weight_rises_after_the_cold_start(self) -> None:
        target = make_target("t", warm_at_ms=NOW_MS)
        weights = [target.weight(NOW_MS + after) for after in (-1, 0, 2500, 5000)]
        self.assertEqual(weights, [0.05, 0.05, 0.5, 1.0])

    def test_only_server_is_chosen_although_cold(self) -> None:
        cold = make_target("cold", warm_at_ms=NOW_MS + 3000)
        counts = count_choices(make_chooser(), Candidates(data_centre=(cold,)), 5)
        self.assertEqual(counts, {"cold": 5})


class EjectionTest(unittest.TestCase):
    def test_at_most_half_of_failing_servers_are_ejected(self) -> None:
        targets = tuple(make_target(f"t{i}") for i in range(4))
        chooser = make_chooser()
        candidates = Candidates(data_centre=targets)
        for target in targets:
            for _ in range(3):
                target.record_failure()
            chooser.record_failure(target, candidates, 0.0)
        ejected = [target for target in targets if not target.available(0.5)]
        self.assertEqual(len(ejected), 2)

    def test_single_server_is_never_ejected(self) -> None:
        target = make_target("t")
        for _ in range(10):
            target.record_failure()
        make_chooser().record_failure(target, Candidates(data_centre=(target,)), 0.0)
        self.assertTrue(target.available(0.0))

    def test_ejection_time_doubles_and_ends(self) -> None:
        target = make_target("t")
        target.eject(0.0)
        self.assertTrue(target.available(1.0))
        target.eject(1.0)
        self.assertFalse(target.available(2.5))
        self.assertTrue(target.available(3.0))

    def test_ejected_server_is_chosen_when_it_is_the_only_one(self) -> None:
        target = make_target("t")
        target.eject(0.0)
        candidates = Candidates(data_centre=(target,))
        self.assertIs(make_chooser().choose(candidates, set(), 0.1, NOW_MS), target)


class FakeMembers:
    def __init__(self, members: list[Member]) -> None:
        self.members = members
        self.reads = 0

    @property
    def local(self) -> Member:
        return self.members[0]

    def all(self) -> tuple[Member, ...]:
        self.reads += 1
        return tuple(self.members)

    def get(self, name: str) -> Member | None:
        return None


class CandidateTablesTest(unittest.TestCase):
    def setUp(self) -> None:
        members = [
            Member(
                f"vm{i}",
                1,
                1,
                "127.0.0.1",
                1,
                f"dc{i % 7}",
                f"region{i % 2}",
                servers=(BackendServer(f"vm{i}/1", f"s{i % 25}", "r1", 1, 12, 110),),
            )
            for i in range(870)
        ]
        self.members = FakeMembers(members)
        self.tables = CandidateTables(self.members)

    def test_members_are_read_once_per_change_and_not_per_request(
        self,
    ) -> None:
        for index in range(1000):
            self.tables.find("s0", "r1", index * 0.001)
        self.assertEqual(self.members.reads, 1)
        self.tables.mark_stale()
        self.tables.find("s0", "r1", 10.0)
        self.assertEqual(self.members.reads, 2)

    def test_burst_of_changes_rebuilds_at_intervals(self) -> None:
        for index in range(1000):
            self.tables.mark_stale()
            self.tables.find("s0", "r1", index * 0.001)
        self.assertLessEqual(self.members.reads, 11)

    def test_unknown_release_triggers_immediate_rebuild(self) -> None:
        self.tables.find("s0", "r1", 0.0)
        new = BackendServer("vm0/2", "s0", "r2", 2, 12, 110)
        first = self.members.members[0]
        self.members.members[0] = Member(
            first.name, 1, 2, "127.0.0.1", 1, "dc0", "region0", servers=(new,)
        )
        self.tables.mark_stale()
        self.assertEqual(len(self.tables.find("s0", "r2", 0.01).own), 1)

    def test_servers_of_an_evacuated_data_centre_are_no_candidates(self) -> None:
        """Guards against requests to a data centre that must get none."""

        class FakeEvacuations:
            is_known = True
            evacuated: tuple[str, ...] = ()

            def is_evacuated(self, data_centre: str) -> bool:
                return data_centre in self.evacuated

        evacuations = FakeEvacuations()
        tables = CandidateTables(self.members, evacuations)
        tables.find("s0", "r1", 0.0)
        self.assertFalse(tables.is_evacuated("s0", "r1"))
        evacuations.evacuated = ("dc0",)
        tables.mark_stale()
        candidates = tables.find("s0", "r1", 1.0)
        self.assertEqual(candidates.data_centre, ())
        targets = (*candidates.region, *candidates.remote)
        self.assertNotIn("dc0", {t.member.data_centre for t in targets})
        self.assertGreater(len(targets), 0)
        self.assertTrue(tables.is_evacuated("s0", "r1"))
        evacuations.evacuated = tuple(f"dc{i}" for i in range(7))
        tables.mark_stale()
        self.assertIs(tables.find("s0", "r1", 2.0), NO_CANDIDATES)

    def test_statistics_are_kept_over_rebuild_but_not_over_restart(self) -> None:
        target = self.tables.find("s0", "r1", 0.0).data_centre[0]
        self.tables.mark_stale()
        self.assertIs(self.tables.find("s0", "r1", 1.0).data_centre[0], target)
        old = self.members.members[0]
        self.members.members[0] = Member(
            old.name, 2, 1, "127.0.0.1", 1, "dc0", "region0", servers=old.servers
        )
        self.tables.mark_stale()
        self.assertIsNot(self.tables.find("s0", "r1", 2.0).data_centre[0], target)
