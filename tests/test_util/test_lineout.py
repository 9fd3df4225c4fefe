"""Output of lines to a reader that may stand still."""

from __future__ import annotations

import os
import unittest

from marigoldchute.util.lineout import LineOut


class StandstillTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)

    def test_a_reader_that_stands_still_costs_lines_and_no_wait(self) -> None:
        self.addCleanup(os.close, self.writer)
        out = LineOut(self.writer, max_held_bytes=50_000)
        lines = [b"%06d %s\n" % (i, b"x" * 90) for i in range(5_000)]
        for line in lines:
            out.write(line)
            out.flush()
        self.assertGreater(out.dropped, 1_000)
        seen = b""
        os.set_blocking(self.reader, False)
        while True:
            try:
                seen += os.read(self.reader, 1_000_000)
            except BlockingIOError:
                break
            out.flush()
        got = seen.splitlines(keepends=True)
        self.assertEqual(len(got) + out.dropped, len(lines))
        self.assertTrue(set(got) <= set(lines))
        self.assertEqual(got[-1], lines[-1])

    def test_a_reader_that_is_gone_ends_nothing(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, self.writer)
        out = LineOut(writer)
        os.close(reader)
        out.write(b"line\n")
        out.flush()
        self.assertEqual(out.dropped, 1)
        os.close(writer)
