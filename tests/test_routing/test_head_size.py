"""Limit of the size of request heads."""

from __future__ import annotations

import unittest

from marigoldchute.errors import RequestError
from marigoldchute.routing.http_request import CallerConnParser

SMALL = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"


def make_head(size: int) -> bytes:
    """Return a head of a number of bytes."""
    start, end = b"GET /a HTTP/1.1\r\nHost:a\r\nX:", b"\r\n\r\n"
    return start + b"x" * (size - len(start) - len(end)) + end


class HeadSizeTest(unittest.TestCase):
    # Guards against a limit of the head that holds only if the head comes in pieces.
    def test_size_of_a_head_counts_however_its_bytes_arrive(self) -> None:
        limit = 4_096
        for size, accepted in ((limit, True), (limit + 1, False), (9_100, False)):
            for step in (7, 1_000, limit, 100_000):
                with self.subTest(size=size, step=step):
                    self.assertEqual(self.is_accepted(make_head(size), step), accepted)

    def test_many_short_headers_count_as_well(self) -> None:
        lines = b"a:b\r\n" * 150
        head = b"GET /a HTTP/1.1\r\nHost:a\r\n" + lines + b"\r\n"
        self.assertTrue(self.is_accepted(head, 100_000, len(head)))
        self.assertFalse(self.is_accepted(head, 100_000, len(head) - 1))

    def test_head_behind_another_request_counts_alone(self) -> None:
        data = SMALL + make_head(4_000) * 3
        self.assertTrue(self.is_accepted(data, 100_000))
        self.assertFalse(self.is_accepted(data + make_head(5_000), 100_000))

    def is_accepted(self, data: bytes, step: int, limit: int = 4_096) -> bool:
        no_connection = None
        parser = CallerConnParser(no_connection)  # type: ignore[arg-type]
        parser.max_head_bytes = limit
        try:
            for start in range(0, len(data), step):
                parser.feed(data[start : start + step])
            if parser._error is not None:
                raise parser._error
        except RequestError:
            return False
        return all(req.complete for req in parser.requests)
