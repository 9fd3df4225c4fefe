"""Faults of the backend server stand-in, which can be changed while it runs."""

from __future__ import annotations

import dataclasses

FAULTS_TARGET = b"/standin/faults"
STATE_TARGET = b"/standin/state"


@dataclasses.dataclass(frozen=True)
class BackendFaults:
    """Faults that a stand-in injects, and the conditions for them.

    For each request the shares are drawn one after another, in the order of the
    parameters. A request for which no fault is drawn succeeds.

    Parameters
    ----------
    refuse_share : float
        Share of requests refused before execution: status 503 with the header
        ``marigoldchute-not-run: 1``.
    drop_share : float
        Share of requests that are executed, but whose connection closes without a
        response.
    hang_share : float
        Share of requests that are executed, but never get a response.
    cut_share : float
        Share of responses that end before their declared length.
    error_share : float
        Share of requests that get status 500.
    delay_ms : float
        Delay added to each response.
    path_prefix : str
        Prefix of the request targets to which the faults apply.
    more_than_running : int
        The faults apply only while more requests than this are being executed.
    after_s : float
        The faults apply only after this time since they were set.
    draining : bool
        Whether the stand-in announces that it is draining.
    """

    refuse_share: float = 0.0
    drop_share: float = 0.0
    hang_share: float = 0.0
    cut_share: float = 0.0
    error_share: float = 0.0
    delay_ms: float = 0.0
    path_prefix: str = ""
    more_than_running: int = 0
    after_s: float = 0.0
    draining: bool = False

    def apply_to(self, path: str, running: int, elapsed_s: float) -> bool:
        """Return whether the faults apply to a request.

        Parameters
        ----------
        path : str
            Request target.
        running : int
            Number of requests being executed, including this one.
        elapsed_s : float
            Time since the faults were set.
        """
        return (
            path.startswith(self.path_prefix)
            and running > self.more_than_running
            and elapsed_s >= self.after_s
        )


@dataclasses.dataclass(frozen=True)
class BackendState:
    """Counts of a stand-in since its start.

    Parameters
    ----------
    runs : dict of str to int
        Executions by value of the header ``idempotency-key``.
    total_runs : int
        Number of all executions.
    cancelled : int
        Executions whose caller disconnected before the response.
    running, max_running : int
        Current and highest number of requests in execution.
    connections, max_connections : int
        Current and highest number of open connections.
    """

    runs: dict[str, int]
    total_runs: int
    cancelled: int
    running: int
    max_running: int
    connections: int
    max_connections: int
