"""Simulations take the same course each time."""

from __future__ import annotations

import unittest

import trio

from tests.support.simulation import run_simulated


def run_tasks(seed: int) -> list[int]:
    """Return the order in which tasks that are ready at the same time run."""
    order: list[int] = []

    async def add(number: int) -> None:
        await trio.sleep(1.0)
        order.append(number)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(add, number)

    run_simulated(main, seed)
    return order


class SimulationTest(unittest.TestCase):
    def test_order_of_tasks_depends_on_the_seed_only(self) -> None:
        # Guards against a simulated mesh that is late in one run and not in the next.
        self.assertEqual([run_tasks(1) for _ in range(5)], [run_tasks(1)] * 5)
        self.assertGreater(len({tuple(run_tasks(seed)) for seed in range(5)}), 1)


if __name__ == "__main__":
    unittest.main()
