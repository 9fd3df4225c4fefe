"""Deterministic division of requests by weights."""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

# The golden ratio keeps the gaps even for any number of points.
GOLDEN_RATIO_STEP = 0.6180339887498949

T = TypeVar("T")


class LowDiscrepancySequence:
    """Low-discrepancy sequence of points in [0, 1).

    Of any ``n`` consecutive points, the number below ``s`` differs from ``n * s`` by a
    few points only, where independent random points differ by about the square root
    of ``n``.

    Parameters
    ----------
    start : float
        Start of the sequence; differs between nodes, so that they are not
        synchronized.
    """

    def __init__(self, start: float) -> None:
        self._point = start

    def next(self) -> float:
        """Return the next point."""
        self._point = (self._point + GOLDEN_RATIO_STEP) % 1.0
        return self._point


class WeightedChoice(Generic[T]):
    """Maps points in [0, 1) to items in proportion to their weights.

    Parameters
    ----------
    items : sequence
        Items to choose from.
    weights : sequence of float
        Weight of each item; at least one is above 0.
    """

    def __init__(self, items: Sequence[T], weights: Sequence[float]) -> None:
        self._items = tuple(items)
        self._cumulative_weights = list(itertools.accumulate(weights))

    def item_at(self, point: float) -> T:
        """Return the item whose part of [0, 1) contains a point."""
        index = bisect.bisect_right(
            self._cumulative_weights, point * self._cumulative_weights[-1]
        )
        return self._items[min(index, len(self._items) - 1)]
