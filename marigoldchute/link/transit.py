"""Estimate of the time for which a message was on its way."""

from __future__ import annotations

# The clocks of two nodes drift apart by far less than a millisecond in this time.
BASE_MEMORY_MS = 60_000


class TransitDelay:
    """Delay of the messages of one link beyond the shortest one.

    Each message carries the sender's time. The clocks of two nodes differ by an unknown
    time, which the message with the shortest delay shows best: the difference for each
    later one exceeds it by the time for which it waited, for instance behind the bytes
    of others on a narrow connection. A constant delay is not seen, so the estimate is
    never too long.

    The times are those of clocks that run on while a node is suspended, such as
    ``CLOCK_BOOTTIME``.
    """

    __slots__ = ("_base_ms", "_base_since_ms", "_previous_base_ms")

    def __init__(self) -> None:
        self._base_ms: int | None = None
        self._previous_base_ms: int | None = None
        self._base_since_ms = 0

    def record(self, sent_ms: int, received_ms: int) -> int:
        """Return the delay of a message in milliseconds.

        Parameters
        ----------
        sent_ms : int
            Sender's time at which it was sent.
        received_ms : int
            This node's time at which it was received.
        """
        difference_ms = received_ms - sent_ms
        if self._base_ms is None:
            self._base_ms, self._base_since_ms = difference_ms, received_ms
        elif received_ms - self._base_since_ms >= BASE_MEMORY_MS:
            self._previous_base_ms = self._base_ms
            self._base_ms, self._base_since_ms = difference_ms, received_ms
        else:
            self._base_ms = min(self._base_ms, difference_ms)
        base_ms = self._base_ms
        if self._previous_base_ms is not None:
            base_ms = min(base_ms, self._previous_base_ms)
        return difference_ms - base_ms
