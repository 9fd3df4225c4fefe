"""Verdicts and harmed requests of moves to good and bad releases under load.

Run with ``python -m bench.bench_moves [--quick] [--seed S]``. Each scenario is a mesh
of real processes with 8 nodes in 4 data centres, three services that move at the same
time, and callers. Two baselines are measured as well: moving all traffic at once, and
steps by time alone.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import json
import pathlib
import signal
import statistics
import tempfile
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import MarigoldchuteError
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
from marigoldchute.standins.store import StoreFaults
from marigoldchute.standins.traffic import Callers

if TYPE_CHECKING:
    from marigoldchute.admin.messages import MoveStatus

RESULT_PATH = pathlib.Path(__file__).parent / "results" / "moves.json"
STEPS = ((0.05, 2000), (0.3, 2000), (0.7, 2000), (1.0, 0))
WATCH_MS = 2000
COMPLETE_WITHIN_MS = 16_000
SERVICE_REQUESTS_PER_S = 30.0
SETTLE_S = 3.0
GOOD = "good"
FAULTS_BY_KIND = {
    "errors 50 % at once": BackendFaults(error_share=0.5),
    "errors 20 % at once": BackendFaults(error_share=0.2),
    "errors 50 % later": BackendFaults(error_share=0.5, after_s=6.0),
    "errors 60 % on one route": BackendFaults(error_share=0.6, path_prefix="/{}/b"),
    "errors 60 % under load": BackendFaults(error_share=0.6, more_than_running=1),
    "slow by 80 ms": BackendFaults(delay_ms=80.0),
    "no answers": BackendFaults(hang_share=1.0),
}


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Services of one user and the capacity of their backend servers.

    Parameters
    ----------
    name : str
        Name of the user.
    services : tuple of str
        Names of the services.
    slots : int
        Slots of a backend server.
    service_ms : float
        Time in which a backend server processes a request, in milliseconds.
    """

    name: str
    services: tuple[str, str, str]
    slots: int
    service_ms: float


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Moves and fault to measure on one mesh.

    Parameters
    ----------
    strategy : str
        How the moves proceed: ``evidence``, ``timed`` or ``at once``.
    release_kinds : tuple of str
        Kind of the new release of each service: ``GOOD`` or a key of
        ``FAULTS_BY_KIND``.
    infrastructure_fault : str
        Fault of the store or the network during the moves; empty for none.
    """

    strategy: str
    release_kinds: tuple[str, str, str]
    infrastructure_fault: str = ""


@dataclasses.dataclass(frozen=True)
class MoveResult:
    """Result of one move.

    Parameters
    ----------
    deployment, way, kind, trouble : str
        Deployment, strategy, kind of the new release and infrastructure fault.
    verdict : str
        Verdict that a node reports after the deadline.
    agrees : bool
        Whether the share of every node matches the verdict.
    harmed : int
        Requests that failed otherwise than by a refusal "not run", or that a slow new
        release served.
    zero_after_ms : int or None
        Time from the first detected fault until the share is zero on every node.
    done_after_ms : int or None
        Time from the start of the move to the verdict *done*.
    control_bytes : int
        Control bytes sent by all nodes during the three moves of the scenario.
    """

    deployment: str
    way: str
    kind: str
    trouble: str
    verdict: str
    agrees: bool
    harmed: int
    zero_after_ms: int | None
    done_after_ms: int | None
    control_bytes: int


FOUNDATION = Deployment("foundation", ("turnos", "reservas", "perfiles"), 12, 4.0)
HANBIT = Deployment(
    "hanbit", ("filing-archive", "certification-desk", "evidence-vault"), 6, 8.0
)
RELEASE_KINDS_1 = ("errors 50 % at once", GOOD, "slow by 80 ms")
RELEASE_KINDS_2 = ("errors 60 % on one route", "errors 50 % later", GOOD)
RELEASE_KINDS_3 = ("errors 20 % at once", "no answers", GOOD)
RELEASE_KINDS_4 = (GOOD, GOOD, "errors 60 % under load")
QUICK_SCENARIOS = (
    Scenario("evidence", RELEASE_KINDS_1),
    Scenario("evidence", RELEASE_KINDS_2),
    Scenario("timed", RELEASE_KINDS_1),
    Scenario("at once", RELEASE_KINDS_1),
)
ALL_SCENARIOS = (
    Scenario("evidence", RELEASE_KINDS_1),
    Scenario("evidence", RELEASE_KINDS_2),
    Scenario("timed", RELEASE_KINDS_1),
    Scenario("at once", RELEASE_KINDS_1),
    Scenario("evidence", RELEASE_KINDS_3),
    Scenario("evidence", RELEASE_KINDS_4),
    Scenario("evidence", RELEASE_KINDS_1, "store down"),
    Scenario("evidence", RELEASE_KINDS_1, "data centre cut and healed"),
)


class MoveBench:
    """Runs one scenario and measures its three moves."""

    def __init__(
        self, deployment: Deployment, scenario: Scenario, mesh: Mesh, seed: int
    ) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.mesh = mesh
        self.callers = Callers(
            [f"{vm.address}:8000" for vm in mesh.plan.vms],
            [f"/{name}/{part}" for name in deployment.services for part in "ab"],
            SERVICE_REQUESTS_PER_S * 3,
            seed,
        )

    async def measure(self) -> list[MoveResult]:
        """Run the scenario and return the results of its moves."""
        await self._start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.callers.run)
            await trio.sleep(2)
            before = await self._read_control_bytes()
            await self._roll()
            nursery.start_soon(self._inject_infrastructure_fault)
            await trio.sleep((COMPLETE_WITHIN_MS + 1000) / 1000 + SETTLE_S)
            statuses = await self._fetch_statuses()
            after = await self._read_control_bytes()
            nursery.cancel_scope.cancel()
        return [
            self._move_result(service, kind, statuses, after - before)
            for service, kind in zip(
                self.deployment.services, self.scenario.release_kinds, strict=True
            )
        ]

    async def _start(self) -> None:
        mesh, vms = self.mesh, self.mesh.plan.vms
        mesh.start_store()
        mesh.start_proxy()
        for vm in vms:
            mesh.start_node(vm.name, move_evidence=self.scenario.strategy == "evidence")
        for index, service in enumerate(self.deployment.services):
            for position in range(4):
                vm = vms[(2 * position + index) % len(vms)]
                release = "r1" if position % 2 == 0 else "r2"
                mesh.start_backend(
                    BackendSettings(
                        vm.address,
                        BACKEND_PORT + index,
                        INTERNAL_PORT,
                        service,
                        release,
                        slots=self.deployment.slots,
                        service_ms=self.deployment.service_ms,
                    )
                )
        for vm in vms:
            await mesh.wait_until(
                vm.name, lambda s: sum(len(m.servers) for m in s.members) == 12, 40
            )

    async def _set_release_faults(self) -> None:
        vms = self.mesh.plan.vms
        for index, kind in enumerate(self.scenario.release_kinds):
            if kind == GOOD:
                continue
            faults = FAULTS_BY_KIND[kind]
            prefix = faults.path_prefix.format(self.deployment.services[index])
            faults = dataclasses.replace(faults, path_prefix=prefix)
            for position in (1, 3):
                vm = vms[(2 * position + index) % len(vms)]
                await self.mesh.set_backend_faults(
                    vm.name, faults, BACKEND_PORT + index
                )

    async def _roll(self) -> None:
        steps = ((1.0, 0),) if self.scenario.strategy == "at once" else STEPS
        source = {
            "services": [
                {"name": s, "release": "r1"} for s in self.deployment.services
            ],
            "routes": [
                {"name": f"{s}-{p}", "path_prefix": f"/{s}/{p}", "service": s}
                for s in self.deployment.services
                for p in "ab"
            ],
        }
        path = self.mesh.directory / "bundle.json"
        args = ["roll", str(path), "--key", str(self.mesh.key_path)]
        args += ["--node", f"{self.mesh.plan.vms[0].address}:7100"]
        path.write_text(json.dumps(source))
        completed = await trio.to_thread.run_sync(self.mesh.run_ctl, args)
        assert completed.returncode == 0, completed.stderr
        await trio.sleep(4)
        source["moves"] = [
            {
                "move_id": f"{s}-r2",
                "service": s,
                "old_release": "r1",
                "new_release": "r2",
                "complete_within_ms": COMPLETE_WITHIN_MS,
                "watch_ms": WATCH_MS,
                "steps": [
                    {"share": share, "hold_ms": hold_ms} for share, hold_ms in steps
                ],
            }
            for s in self.deployment.services
        ]
        path.write_text(json.dumps(source))
        await self._set_release_faults()
        completed = await trio.to_thread.run_sync(self.mesh.run_ctl, args)
        assert completed.returncode == 0, completed.stderr

    async def _inject_infrastructure_fault(self) -> None:
        await trio.sleep(3)
        if self.scenario.infrastructure_fault == "store down":
            await self.mesh.set_store_faults(StoreFaults(down=True))
            await trio.sleep(8)
            await self.mesh.set_store_faults(StoreFaults())
        elif self.scenario.infrastructure_fault:
            await self.mesh.set_proxy_rules(Rule("limon-patio", "*", Action.DROP))
            await trio.sleep(5)
            await self.mesh.set_proxy_rules()

    async def _read_control_bytes(self) -> int:
        total = 0
        for vm in self.mesh.plan.vms:
            total += (await self.mesh.admin(vm.name).stats()).control_bytes_sent
        return total

    async def _fetch_statuses(self) -> dict[str, MoveStatus]:
        statuses: dict[str, MoveStatus] = {}
        for service in self.deployment.services:
            client = self.mesh.admin(self.mesh.plan.vms[0].name)
            try:
                statuses[service] = await client.verdict(f"{service}-r2")
            except MarigoldchuteError as exc:
                print(f"{service}: {exc}", flush=True)
        return statuses

    def _move_result(
        self,
        service: str,
        kind: str,
        statuses: dict[str, MoveStatus],
        control_bytes: int,
    ) -> MoveResult:
        status = statuses.get(service)
        verdict = "not known" if status is None else status.verdict
        agrees = status is not None and (
            (verdict == "done" and status.lowest_share == 1.0)
            or (verdict == "taken back" and status.highest_share == 0.0)
        )
        events = read_move_events(self.mesh.directory, f"{service}-r2")
        return MoveResult(
            self.deployment.name,
            self.scenario.strategy,
            kind,
            self.scenario.infrastructure_fault,
            verdict,
            agrees,
            self._count_harmed_requests(service, kind),
            _zero_after_ms(events),
            _done_after_ms(events),
            control_bytes,
        )

    def _count_harmed_requests(self, service: str, kind: str) -> int:
        harmed = 0
        for outcome, count in self.callers.outcomes.items():
            if not outcome.path.startswith(f"/{service}/"):
                continue
            slow = kind.startswith("slow") and outcome.result == "200 from r2"
            served = outcome.result.startswith("200 ")
            if slow or not (served or outcome.result.startswith("503 not-run")):
                harmed += count
        return harmed


def read_move_events(directory: pathlib.Path, move_id: str) -> list[dict[str, object]]:
    """Return the events of a move from all nodes, sorted by wall-clock time."""
    events = []
    for path in directory.glob("*.log"):
        for line in path.read_text(errors="replace").splitlines():
            if move_id in line and line.startswith("{"):
                events.append(json.loads(line))
    move_events = [e for e in events if e.get("move") == move_id]
    return sorted(move_events, key=lambda event: event["wall_ms"])


def _zero_after_ms(events: list[dict[str, object]]) -> int | None:
    fault_times_ms = [
        e["wall_ms"] for e in events if str(e["message_type"]).endswith(":fault")
    ]
    if not fault_times_ms:
        return None
    latest_events: dict[object, dict[str, object]] = {}
    for event in events:
        if str(event["message_type"]).endswith(":share"):
            previous = latest_events.get(event["process"])
            if previous is None or previous["share"] != 0 or event["share"] != 0:
                latest_events[event["process"]] = event
    zero_times_ms = [e["wall_ms"] for e in latest_events.values() if e["share"] == 0]
    return max([0, *(int(t) - int(fault_times_ms[0]) for t in zero_times_ms)])  # type: ignore[call-overload]


def _done_after_ms(events: list[dict[str, object]]) -> int | None:
    shares_ms = [
        e["wall_ms"] for e in events if str(e["message_type"]).endswith(":share")
    ]
    done_ms = [e["wall_ms"] for e in events if e.get("verdict") == "done"]
    return int(done_ms[0]) - int(shares_ms[0]) if shares_ms and done_ms else None  # type: ignore[call-overload]


async def run_scenario(
    deployment: Deployment, scenario: Scenario, seed: int
) -> list[MoveResult]:
    """Run one scenario on a new mesh and return the results of its moves."""
    block = LoopbackBlock()
    with tempfile.TemporaryDirectory() as name:
        plan = plan_mesh(block.number, 4, 2, True)
        mesh = Mesh(plan, pathlib.Path(name), seed)
        mesh.write_key()
        try:
            with trio.fail_after(100):
                return await MoveBench(deployment, scenario, mesh, seed).measure()
        finally:
            mesh.stop()
            block.release()


def summarise(results: list[MoveResult]) -> None:
    """Print one line for each deployment and strategy."""
    groups: dict[tuple[str, str], list[MoveResult]] = collections.defaultdict(list)
    for result in results:
        groups[result.deployment, result.way].append(result)
    for (deployment, way), group in sorted(groups.items()):
        good = [r for r in group if r.kind == GOOD]
        bad = [r for r in group if r.kind != GOOD]
        taken_back = [r for r in bad if r.verdict == "taken back"]
        zero_delays_ms = [r.zero_after_ms for r in bad if r.zero_after_ms is not None]
        print(
            f"{deployment}, {way}: good in time "
            f"{sum(r.verdict == 'done' for r in good)}/{len(good)}, bad taken back "
            f"{len(taken_back)}/{len(bad)}, harmed per bad release "
            f"{statistics.mean(r.harmed for r in bad) if bad else 0:.0f}, "
            f"zero share after {max(zero_delays_ms, default=0)} ms at most, "
            f"false take-backs {sum(r.verdict != 'done' for r in good)}, "
            f"verdicts that disagree {sum(not r.agrees for r in group)}, "
            f"control bytes per move {group[0].control_bytes // 3}"
        )


def main() -> None:
    """Run the scenarios, print their results and write them as JSON."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    scenarios = [(FOUNDATION, scenario) for scenario in QUICK_SCENARIOS]
    if not args.quick:
        scenarios = [
            (d, scenario) for d in (FOUNDATION, HANBIT) for scenario in ALL_SCENARIOS
        ]
    results: list[MoveResult] = []
    for deployment, scenario in scenarios:
        try:
            move_results = trio.run(run_scenario, deployment, scenario, args.seed)
        except trio.TooSlowError:
            print(f"not finished: {deployment.name} {scenario}", flush=True)
            continue
        for result in move_results:
            print(json.dumps(dataclasses.asdict(result)), flush=True)
        results += move_results
        RESULT_PATH.write_text(
            json.dumps([dataclasses.asdict(r) for r in results], indent=1) + "\n"
        )
    summarise(results)


if __name__ == "__main__":
    main()
