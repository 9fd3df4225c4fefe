"""Runs every test with nose2; exit status 1 when one failed or none ran."""

from __future__ import annotations

import sys

import nose2

from tools.known_red import KnownRed


def main() -> int:
    """Run the tests named on the command line, or all of them.

    Returns
    -------
    int
        Process exit status.
    """
    program = nose2.main(module=None, exit=False)
    counts = next(p for p in program.session.plugins if isinstance(p, KnownRed))
    sys.stderr.flush()
    counts.print_summary()
    return 0 if counts.passed > 0 and counts.failed == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
