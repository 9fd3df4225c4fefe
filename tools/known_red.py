"""nose2 plugin that passes over exactly the failures listed in KNOWN-RED.txt."""

from __future__ import annotations

import pathlib

from nose2.events import Plugin

KNOWN_RED_REASON = "known red"
KNOWN_RED_PATH = pathlib.Path("KNOWN-RED.txt")


def read_known_red(path: pathlib.Path = KNOWN_RED_PATH) -> dict[str, str]:
    """Return the listed test ids with the rest of their entries.

    Parameters
    ----------
    path : pathlib.Path
        File with one ``test id | command and seed | seen | issue`` entry a line, by
        default the one in the current directory; nothing is listed without a file.

    Returns
    -------
    dict of str to str
        Entry text by test id.
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
    """Turns a listed failure into an expected one and counts outcomes."""

    configSection = "known-red"
    alwaysOn = True

    def __init__(self) -> None:
        self.entries = read_known_red()
        self.passed = 0
        self.failed = 0
        self.skipped = 0
        self.known: list[str] = []
        self.mended: list[str] = []

    def setTestOutcome(self, event) -> None:
        """Mark a listed failure as expected."""
        test_id = event.test.id().partition(" ")[0]
        if _has_failed(event) and test_id in self.entries:
            event.outcome = "skipped"
            event.reason = KNOWN_RED_REASON
            event.exc_info = None
            self.known.append(test_id)

    def testOutcome(self, event) -> None:
        """Count one outcome."""
        if _has_failed(event):
            self.failed += 1
        elif event.outcome == "passed":
            self.passed += 1
            if event.test.id() in self.entries:
                self.mended.append(event.test.id())
        elif event.outcome == "skipped" and event.reason != KNOWN_RED_REASON:
            self.skipped += 1


def _has_failed(event) -> bool:
    if event.outcome == "subtest":
        return event.exc_info is not None
    return event.outcome in ("failed", "error")
