"""Limits requests whose nested calls fail, to what the called service can carry.

A nested call that is refused or late discards the run of the request that made it.
Each owner sees the results of the nested calls that the requests on its own VM make,
and from these alone decides what part of such requests it admits: no node sends a
message for it.
"""

from __future__ import annotations

import dataclasses

from marigoldchute.routing.outcomes import Outcome

WINDOW_S = 0.5
MIN_WINDOW_CALLS = 4
# With a larger part of failed calls in a window the limit is lowered.
MAX_FAILED_RATIO = 0.1
MIN_DECREASE_FACTOR = 0.5
INCREASE_FACTOR = 1.2
# Enough requests remain to notice that the called service has recovered. With 0.1, and
# callers that come back twice, a service at 3 times its capacity stayed overloaded.
MIN_ADMITTED_RATIO = 0.05
# The limit of a route without calls for this long says nothing about the present.
FORGET_S = 10.0
MAX_ROUTES = 64


def is_failed_call(
    outcome: Outcome, objective_at: float, found_queue: bool, now: float
) -> bool:
    """Return whether a nested call failed because the called service is overloaded.

    A late response counts only from a server with a queue: one that is slow without a
    queue gets no faster with fewer requests. Errors of the server itself do not count.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the call.
    objective_at : float
        Time of the call's objective; 0 without one.
    found_queue : bool
        Whether requests waited at the server that responded.
    now : float
        Monotonic time in seconds.
    """
    if outcome is Outcome.SHED:
        return True
    return bool(objective_at) and found_queue and now > objective_at


@dataclasses.dataclass
class _RouteLimit:
    admitted_ratio: float = 1.0
    credit: float = 1.0
    calls: int = 0
    failed: int = 0
    window_started_at: float = 0.0


class NestedLimit:
    """Part of the requests of each route that may run, from the fate of their calls.

    Additive increase and multiplicative decrease (Chiu and Jain, 1989), by the part of
    the nested calls that failed in a window.

    Attributes
    ----------
    refused : int
        Number of requests that were refused.
    """

    def __init__(self) -> None:
        self.refused = 0
        self._routes: dict[str, _RouteLimit] = {}

    def ratio(self, route: str) -> float:
        """Return the part of a route's requests that is admitted."""
        limit = self._routes.get(route)
        return 1.0 if limit is None else limit.admitted_ratio

    def record_call(self, route: str, failed: bool, now: float) -> None:
        """Record the end of a nested call that a request of a route made.

        Parameters
        ----------
        route : str
            Route of the request that made the call.
        failed : bool
            Whether the call failed by ``is_failed_call``.
        now : float
            Monotonic time in seconds.
        """
        limit = self._routes.get(route)
        if limit is None:
            if not failed or len(self._routes) >= MAX_ROUTES:
                return
            limit = self._routes[route] = _RouteLimit(window_started_at=now)
        limit.calls += 1
        limit.failed += failed
        self._close_window(route, limit, now)

    def admit(self, route: str, now: float) -> bool:
        """Return whether a request of a route may run."""
        limit = self._routes.get(route)
        if limit is None:
            return True
        if now - limit.window_started_at > FORGET_S:
            del self._routes[route]
            return True
        limit.credit = min(2.0, limit.credit + limit.admitted_ratio)
        if limit.credit >= 1.0:
            limit.credit -= 1.0
            return True
        self.refused += 1
        return False

    def _close_window(self, route: str, limit: _RouteLimit, now: float) -> None:
        if limit.calls < MIN_WINDOW_CALLS or now - limit.window_started_at < WINDOW_S:
            return
        if limit.failed > MAX_FAILED_RATIO * limit.calls:
            served_ratio = 1.0 - limit.failed / limit.calls
            limit.admitted_ratio = max(
                MIN_ADMITTED_RATIO,
                limit.admitted_ratio * max(MIN_DECREASE_FACTOR, served_ratio),
            )
        else:
            limit.admitted_ratio = min(1.0, limit.admitted_ratio * INCREASE_FACTOR)
        limit.calls = limit.failed = 0
        limit.window_started_at = now
        if limit.admitted_ratio >= 1.0:
            del self._routes[route]
