"""Days of the simulation of quotas; run as a program for all sizes.

python -m tests.support.quota_days [SIZE ...] [--customers COUNT ...] [--seed N]
"""

from __future__ import annotations

import argparse
import dataclasses
import functools
import time
from typing import TYPE_CHECKING

from tests.support.quota_simulation import Simulation, usual_rates

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

SETTLE_S = 6.0


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of one day.

    Parameters
    ----------
    worst, worst_by_even_shares : float
        Fullest window of any customer as a part of its limit, by the rule in use and
        by a fixed even share of each node.
    lost, lost_by_even_shares : float
        Share of the requests that one bucket for all nodes admits which were rejected.
    cross_region_bytes_per_s, bytes_per_s, messages_per_s : float
        Cost of the messages.
    """

    worst: float
    worst_by_even_shares: float
    lost: float
    lost_by_even_shares: float
    cross_region_bytes_per_s: float
    bytes_per_s: float
    messages_per_s: float


def surge(sim: Simulation, factor: float, centre: int | None = None) -> None:
    """Have three customers, of which one is the largest, send more."""
    nodes = [node.index for node in sim.nodes if node.centre == centre]
    for index in {0, min(3, len(sim.traffic) - 1), min(30, len(sim.traffic) - 1)}:
        sim.traffic[index].factor = factor
        sim.traffic[index].place = None
        if nodes:
            sim.traffic[index].place = lambda rng: rng.choice(nodes)


def _quiet(sim: Simulation) -> None:
    sim.run(10)


def _surge(sim: Simulation) -> None:
    surge(sim, 7.5)
    sim.run(8)
    surge(sim, 1.0)
    sim.run(5)


def _moving_surge(sim: Simulation) -> None:
    for centre in (0, 1, 2):
        surge(sim, 5.0, centre)
        sim.run(2.5)
    surge(sim, 1.0)
    sim.run(4)


def _one_node(sim: Simulation) -> None:
    def place(rng: random.Random) -> int:
        return 2

    surge(sim, 1.0)
    sim.traffic[0].place = place
    sim.run(6)
    sim.traffic[0].factor = 7.5
    sim.run(6)


def _cut(sim: Simulation, cut: set[int], factor: float) -> None:
    sim.cut = cut
    surge(sim, factor)
    sim.run(7)
    sim.cut = set()
    sim.run(6)


def _cut_region(sim: Simulation) -> None:
    _cut(sim, {node.index for node in sim.nodes if node.region}, 7.5)


def _cut_half(sim: Simulation) -> None:
    _cut(sim, set(range(sim.size // 2)), 7.5)


def _quiet_cut(sim: Simulation) -> None:
    _cut(sim, {node.index for node in sim.nodes if node.region}, 1.0)


def _restarts(sim: Simulation) -> None:
    surge(sim, 7.5)
    sim.run(2)
    for group in range(4):
        sim.restart([i for i in range(sim.size) if i % 4 == group], 0.8)
        sim.run(1.5)
    sim.run(3)


def _restart_of_all(sim: Simulation) -> None:
    sim.restart(list(range(1, sim.size)), 0.8)
    surge(sim, 7.5)
    sim.run(6)


def _two_coordinators(sim: Simulation) -> None:
    surge(sim, 7.5)
    for split in (True, False, True):
        sim.split_coordinators = split
        sim.run(3)


DAYS: dict[str, Callable[[Simulation], None]] = {
    "quiet": _quiet,
    "surge": _surge,
    "moving surge": _moving_surge,
    "one node": _one_node,
    "cut region": _cut_region,
    "cut half": _cut_half,
    "quiet cut": _quiet_cut,
    "restarts": _restarts,
    "restart of all": _restart_of_all,
    "two coordinators": _two_coordinators,
}


@functools.cache
def play(day: str, size: int, count: int, seed: int = 1) -> Result:
    """Play a day on a mesh of ``size`` nodes with ``count`` customers."""
    sim = Simulation(size, usual_rates(size, count), seed)
    sim.run(SETTLE_S)
    DAYS[day](sim)
    return Result(
        sim.worst_window(sim.admitted),
        sim.worst_window(sim.equal_admitted),
        sim.lost_share(sim.admitted),
        sim.lost_share(sim.equal_admitted),
        sim.cross_region_bytes / sim.now,
        sim.all_bytes / sim.now,
        sim.messages / sim.now,
    )


def main() -> None:
    """Print the results of all days for the sizes of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=[13, 78, 195, 874])
    parser.add_argument("--customers", nargs="+", type=int, default=[1, 82, 10_000])
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print(
        "nodes customers day | worst window, even shares | lost, even shares"
        " | bytes/s between regions, all | messages/s | s"
    )
    for size in args.sizes:
        for count in args.customers:
            for day in DAYS:
                started = time.process_time()
                r = play(day, size, count, args.seed)
                print(
                    f"{size} {count} {day} | {r.worst:.3f} {r.worst_by_even_shares:.3f}"
                    f" | {r.lost:.3f} {r.lost_by_even_shares:.3f}"
                    f" | {r.cross_region_bytes_per_s:.0f} {r.bytes_per_s:.0f}"
                    f" | {r.messages_per_s:.0f}"
                    f" | {time.process_time() - started:.1f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
