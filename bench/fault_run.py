"""Seeded run of non-idempotent requests under mixed faults, and checks of its results.

Starts real processes behind the fault-injecting proxy. Backend servers count executions
by idempotency key. The exit status is 1 when a request ran twice, a refusal "not run"
was false, a response was wrong or truncated, or more requests ran at once than a
backend server has slots. Prints one JSON object and writes it to
bench/results/fault_run.json.
"""

from __future__ import annotations

import argparse
import collections
import json
import pathlib
import random
import signal
import sys
import tempfile

import httptools
import trio

from marigoldchute.standins.backend import BackendSettings
from marigoldchute.standins.backend_faults import BackendFaults
from marigoldchute.standins.faultproxy import Action, Rule
from marigoldchute.standins.loopback import (
    BACKEND_PORT,
    INTERNAL_PORT,
    LoopbackBlock,
    plan_mesh,
)
from marigoldchute.standins.mesh import Mesh
from marigoldchute.util.tcp import open_tcp

RESULT_PATH = pathlib.Path(__file__).parent / "results" / "fault_run.json"
CALLER_PORT = 8000
SLOTS = 12
FAULT_DURATION_S = 1.5
FAULT_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 10.0
BUNDLE_JSON = json.dumps(
    {
        "services": [{"name": "reservas", "release": "r1"}],
        "routes": [
            {
                "name": "reservas",
                "path_prefix": "/reservas",
                "service": "reservas",
                "timeout_ms": 3000,
            }
        ],
    }
)


class _Response:
    def __init__(self) -> None:
        self.outcome = ""
        self.body = b""
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name == b"marigoldchute-outcome":
            self.outcome = value.decode()

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True


class FaultRun:
    """Sends requests while it injects faults, and checks the outcomes."""

    def __init__(
        self, mesh: Mesh, seed: int, request_count: int, rate_per_s: float
    ) -> None:
        self._mesh = mesh
        # Every second VM has no backend server, so that half of the requests use links.
        self._backend_vms = mesh.plan.vms[::2]
        self._rng = random.Random(seed)
        self._request_rng = random.Random(seed + 1)
        self._request_count = request_count
        self._rate_per_s = rate_per_s
        self.outcomes: dict[str, str] = {}
        self.wrong_keys: list[str] = []
        self.fault_counts: collections.Counter[str] = collections.Counter()

    async def start(self) -> None:
        """Start the mesh, roll the bundle and wait until it is in force everywhere."""
        mesh = self._mesh
        vms = mesh.plan.vms
        mesh.start_store()
        mesh.start_proxy()
        for vm in vms:
            mesh.start_node(vm.name)
        for vm in self._backend_vms:
            mesh.start_backend(
                BackendSettings(
                    vm.address, BACKEND_PORT, INTERNAL_PORT, "reservas", "r1", SLOTS
                )
            )
        await mesh.wait_until(
            vms[0].name,
            lambda s: (
                len(s.members) == len(vms)
                and sum(bool(m.servers) for m in s.members) == len(self._backend_vms)
            ),
            60,
        )
        bundle = mesh.directory / "bundle.json"
        bundle.write_text(BUNDLE_JSON)
        args = ["roll", str(bundle), "--key", str(mesh.key_path)]
        completed = mesh.run_ctl([*args, "--node", f"{vms[0].address}:7100"])
        if completed.returncode:
            raise RuntimeError(completed.stderr)
        for vm in vms:
            await mesh.wait_until(vm.name, lambda s: s.version == 1)

    async def run(self) -> None:
        """Send every request under faults, then remove the faults."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._inject_faults)
            async with trio.open_nursery() as callers:
                next_send_at = trio.current_time()
                for number in range(self._request_count):
                    next_send_at += self._request_rng.expovariate(self._rate_per_s)
                    await trio.sleep_until(next_send_at)
                    vm = self._request_rng.choice(self._mesh.plan.vms)
                    callers.start_soon(self._send_request, vm.address, f"call-{number}")
            nursery.cancel_scope.cancel()
        await self._mesh.set_proxy_rules()

    async def _send_request(self, address: str, key: str) -> None:
        size = self._request_rng.randrange(1, 3000)
        outcome = "nothing"
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            try:
                outcome = await self._exchange(address, key, size)
            except (OSError, httptools.HttpParserError):
                outcome = "nothing"
        self.outcomes[key] = outcome

    async def _exchange(self, address: str, key: str, size: int) -> str:
        conn = await open_tcp(address, CALLER_PORT, "127.0.0.1")
        response = _Response()
        parser = httptools.HttpResponseParser(response)
        try:
            await conn.send(
                f"POST /reservas/{key} HTTP/1.1\r\nhost: a\r\n"
                f"idempotency-key: {key}\r\n"
                f"content-length: {size}\r\n\r\n".encode()
                + bytes(size)
            )
            while not response.complete:
                data = await conn.receive(65_536)
                if not data:
                    return "nothing"
                parser.feed_data(data)
        finally:
            conn.close()
        if response.outcome:
            return response.outcome
        if response.body != b"r1 /reservas/%s %d\n" % (key.encode(), size):
            self.wrong_keys.append(key)
        return f"answered {parser.get_status_code()}"

    async def _inject_faults(self) -> None:
        faults = [
            self._kill,
            self._pause,
            self._cut,
            self._silence,
            self._one_way,
            self._misbehave,
            self._misbehave,
        ]
        while True:
            await trio.sleep(FAULT_INTERVAL_S)
            fault = self._rng.choice(faults)
            self.fault_counts[fault.__name__.strip("_")] += 1
            # The shield ensures that each fault is removed again on cancellation.
            with trio.CancelScope(shield=True):
                await fault()

    def _random_vm_name(self) -> str:
        return self._rng.choice(self._mesh.plan.vms).name

    async def _kill(self) -> None:
        name = self._random_vm_name()
        self._mesh.kill(name)
        await trio.sleep(FAULT_DURATION_S)
        self._mesh.start_node(name)

    async def _pause(self) -> None:
        process = self._mesh.process(self._random_vm_name())
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(FAULT_DURATION_S)
        process.send_signal(signal.SIGCONT)

    async def _cut(self) -> None:
        await self._apply_rule(Rule(self._random_vm_name(), "*", Action.RESET))

    async def _silence(self) -> None:
        await self._apply_rule(Rule(self._random_vm_name(), "*", Action.SILENCE))

    async def _one_way(self) -> None:
        await self._apply_rule(
            Rule(self._random_vm_name(), "*", Action.DROP, both_ways=False)
        )

    async def _apply_rule(self, rule: Rule) -> None:
        await self._mesh.set_proxy_rules(rule)
        await trio.sleep(FAULT_DURATION_S)
        await self._mesh.set_proxy_rules()

    async def _misbehave(self) -> None:
        name = self._rng.choice(self._backend_vms).name
        await self._mesh.set_backend_faults(
            name,
            BackendFaults(
                refuse_share=0.2,
                drop_share=0.1,
                hang_share=0.05,
                cut_share=0.1,
                delay_ms=self._rng.choice([0.0, 20.0]),
            ),
        )
        await trio.sleep(FAULT_DURATION_S)
        await self._mesh.set_backend_faults(name, BackendFaults())

    async def check(self) -> dict[str, object]:
        """Return the counts of outcomes, faults and violations."""
        execution_counts: collections.Counter[str] = collections.Counter()
        max_running = 0
        for vm in self._backend_vms:
            state = await self._mesh.backend_state(vm.name)
            execution_counts.update(state.runs)
            max_running = max(max_running, state.max_running)
        outcome_counts = collections.Counter(self.outcomes.values())
        not_run_keys = [
            key for key, value in self.outcomes.items() if value == "not-run"
        ]
        answered_count = sum(
            n for name, n in outcome_counts.items() if name.startswith("answered")
        )
        return {
            "calls": len(self.outcomes),
            "answered_share": round(answered_count / len(self.outcomes), 4),
            "told": dict(outcome_counts),
            "faults": dict(self.fault_counts),
            "doubled": sum(count > 1 for count in execution_counts.values()),
            "false_not_run": sum(execution_counts[key] > 0 for key in not_run_keys),
            "wrong_or_short": len(self.wrong_keys),
            "max_running": max_running,
            "above_slots": max(0, max_running - SLOTS),
        }


async def measure(args: argparse.Namespace, directory: pathlib.Path) -> dict:
    """Run the requests and faults on a new mesh and return the report."""
    block = LoopbackBlock()
    plan = plan_mesh(block.number, 2, 2, proxied=True)
    mesh = Mesh(plan, directory, args.seed)
    mesh.write_key()
    run = FaultRun(mesh, args.seed, args.calls, args.rate)
    try:
        await run.start()
        await run.run()
        return {"seed": args.seed, **await run.check()}
    finally:
        mesh.stop()
        block.release()


def main() -> int:
    """Run the program and return its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calls", type=int, default=20_000)
    parser.add_argument("--rate", type=float, default=300.0, help="requests per second")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        report = trio.run(measure, args, pathlib.Path(directory))
    print(json.dumps(report, indent=2))
    RESULT_PATH.write_text(json.dumps(report, indent=2) + "\n")
    violations = ("doubled", "false_not_run", "wrong_or_short", "above_slots")
    return 1 if any(report[name] for name in violations) else 0


if __name__ == "__main__":
    sys.exit(main())
