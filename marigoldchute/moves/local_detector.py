"""Tests the counts of this node independently of all other nodes."""

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
    from marigoldchute.moves.evidence import CountsKey, StreamKey
    from marigoldchute.moves.recorder import MoveRecorder

TEST_INTERVAL_MS = 250
SUSPECTED_THRESHOLD_FRACTION = 0.4


class LocalFaultDetector:
    """Detects faults of a new release from this node's own requests.

    Parameters
    ----------
    recorder : MoveRecorder
        Recorder of the move.
    """

    def __init__(self, recorder: MoveRecorder) -> None:
        self.recorder = recorder
        self._evidence = MoveEvidence(recorder.move.thresholds)
        self._tested: dict[CountsKey, Counts] = {}
        self._last_test_ms = 0
        self.outcomes = 0
        self.suspected = False

    def detect(self, now_ms: int, share: float, nodes: int) -> str | None:
        """Test the new counts; return a reason if the new release is faulty.

        Parameters
        ----------
        now_ms : int
            Wall-clock time in milliseconds since the epoch.
        share : float
            Share in force.
        nodes : int
            Number of nodes that run this test and share half the false-alarm
            probability.
        """
        if now_ms - self._last_test_ms < TEST_INTERVAL_MS:
            return None
        self._last_test_ms = now_ms
        for key, counts in self.recorder.counts_by_key.items():
            delta = counts.minus(self._tested.get(key, Counts()))
            if any(delta):
                self._tested[key] = counts
                self._evidence.add(key, delta, now_ms)
        self.outcomes = sum(c.outcomes for k, c in self._tested.items() if k.new)
        self._evidence.close_windows(now_ms, share >= 1.0)
        return self._evaluate(nodes)

    @property
    def degraded(self) -> bool:
        """Whether the new release, running alone, fails more than the old one did."""
        return self._evidence.degraded

    def reset_history(self) -> None:
        """Restart the comparison with the old release's past failure rate."""
        self._evidence.reset_history()

    def _evaluate(self, nodes: int) -> str | None:
        streams = self._evidence.streams()
        log_e = log_e_value(streams)
        false_alarm = self.recorder.move.thresholds.false_alarm
        threshold = log_threshold(false_alarm, 2 * max(nodes, 1))
        self.suspected = log_e > SUSPECTED_THRESHOLD_FRACTION * threshold
        if log_e <= threshold:
            return None
        return describe_fault(self.recorder, worst_stream(streams))


def describe_fault(recorder: MoveRecorder, stream: StreamKey | None) -> str:
    """Return a short explanation for operators from the strongest test."""
    if stream is None:
        return "new release is worse"
    kind = "errors" if stream.metric == 0 else "slow answers"
    route = recorder.routes[stream.route]
    release, old = recorder.move.new_release, recorder.move.old_release
    return f"more {kind} of {release} than of {old} on route {route}"
