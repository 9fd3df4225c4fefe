"""Parsers are freed without the cyclic garbage collector, which runs rarely."""

from __future__ import annotations

import gc
import unittest
from typing import TYPE_CHECKING, Any

from marigoldchute.routing.backend_response import BackendResponse
from marigoldchute.routing.http_request import CallerConnParser

if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 100
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-a: b\r\n\r\nok"
REQUEST = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok"


def parse_response() -> None:
    """Parse a response of a backend server."""
    response = BackendResponse(False)
    response.feed(RESPONSE)
    assert response.complete
    assert response.pop_body() == b"ok"
    response.close()


def parse_request() -> None:
    """Parse a request of a caller's connection."""
    no_connection: Any = None
    parser = CallerConnParser(no_connection)
    parser.feed(REQUEST)
    assert parser.requests.pop().complete
    parser.close()


class CyclicGarbageTest(unittest.TestCase):
    def count_garbage(self, parse: Callable[[], None]) -> int:
        """Return the number of objects that are left to the garbage collector."""
        parse()
        gc.collect()
        gc.disable()
        try:
            for _ in range(ROUNDS):
                parse()
            return gc.collect()
        finally:
            gc.enable()

    def test_responses_leave_no_cyclic_garbage(self) -> None:
        self.assertEqual(self.count_garbage(parse_response), 0)

    def test_requests_leave_no_cyclic_garbage(self) -> None:
        self.assertEqual(self.count_garbage(parse_request), 0)


if __name__ == "__main__":
    unittest.main()
