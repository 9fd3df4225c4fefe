"""DRAIN: after a restart of all nodes, a server that had left is in use again."""

from __future__ import annotations

import asyncio
import signal

from stand_ins import (
    BOUNDS,
    Answer,
    Deployment,
    Record,
    Upstream,
    configuration,
    route,
    run_case,
    send_request,
)

DEADLINE_MS = 2500
SEND_INTERVAL_S = 0.05
REPORT_BEFORE_LEAVE_S = 0.1
# "A status report may arrive seconds late."
REPORT_DELAY_S = 3.0
KILL_AFTER_LEAVE_S = 0.7
RESTART_DELAY_S = 0.5
# The server goes on serving for ``drain_ms`` "and a little longer (at times many
# seconds)".
STAY_S = 12.0


async def case(record: Record, trouble: bool) -> bool:
    """Let a server leave and kill all nodes after the leave was acknowledged."""
    layout = [("zone-a", "desk"), ("zone-b", "board"), ("zone-c", "board")]
    deployment = Deployment(record, layout)
    routes = [route("query", "/query/", "board")]
    try:
        await deployment.start(configuration(12, ["desk", "board"], routes))
        await asyncio.sleep(1 + BOUNDS["stable_window_ms"] / 1000)
        return await leave_and_judge(record, deployment, trouble)
    finally:
        await deployment.close()


async def leave_and_judge(
    record: Record, deployment: Deployment, trouble: bool
) -> bool:
    """Return whether the server got no requests after its leave."""
    leaving = deployment.upstreams[1]
    answers: list[Answer] = []
    sending = asyncio.ensure_future(send_requests(record, deployment, answers))
    await asyncio.sleep(2.0)
    leaving.reports = False
    late_report = leaving.make_report()
    reporting = asyncio.ensure_future(report_late(record, leaving, late_report))
    await asyncio.sleep(REPORT_BEFORE_LEAVE_S)
    while not await leaving.call_node("deregister", {"born": leaving.born}):
        await asyncio.sleep(0.1)
    left_at = record.now()
    record.say(f"{leaving.instance} has left, acknowledged by {leaving.node.name}")
    await asyncio.sleep(KILL_AFTER_LEAVE_S)
    if trouble:
        await kill_all(deployment)
    await asyncio.sleep(max(0.0, left_at + STAY_S - record.now()))
    sending.cancel()
    await asyncio.sleep(DEADLINE_MS / 1000)
    await reporting
    await leaving.stop()
    return judge(record, deployment, leaving, answers, left_at)


async def send_requests(
    record: Record, deployment: Deployment, answers: list[Answer]
) -> None:
    """Send requests on the first machine all the time."""

    async def send() -> None:
        node = deployment.nodes[0]
        answers.append(await send_request(record, node, "GET", "/query/x", DEADLINE_MS))

    tasks = set()
    while True:
        task = asyncio.ensure_future(send())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(SEND_INTERVAL_S)


async def report_late(record: Record, server: Upstream, report: dict) -> None:
    """Deliver a status report seconds after it was sent."""
    await asyncio.sleep(REPORT_DELAY_S)
    acknowledged = await server.call_node("heartbeat", report)
    record.say(
        f"a status report of {server.instance} from before its leave arrives late, "
        f"acknowledged: {acknowledged}"
    )


async def kill_all(deployment: Deployment) -> None:
    """Kill all nodes at the same moment; the platform starts them again."""
    deployment.record.say("all nodes are killed")
    for node in deployment.nodes:
        node.send_signal(signal.SIGKILL)
    for node in deployment.nodes:
        await node.wait_for_exit(2.0)
    await asyncio.sleep(RESTART_DELAY_S)
    for node in deployment.nodes:
        node.start()


def judge(
    record: Record,
    deployment: Deployment,
    server: Upstream,
    answers: list[Answer],
    left_at: float,
) -> bool:
    """Return whether the rule held; counts what was sent with all machines in touch."""
    started_at = max(node.started_at for node in deployment.nodes)
    in_touch_at = started_at + BOUNDS["stable_window_ms"] / 1000
    bound_at = left_at + BOUNDS["drain_ms"] / 1000
    sent = {a.request_id for a in answers if a.sent_at > in_touch_at}
    late = [run for run in server.runs if run[0] > bound_at and run[1] in sent]
    for run in late[:5]:
        record.say(f"{run[1]} reaches it {run[0] - left_at:.2f} s after its leave")
    record.say(
        f"{len(late)} requests later than drain_ms after the leave, all machines in "
        f"touch; {len([r for r in server.runs if r[0] > left_at])} after it in all"
    )
    return not late


if __name__ == "__main__":
    run_case(__file__, case)
