"""Entry point of a node on the platform."""

from __future__ import annotations

import os
import signal
import sys


def main() -> int:
    """Run the node until it is stopped by a signal; return the exit status."""
    # The default action would end the process while its modules are loaded. The
    # settings are read after that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from marigoldchute.platform import process

    return process.main()


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # The interpreter would free all objects first, which takes long on a busy machine.
    os._exit(status)
