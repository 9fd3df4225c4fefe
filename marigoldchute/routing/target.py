"""Statistics that an entry node keeps for one backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.membership.model import BackendServer, Member

LATENCY_EWMA_WEIGHT = 0.1
ERROR_EWMA_WEIGHT = 0.1
BUSY_BACKOFF_S = 0.2
# A server whose node has just started, or that got no requests, may be cold without
# having said so. Its next report and the news of it take about this long.
PRESUMED_COLD_S = 2.5
SLOW_START_MS = 5000
COLD_WEIGHT = 0.05
LOAD_REPORT_DECAY_S = 0.4  # In twice a typical run time most requests have changed.
USUAL_LOAD_EWMA_WEIGHT = 0.2
USUAL_LOAD_MEMORY_S = 5.0
SERVICE_LOAD_EWMA_WEIGHT = 0.05
SLOWNESS_EWMA_WEIGHT = 0.1
# The owner's mean covers the requests of all nodes, so that few samples suffice.
MEAN_SLOWNESS_EWMA_WEIGHT = 0.5
MAX_SLOWNESS_SAMPLE = 10.0
EJECT_CONSECUTIVE_FAILURES = 3
EJECT_ERROR_RATE = 0.5
EJECT_MIN_SAMPLES = 20
EJECT_BASE_S = 1.0
EJECT_MAX_S = 30.0
LATENCY_OFFSET_MS = 0.1  # Lets the load count at a latency near 0.


class ServiceLoad:
    """Usual load of the backend servers of one release, from all of their reports.

    Attributes
    ----------
    ratio : float
        Moving average of the requests of other nodes at a server, for each slot.
    """

    __slots__ = ("ratio",)

    def __init__(self) -> None:
        self.ratio = 0.0

    def record(self, ratio: float) -> None:
        """Record the reported load of one server for each of its slots."""
        self.ratio += SERVICE_LOAD_EWMA_WEIGHT * (ratio - self.ratio)


class Target:
    """One backend server as a candidate, with the entry node's own statistics.

    Parameters
    ----------
    member : Member
        Member that owns the backend server.
    server : BackendServer
        Announced backend server.
    service_load : ServiceLoad, optional
        Load of all targets of the release.

    Attributes
    ----------
    in_flight : int
        Attempts of this node that are in progress there.
    reported_load : int
        Requests of all nodes that ran or waited there by the latest report.
    usual_load : float or None
        Moving average of the reported requests of other nodes; None without a report.
    in_flight_at_report : int
        Attempts of this node that were in progress when the report arrived.
    reported_at : float
        Monotonic time of the latest report.
    is_paced : bool
        Whether a ``WarmupPacer`` spaces the choices of this target.
    unreachable_until : float
        Monotonic time until which its node counts as not reachable.
    """

    __slots__ = (
        "_consecutive_failures",
        "_samples",
        "busy_until",
        "ejected_until",
        "ejections",
        "error_rate",
        "in_flight",
        "in_flight_at_report",
        "is_paced",
        "latency_ms",
        "member",
        "presumed_cold_until",
        "reported_at",
        "reported_load",
        "server",
        "service_load",
        "slowness",
        "unreachable_until",
        "usual_load",
    )

    def __init__(
        self,
        member: Member,
        server: BackendServer,
        service_load: ServiceLoad | None = None,
    ) -> None:
        self.service_load = service_load if service_load is not None else ServiceLoad()
        self.member = member
        self.server = server
        self.in_flight = 0
        self.latency_ms: float | None = None
        self.slowness = 1.0
        self.reported_load = 0
        self.usual_load: float | None = None
        self.in_flight_at_report = 0
        self.reported_at = float("-inf")
        self.error_rate = 0.0
        self.busy_until = 0.0
        self.unreachable_until = 0.0
        self.ejected_until = 0.0
        self.ejections = 0
        self.is_paced = False
        self.presumed_cold_until = float("-inf")
        self._consecutive_failures = 0
        self._samples = 0

    def weight(self, now_ms: int) -> float:
        """Return the weight of the backend server, 0 to 1; below 1 after its start.

        The weight is ``COLD_WEIGHT`` during the cold start and then rises over
        ``SLOW_START_MS``.
        """
        warm_at_ms = self.server.warm_at_ms
        if not warm_at_ms:
            return 1.0
        warm_ratio = (now_ms - warm_at_ms) / SLOW_START_MS
        return min(1.0, max(COLD_WEIGHT, warm_ratio))

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the backend server is in its cold start."""
        return now_ms < self.server.warm_at_ms

    def is_limited(self, now: float, now_ms: int) -> bool:
        """Return whether the backend server is cold or may be."""
        return now < self.presumed_cold_until or self.is_cold(now_ms)

    def limited_until(self, now: float, now_ms: int) -> float:
        """Return the monotonic time until which the server is or may be cold."""
        warm_at = now + (self.server.warm_at_ms - now_ms) / 1000
        return max(warm_at, self.presumed_cold_until)

    def presume_cold(self, now: float) -> None:
        """Plan for a cold server for ``PRESUMED_COLD_S``."""
        self.presumed_cold_until = now + PRESUMED_COLD_S

    def pause(self, until: float) -> None:
        """Make the target unavailable until a time, or for longer if it is already."""
        self.busy_until = max(self.busy_until, until)

    def available(self, now: float) -> bool:
        """Return whether neither an ejection nor a recent refusal is in effect."""
        return now >= self.ejected_until and now >= self.busy_until

    def reachable(self, now: float) -> bool:
        """Return whether no link to its node has failed to open recently."""
        return now >= self.unreachable_until

    def cost(self, default_latency_ms: float, now_ms: int) -> float:
        """Return the relative cost of one more request."""
        latency_ms = self.latency_ms
        if latency_ms is None:
            latency_ms = default_latency_ms
        load = (self.in_flight + 1) / self.server.slots
        return (latency_ms + LATENCY_OFFSET_MS) * load / self.weight(now_ms)

    def record_response(self, latency_ms: float, is_error: bool) -> None:
        """Record a complete response."""
        self._consecutive_failures = 0
        self._samples += 1
        if self.latency_ms is None:
            self.latency_ms = latency_ms
        else:
            self.latency_ms += LATENCY_EWMA_WEIGHT * (latency_ms - self.latency_ms)
        self.error_rate += ERROR_EWMA_WEIGHT * (is_error - self.error_rate)
        if not is_error and self.ejections and self.error_rate < ERROR_EWMA_WEIGHT:
            self.ejections = 0

    def record_load(self, load: int, now: float) -> None:
        """Record the owner's report of the requests that run or wait there."""
        self.reported_load = load
        self.in_flight_at_report = self.in_flight
        self.reported_at = now
        others = max(0, load - self.in_flight)
        self.service_load.record(others / self.server.slots)
        if self.usual_load is None:
            self.usual_load = float(others)
        else:
            self.usual_load += USUAL_LOAD_EWMA_WEIGHT * (others - self.usual_load)

    def expected_load(self, now: float) -> float:
        """Return the number of requests expected to run or wait there now.

        Those of this node are known exactly, those of other nodes from reports only. As
        the latest report gets older, the usual load of the server replaces it, and then
        that of the service: a server that was not used lately would otherwise look
        empty to all nodes at once.
        """
        others = max(0, self.reported_load - self.in_flight_at_report)
        age_s = now - self.reported_at
        freshness = max(0.0, 1.0 - age_s / LOAD_REPORT_DECAY_S)
        usual = self._usual_load_at(age_s) if freshness < 1.0 else 0.0
        return self.in_flight + others * freshness + usual * (1.0 - freshness)

    def _usual_load_at(self, age_s: float) -> float:
        of_service = self.service_load.ratio * self.server.slots
        if self.usual_load is None:
            return of_service
        weight = math.exp(-age_s / USUAL_LOAD_MEMORY_S)
        return weight * self.usual_load + (1.0 - weight) * of_service

    def record_slowness(self, ratio: float) -> None:
        """Record a run time as a ratio to the typical run time of its route."""
        bounded_ratio = min(ratio, MAX_SLOWNESS_SAMPLE)
        self.slowness += SLOWNESS_EWMA_WEIGHT * (bounded_ratio - self.slowness)

    def record_mean_slowness(self, ratio: float) -> None:
        """Record a mean run time of the owner as a ratio to the route's typical one."""
        bounded_ratio = min(ratio, MAX_SLOWNESS_SAMPLE)
        self.slowness += MEAN_SLOWNESS_EWMA_WEIGHT * (bounded_ratio - self.slowness)

    def back_off(self, now: float) -> None:
        """Pause the target briefly after a refusal for lack of capacity."""
        self.busy_until = now + BUSY_BACKOFF_S

    def record_failure(self) -> None:
        """Record an attempt that ended without a response."""
        self._consecutive_failures += 1

    @property
    def samples(self) -> int:
        """Number of responses since the start or the last ejection."""
        return self._samples

    @property
    def has_failure_streak(self) -> bool:
        """Whether the last ``EJECT_CONSECUTIVE_FAILURES`` attempts had no response."""
        return self._consecutive_failures >= EJECT_CONSECUTIVE_FAILURES

    @property
    def is_outlier(self) -> bool:
        """Whether the target fails often enough to be ejected."""
        if self.has_failure_streak:
            return True
        return self._samples >= EJECT_MIN_SAMPLES and self.error_rate > EJECT_ERROR_RATE

    def eject(self, now: float) -> None:
        """Make the target unavailable for a time that doubles with each ejection."""
        duration_s = min(EJECT_MAX_S, EJECT_BASE_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + duration_s
        self._consecutive_failures = 0
        self._samples = 0
        self.error_rate = 0.0
