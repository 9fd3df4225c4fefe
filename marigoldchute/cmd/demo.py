"""marigoldchute-demo: a mesh of real processes with one good and one bad move."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import pathlib
import signal
import sys
import tempfile
from typing import TYPE_CHECKING, Annotated, NoReturn

import cappa
import msgspec
import trio

from marigoldchute.admin.messages import MoveStatus
from marigoldchute.cmd._program import run_program
from marigoldchute.cmd._render import render_move, render_status
from marigoldchute.errors import MarigoldchuteError
from marigoldchute.events import wall_clock_ms
from marigoldchute.standins.backend import BackendSettings
from marigoldchute.standins.loopback import (
    BACKEND_PORT,
    CALLER_PORT,
    INTERNAL_PORT,
    LoopbackBlock,
    plan_mesh,
)
from marigoldchute.standins.mesh import Mesh
from marigoldchute.standins.traffic import Callers
from marigoldchute.timeline import format_event, merge_lines

if TYPE_CHECKING:
    import types
    from collections.abc import Iterator

NUM_DATA_CENTRES = 4
VMS_PER_DATA_CENTRE = 2
TIMEOUT_S = 55.0
CALLS_PER_S = 160.0
CALLED_PATHS = ("/turnos/1", "/reservas/1")
BAD_ERROR_SHARE = 0.5
BAD_SERVICE_DATA_CENTRES = ("cartago-norte", "limon-muelle")
GOOD_MOVE = "turnos-r2"
BAD_MOVE = "reservas-r2"
FAILED_EXIT_STATUS = 6
MEMBERSHIP_PART = "membership"


def _build_move(
    move_id: str, service: str, complete_within_ms: int
) -> dict[str, object]:
    return {
        "move_id": move_id,
        "service": service,
        "old_release": "r1",
        "new_release": "r2",
        "complete_within_ms": complete_within_ms,
        "watch_ms": 1500,
        "steps": [
            {"share": 0.05, "hold_ms": 1500},
            {"share": 0.25, "hold_ms": 1500},
            {"share": 1, "hold_ms": 0},
        ],
    }


def _build_bundle(turnos_release: str, move: dict[str, object]) -> dict[str, object]:
    routes = [
        {"name": name, "path_prefix": f"/{name}", "service": name}
        for name in ("turnos", "reservas")
    ]
    services = [
        {"name": "turnos", "release": turnos_release},
        {"name": "reservas", "release": "r1"},
    ]
    return {"services": services, "routes": routes, "moves": [move]}


@dataclasses.dataclass(frozen=True)
class Verdicts:
    """Final status of the two moves."""

    good: MoveStatus
    bad: MoveStatus

    @property
    def as_expected(self) -> bool:
        """Whether the good move is done and the bad one taken back for its errors."""
        return (
            self.good.verdict == "done"
            and self.bad.verdict == "taken back"
            and "deadline" not in self.bad.reason
        )


class Demo:
    """Runs the demo on a mesh and prints its progress."""

    def __init__(self, mesh: Mesh, seed: int) -> None:
        self._mesh = mesh
        self._seed = seed
        self._started_at = trio.current_time()
        self._vms = mesh.plan.vms

    async def run(self) -> Verdicts:
        """Start the mesh, run both moves and return their verdicts."""
        self._print_progress(
            f"{len(self._vms)} VMs in {NUM_DATA_CENTRES} data centres of two regions, "
            "each with a node process; store and backend servers are stand-ins."
        )
        self._start_processes()
        await self._wait_for_members()
        origins = [f"{vm.address}:{CALLER_PORT}" for vm in self._vms]
        callers = Callers(origins, CALLED_PATHS, CALLS_PER_S, self._seed)
        async with trio.open_nursery() as nursery:
            verdicts = await self._run_moves(nursery, callers)
            nursery.cancel_scope.cancel()
        self._print_progress("Responses to callers:")
        for outcome, count in sorted(
            callers.outcomes.items(), key=lambda item: (item[0].path, item[0].result)
        ):
            print(f"    {outcome.path:<12} {outcome.result:<16} {count}")
        return verdicts

    async def _run_moves(self, nursery: trio.Nursery, callers: Callers) -> Verdicts:
        self._print_progress(f"Rolling version 1: move {GOOD_MOVE} to a good release.")
        await self._roll_bundle(
            _build_bundle("r1", _build_move(GOOD_MOVE, "turnos", 15000))
        )
        await self._mesh.wait_until(
            self._vms[-1].name, lambda s: all(m.version == 1 for m in s.members)
        )
        self._print_progress(
            "Version 1 is in force on every member; starting the callers."
        )
        nursery.start_soon(callers.run)
        good = await self._wait_for_verdict(GOOD_MOVE)
        self._print_progress(
            f"Rolling version 2: move {BAD_MOVE} to a release that fails "
            f"{BAD_ERROR_SHARE:.0%} of its requests."
        )
        await self._roll_bundle(
            _build_bundle("r2", _build_move(BAD_MOVE, "reservas", 15000))
        )
        bad = await self._wait_for_verdict(BAD_MOVE)
        status = await self._mesh.admin(self._vms[0].name).status()
        self._print_progress("Final status:")
        print(render_status(status, wall_clock_ms()))
        return Verdicts(good, bad)

    def _start_processes(self) -> None:
        self._mesh.start_store()
        for vm in self._vms:
            self._mesh.start_node(vm.name)
        for vm in self._vms:
            release = "r1" if vm.name.endswith("-1") else "r2"
            self._start_backend(vm.address, 0, "turnos", release, 0.0)
            if vm.data_centre in BAD_SERVICE_DATA_CENTRES:
                error_share = BAD_ERROR_SHARE if release == "r2" else 0.0
                self._start_backend(vm.address, 1, "reservas", release, error_share)

    def _start_backend(
        self,
        address: str,
        port_offset: int,
        service: str,
        release: str,
        error_share: float,
    ) -> None:
        self._mesh.start_backend(
            BackendSettings(
                address,
                BACKEND_PORT + port_offset,
                INTERNAL_PORT,
                service,
                release,
                error_share=error_share,
                seed=self._seed,
            )
        )

    async def _wait_for_members(self) -> None:
        for vm in self._vms:
            await self._mesh.wait_until(
                vm.name,
                lambda s: (
                    len(s.members) == len(self._vms)
                    and all(m.servers for m in s.members)
                ),
                timeout_s=30.0,
            )
        self._print_progress(
            "Every node has discovered every member and its backend servers."
        )

    async def _roll_bundle(self, bundle: dict[str, object]) -> None:
        path = self._mesh.directory / "bundle.json"
        path.write_text(json.dumps(bundle, indent=2))
        key = str(self._mesh.key_path)
        await self._run_ctl("roll", str(path), "--key", key)

    async def _wait_for_verdict(self, move_id: str) -> MoveStatus:
        out = await self._run_ctl("verdict", move_id, "--wait", "--json")
        status = msgspec.json.decode(out, type=MoveStatus)
        print(render_move(status, wall_clock_ms()))
        return status

    async def _run_ctl(self, *args: str) -> str:
        node = f"{self._vms[0].address}"
        command = [*args, "--node", node]
        process = await trio.to_thread.run_sync(self._mesh.run_ctl, command)
        if not process.stdout:
            raise MarigoldchuteError(f"ctl {' '.join(args)}: {process.stderr.strip()}")
        return process.stdout

    def _print_progress(self, text: str) -> None:
        print(f"[{trio.current_time() - self._started_at:5.1f} s] {text}", flush=True)


@contextlib.contextmanager
def running_mesh(seed: int) -> Iterator[Mesh]:
    """Yield a mesh of the demo's size and stop its processes on exit."""
    block = LoopbackBlock()
    with tempfile.TemporaryDirectory(prefix="marigoldchute-demo-") as directory:
        plan = plan_mesh(block.number, NUM_DATA_CENTRES, VMS_PER_DATA_CENTRE)
        mesh = Mesh(plan, pathlib.Path(directory), seed)
        mesh.write_key()
        try:
            yield mesh
        finally:
            mesh.stop()
            block.release()


@cappa.command(
    name="marigoldchute-demo",
    help="Run a mesh of real processes with one good and one bad move.",
    description="Uses only loopback addresses and takes less than a minute. The exit "
    "status is 0 only if the good move is done and the bad one is taken back.",
)
@dataclasses.dataclass(frozen=True)
class DemoCommand:
    """Command line of the demo."""

    seed: Annotated[
        int, cappa.Arg(long="--seed", help="Seed of nodes, backends and callers.")
    ] = 1
    keep_logs: Annotated[
        str,
        cappa.Arg(
            long="--keep-logs",
            value_name="FILE",
            help="Also write all events to a file.",
        ),
    ] = ""

    def __call__(self) -> int:
        """Run the demo."""
        signal.signal(signal.SIGTERM, _interrupt)
        with running_mesh(self.seed) as mesh:
            try:
                verdicts = trio.run(self._run, mesh)
            except (MarigoldchuteError, trio.TooSlowError) as exc:
                print(f"demo failed: {exc!r}", file=sys.stderr)
                verdicts = None
            self._print_timeline(mesh)
        return _print_verdicts(verdicts)

    async def _run(self, mesh: Mesh) -> Verdicts:
        with trio.fail_after(TIMEOUT_S):
            return await Demo(mesh, self.seed).run()

    def _print_timeline(self, mesh: Mesh) -> None:
        mesh.stop()
        logs = [path.read_bytes().splitlines() for path in mesh.directory.glob("*.log")]
        timeline = merge_lines(logs)
        print(f"\nTime line of {len(logs)} processes, in causal order:")
        for event in timeline.events:
            if event.part != MEMBERSHIP_PART:
                print(format_event(event))
        hidden = sum(event.part == MEMBERSHIP_PART for event in timeline.events)
        print(f"({hidden} events of {MEMBERSHIP_PART} are not shown)")
        if self.keep_logs:
            lines = b"\n".join(line for log in logs for line in log)
            pathlib.Path(self.keep_logs).write_bytes(lines + b"\n")


def _interrupt(number: int, frame: types.FrameType | None) -> NoReturn:
    raise KeyboardInterrupt


def _print_verdicts(verdicts: Verdicts | None) -> int:
    if verdicts is None:
        return FAILED_EXIT_STATUS
    print("\nVerdicts:")
    for move in (verdicts.good, verdicts.bad):
        print(f"    {move.move_id:<12} {move.verdict}: {move.reason}")
    print(
        "Both verdicts are as expected."
        if verdicts.as_expected
        else "A verdict is not as expected."
    )
    return 0 if verdicts.as_expected else FAILED_EXIT_STATUS


def main() -> None:
    """Run the program."""
    run_program(DemoCommand)


if __name__ == "__main__":
    main()
