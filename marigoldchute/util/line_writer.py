"""Line output that never blocks the writing process."""

from __future__ import annotations

import collections
import os
import select

MAX_BUFFERED_BYTES = 1_000_000
MAX_WRITE_BYTES = 4_096  # A writable pipe accepts this many bytes without blocking.


class LineWriter:
    """Writes lines to a file descriptor without blocking on a slow reader.

    Lines that cannot be written yet are buffered. When the buffer holds more than
    ``max_buffered_bytes``, its oldest lines are dropped and counted.

    Parameters
    ----------
    fd : int
        File descriptor of a pipe, file or terminal.
    max_buffered_bytes : int
        Size limit of the buffer for a reader that has stalled.

    Attributes
    ----------
    dropped_count : int
        Number of lines dropped.
    """

    def __init__(self, fd: int, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._fd = fd
        self._max_buffered_bytes = max_buffered_bytes
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self.dropped_count = 0

    def write(self, data: bytes) -> int:
        """Buffer all of the data and return its length."""
        if data:
            self._buffer.append(data)
            self._buffered_bytes += len(data)
            self._drop_oldest()
        return len(data)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer and self._is_writable():
            data = self._buffer.popleft()
            try:
                written = os.write(self._fd, data[:MAX_WRITE_BYTES])
            except OSError:
                # The reader has closed its end, and there is no other output on which
                # to report the dropped line.
                self._buffered_bytes -= len(data)
                self.dropped_count += 1
                continue
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer.appendleft(data[written:])

    def _is_writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))

    def _drop_oldest(self) -> None:
        # The first line may be partly written already, so it is kept.
        while self._buffered_bytes > self._max_buffered_bytes and len(self._buffer) > 1:
            first = self._buffer.popleft()
            dropped = self._buffer.popleft()
            self._buffer.appendleft(first)
            self._buffered_bytes -= len(dropped)
            self.dropped_count += 1
