"""Tests the counts of this node by itself, with no word from any other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.moves.evidence import (
    Counts,
    MoveEvidence,
    log_e_value,
    worst_stream,
)
from marigoldchute.moves.sequential import log_threshold

if TYPE_CHECKING:
    from marigoldchute.moves.evidence import CellKey, StreamKey
    from marigoldchute.moves.recorder import MoveRecorder

LOOK_INTERVAL_MS = 250
WARY_SHARE_OF_THRESHOLD = 0.4


class LocalWatch:
    """Sequential test over one move's requests of this node.

    Parameters
    ----------
    recorder : MoveRecorder
        Counts of the move.
    """

    def __init__(self, recorder: MoveRecorder) -> None:
        self.recorder = recorder
        self._evidence = MoveEvidence(recorder.move.thresholds)
        self._seen: dict[CellKey, Counts] = {}
        self._looked_ms = 0
        self.answered = 0
        self.wary = False

    def look(self, now_ms: int, share: float, nodes: int) -> str | None:
        """Test the counts; return the reason when they convict the new release.

        Parameters
        ----------
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        share : float
            Share in force.
        nodes : int
            Nodes that test by themselves and share half the false-alarm probability.
        """
        if now_ms - self._looked_ms < LOOK_INTERVAL_MS:
            return None
        self._looked_ms = now_ms
        for key, counts in self.recorder.cells.items():
            fresh = counts.minus(self._seen.get(key, Counts()))
            if any(fresh):
                self._seen[key] = counts
                self._evidence.add(key, fresh, now_ms)
        self.answered = sum(c.answered for k, c in self._seen.items() if k.new)
        self._evidence.close_windows(now_ms, share >= 1.0)
        return self._judge(nodes)

    @property
    def suspicious(self) -> bool:
        """Whether the new release alone fails more than the old one did."""
        return self._evidence.suspicious

    def forget_suspicion(self) -> None:
        """Begin anew to compare with the past."""
        self._evidence.forget_suspicion()

    def _judge(self, nodes: int) -> str | None:
        streams = self._evidence.streams()
        log_e = log_e_value(streams)
        alpha = self.recorder.move.thresholds.false_alarm
        limit = log_threshold(alpha, 2 * max(nodes, 1))
        self.wary = log_e > WARY_SHARE_OF_THRESHOLD * limit
        if log_e <= limit:
            return None
        return describe(self.recorder, worst_stream(streams))


def describe(recorder: MoveRecorder, stream: StreamKey | None) -> str:
    """Return a short sentence about the test with the most evidence."""
    if stream is None:
        return "new release is worse"
    kind = "errors" if stream.metric == 0 else "slow answers"
    route = recorder.routes[stream.route]
    release, old = recorder.move.new_release, recorder.move.old_release
    return f"more {kind} of {release} than of {old} on route {route}"
