"""Snapshots of bundles, differences between them and the bundle in force."""

from __future__ import annotations

import random
import unittest

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
