"""Control bytes of a move at the target's size, computed from its message sizes.

Run with ``python -m bench.bench_move_bytes``. It encodes the messages that one move of
a service with three routes sends, and adds framing and TCP headers as constants.
"""

from __future__ import annotations

import json
import pathlib

import msgspec

from marigoldchute.moves.model import (
    CollectorResponse,
    ConfirmationDigest,
    CountsReport,
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

NODE_COUNT, DATA_CENTRE_COUNT, ROUTE_COUNT, LOAD_LEVEL_COUNT = 870, 7, 3, 2
DRIVER_CALLS_PER_S = 4
CALL_OVERHEAD_BYTES = 24
RESULT_PATH = pathlib.Path(__file__).parent / "results" / "move_bytes.json"


def _message_bytes(message: object) -> int:
    return len(msgspec.msgpack.encode(message)) + CALL_OVERHEAD_BYTES


def main() -> None:
    """Print and write the message sizes and the bytes per second of each role."""
    counts_reports = tuple(
        CountsReport(route, new, level, (40_000, 400, 40_000, 900))
        for route in range(ROUTE_COUNT)
        for new in (False, True)
        for level in range(LOAD_LEVEL_COUNT)
    )
    latencies = {
        route: {bucket: 1000 for bucket in range(10, 34)}
        for route in range(ROUTE_COUNT)
    }
    now_ms = 1_796_381_405_658

    def report(histograms: dict[int, dict[int, int]]) -> MemberReport:
        move = MoveReport(
            "turnos-r2", 0.5, False, 0, 2, 12.34, counts_reports, histograms
        )
        return MemberReport("cartago-norte-123", now_ms, 5000, 620, (move,))

    mean_report_bytes = (
        _message_bytes(report({}))
        + (_message_bytes(report(latencies)) - _message_bytes(report({})))
        / REPORTS_PER_LATENCY_REPORT
    )
    response_bytes = _message_bytes(
        [CollectorResponse("turnos-r2", 2, 10**6, 99.5, p95_ms={0: 9.5, 1: 9.5})]
    )
    streams = tuple(
        StreamReport(route, metric, level, (-300, -300, -300, -300))
        for route in range(ROUTE_COUNT)
        for metric in range(2)
        for level in range(-1, LOAD_LEVEL_COUNT)
    )
    summary_bytes = _message_bytes(
        [MoveSummary("turnos-r2", 10**6, 99.5, False, streams, {0: 9.5})]
    )
    digest_bytes = _message_bytes([ConfirmationDigest("turnos-r2", 2**63, 2**63, 124)])
    nodes_per_data_centre = NODE_COUNT / DATA_CENTRE_COUNT
    report_interval_s = max(
        REPORT_INTERVAL_S, nodes_per_data_centre / MAX_REPORTS_PER_S
    )
    exchange_interval_s = DATA_CENTRE_COUNT * EXCHANGE_PER_DATA_CENTRE_S
    member_bytes_per_s = (mean_report_bytes + response_bytes) / report_interval_s
    result = {
        "report_bytes": round(mean_report_bytes),
        "guidance_bytes": response_bytes,
        "summary_bytes": summary_bytes,
        "stand_bytes": digest_bytes,
        "report_interval_s": round(report_interval_s, 2),
        "member_bytes_per_s": round(member_bytes_per_s),
        "collector_bytes_per_s": round(
            member_bytes_per_s * (nodes_per_data_centre - 1)
            + 2
            * (DATA_CENTRE_COUNT - 1)
            * (summary_bytes + CALL_OVERHEAD_BYTES)
            / exchange_interval_s
            + DRIVER_CALLS_PER_S * (digest_bytes + CALL_OVERHEAD_BYTES)
        ),
        "driver_bytes_per_s": round(
            DRIVER_CALLS_PER_S
            * DATA_CENTRE_COUNT
            * (digest_bytes + CALL_OVERHEAD_BYTES)
        ),
    }
    print(json.dumps(result))
    RESULT_PATH.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
