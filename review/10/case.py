"""Calls of runs that go on while the node beside their upstream is started again."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import (  # noqa: E402
    Deployment,
    Message,
    make_config,
    make_route,
    request,
    run_case,
)

CONFIG_MS = 3000
BOUNDS = {"config_ms": str(CONFIG_MS), "revoke_ms": "5000", "fail_closed": "false"}
KEY = "rcpihhacruddedev3nax"
DEADLINE_S = 6.0
REQUESTS = 12  # As many as the upstream has slots.
CALLS = 2  # Of each run, together.
FIRST_CALL_S, RETRY_S = 1.6, 0.3
KILL_AFTER_S, RESTART_AFTER_S = 0.8, 0.3
MAX_DENIED = 10  # The rule is broken by more.


async def scenario(deployment: Deployment, has_trouble: bool) -> str:
    """Return how the rule DENIED was broken."""
    record, vm = deployment.record, deployment.vms[0]
    statuses: list[int] = []

    async def call(parent_id: str, number: int, ends_at: float) -> bool:
        """Make one call of a run; repeat it after a refusal or a lost connection."""
        tries = 0
        while (left_s := ends_at - record.now()) > 0:
            tries += 1
            request_id = f"{parent_id}.{number}{tries:02d}"
            headers = {
                "Attempt-Id": request_id,
                "Deadline-Ms": str(max(1, int(left_s * 1000))),
            }
            response = None
            try:
                async with asyncio.timeout(left_s):
                    response = await request(vm.address, "/price/1", headers)
            except (OSError, TimeoutError):
                pass
            status = 0 if response is None else response.status
            record.write(f"call {request_id} answered {status}")
            if status not in (0, 429, 503):
                statuses.append(status)
                return status == 200
            await asyncio.sleep(RETRY_S)
        return False

    async def run_round(message: Message) -> int:
        request_id = message.headers["attempt-id"]
        ends_at = record.now() + int(message.headers["deadline-ms"]) / 1000
        await asyncio.sleep(FIRST_CALL_S)
        calls = [call(request_id, number, ends_at) for number in range(1, CALLS + 1)]
        return 200 if all(await asyncio.gather(*calls)) else 500

    async def run_price(message: Message) -> int:
        await asyncio.sleep(0.05)
        return 200

    async def send(number: int) -> None:
        headers = {
            "Attempt-Id": f"{number:02d}c41d07be2a35",
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {KEY}",
        }
        response = await request(vm.address, "/rounds/1", headers, "POST")
        status = "nothing" if response is None else response.status
        record.write(f"{headers['Attempt-Id']} answered {status}")

    routes = [
        make_route("rounds", "/rounds/", "non_idempotent", "tournees", 6000),
        make_route("price", "/price/", "idempotent", "catalogue", 2000, 2),
    ]
    tenants = [{"name": "tienda", "api_keys": [KEY]}]
    config = make_config(routes, ["tournees", "catalogue"], 7, tenants)
    work = {"tournees": run_round, "catalogue": run_price}
    await deployment.start(work, config, keeps_runs=("tournees",))
    await asyncio.sleep(5.0)  # Longer than stable_window_ms.
    callers = [asyncio.create_task(send(number)) for number in range(REQUESTS)]
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble:
        deployment.kill_node(vm)
        await asyncio.sleep(RESTART_AFTER_S)
        deployment.start_node(vm)
    await asyncio.sleep(DEADLINE_S + 1.0)
    await asyncio.gather(*callers)
    denied = sum(status in (401, 403, 404) for status in statuses)
    runs = deployment.upstreams[vm.name].runs
    failed = sum(run.status == 500 for run in runs)
    summary = (
        f"{len(runs)} runs made calls, answers {sorted(set(statuses))}, {denied} of "
        f"them denials, {failed} runs ended with 500"
    )
    record.write(summary)
    print(summary)
    return summary if denied > MAX_DENIED else ""


if __name__ == "__main__":
    services = ["tournees", "catalogue", "catalogue"]
    sys.exit(run_case(FOLDER, services, scenario, BOUNDS))
