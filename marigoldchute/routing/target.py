"""What an entry node has seen of one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.membership.model import BackendServer, Member

LATENCY_WEIGHT = 0.1
ERROR_WEIGHT = 0.1
BUSY_BACKOFF_S = 0.2
SLOW_START_MS = 5000
COLD_WEIGHT = 0.05
LOAD_MEMORY_S = 1.0  # About the life of a request at the aimed-at latencies.
SLOWNESS_WEIGHT = 0.1
MAX_SLOWNESS_SAMPLE = 10.0
EJECT_FAILURES = 3
EJECT_ERROR_SHARE = 0.5
EJECT_MIN_SAMPLES = 20
EJECT_BASE_S = 1.0
EJECT_MAX_S = 30.0


class Target:
    """One backend server as a candidate, with the entry node's own observations.

    Parameters
    ----------
    member : Member
        Member that owns the backend server.
    server : BackendServer
        Announced backend server.
    """

    __slots__ = (
        "_failures",
        "_samples",
        "busy_until",
        "ejected_until",
        "ejections",
        "error_share",
        "in_flight",
        "latency_ms",
        "load",
        "load_at",
        "member",
        "own_load",
        "server",
        "slowness",
    )

    def __init__(self, member: Member, server: BackendServer) -> None:
        self.member = member
        self.server = server
        self.in_flight = 0
        self.latency_ms: float | None = None
        self.slowness = 1.0
        self.load = 0
        self.own_load = 0
        self.load_at = float("-inf")
        self.error_share = 0.0
        self.busy_until = 0.0
        self.ejected_until = 0.0
        self.ejections = 0
        self._failures = 0
        self._samples = 0

    def weight(self, now_ms: int) -> float:
        """Return the share of its full load that a starting server is given, 0 to 1.

        Cold servers get ``COLD_WEIGHT``; after the cold start the weight rises over
        ``SLOW_START_MS``.
        """
        warm_at_ms = self.server.warm_at_ms
        if not warm_at_ms:
            return 1.0
        warm_for = (now_ms - warm_at_ms) / SLOW_START_MS
        return min(1.0, max(COLD_WEIGHT, warm_for))

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the backend server is in its cold start."""
        return now_ms < self.server.warm_at_ms

    def available(self, now: float) -> bool:
        """Return whether neither ejection nor a recent refusal stands against it."""
        return now >= self.ejected_until and now >= self.busy_until

    def cost(self, default_latency_ms: float, now_ms: int) -> float:
        """Return the expected time of one more request, for comparison."""
        latency_ms = self.latency_ms
        if latency_ms is None:
            latency_ms = default_latency_ms
        load = (self.in_flight + 1) / self.server.slots
        return (latency_ms + 0.1) * load / self.weight(now_ms)

    def take_answer(self, latency_ms: float, is_error: bool) -> None:
        """Take note of a whole answer."""
        self._failures = 0
        self._samples += 1
        if self.latency_ms is None:
            self.latency_ms = latency_ms
        else:
            self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        self.error_share += ERROR_WEIGHT * (is_error - self.error_share)
        if not is_error and self.ejections and self.error_share < ERROR_WEIGHT:
            self.ejections = 0

    def take_load(self, load: int, now: float) -> None:
        """Take the number of requests that the owner says run or wait there."""
        self.load = load
        self.own_load = self.in_flight
        self.load_at = now

    def expected_load(self, now: float) -> float:
        """Return how many requests are expected to run or wait there now.

        What other nodes have there is known from the last answer and believed less
        with its age; what this node has there is known exactly.
        """
        others = max(0, self.load - self.own_load)
        age_s = now - self.load_at
        return self.in_flight + others * max(0.0, 1.0 - age_s / LOAD_MEMORY_S)

    def take_slowness(self, ratio: float) -> None:
        """Take the run time of an answer as a ratio to its route's usual one."""
        bounded = min(ratio, MAX_SLOWNESS_SAMPLE)
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness)

    def take_busy(self, now: float) -> None:
        """Take note of a refusal for lack of capacity."""
        self.busy_until = now + BUSY_BACKOFF_S

    def take_failure(self) -> None:
        """Take note of a try that ended without an answer."""
        self._failures += 1

    @property
    def samples(self) -> int:
        """Answers since the start or the last ejection."""
        return self._samples

    @property
    def fails_in_a_row(self) -> bool:
        """Whether the last ``EJECT_FAILURES`` tries or more had no answer."""
        return self._failures >= EJECT_FAILURES

    @property
    def is_outlier(self) -> bool:
        """Whether it fails so often that it should be ejected."""
        if self.fails_in_a_row:
            return True
        return (
            self._samples >= EJECT_MIN_SAMPLES and self.error_share > EJECT_ERROR_SHARE
        )

    def eject(self, now: float) -> None:
        """Take it out of the choice for a time that doubles with each ejection."""
        duration_s = min(EJECT_MAX_S, EJECT_BASE_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + duration_s
        self._failures = 0
        self._samples = 0
        self.error_share = 0.0
