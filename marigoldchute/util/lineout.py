"""Standard output that never blocks the process that writes to it."""

from __future__ import annotations

import collections
import os
import select

MAX_HELD_BYTES = 1_000_000
WRITE_BYTES = 4_096  # A pipe that is writable takes this much without blocking.


class LineOut:
    """Writes lines to a descriptor as far as its reader keeps up.

    Lines that cannot be written yet are held. When more than ``MAX_HELD_BYTES`` are
    held, the oldest ones are dropped, and counted.

    Parameters
    ----------
    fd : int
        Descriptor of a pipe, file or terminal.
    max_held_bytes : int
        Bytes that are held for a reader that stands still.
    """

    def __init__(self, fd: int, max_held_bytes: int = MAX_HELD_BYTES) -> None:
        self._fd = fd
        self._max_held_bytes = max_held_bytes
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._held: collections.deque[bytes] = collections.deque()
        self._held_bytes = 0
        self.dropped = 0

    def write(self, data: bytes) -> int:
        """Take data; always takes all of it."""
        if data:
            self._held.append(data)
            self._held_bytes += len(data)
            self._drop_excess()
        return len(data)

    def flush(self) -> None:
        """Write what can be written without waiting."""
        while self._held and self._writable():
            data = self._held.popleft()
            try:
                written = os.write(self._fd, data[:WRITE_BYTES])
            except OSError:
                # Nobody reads any more; there is no place left to say so.
                self._held_bytes -= len(data)
                self.dropped += 1
                continue
            self._held_bytes -= written
            if written < len(data):
                self._held.appendleft(data[written:])

    def _writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))

    def _drop_excess(self) -> None:
        # The first line may be half written, so it stays.
        while self._held_bytes > self._max_held_bytes and len(self._held) > 1:
            first = self._held.popleft()
            dropped = self._held.popleft()
            self._held.appendleft(first)
            self._held_bytes -= len(dropped)
            self.dropped += 1
