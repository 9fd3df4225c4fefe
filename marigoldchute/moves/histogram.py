"""Mergeable latency histogram with logarithmic buckets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

BUCKETS_PER_DOUBLING = 4
MIN_LATENCY_MS = 0.1


def bucket_of_latency(latency_ms: float) -> int:
    """Return the bucket of a latency; each is 19 % wider than the previous one."""
    ratio = max(latency_ms, MIN_LATENCY_MS) / MIN_LATENCY_MS
    return int(math.log2(ratio) * BUCKETS_PER_DOUBLING)


class LatencyHistogram:
    """Latency counts by bucket."""

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}
        self.total = 0

    def add(self, latency_ms: float) -> None:
        """Add one latency."""
        bucket = bucket_of_latency(latency_ms)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1
        self.total += 1

    def merge(self, counts: Mapping[int, int]) -> None:
        """Add the counts of another histogram."""
        for bucket, count in counts.items():
            self.counts[bucket] = self.counts.get(bucket, 0) + count
            self.total += count

    def percentile(self, fraction: float) -> float:
        """Return the upper bound in milliseconds of a percentile's bucket.

        Parameters
        ----------
        fraction : float
            Fraction of the counts at or below the result, above 0 and at most 1.
        """
        target_count = fraction * self.total
        cumulative = 0
        for bucket in sorted(self.counts):
            cumulative += self.counts[bucket]
            if cumulative >= target_count:
                return MIN_LATENCY_MS * 2.0 ** ((bucket + 1) / BUCKETS_PER_DOUBLING)
        return 0.0
