"""Choice of the backend server from which an answer is expected first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.routing.choice import NO_WISH, Wish

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from marigoldchute.routing.candidates import Candidates
    from marigoldchute.routing.target import Target

REGION_TRIP_MS = 60.0  # There and back between regions; a link takes 30 ms one way.
DEFAULT_RUN_MS = 100.0
RUN_WEIGHT = 0.05
LOAD_COST = 0.3  # Full slots make a run this much longer on servers that slow down.
# A server in another data centre must be expected to answer this much sooner: bytes
# between data centres are paid for, and on a calm day each has servers enough.
OTHER_CENTRE_FACTOR = 1.15
NEAR_SHARE = 0.8  # Part of the objective that near servers may need before far ones.
JITTER = 0.1  # Keeps nodes with the same view from choosing alike.
EJECT_MARGIN = 0.25
EJECT_MIN_SAMPLES = 8
EJECTED_SHARE_MAX = 0.5


class LeastExpectedTime:
    """Takes the target with the least expected time to an answer.

    The expected time is the route's usual run time, times the target's slowness, plus
    the wait that its load implies. The own data centre is preferred by
    ``OTHER_CENTRE_FACTOR``. Targets across the link between regions are taken
    only when near ones are expected to need more than ``NEAR_SHARE`` of the objective,
    and when they are expected to answer sooner in spite of the way.

    Parameters
    ----------
    rng : random.Random
        Random choices.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._run_ms: dict[str, float] = {}

    def choose(
        self,
        candidates: Candidates,
        tried: set[Target],
        now: float,
        now_ms: int,
        wish: Wish = NO_WISH,
    ) -> Target | None:
        """Return the target of the next try, or None when there is none."""
        best, best_ms = self._best(candidates.centre, tried, now, now_ms, wish)
        other, other_ms = self._best(candidates.region, tried, now, now_ms, wish)
        if best is None or (
            other is not None and OTHER_CENTRE_FACTOR * other_ms < best_ms
        ):
            best, best_ms = other, other_ms
        limit_ms = NEAR_SHARE * wish.objective_s * 1000
        if best is not None and (not limit_ms or best_ms <= limit_ms):
            return best
        far, far_ms = self._best(candidates.remote, tried, now, now_ms, wish)
        if far is not None and (best is None or far_ms + REGION_TRIP_MS < best_ms):
            return far
        if best is not None:
            return best
        everywhere = (*candidates.centre, *candidates.region, *candidates.remote)
        return _least_banned(everywhere, tried)

    def take_run(self, target: Target, route: str, run_ms: float) -> None:
        """Take note of the time that a target took to run a request of a route."""
        usual_ms = self._run_ms.get(route)
        if usual_ms is None:
            self._run_ms[route] = max(run_ms, 1.0)
            return
        target.take_slowness(run_ms / usual_ms)
        self._run_ms[route] = max(1.0, usual_ms + RUN_WEIGHT * (run_ms - usual_ms))

    def take_failure(self, target: Target, candidates: Candidates, now: float) -> None:
        """Eject a target that fails far more than the others of its release."""
        others = [
            other
            for other in (
                *candidates.centre,
                *candidates.region,
                *candidates.remote,
            )
            if other is not target
        ]
        if not others:
            return
        usual = sum(other.error_share for other in others) / len(others)
        failing = (
            target.samples >= EJECT_MIN_SAMPLES
            and target.error_share > usual + EJECT_MARGIN
        )
        if not failing and not target.fails_in_a_row:
            return
        ejected = sum(other.ejected_until > now for other in others)
        if ejected + 1 <= EJECTED_SHARE_MAX * (len(others) + 1):
            target.eject(now)

    def charge_link(self, target: Target, byte_count: int, now: float) -> None:
        """Do nothing: far targets are the last choice whatever they cost."""

    def expected_ms(self, target: Target, now: float, now_ms: int, wish: Wish) -> float:
        """Return the expected time in milliseconds until a target answers."""
        run_ms = self._run_ms.get(wish.route, DEFAULT_RUN_MS) * target.slowness
        run_ms /= max(target.weight(now_ms), 0.25)
        load = target.expected_load(now)
        slots = target.server.slots
        waiting = max(0.0, load + 1 - slots)
        return run_ms * (1.0 + LOAD_COST * load / slots + waiting / slots)

    def _best(
        self,
        targets: Sequence[Target],
        tried: set[Target],
        now: float,
        now_ms: int,
        wish: Wish,
    ) -> tuple[Target | None, float]:
        best, best_ms, best_cost = None, 0.0, float("inf")
        for target in targets:
            if target in tried or not target.available(now):
                continue
            expected_ms = self.expected_ms(target, now, now_ms, wish)
            cost = expected_ms * (1.0 + JITTER * self._rng.random())
            if cost < best_cost:
                best, best_ms, best_cost = target, expected_ms, cost
        return best, best_ms


def _least_banned(targets: Sequence[Target], tried: set[Target]) -> Target | None:
    """Return the target whose ban ends first: better than certain refusal."""
    left = [target for target in targets if target not in tried]
    if not left:
        return None
    return min(left, key=lambda target: max(target.busy_until, target.ejected_until))
