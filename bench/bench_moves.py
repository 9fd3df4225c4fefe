"""Good and bad releases under load: what the moves make of them.

Run with ``python -m bench.bench_moves [--quick] [--seed S]``. Each run is a mesh of
real processes, 8 nodes in 4 data centres, three services that move at the same time,
with callers. Two baselines run beside it: everything at once, and steps by time alone.
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

RESULT = pathlib.Path(__file__).parent / "results" / "moves.json"
STEPS = ((0.05, 2000), (0.3, 2000), (0.7, 2000), (1.0, 0))
WATCH_MS = 2000
ALLOWED_MS = 16_000
RATE_PER_SERVICE = 30.0
SETTLE_S = 3.0
GOOD = "good"
FAULTS = {
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
    """Shape of one user's services.

    Parameters
    ----------
    name : str
        User.
    services : tuple of str
        Services.
    slots : int
        Slots of a backend server.
    service_ms : float
        Time that a response takes.
    """

    name: str
    services: tuple[str, str, str]
    slots: int
    service_ms: float


@dataclasses.dataclass(frozen=True)
class Run:
    """One mesh: a way to move, the kinds of three releases, and the trouble."""

    way: str
    kinds: tuple[str, str, str]
    trouble: str = ""


@dataclasses.dataclass(frozen=True)
class MoveResult:
    """What became of one move.

    Parameters
    ----------
    deployment, way, kind, trouble : str
        Case.
    verdict : str
        As told after the deadline.
    agrees : bool
        Whether every node's share is what the verdict says.
    harmed : int
        Requests that the new release failed, or responded to late when it is slow.
    zero_after_ms : int or None
        Time from the first fault seen to share zero on every node.
    done_after_ms : int or None
        Time from the start of the move to the verdict *done*.
    control_bytes : int
        Control bytes sent by all nodes during the run, for three moves.
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
FIRST = ("errors 50 % at once", GOOD, "slow by 80 ms")
SECOND = ("errors 60 % on one route", "errors 50 % later", GOOD)
THIRD = ("errors 20 % at once", "no answers", GOOD)
FOURTH = (GOOD, GOOD, "errors 60 % under load")
QUICK = (
    Run("evidence", FIRST),
    Run("evidence", SECOND),
    Run("timed", FIRST),
    Run("at once", FIRST),
)
FULL = (
    Run("evidence", FIRST),
    Run("evidence", SECOND),
    Run("timed", FIRST),
    Run("at once", FIRST),
    Run("evidence", THIRD),
    Run("evidence", FOURTH),
    Run("evidence", FIRST, "store down"),
    Run("evidence", FIRST, "data centre cut and healed"),
)


class MoveBench:
    """Runs one mesh and measures its three moves."""

    def __init__(self, deployment: Deployment, run: Run, mesh: Mesh, seed: int) -> None:
        self.deployment = deployment
        self.run = run
        self.mesh = mesh
        self.callers = Callers(
            [f"{vm.address}:8000" for vm in mesh.plan.vms],
            [f"/{name}/{part}" for name in deployment.services for part in "ab"],
            RATE_PER_SERVICE * 3,
            seed,
        )

    async def measure(self) -> list[MoveResult]:
        """Run the case and return its moves."""
        await self._start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.callers.run)
            await trio.sleep(2)
            before = await self._control_bytes()
            await self._roll()
            nursery.start_soon(self._trouble)
            await trio.sleep((ALLOWED_MS + 1000) / 1000 + SETTLE_S)
            statuses = await self._statuses()
            after = await self._control_bytes()
            nursery.cancel_scope.cancel()
        return [
            self._result(service, kind, statuses, after - before)
            for service, kind in zip(
                self.deployment.services, self.run.kinds, strict=True
            )
        ]

    async def _start(self) -> None:
        mesh, vms = self.mesh, self.mesh.plan.vms
        mesh.start_store()
        mesh.start_proxy()
        for vm in vms:
            mesh.start_node(vm.name, move_evidence=self.run.way == "evidence")
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

    async def _set_faults(self) -> None:
        vms = self.mesh.plan.vms
        for index, kind in enumerate(self.run.kinds):
            if kind == GOOD:
                continue
            faults = FAULTS[kind]
            prefix = faults.path_prefix.format(self.deployment.services[index])
            faults = dataclasses.replace(faults, path_prefix=prefix)
            for position in (1, 3):
                vm = vms[(2 * position + index) % len(vms)]
                await self.mesh.set_backend_faults(
                    vm.name, faults, BACKEND_PORT + index
                )

    async def _roll(self) -> None:
        steps = ((1.0, 0),) if self.run.way == "at once" else STEPS
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
        done = await trio.to_thread.run_sync(self.mesh.run_ctl, args)
        assert done.returncode == 0, done.stderr
        await trio.sleep(4)
        source["moves"] = [
            {
                "move_id": f"{s}-r2",
                "service": s,
                "old_release": "r1",
                "new_release": "r2",
                "complete_within_ms": ALLOWED_MS,
                "watch_ms": WATCH_MS,
                "steps": [{"share": a, "hold_ms": b} for a, b in steps],
            }
            for s in self.deployment.services
        ]
        path.write_text(json.dumps(source))
        await self._set_faults()
        done = await trio.to_thread.run_sync(self.mesh.run_ctl, args)
        assert done.returncode == 0, done.stderr

    async def _trouble(self) -> None:
        await trio.sleep(3)
        if self.run.trouble == "store down":
            await self.mesh.set_store_faults(StoreFaults(down=True))
            await trio.sleep(8)
            await self.mesh.set_store_faults(StoreFaults())
        elif self.run.trouble:
            await self.mesh.set_proxy_rules(Rule("limon-patio", "*", Action.DROP))
            await trio.sleep(5)
            await self.mesh.set_proxy_rules()

    async def _control_bytes(self) -> int:
        total = 0
        for vm in self.mesh.plan.vms:
            total += (await self.mesh.admin(vm.name).stats()).control_bytes_sent
        return total

    async def _statuses(self) -> dict[str, MoveStatus]:
        found: dict[str, MoveStatus] = {}
        for service in self.deployment.services:
            client = self.mesh.admin(self.mesh.plan.vms[0].name)
            try:
                found[service] = await client.verdict(f"{service}-r2")
            except MarigoldchuteError as exc:
                print(f"{service}: {exc}", flush=True)
        return found

    def _result(
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
            self.run.way,
            kind,
            self.run.trouble,
            verdict,
            agrees,
            self._harmed(service, kind),
            _zero_after_ms(events),
            _done_after_ms(events),
            control_bytes,
        )

    def _harmed(self, service: str, kind: str) -> int:
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
    """Return the events of a move of all nodes, in order of their wall clocks."""
    events = []
    for path in directory.glob("*.log"):
        for line in path.read_text(errors="replace").splitlines():
            if move_id in line and line.startswith("{"):
                events.append(json.loads(line))
    chosen = [e for e in events if e.get("move") == move_id]
    return sorted(chosen, key=lambda event: event["wall_ms"])


def _zero_after_ms(events: list[dict[str, object]]) -> int | None:
    seen = [e["wall_ms"] for e in events if str(e["message_type"]).endswith(":fault")]
    if not seen:
        return None
    last: dict[object, dict[str, object]] = {}
    for event in events:
        if str(event["message_type"]).endswith(":share"):
            held = last.get(event["process"])
            if held is None or held["share"] != 0 or event["share"] != 0:
                last[event["process"]] = event
    times = [e["wall_ms"] for e in last.values() if e["share"] == 0]
    return max([0, *(int(t) - int(seen[0]) for t in times)])  # type: ignore[call-overload]


def _done_after_ms(events: list[dict[str, object]]) -> int | None:
    shares = [e["wall_ms"] for e in events if str(e["message_type"]).endswith(":share")]
    done = [e["wall_ms"] for e in events if e.get("verdict") == "done"]
    return int(done[0]) - int(shares[0]) if shares and done else None  # type: ignore[call-overload]


async def run_case(deployment: Deployment, run: Run, seed: int) -> list[MoveResult]:
    """Run one mesh."""
    block = LoopbackBlock()
    with tempfile.TemporaryDirectory() as name:
        plan = plan_mesh(block.number, 4, 2, True)
        mesh = Mesh(plan, pathlib.Path(name), seed)
        mesh.write_key()
        try:
            with trio.fail_after(100):
                return await MoveBench(deployment, run, mesh, seed).measure()
        finally:
            mesh.stop()
            block.release()


def summarise(results: list[MoveResult]) -> None:
    """Print one line for each deployment and way."""
    groups: dict[tuple[str, str], list[MoveResult]] = collections.defaultdict(list)
    for result in results:
        groups[result.deployment, result.way].append(result)
    for (deployment, way), group in sorted(groups.items()):
        good = [r for r in group if r.kind == GOOD]
        bad = [r for r in group if r.kind != GOOD]
        back = [r for r in bad if r.verdict == "taken back"]
        zeros = [r.zero_after_ms for r in bad if r.zero_after_ms is not None]
        print(
            f"{deployment}, {way}: good in time "
            f"{sum(r.verdict == 'done' for r in good)}/{len(good)}, bad taken back "
            f"{len(back)}/{len(bad)}, harmed per bad release "
            f"{statistics.mean(r.harmed for r in bad) if bad else 0:.0f}, "
            f"zero share after {max(zeros, default=0)} ms at most, "
            f"false take-backs {sum(r.verdict != 'done' for r in good)}, "
            f"verdicts that disagree {sum(not r.agrees for r in group)}, "
            f"control bytes per move {group[0].control_bytes // 3}"
        )


def main() -> None:
    """Run the cases, print them and write them as JSON."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    cases = [(FOUNDATION, run) for run in QUICK]
    if not args.quick:
        cases = [(d, run) for d in (FOUNDATION, HANBIT) for run in FULL]
    results: list[MoveResult] = []
    for deployment, run in cases:
        try:
            found = trio.run(run_case, deployment, run, args.seed)
        except trio.TooSlowError:
            print(f"not finished: {deployment.name} {run}", flush=True)
            continue
        for result in found:
            print(json.dumps(dataclasses.asdict(result)), flush=True)
        results += found
        RESULT.write_text(
            json.dumps([dataclasses.asdict(r) for r in results], indent=1) + "\n"
        )
    summarise(results)


if __name__ == "__main__":
    main()
