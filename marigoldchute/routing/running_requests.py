"""Requests that run, or may still run, on the backend servers of this VM."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# Timeouts of bundles that were in force before this process started are not known.
MIN_LONGEST_RUN_S = 30.0
MAX_DETACHED = 4_096


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class RunningRequest:
    """Execution of a request by a backend server of this VM.

    Parameters
    ----------
    request_id : str
        Id of the request.
    route : str
        Name of its route.
    customer : str
        Its customer; empty when it has none or it is not known.
    server_id : str
        Backend server that runs it.
    started_at : float
        Monotonic time in seconds at which it was sent to the backend server; minus
        infinity if an earlier process sent it.
    deadline : float
        Monotonic time in seconds after which it makes no further calls.
    """

    request_id: str
    route: str
    customer: str
    server_id: str
    started_at: float
    deadline: float


class RunningRequests:
    """Running requests by id, which identify the calls that backend servers make.

    A process does not know what began to run before it started. Until that has ended,
    a call whose parent is not found may be one of an earlier process's requests.

    Parameters
    ----------
    separator : str
        Text between the id of a request and the rest of the id of a call that it
        makes; empty when the ids of calls are unrelated.
    """

    def __init__(self, separator: str) -> None:
        self._separator = separator
        self._runs: dict[str, list[RunningRequest]] = {}
        # Of these nothing tells when they end.
        self._detached: dict[RunningRequest, None] = {}
        self._started_at: float | None = None
        self._longest_run_s = MIN_LONGEST_RUN_S

    def __len__(self) -> int:
        """Return the number of ids of running requests."""
        return len(self._runs)

    def start(self, now: float) -> None:
        """Record the time at which this process started, in monotonic seconds."""
        self._started_at = now

    def record_timeouts(self, timeouts_ms: Collection[int]) -> None:
        """Record how long requests may run by a bundle, in milliseconds."""
        self._longest_run_s = max(
            self._longest_run_s, max(timeouts_ms, default=0) / 1000
        )

    def begin(self, run: RunningRequest) -> None:
        """Add a request that begins to run."""
        if run.request_id:
            self._runs.setdefault(run.request_id, []).append(run)

    def end(self, run: RunningRequest) -> None:
        """Remove a request that no longer runs."""
        self._detached.pop(run, None)
        runs = self._runs.get(run.request_id, [])
        if run in runs:
            runs.remove(run)
            if not runs:
                del self._runs[run.request_id]

    def detach(self, run: RunningRequest) -> None:
        """Keep a request that may go on without a connection until its deadline."""
        self._detached[run] = None
        if len(self._detached) > MAX_DETACHED:
            self.end(next(iter(self._detached)))

    def restore(self, run: RunningRequest) -> bool:
        """Add a request that an earlier process began to run; return if it is new."""
        if not run.request_id or run.request_id in self._runs:
            return False
        self.begin(run)
        self.detach(run)
        return True

    def retain_servers(self, server_ids: Collection[str]) -> None:
        """Remove the requests without a connection that ran on other servers."""
        for run in [run for run in self._detached if run.server_id not in server_ids]:
            self.end(run)

    def list_runs(self, now: float, min_age_s: float) -> list[RunningRequest]:
        """Return the requests with an id that still run, those with a connection first.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        min_age_s : float
            Time in seconds for which they run at least.
        """
        runs = [
            run
            for runs in self._runs.values()
            for run in runs
            if now < run.deadline and now - run.started_at >= min_age_s
        ]
        runs.sort(key=self._detached.__contains__)
        return runs

    def expire(self, now: float) -> None:
        """Remove the requests without a connection whose deadline has passed."""
        for run in [run for run in self._detached if now >= run.deadline]:
            self.end(run)

    def find_parent(self, request_id: str, now: float) -> RunningRequest | None:
        """Return the running request that makes a call.

        Of several attempts it is the one with the latest deadline, as each of them may
        make the call.

        Parameters
        ----------
        request_id : str
            Id of the call.
        now : float
            Monotonic time in seconds.
        """
        runs = [
            run
            for run in self._runs.get(self._parent_id(request_id), ())
            if run not in self._detached or now < run.deadline
        ]
        return max(runs, key=lambda run: run.deadline, default=None)

    def may_lack_parent(self, request_id: str, now: float) -> bool:
        """Return whether an earlier process may have begun to run a call's parent.

        Parameters
        ----------
        request_id : str
            Id of the call.
        now : float
            Monotonic time in seconds.
        """
        return bool(self._parent_id(request_id)) and not self.is_complete(now)

    def is_complete(self, now: float) -> bool:
        """Return whether no request of an earlier process can run any more."""
        if self._started_at is None:
            return False
        return now >= self._started_at + self._longest_run_s

    def _parent_id(self, request_id: str) -> str:
        """Return the id of the parent of a call, empty if an id is not that of one."""
        if not self._separator:
            return ""
        parent_id, _, suffix = request_id.rpartition(self._separator)
        return parent_id if suffix else ""
