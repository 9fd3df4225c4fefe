"""Messages and data model of moves."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

import msgspec

LOG_RESOLUTION = 0.01


class VerdictKind(enum.StrEnum):
    """Outcome of a move."""

    DONE = "done"
    TAKEN_BACK = "taken back"


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Final decision about a move, written to the store exactly once.

    Parameters
    ----------
    move_id : str
        Id of the decided move.
    kind : VerdictKind
        Outcome.
    reason : str
        Short explanation for operators.
    author : str
        Node or operator who wrote it.
    at_ms : int
        Wall-clock time of the writer in milliseconds since the epoch.
    token : str
        Unique token by which the writer identifies its own write.
    members : int
        Number of members that had confirmed when it was written.
    """

    move_id: str
    kind: VerdictKind
    reason: str
    author: str
    at_ms: int
    token: str
    members: int


@dataclasses.dataclass(frozen=True)
class Fault:
    """Fault of a new release; it is never withdrawn once published."""

    move_id: str
    node: str
    reason: str
    at_ms: int


class Stage(enum.IntEnum):
    """Stage of one member in one move.

    ``ROLLING``: the member follows the steps. ``CONFIRMED``: it keeps the full share
    until the verdict. ``RETURNED``: it went back to share 0 at the deadline without
    having confirmed, which rules out *done*. ``UNDECIDED``: the deadline has passed and
    the member joined too late to know whether a driver counted it, so it follows its
    peers until the verdict. ``DECIDED``: it has received the verdict.
    """

    ROLLING = 0
    CONFIRMED = 1
    RETURNED = 2
    UNDECIDED = 3
    DECIDED = 4


class CountsReport(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative counts of one member for one route, release and load level."""

    route: int
    new: bool
    level: int
    counts: tuple[int, int, int, int]


class MoveReport(msgspec.Struct, frozen=True, array_like=True):
    """State and counts of one member for one move.

    Parameters
    ----------
    move_id : str
        Move id.
    share : float
        Share of requests that the member sends to the new release.
    confirmed : bool
        Whether the member has confirmed the full share, which it then keeps until
        it receives the verdict.
    stage : int
        Value of ``Stage``.
    step : int
        Index of the step in force, -1 before the start.
    concurrency : float
        Mean number of concurrent requests of the member to the move's service.
    counts_reports : tuple of CountsReport
        Counts of the member, cumulative within its incarnation.
    latencies : dict of int to dict of int to int
        Latency histogram of the old release by route. Large histograms are only in
        some of the reports.
    joined_late : bool
        Whether the member joined so late that a driver may not have counted it.
    """

    move_id: str
    share: float
    confirmed: bool
    stage: int = Stage.ROLLING
    step: int = -1
    concurrency: float = 0.0
    counts_reports: tuple[CountsReport, ...] = ()
    latencies: dict[int, dict[int, int]] = {}
    joined_late: bool = False


class MemberReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of one member to the collector of its data centre.

    Parameters
    ----------
    name : str
        Member name.
    incarnation : int
        Incarnation of the member (start time of its process).
    sequence : int
        Sequence number, increasing with each report of an incarnation.
    version : int
        Bundle version in force.
    moves : tuple of MoveReport
        State and counts for each move.
    """

    name: str
    incarnation: int
    sequence: int
    version: int
    moves: tuple[MoveReport, ...]


class ConfirmationDigest(msgspec.Struct, frozen=True, array_like=True):
    """Digest of the members of a data centre that have confirmed a move.

    Parameters
    ----------
    move_id : str
        Move id.
    members : int
        Digest of the names and incarnations of the data centre's members.
    confirmed : int
        Digest of the members that have confirmed; equal to ``members`` when all have.
    count : int
        Number of members that have confirmed.
    """

    move_id: str
    members: int
    confirmed: int
    count: int


class StreamReport(msgspec.Struct, frozen=True, array_like=True):
    """E-process of one test, as logarithms in units of ``LOG_RESOLUTION``."""

    route: int
    metric: int
    level: int
    log_values: tuple[int, ...]


class MoveSummary(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of one data centre about one move.

    Parameters
    ----------
    move_id : str
        Move id.
    outcomes : int
        Number of outcomes of the new release so far.
    concurrency : float
        Mean number of concurrent requests to the move's service.
    degraded : bool
        Whether the new release, running alone, fails more than the old one did.
    streams : tuple of StreamReport
        E-process of each test.
    p95_ms : dict of int to float
        95th percentile of the old release's latency by route, in milliseconds.
    """

    move_id: str
    outcomes: int
    concurrency: float
    degraded: bool
    streams: tuple[StreamReport, ...]
    p95_ms: dict[int, float]


class CollectorResponse(msgspec.Struct, frozen=True, array_like=True):
    """Response of a collector to a member's report, for one move.

    Parameters
    ----------
    move_id : str
        Move id.
    step : int
        Lowest step in force among the members of the data centre that did not join
        late, -1 when none of them has started.
    outcomes : int
        Number of outcomes of the new release so far, over all reachable data centres.
    concurrency : float
        Mean number of concurrent requests to the move's service, over all reachable
        data centres.
    suspected : bool
        Whether evidence against the new release delays the next step and the
        confirmation.
    degraded : bool
        Whether the new release, running alone, fails more than the old one did.
    confirmed, returned : int
        Number of members of the data centre in each of these stages.
    p95_ms : dict of int to float
        95th percentile of the old release's latency by route, in milliseconds.
    """

    move_id: str
    step: int = -1
    outcomes: int = 0
    concurrency: float = 0.0
    suspected: bool = False
    degraded: bool = False
    confirmed: int = 0
    returned: int = 0
    p95_ms: dict[int, float] = {}


@dataclasses.dataclass(frozen=True)
class Split:
    """Current split of a service's requests between two releases.

    Parameters
    ----------
    old_release, new_release : str
        Both releases; equal when no move is in progress.
    share : float
        Share of the new release, 0 to 1.
    move_id : str
        Id of the move that sets the share; empty when there is none.
    """

    old_release: str
    new_release: str
    share: float
    move_id: str = ""


class SplitSource(Protocol):
    """Provides the current split of each service's requests."""

    def split(self, service: str, release: str) -> Split:
        """Return the current split of a service's requests between releases.

        Parameters
        ----------
        service : str
            Service name.
        release : str
            Release given in the bundle; empty when it gives none.

        Raises
        ------
        NotRunError
            It is unknown which release may run the requests.
        """
