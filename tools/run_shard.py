"""Runs some test modules in this process and writes what they came to."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import sys

import nose2

from tools.known_red import KnownRed


@dataclasses.dataclass(frozen=True)
class ShardResult:
    """Outcome of the tests of one process.

    Parameters
    ----------
    passed, failed, skipped : int
        Numbers of tests; a failed subtest counts as a failed test.
    known, mended : tuple of str
        Ids listed as known red that failed and that passed.
    """

    passed: int = 0
    failed: int = 0
    skipped: int = 0
    known: tuple[str, ...] = ()
    mended: tuple[str, ...] = ()


def read_result(path: pathlib.Path) -> ShardResult | None:
    """Return the result that a process wrote, or None when it wrote none."""
    try:
        values = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return None
    values["known"] = tuple(values["known"])
    values["mended"] = tuple(values["mended"])
    return ShardResult(**values)


def main() -> None:
    """Run the modules named after the result file on the command line."""
    path, *names = sys.argv[1:]
    program = nose2.main(module=None, exit=False, argv=["nose2", *names])
    counts = next(p for p in program.session.plugins if isinstance(p, KnownRed))
    result = ShardResult(
        counts.passed,
        counts.failed,
        counts.skipped,
        tuple(counts.known),
        tuple(counts.mended),
    )
    text = json.dumps(dataclasses.asdict(result))
    pathlib.Path(path).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
