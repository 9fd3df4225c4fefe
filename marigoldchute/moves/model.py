"""Messages and state of moves."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

import msgspec

LOG_UNIT = 0.01


class VerdictKind(enum.StrEnum):
    """Outcome of a move."""

    DONE = "done"
    TAKEN_BACK = "taken back"


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The one decision about a move, written once to the store.

    Parameters
    ----------
    move_id : str
        Move that is decided.
    kind : VerdictKind
        Outcome.
    reason : str
        Short sentence.
    author : str
        Node or operator who wrote it.
    at_ms : int
        Wall-clock time of the writer in milliseconds since the epoch.
    token : str
        Unique token by which the writer recognises its own write.
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
    """A fault of a new release; once known it is never forgotten."""

    move_id: str
    node: str
    reason: str
    at_ms: int


class Stage(enum.IntEnum):
    """Where one member stands in one move.

    ``ROLLING`` follows the steps. ``CONFIRMED`` has promised the full share until the
    verdict. ``RETURNED`` fell back to share 0 at the deadline without having confirmed,
    which rules *done* out. ``UNDECIDED`` joined too late to know whether it was counted
    and looks for the verdict. ``DECIDED`` knows it.
    """

    ROLLING = 0
    CONFIRMED = 1
    RETURNED = 2
    UNDECIDED = 3
    DECIDED = 4


class CellReport(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative counts of one cell of evidence on one member."""

    route: int
    new: bool
    level: int
    counts: tuple[int, int, int, int]


class MoveReport(msgspec.Struct, frozen=True, array_like=True):
    """Where one member stands in one move.

    Parameters
    ----------
    move_id : str
        Move.
    share : float
        Share of requests for the new release in force on the member.
    confirmed : bool
        Whether the member has confirmed the full share, which it then holds until
        it learns the verdict.
    stage : int
        A ``Stage``.
    step : int
        Index of the step in force, -1 before the start.
    busy : float
        Mean number of the member's requests that run at a time.
    cells : tuple of CellReport
        Its counts, cumulative in its incarnation.
    latencies : dict of int to dict of int to int
        Histogram of the old release's latencies by route, in some reports only.
    late : bool
        Whether the member joined so late that a driver may not have counted it.
    """

    move_id: str
    share: float
    confirmed: bool
    stage: int = Stage.ROLLING
    step: int = -1
    busy: float = 0.0
    cells: tuple[CellReport, ...] = ()
    latencies: dict[int, dict[int, int]] = {}
    late: bool = False


class MemberReport(msgspec.Struct, frozen=True, array_like=True):
    """What one member tells the collector of its data centre.

    Parameters
    ----------
    name : str
        Member.
    incarnation : int
        Start of its process.
    sequence : int
        Rises with each report of an incarnation.
    version : int
        Bundle version in force.
    moves : tuple of MoveReport
        Its moves.
    """

    name: str
    incarnation: int
    sequence: int
    version: int
    moves: tuple[MoveReport, ...]


class Stand(msgspec.Struct, frozen=True, array_like=True):
    """Which members of a data centre have confirmed a move, as its collector knows.

    Parameters
    ----------
    move_id : str
        Move.
    members : int
        Digest of the names and incarnations of the data centre's members.
    confirmed : int
        Digest of those that have confirmed; equal when every member has.
    count : int
        Number of members that have confirmed.
    """

    move_id: str
    members: int
    confirmed: int
    count: int


class StreamReport(msgspec.Struct, frozen=True, array_like=True):
    """E-process of one sequential test; logarithms in units of ``LOG_UNIT``."""

    route: int
    metric: int
    level: int
    logs: tuple[int, ...]


class MoveSummary(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of one data centre about one move.

    Parameters
    ----------
    move_id : str
        Move.
    answered : int
        Answers of the new release so far.
    busy : float
        Mean number of requests that run at a time.
    suspicious : bool
        Whether the new release alone fails more than the old one did.
    streams : tuple of StreamReport
        E-processes.
    p95_ms : dict of int to float
        95th percentile of the old release's latency by route, in milliseconds.
    """

    move_id: str
    answered: int
    busy: float
    suspicious: bool
    streams: tuple[StreamReport, ...]
    p95_ms: dict[int, float]


class Guidance(msgspec.Struct, frozen=True, array_like=True):
    """What a collector answers a member's report with, for one move.

    Parameters
    ----------
    move_id : str
        Move.
    step : int
        Lowest step in force among the data centre's members that are not late, -1 when
        none has begun.
    answered : int
        Answers of the new release so far, all data centres that answer.
    busy : float
        Mean number of requests that run at a time, all data centres that answer.
    wary : bool
        Whether the evidence speaks against a further step for now.
    suspicious : bool
        Whether the new release alone fails more than the old one did.
    confirmed, returned : int
        Members of the data centre in those stages.
    p95_ms : dict of int to float
        95th percentile of the old release's latency by route, in milliseconds.
    """

    move_id: str
    step: int = -1
    answered: int = 0
    busy: float = 0.0
    wary: bool = False
    suspicious: bool = False
    confirmed: int = 0
    returned: int = 0
    p95_ms: dict[int, float] = {}


@dataclasses.dataclass(frozen=True)
class Split:
    """How the requests of a service divide between two releases now.

    Parameters
    ----------
    old_release, new_release : str
        Releases; equal when no move is under way.
    share : float
        Share for the new release, 0 to 1.
    move_id : str
        Move that decides the share; empty when there is none.
    """

    old_release: str
    new_release: str
    share: float
    move_id: str = ""


class SplitSource(Protocol):
    """Says how the requests of each service divide between its releases."""

    def split(self, service: str, release: str) -> Split:
        """Return how the requests of a service divide now.

        Parameters
        ----------
        service : str
            Service name.
        release : str
            Release that the bundle names; empty when it names none.

        Raises
        ------
        NotRunError
            It is not known which release may run the requests.
        """
