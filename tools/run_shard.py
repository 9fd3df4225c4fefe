"""Runs test modules in this process and writes their result to a JSON file."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import sys

import nose2

from tools.known_red import KnownRed


@dataclasses.dataclass(frozen=True)
class ShardResult:
    """Result of the tests of one process.

    Parameters
    ----------
    passed, failed, skipped : int
        Numbers of tests; a failed subtest counts as a failed test.
    known, mended : tuple of str
        Ids of known-red tests that failed, and of known-red tests that passed.
    """

    passed: int = 0
    failed: int = 0
    skipped: int = 0
    known: tuple[str, ...] = ()
    mended: tuple[str, ...] = ()


def read_result(path: pathlib.Path) -> ShardResult | None:
    """Return the result that a process wrote, or None if it is missing or invalid."""
    try:
        values = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return None
    values["known"] = tuple(values["known"])
    values["mended"] = tuple(values["mended"])
    return ShardResult(**values)


def main() -> None:
    """Run the modules given on the command line after the result file."""
    path, *names = sys.argv[1:]
    program = nose2.main(module=None, exit=False, argv=["nose2", *names])
    plugin = next(p for p in program.session.plugins if isinstance(p, KnownRed))
    result = ShardResult(
        plugin.passed,
        plugin.failed,
        plugin.skipped,
        tuple(plugin.known_failures),
        tuple(plugin.unexpected_passes),
    )
    text = json.dumps(dataclasses.asdict(result))
    pathlib.Path(path).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
