"""Control bytes of a move at the target's size, from the sizes of its messages.

Run with ``python -m bench.bench_move_bytes``. It encodes the messages that one move of
a service with three routes sends; framing and TCP headers are added as constants.
"""

from __future__ import annotations

import json
import pathlib

import msgspec

from marigoldchute.moves.model import (
    CellReport,
    CollectorResponse,
    ConfirmationDigest,
    MemberReport,
    MoveReport,
    MoveSummary,
    StreamReport,
)
from marigoldchute.moves.reporter import (
    EXCHANGE_PER_DATA_CENTRE_S,
    MAX_REPORTS_PER_S,
    REPORT_INTERVAL_S,
    REPORTS_PER_LATENCY_REPORT,
)

NODES, CENTRES, ROUTES, LEVELS = 870, 7, 3, 2
DRIVER_QUESTIONS_PER_S = 4
CALL_OVERHEAD_BYTES = 24
RESULT = pathlib.Path(__file__).parent / "results" / "move_bytes.json"


def _size(message: object) -> int:
    return len(msgspec.msgpack.encode(message)) + CALL_OVERHEAD_BYTES


def main() -> None:
    """Print bytes a second by role."""
    cells = tuple(
        CellReport(route, new, level, (40_000, 400, 40_000, 900))
        for route in range(ROUTES)
        for new in (False, True)
        for level in range(LEVELS)
    )
    latencies = {r: {b: 1000 for b in range(10, 34)} for r in range(ROUTES)}
    now_ms = 1_796_381_405_658

    def report(histograms: dict[int, dict[int, int]]) -> MemberReport:
        move = MoveReport("turnos-r2", 0.5, False, 0, 2, 12.34, cells, histograms)
        return MemberReport("cartago-norte-123", now_ms, 5000, 620, (move,))

    mean_report = (
        _size(report({}))
        + (_size(report(latencies)) - _size(report({}))) / REPORTS_PER_LATENCY_REPORT
    )
    guidance = _size(
        [CollectorResponse("turnos-r2", 2, 10**6, 99.5, p95_ms={0: 9.5, 1: 9.5})]
    )
    streams = tuple(
        StreamReport(route, metric, level, (-300, -300, -300, -300))
        for route in range(ROUTES)
        for metric in range(2)
        for level in range(-1, LEVELS)
    )
    summary = _size([MoveSummary("turnos-r2", 10**6, 99.5, False, streams, {0: 9.5})])
    digest = _size([ConfirmationDigest("turnos-r2", 2**63, 2**63, 124)])
    per_centre = NODES / CENTRES
    interval_s = max(REPORT_INTERVAL_S, per_centre / MAX_REPORTS_PER_S)
    exchange_s = CENTRES * EXCHANGE_PER_DATA_CENTRE_S
    member = (mean_report + guidance) / interval_s
    result = {
        "report_bytes": round(mean_report),
        "guidance_bytes": guidance,
        "summary_bytes": summary,
        "stand_bytes": digest,
        "report_interval_s": round(interval_s, 2),
        "member_bytes_per_s": round(member),
        "collector_bytes_per_s": round(
            member * (per_centre - 1)
            + 2 * (CENTRES - 1) * (summary + CALL_OVERHEAD_BYTES) / exchange_s
            + DRIVER_QUESTIONS_PER_S * (digest + CALL_OVERHEAD_BYTES)
        ),
        "driver_bytes_per_s": round(
            DRIVER_QUESTIONS_PER_S * CENTRES * (digest + CALL_OVERHEAD_BYTES)
        ),
    }
    print(json.dumps(result))
    RESULT.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
