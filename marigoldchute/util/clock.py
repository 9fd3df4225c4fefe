"""Wall clock with a configurable offset."""

from __future__ import annotations

from marigoldchute.events import wall_clock_ms


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
