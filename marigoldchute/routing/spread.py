"""Division of requests by weights without dice."""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

GOLDEN_STEP = 0.6180339887498949  # Golden ratio: gaps stay even however many points.

T = TypeVar("T")


class Spread:
    """Points in [0, 1) that fill it evenly, a low-discrepancy sequence.

    Any run of ``n`` points holds a share ``s`` of them below ``s`` within a few
    points, where random choice is off by the root of ``n``.

    Parameters
    ----------
    start : float
        First point; differs between nodes, so that they do not act in step.
    """

    def __init__(self, start: float) -> None:
        self._point = start

    def next(self) -> float:
        """Return the next point."""
        self._point = (self._point + GOLDEN_STEP) % 1.0
        return self._point


class WeightedChoice(Generic[T]):
    """Chooses among items by weight.

    Parameters
    ----------
    items : sequence
        What to choose from.
    weights : sequence of float
        Weight of each; some are above 0.
    """

    def __init__(self, items: Sequence[T], weights: Sequence[float]) -> None:
        self._items = tuple(items)
        self._bounds = list(itertools.accumulate(weights))

    def at(self, point: float) -> T:
        """Return the item whose stretch of [0, 1) holds a point."""
        index = bisect.bisect_right(self._bounds, point * self._bounds[-1])
        return self._items[min(index, len(self._items) - 1)]
