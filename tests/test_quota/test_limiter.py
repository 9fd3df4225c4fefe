"""Tests of the admission of requests by quotas on one node."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.bundle.model import Customer
from marigoldchute.quota.limiter import SHARES_VALID_S, QuotaLimiter
from marigoldchute.quota.limits import Quota, QuotaBound, make_quotas, window_limit
from marigoldchute.quota.messages import Shares, customer_id

ACME = customer_id("acme")
FREE = Shares(0, {})


def make_limiter(
    rate: float = 10.0, burst: float = 10.0, nodes: int = 1
) -> QuotaLimiter:
    limiter = QuotaLimiter(random.Random(1))
    limiter.node_count = nodes
    limiter.set_quotas({ACME: Quota(rate, burst)})
    return limiter


def count_admitted(
    limiter: QuotaLimiter, start: float, end: float, per_s: float
) -> int:
    count = int((end - start) * per_s)
    times = [start + i / per_s for i in range(count)]
    return sum(limiter.try_acquire("acme", now) == 0.0 for now in times)


class QuotasTest(unittest.TestCase):
    def test_customers_without_a_rate_are_not_limited(self) -> None:
        customers = (Customer("free"), Customer("acme", (), None, 10.0, 4.0))
        self.assertEqual(list(make_quotas(customers, QuotaBound())), [ACME])
        limiter = make_limiter()
        self.assertEqual(count_admitted(limiter, 0.0, 1.0, 1.0), 0)
        admitted = [limiter.try_acquire("free", 0.0) for _ in range(1000)]
        self.assertEqual(set(admitted), {0.0})

    def test_burst_uses_only_a_part_of_the_overshoot(self) -> None:
        bound = QuotaBound(5.0, 0.1, 20.0)
        (quota,) = make_quotas((Customer("acme", (), None, 10.0, 4.0),), bound).values()
        self.assertEqual(quota.rate_per_s, 10.0)
        served = quota.rate_per_s * bound.window_s + quota.burst
        self.assertLess(served, 0.8 * window_limit(10.0, 4.0, bound))


class FreeCustomerTest(unittest.TestCase):
    def test_nothing_is_held_back_far_from_the_quota(self) -> None:
        limiter = make_limiter(nodes=78)
        for step in range(10):
            now = step * 0.2
            limiter.apply_shares(FREE, now)
            self.assertEqual(limiter.try_acquire("acme", now), 0.0)
            self.assertEqual(limiter.try_acquire("acme", now), 0.0)
            limiter.take_usages()

    def test_flood_between_two_reports_is_bounded(self) -> None:
        """No coordinator can intervene before it knows about the flood."""
        limiter = make_limiter(nodes=78)
        limiter.apply_shares(FREE, 0.0)
        self.assertEqual(count_admitted(limiter, 0.0, 0.2, 10_000.0), 5)


class LimitedCustomerTest(unittest.TestCase):
    def test_assigned_share_is_kept(self) -> None:
        limiter = make_limiter()
        limiter.apply_shares(Shares(0, {ACME: 4.0}), 100.0)
        admitted = count_admitted(limiter, 100.0, 100.0 + SHARES_VALID_S, 500.0)
        self.assertLessEqual(admitted, 4.0 * SHARES_VALID_S + 1)
        self.assertGreaterEqual(admitted, 2)

    def test_wait_until_the_next_request_is_told(self) -> None:
        limiter = make_limiter()
        limiter.apply_shares(Shares(0, {ACME: 4.0}), 100.0)
        waits = [limiter.try_acquire("acme", 100.0) for _ in range(3)]
        self.assertGreater(waits[-1], 0.0)
        self.assertLessEqual(waits[-1], 0.25)

    def test_released_quota_can_be_used_again(self) -> None:
        limiter = make_limiter()
        limiter.apply_shares(Shares(0, {ACME: 4.0}), 100.0)
        waits = [limiter.try_acquire("acme", 100.0 + i / 100) for i in range(10)]
        self.assertGreater(waits[-1], 0.0)
        limiter.take_usages()
        limiter.release("acme")
        self.assertEqual(limiter.try_acquire("acme", 100.1), 0.0)
        self.assertEqual(limiter.take_usages()[ACME][0], 0)


class CutOffNodeTest(unittest.TestCase):
    """A node without word from a coordinator keeps to its even share."""

    def test_even_share_without_a_burst(self) -> None:
        limiter = make_limiter(rate=100.0, burst=100.0, nodes=10)
        admitted = count_admitted(limiter, 0.0, 5.0, 200.0)
        self.assertLessEqual(admitted, 100.0 / 10 * 5 + 1)
        self.assertGreaterEqual(admitted, 48)

    def test_what_was_admitted_before_is_held_back(self) -> None:
        """The cut-off half of a mesh would otherwise add its share to a surge."""
        limiter = make_limiter(rate=100.0, burst=100.0, nodes=10)
        limiter.apply_shares(FREE, 0.0)
        admitted = count_admitted(limiter, 0.0, SHARES_VALID_S, 60.0)
        self.assertEqual(admitted, 48)
        admitted += count_admitted(limiter, SHARES_VALID_S, 5.0, 200.0)
        self.assertLessEqual(admitted, 100.0 / 10 * 5 + 1)

    def test_late_or_older_shares_do_not_extend_the_validity(self) -> None:
        """A paused node must not act on what was right before its pause."""
        limiter = make_limiter(rate=1.0, nodes=10)
        limiter.apply_shares(FREE, 10.0)
        limiter.apply_shares(Shares(0, {ACME: 50.0}), 9.0)
        limiter.apply_shares(Shares(700, {ACME: 50.0}), 10.1)
        limiter.apply_shares(Shares(-1, {ACME: 50.0}), 20.0)
        self.assertEqual(limiter.try_acquire("acme", 10.5), 0.0)
        self.assertEqual(count_admitted(limiter, 11.0, 11.5, 100.0), 0)


class UsageTest(unittest.TestCase):
    def test_only_customers_with_requests_are_reported(self) -> None:
        limiter = make_limiter()
        limiter.apply_shares(FREE, 0.0)
        self.assertEqual(limiter.take_usages(), {})
        limiter.try_acquire("acme", 0.0)
        self.assertEqual(limiter.take_usages(), {ACME: (1, 1)})
        self.assertEqual(limiter.take_usages(), {})

    def test_lost_report_is_sent_again(self) -> None:
        limiter = make_limiter()
        limiter.apply_shares(FREE, 0.0)
        limiter.try_acquire("acme", 0.0)
        lost = limiter.take_usages()
        limiter.try_acquire("acme", 0.1)
        limiter.restore_usages(lost)
        self.assertEqual(limiter.take_usages(), {ACME: (2, 2)})

    def test_customer_that_lost_its_quota_is_free(self) -> None:
        limiter = make_limiter(rate=0.01)
        count_admitted(limiter, 0.0, 1.0, 10.0)
        limiter.set_quotas({})
        self.assertEqual(count_admitted(limiter, 1.0, 2.0, 10.0), 10)
        limiter.release("acme")

    @settings(deadline=None, max_examples=60)
    @given(
        st.lists(st.tuples(st.floats(0.0, 0.3), st.sampled_from("aarts")), max_size=80)
    )
    def test_reported_use_is_what_was_admitted(
        self, steps: list[tuple[float, str]]
    ) -> None:
        limiter, now = make_limiter(), 0.0
        admitted = released = reported = 0
        for delay, action in steps:
            now += delay
            if action == "a":
                admitted += limiter.try_acquire("acme", now) == 0.0
            elif action == "r" and released < admitted:
                limiter.release("acme")
                released += 1
            elif action == "s":
                limiter.apply_shares(Shares(0, {ACME: 5.0}), now)
            else:
                usages = limiter.take_usages()
                reported += usages.get(ACME, (0, 0))[0]
        reported += limiter.take_usages().get(ACME, (0, 0))[0]
        self.assertEqual(reported, admitted - released)
