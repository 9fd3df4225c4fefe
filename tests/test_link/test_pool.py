"""Tests of the link pool: time limit of a call."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from marigoldchute.errors import PeerError, ResultCode
from marigoldchute.link.pool import LinkPool


class _UnresponsiveEndpoint:
    """Endpoint whose connection attempts never complete."""

    async def connect(self, address: str, port: int, purpose: str) -> None:
        await trio.sleep_forever()


class LinkPoolTest(unittest.TestCase):
    def test_call_times_out_when_the_peer_does_not_respond(self) -> None:
        trio.run(
            self._call_unresponsive_peer,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )

    async def _call_unresponsive_peer(self) -> None:
        pool = LinkPool(
            _UnresponsiveEndpoint(),  # type: ignore[arg-type]
            "control-call",
            lambda name: ("127.0.0.1", 1),
        )
        started_at = trio.current_time()
        with trio.fail_after(60), self.assertRaises(PeerError) as caught:
            await pool.call("peer", 1, b"", 2.0)
        self.assertEqual(caught.exception.code, ResultCode.PEER_TIMEOUT)
        self.assertEqual(trio.current_time() - started_at, 2.0)
