"""Validation of bundles: result code and key path of each error."""

from __future__ import annotations

import dataclasses
import unittest

from hypothesis import given, settings

from marigoldchute.bundle.model import (
    BundleContent,
    Customer,
    Route,
    Service,
    Step,
    Thresholds,
)
from marigoldchute.bundle.validation import validate_content
from marigoldchute.errors import MarigoldchuteError, ResultCode
from tests.test_bundle.bundles import bundle_contents, make_content, make_move

NAN = float("nan")


def _with_route(**changes: object) -> BundleContent:
    route = Route("turnos", "/turnos", "turnos")
    changed = dataclasses.replace(route, **changes)  # type: ignore[arg-type]
    return BundleContent((Service("turnos", "r1"),), (changed,))


def _with_customer(**changes: object) -> BundleContent:
    changed = dataclasses.replace(Customer("acme"), **changes)  # type: ignore[arg-type]
    return BundleContent((), (), customers=(changed,))


def _with_services(*services: Service) -> BundleContent:
    return BundleContent(services, ())


class ValidationTest(unittest.TestCase):
    def assert_refused(
        self, content: BundleContent, code: ResultCode, path: str
    ) -> None:
        with self.assertRaises(MarigoldchuteError) as caught:
            validate_content(content)
        self.assertEqual(caught.exception.code, code, caught.exception)
        self.assertIn(path, caught.exception.message)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(bundle_contents())
    def test_valid_content_is_accepted(self, content: BundleContent) -> None:
        validate_content(content)

    def test_customers_of_one_name_are_refused(self) -> None:
        content = BundleContent((), (), customers=(Customer("a"), Customer("a")))
        code = ResultCode.BUNDLE_DUPLICATE_NAME
        self.assert_refused(content, code, "$.customers[1].name")

    def test_key_of_two_customers_does_not_refuse_the_bundle(self) -> None:
        """Other customers need the bundle; the key itself identifies neither."""
        digest = bytes(range(16))
        customers = (Customer("a", (digest,)), Customer("b", (digest,)))
        validate_content(BundleContent((), (), customers=customers))

    def test_values_out_of_range_are_refused(self) -> None:
        cases: list[tuple[BundleContent, str]] = [
            (_with_route(path_prefix="turnos"), "$.routes[0].path_prefix"),
            (_with_route(path_prefix=""), "$.routes[0].path_prefix"),
            (_with_route(path_prefix="/a b"), "$.routes[0].path_prefix"),
            (_with_route(path_prefix="/a?x"), "$.routes[0].path_prefix"),
            (_with_route(path_prefix="/a#x"), "$.routes[0].path_prefix"),
            (_with_route(path_prefix="/" * 513), "$.routes[0].path_prefix"),
            (_with_route(name=""), "$.routes[0].name"),
            (_with_route(name="a\n"), "$.routes[0].name"),
            (_with_route(timeout_ms=0), "$.routes[0].timeout_ms"),
            (_with_route(timeout_ms=600_001), "$.routes[0].timeout_ms"),
            (_with_route(priority=3), "$.routes[0].priority"),
            (_with_customer(name=""), "$.customers[0].name"),
            (_with_customer(name="a\r\nb: c"), "$.customers[0].name"),
            (_with_customer(name=" a"), "$.customers[0].name"),
            (_with_customer(name="a" * 256), "$.customers[0].name"),
            (_with_customer(priority=3), "$.customers[0].priority"),
            (_with_customer(rate_per_s=-1.0), "$.customers[0].rate_per_s"),
            (_with_customer(rate_per_s=NAN), "$.customers[0].rate_per_s"),
            (_with_customer(burst=float("inf")), "$.customers[0].burst"),
            (_with_route(max_attempts=0), "$.routes[0].max_attempts"),
            (
                _with_route(idempotent_methods=("GET", "A B")),
                "$.routes[0].idempotent_methods[1]",
            ),
            (_with_route(sticky_header="x y"), "$.routes[0].sticky_header"),
            (_with_services(Service("../x", "r1")), "$.services[0].name"),
            (_with_services(Service("a", "r" * 64)), "$.services[0].release"),
            (make_content("r1", make_move("a/b")), "$.moves[0].move_id"),
            (make_content("r1", make_move(watch_ms=-1)), "$.moves[0].watch_ms"),
            (make_content("r1", make_move(start_ms=-1)), "$.moves[0].start_ms"),
            (
                make_content("r1", make_move(steps=(Step(NAN, 0), Step(1.0, 0)))),
                "$.moves[0].steps[0].share",
            ),
            (
                make_content("r1", make_move(steps=(Step(0.1, -1), Step(1.0, 0)))),
                "$.moves[0].steps[0].hold_ms",
            ),
            (
                make_content(
                    "r1", make_move(thresholds=Thresholds(max_error_increase=NAN))
                ),
                "$.moves[0].thresholds.max_error_increase",
            ),
            (
                make_content("r1", make_move(thresholds=Thresholds(false_alarm=0.0))),
                "$.moves[0].thresholds.false_alarm",
            ),
        ]
        for content, path in cases:
            with self.subTest(path=path):
                self.assert_refused(content, ResultCode.BUNDLE_VALUE_OUT_OF_RANGE, path)

    def test_duplicate_names_are_refused(self) -> None:
        turnos = Service("turnos", "r1")
        route = Route("a", "/a", "turnos")
        cases = [
            (_with_services(turnos, turnos), "$.services[1].name"),
            (BundleContent((turnos,), (route, route)), "$.routes[1].name"),
            (
                BundleContent((turnos,), (route, Route("b", "/a", "turnos"))),
                "$.routes[1].path_prefix",
            ),
        ]
        for content, path in cases:
            with self.subTest(path=path):
                self.assert_refused(content, ResultCode.BUNDLE_DUPLICATE_NAME, path)

    def test_missing_references_are_refused(self) -> None:
        code = ResultCode.BUNDLE_REFERENCE_MISSING
        self.assert_refused(_with_route(service="x"), code, "$.routes[0].service")
        content = make_content("r1", make_move(service="x"))
        self.assert_refused(content, code, "$.moves[0].service")
        content = _with_services(Service("a", "r1", depends_on=("b",)))
        self.assert_refused(content, code, "$.services[0].depends_on[0]")

    def test_dependency_cycle_is_refused_with_its_services(self) -> None:
        content = _with_services(
            Service("a", "r1", depends_on=("b",)),
            Service("b", "r1", depends_on=("c",)),
            Service("c", "r1", depends_on=("a",)),
        )
        self.assert_refused(content, ResultCode.BUNDLE_REFERENCE_CYCLE, " -> ")

    def test_too_many_items_are_refused(self) -> None:
        services = tuple(Service(f"s{i}", "r1") for i in range(1001))
        code = ResultCode.BUNDLE_TOO_LARGE
        self.assert_refused(_with_services(*services), code, "$.services")
        steps = tuple(Step((i + 1) / 60, 0) for i in range(60))
        content = make_content("r1", make_move(steps=steps))
        self.assert_refused(content, code, "$.moves[0].steps")

    def test_invalid_moves_are_refused(self) -> None:
        code = ResultCode.MOVE_INVALID
        content = make_content("r1", make_move(new_release="r1"))
        self.assert_refused(content, code, "$.moves[0].new_release")
        content = make_content("r1", make_move(steps=(Step(0.5, 0),)))
        self.assert_refused(content, code, "$.moves[0].steps")
        content = make_content("r7", make_move())
        self.assert_refused(content, code, "$.moves[0]")
        content = make_content("r1", make_move("a"), make_move("b"))
        self.assert_refused(content, ResultCode.MOVE_OVERLAP, "$.moves[1].service")
        content = make_content("r1", make_move(deadline_ms=1_500))
        code = ResultCode.MOVE_DEADLINE_TOO_SHORT
        self.assert_refused(content, code, "$.moves[0].deadline_ms")
