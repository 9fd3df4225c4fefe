"""Links to any member."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from marigoldchute.errors import PeerError, ResultCode
from marigoldchute.link.pool import LinkPool


class _DeadEndpoint:
    """Opens connections that are never answered."""

    async def connect(self, address: str, port: int, purpose: str) -> None:
        await trio.sleep_forever()


class LinkPoolTest(unittest.TestCase):
    def test_call_ends_in_time_though_the_peer_is_silent(self) -> None:
        trio.run(self._call, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _call(self) -> None:
        pool = LinkPool(
            _DeadEndpoint(),  # type: ignore[arg-type]
            "control-call",
            lambda name: ("127.0.0.1", 1),
        )
        begin = trio.current_time()
        with trio.fail_after(60), self.assertRaises(PeerError) as caught:
            await pool.call("peer", 1, b"", 2.0)
        self.assertEqual(caught.exception.code, ResultCode.PEER_TIMEOUT)
        self.assertEqual(trio.current_time() - begin, 2.0)
