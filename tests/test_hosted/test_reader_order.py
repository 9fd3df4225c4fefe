"""Order in which members read the store."""

from __future__ import annotations

import dataclasses
import unittest

from marigoldchute.hosted.reader_duty import NUM_READERS
from marigoldchute.hosted.reader_order import reader_order
from marigoldchute.membership.model import Member


def make_members(
    data_centres: str, store_ms: int = 5, link_mbps: float = 5.0
) -> list[Member]:
    """Return one member for each letter, which names its data centre."""
    return [
        Member(
            f"vm-{name}-{index}-{store_ms}-{link_mbps}",
            1,
            1,
            "10.0.0.1",
            1,
            name,
            "r",
            store_ms=store_ms,
            link_mbps=link_mbps,
        )
        for index, name in enumerate(data_centres)
    ]


class ReaderOrderTest(unittest.TestCase):
    def test_wide_connections_near_the_store_come_first(self) -> None:
        # Guards against readers that take half a second to receive a document.
        narrow = make_members("aabb")
        wide = make_members("ab", link_mbps=100.0)
        far = make_members("cc", 65, 1000.0)
        order = reader_order(narrow + wide + far)
        self.assertEqual(set(order[:2]), set(wide))
        self.assertEqual(set(order[2:6]), set(narrow))

    def test_readers_are_in_different_data_centres(self) -> None:
        # Guards against two readers that one fault of a data centre both hits.
        members = make_members("aaaaaaabb")
        for size in range(2, len(members) + 1):
            first = reader_order(members[-size:])[:NUM_READERS]
            expected = min(NUM_READERS, len({m.data_centre for m in members[-size:]}))
            self.assertEqual(len({m.data_centre for m in first}), expected)

    def test_members_without_a_known_rate_are_alike(self) -> None:
        members = make_members("aaabc", link_mbps=0.0)
        known = [dataclasses.replace(m, link_mbps=5.0) for m in members]
        names = [m.name for m in reader_order(members)]
        self.assertEqual(names, [m.name for m in reader_order(known)])
        mixed = members + make_members("a", link_mbps=10.0)
        self.assertEqual(reader_order(mixed)[0].link_mbps, 10.0)

    def test_loss_of_a_member_keeps_the_order_of_other_data_centres(self) -> None:
        members = make_members("aabb")
        order = reader_order(members)
        lost = order[0]
        others = [m for m in order if m.data_centre != lost.data_centre]
        remaining = reader_order([m for m in members if m is not lost])
        self.assertEqual(
            [m for m in remaining if m.data_centre != lost.data_centre], others
        )


if __name__ == "__main__":
    unittest.main()
