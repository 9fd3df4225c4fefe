"""nose2 plugin that tolerates only the test failures listed in KNOWN-RED.txt."""

from __future__ import annotations

import pathlib

from nose2.events import Plugin

KNOWN_RED_REASON = "known red"
KNOWN_RED_PATH = pathlib.Path("KNOWN-RED.txt")


def read_known_red(path: pathlib.Path = KNOWN_RED_PATH) -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id.

    Parameters
    ----------
    path : pathlib.Path
        File with one ``test id | command and seed | result | issue`` entry per line,
        by default the one in the current directory. A missing file has no entries.

    Returns
    -------
    dict of str to str
        Text of the entry after the test id, by test id.
    """
    entries: dict[str, str] = {}
    if not path.exists():
        return entries
    for line in path.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test_id, _, rest = line.partition("|")
        entries[test_id.strip()] = rest.strip()
    return entries


class KnownRed(Plugin):
    """Counts test outcomes and reports listed failures as skipped."""

    configSection = "known-red"
    alwaysOn = True

    def __init__(self) -> None:
        self.entries = read_known_red()
        self.passed = 0
        self.failed = 0
        self.skipped = 0
        self.known_failures: list[str] = []
        self.unexpected_passes: list[str] = []

    def setTestOutcome(self, event) -> None:
        """Change the outcome of a listed failure to skipped."""
        test_id = event.test.id().partition(" ")[0]
        if _has_failed(event) and test_id in self.entries:
            event.outcome = "skipped"
            event.reason = KNOWN_RED_REASON
            event.exc_info = None
            self.known_failures.append(test_id)

    def testOutcome(self, event) -> None:
        """Count the outcome of one test or subtest."""
        if _has_failed(event):
            self.failed += 1
        elif event.outcome == "passed":
            self.passed += 1
            if event.test.id() in self.entries:
                self.unexpected_passes.append(event.test.id())
        elif event.outcome == "skipped" and event.reason != KNOWN_RED_REASON:
            self.skipped += 1


def _has_failed(event) -> bool:
    if event.outcome == "subtest":
        return event.exc_info is not None
    return event.outcome in ("failed", "error")
