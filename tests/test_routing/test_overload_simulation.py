"""Overloaded services in a simulation: the rule in force beside the earlier one.

Run as a program, this module prints the table of the design note on overload; its
argument is the seed.
"""

from __future__ import annotations

import functools
import sys
import unittest

from tests.test_routing.overload_simulation import (
    NEW,
    OLD,
    Kind,
    Policy,
    Simulation,
    Stream,
)

SPEEDS = (0.5, 0.75, 1.0, 1.25, 1.5)
PAY = Kind("pay", 0, 0.15, 0.6, 1.5, 2.0)
BROWSE = Kind("browse", 1, 0.22, 0.8, 1.5)
QUICK = Kind("quick", 1, 0.09, 0.4, 1.0)
REPORT = Kind("report", 2, 0.4, 1.5, 3.0, 0.5)
MIXED_KINDS = (PAY, BROWSE, QUICK, REPORT)
LONG = Kind("long", 1, 0.55, 3.0, 6.0, 0.42)
SHORT = Kind("short", 1, 0.087, 0.4, 1.0, 3.2)
BOOK = Kind("book", 1, 0.2, 1.0, 2.0, 1.0, "front", nested="check")
LOOK = Kind("look", 1, 0.1, 0.6, 1.5, 1.0, "front")
CHECK = Kind("check", 1, 0.12, 0.5, 1.0, 0.0, "back")
STORM_KINDS = (
    Kind("browse", 1, 0.22, 0.8, 4.0),
    Kind("pay", 0, 0.15, 0.6, 4.0, 2.0),
    Kind("report", 2, 0.4, 1.5, 6.0, 0.5),
)


def _servers(
    service: str, count: int, slots: int
) -> tuple[tuple[str, int, float], ...]:
    return tuple((service, slots, SPEEDS[i % len(SPEEDS)]) for i in range(count))


def mixed_load(policy: Policy, load: float, seed: int = 1) -> Simulation:
    """Four kinds at a constant load, on 50 servers of unequal speed behind 64 nodes."""
    servers = _servers("s", 50, 3)
    mean_s = sum(kind.run_s for kind in MIXED_KINDS) / len(MIXED_KINDS)
    per_s = load * 150 / mean_s / len(MIXED_KINDS)
    return Simulation(policy, MIXED_KINDS, 64, servers, seed).run(
        tuple(Stream(kind.name, per_s, 0.0, 10.0) for kind in MIXED_KINDS)
    )


def bursts(policy: Policy, long_priority: int = 1, seed: int = 1) -> Simulation:
    """A burst of long, cheap requests at 2.5 times and of short ones at 2 times."""
    long = Kind("long", long_priority, 0.55, 3.0, 6.0, 0.42)
    capacity = 18 * 6
    long_per_s = 0.45 * capacity / LONG.run_s
    short_per_s = 0.25 * capacity / SHORT.run_s
    return Simulation(policy, (long, SHORT), 78, _servers("s", 18, 6), seed).run(
        (
            Stream("long", long_per_s, 0.0, 14.0),
            Stream("short", short_per_s, 0.0, 14.0),
            Stream("long", 1.5 * long_per_s, 4.0, 9.0),
            Stream("short", short_per_s, 5.0, 8.0),
        )
    )


def nested_calls(policy: Policy, back_servers: int = 5, seed: int = 1) -> Simulation:
    """A service of 30 servers whose requests call one that has too few."""
    servers = (*_servers("front", 30, 6), *_servers("back", back_servers, 6))
    return Simulation(policy, (BOOK, LOOK, CHECK), 40, servers, seed).run(
        (
            Stream("book", 220.0, 0.0, 12.0),
            Stream("book", 200.0, 3.0, 9.0),
            Stream("look", 200.0, 0.0, 12.0),
        )
    )


def retry_storm(policy: Policy, load: float = 0.8, seed: int = 1) -> Simulation:
    """All nodes are lost for 3 s, and their callers come back."""
    per_s = load * 20 * 6 / sum(kind.run_s for kind in STORM_KINDS)
    simulation = Simulation(policy, STORM_KINDS, 40, _servers("s", 20, 6), seed)
    simulation.stop_all(4.0, 7.0)
    return simulation.run(
        tuple(Stream(kind.name, per_s, 0.0, 13.0) for kind in STORM_KINDS)
    )


def customer_surge(policy: Policy, seed: int = 1) -> Simulation:
    """One of 20 customers of unequal size sends five times as much for 6 s."""
    sizes = {"surging": 0.2, "large": 0.3, "medium": 0.1}
    sizes |= {f"other-{i}": 0.4 / 17 for i in range(17)}
    kinds = (BROWSE, REPORT)
    per_s = 0.75 * 20 * 6 / sum(kind.run_s for kind in kinds)
    streams = [
        Stream(kind.name, size * per_s, 0.0, 14.0, customer)
        for kind in kinds
        for customer, size in sizes.items()
    ]
    streams += [Stream(kind.name, 0.8 * per_s, 6.0, 12.0, "surging") for kind in kinds]
    simulation = Simulation(policy, kinds, 40, _servers("s", 20, 6), seed)
    return simulation.run(tuple(streams))


def heavy_burst(policy: Policy, long_priority: int = 1, seed: int = 1) -> Simulation:
    """Long requests at 1.1 and short ones at 0.9 times the capacity, for 8 s."""
    long = Kind("long", long_priority, 0.55, 3.0, 6.0, 0.42)
    capacity = 18 * 6
    return Simulation(policy, (long, SHORT), 78, _servers("s", 18, 6), seed).run(
        (
            Stream("long", 1.1 * capacity / LONG.run_s, 0.0, 8.0),
            Stream("short", 0.9 * capacity / SHORT.run_s, 0.0, 8.0),
        )
    )


def served_ratio(simulation: Simulation) -> float:
    """Return which part of all requests was served."""
    tallies = simulation.tallies.values()
    return sum(t.in_time + t.late for t in tallies) / sum(t.sent for t in tallies)


class BurstTest(unittest.TestCase):
    """A queue full of long, cheap requests must not reject or delay short ones."""

    def test_short_requests_are_in_time_beside_long_ones(self) -> None:
        old, new = bursts(OLD), bursts(NEW)
        self.assertGreater(new.value, old.value + 0.1)
        self.assertGreater(new.tallies["short"].in_time_ratio, 0.9)
        self.assertLess(new.tallies["short"].rejected_ratio, 0.03)

    def test_no_kind_is_starved(self) -> None:
        """A kind served less than a quarter as often as all counts as starved."""
        for long_priority in (1, 2):
            with self.subTest(long_priority=long_priority):
                old = heavy_burst(OLD, long_priority)
                new = heavy_burst(NEW, long_priority)
                self.assertGreater(new.value, old.value + 0.05)
                for tally in new.tallies.values():
                    self.assertGreater(tally.served_ratio, 0.25 * served_ratio(new))

    def test_nothing_is_worse_if_operators_set_priorities(self) -> None:
        old, new = bursts(OLD, long_priority=2), bursts(NEW, long_priority=2)
        self.assertGreater(new.value, old.value)


class MixedLoadTest(unittest.TestCase):
    """Entries that know too little of the servers' speeds overload the slow ones."""

    def test_more_requests_are_in_time_near_capacity(self) -> None:
        old, new = mixed_load(OLD, 0.9), mixed_load(NEW, 0.9)
        self.assertGreater(new.value, old.value + 0.02)
        self.assertLess(new.busiest_ratio, old.busiest_ratio + 0.05)

    def test_more_urgent_kinds_are_not_served_less_often_under_overload(self) -> None:
        old, new = mixed_load(OLD, 1.5), mixed_load(NEW, 1.5)
        self.assertGreater(new.value, old.value)
        served = [new.tallies[kind.name].served_ratio for kind in MIXED_KINDS]
        pay, browse, quick, report = served
        self.assertGreater(pay, max(browse, quick) - 0.05)
        self.assertGreater(min(browse, quick), report - 0.05)
        self.assertGreater(report, 0.25 * served_ratio(new))


class NestedCallTest(unittest.TestCase):
    """Requests that run and then fail for a rejected call waste what they took."""

    def test_fewer_runs_are_discarded(self) -> None:
        for back_servers, seed in ((5, 1), (3, 1), (3, 2)):
            with self.subTest(back_servers=back_servers, seed=seed):
                old, new = (nested_calls(p, back_servers, seed) for p in (OLD, NEW))
                self.assertGreater(new.value, old.value)
                self.assertLess(
                    new.tallies["book"].discarded, 0.2 * old.tallies["book"].discarded
                )

    def test_requests_without_nested_calls_are_not_limited(self) -> None:
        new = nested_calls(NEW, 3)
        self.assertGreater(new.tallies["look"].in_time_ratio, 0.95)


class CustomerSurgeTest(unittest.TestCase):
    """A customer that sends five times as much must not take the others' share."""

    def test_each_customer_is_served_nearly_as_often_as_all(self) -> None:
        old, new = customer_surge(OLD), customer_surge(NEW)
        self.assertGreater(new.value, old.value)
        for customer in ("surging", "large", "medium"):
            tally = new.by_customer[customer]
            self.assertGreater(tally.served_ratio, 0.8 * served_ratio(new))
        small = [new.by_customer[f"other-{i}"] for i in range(17)]
        for tally in small:
            self.assertGreater(tally.served_ratio, 0.5 * served_ratio(new))


class RetryStormTest(unittest.TestCase):
    """Callers that come back late must not delay requests that can be in time."""

    def test_fresh_requests_are_served_in_the_first_second(self) -> None:
        old, new = retry_storm(OLD), retry_storm(NEW)
        self.assertGreater(new.value_in(7), 0.9)
        self.assertGreater(new.value_in(7), old.value_in(7))
        self.assertGreater(new.value, old.value)


LOADS = {
    "mixed, load 0.7": functools.partial(mixed_load, load=0.7),
    "mixed, load 0.9": functools.partial(mixed_load, load=0.9),
    "mixed, load 1.05": functools.partial(mixed_load, load=1.05),
    "mixed, load 1.5": functools.partial(mixed_load, load=1.5),
    "bursts": bursts,
    "bursts, long ones less urgent": functools.partial(bursts, long_priority=2),
    "nested calls, 5 servers": nested_calls,
    "nested calls, 3 servers": functools.partial(nested_calls, back_servers=3),
    "customer surge": customer_surge,
    "heavy burst": heavy_burst,
    "heavy burst, long ones less urgent": functools.partial(
        heavy_burst, long_priority=2
    ),
    "retry storm": retry_storm,
}


def print_table(seed: int) -> None:
    """Print what each kind meets under each load with both rules."""
    for load, simulate in LOADS.items():
        results = (
            ("old", simulate(OLD, seed=seed)),
            ("new", simulate(NEW, seed=seed)),
        )
        for rule, simulation in results:
            print(
                f"| {load} | {rule} | all | | {simulation.value:.3f} | | | | "
                f"{simulation.attempts} |",
                flush=True,
            )
        for name in sorted(results[0][1].tallies):
            for rule, simulation in results:
                tally = simulation.tallies[name]
                sent = max(1, tally.sent)
                print(
                    f"| {load} | {rule} | {name} | {tally.sent} "
                    f"| {tally.in_time / sent:.3f} | {tally.late / sent:.3f} "
                    f"| {tally.rejected / sent:.3f} | {tally.discarded / sent:.3f} "
                    f"| {tally.attempts} |",
                    flush=True,
                )


if __name__ == "__main__":
    print_table(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
