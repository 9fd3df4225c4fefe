"""Runs of trio in simulated time whose course depends on a seed only."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar
from unittest import mock

import trio
from trio._core import _run
from trio.testing import MockClock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_T = TypeVar("_T")


def run_simulated(main: Callable[[], Awaitable[_T]], seed: int) -> _T:
    """Run ``main`` in simulated time, with an order of tasks that a seed decides.

    Trio runs the tasks that are ready at the same time in a random order, which has
    no public seed. With another order a large mesh takes another course, so that a
    test of a time limit would not give the same verdict each time.
    """
    with mock.patch.object(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True):
        _run._r.seed(seed)
        return trio.run(main, clock=MockClock(autojump_threshold=0))
