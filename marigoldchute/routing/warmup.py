"""Limit on the requests that a cold backend server receives.

Only the owner sends requests to its backend server, so it alone keeps the limit,
exactly and regardless of what other nodes know. Entries plan with the lower rate, so
that few requests are sent to a server that has to refuse them.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import NotRunError, ResultCode

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from marigoldchute.routing.candidates import Candidates
    from marigoldchute.routing.messages import RequestHead
    from marigoldchute.routing.target import Target

BOUND_WINDOW_S = 1.0  # The bound holds for requests in any one second.
MAX_REQUESTS = 256  # Of the limit; also the number of send times that are kept.
MIN_REQUESTS_PER_S = 0.001  # Keeps all times finite.
# Part of the limit that is kept for priority 0 and nested calls, as far as some came in
# the last window. Kept without condition, it is lost under a load without such
# requests; the rest keeps other requests from starving.
URGENT_RATIO = 0.75
# A report that arrives sooner after a doubt may have been sent before it: while the
# process is paused, reports wait to be read.
MIN_REPORT_DELAY_S = 0.3
# A refused request is tried elsewhere, so it waits only where that is about as fast.
MAX_WAIT_S = 0.25
MAX_WAIT_RATIO = 0.25
# Refusing a nested call discards the work of the request that made it.
NESTED_MAX_WAIT_RATIO = 0.5
DEFAULT_REPORT_INTERVAL_S = 1.5


@dataclasses.dataclass(frozen=True)
class WarmupRate:
    """Limit of a cold backend server: ``max_requests`` in any ``window_s``."""

    max_requests: int
    window_s: float

    def max_beside(self, urgent_count: int) -> int:
        """Return the limit of the other requests beside some urgent ones."""
        kept = min(int(URGENT_RATIO * self.max_requests), urgent_count)
        return self.max_requests - kept


def make_rate(
    requests_per_s: float, overshoot: float = 1.0, slack: float = 0.0
) -> WarmupRate:
    """Return the limit for the rate that a cold server tolerates.

    Parameters
    ----------
    requests_per_s : float
        Tolerated rate, above 0.
    overshoot, slack : float
        In any second the server may get ``overshoot`` times the rate and ``slack``
        requests. The limit is the rate itself unless this bound is lower.
    """
    requests_per_s = min(MAX_REQUESTS, max(MIN_REQUESTS_PER_S, requests_per_s))
    # A value that is no number gives the highest bound.
    bound = math.floor(max(0.0, min(MAX_REQUESTS, requests_per_s * overshoot + slack)))
    max_requests = min(max(1, int(requests_per_s)), bound)
    window_s = max(BOUND_WINDOW_S, max_requests / requests_per_s)
    return WarmupRate(max_requests, window_s)


class SendLog:
    """Times of the latest requests that were sent to a port of this VM.

    An earlier process may have sent any number of requests just before this one
    started, so all earlier requests count as sent at the start.

    Parameters
    ----------
    started_at : float
        Monotonic time of the start.
    """

    def __init__(self, started_at: float) -> None:
        self._times: collections.deque[float] = collections.deque(maxlen=MAX_REQUESTS)
        self._earlier_at = started_at
        self.last_at = started_at

    def record(self, now: float) -> None:
        """Record a request that is sent now."""
        if len(self._times) == MAX_REQUESTS:
            self._earlier_at = self._times[0]
        self._times.append(now)
        self.last_at = now

    def nth_last(self, number: int) -> float:
        """Return the time of the request that is ``number``-th from the end."""
        if number <= len(self._times):
            return self._times[-number]
        return self._earlier_at

    def room_at(self, limit: int, window_s: float, now: float, ahead: int) -> float:
        """Return when one more request keeps to a limit in each window.

        Parameters
        ----------
        limit : int
            Number of requests in any ``window_s``.
        window_s : float
            Length of a window in seconds.
        now : float
            Monotonic time in seconds.
        ahead : int
            Number of requests that are sent before it.
        """
        if limit <= 0:
            return float("inf")
        windows, place = divmod(ahead, limit)
        first_at = max(now, self.nth_last(limit - place) + window_s)
        return first_at + windows * window_s

    def count_since(self, since: float) -> int:
        """Return the number of requests after a time, at most ``MAX_REQUESTS``."""
        return sum(at > since for at in self._times)


class WarmupGuard:
    """What the owner knows of the warm-up of one backend server.

    A server is limited while its latest report says that it is cold, and while that is
    in doubt: at first, and from the first request after ``idle_s`` without one, until a
    later report says that it is warm. A server that gets no requests may become cold,
    and its node may be paused meanwhile, which also is a time without requests.

    Parameters
    ----------
    sends : SendLog
        Requests that were sent to the port of the server.
    idle_s : float
        Time without requests after which the server may be cold; the interval of its
        reports.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, sends: SendLog, idle_s: float, now: float) -> None:
        self._sends = sends
        self._urgent_arrivals = SendLog(float("-inf"))
        self._other_sends = SendLog(float("-inf"))  # Those that are not urgent.
        self._idle_s = idle_s
        self._cold_until = float("-inf")
        # Reports from this time on resolve the doubt; None without one.
        self._doubt_ends_from: float | None = now
        self._waiting = 0
        self._waiting_urgent = 0

    def is_limited(self, now: float) -> bool:
        """Return whether the server is or may be cold."""
        return now < self._cold_until or self._doubt_ends_from is not None

    def record_report(self, warmup_left_s: float, now: float) -> None:
        """Record a status report of the server."""
        if warmup_left_s > 0.0:
            self._cold_until = now + warmup_left_s
        elif self._doubt_ends_from is None or now >= self._doubt_ends_from:
            self._cold_until = now
        if self._doubt_ends_from is not None and now >= self._doubt_ends_from:
            self._doubt_ends_from = None

    def record_refused_connection(self, now: float) -> None:
        """Record that the server refused a connection.

        It may be starting again, under the same name and before it reports.
        """
        self._raise_doubt(now)

    def record_send(self, now: float, is_urgent: bool = False) -> None:
        """Record a request that is sent to the server now."""
        self._sends.record(now)
        if not is_urgent:
            self._other_sends.record(now)

    def check_idle(self, now: float) -> None:
        """Doubt that the server is warm if it had no request for a time."""
        if now - self._sends.last_at > self._idle_s:
            self._raise_doubt(now)

    def room_at(
        self, rate: WarmupRate, is_urgent: bool, now: float, ahead: int = 0
    ) -> float:
        """Return the time at which one more request may be sent.

        Parameters
        ----------
        rate : WarmupRate
            Limit of the service.
        is_urgent : bool
            Whether the request may use the part that is kept for urgent ones.
        now : float
            Monotonic time in seconds.
        ahead : int
            Number of requests that are sent before it.
        """
        if not self.is_limited(now):
            return now
        room_at = self._sends.room_at(rate.max_requests, rate.window_s, now, ahead)
        if is_urgent:
            return room_at
        urgent_count = self._urgent_arrivals.count_since(now - rate.window_s)
        limit = rate.max_beside(urgent_count)
        other_room_at = self._other_sends.room_at(limit, rate.window_s, now, ahead)
        return max(room_at, other_room_at)

    @contextlib.contextmanager
    def waiting(
        self, rate: WarmupRate, is_urgent: bool, max_wait_s: float, now: float
    ) -> Iterator[None]:
        """Count a request as waiting until it is sent or refused.

        Raises
        ------
        NotRunError
            There is no room for it in time.
        """
        if is_urgent:
            self._urgent_arrivals.record(now)
        self.check_idle(now)
        ahead = self._waiting_urgent if is_urgent else self._waiting
        self._check_wait(rate, is_urgent, ahead, now + max_wait_s, now)
        self._waiting += 1
        self._waiting_urgent += is_urgent
        try:
            yield
        finally:
            self._waiting -= 1
            self._waiting_urgent -= is_urgent

    async def send(self, rate: WarmupRate, is_urgent: bool, latest_at: float) -> None:
        """Wait until a request may be sent and record it as sent.

        Raises
        ------
        NotRunError
            There is no room for it before ``latest_at``, monotonic time in seconds.
        """
        while True:
            now = trio.current_time()
            self.check_idle(now)
            room_at = self._check_wait(rate, is_urgent, 0, latest_at, now)
            if room_at <= now:
                self.record_send(now, is_urgent)
                return
            await trio.sleep_until(room_at)

    def _check_wait(
        self,
        rate: WarmupRate,
        is_urgent: bool,
        ahead: int,
        latest_at: float,
        now: float,
    ) -> float:
        room_at = self.room_at(rate, is_urgent, now, ahead)
        if room_at > max(now, latest_at):
            wait_s = room_at - now if room_at < float("inf") else 0.0
            sent = self._sends.count_since(now - rate.window_s)
            raise NotRunError(
                f"backend server is cold or may be: {sent} sent and {ahead} waiting "
                f"of {rate.max_requests} in {rate.window_s:.2f} s",
                ResultCode.REQUEST_NOT_RUN_WARMING_UP,
                wait_s,
            )
        return room_at

    def _raise_doubt(self, now: float) -> None:
        if self._doubt_ends_from is None:
            self._doubt_ends_from = now + MIN_REPORT_DELAY_S


def is_urgent(head: RequestHead) -> bool:
    """Return whether a request may use the room that is kept for urgent ones."""
    return head.is_nested or head.priority <= 0


def max_wait_s(head: RequestHead) -> float:
    """Return how long a request may wait until a cold server has room for it."""
    if head.is_nested:
        return NESTED_MAX_WAIT_RATIO * head.remaining_ms / 1000
    due_ms = min(head.remaining_ms, head.objective_ms or head.remaining_ms)
    return min(MAX_WAIT_S, MAX_WAIT_RATIO * due_ms / 1000)


class WarmupPacer:
    """Keeps an entry from choosing a cold target more often than its part of the rate.

    All nodes choose among the same targets and know of no requests of the others, and
    a cold target looks empty. So each node chooses it once in the time in which the
    target has room for one request of every node, and at first at a random time
    within that.

    Parameters
    ----------
    rng : random.Random
        Source of random choices.
    count_nodes : callable
        Returns the number of nodes that may choose the targets.
    """

    def __init__(self, rng: random.Random, count_nodes: Callable[[], int]) -> None:
        self._rng = rng
        self._count_nodes = count_nodes

    def prepare(
        self, candidates: Candidates, requests_per_s: float, now: float, now_ms: int
    ) -> None:
        """Pause each target that has become cold for a random time."""
        for tier in (candidates.data_centre, candidates.region, candidates.remote):
            for target in tier:
                if not target.is_limited(now, now_ms):
                    target.is_paced = False
                elif not target.is_paced:
                    target.is_paced = True
                    part = self._rng.random()
                    self._pause(target, part, requests_per_s, now, now_ms)

    def record_choice(
        self, target: Target, requests_per_s: float, now: float, now_ms: int
    ) -> None:
        """Pause a cold target that was chosen."""
        if target.is_paced and requests_per_s > 0.0:
            part = self._rng.uniform(0.5, 1.5)
            self._pause(target, part, requests_per_s, now, now_ms)

    def _pause(
        self,
        target: Target,
        part: float,
        requests_per_s: float,
        now: float,
        now_ms: int,
    ) -> None:
        interval_s = max(1, self._count_nodes()) / max(
            MIN_REQUESTS_PER_S, requests_per_s
        )
        limited_until = target.limited_until(now, now_ms)
        target.pause(min(now + part * interval_s, limited_until))
