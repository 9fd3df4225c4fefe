"""Non-blocking line output to a stalled or closed reader."""

from __future__ import annotations

import os
import unittest

from marigoldchute.util.line_writer import LineWriter


class NonBlockingOutputTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)

    def test_stalled_reader_drops_lines_without_blocking(self) -> None:
        self.addCleanup(os.close, self.writer)
        out = LineWriter(self.writer, max_buffered_bytes=50_000)
        lines = [b"%06d %s\n" % (i, b"x" * 90) for i in range(5_000)]
        for line in lines:
            out.write(line)
            out.flush()
        self.assertGreater(out.dropped_count, 1_000)
        received = b""
        os.set_blocking(self.reader, False)
        while True:
            try:
                received += os.read(self.reader, 1_000_000)
            except BlockingIOError:
                break
            out.flush()
        received_lines = received.splitlines(keepends=True)
        self.assertEqual(len(received_lines) + out.dropped_count, len(lines))
        self.assertTrue(set(received_lines) <= set(lines))
        self.assertEqual(received_lines[-1], lines[-1])

    def test_closed_reader_counts_line_as_dropped(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, self.writer)
        out = LineWriter(writer)
        os.close(reader)
        out.write(b"line\n")
        out.flush()
        self.assertEqual(out.dropped_count, 1)
        os.close(writer)
