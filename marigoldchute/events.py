"""Event log of a process: JSON lines with hybrid logical timestamps."""

from __future__ import annotations

import dataclasses
import sys
import time
from typing import IO, Any

import eliot

from marigoldchute.util.line_writer import LineWriter

COUNTER_BITS = 20


def wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


class HybridClock:
    """Hybrid logical clock after Kulkarni et al., "Logical Physical Clocks" (2014).

    A timestamp, called stamp in the log, holds milliseconds since the epoch in its
    upper bits and a counter in its lower ``COUNTER_BITS`` bits. Stamps order events
    causally even when the wall clocks of two VMs differ.
    """

    def __init__(self) -> None:
        self._last_stamp = 0

    def tick(self, now_ms: int) -> int:
        """Return a stamp later than every stamp returned or observed before."""
        self._last_stamp = max(self._last_stamp + 1, now_ms << COUNTER_BITS)
        return self._last_stamp

    def observe(self, stamp: int) -> None:
        """Advance the clock to a stamp received from another process."""
        self._last_stamp = max(self._last_stamp, stamp)


@dataclasses.dataclass(frozen=True)
class Event:
    """One line of the event log.

    Parameters
    ----------
    stamp : int
        Hybrid logical timestamp.
    wall_ms : int
        Wall-clock time of the process, in milliseconds since the epoch.
    process : str
        Name of the node or program.
    part : str
        Component that logged the event, for example ``moves``.
    event : str
        Event name, for example ``step``.
    text : str
        Short human-readable sentence.
    fields : dict of str to Any
        Additional values, such as ``move``, ``version``, ``member`` or ``code``.
    """

    stamp: int
    wall_ms: int
    process: str
    part: str
    event: str
    text: str
    fields: dict[str, Any]


class EventLog:
    """Writes the events of one process as eliot messages, one JSON object per line.

    Parameters
    ----------
    process : str
        Name written into every event.
    out : file object, optional
        Stream to which the lines are written. The default is standard output, which
        then never blocks the process: when its reader stalls, lines are dropped.
    clock : HybridClock, optional
        Clock, shared with the links of the process.
    """

    def __init__(
        self,
        process: str,
        out: IO[Any] | None = None,
        clock: HybridClock | None = None,
    ) -> None:
        self.process = process
        self.clock = clock if clock is not None else HybridClock()
        self._logger = eliot.Logger()
        self.line_writer = None if out is not None else LineWriter(sys.stdout.fileno())
        eliot.to_file(out if out is not None else self.line_writer)  # type: ignore[arg-type]

    def emit(self, part: str, event: str, text: str, **fields: object) -> None:
        """Log one event.

        Parameters
        ----------
        part : str
            Component that logs the event; it becomes the prefix of the sentence.
        event : str
            Event name.
        text : str
            Short sentence without the prefix.
        **fields : object
            Additional JSON-compatible values.
        """
        now_ms = wall_clock_ms()
        eliot.log_message(
            message_type=f"marigoldchute:{part}:{event}",
            stamp=self.clock.tick(now_ms),
            wall_ms=now_ms,
            process=self.process,
            text=f"{part}: {text}",
            **fields,
        )


class MemoryEventLog:
    """Event log that stores events in memory, for components without a process."""

    def __init__(self, process: str = "") -> None:
        self.process = process
        self.clock = HybridClock()
        self.events: list[Event] = []

    def emit(self, part: str, event: str, text: str, **fields: object) -> None:
        """Store one event."""
        now_ms = wall_clock_ms()
        stamp = self.clock.tick(now_ms)
        self.events.append(
            Event(stamp, now_ms, self.process, part, event, text, dict(fields))
        )
