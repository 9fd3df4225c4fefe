"""Tests of route lookup, sticky release choice, budgets and headers."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.bundle.model import (
    Bundle,
    BundleContent,
    Manifest,
    Route,
    Service,
)
from marigoldchute.routing.budget import RetryBudget, TokenBucket
from marigoldchute.routing.headers import encode_request_headers, parse_deadline_ms
from marigoldchute.routing.route_table import RouteTable
from marigoldchute.routing.sticky import sticky_point


def make_table(*prefixes: str) -> RouteTable:
    routes = tuple(Route(prefix, prefix, "s") for prefix in prefixes)
    content = BundleContent((Service("s", "r1"),), routes)
    return RouteTable(Bundle(Manifest(1, (), "", "", b""), content))


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix_is_found(self) -> None:
        table = make_table("/", "/turnos", "/turnos/altas")
        cases = [(b"/x", "/"), (b"/turnos/1", "/turnos")]
        cases += [(b"/turnos/altas/2?x=/", "/turnos/altas")]
        for target, prefix in cases:
            with self.subTest(target):
                entry = table.find(target)
                assert entry is not None
                self.assertEqual(entry.route.path_prefix, prefix)

    def test_unmatched_path_finds_no_route(self) -> None:
        self.assertIsNone(make_table("/turnos").find(b"/reservas"))

    def test_query_is_ignored(self) -> None:
        self.assertIsNone(make_table("/turnos?x").find(b"/turnos?x=1"))


class StickyTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=40), st.floats(0, 1), st.floats(0, 1))
    def test_key_keeps_new_release_as_share_grows(
        self, value: bytes, first: float, second: float
    ) -> None:
        point = sticky_point("m1", value)
        low, high = sorted((first, second))
        if point < low:
            self.assertLess(point, high)

    def test_points_of_keys_are_uniform_and_independent_between_moves(self) -> None:
        keys = [str(i).encode() for i in range(10_000)]
        assigned = sum(sticky_point("m1", key) < 0.1 for key in keys)
        self.assertAlmostEqual(assigned / len(keys), 0.1, delta=0.015)
        both = sum(
            sticky_point("m1", key) < 0.1 and sticky_point("m2", key) < 0.1
            for key in keys
        )
        self.assertLess(both / len(keys), 0.03)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_limited_to_ratio_of_requests(self) -> None:
        budget = RetryBudget(0.2, 1.0, 5.0)
        allowed = 0
        for _ in range(1000):
            budget.record_request()
            allowed += budget.acquire_retry(1.0)
        self.assertLessEqual(allowed, 0.2 * 1000 + 5 + 1)
        self.assertGreater(allowed, 150)

    def test_node_with_few_requests_may_retry(self) -> None:
        budget = RetryBudget(0.2, 1.0, 0.0)
        self.assertTrue(budget.acquire_retry(1.0))
        self.assertFalse(budget.acquire_retry(1.5))
        self.assertTrue(budget.acquire_retry(3.0))

    def test_overdrawn_bucket_recovers_with_time(self) -> None:
        bucket = TokenBucket(10.0, 10.0)
        bucket.charge(30.0, 0.0)
        self.assertFalse(bucket.has_tokens(1.0))
        self.assertTrue(bucket.has_tokens(2.5))


class HeaderTest(unittest.TestCase):
    def test_hop_by_hop_headers_are_removed(self) -> None:
        block = encode_request_headers(
            [
                (b"host", b"a"),
                (b"connection", b"close, X-Hop, content-length"),
                (b"x-hop", b"1"),
                (b"te", b"trailers"),
                (b"content-length", b"5"),
                (b"marigoldchute-deadline-ms", b"7"),
            ]
        )
        self.assertEqual(block, b"host: a\r\ncontent-length: 5\r\n")

    def test_deadline_header_is_parsed_or_ignored(self) -> None:
        cases = [(None, None), (b"250", 250), (b"-1", None), (b"x", None)]
        cases.append((b"9" * 40, None))
        for value, expected in cases:
            with self.subTest(value):
                self.assertEqual(parse_deadline_ms(value), expected)
