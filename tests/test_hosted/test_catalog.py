"""Snapshots of bundles, differences between them and the bundle in force."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from marigoldchute.bundle import validation
from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import BundleContent, Route, RoutePart, Service
from marigoldchute.errors import BundleError, PeerError
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.catalog import (
    Catalog,
    Snapshot,
    apply_difference,
    decode_content,
    encode_difference,
    make_snapshot,
)

SERVICES = (Service("turnos", ""), Service("reservas", "", max_connections=110))
IDLE_ROUTES = 300


def make_content(rng: random.Random) -> BundleContent:
    routes = [
        Route(f"idle-{i}", f"/idle{i}/", "turnos", host="h.example")
        for i in range(IDLE_ROUTES)
        if rng.random() < 0.97
    ]
    parts = (RoutePart("turnos", rng.randrange(1, 9)), RoutePart("reservas", 1))
    routes.append(
        Route(
            "split",
            "/split/",
            "turnos",
            timeout_ms=rng.randrange(100, 2000),
            host="h.example",
            parts=parts,
            repeatable=False,
            objective_ms=600,
        )
    )
    return BundleContent(SERVICES, tuple(routes))


class DifferenceTest(unittest.TestCase):
    def test_chain_of_differences_reproduces_the_content(self) -> None:
        rng = random.Random(11)
        current: Snapshot | None = None
        for revision in range(1, 30):
            content = make_content(rng)
            target = make_snapshot(revision, revision * 2, content)
            current = apply_difference(current, encode_difference(current, target))
            self.assertEqual(current, target)
            self.assertCountEqual(decode_content(current.items).routes, content.routes)

    def test_difference_of_one_route_is_small(self) -> None:
        first = make_snapshot(1, 1, make_content(random.Random(3)))
        items = dict(first.items)
        items["r/split"] = items["r/split"].replace(b"/split/", b"/other/")
        second = Snapshot(2, 2, items)
        self.assertLess(len(encode_difference(first, second)), 400)
        self.assertGreater(len(encode_difference(None, second)), 2_000)

    def test_difference_from_another_snapshot_or_truncated_is_rejected(self) -> None:
        rng = random.Random(5)
        one, two, three = (make_snapshot(i, i, make_content(rng)) for i in (1, 2, 3))
        data = encode_difference(two, three)
        for base in (None, one):
            with self.assertRaises(PeerError):
                apply_difference(base, data)
        with self.assertRaises(PeerError):
            apply_difference(two, data[:-5])


class InForceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.in_force = InForce()
        self.catalog = Catalog(self.in_force, MemoryEventLog())
        self.rng = random.Random(1)

    def test_snapshot_with_lower_revision_is_ignored(self) -> None:
        later = make_snapshot(9, 3, make_content(self.rng))
        earlier = make_snapshot(5, 7, make_content(self.rng))
        self.assertTrue(self.catalog.apply(later, "test"))
        self.assertFalse(self.catalog.apply(earlier, "test"))
        self.assertEqual(self.in_force.version, 9)

    def test_bundle_with_missing_service_leaves_previous_in_force(self) -> None:
        valid = make_snapshot(1, 1, make_content(self.rng))
        self.catalog.apply(valid, "test")
        routes = (Route("r", "/r/", "nobody", host="h.example"),)
        invalid = make_snapshot(2, 2, BundleContent(SERVICES, routes))
        with self.assertRaises(BundleError):
            self.catalog.apply(invalid, "test")
        self.assertEqual(self.catalog.revision, 1)

    def test_unknown_kinds_of_routes_are_counted_and_logged_once_per_version(
        self,
    ) -> None:
        log = MemoryEventLog()
        catalog = Catalog(InForce(), log)
        routes = tuple(
            Route(f"r-{i}", f"/{i}/", "turnos", unknown_kind="sometimes")
            for i in range(3)
        )
        content = BundleContent(SERVICES, (*make_content(self.rng).routes, *routes))
        snapshot = make_snapshot(4, 2, content)
        catalog.apply(snapshot, "test")
        catalog.apply(snapshot, "test")
        self.assertEqual(catalog.unknown_kind_count, 3)
        events = [e for e in log.events if e.event == "unknown_kinds"]
        self.assertEqual(len(events), 1)
        catalog.apply(make_snapshot(5, 3, make_content(self.rng)), "test")
        self.assertEqual(catalog.unknown_kind_count, 0)

    def test_new_version_costs_what_it_changes(self) -> None:
        """Answers storms of versions with hundreds of idle routes on small VMs."""
        first = make_snapshot(1, 1, make_content(self.rng))
        self.catalog.apply(first, "test")
        routes = {r.name: r for r in self.content_in_force().routes}
        changed = dict(first.items)
        del changed["r/idle-1"]
        changed["r/split"] = changed["r/split"].replace(b"/split/", b"/other/")
        with mock.patch.object(
            validation, "_check_route", wraps=validation._check_route
        ) as check:
            self.catalog.apply(Snapshot(2, 2, changed), "test")
        self.assertEqual(check.call_count, 1)
        after = {r.name: r for r in self.content_in_force().routes}
        self.assertNotIn("idle-1", after)
        self.assertEqual(after["split"].path_prefix, "/other/")
        self.assertIs(after["idle-2"], routes["idle-2"])
        fresh = decode_content(changed)
        self.assertCountEqual(after.values(), fresh.routes)

    def test_invalid_version_is_not_taken_as_checked(self) -> None:
        snapshot = make_snapshot(1, 1, make_content(self.rng))
        self.catalog.apply(snapshot, "test")
        route = Route("bad", "/bad/", "turnos", timeout_ms=0)
        content = BundleContent(SERVICES, (route,))
        for revision in (2, 3):
            with self.assertRaises(BundleError):
                self.catalog.apply(make_snapshot(revision, 2, content), "test")

    def content_in_force(self) -> BundleContent:
        assert self.in_force.bundle is not None
        return self.in_force.bundle.content

    def test_item_that_cannot_be_decoded_leaves_previous_in_force(self) -> None:
        valid = make_snapshot(1, 1, make_content(self.rng))
        self.catalog.apply(valid, "test")
        for item in (b"", b"\xc1", b"\x93\x01\x02\x03", b"\x91" * 5_000):
            items = {**valid.items, "r/split": item}
            with self.subTest(item[:8]), self.assertRaises(BundleError):
                self.catalog.apply(Snapshot(2, 2, items), "test")
        self.assertEqual(self.catalog.revision, 1)
