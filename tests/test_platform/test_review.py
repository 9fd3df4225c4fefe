"""Review of a configuration of the platform, and of the command that prints it."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from typing import Any

import trio

from marigoldchute.cmd._program import run_command_line
from marigoldchute.cmd.ctl import CtlCommand
from marigoldchute.errors import ResultCode, SettingsError
from marigoldchute.platform.review import (
    Review,
    make_document,
    read_known_regions,
    review_configuration,
)
from marigoldchute.standins.loopback import LoopbackBlock
from tests.support.documents import DocumentStandIn
from tests.test_platform.test_adapter import make_configuration, make_settings

PORT = 8627


def review(value: Any, in_force: Any = None) -> Review:
    before = None if in_force is None else make_document(in_force)
    return review_configuration(make_document(value), (), before)


def make_customers(*entries: dict[str, Any]) -> dict[str, Any]:
    return {**make_configuration(), "tenants": list(entries)}


class ConfigurationReviewTest(unittest.TestCase):
    def kinds(self, found: Review) -> list[str]:
        return [finding.kind for finding in found.findings]

    def test_clean_configuration(self) -> None:
        self.assertEqual(review(make_configuration()), Review(12, None, ()))

    def test_malformed_configuration_is_an_error(self) -> None:
        for value in ({**make_configuration(), "version": "twelve"}, [], None):
            with self.subTest(value):
                found = review(value, make_configuration())
                self.assertTrue(found.has_errors)
                self.assertEqual(found.findings[0].code, ResultCode.BUNDLE_MALFORMED)

    def test_no_key_is_in_the_findings(self) -> None:
        # Guards against keys in the output, which scripts keep in their logs.
        keys = ["key-of-both", "bad key", 5]
        value = make_customers(
            {"name": "acme", "api_keys": keys},
            {"name": "bolt", "api_keys": keys[:1]},
        )
        found = review(
            value, make_customers({"name": "acme", "api_keys": ["former-key"]})
        )
        self.assertEqual(
            self.kinds(found), ["key-shared", "key-not-sendable", "version-not-higher"]
        )
        for text in ("key-of-both", "bad key", "former-key"):
            self.assertNotIn(text, repr(found))

    def test_values_that_the_decoder_replaces(self) -> None:
        value = make_customers({"name": "acme", "api_keys": ["k"], "rate_per_s": -1})
        value["virtual_hosts"][0]["paths"][0]["max_attempts"] = 50
        value["services"][0]["warmup_per_s"] = -2
        found = review(value)
        expected = ["limit-negative", "limit-negative", "value-replaced"]
        self.assertEqual(self.kinds(found), expected)
        self.assertIn("max_attempts 50 is out of range", found.findings[-1].text)

    def test_malformed_configuration_in_force_is_a_warning(self) -> None:
        # Guards against a correction that cannot be checked because of the fault
        # that it corrects.
        found = review(make_configuration(), {"version": "1"})
        self.assertEqual(self.kinds(found), ["in-force-malformed"])
        self.assertFalse(found.has_errors)

    def test_object_of_the_store_is_unwrapped(self) -> None:
        value = {"metadata": {"name": "main"}, "spec": make_configuration()}
        found = review(make_configuration(), value)
        self.assertEqual(found, Review(12, 12, ()))

    def test_regions_of_the_settings_file(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "node.json"
            path.write_bytes(make_settings(zones={"a": "r", "b": "s"}))
            self.assertEqual(read_known_regions(str(path)), {"r", "s"})
            path.write_bytes(make_settings())
            with self.assertRaises(SettingsError):
                read_known_regions(str(path))


class ConfigCheckCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def write(self, name: str, value: Any) -> str:
        path = self.directory / name
        path.write_text(json.dumps(value))
        return str(path)

    def check(self, *args: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = run_command_line(CtlCommand, ["config", "check", *args])
        return status, out.getvalue(), err.getvalue()

    def test_exit_status_tells_errors_from_warnings(self) -> None:
        clean = self.write("clean.json", make_configuration())
        warned = self.write("warned.json", make_customers({"name": "acme"}))
        wrong = self.write("wrong.json", {**make_configuration(), "services": []})
        for args, expected in (
            ((clean,), 0),
            ((clean, "--against", clean), 0),
            ((warned,), 8),
            ((wrong,), 2),
            ((clean + "x",), 1),
            ((clean, "--against", clean, "--store", "127.0.0.1:1"), 1),
            ((clean, "--store", "nowhere"), 1),
            ((clean, "--store", "127.0.0.1:1"), 3),
        ):
            with self.subTest(args):
                status, out, err = self.check(*args)
                self.assertEqual(status, expected, err)
                self.assertEqual(bool(out), expected in (0, 2, 8))

    def test_text_names_findings_and_changes(self) -> None:
        value = make_customers({"name": "acme", "allowed_regions": ["suoth"]})
        after = self.write("after.json", {**value, "version": "d"})
        before = self.write("before.json", make_configuration())
        _, out, _ = self.check(after, "--against", before, "--region", "south")
        self.assertEqual(
            out.splitlines(),
            [
                "warning [customer-without-keys] customer acme: has no usable key and "
                "no route is public, so its requests are refused",
                "warning [region-unknown] customer acme: allowed regions not known: "
                "suoth",
                "added customer acme",
                "version 13: errors: 0, warnings: 2, changes to version 12: 1",
            ],
        )

    def test_version_in_force_is_read_from_the_store(self) -> None:
        after = {**make_configuration(), "version": "d"}
        after["limits"]["max_body_bytes"] = 20_000
        path = self.write("after.json", after)

        async def main() -> None:
            block = LoopbackBlock()
            address = f"127.{block.number}.200.1"
            standin = DocumentStandIn()
            args = (path, "--store", f"{address}:{PORT}")
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    await nursery.start(standin.serve, address, PORT)
                    status, _, err = await trio.to_thread.run_sync(self.check, *args)
                    self.assertEqual(status, ResultCode.STORE_NOT_FOUND.exit_status)
                    self.assertIn("303 STORE_NOT_FOUND", err)
                    standin.put("config", "main", make_configuration())
                    status, out, err = await trio.to_thread.run_sync(self.check, *args)
                    nursery.cancel_scope.cancel()
            block.release()
            self.assertEqual((status, err), (0, ""))
            expected = [
                "changed limits: body_bytes 67108864 -> 20000",
                "version 13: errors: 0, warnings: 0, changes to version 12: 1",
            ]
            self.assertEqual(out.splitlines(), expected)
            self.assertEqual(set(standin.calls), {"GET /api/objects/config/main"})

        trio.run(main)

    def test_json_has_stable_field_names(self) -> None:
        after = {**make_configuration(), "version": "b"}
        after["limits"]["max_header_bytes"] = 20_000
        before = self.write("before.json", make_configuration())
        status, out, _ = self.check(
            self.write("after.json", after), "--against", before, "--json"
        )
        value = json.loads(out)
        self.assertEqual(status, 8)
        self.assertEqual((value["version"], value["version_in_force"]), (11, 12))
        (finding,) = value["findings"]
        self.assertEqual(
            {key: finding[key] for key in ("severity", "kind", "place", "code")},
            {
                "severity": "warning",
                "kind": "version-not-higher",
                "place": "version",
                "code": 209,
            },
        )
        expected = {
            "subject": "limits",
            "name": "",
            "operation": "changed",
            "field": "head_bytes",
            "before": 16384,
            "after": 20000,
        }
        self.assertEqual(value["changes"], [expected])
