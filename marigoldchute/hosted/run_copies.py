"""Copies of the running requests of other nodes, for the case that they restart."""

from __future__ import annotations

import dataclasses

import msgspec

MAX_COPIED_RUNS = 128  # In one report.


class CopiedRun(msgspec.Struct, frozen=True, array_like=True):
    """Running request in a message.

    Parameters
    ----------
    request_id, route, customer, server_id : str
        As in ``RunningRequest``.
    remaining_ms : int
        Time until its deadline.
    """

    request_id: str
    route: str
    customer: str
    server_id: str
    remaining_ms: int


class RunReport(msgspec.Struct, frozen=True, array_like=True):
    """Requests that run on the backend servers of the sender's VM.

    Parameters
    ----------
    process_id : int
        Differs between the processes of one node; the time at which it started, in
        milliseconds since the epoch.
    wants_earlier : bool
        Whether the sender wants the requests of its earlier processes.
    runs : tuple of CopiedRun
        Requests that run now; they replace those of the previous report.
    """

    process_id: int
    wants_earlier: bool
    runs: tuple[CopiedRun, ...]


REPORT_DECODER = msgspec.msgpack.Decoder(RunReport)
RUNS_DECODER = msgspec.msgpack.Decoder(tuple[CopiedRun, ...])
ENCODER = msgspec.msgpack.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class _DatedRun:
    """Copied run, whose ``remaining_ms`` were left at ``received_at``."""

    run: CopiedRun
    received_at: float

    def remaining_ms(self, now: float) -> int:
        return self.run.remaining_ms - int((now - self.received_at) * 1000)


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """What a node reported last, and what its earlier processes had reported."""

    process_id: int
    runs: tuple[_DatedRun, ...]
    earlier: tuple[_DatedRun, ...]


class RunCopies:
    """Latest report of each node, and the reports of its earlier processes.

    A run is dropped when its deadline has passed.
    """

    def __init__(self) -> None:
        self._copies: dict[str, _Copy] = {}

    def __len__(self) -> int:
        """Return the number of nodes with a copy."""
        return len(self._copies)

    def handle_report(
        self, name: str, report: RunReport, now: float
    ) -> tuple[CopiedRun, ...]:
        """Keep the report of a node; return the requests of its earlier processes.

        Parameters
        ----------
        name : str
            Name of the node.
        report : RunReport
            Its report.
        now : float
            Monotonic time in seconds.
        """
        copy = self._copies.get(name)
        earlier: tuple[_DatedRun, ...] = ()
        if copy is not None:
            is_same = copy.process_id == report.process_id
            earlier = copy.earlier if is_same else copy.earlier + copy.runs
            earlier = _unexpired(earlier, now)[-MAX_COPIED_RUNS:]
        runs = tuple(_DatedRun(run, now) for run in report.runs[:MAX_COPIED_RUNS])
        self._copies[name] = _Copy(report.process_id, runs, earlier)
        if not report.wants_earlier:
            return ()
        return tuple(
            msgspec.structs.replace(dated.run, remaining_ms=dated.remaining_ms(now))
            for dated in earlier
        )

    def expire(self, now: float) -> None:
        """Drop the nodes of whose requests none can run any more."""
        for name, copy in list(self._copies.items()):
            if not _unexpired(copy.runs + copy.earlier, now):
                del self._copies[name]


def _unexpired(runs: tuple[_DatedRun, ...], now: float) -> tuple[_DatedRun, ...]:
    return tuple(run for run in runs if run.remaining_ms(now) > 0)
