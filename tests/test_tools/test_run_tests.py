"""The test runner and its exit status."""

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
PASSING = """
    import unittest
    class PassingTest(unittest.TestCase):
        def test_passes(self):
            pass
"""
FAILING = """
    import unittest
    class FailingTest(unittest.TestCase):
        def test_fails(self):
            self.fail("the reason")
"""
FAILING_ID = "tests.test_bad.FailingTest.test_fails"


class RunnerTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = pathlib.Path(directory.name)
        (self.root / "tests").mkdir()
        (self.root / "tests" / "__init__.py").touch()
        config = (ROOT / "unittest.cfg").read_text()
        (self.root / "unittest.cfg").write_text(config)

    def run_with(
        self, bad: str = "", known_red: str = "", passing: bool = True
    ) -> subprocess.CompletedProcess[str]:
        """Run the runner on a passing module and another one."""
        tests = self.root / "tests"
        if passing:
            (tests / "test_good.py").write_text(textwrap.dedent(PASSING))
        if bad:
            # The name of the support module puts it into a process of its own.
            text = textwrap.dedent(bad) + "\n# tests.support.meshes\n"
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

    def last_line(self, done: subprocess.CompletedProcess[str]) -> str:
        return done.stdout.splitlines()[-1]

    def test_passing_tests_end_with_status_0(self) -> None:
        done = self.run_with(PASSING)
        self.assertEqual(self.last_line(done), "2 passed, 0 failed", done.stdout)
        self.assertEqual(done.returncode, 0)

    def test_failing_test_fails_the_run_and_shows_why(self) -> None:
        done = self.run_with(FAILING)
        self.assertEqual(self.last_line(done), "1 passed, 1 failed")
        self.assertEqual(done.returncode, 1)
        self.assertIn("the reason", done.stdout)

    def test_failing_subtest_fails_the_run(self) -> None:
        done = self.run_with("""
            import unittest
            class SubTest(unittest.TestCase):
                def test_some(self):
                    for n in range(3):
                        with self.subTest(n=n):
                            self.assertNotEqual(n, 1)
        """)
        self.assertRegex(self.last_line(done), r", 1 failed$")
        self.assertEqual(done.returncode, 1)

    def test_error_fails_the_run(self) -> None:
        for place in ("setUp", "setUpClass", "tearDown", "test_it"):
            decorator = "@classmethod" if place == "setUpClass" else "# no decorator"
            with self.subTest(place=place):
                done = self.run_with(f"""
                    import unittest
                    class ErrorTest(unittest.TestCase):
                        {decorator}
                        def {place}(self):
                            raise KeyError("broken")
                        def test_other(self):
                            pass
                """)
                self.assertEqual(done.returncode, 1, done.stdout)
                self.assertIn("broken", done.stdout)

    def test_import_error_fails_the_run(self) -> None:
        for bad in ("import there_is_no_such_module", "def (:"):
            with self.subTest(bad=bad):
                done = self.run_with(bad)
                self.assertEqual(done.returncode, 1)
                self.assertRegex(self.last_line(done), r"^1 passed, [1-9]\d* failed$")

    def test_crashed_process_fails_the_run_and_keeps_its_output(self) -> None:
        for call in ("os._exit(0)", "os._exit(3)", "os.kill(os.getpid(), 9)"):
            with self.subTest(call=call):
                done = self.run_with(f"""
                    import os, unittest
                    class CrashTest(unittest.TestCase):
                        def test_crashes(self):
                            print("about to crash", flush=True)
                            {call}
                """)
                self.assertEqual(self.last_line(done), "1 passed, 1 failed")
                self.assertEqual(done.returncode, 1)
                self.assertIn("about to crash", done.stdout)
                self.assertIn("test process failed: tests.test_bad", done.stdout)

    def test_run_without_a_test_fails(self) -> None:
        done = self.run_with("import unittest", passing=False)
        self.assertEqual(self.last_line(done), "0 passed, 0 failed")
        self.assertEqual(done.returncode, 1)

    def test_listed_failure_alone_is_passed_over_and_printed(self) -> None:
        done = self.run_with(FAILING, f"{FAILING_ID} | make test | seen | 2\n")
        self.assertEqual(self.last_line(done), "1 passed, 0 failed", done.stdout)
        self.assertEqual(done.returncode, 0)
        self.assertIn(f"known red: {FAILING_ID}: make test | seen | 2", done.stdout)

    def test_failure_beside_a_listed_one_fails_the_run(self) -> None:
        other = FAILING + "        def test_other(self):\n            self.fail()\n"
        done = self.run_with(other, f"{FAILING_ID} | make test | seen | 2\n")
        self.assertEqual(self.last_line(done), "1 passed, 1 failed", done.stdout)
        self.assertEqual(done.returncode, 1)

    def test_listed_test_that_passes_is_printed(self) -> None:
        done = self.run_with(PASSING, "tests.test_bad.PassingTest.test_passes | x\n")
        self.assertEqual(done.returncode, 0)
        self.assertIn("listed as known red but passed: tests.test_bad", done.stdout)

    def test_skipped_tests_are_counted_aloud(self) -> None:
        done = self.run_with(PASSING.replace("pass\n", "self.skipTest('why')\n"))
        self.assertIn("1 skipped", done.stdout)
        self.assertEqual(self.last_line(done), "1 passed, 0 failed")


class TimeLimitTest(unittest.TestCase):
    def test_process_over_its_time_limit_is_ended_and_counts_as_failed(self) -> None:
        run = run_shard(["tests.test_tools"], timeout_s=0.01)
        self.assertIn("did not end within 0.01 s", run.problem)
        self.assertIsNone(run.result)
