"""Tests of the test runner: exit status, summary and known failures."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
import tempfile
import textwrap
import unittest

from tools.run_tests import run_shard

ROOT = pathlib.Path(__file__).parents[2]
PASSING_MODULE = """
    import unittest
    class PassingTest(unittest.TestCase):
        def test_passes(self):
            pass
"""
FAILING_MODULE = """
    import unittest
    class FailingTest(unittest.TestCase):
        def test_fails(self):
            self.fail("the reason")
"""
FAILING_TEST_ID = "tests.test_bad.FailingTest.test_fails"


class RunnerTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = pathlib.Path(directory.name)
        (self.root / "tests").mkdir()
        (self.root / "tests" / "__init__.py").touch()
        config = (ROOT / "unittest.cfg").read_text()
        (self.root / "unittest.cfg").write_text(config)

    def run_runner(
        self, second_module: str = "", known_red: str = "", with_passing: bool = True
    ) -> subprocess.CompletedProcess[str]:
        """Run the test runner on a passing module and an optional second one."""
        tests = self.root / "tests"
        if with_passing:
            (tests / "test_good.py").write_text(textwrap.dedent(PASSING_MODULE))
        if second_module:
            # A module that mentions a mesh support module gets its own process.
            text = textwrap.dedent(second_module) + "\n# tests.support.meshes\n"
            (tests / "test_bad.py").write_text(text)
        if known_red:
            (self.root / "KNOWN-RED.txt").write_text(known_red)
        return subprocess.run(
            [sys.executable, "-m", "tools.run_tests"],
            cwd=self.root,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            check=False,
        )

    def last_line(self, completed: subprocess.CompletedProcess[str]) -> str:
        return completed.stdout.splitlines()[-1]

    def test_passing_tests_exit_with_status_0(self) -> None:
        completed = self.run_runner(PASSING_MODULE)
        self.assertEqual(
            self.last_line(completed), "2 passed, 0 failed", completed.stdout
        )
        self.assertEqual(completed.returncode, 0)

    def test_failing_test_fails_the_run_and_prints_its_message(self) -> None:
        completed = self.run_runner(FAILING_MODULE)
        self.assertEqual(self.last_line(completed), "1 passed, 1 failed")
        self.assertEqual(completed.returncode, 1)
        self.assertIn("the reason", completed.stdout)

    def test_failing_subtest_fails_the_run(self) -> None:
        completed = self.run_runner("""
            import unittest
            class SubTest(unittest.TestCase):
                def test_some(self):
                    for n in range(3):
                        with self.subTest(n=n):
                            self.assertNotEqual(n, 1)
        """)
        self.assertRegex(self.last_line(completed), r", 1 failed$")
        self.assertEqual(completed.returncode, 1)

    def test_error_fails_the_run(self) -> None:
        for method in ("setUp", "setUpClass", "tearDown", "test_it"):
            decorator = "@classmethod" if method == "setUpClass" else "# no decorator"
            with self.subTest(method=method):
                completed = self.run_runner(f"""
                    import unittest
                    class ErrorTest(unittest.TestCase):
                        {decorator}
                        def {method}(self):
                            raise KeyError("broken")
                        def test_other(self):
                            pass
                """)
                self.assertEqual(completed.returncode, 1, completed.stdout)
                self.assertIn("broken", completed.stdout)

    def test_import_error_fails_the_run(self) -> None:
        for source in ("import there_is_no_such_module", "def (:"):
            with self.subTest(source=source):
                completed = self.run_runner(source)
                self.assertEqual(completed.returncode, 1)
                self.assertRegex(
                    self.last_line(completed), r"^1 passed, [1-9]\d* failed$"
                )

    def test_crashed_process_fails_the_run_and_prints_its_output(self) -> None:
        for call in ("os._exit(0)", "os._exit(3)", "os.kill(os.getpid(), 9)"):
            with self.subTest(call=call):
                completed = self.run_runner(f"""
                    import os, unittest
                    class CrashTest(unittest.TestCase):
                        def test_crashes(self):
                            print("about to crash", flush=True)
                            {call}
                """)
                self.assertEqual(self.last_line(completed), "1 passed, 1 failed")
                self.assertEqual(completed.returncode, 1)
                self.assertIn("about to crash", completed.stdout)
                self.assertIn("test process failed: tests.test_bad", completed.stdout)

    def test_run_without_a_test_fails(self) -> None:
        completed = self.run_runner("import unittest", with_passing=False)
        self.assertEqual(self.last_line(completed), "0 passed, 0 failed")
        self.assertEqual(completed.returncode, 1)

    def test_known_failure_is_printed_and_does_not_fail_the_run(self) -> None:
        completed = self.run_runner(
            FAILING_MODULE, f"{FAILING_TEST_ID} | make test | seen | 2\n"
        )
        self.assertEqual(
            self.last_line(completed), "1 passed, 0 failed", completed.stdout
        )
        self.assertEqual(completed.returncode, 0)
        self.assertIn(
            f"known red: {FAILING_TEST_ID}: make test | seen | 2", completed.stdout
        )

    def test_unlisted_failure_fails_the_run_despite_a_known_one(self) -> None:
        other = (
            FAILING_MODULE + "        def test_other(self):\n            self.fail()\n"
        )
        completed = self.run_runner(
            other, f"{FAILING_TEST_ID} | make test | seen | 2\n"
        )
        self.assertEqual(
            self.last_line(completed), "1 passed, 1 failed", completed.stdout
        )
        self.assertEqual(completed.returncode, 1)

    def test_known_failure_that_passes_is_printed(self) -> None:
        completed = self.run_runner(
            PASSING_MODULE, "tests.test_bad.PassingTest.test_passes | x\n"
        )
        self.assertEqual(completed.returncode, 0)
        self.assertIn(
            "listed as known red but passed: tests.test_bad", completed.stdout
        )

    def test_skipped_tests_are_printed_and_not_counted_as_passed(self) -> None:
        completed = self.run_runner(
            PASSING_MODULE.replace("pass\n", "self.skipTest('why')\n")
        )
        self.assertIn("1 skipped", completed.stdout)
        self.assertEqual(self.last_line(completed), "1 passed, 0 failed")


class TimeoutTest(unittest.TestCase):
    def test_process_that_exceeds_its_timeout_fails_without_a_result(self) -> None:
        run = run_shard(["tests.test_tools"], timeout_s=0.01)
        self.assertIn("did not end within 0.01 s", run.process_error)
        self.assertIsNone(run.result)
