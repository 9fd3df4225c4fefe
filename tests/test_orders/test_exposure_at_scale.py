"""Exposure of faulty releases at several request rates, response times and fleets."""

from __future__ import annotations

import unittest

from marigoldchute.orders.model import OrderStage
from tests.support.order_simulation import Behaviour, Load, OrderSimulation

SMALL = Load(requests_per_s=83.0, response_s=0.16, nodes=13)
SLOW_RESPONSES = Load(requests_per_s=160.0, response_s=0.46, nodes=13)
LARGE = Load(requests_per_s=500.0, response_s=0.46, nodes=195)
VERY_SLOW_RESPONSES = Load(requests_per_s=400.0, response_s=1.0, nodes=100)
FAST_RESPONSES = Load(requests_per_s=1200.0, response_s=0.05, nodes=60)
RARE_ROUTE = Load(
    requests_per_s=500.0, response_s=0.3, nodes=60, routes=("query",) * 19 + ("book",)
)
LONG_ORDER = Load(requests_per_s=160.0, response_s=0.46, nodes=60, duration_s=40.0)
LOADS = (
    SMALL,
    SLOW_RESPONSES,
    LARGE,
    VERY_SLOW_RESPONSES,
    FAST_RESPONSES,
    RARE_ROUTE,
    LONG_ORDER,
)
SEEDS = range(3)


class ExposureAtScaleTest(unittest.TestCase):
    """A faulty release gets no more than its part of the requests at any scale."""

    def assert_within_limit(self, behaviour: Behaviour) -> None:
        for load in LOADS:
            for seed in SEEDS:
                with self.subTest(load=load, seed=seed):
                    simulation = OrderSimulation(load, behaviour, seed)
                    simulation.run()
                    log = "\n".join(simulation.log)
                    self.assertTrue(simulation.fault, log)
                    self.assertLessEqual(simulation.exposed, simulation.allowed, log)

    def test_release_that_fails_at_the_full_share_only(self) -> None:
        # Guards against a full share that lasts too long for the rate of requests.
        self.assert_within_limit(Behaviour(lambda situation: situation.share >= 1.0))

    def test_release_that_begins_to_fail_at_the_full_share(self) -> None:
        # Guards against early shares that leave too little for a late fault.
        self.assert_within_limit(
            Behaviour(lambda s: s.now >= 0.63 * s.duration_s, bad_share=0.5)
        )

    def test_release_that_fails_from_the_start(self) -> None:
        # Guards against early shares that are too small to detect a fault.
        self.assert_within_limit(Behaviour(lambda situation: True))

    def test_release_that_fails_on_one_route(self) -> None:
        # Guards against early shares that are too small to detect a fault of one route.
        self.assert_within_limit(Behaviour(lambda s: s.route == "book", bad_share=0.5))

    def test_slow_release(self) -> None:
        # Guards against slow responses that come too late to count at a small share.
        self.assert_within_limit(
            Behaviour(lambda situation: True, bad_share=0.5, slow_factor=8.0)
        )


class LowRateTest(unittest.TestCase):
    """A faulty or good release at the smallest rates of requests."""

    def test_release_that_fails_at_the_full_share_with_slow_responses(self) -> None:
        # Guards against a full share that lasts until a low rate has given evidence.
        load = Load(requests_per_s=30.0, response_s=1.0, nodes=13)
        behaviour = Behaviour(lambda situation: situation.share >= 1.0)
        for seed in range(20):
            with self.subTest(seed=seed):
                simulation = OrderSimulation(load, behaviour, seed)
                simulation.run()
                self.assertLessEqual(simulation.exposed, simulation.allowed)

    def test_good_release_is_done_before_the_deadline(self) -> None:
        # Guards against an order that waits for more responses than there are.
        for requests_per_s in (0.5, 2.0, 5.0, 10.0, 30.0):
            for response_s in (0.16, 1.0):
                load = Load(requests_per_s, response_s, nodes=13)
                with self.subTest(load=load):
                    simulation = OrderSimulation(load, Behaviour(lambda s: False), 1)
                    simulation.run()
                    self.assertEqual(simulation.state.stage, OrderStage.DONE)


class GoodReleaseAtScaleTest(unittest.TestCase):
    """A good release gets its verdict in time at any scale."""

    def test_good_release_is_done_before_the_deadline(self) -> None:
        # Guards against shares that are held down until an order is too late.
        for load in LOADS:
            for seed in SEEDS:
                with self.subTest(load=load, seed=seed):
                    behaviour = Behaviour(lambda situation: False)
                    simulation = OrderSimulation(load, behaviour, seed)
                    simulation.run()
                    log = "\n".join(simulation.log)
                    self.assertEqual(simulation.fault, "", log)
                    self.assertEqual(simulation.state.stage, OrderStage.DONE, log)
