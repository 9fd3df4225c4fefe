"""Settings of a node."""

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

# Key path, value and what the message must say.
REFUSED: list[tuple[str, Any, str]] = [
    ("name", "", "$.name"),
    ("name", "a b", "$.name"),
    ("address", "localhost", "IP number like 10.1.2.3, found 'localhost'"),
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
    ("trusted_keys", VALID["trusted_keys"] * 2, "key_id 'ops-1' stands twice"),
    ("seeds", ["10.0.0.2:7000"] * 2, "seed '10.0.0.2:7000' stands twice"),
    ("seeds", ["10.0.0.2"], "$.seeds[0]: expected ADDRESS:PORT"),
    ("seeds", ["10.0.0.2:99999"], "$.seeds[0]: expected a port from 1 to 65535"),
    ("seeds", ["peer:7000"], "$.seeds[0]: expected an IP number"),
    ("peer_secret", "", "$.peer_secret: expected at least 16 characters, found 0"),
    ("admin_token", "short", "$.admin_token: expected at least 16"),
    ("admin_token", VALID["peer_secret"], "must differ from $.peer_secret"),
    ("caller_port", 7000, "'7000' stands twice"),
    ("clock_error_ms", -1, "$.clock_error_ms: expected int >= 0, found -1"),
    ("clock_error_ms", 1.5, "$.clock_error_ms: expected int, got float"),
    ("heartbeat_ms", 1, "$.heartbeat_ms"),
    ("heartbeat_s", 1, "unknown key 'heartbeat_s'; did you mean 'heartbeat_ms'?"),
]


def change(path: str, value: Any) -> dict[str, Any]:
    """Return the valid settings with one value replaced."""
    changed = copy.deepcopy(VALID)
    *parents, last = path.split(".")
    place: Any = changed
    for key in parents:
        place = place[int(key)] if isinstance(place, list) else place[key]
    place[last] = value
    return changed


class SettingsTest(unittest.TestCase):
    def test_valid_settings_are_taken(self) -> None:
        cfg = parse_node_settings(VALID, "vm.json")
        self.assertEqual(cfg.store.port, 9000)
        self.assertEqual(cfg.trusted_keys[0].key_id, "ops-1")

    def test_refusal_names_file_place_finding_and_what_is_allowed(self) -> None:
        for path, value, text in REFUSED:
            with self.subTest(path=path, value=value):
                with self.assertRaises(SettingsError) as caught:
                    parse_node_settings(change(path, value), "vm.json")
                self.assertIn(text, caught.exception.message)
                self.assertTrue(caught.exception.message.startswith("vm.json: $"))
                self.assertIs(caught.exception.code, ResultCode.SETTINGS_INVALID)

    def test_each_missing_key_without_a_default_is_refused(self) -> None:
        optional = {"seeds"}
        for key in VALID.keys() - optional:
            with self.subTest(key=key), self.assertRaises(SettingsError) as caught:
                parse_node_settings(
                    {k: v for k, v in VALID.items() if k != key}, "vm.json"
                )
            self.assertIn(key, caught.exception.message)

    def test_value_of_another_type_is_refused(self) -> None:
        for value in (None, [], "x", 5):
            with self.subTest(value=value), self.assertRaises(SettingsError):
                parse_node_settings(value, "vm.json")

    def test_message_does_not_show_a_secret(self) -> None:
        with self.assertRaises(SettingsError) as caught:
            parse_node_settings(change("peer_secret", "pa55word"), "vm.json")
        self.assertNotIn("pa55word", caught.exception.message)


class SettingsFileTest(unittest.TestCase):
    def _load(self, data: bytes) -> None:
        with tempfile.NamedTemporaryFile(suffix=".json") as file:
            file.write(data)
            file.flush()
            load_node_settings(file.name)

    def test_unreadable_files_are_refused_with_their_line(self) -> None:
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

    def test_missing_file_is_refused_by_name(self) -> None:
        with self.assertRaises(SettingsError) as caught:
            load_node_settings("/nowhere/vm.json")
        self.assertIn("/nowhere/vm.json: No such file", caught.exception.message)


class ExampleTest(unittest.TestCase):
    def test_settings_of_each_deployment_are_valid(self) -> None:
        centres = {"foundation": "cartago-norte", "hanbit": "busan-a"}
        for name, centre in centres.items():
            with self.subTest(name=name):
                cfg = load_node_settings(str(EXAMPLES / name / "settings.json"))
                self.assertEqual(cfg.data_centre, centre)
