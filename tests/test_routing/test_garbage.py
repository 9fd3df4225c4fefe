"""Objects of requests are freed at once: the cycle collector runs rarely."""

from __future__ import annotations

import gc
import unittest
from typing import TYPE_CHECKING, Any

from marigoldchute.routing.backend_response import BackendResponse
from marigoldchute.routing.http_request import HttpParserState

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECTIONS = 100
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-a: b\r\n\r\nok"
REQUEST = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok"


def answer_once() -> None:
    """Parse an answer of a backend server."""
    response = BackendResponse(False)
    response.feed(ANSWER)
    assert response.complete
    assert response.take_body() == b"ok"
    response.close()


def serve_once() -> None:
    """Parse a request of a caller's connection."""
    unused: Any = None
    parser = HttpParserState(unused)
    parser.feed(REQUEST)
    assert parser.requests.pop().complete
    parser.close()


class GarbageTest(unittest.TestCase):
    def count_garbage(self, step: Callable[[], None]) -> int:
        """Return how many objects a step left to the cycle collector."""
        step()
        gc.collect()
        gc.disable()
        try:
            for _ in range(CONNECTIONS):
                step()
            return gc.collect()
        finally:
            gc.enable()

    def test_answers_leave_nothing_to_the_collector(self) -> None:
        self.assertEqual(self.count_garbage(answer_once), 0)

    def test_connections_leave_nothing_to_the_collector(self) -> None:
        self.assertEqual(self.count_garbage(serve_once), 0)


if __name__ == "__main__":
    unittest.main()
