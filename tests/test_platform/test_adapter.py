"""Decoding of the platform's settings, configuration and orders."""

from __future__ import annotations

import json
import pathlib
import unittest
from typing import Any

from marigoldchute.bundle.customer_keys import digest_key
from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.limits import MAX_ATTEMPTS, MAX_PRIORITY, MAX_TIMEOUT_MS
from marigoldchute.bundle.validation import validate_content
from marigoldchute.errors import BundleError, MoveError, ResultCode, SettingsError
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.catalog import Catalog, decode_content, make_snapshot
from marigoldchute.objectstore.documents import Document
from marigoldchute.orders.model import OrderStage
from marigoldchute.platform.bundle import PlatformBundleApi
from marigoldchute.platform.orders import PlatformOrderApi
from marigoldchute.platform.settings import parse_settings

ROOT = pathlib.Path(__file__).parents[2]


def make_settings(**changes: Any) -> bytes:
    value: dict[str, Any] = {
        "node": "vm-1",
        "ip": "10.1.0.41",
        "zone": "a",
        "region": "r",
        "listen": {
            "inbound": "10.1.0.41:8624",
            "outbound": "10.1.0.41:8629",
            "ready": "10.1.0.41:8625",
            "control": "10.1.0.41:8620",
        },
        "internal_port_range": [7600, 7615],
        "heartbeat_ms": 1500,
        "bounds": ["retry_ratio=0.3", "fenced=false", "grace_s=9"],
        "app_addr": "10.1.0.41:8628",
        "service": "turnos",
        "platform": {"address": "10.200.1.7:8627", "form": "objects"},
        "something_new": {"a": 1},
    }
    value.update(changes)
    return json.dumps(value).encode()


class SettingsTest(unittest.TestCase):
    def test_settings_are_decoded_and_unknown_fields_are_ignored(self) -> None:
        cfg = parse_settings(make_settings(), "f")
        self.assertEqual((cfg.callers.port, cfg.backend.port), (8629, 8628))
        self.assertEqual((cfg.bounds.retry_share, cfg.bounds.grace_s), (0.3, 9.0))
        self.assertEqual((cfg.store.address, cfg.store.port), ("10.200.1.7", 8627))

    def test_rate_of_the_connection_is_optional(self) -> None:
        # Guards against a node that does not start for a value that it can do without.
        for limits, expected in (
            ({"link_mbps": 100.0}, 100.0),
            ({"link_mbps": 5}, 5.0),
            ({"link_mbps": "wide"}, 0.0),
            ({"link_mbps": -1}, 0.0),
            ({}, 0.0),
            (None, 0.0),
            (7, 0.0),
        ):
            with self.subTest(limits=limits):
                cfg = parse_settings(make_settings(limits=limits), "f")
                self.assertEqual(cfg.link_mbps, expected)

    def test_bounds_and_limits_of_access_are_decoded(self) -> None:
        bounds = ["evacuate_ms=5000", "warmup_overshoot=1.5", "quota_slack=20"]
        limits = {"memory_mb": 200, "max_fds": 4100}
        zones = {"a": "r", "b": 5}
        cfg = parse_settings(
            make_settings(bounds=bounds, limits=limits, zones=zones), "f"
        )
        self.assertEqual(cfg.bounds.evacuation_s, 5.0)
        self.assertEqual(cfg.bounds.warmup_overshoot, 1.5)
        self.assertEqual(cfg.bounds.quota_slack, 20.0)
        self.assertEqual((cfg.memory_mb, cfg.max_descriptors), (200.0, 4100))
        self.assertEqual(cfg.region_by_data_centre, {"a": "r"})
        self.assertEqual(parse_settings(make_settings(), "f").bounds.evacuation_s, 0.0)

    def test_invalid_settings_raise_an_error_with_its_code(self) -> None:
        cases = [b"{", make_settings(app_addr="nowhere"), make_settings(listen={})]
        cases += [make_settings(internal_port_range=[1]), make_settings(node=5)]
        for data in cases:
            with self.subTest(data[:60]), self.assertRaises(SettingsError) as caught:
                parse_settings(data, "node.json")
            self.assertTrue(str(caught.exception).startswith("[101 SETTINGS_INVALID]"))


def make_configuration() -> dict[str, Any]:
    path = {
        "name": "r-1",
        "path_prefix": "/a/",
        "route_kind": "non_idempotent",
        "timeout_ms": 1500,
        "target_latency_ms": 800,
        "priority": 1,
        "service": "turnos",
        "max_attempts": 2,
    }
    split = {**path, "name": "r-2", "path_prefix": "/a/b/", "route_kind": "idempotent"}
    del split["service"]
    split["weighted_services"] = [
        {"service": "turnos", "weight": 90},
        {"service": "reservas", "weight": 10},
    ]
    service = {"health_path": "/health", "max_connections": 110, "protocol": "h1"}
    return {
        "version": "0000000c",
        "base_version": "00000005",
        "services": [{"name": n, **service} for n in ("turnos", "reservas")],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "virtual_hosts": [{"host": "h.example", "paths": [path, split]}],
    }


class ConfigurationTest(unittest.TestCase):
    def decode(self, value: Any) -> Any:
        return PlatformBundleApi().decode(Document("config", "main", 8, value))

    def test_routes_keep_their_kind_weights_and_times(self) -> None:
        version, content = self.decode(make_configuration())
        self.assertEqual(version, 12)
        single, split = content.routes
        self.assertFalse(single.repeatable)
        self.assertEqual((single.timeout_ms, single.objective_ms), (1500, 800))
        self.assertTrue(split.repeatable)
        self.assertEqual([part.weight for part in split.parts], [90, 10])
        self.assertEqual(content.limits.idle_timeout_ms, 15000)
        self.assertEqual(content.services[0].max_connections, 110)

    def test_malformed_configuration_is_rejected(self) -> None:
        for change in (
            {"version": "twelve"},
            {"virtual_hosts": [{"host": "h", "paths": [{"name": "r"}]}]},
            {"services": None},
        ):
            with self.subTest(change), self.assertRaises(BundleError):
                self.decode({**make_configuration(), **change})

    def test_routes_of_two_hosts_may_have_the_same_name(self) -> None:
        # Guards against an added route that replaces one of another host.
        value = make_configuration()
        host = value["virtual_hosts"][0]
        value["virtual_hosts"].append({**host, "host": "other.example"})
        self.assertEqual(
            self.put_in_force(value),
            {(h, p) for h in ("h.example", "other.example") for p in ("/a/", "/a/b/")},
        )

    def test_name_of_a_route_does_not_cost_the_bundle(self) -> None:
        # Guards against nodes that keep an old version for a name of the operator.
        for name in ("a b", "x" * 200, "", "routes/lookup", "조회"):
            with self.subTest(name=name):
                value = make_configuration()
                value["virtual_hosts"][0]["paths"][0]["name"] = name
                expected = {("h.example", "/a/"), ("h.example", "/a/b/")}
                self.assertEqual(self.put_in_force(value), expected)

    def put_in_force(self, value: Any) -> set[tuple[str, str]]:
        """Return host and prefix of the routes in force from a configuration."""
        in_force = InForce()
        log: Any = MemoryEventLog()
        version, content = self.decode(value)
        Catalog(in_force, log).apply(make_snapshot(8, version, content), "the store")
        bundle = in_force.bundle
        routes = bundle.content.routes if bundle is not None else ()
        return {(route.host, route.path_prefix) for route in routes}

    def test_downloads_are_repeatable(self) -> None:
        value = make_configuration()
        value["virtual_hosts"][0]["paths"][0]["route_kind"] = "download"
        _, content = self.decode(value)
        self.assertTrue(content.routes[0].repeatable)

    def test_unknown_kind_of_route_is_executed_once_and_costs_no_other_route(
        self,
    ) -> None:
        """Answers a configuration whose new kind made every node refuse all of it."""
        value = make_configuration()
        value["virtual_hosts"][0]["paths"][1]["route_kind"] = "sometimes"
        _, content = self.decode(value)
        known, unknown = content.routes
        self.assertEqual((known.repeatable, known.unknown_kind), (False, ""))
        self.assertEqual(
            (unknown.repeatable, unknown.unknown_kind), (False, "sometimes")
        )

    def test_values_beyond_the_limits_of_this_build_are_reduced_to_them(self) -> None:
        value = make_configuration()
        value["virtual_hosts"][0]["paths"][0] |= {
            "priority": 7,
            "max_attempts": 1000,
            "timeout_ms": 10**9,
            "target_latency_ms": -5,
        }
        _, content = self.decode(value)
        validate_content(content, names_releases=False)
        route = content.routes[0]
        self.assertEqual(
            (route.priority, route.max_attempts, route.timeout_ms, route.objective_ms),
            (MAX_PRIORITY, MAX_ATTEMPTS, MAX_TIMEOUT_MS, 0),
        )

    def test_access_and_warmup_are_decoded(self) -> None:
        # Guards against a node that serves a customer without its limits, or that
        # keeps a key.
        configuration = make_configuration()
        configuration["services"][0] |= {"warmup_s": 3.0, "warmup_per_s": 8.0}
        path = configuration["virtual_hosts"][0]["paths"][0]
        path |= {"allowed_regions": ["east"], "public": True}
        configuration["tenants"] = [
            {
                "name": "shop",
                "api_keys": ["secret-key"],
                "priority": 2,
                "rate_per_s": 316,
                "burst": 20,
            },
            {"name": "free"},
        ]
        content = self.decode(configuration)[1]
        self.assertEqual(content.services[0].warmup_requests_per_s, 8.0)
        self.assertEqual(content.routes[0].regions, ("east",))
        self.assertTrue(content.routes[0].is_public)
        shop, free = content.customers
        self.assertEqual(shop.key_digests, (digest_key(b"secret-key"),))
        self.assertNotIn("secret", repr(shop))
        self.assertEqual((shop.priority, shop.rate_per_s, shop.burst), (2, 316, 20))
        self.assertEqual((free.priority, free.rate_per_s, free.regions), (None, 0, ()))
        snapshot = make_snapshot(1, 1, content)
        self.assertEqual(decode_content(snapshot.items), content)

    def test_odd_keys_are_left_out(self) -> None:
        """One of them must not make the configuration of all customers malformed."""
        value = make_configuration()
        keys = ["good", "", "a b", "a\tb", "ä", "\ud800", 7, None, ["x"], "good"]
        value["tenants"] = [{"name": "shop", "api_keys": keys}]
        (shop,) = self.decode(value)[1].customers
        self.assertEqual(shop.key_digests, (digest_key(b"good"),))

    def test_customers_of_one_name_are_refused(self) -> None:
        """Of two items of one name only one would be left in a snapshot."""
        value = make_configuration()
        value["tenants"] = [{"name": "shop"}, {"name": "shop"}]
        with self.assertRaises(BundleError) as caught:
            self.decode(value)
        code = ResultCode.BUNDLE_DUPLICATE_NAME
        self.assertEqual(caught.exception.code, code)

    def test_route_without_a_service_is_malformed(self) -> None:
        value = make_configuration()
        del value["virtual_hosts"][0]["paths"][0]["service"]
        with self.assertRaises(BundleError):
            self.decode(value)


class OrderTest(unittest.TestCase):
    def decode(self, spec: Any, status: Any) -> Any:
        api = PlatformOrderApi(None)  # type: ignore[arg-type]
        return api.decode(Document("rollouts", "turnos", 8, spec, status))

    def test_status_applies_only_to_its_own_target(self) -> None:
        spec = {"service": "turnos", "target_version": "v3", "duration_s": 16}
        done = {"state": "succeeded", "target_version": "v3"}
        self.assertEqual(self.decode(spec, done).stage, OrderStage.DONE)
        back = {"state": "rolled_back", "target_version": "v2", "rejected": ["v0"]}
        order = self.decode(spec, back)
        self.assertEqual(order.stage, OrderStage.WAITING)
        self.assertEqual(order.rejected, ("v0", "v2"))

    def test_status_of_another_writer_is_no_verdict(self) -> None:
        spec = {"service": "turnos", "target_version": "v3", "duration_s": 16}
        for status in (
            None,
            "?",
            {"state": 5},
            {"state": "odd", "target_version": "v3"},
        ):
            with self.subTest(status):
                self.assertEqual(self.decode(spec, status).stage, OrderStage.WAITING)

    def test_malformed_order_is_rejected(self) -> None:
        spec = {"service": "turnos", "target_version": "v3", "duration_s": 16}
        nested: list[Any] = []
        for _ in range(5_000):
            nested = [nested]
        odd_specs = (
            {"service": "turnos"},
            {**spec, "service": "reservas"},
            {**spec, "duration_s": 0},
            {**spec, "duration_s": -3.0},
            {**spec, "duration_s": 1e300},
            {**spec, "duration_s": "nan"},
            {**spec, "target_version": nested},
            nested,
            None,
        )
        for index, odd in enumerate(odd_specs):
            with self.subTest(index), self.assertRaises(MoveError):
                self.decode(odd, None)

    def test_deeply_nested_status_is_no_verdict(self) -> None:
        spec = {"service": "turnos", "target_version": "v3", "duration_s": 16}
        nested: list[Any] = []
        for _ in range(5_000):
            nested = [nested]
        status = {"state": "succeeded", "target_version": "v3", "rejected": [nested]}
        self.assertEqual(self.decode(spec, status).stage, OrderStage.WAITING)


class BoundaryTest(unittest.TestCase):
    """Platform names occur only in the adapter; all requirements are the project's."""

    def test_platform_names_are_used_only_in_the_adapter(self) -> None:
        names = ("Attempt-Id", "attempt-id", "virtual_hosts", "weighted_services")
        names += (
            "Expected-Instance",
            "expected-instance",
            "path_prefix_",
            "rolled_back",
        )
        names += ("allow_stale", "api/objects", "MARIGOLDCHUTE_BOOT")
        for path in (ROOT / "marigoldchute").rglob("*.py"):
            if path.parent.name == "platform":
                continue
            text = path.read_text(encoding="utf-8")
            for name in names:
                self.assertNotIn(name, text, path.name)

    def test_required_libraries_are_those_of_the_project(self) -> None:
        project = (ROOT / "pyproject.toml").read_text(encoding="utf-8")
        for line in (ROOT / "requirements.txt").read_text().splitlines():
            if line and not line.startswith("#"):
                self.assertIn(f'"{line}"', project)
