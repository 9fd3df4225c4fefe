"""Delay of requests on their way between two nodes."""

from __future__ import annotations

import unittest

from marigoldchute.link.transit import BASE_MEMORY_MS, TransitDelay

AHEAD_MS = 5_000_000  # The sender's clock is ahead.


class TransitDelayTest(unittest.TestCase):
    """Guards against requests that run after their deadline on a narrow connection."""

    def test_wait_on_the_way_is_found_without_equal_clocks(self) -> None:
        transit = TransitDelay()
        # Each message takes 30 ms and waits behind others for the time given.
        delays = [
            transit.record(AHEAD_MS + at, at + 30 + wait_ms)
            for at, wait_ms in ((0, 40), (100, 0), (200, 900), (300, 2_000), (2_000, 5))
        ]
        self.assertEqual(delays, [0, 0, 900, 2_000, 5])

    def test_clocks_that_drift_do_not_become_a_delay(self) -> None:
        transit = TransitDelay()
        delays = [
            transit.record(at, at + 30 + at // 10_000)  # 100 parts per million.
            for at in range(0, 20 * BASE_MEMORY_MS, 1_000)
        ]
        self.assertLessEqual(max(delays), 2 * BASE_MEMORY_MS // 10_000)

    def test_congestion_is_seen_for_as_long_as_the_base_is_remembered(self) -> None:
        transit = TransitDelay()
        transit.record(0, 30)
        delays = [
            transit.record(at, at + 1_030) for at in range(1_000, BASE_MEMORY_MS, 1_000)
        ]
        self.assertEqual(set(delays), {1_000})


if __name__ == "__main__":
    unittest.main()
