"""Wall clock with a configurable offset, and the clock for delays."""

from __future__ import annotations

import time

from marigoldchute.events import wall_clock_ms


def boottime_ms() -> int:
    """Return the milliseconds of a clock that runs on while the VM is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Clock:
    """Wall clock with an offset, by which tests simulate clock skew.

    Parameters
    ----------
    offset_ms : int
        Milliseconds added to the machine's clock.
    """

    def __init__(self, offset_ms: int = 0) -> None:
        self._offset_ms = offset_ms

    def now_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the epoch."""
        return wall_clock_ms() + self._offset_ms
