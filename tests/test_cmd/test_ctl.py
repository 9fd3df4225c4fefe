"""Operator and node programs, run without a mesh."""

from __future__ import annotations

import contextlib
import io
import json
import os
import pathlib
import socket
import stat
import tempfile
import unittest
from unittest import mock

import msgspec

from marigoldchute.admin.messages import Failure, MemberStatus, MoveStatus, Status
from marigoldchute.cmd._connection import parse_node_address
from marigoldchute.cmd._program import run_command_line
from marigoldchute.cmd._render import render_bar, render_members, render_status
from marigoldchute.cmd.ctl import CtlCommand
from marigoldchute.cmd.node import NodeCommand
from marigoldchute.errors import MarigoldchuteError

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
BUNDLE = str(EXAMPLES / "foundation" / "bundle.json")
NOW_MS = 1_000_000


class ProgramTestCase(unittest.TestCase):
    """Runs programs in the test process, without their environment variables."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        environment = {k: v for k, v in os.environ.items() if "MARIGOLDCHUTE" not in k}
        patch = mock.patch.dict(os.environ, environment, clear=True)
        patch.start()
        self.addCleanup(patch.stop)

    def run_program(
        self, *args: str, command: type = CtlCommand
    ) -> tuple[int, str, str]:
        """Run a command line; return exit status, standard output and error."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = run_command_line(command, list(args))
        return status, out.getvalue(), err.getvalue()

    def write(self, name: str, text: str) -> str:
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def new_key(self) -> str:
        path = str(self.directory / "key.json")
        self.assertEqual(self.run_program("keys", "new", "ops-1", "-o", path)[0], 0)
        return path


class HelpTest(ProgramTestCase):
    def test_help_and_version_exit_with_status_0(self) -> None:
        for args in (["--help"], ["--version"], ["roll", "--help"], ["keys", "-h"]):
            with self.subTest(args=args):
                status, out, err = self.run_program(*args)
                self.assertEqual((status, err), (0, ""))
                self.assertNotEqual(out, "")

    def test_help_shows_every_command_and_an_example(self) -> None:
        out = self.run_program("--help")[1]
        for word in ("keys", "bundle", "roll", "status", "members", "verdict"):
            self.assertIn(word, out)
        self.assertIn("marigoldchute-ctl roll bundle.json --key", out)

    def test_invalid_command_line_exits_with_status_1(self) -> None:
        for args in ([], ["rol"], ["roll"], ["status", "--nod", "x"]):
            with self.subTest(args=args):
                status, _, err = self.run_program(*args)
                self.assertEqual(status, 1)
                self.assertIn("Error", err)


class KeysTest(ProgramTestCase):
    def test_key_file_is_private_to_its_owner_and_never_overwritten(self) -> None:
        path = self.new_key()
        self.assertEqual(stat.S_IMODE(os.stat(path).st_mode), 0o600)
        before = pathlib.Path(path).read_text()
        status, _, err = self.run_program("keys", "new", "ops-1", "-o", path)
        self.assertEqual(status, 1)
        self.assertIn("File exists", err)
        self.assertEqual(pathlib.Path(path).read_text(), before)

    def test_private_key_is_not_printed_if_written_to_a_file(self) -> None:
        path = str(self.directory / "key.json")
        out = self.run_program("keys", "new", "ops-1", "-o", path)[1]
        key = json.loads(pathlib.Path(path).read_text())
        self.assertIn(key["public_key"], out)
        self.assertNotIn(key["private_key"], out)


class BundleTest(ProgramTestCase):
    def test_bundle_is_checked_built_and_signed(self) -> None:
        status, out, _ = self.run_program("bundle", "check", BUNDLE)
        self.assertEqual(status, 0)
        self.assertIn("valid, 5 services, 5 routes, 1 moves", out)
        built = str(self.directory / "built.json")
        signed = str(self.directory / "signed.json")
        args = ["bundle", "build", BUNDLE, "-o", built]
        self.assertEqual(self.run_program(*args)[0], 0)
        args = ["bundle", "sign", built, "-k", self.new_key()]
        args += ["--as-version", "3", "-o", signed]
        self.assertEqual(self.run_program(*args), (0, "", ""))
        self.assertIn("manifest", json.loads(pathlib.Path(signed).read_text()))

    def test_invalid_file_exits_with_class_of_result_code(self) -> None:
        bad_route = '{"services": [], "routes": [{"name": "a", "path_prefix": "/a", '
        cases = [
            ("{", 1, "102 SETTINGS_UNREADABLE"),
            ("[]", 2, "201 BUNDLE_MALFORMED"),
            ('{"services": [], "routs": []}', 2, "did you mean 'routes'?"),
            (bad_route + '"service": "b"}]}', 2, "202 BUNDLE_REFERENCE_MISSING"),
        ]
        for text, expected, message in cases:
            with self.subTest(text=text):
                path = self.write("bad.json", text)
                status, _, err = self.run_program("bundle", "check", path)
                self.assertEqual(status, expected)
                self.assertIn(message, err)
                self.assertIn(path, err)


class ConnectionTest(ProgramTestCase):
    def test_missing_or_invalid_connection_argument_is_reported(self) -> None:
        empty = self.write("empty", "\n")
        node = ["--node", "127.0.0.1"]
        cases = [
            ([], 1, "give --node ADDRESS[:PORT] or set $MARIGOLDCHUTE_NODE"),
            (["--node", "localhost"], 1, "'localhost' is not an IP address"),
            (["--node", "127.0.0.1:0"], 1, "port '0' is not a number from 1 to"),
            (node, 7, "no admin token: give --token-file"),
            ([*node, "-t", "/nowhere"], 1, "token file '/nowhere' cannot be read"),
            ([*node, "-t", empty], 7, "is empty"),
        ]
        for args, expected, text in cases:
            with self.subTest(args=args):
                status, _, err = self.run_program("status", *args)
                self.assertEqual(status, expected)
                self.assertIn(text, err)

    def test_every_command_reads_connection_from_environment(self) -> None:
        os.environ["MARIGOLDCHUTE_NODE"] = "127.0.0.1:1"
        os.environ["MARIGOLDCHUTE_TOKEN"] = "t"
        key = self.new_key()
        commands = [["status"], ["members"], ["verdict", "a"], ["cancel", "a"]]
        for args in [*commands, ["roll", BUNDLE, "--key", key]]:
            with self.subTest(args=args):
                status, _, err = self.run_program(*args)
                self.assertEqual(status, 4)
                self.assertIn("401 PEER_UNREACHABLE", err)
                self.assertIn("127.0.0.1:1 did not respond", err)

    def test_errors_are_printed_as_json_with_json_option(self) -> None:
        err = self.run_program("status", "--node", "x", "--json")[2]
        self.assertEqual(msgspec.json.decode(err, type=Failure).code, 103)

    def test_default_port_is_added_to_address(self) -> None:
        self.assertEqual(parse_node_address("10.0.0.1"), "10.0.0.1:7100")
        self.assertEqual(parse_node_address("10.0.0.1:5"), "10.0.0.1:5")
        for text in ("", "10.0.0", "::1", "10.0.0.1:", "10.0.0.1:99999", "a:1:2"):
            with self.subTest(text=text), self.assertRaises(MarigoldchuteError):
                parse_node_address(text)


class RenderTest(unittest.TestCase):
    def status(self, move: MoveStatus, versions: list[int]) -> str:
        members = tuple(
            MemberStatus(f"vm-{n}", "seoul-a", "seoul", "alive", version, ())
            for n, version in enumerate(versions)
        )
        return render_status(Status("vm-0", 2, 2, members, (move,)), NOW_MS)

    def test_status_shows_convergence_shares_reason_and_time_left(self) -> None:
        move = MoveStatus(
            "m", "s", "under way", "halted: slow", 1, 3, 0.05, 0.25, NOW_MS + 7200
        )
        text = self.status(move, [2, 2, 1, 2])
        self.assertIn("[###############.....]  3/4", text)
        self.assertIn("5% to 25%", text)
        self.assertIn("halted: slow", text)
        self.assertIn("time left  7.2 s", text)

    def test_time_left_is_hidden_if_decided_and_overdue_if_late(self) -> None:
        done = MoveStatus("m", "s", "done", "", 4, 0, 1.0, 1.0, NOW_MS + 7200)
        self.assertNotIn("time left", self.status(done, [2]))
        late = MoveStatus("m", "s", "under way", "", 0, 4, 0.0, 0.0, NOW_MS - 1500)
        self.assertIn("the deadline was 1.5 s ago", self.status(late, [2]))

    def test_bar_is_full_only_if_all_members_are_counted(self) -> None:
        self.assertNotIn(".", render_bar(5, 5))
        self.assertIn(".", render_bar(999, 1000))
        self.assertNotIn("#", render_bar(0, 0))

    def test_members_table_shows_backend_servers(self) -> None:
        members = [MemberStatus("vm-1", "a", "b", "draining", 3, ("turnos@r1",))]
        text = render_members(members)
        self.assertRegex(text, r"vm-1 +a +b +draining +3 +turnos@r1")


class NodeCommandTest(ProgramTestCase):
    def test_check_settings_accepts_valid_file(self) -> None:
        path = str(EXAMPLES / "hanbit" / "settings.json")
        result = self.run_program(path, "--check-settings", command=NodeCommand)
        self.assertEqual(result, (0, f"{path}: settings are valid\n", ""))

    def test_invalid_settings_exit_with_status_1(self) -> None:
        path = self.write("vm.json", '{"name": "a"}')
        status, _, err = self.run_program(path, command=NodeCommand)
        self.assertEqual(status, 1)
        self.assertIn(f"[101 SETTINGS_INVALID] {path}: $: missing required", err)

    def test_port_in_use_or_foreign_address_fails_at_start(self) -> None:
        text = (EXAMPLES / "hanbit" / "settings.json").read_text()
        path = self.write("vm.json", text)
        status, _, err = self.run_program(path, command=NodeCommand)
        self.assertEqual(status, 1)
        self.assertIn("cannot listen on 10.40.1.3:8000: Cannot assign", err)
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            local = text.replace("10.40.1.3", "127.0.0.1")
            local = local.replace('"region"', f'"caller_port": {port}, "region"')
            path = self.write("vm.json", local)
            status, _, err = self.run_program(path, command=NodeCommand)
        self.assertEqual(status, 1)
        self.assertIn(f"$.caller_port: cannot listen on 127.0.0.1:{port}", err)
