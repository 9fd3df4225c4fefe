"""Wall clock of a process."""

from __future__ import annotations

from marigoldchute.events import wall_clock_ms


class Clock:
    """Wall clock, with an offset that tests set.

    Parameters
    ----------
    offset_ms : int
        Added to the machine's clock.
    """

    def __init__(self, offset_ms: int = 0) -> None:
        self._offset_ms = offset_ms

    def now_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the epoch."""
        return wall_clock_ms() + self._offset_ms
