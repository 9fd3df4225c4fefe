"""Numbers of zones, nodes and backend servers that no site of the users has."""

from __future__ import annotations

import random
import unittest

from marigoldchute.hosted.reader_duty import ReaderDuty
from marigoldchute.platform.settings import parse_settings
from marigoldchute.routing.candidates import Candidates
from marigoldchute.routing.choice import PickInfo
from marigoldchute.routing.least_time import LeastExpectedTime
from tests.test_hosted.test_reader import FakeDirectory
from tests.test_platform.test_adapter import make_settings
from tests.test_routing.test_choice import NOW_MS, make_target


class SettingsShapeTest(unittest.TestCase):
    def test_settings_accept_one_or_many_zones_and_regions(self) -> None:
        shapes = (
            {"solo": "solo"},
            {f"z{i}": f"r{i % 3}" for i in range(5)},
        )
        for zones in shapes:
            for zone, region in zones.items():
                with self.subTest(zone=zone):
                    data = make_settings(zone=zone, region=region, zones=zones)
                    cfg = parse_settings(data, "f")
                    self.assertEqual((cfg.data_centre, cfg.region), (zone, region))

    def test_unknown_or_missing_bounds_use_the_defaults(self) -> None:
        cfg = parse_settings(make_settings(bounds=["new_bound=7", "odd"]), "f")
        self.assertEqual(cfg.bounds.retry_share, 0.2)


class SmallMeshTest(unittest.TestCase):
    def test_all_nodes_of_a_mesh_of_one_or_two_read_the_store(self) -> None:
        for names in (["vm-0"], ["vm-0", "vm-1"]):
            for name in names:
                directory = FakeDirectory(name, names, set())
                duty = ReaderDuty(directory)  # type: ignore[arg-type]
                self.assertTrue(duty.is_reader(0.1))

    def test_only_backend_server_of_a_service_is_chosen_despite_failures(self) -> None:
        target = make_target("only")
        chooser = LeastExpectedTime(random.Random(1))
        candidates = Candidates(data_centre=(target,))
        for _ in range(50):
            target.record_response(10.0, True)
            chooser.record_failure(target, candidates, 1.0)
        chosen = chooser.choose(candidates, set(), 1.0, NOW_MS, PickInfo("r", 0.5))
        self.assertIs(chosen, target)

    def test_backend_server_of_a_remote_region_is_chosen_when_it_is_the_only_one(
        self,
    ) -> None:
        target = make_target("far", "limon")
        chooser = LeastExpectedTime(random.Random(1))
        candidates = Candidates(remote=(target,))
        chosen = chooser.choose(candidates, set(), 1.0, NOW_MS, PickInfo("r", 0.1))
        self.assertIs(chosen, target)
