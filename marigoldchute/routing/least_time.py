"""Load balancing by the least expected response time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.routing.choice import NO_PICK_INFO, PickInfo

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from marigoldchute.routing.candidates import Candidates
    from marigoldchute.routing.target import Target

INTER_REGION_RTT_MS = 60.0  # One way between regions takes 30 ms.
# A server in another region must be expected to respond this many times sooner: when
# both regions are overloaded, their link would carry requests that gain nothing.
OTHER_REGION_FACTOR = 1.25
DEFAULT_RUN_TIME_MS = 100.0
MIN_WEIGHT = 0.25  # A cold server is expected to take at most 4 times as long.
RUN_TIME_EWMA_WEIGHT = 0.05
# Relative increase of the run time with all slots in use, on servers that slow down.
FULL_LOAD_SLOWDOWN = 0.3
# A server in another data centre must be expected to respond this many times sooner:
# traffic between data centres costs money, and at typical load each data centre has
# enough servers.
OTHER_DATA_CENTRE_FACTOR = 1.15
# Part of the objective that near servers may need before remote ones are considered.
NEAR_OBJECTIVE_RATIO = 0.8
# Requests whose bodies are larger stay in their data centre while it serves them within
# the objective, and in their region as long as it has a server that may take them.
LARGE_TRANSFER_BYTES = 16_384
BODY_BYTES_EWMA_WEIGHT = 0.1
JITTER_RATIO = 0.1  # Keeps nodes with the same data from choosing the same target.
EJECT_ERROR_MARGIN = 0.25
EJECT_MIN_SAMPLES = 8
MAX_EJECTED_RATIO = 0.5


class LeastExpectedTime:
    """Chooses the target with the least expected response time.

    The expected time is the route's typical run time, times the target's slowness, plus
    the wait that its load implies. The own data centre is preferred by
    ``OTHER_DATA_CENTRE_FACTOR``. Targets in other regions are chosen only when those
    of the own region are expected to need more than ``NEAR_OBJECTIVE_RATIO`` of the
    objective, and when they are expected to respond sooner in spite of the round trip.
    Large requests and responses cross sooner only if the near servers refuse them: the
    bytes between data centres cost money, and the link between regions is narrow.

    Parameters
    ----------
    rng : random.Random
        Source of random choices.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._typical_run_ms: dict[str, float] = {}
        self._typical_body_bytes: dict[str, float] = {}

    def choose(
        self,
        candidates: Candidates,
        attempted: set[Target],
        now: float,
        now_ms: int,
        pick_info: PickInfo = NO_PICK_INFO,
    ) -> Target | None:
        """Return the target of the next attempt, or None when there is none."""
        best, best_ms = self._best(
            candidates.data_centre, attempted, now, now_ms, pick_info
        )
        limit_ms = NEAR_OBJECTIVE_RATIO * pick_info.objective_s * 1000
        is_large = self._is_large(pick_info.route)
        if best is not None and is_large and best_ms <= limit_ms:
            return best
        other, other_ms = self._best(
            candidates.region, attempted, now, now_ms, pick_info
        )
        if best is None or (
            other is not None and OTHER_DATA_CENTRE_FACTOR * other_ms < best_ms
        ):
            best, best_ms = other, other_ms
        if best is not None and (is_large or not limit_ms or best_ms <= limit_ms):
            return best
        remote, remote_ms = self._best(
            candidates.remote, attempted, now, now_ms, pick_info
        )
        if remote is not None and (
            best is None
            or OTHER_REGION_FACTOR * (remote_ms + INTER_REGION_RTT_MS) < best_ms
        ):
            return remote
        if best is not None:
            return best
        all_targets = (*candidates.data_centre, *candidates.region, *candidates.remote)
        return _first_available(all_targets, attempted)

    def record_run_time(
        self,
        target: Target,
        route: str,
        run_ms: float,
        body_bytes: int = 0,
        mean_run_ms: float = 0.0,
    ) -> None:
        """Record the run time and the body bytes of a request of a route.

        Parameters
        ----------
        target : Target
            Target that ran the request.
        route : str
            Name of the route.
        run_ms : float
            Run time of this request.
        body_bytes : int
            Bytes of its bodies.
        mean_run_ms : float
            Mean run time of the route at the target, from the requests of all nodes;
            0 when it is unknown.
        """
        typical_bytes = self._typical_body_bytes.get(route, float(body_bytes))
        self._typical_body_bytes[route] = typical_bytes + BODY_BYTES_EWMA_WEIGHT * (
            body_bytes - typical_bytes
        )
        typical_ms = self._typical_run_ms.get(route)
        if typical_ms is None:
            self._typical_run_ms[route] = max(run_ms, 1.0)
            return
        if mean_run_ms:
            target.record_mean_slowness(mean_run_ms / typical_ms)
        else:
            target.record_slowness(run_ms / typical_ms)
        self._typical_run_ms[route] = max(
            1.0, typical_ms + RUN_TIME_EWMA_WEIGHT * (run_ms - typical_ms)
        )

    def _is_large(self, route: str) -> bool:
        return self._typical_body_bytes.get(route, 0.0) > LARGE_TRANSFER_BYTES

    def record_failure(
        self, target: Target, candidates: Candidates, now: float
    ) -> None:
        """Eject a target that fails far more often than the others of its release."""
        others = [
            other
            for other in (
                *candidates.data_centre,
                *candidates.region,
                *candidates.remote,
            )
            if other is not target
        ]
        if not others:
            return
        mean_error_rate = sum(other.error_rate for other in others) / len(others)
        failing = (
            target.samples >= EJECT_MIN_SAMPLES
            and target.error_rate > mean_error_rate + EJECT_ERROR_MARGIN
        )
        if not failing and not target.has_failure_streak:
            return
        ejected = sum(other.ejected_until > now for other in others)
        if ejected + 1 <= MAX_EJECTED_RATIO * (len(others) + 1):
            target.eject(now)

    def record_link_bytes(self, target: Target, byte_count: int, now: float) -> None:
        """Do nothing: remote targets are the last choice whatever they cost."""

    def expected_ms(
        self, target: Target, now: float, now_ms: int, pick_info: PickInfo
    ) -> float:
        """Return the expected response time of a target in milliseconds."""
        run_ms = (
            self._typical_run_ms.get(pick_info.route, DEFAULT_RUN_TIME_MS)
            * target.slowness
        )
        run_ms /= max(target.weight(now_ms), MIN_WEIGHT)
        load = target.expected_load(now)
        slots = target.server.slots
        queued = max(0.0, load + 1 - slots)
        return run_ms * (1.0 + FULL_LOAD_SLOWDOWN * load / slots + queued / slots)

    def _best(
        self,
        targets: Sequence[Target],
        attempted: set[Target],
        now: float,
        now_ms: int,
        pick_info: PickInfo,
    ) -> tuple[Target | None, float]:
        best, best_ms, best_cost = None, 0.0, float("inf")
        for target in targets:
            if target in attempted or not target.available(now):
                continue
            expected_ms = self.expected_ms(target, now, now_ms, pick_info)
            cost = expected_ms * (1.0 + JITTER_RATIO * self._rng.random())
            if cost < best_cost:
                best, best_ms, best_cost = target, expected_ms, cost
        return best, best_ms


def _first_available(
    targets: Sequence[Target], attempted: set[Target]
) -> Target | None:
    """Return the target that is available again first.

    An attempt there may succeed; without one the request certainly fails.
    """
    remaining = [target for target in targets if target not in attempted]
    if not remaining:
        return None
    return min(
        remaining, key=lambda target: max(target.busy_until, target.ejected_until)
    )
