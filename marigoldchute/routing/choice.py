"""Load balancing: choice of the backend server for one attempt."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

from marigoldchute.routing.budget import TokenBucket

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from marigoldchute.routing.admission import AdmissionGate
    from marigoldchute.routing.candidates import Candidates
    from marigoldchute.routing.target import Target

OWN_LOAD_THRESHOLD = 0.7
MAX_EJECTED_RATIO = 0.5
DEFAULT_LATENCY_MS = 5.0
INTER_REGION_BYTES_PER_S = 250_000
INTER_REGION_BURST_BYTES = 500_000
INTER_REGION_ATTEMPT_BYTES = 1_000  # Charged for each attempt on top of its bytes.


@dataclasses.dataclass(frozen=True, slots=True)
class PickInfo:
    """Properties of a request that the choice of a target depends on.

    Parameters
    ----------
    route : str
        Name of the request's route.
    objective_s : float
        Time left until the latency objective of the route; 0 when it has none.
    """

    route: str = ""
    objective_s: float = 0.0


NO_PICK_INFO = PickInfo()


class Chooser(Protocol):
    """Load-balancing policy that chooses a backend server."""

    def choose(
        self,
        candidates: Candidates,
        attempted: set[Target],
        now: float,
        now_ms: int,
        pick_info: PickInfo = NO_PICK_INFO,
    ) -> Target | None:
        """Return the target of the next attempt, or None when there is none.

        Parameters
        ----------
        candidates : Candidates
            Targets of the release, in tiers by distance.
        attempted : set of Target
            Targets of earlier attempts of this request.
        now : float
            Monotonic time in seconds.
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        pick_info : PickInfo
            Properties of the request.
        """

    def record_run_time(
        self,
        target: Target,
        route: str,
        run_ms: float,
        body_bytes: int = 0,
        mean_run_ms: float = 0.0,
    ) -> None:
        """Record the run time and the body bytes of a request of a route.

        ``mean_run_ms`` is the mean of the route's requests of all nodes at the target;
        0 when it is unknown.
        """

    def record_failure(
        self, target: Target, candidates: Candidates, now: float
    ) -> None:
        """Record a failed attempt, which may eject the target."""

    def record_link_bytes(self, target: Target, byte_count: int, now: float) -> None:
        """Record the bytes that an attempt sent and received over a link."""


class RandomChooser:
    """Chooses a random target of the nearest tier; a baseline for benchmarks."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: Candidates,
        attempted: set[Target],
        now: float,
        now_ms: int,
        pick_info: PickInfo = NO_PICK_INFO,
    ) -> Target | None:
        """Return a random target of the nearest tier that has one left."""
        for tier in (candidates.data_centre, candidates.region, candidates.remote):
            remaining = [target for target in tier if target not in attempted]
            if remaining:
                return self._rng.choice(remaining)
        return None

    def record_run_time(
        self,
        target: Target,
        route: str,
        run_ms: float,
        body_bytes: int = 0,
        mean_run_ms: float = 0.0,
    ) -> None:
        """Do nothing."""

    def record_failure(
        self, target: Target, candidates: Candidates, now: float
    ) -> None:
        """Do nothing."""

    def record_link_bytes(self, target: Target, byte_count: int, now: float) -> None:
        """Do nothing."""


class NearestLeastLoaded:
    """Prefers own VM, then data centre, then region, then other regions.

    The own VM's backend server is chosen while its load, which is known exactly, is
    below ``OWN_LOAD_THRESHOLD`` of its limit, because that saves a hop. Within a tier
    the better of two random targets is chosen (Mitzenmacher, "The Power of Two Choices
    in Randomized Load Balancing", 2001), by the entry node's own latency and in-flight
    counts. A farther tier is used only when each target of the nearer ones is ejected,
    busy or already attempted; other regions also only within a budget of bytes.

    Parameters
    ----------
    rng : random.Random
        Source of random choices.
    gate_of : callable
        Returns the admission gate of a backend server of this VM by its id.
    local_region : str
        Region of this node.
    """

    def __init__(
        self,
        rng: random.Random,
        gate_of: Callable[[str], AdmissionGate | None],
        local_region: str,
    ) -> None:
        self._rng = rng
        self._gate_of = gate_of
        self._local_region = local_region
        self._inter_region_budget = TokenBucket(
            INTER_REGION_BYTES_PER_S, INTER_REGION_BURST_BYTES
        )

    def choose(
        self,
        candidates: Candidates,
        attempted: set[Target],
        now: float,
        now_ms: int,
        pick_info: PickInfo = NO_PICK_INFO,
    ) -> Target | None:
        """Return the target of the next attempt, or None when there is none."""
        own = self._choose_own(candidates.own, attempted, now, now_ms)
        if own is not None:
            return own
        for tier in (candidates.data_centre, candidates.region):
            target = self._choose_in_tier(tier, attempted, now, now_ms)
            if target is not None:
                return target
        if candidates.remote and self._inter_region_budget.has_tokens(now):
            target = self._choose_in_tier(candidates.remote, attempted, now, now_ms)
            if target is not None:
                return target
        return self._choose_unavailable(candidates, attempted, now)

    def record_run_time(
        self,
        target: Target,
        route: str,
        run_ms: float,
        body_bytes: int = 0,
        mean_run_ms: float = 0.0,
    ) -> None:
        """Do nothing: this policy uses the latency that the entry node measures."""

    def record_failure(
        self, target: Target, candidates: Candidates, now: float
    ) -> None:
        """Eject an outlier unless too many targets of its tier are already ejected."""
        if not target.is_outlier:
            return
        for tier in (candidates.data_centre, candidates.region, candidates.remote):
            if target not in tier:
                continue
            ejected = sum(other.ejected_until > now for other in tier)
            if (ejected + 1) <= MAX_EJECTED_RATIO * len(tier):
                target.eject(now)

    def record_link_bytes(self, target: Target, byte_count: int, now: float) -> None:
        """Charge the budget of bytes between regions if the target is remote."""
        if target.member.region != self._local_region:
            self._inter_region_budget.charge(
                byte_count + INTER_REGION_ATTEMPT_BYTES, now
            )

    def _choose_own(
        self, own: Sequence[Target], attempted: set[Target], now: float, now_ms: int
    ) -> Target | None:
        for target in own:
            if target in attempted or not target.available(now):
                continue
            gate = self._gate_of(target.server.server_id)
            if gate is None or gate.draining or gate.queued:
                continue
            if gate.running >= OWN_LOAD_THRESHOLD * gate.limit:
                continue
            if target.weight(now_ms) == 1.0:
                return target
        return None

    def _choose_in_tier(
        self, tier: Sequence[Target], attempted: set[Target], now: float, now_ms: int
    ) -> Target | None:
        count = len(tier)
        if count > 2:
            first = tier[int(self._rng.random() * count)]
            second = tier[int(self._rng.random() * count)]
            usable = [
                target
                for target in (first, second)
                if target not in attempted and target.available(now)
            ]
            if len(usable) == 2:
                return _pick_lower_cost(first, second, now_ms)
        usable = [
            target
            for target in tier
            if target not in attempted and target.available(now)
        ]
        if not usable:
            return None
        if len(usable) > 2:
            usable = self._rng.sample(usable, 2)
        elif len(usable) == 2 and self._rng.random() < 0.5:
            usable.reverse()  # Targets of equal cost are chosen equally often.
        if len(usable) == 1:
            return usable[0]
        return _pick_lower_cost(usable[0], usable[1], now_ms)

    def _choose_unavailable(
        self, candidates: Candidates, attempted: set[Target], now: float
    ) -> Target | None:
        """Return the target that is available again first.

        An attempt there may succeed; without one the request certainly fails.
        """
        for tier in (candidates.data_centre, candidates.region):
            remaining = [target for target in tier if target not in attempted]
            if remaining:
                return min(remaining, key=_unavailable_until)
        remaining = [target for target in candidates.remote if target not in attempted]
        if remaining and self._inter_region_budget.has_tokens(now):
            return min(remaining, key=_unavailable_until)
        return None


def _unavailable_until(target: Target) -> float:
    return max(target.busy_until, target.ejected_until)


def _pick_lower_cost(first: Target, second: Target, now_ms: int) -> Target:
    latencies = [t.latency_ms for t in (first, second) if t.latency_ms is not None]
    default_ms = latencies[0] if latencies else DEFAULT_LATENCY_MS
    first_cost = first.cost(default_ms, now_ms)
    second_cost = second.cost(default_ms, now_ms)
    return first if first_cost <= second_cost else second
