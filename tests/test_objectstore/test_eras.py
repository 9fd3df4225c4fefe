"""Positions in a store that comes back from an older copy."""

from __future__ import annotations

import unittest

from marigoldchute.errors import PlatformError
from marigoldchute.objectstore.eras import (
    MAX_ERA,
    MAX_ERA_REVISION,
    EraTracker,
    era_of,
    make_position,
    revision_of,
)


class PositionTest(unittest.TestCase):
    def test_position_of_later_era_is_higher_whatever_the_revision(self) -> None:
        self.assertGreater(make_position(2, 1), make_position(1, MAX_ERA_REVISION))
        self.assertLess(make_position(MAX_ERA, MAX_ERA_REVISION), 2**63)

    def test_position_is_split_again(self) -> None:
        position = make_position(7, 123)
        self.assertEqual((era_of(position), revision_of(position)), (7, 123))

    def test_revision_is_the_position_in_a_store_without_eras(self) -> None:
        for revision in (0, 5, MAX_ERA_REVISION + 5):
            self.assertEqual(make_position(0, revision), revision)

    def test_missing_revision_stays_0(self) -> None:
        self.assertEqual(make_position(3, 0), 0)

    def test_revision_that_reaches_the_next_era_is_rejected(self) -> None:
        with self.assertRaises(PlatformError):
            make_position(1, MAX_ERA_REVISION + 1)


class EraTrackerTest(unittest.TestCase):
    def test_era_never_goes_back(self) -> None:
        """A response of an older era may arrive late."""
        eras = EraTracker()
        self.assertEqual(eras.record(1), (1, False))
        self.assertEqual(eras.record(2), (2, True))
        self.assertEqual(eras.record(1), (1, False))
        self.assertEqual((eras.known, eras.restorations), (2, 1))

    def test_missing_era_means_0_or_the_known_one(self) -> None:
        eras = EraTracker()
        self.assertEqual(eras.record(None), (0, False))
        eras.record(3)
        self.assertEqual(eras.record(None), (3, False))

    def test_only_positions_of_the_known_era_have_a_revision_to_send(self) -> None:
        eras = EraTracker()
        eras.record(2)
        self.assertEqual(eras.find_revision(make_position(2, 9)), 9)
        self.assertIsNone(eras.find_revision(make_position(1, 9)))
        self.assertIsNone(eras.find_revision(make_position(3, 9)))
        self.assertIsNone(eras.find_revision(9))

    def test_position_of_a_peer_is_not_sent_before_the_first_response(self) -> None:
        eras = EraTracker()
        self.assertIsNone(eras.find_revision(make_position(1, 9)))
        self.assertEqual(eras.find_revision(9), 9)

    def test_store_without_eras_gets_positions_unchanged(self) -> None:
        eras = EraTracker()
        eras.record(None)
        large = MAX_ERA_REVISION + 9
        self.assertEqual(eras.find_revision(large), large)


if __name__ == "__main__":
    unittest.main()
