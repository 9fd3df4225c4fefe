"""Tests of parsing and validating the settings of a node."""

from __future__ import annotations

import copy
import pathlib
import tempfile
import unittest
from typing import Any

from marigoldchute.config import load_node_settings, parse_node_settings
from marigoldchute.errors import ResultCode, SettingsError

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
VALID: dict[str, Any] = {
    "name": "turnos-1",
    "address": "10.0.0.1",
    "data_centre": "cartago-norte",
    "region": "cartago",
    "store": {"address": "10.0.0.9", "port": 9000},
    "trusted_keys": [
        {
            "key_id": "ops-1",
            "public_key": "c8Fk6t4vLT5NObeijL5CLvtm/eOC/IDNzyuUICVaiYE=",
        }
    ],
    "seeds": ["10.0.0.2:7000"],
    "peer_secret": "a secret of the peers",
    "admin_token": "a token of operators",
}

# Each entry holds a key path, an invalid value and the expected part of the message.
INVALID: list[tuple[str, Any, str]] = [
    ("name", "", "$.name"),
    ("name", "a b", "$.name"),
    ("address", "localhost", "IP address like 10.1.2.3, found 'localhost'"),
    ("address", "0.0.0.0", "$.address: expected the address of one machine"),
    ("advertise_address", "10.0.0", "$.advertise_address"),
    ("store.port", 0, "$.store.port: expected int >= 1, found 0"),
    ("store.port", 65536, "$.store.port: expected int <= 65535, found 65536"),
    ("store.port", "9000", "$.store.port: expected int, got str"),
    ("store.address", "store.example", "$.store.address"),
    ("store.calls_per_s", 0, "$.store.calls_per_s"),
    ("store.calls_per_s", float("inf"), "$.store.calls_per_s"),
    ("store.timout_ms", 5, "$.store: unknown key 'timout_ms'"),
    ("store.timout_ms", 5, "did you mean 'timeout_ms'?"),
    ("trusted_keys", [], "at least one key"),
    ("trusted_keys.0.public_key", "AAAA", "32 bytes, found 3 bytes"),
    ("trusted_keys.0.public_key", "?", "$.trusted_keys[0].public_key"),
    ("trusted_keys.0.pubic_key", "?", "did you mean 'public_key'?"),
    ("trusted_keys", VALID["trusted_keys"] * 2, "key_id 'ops-1' appears twice"),
    ("seeds", ["10.0.0.2:7000"] * 2, "seed '10.0.0.2:7000' appears twice"),
    ("seeds", ["10.0.0.2"], "$.seeds[0]: expected ADDRESS:PORT"),
    ("seeds", ["10.0.0.2:99999"], "$.seeds[0]: expected a port from 1 to 65535"),
    ("seeds", ["peer:7000"], "$.seeds[0]: expected an IP address"),
    ("peer_secret", "", "$.peer_secret: expected at least 16 characters, found 0"),
    ("admin_token", "short", "$.admin_token: expected at least 16"),
    ("admin_token", VALID["peer_secret"], "must differ from $.peer_secret"),
    ("caller_port", 7000, "'7000' appears twice"),
    ("clock_error_ms", -1, "$.clock_error_ms: expected int >= 0, found -1"),
    ("clock_error_ms", 1.5, "$.clock_error_ms: expected int, got float"),
    ("heartbeat_ms", 1, "$.heartbeat_ms"),
    ("heartbeat_s", 1, "unknown key 'heartbeat_s'; did you mean 'heartbeat_ms'?"),
]


def replace_value(path: str, value: Any) -> dict[str, Any]:
    """Return a copy of the valid settings with one value replaced."""
    changed = copy.deepcopy(VALID)
    *parents, last = path.split(".")
    container: Any = changed
    for key in parents:
        container = (
            container[int(key)] if isinstance(container, list) else container[key]
        )
    container[last] = value
    return changed


class SettingsTest(unittest.TestCase):
    def test_valid_settings_are_parsed(self) -> None:
        cfg = parse_node_settings(VALID, "vm.json")
        self.assertEqual(cfg.store.port, 9000)
        self.assertEqual(cfg.trusted_keys[0].key_id, "ops-1")

    def test_error_names_the_file_the_key_and_the_expected_value(self) -> None:
        for path, value, text in INVALID:
            with self.subTest(path=path, value=value):
                with self.assertRaises(SettingsError) as caught:
                    parse_node_settings(replace_value(path, value), "vm.json")
                self.assertIn(text, caught.exception.message)
                self.assertTrue(caught.exception.message.startswith("vm.json: $"))
                self.assertIs(caught.exception.code, ResultCode.SETTINGS_INVALID)

    def test_each_missing_required_key_is_rejected(self) -> None:
        optional = {"seeds"}
        for key in VALID.keys() - optional:
            with self.subTest(key=key), self.assertRaises(SettingsError) as caught:
                parse_node_settings(
                    {k: v for k, v in VALID.items() if k != key}, "vm.json"
                )
            self.assertIn(key, caught.exception.message)

    def test_settings_that_are_not_an_object_are_rejected(self) -> None:
        for value in (None, [], "x", 5):
            with self.subTest(value=value), self.assertRaises(SettingsError):
                parse_node_settings(value, "vm.json")

    def test_error_does_not_contain_a_secret(self) -> None:
        with self.assertRaises(SettingsError) as caught:
            parse_node_settings(replace_value("peer_secret", "pa55word"), "vm.json")
        self.assertNotIn("pa55word", caught.exception.message)


class SettingsFileTest(unittest.TestCase):
    def _load(self, data: bytes) -> None:
        with tempfile.NamedTemporaryFile(suffix=".json") as file:
            file.write(data)
            file.flush()
            load_node_settings(file.name)

    def test_invalid_files_are_rejected_with_the_cause(self) -> None:
        cases = {
            b'{\n  "name" 1}': "line 2",
            b'{"name": "a",\n "name": "b"}': "duplicate key",
            b'{"name": "a", // x\n "name": "b"}': "uplicate key",
            b"\xff\xfe": "not UTF-8",
            b"": "",
        }
        for data, text in cases.items():
            with self.subTest(data=data):
                with self.assertRaises(SettingsError) as caught:
                    self._load(data)
                self.assertIn(text, caught.exception.message)
                self.assertIs(caught.exception.code, ResultCode.SETTINGS_UNREADABLE)

    def test_error_for_a_missing_file_names_it(self) -> None:
        with self.assertRaises(SettingsError) as caught:
            load_node_settings("/nowhere/vm.json")
        self.assertIn("/nowhere/vm.json: No such file", caught.exception.message)


class ExampleTest(unittest.TestCase):
    def test_example_settings_of_each_deployment_are_valid(self) -> None:
        data_centres = {"foundation": "cartago-norte", "hanbit": "busan-a"}
        for name, data_centre in data_centres.items():
            with self.subTest(name=name):
                cfg = load_node_settings(str(EXAMPLES / name / "settings.json"))
                self.assertEqual(cfg.data_centre, data_centre)
