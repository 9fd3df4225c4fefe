"""LOST: a stopped node takes requests that it cuts off before its grace period ends."""

from __future__ import annotations

import asyncio
import signal

from stand_ins import (
    BOUNDS,
    Answer,
    Deployment,
    Record,
    configuration,
    route,
    run_case,
    send_request,
)

# As the certification of the site hanbit-mesh: its deadline, the timeout of its route,
# its objective and slots, and work of 293 ms on average (290 there) that stays below
# the timeout (2,100 ms at most there).
DEADLINE_MS = 4000
TIMEOUT_MS = 2000
OBJECTIVE_MS = 1000
SLOTS = 6
SHORT_WORK_MS, LONG_WORK_MS = 120, 1850
LONG_EVERY = 10
SEND_INTERVAL_S = 0.04
EXCUSED_S = 3.0


async def case(record: Record, trouble: bool) -> bool:
    """Stop the only node of a zone while its requesters go on; return the result."""
    layout = [("zone-a", "desk"), ("zone-b", "desk"), ("zone-c", "desk")]
    deployment = Deployment(record, layout, heartbeat_ms=870, slots=SLOTS)
    routes = [
        route(
            "certify",
            "/certify/",
            "desk",
            "non_idempotent",
            timeout_ms=TIMEOUT_MS,
            target_latency_ms=OBJECTIVE_MS,
        )
    ]
    try:
        await deployment.start(configuration(12, ["desk"], routes))
        await asyncio.sleep(1 + BOUNDS["stable_window_ms"] / 1000)
        return await stop_and_judge(record, deployment, trouble)
    finally:
        await deployment.close()


async def stop_and_judge(record: Record, deployment: Deployment, trouble: bool) -> bool:
    """Send requests around the stop and count those that were lost."""
    node = deployment.nodes[0]
    answers: list[Answer] = []

    async def send(work_ms: int) -> None:
        path = f"/certify/x?work_ms={work_ms}"
        answers.append(
            await send_request(record, node, "POST", path, DEADLINE_MS, b"statement")
        )

    stopped_at = record.now() + 2.0
    sent = False
    tasks = []
    number = 0
    while record.now() < stopped_at + BOUNDS["grace_s"]:
        if trouble and not sent and record.now() >= stopped_at:
            node.send_signal(signal.SIGTERM)
            stopped_at, sent = record.now(), True
        if node.takes_new_work:
            number += 1
            work_ms = SHORT_WORK_MS if number % LONG_EVERY else LONG_WORK_MS
            tasks.append(asyncio.ensure_future(send(work_ms)))
        await asyncio.sleep(SEND_INTERVAL_S)
    await asyncio.gather(*tasks)
    if trouble and await node.wait_for_exit(2.0):
        record.say(f"{node.name} ended with {node.process.returncode}")
    return judge(record, deployment, answers, stopped_at)


def judge(
    record: Record, deployment: Deployment, answers: list[Answer], stopped_at: float
) -> bool:
    """Return whether no request was passed on and then lost."""
    ran = {run[1]: run[0] for server in deployment.upstreams for run in server.runs}
    ended = {}
    for server in deployment.upstreams:
        ended |= server.ended_at
    lost = [
        answer
        for answer in answers
        if answer.request_id in ran
        and answer.status in (0, 502, 503, 504)
        and answer.request_id not in ended
        and answer.sent_at - stopped_at > EXCUSED_S
        and answer.ended_at - answer.sent_at < TIMEOUT_MS / 1000
        and answer.ended_at - stopped_at < BOUNDS["grace_s"] + 1.0
    ]
    for answer in lost:
        record.say(
            f"lost: {answer.request_id} sent {answer.sent_at - stopped_at:.2f} s after "
            f"the SIGTERM, run, broken off after {answer.ended_at - answer.sent_at:.2f}"
            f" s with {answer.status or 'a closed connection'}"
        )
    served = sum(answer.status == 200 for answer in answers)
    record.say(f"{len(answers)} requests, {served} served, {len(lost)} lost")
    return not lost


if __name__ == "__main__":
    run_case(__file__, case)
