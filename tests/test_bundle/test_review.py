"""Findings on the content of a bundle and differences between two contents."""

from __future__ import annotations

import dataclasses
import unittest
from typing import Any

from marigoldchute.bundle.model import (
    BundleContent,
    CallerLimits,
    Customer,
    Route,
    RoutePart,
    Service,
)
from marigoldchute.bundle.review import (
    Change,
    Finding,
    compare_contents,
    review_content,
    review_version,
)
from marigoldchute.errors import ResultCode

CLEAN = BundleContent(
    (Service("turnos", ""), Service("reservas", "")),
    (Route("r-1", "/a/", "turnos", host="h.example"),),
)


def make_content(**changes: Any) -> BundleContent:
    return dataclasses.replace(CLEAN, **changes)


def make_route(**changes: Any) -> Route:
    return dataclasses.replace(CLEAN.routes[0], **changes)


class ReviewTestCase(unittest.TestCase):
    def find(self, content: BundleContent, *regions: str) -> list[tuple[str, str]]:
        return [(f.kind, f.place) for f in review_content(content, regions)]

    def assert_route_finding(self, kind: str, **changes: Any) -> None:
        content = make_content(routes=(make_route(**changes),))
        self.assertEqual([found for found, _ in self.find(content)], [kind])


class RouteFindingsTest(ReviewTestCase):
    def test_clean_content_has_no_finding(self) -> None:
        self.assertEqual(review_content(CLEAN, ("north",)), ())

    def test_invalid_content_has_an_error_with_its_code(self) -> None:
        content = make_content(routes=(make_route(service="nobody"),))
        (finding,) = review_content(content)
        self.assertEqual(finding.severity, "error")
        self.assertEqual(finding.code, ResultCode.BUNDLE_REFERENCE_MISSING)
        self.assertIn("nobody", finding.text)

    def test_route_of_a_host_in_other_case_is_hidden(self) -> None:
        # Guards against hosts that are compared with their case: the nodes ignore it,
        # and the last of two such routes gets all requests.
        routes = (make_route(), make_route(name="r-2", host="H.Example"))
        found = self.find(make_content(routes=routes))
        self.assertEqual(found, [("route-hidden", "route h.example/a/")])

    def test_equal_prefix_is_an_error_and_hides_the_first_route(self) -> None:
        routes = (make_route(), make_route())
        found = self.find(make_content(routes=routes))
        self.assertEqual([kind for kind, _ in found], ["invalid", "route-hidden"])

    def test_same_prefix_of_another_host_hides_nothing(self) -> None:
        routes = (make_route(), make_route(name="r-2", host=""))
        self.assertEqual(self.find(make_content(routes=routes)), [])

    def test_entries_of_a_route_that_cannot_take_effect(self) -> None:
        parts = (RoutePart("turnos", 1), RoutePart("reservas", 0))
        self.assert_route_finding("part-without-weight", parts=parts)
        self.assert_route_finding("host-with-port", host="h.example:80")
        self.assert_route_finding("kind-unknown", unknown_kind="later")

    def test_contradictions_of_a_route(self) -> None:
        parts = (RoutePart("turnos", 1), RoutePart("reservas", 2))
        self.assert_route_finding("one-attempt-for-parts", parts=parts, max_attempts=1)
        self.assert_route_finding(
            "objective-above-timeout", timeout_ms=100, objective_ms=101
        )

    def test_values_at_the_boundary_have_no_finding(self) -> None:
        parts = (RoutePart("turnos", 1), RoutePart("reservas", 2))
        routes = (
            make_route(parts=parts, max_attempts=2),
            make_route(name="r-2", path_prefix="/b/", timeout_ms=9, objective_ms=9),
        )
        self.assertEqual(self.find(make_content(routes=routes)), [])


class CustomerFindingsTest(ReviewTestCase):
    def find_for(self, *customers: Customer, **changes: Any) -> list[tuple[str, str]]:
        content = make_content(customers=customers, routes=(make_route(**changes),))
        return self.find(content)

    def test_customer_without_keys_matters_while_no_route_is_public(self) -> None:
        customer = Customer("acme")
        expected = [("customer-without-keys", "customer acme")]
        self.assertEqual(self.find_for(customer), expected)
        self.assertEqual(self.find_for(customer, is_public=True), [])

    def test_shared_key_is_reported_without_the_key(self) -> None:
        customers = (Customer("acme", (b"one", b"two")), Customer("bolt", (b"two",)))
        (finding,) = review_content(make_content(customers=customers))
        self.assertEqual(finding.kind, "key-shared")
        self.assertEqual(finding.code, ResultCode.BUNDLE_CUSTOMER_KEY_SHARED)
        self.assertIn("1 of its keys also belong to bolt", finding.text)
        self.assertNotIn("two", repr(finding))

    def test_rates_and_bursts_below_one_request(self) -> None:
        for rate, burst, kinds in (
            (0.5, 1.0, ["rate-below-one"]),
            (1.0, 0.5, ["burst-below-one"]),
            (0.0, 5.0, ["burst-without-rate"]),
            (1.0, 1.0, []),
            (0.0, 0.0, []),
        ):
            with self.subTest(rate=rate, burst=burst):
                customer = Customer("acme", (b"one",), None, rate, burst)
                found = self.find_for(customer)
                self.assertEqual([kind for kind, _ in found], kinds)

    def test_disjoint_regions_are_reported_once_for_equal_lists(self) -> None:
        # Guards against a finding for each pair of many routes and customers.
        customers = [
            Customer(f"c-{i}", (bytes([i]),), regions=("south",)) for i in range(7)
        ]
        found = self.find_for(*customers, regions=("north", "east"))
        place = "customer c-0, c-1, c-2, c-3, c-4 and 2 more"
        self.assertEqual(found, [("regions-disjoint", place)])
        self.assertEqual(self.find_for(*customers, regions=("north", "south")), [])

    def test_regions_that_are_not_known(self) -> None:
        customer = Customer("acme", (b"one",), regions=("north", "suoth"))
        content = make_content(customers=(customer,))
        expected = [("region-unknown", "customer acme")]
        self.assertEqual(self.find(content, "north", "south"), expected)
        self.assertEqual(self.find(content), [])


class LimitFindingsTest(ReviewTestCase):
    def test_warmup_needs_a_time_and_a_rate(self) -> None:
        for seconds, rate, kinds in (
            (5.0, 0.0, ["warmup-without-rate"]),
            (0.0, 5.0, ["warmup-without-time"]),
            (5.0, 5.0, []),
        ):
            with self.subTest(seconds=seconds, rate=rate):
                service = Service(
                    "turnos", "", warmup_s=seconds, warmup_requests_per_s=rate
                )
                found = self.find(make_content(services=(service,)))
                self.assertEqual([kind for kind, _ in found], kinds)

    def test_limits_of_callers(self) -> None:
        for limits, kinds in (
            (CallerLimits(2000, 1000), ["head-above-body"]),
            (CallerLimits(2000, 0), []),
            (CallerLimits(0, 1000), ["limit-not-positive"]),
            (CallerLimits(idle_timeout_ms=0), ["limit-not-positive"]),
        ):
            with self.subTest(limits):
                found = self.find(make_content(limits=limits))
                self.assertEqual([kind for kind, _ in found], kinds)


class DifferenceTest(unittest.TestCase):
    def test_entries_are_added_removed_and_changed_field_by_field(self) -> None:
        after = make_content(
            services=(Service("turnos", "", max_connections=5), Service("avisos", "")),
            routes=(make_route(timeout_ms=9), make_route(path_prefix="/b/")),
            limits=CallerLimits(head_bytes=5),
        )
        self.assertEqual(
            compare_contents(CLEAN, after),
            (
                Change("service", "avisos", "added"),
                Change("service", "reservas", "removed"),
                Change("service", "turnos", "changed", "max_connections", 0, 5),
                Change("route", "h.example/b/", "added"),
                Change("route", "h.example/a/", "changed", "timeout_ms", 5000, 9),
                Change("limits", "", "changed", "head_bytes", 65_536, 5),
            ),
        )
        self.assertEqual(compare_contents(after, after), ())

    def test_changed_keys_are_counted_and_not_shown(self) -> None:
        before = make_content(customers=(Customer("acme", (b"one", b"two")),))
        after = make_content(customers=(Customer("acme", (b"two", b"six", b"ten")),))
        (change,) = compare_contents(before, after)
        expected = Change("customer", "acme", "changed", "keys", "1 removed", "2 added")
        self.assertEqual(change, expected)

    def test_version_must_be_higher_unless_nothing_changes(self) -> None:
        other = make_content(routes=())
        self.assertEqual(review_version(5, other, 4, CLEAN), ())
        self.assertEqual(review_version(4, CLEAN, 4, CLEAN), ())
        for version in (3, 4):
            with self.subTest(version):
                (finding,) = review_version(version, other, 4, CLEAN)
                self.assertIsInstance(finding, Finding)
                self.assertEqual(finding.code, ResultCode.BUNDLE_VERSION_NOT_HIGHER)
