"""Faults of the backend server stand-in, switchable while it runs."""

from __future__ import annotations

import dataclasses

FAULTS_TARGET = b"/standin/faults"
STATE_TARGET = b"/standin/state"


@dataclasses.dataclass(frozen=True)
class BackendFaults:
    """What a stand-in does wrong, and when.

    The shares are drawn one after another for each request, in the order in which
    they stand here. A request that meets none of them is answered well.

    Parameters
    ----------
    refuse_share : float
        Share of requests refused before they run: status 503 with the header
        ``marigoldchute-not-run: 1``.
    drop_share : float
        Share of requests that run and whose connection then closes without an answer.
    hang_share : float
        Share of requests that run and are never answered.
    cut_share : float
        Share of answers cut in the middle.
    error_share : float
        Share of requests answered with status 500.
    delay_ms : float
        Time added to each answer.
    path_prefix : str
        Only requests whose path starts with it are affected.
    more_than_running : int
        The faults act only while more requests than this run at once.
    after_s : float
        The faults act only from this time after they were set.
    draining : bool
        Whether the stand-in announces that it drains.
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

    def act_on(self, path: str, running: int, elapsed_s: float) -> bool:
        """Return whether the faults act on a request.

        Parameters
        ----------
        path : str
            Request target.
        running : int
            Requests that run now, this one included.
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
    """What a stand-in has counted since its start.

    Parameters
    ----------
    runs : dict of str to int
        Executions by the header ``idempotency-key``.
    total_runs : int
        All executions.
    cancelled : int
        Executions whose caller went away before the answer.
    running, max_running : int
        Requests that run now, and the most that ran at once.
    connections, max_connections : int
        Open connections now, and the most that were open at once.
    """

    runs: dict[str, int]
    total_runs: int
    cancelled: int
    running: int
    max_running: int
    connections: int
    max_connections: int
