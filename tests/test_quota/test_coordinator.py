"""Tests of the decisions of a coordinator and of the relays of data centres."""

from __future__ import annotations

import unittest

from marigoldchute.quota.coordinator import (
    CONTRIBUTION_S,
    START_S,
    QuotaCoordinator,
    is_near_quota,
)
from marigoldchute.quota.limits import Quota
from marigoldchute.quota.messages import UseReport, customer_id
from marigoldchute.quota.relay import QuotaRelay
from marigoldchute.quota.roles import NODES_PER_RELAY, relay_topic

ACME = customer_id("acme")
QUOTA = Quota(100.0, 100.0)
STEP_S = 0.2


def make_coordinator(nodes: int = 10) -> QuotaCoordinator:
    coordinator = QuotaCoordinator()
    coordinator.node_count = nodes
    coordinator.set_quotas({ACME: QUOTA})
    return coordinator


def report(
    coordinator: QuotaCoordinator, now: float, *uses: int, nodes: int = 5
) -> list[dict[bytes, float]]:
    """Have each relay report its use; return the rates of each."""
    return [
        coordinator.handle_report(
            f"relay-{i}", UseReport(nodes, {ACME: (use, use)} if use else {}), now
        )
        for i, use in enumerate(uses)
    ]


class DecisionTest(unittest.TestCase):
    def test_demand_beyond_the_rate_limits_before_the_burst_is_used_up(self) -> None:
        self.assertFalse(is_near_quota(100.0, 100.0, 100.0, 120.0, False))
        self.assertTrue(is_near_quota(100.0, 100.0, 100.0, 400.0, False))
        self.assertTrue(is_near_quota(-1.0, 100.0, 100.0, 100.0, False))

    def test_single_request_of_a_small_customer_does_not_limit_it(self) -> None:
        """Thousands of small customers would be limited after each request."""
        self.assertFalse(is_near_quota(1.0, 0.01, 2.0, 2.0, False))

    def test_release_needs_more_than_the_limit(self) -> None:
        """Decisions that alternate would admit a burst each time."""
        self.assertTrue(is_near_quota(10.0, 100.0, 100.0, 100.0, True))
        self.assertFalse(is_near_quota(10.0, 100.0, 100.0, 100.0, False))


class CoordinatorTest(unittest.TestCase):
    def advance(self, coordinator: QuotaCoordinator, start: float, count: int) -> float:
        """Report a small use from two relays with all nodes."""
        for step in range(count):
            report(coordinator, start + step * STEP_S, 1, 1)
        return start + count * STEP_S

    def test_usual_use_is_not_limited(self) -> None:
        coordinator = make_coordinator()
        self.advance(coordinator, 0.0, 30)
        self.assertEqual(coordinator.limited, set())

    def test_surge_is_limited_to_the_rate_and_divided_by_demand(self) -> None:
        coordinator = make_coordinator()
        now = self.advance(coordinator, 0.0, 30)
        for _ in range(5):
            rates = report(coordinator, now, 75, 25)
            now += STEP_S
        self.assertEqual(coordinator.limited, {ACME})
        given = [rate[ACME] for rate in rates]
        self.assertLessEqual(sum(given), 100.0)
        for _ in range(20):
            wanted = (90, 30)
            rates = [
                coordinator.handle_report(
                    f"relay-{i}", UseReport(5, {ACME: (0, count)}), now
                )
                for i, count in enumerate(wanted)
            ]
            now += STEP_S
        given = [rate[ACME] for rate in rates]
        self.assertGreater(given[0], 2 * given[1])

    def test_overdraft_is_held_back(self) -> None:
        coordinator = make_coordinator()
        now = self.advance(coordinator, 0.0, 30)
        rates = report(coordinator, now, 400, 0)
        self.assertEqual(rates[1][ACME], 0.0)

    def test_coordinator_without_the_other_half_assigns_half(self) -> None:
        """The other half has its own coordinator, or keeps to even shares."""
        coordinator = make_coordinator(nodes=10)
        for step in range(40):
            (rates,) = report(coordinator, step * STEP_S, 40)
        self.assertLessEqual(rates.get(ACME, 0.0), 50.0)
        self.assertAlmostEqual(coordinator.contribution(40 * STEP_S - STEP_S), 0.5)

    def test_silent_relay_stops_to_contribute(self) -> None:
        coordinator = make_coordinator()
        now = self.advance(coordinator, 0.0, 10)
        report(coordinator, now + CONTRIBUTION_S, 1)
        self.assertAlmostEqual(coordinator.contribution(now + CONTRIBUTION_S), 0.5)

    def test_start_gives_no_burst(self) -> None:
        """Another coordinator may have given it just before."""
        coordinator = make_coordinator()
        (first, _) = report(coordinator, 1000.0, 10, 10)
        self.assertIn(ACME, first)
        self.assertLess(first[ACME], 100.0)

    def test_return_after_a_gap_gives_no_burst(self) -> None:
        coordinator = make_coordinator()
        now = self.advance(coordinator, 0.0, 30)
        (first, _) = report(coordinator, now + 5.0, 10, 10)
        self.assertIn(ACME, first)
        self.assertLess(first[ACME], 100.0)

    def test_customer_is_free_once_the_demand_is_known(self) -> None:
        coordinator = make_coordinator()
        self.advance(coordinator, 1000.0, int(START_S / STEP_S) + 3)
        self.assertEqual(coordinator.limited, set())

    def test_removed_customer_is_forgotten(self) -> None:
        coordinator = make_coordinator()
        report(coordinator, 0.0, 50, 50)
        coordinator.set_quotas({})
        self.assertEqual(report(coordinator, STEP_S, 50, 50), [{}, {}])


class RelayTest(unittest.TestCase):
    def test_use_is_added_up_and_reported_once(self) -> None:
        relay = QuotaRelay()
        relay.handle_report("a", {ACME: (2, 3)}, 0.0)
        relay.handle_report("b", {ACME: (1, 1)}, 0.1)
        self.assertEqual(relay.take_report(0.2), UseReport(2, {ACME: (3, 4)}))
        self.assertEqual(relay.take_report(0.2), UseReport(2, {}))

    def test_lost_report_is_sent_again(self) -> None:
        relay = QuotaRelay()
        relay.handle_report("a", {ACME: (2, 3)}, 0.0)
        lost = relay.take_report(0.1)
        relay.restore_usages(lost.usages)
        self.assertEqual(relay.take_report(0.1).usages, {ACME: (2, 3)})

    def test_silent_node_is_not_counted(self) -> None:
        relay = QuotaRelay()
        relay.handle_report("a", {}, 0.0)
        relay.handle_report("b", {}, 2.0)
        self.assertEqual(relay.take_report(2.0).node_count, 1)

    def test_shares_add_up_to_the_rate_of_the_data_centre(self) -> None:
        relay = QuotaRelay()
        for name, wanted in (("a", 30), ("b", 10), ("c", 0)):
            relay.handle_report(name, {ACME: (0, wanted)} if wanted else {}, 0.0)
        relay.apply_rates({ACME: 12.0}, 0.0)
        shares = [relay.handle_report(n, {}, 0.1).rates[ACME] for n in "abc"]
        self.assertAlmostEqual(sum(shares), 12.0)
        self.assertGreater(shares[0], 2 * shares[1])
        self.assertGreater(shares[2], 0.0)

    def test_age_of_the_shares_is_told(self) -> None:
        """Nodes must notice that the coordinator is lost, not only the relay."""
        relay = QuotaRelay()
        self.assertEqual(relay.handle_report("a", {}, 0.0).age_ms, -1)
        relay.apply_rates({}, 1.0)
        self.assertEqual(relay.handle_report("a", {}, 1.5).age_ms, 500)


class RelayTopicTest(unittest.TestCase):
    def test_large_data_centres_have_several_relays(self) -> None:
        names = [f"vm-{i}" for i in range(218)]
        self.assertEqual(
            {relay_topic(n, NODES_PER_RELAY) for n in names}, {relay_topic("x", 1)}
        )
        self.assertEqual(len({relay_topic(n, 218) for n in names}), 4)
