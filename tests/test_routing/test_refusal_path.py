"""Refusals written once more, in a mesh of processes with two backend servers."""

from __future__ import annotations

import collections
import contextlib
import random
import unittest
from typing import TYPE_CHECKING

import httpcore
import trio

from marigoldchute.routing.dialect import DEFAULT_DIALECT
from tests.support.servers import read_request
from tests.test_routing.paths import FIRST, SECOND, PathTestCase, outcome_of

if TYPE_CHECKING:
    from tests.test_routing.paths import Script

REQUEST_COUNT = 300
CALLERS = 4
REFUSAL = b"HTTP/1.1 503 Full\r\n%s: 1\r\nContent-Length: 4\r\n\r\nbusy" % (
    DEFAULT_DIALECT.not_run
)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RefusalPathTest(PathTestCase):
    """Half of the requests reach their server over a link."""

    def make_script(self, seed: int) -> Script:
        rng = random.Random(seed)

        async def serve(stream: trio.SocketStream) -> None:
            was_refused = False
            with contextlib.suppress(trio.BrokenResourceError):
                while request := await read_request(stream):
                    target = request.split()[1]
                    if target != b"/reservas/ready" and rng.random() < 0.2:
                        was_refused = True
                        self.refusals += 1
                        await stream.send_all(REFUSAL)
                        continue
                    self.runs[target] += 1
                    if was_refused and rng.random() < 0.7:
                        self.copies += 1
                        await stream.send_all(REFUSAL)
                        await trio.sleep(0.001)
                    await stream.send_all(ANSWER)
            await trio.aclose_forcefully(stream)

        return serve

    async def send(self, numbers: range) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            for number in numbers:
                target = f"/reservas/alta/{number}"
                response = await pool.request("POST", self.caller_url(FIRST, target))
                runs = self.runs[target.encode()]
                outcome = outcome_of(response)
                self.outcomes[outcome] += 1
                self.assertLessEqual(runs, 1, target)
                if outcome == "not-run":
                    self.assertEqual(runs, 0, target)

    # Guards against a request that runs at two servers, or that is reported as not run
    # while it runs, when an earlier refusal is written once more on a kept connection.
    def test_repeated_refusal_makes_no_request_run_twice(self) -> None:
        self.runs: collections.Counter[bytes] = collections.Counter()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.refusals = self.copies = 0

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                for first in range(CALLERS):
                    numbers = range(first, REQUEST_COUNT, CALLERS)
                    nursery.start_soon(self.send, numbers)

        scripts = {FIRST: self.make_script(1), SECOND: self.make_script(2)}
        self.run_async(lambda: self.run_scripted(body, scripts), 60)
        self.assertGreater(self.refusals, 20)
        self.assertGreater(self.outcomes["completed"], REQUEST_COUNT * 0.8)


if __name__ == "__main__":
    unittest.main()
