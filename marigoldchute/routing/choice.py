"""Choice of the backend server for one try."""

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

OWN_LOAD_SHARE = 0.7
EJECTED_SHARE_MAX = 0.5
DEFAULT_LATENCY_MS = 5.0
LINK_BYTES_PER_S = 250_000
LINK_BURST_BYTES = 500_000
LINK_REQUEST_BYTES = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a request needs of a choice.

    Parameters
    ----------
    route : str
        Name of its route.
    objective_s : float
        Time left in which an answer has its full worth; 0 when none is stated.
    """

    route: str = ""
    objective_s: float = 0.0


NO_WISH = Wish()


class Chooser(Protocol):
    """Chooses a backend server; implementations differ in policy."""

    def choose(
        self,
        candidates: Candidates,
        tried: set[Target],
        now: float,
        now_ms: int,
        wish: Wish = NO_WISH,
    ) -> Target | None:
        """Return the target of the next try, or None when there is none.

        Parameters
        ----------
        candidates : Candidates
            Targets of the release by distance.
        tried : set of Target
            Targets that this request has been tried at.
        now : float
            Monotonic time in seconds.
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        wish : Wish
            What the request needs.
        """

    def take_run(self, target: Target, route: str, run_ms: float) -> None:
        """Take note of the time that a target took to run a request of a route."""

    def take_failure(self, target: Target, candidates: Candidates, now: float) -> None:
        """Take note of a failed try, which may eject the target."""

    def charge_link(self, target: Target, byte_count: int, now: float) -> None:
        """Take note of the bytes that a try has sent or received."""


class RandomChooser:
    """Any target of the nearest tier at random; a baseline for measurements."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: Candidates,
        tried: set[Target],
        now: float,
        now_ms: int,
        wish: Wish = NO_WISH,
    ) -> Target | None:
        """Return a random target of the nearest tier that has any."""
        for tier in (candidates.centre, candidates.region, candidates.remote):
            left = [target for target in tier if target not in tried]
            if left:
                return self._rng.choice(left)
        return None

    def take_run(self, target: Target, route: str, run_ms: float) -> None:
        """Do nothing."""

    def take_failure(self, target: Target, candidates: Candidates, now: float) -> None:
        """Do nothing."""

    def charge_link(self, target: Target, byte_count: int, now: float) -> None:
        """Do nothing."""


class NearestLeastLoaded:
    """Own VM, then data centre, then region, then across the link.

    The own VM's backend server is taken while its exactly known load is below
    ``OWN_LOAD_SHARE`` of its limit, because that saves a hop. Within a tier the better
    of two random targets is taken (Mitzenmacher, "The Power of Two Choices in
    Randomized Load Balancing", 2001), by the entry node's own latency and in-flight
    counts. A farther tier is used only when each target of the nearer ones is ejected,
    busy or tried; across the link also only within a byte budget.

    Parameters
    ----------
    rng : random.Random
        Random choices.
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
        self._link_budget = TokenBucket(LINK_BYTES_PER_S, LINK_BURST_BYTES)

    def choose(
        self,
        candidates: Candidates,
        tried: set[Target],
        now: float,
        now_ms: int,
        wish: Wish = NO_WISH,
    ) -> Target | None:
        """Return the target of the next try, or None when there is none."""
        own = self._choose_own(candidates.own, tried, now, now_ms)
        if own is not None:
            return own
        for tier in (candidates.centre, candidates.region):
            target = self._choose_in(tier, tried, now, now_ms)
            if target is not None:
                return target
        if candidates.remote and self._link_budget.has_tokens(now):
            target = self._choose_in(candidates.remote, tried, now, now_ms)
            if target is not None:
                return target
        return self._choose_unavailable(candidates, tried, now)

    def take_run(self, target: Target, route: str, run_ms: float) -> None:
        """Do nothing: the latency seen from here is what counts."""

    def take_failure(self, target: Target, candidates: Candidates, now: float) -> None:
        """Eject an outlier unless too many of its tier are ejected already."""
        if not target.is_outlier:
            return
        for tier in (candidates.centre, candidates.region, candidates.remote):
            if target not in tier:
                continue
            ejected = sum(other.ejected_until > now for other in tier)
            if (ejected + 1) <= EJECTED_SHARE_MAX * len(tier):
                target.eject(now)

    def charge_link(self, target: Target, byte_count: int, now: float) -> None:
        """Charge the budget of the link for a try across it."""
        if target.member.region != self._local_region:
            self._link_budget.charge(byte_count + LINK_REQUEST_BYTES, now)

    def _choose_own(
        self, own: Sequence[Target], tried: set[Target], now: float, now_ms: int
    ) -> Target | None:
        for target in own:
            if target in tried or not target.available(now):
                continue
            gate = self._gate_of(target.server.server_id)
            if gate is None or gate.draining or gate.queued:
                continue
            if gate.running >= OWN_LOAD_SHARE * gate.limit:
                continue
            if target.weight(now_ms) == 1.0:
                return target
        return None

    def _choose_in(
        self, tier: Sequence[Target], tried: set[Target], now: float, now_ms: int
    ) -> Target | None:
        count = len(tier)
        if count > 2:
            first = tier[int(self._rng.random() * count)]
            second = tier[int(self._rng.random() * count)]
            usable = [
                target
                for target in (first, second)
                if target not in tried and target.available(now)
            ]
            if len(usable) == 2:
                return _cheaper(first, second, now_ms)
        usable = [
            target for target in tier if target not in tried and target.available(now)
        ]
        if not usable:
            return None
        if len(usable) > 2:
            usable = self._rng.sample(usable, 2)
        elif len(usable) == 2 and self._rng.random() < 0.5:
            usable.reverse()  # Equal costs must not always favour the first.
        if len(usable) == 1:
            return usable[0]
        return _cheaper(usable[0], usable[1], now_ms)

    def _choose_unavailable(
        self, candidates: Candidates, tried: set[Target], now: float
    ) -> Target | None:
        """Return the target whose ban ends first: better than certain refusal."""
        for tier in (candidates.centre, candidates.region):
            left = [target for target in tier if target not in tried]
            if left:
                return min(left, key=_banned_until)
        left = [target for target in candidates.remote if target not in tried]
        if left and self._link_budget.has_tokens(now):
            return min(left, key=_banned_until)
        return None


def _banned_until(target: Target) -> float:
    return max(target.busy_until, target.ejected_until)


def _cheaper(first: Target, second: Target, now_ms: int) -> Target:
    known = [t.latency_ms for t in (first, second) if t.latency_ms is not None]
    default_ms = known[0] if known else DEFAULT_LATENCY_MS
    first_cost = first.cost(default_ms, now_ms)
    second_cost = second.cost(default_ms, now_ms)
    return first if first_cost <= second_cost else second
