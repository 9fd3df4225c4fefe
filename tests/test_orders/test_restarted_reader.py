"""A node that starts during an order and reads it from the store first."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from tests.support.order_drivers import SERVICE, DriverNode, Store

if TYPE_CHECKING:
    from marigoldchute.orders.model import OrderState


class RestartedReaderTest(unittest.TestCase):
    """A reader without records joins a mesh in which an order is under way."""

    def test_order_goes_on_with_its_share_and_evidence(self) -> None:
        # Guards against an order that begins anew with each reader that starts.
        before, after = trio.run(
            self._restart, clock=trio.testing.MockClock(autojump_threshold=0)
        )
        self.assertGreater(before.share, 0.0)
        self.assertEqual(after, before)

    async def _restart(self) -> tuple[OrderState, OrderState]:
        store = Store()
        store.order("v2")
        driver = DriverNode("vm-1", store)
        driver.read()
        for _ in range(40):
            await driver.tick()
            await trio.sleep(0.1)
        before = driver.book.state(SERVICE)
        assert before is not None
        restarted = DriverNode("vm-2", store)
        restarted.read()
        await restarted.tick()
        restarted.send_records(driver)
        driver.send_records(restarted)
        after = restarted.book.state(SERVICE)
        assert after is not None
        self.assertEqual(after, driver.book.state(SERVICE))
        return before, after

    def test_status_that_comes_before_the_records_changes_no_state(self) -> None:
        # Guards against a share of 0 that has the rank of the first share.
        before, after = trio.run(
            self._read_late, clock=trio.testing.MockClock(autojump_threshold=0)
        )
        self.assertEqual(after, before)

    async def _read_late(self) -> tuple[OrderState, OrderState]:
        store = Store()
        store.order("v2")
        driver, reader = DriverNode("vm-1", store), DriverNode("vm-2", store)
        driver.read()
        reader.read()
        before = reader.book.state(SERVICE)
        assert before is not None
        for _ in range(40):
            await driver.tick()
            await trio.sleep(0.1)
        reader.read()
        after = reader.book.state(SERVICE)
        assert after is not None
        return before, after
