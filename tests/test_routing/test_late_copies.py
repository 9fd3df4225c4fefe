"""Second copies of responses, late, on connections that are in use again.

With echoed ids a copy is skipped; without them the connection must not be in use again.
"""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import MarigoldchuteError
from marigoldchute.hosted.node import POLICY
from marigoldchute.platform.settings import DIALECT
from marigoldchute.routing.backend_response import BackendResponse
from marigoldchute.routing.dialect import DEFAULT_DIALECT, Dialect
from marigoldchute.routing.owner import Owner
from tests.support.servers import read_request, serve_script
from tests.test_routing.test_owner import CollectingExchange, FakeServers, make_head

if TYPE_CHECKING:
    from collections.abc import Callable

    Copies = Callable[[random.Random, bytes, bytes], list[bytes]]

REQUEST_COUNT = 60


def copy_before(rng: random.Random, copy: bytes, own: bytes) -> list[bytes]:
    return [copy, own]


def copy_together(rng: random.Random, copy: bytes, own: bytes) -> list[bytes]:
    return [copy + own]


def copy_cut_in_two(rng: random.Random, copy: bytes, own: bytes) -> list[bytes]:
    cut = rng.randrange(1, len(copy))
    return [copy[:cut], copy[cut:] + own]


def copy_after(rng: random.Random, copy: bytes, own: bytes) -> list[bytes]:
    return [own, copy]


def copy_behind(rng: random.Random, copy: bytes, own: bytes) -> list[bytes]:
    return [own + copy]


def copy_within(rng: random.Random, copy: bytes, own: bytes) -> list[bytes]:
    """Split the right response too, so that the copy's end is read with its start."""
    cut = rng.randrange(1, len(own))
    return [copy + own[:cut], own[cut:]]


def several_copies(rng: random.Random, copy: bytes, own: bytes) -> list[bytes]:
    return [copy, copy + copy, own + copy]


def make_response(target: bytes, request_id: bytes, echoes: bool) -> bytes:
    """Return a response whose body repeats its target; some are long."""
    body = target * (1 if hash(target) % 3 else 20_000)
    echo = b"Attempt-Id: %s\r\n" % request_id if echoes else b""
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (
        echo,
        len(body),
        body,
    )


class LateCopyTest(unittest.TestCase):
    def run_requests(self, copies: Copies, dialect: Dialect, seed: int) -> int:
        """Send requests one after another; return how many got a response."""
        rng = random.Random(seed)
        answered = 0
        previous = b""

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal previous
            while request := await read_request(stream):
                target = request.split()[1]
                own = make_response(target, target[1:], dialect.echoes_request_id)
                pieces = copies(rng, previous, own) if previous else [own]
                previous = own
                for piece in pieces:
                    await stream.send_all(piece)
                    await trio.sleep(0.001)

        async def main() -> None:
            nonlocal answered
            async with serve_script(serve) as address, trio.open_nursery() as nursery:
                owner = Owner(FakeServers(address, 1), address, dialect, POLICY)
                await nursery.start(owner.run)
                for index in range(REQUEST_COUNT):
                    target = b"/r%d" % index
                    exchange = CollectingExchange()
                    head = make_head(target, idempotent=True, request_id=f"r{index}")
                    try:
                        with trio.move_on_after(2.0):
                            await owner.execute(head, exchange)
                    except MarigoldchuteError:
                        await owner.wait_idle()
                        continue
                    answered += exchange.finished
                    if exchange.finished:
                        self.assertEqual(set(exchange.body.split(target)), {b""})
                    await trio.sleep(0.003)
                nursery.cancel_scope.cancel()

        with self.subTest(copies=copies.__name__, echoes=dialect.echoes_request_id):
            trio.run(main)
        return answered

    def test_copies_with_ids_are_skipped_and_every_request_gets_its_own_answer(
        self,
    ) -> None:
        for copies in (copy_before, copy_together, copy_cut_in_two, copy_after):
            self.assertEqual(self.run_requests(copies, DIALECT, 3), REQUEST_COUNT)
        for copies in (copy_within, several_copies):
            self.assertEqual(self.run_requests(copies, DIALECT, 4), REQUEST_COUNT)

    def test_copies_without_ids_reach_no_later_request_on_the_connection(self) -> None:
        """A copy that arrives before the connection is in use again ends it.

        One that arrives later cannot be told apart without an id.
        """
        answered = self.run_requests(copy_behind, DEFAULT_DIALECT, 5)
        self.assertEqual(answered, REQUEST_COUNT)

    def test_id_is_compared_also_where_servers_need_not_echo_it(self) -> None:
        response = BackendResponse(False, DEFAULT_DIALECT, b"own")
        for request_id, body in ((b"other", b"no"), (b"own", b"ok")):
            response.feed(
                b"HTTP/1.1 200 OK\r\nmarigoldchute-request-id: %s\r\n"
                b"content-length: 2\r\n\r\n%s" % (request_id, body)
            )
        self.assertEqual((response.pop_body(), response.skipped_count), (b"ok", 1))


if __name__ == "__main__":
    unittest.main()
