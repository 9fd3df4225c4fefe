"""Soak of a hosted mesh of real processes with seeded faults."""

from __future__ import annotations

import collections
import dataclasses
import enum
import random
import signal
from typing import TYPE_CHECKING

import httpcore
import trio

from tests.support.hosted import (
    BASE_SERVICE_TIME_S,
    CALLER_PORT,
    HOST,
    Backend,
    hosted_mesh,
)
from tests.support.soak_backend import NESTED_PATH, Run, SoakBackend
from tests.support.soak_callers import ROUTE_TIMEOUT_S, CallerResult, KeptCaller
from tests.support.soak_stops import (
    ALL_VMS,
    GRACE_S,
    STABLE_S,
    Disturbance,
    PlannedStop,
    draw_stops,
    find_losses,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.hosted import HostedMesh

SERVICES = ("turnos", "reservas", "turnos", "turnos")
STOP_SERVICES = (*SERVICES, "turnos", "reservas")
KEPT_CALLERS_PER_VM = 3
PATH = "/a/1"
NESTED_ROUTE = {
    "name": "nested",
    "path_prefix": NESTED_PATH.removesuffix("1"),
    "route_kind": "non_idempotent",
    "timeout_ms": 2000,
    "target_latency_ms": 1000,
    "priority": 1,
    "service": "reservas",
    "max_attempts": 2,
}
EXIT_POLL_INTERVAL_S = 0.02
START_S = 2.0  # Time in which a node process starts.
REQUEST_INTERVAL_S = 0.04
REQUEST_TIMEOUT_S = 8.0
DEADLINE_MS = 2500
RECOVERY_S = 15.0  # Equal to the users' bound recovery_s.
LATE_RUN_WAIT_S = 3.0  # A refused request must not be executed within this time.
MAX_BODY_BYTES = 100_000
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class FaultKind(enum.Enum):
    """Kind of a fault."""

    KILL = "kill"
    KILL_ALL = "kill_all"
    STOP = "stop"
    PAUSE = "pause"
    STORE_REFUSES = "store_refuses"
    STORE_SILENT = "store_silent"
    CHANGE = "change"
    SLOW_SERVER = "slow_server"


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of a plan.

    Parameters
    ----------
    at_s : float
        Seconds after the start of traffic.
    kind : FaultKind
        Kind of the fault.
    vm : str
        Affected VM, unused when the fault affects all VMs or the store.
    duration_s : float
        Seconds until the fault ends or the process is started again.
    """

    at_s: float
    kind: FaultKind
    vm: str
    duration_s: float


def draw_plan(seed: int, fault_period_s: float, names: list[str]) -> list[Fault]:
    """Return a plan of overlapping faults, always the same for a seed.

    Parameters
    ----------
    seed : int
        Seed of the plan.
    fault_period_s : float
        Seconds from the start of traffic in which faults may begin.
    names : list of str
        Names of the VMs.
    """
    rng = random.Random(seed)
    faults = []
    at_s = rng.uniform(0.2, 1.0)
    while at_s < fault_period_s:
        fault = Fault(
            at_s, rng.choice(list(FaultKind)), rng.choice(names), rng.uniform(0.2, 2.5)
        )
        faults.append(fault)
        at_s += rng.uniform(0.1, 1.8)
    return faults


def find_violations(
    results: list[CallerResult], executions: dict[str, list[str]]
) -> list[str]:
    """Return wrong results of callers and requests that were executed twice.

    Parameters
    ----------
    results : list of CallerResult
        Results of the callers.
    executions : dict of str to list of str
        Names of the backend servers that executed each request, by request id.
    """
    violations = []
    for result in results:
        servers = executions.get(result.request_id, [])
        if len(servers) > 1:
            violations.append(f"{result.request_id} was executed on {servers}")
        if result.status in NOT_RUN_STATUSES and servers:
            violations.append(
                f"{result.request_id} got status {result.status} "
                f"but was executed on {servers}"
            )
        if result.status == 200:
            expected = (
                f"{servers[0] if servers else 'no server'} {result.size}".encode()
            )
            if result.echoed_id != result.request_id or result.content != expected:
                violations.append(
                    f"{result.request_id} got body {result.content!r} "
                    f"for request {result.echoed_id}"
                )
    return violations


class Soak:
    """Run a plan of faults under load and check the results of all requests.

    Parameters
    ----------
    seed : int
        Seed of the plan, the callers and the sizes.
    fault_period_s : float
        Seconds from the start of traffic in which faults may begin.
    stop_period_s : float
        Seconds in which series of planned stops may begin, after the faults have ended;
        one more series begins between the faults. With 0 there are no such series, and
        the backend servers respond alike to all requests.
    uses_kept_connections : bool
        Whether there are callers that keep connections.
    """

    def __init__(
        self,
        seed: int,
        fault_period_s: float,
        stop_period_s: float = 0.0,
        uses_kept_connections: bool = False,
    ) -> None:
        self._rng = random.Random(f"callers {seed}")
        self._seed = seed
        self._fault_period_s = fault_period_s
        self._stop_period_s = stop_period_s
        self._uses_kept_connections = uses_kept_connections
        self._paused: set[str] = set()
        self._stopped: set[str] = set()
        self._stops: list[tuple[str, float]] = []
        self._disturbances: list[Disturbance] = []
        self._change_count = 0
        self.results: list[CallerResult] = []
        self.violations: list[str] = []

    def run(self, timeout_s: float) -> None:
        """Run the plan and store all violations in ``violations``.

        Parameters
        ----------
        timeout_s : float
            Timeout of the whole run in seconds.

        Raises
        ------
        trio.TooSlowError
            The mesh did not serve requests by the latest configuration within
            ``RECOVERY_S`` after the last fault, or the run exceeded its timeout.
        """

        async def main() -> None:
            with trio.fail_after(timeout_s):
                await self._run()

        trio.run(main)

    async def _run(self) -> None:
        has_stops = self._stop_period_s > 0
        async with hosted_mesh(
            *(STOP_SERVICES if has_stops else SERVICES),
            backend_type=SoakBackend if has_stops else Backend,
            more_paths=(NESTED_ROUTE,) if has_stops else (),
        ) as mesh:
            await mesh.wait_until_serving()
            async with trio.open_nursery() as callers:
                callers.start_soon(self._send_requests, mesh)
                callers.start_soon(self._watch_processes, mesh)
                if self._uses_kept_connections:
                    self._start_kept_callers(mesh, callers)
                async with trio.open_nursery() as faults:
                    for fault in self._draw_faults(mesh):
                        faults.start_soon(self._inject, mesh, fault)
                    for stop in self._draw_stops(mesh):
                        faults.start_soon(self._stop_as_planned, mesh, stop)
                with trio.fail_after(RECOVERY_S):
                    await self._wait_until_recovered(mesh)
                callers.cancel_scope.cancel()
            await trio.sleep(LATE_RUN_WAIT_S)
            self._check(mesh)

    def _draw_faults(self, mesh: HostedMesh) -> list[Fault]:
        """Return the faults; among the last stops they are none of a process."""
        faults = draw_plan(self._seed, self._fault_period_s, mesh.names)
        begin_s = self._fault_period_s + STABLE_S
        harmless = (FaultKind.CHANGE, FaultKind.SLOW_SERVER)
        faults += [
            dataclasses.replace(fault, at_s=begin_s + fault.at_s)
            for fault in draw_plan(-self._seed, self._stop_period_s, mesh.names)
            if fault.kind in harmless
        ]
        return faults

    def _draw_stops(self, mesh: HostedMesh) -> list[PlannedStop]:
        if not self._stop_period_s:
            return []
        begin_s = self._fault_period_s + STABLE_S
        end_s = begin_s + self._stop_period_s
        stops = draw_stops(self._seed, begin_s, end_s, mesh.names)
        return stops + draw_stops(-self._seed, 0.0, 1.5, mesh.names)

    def _check(self, mesh: HostedMesh) -> None:
        runs: dict[str, list[Run]] = collections.defaultdict(list)
        for backend in mesh.backends.values():
            if isinstance(backend, SoakBackend):
                self.results += backend.results
                for request_id, run in backend.drawn_runs:
                    runs[request_id].append(run)
        self.violations += find_violations(self.results, _executions_by_request(mesh))
        self.violations += find_losses(
            self.results, runs, self._stops, self._disturbances
        )

    def _start_kept_callers(self, mesh: HostedMesh, nursery: trio.Nursery) -> None:
        for name in mesh.names:
            for number in range(KEPT_CALLERS_PER_VM):
                caller_name = f"{self._seed}-kept-{name}-{number}"
                caller = KeptCaller(
                    name,
                    mesh.address(name),
                    CALLER_PORT,
                    HOST,
                    PATH,
                    DEADLINE_MS,
                    REQUEST_TIMEOUT_S,
                    random.Random(caller_name),
                    self.results.append,
                )
                nursery.start_soon(caller.run, caller_name)

    async def _watch_processes(self, mesh: HostedMesh) -> None:
        """Report processes that end by themselves, and start them again."""
        while True:
            for name, process in list(mesh.processes.items()):
                status = process.poll()
                if status is not None and name not in self._stopped:
                    self.violations.append(
                        f"EXIT: {name} ended by itself with status {status}"
                    )
                    mesh.start_node(name)
            await trio.sleep(EXIT_POLL_INTERVAL_S)

    async def _inject(self, mesh: HostedMesh, fault: Fault) -> None:
        await trio.sleep(fault.at_s)
        injectors: dict[FaultKind, Callable[[HostedMesh, Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.STOP: self._stop,
            FaultKind.PAUSE: self._pause,
            FaultKind.STORE_REFUSES: self._refuse_store_calls,
            FaultKind.STORE_SILENT: self._silence_store,
            FaultKind.CHANGE: self._change_configuration,
            FaultKind.SLOW_SERVER: self._slow_down_server,
        }
        await injectors[fault.kind](mesh, fault)

    async def _kill(self, mesh: HostedMesh, fault: Fault) -> None:
        await self._restart_after_kill(mesh, [fault.vm], fault.duration_s)

    async def _kill_all(self, mesh: HostedMesh, fault: Fault) -> None:
        await self._restart_after_kill(mesh, mesh.names, fault.duration_s)

    async def _restart_after_kill(
        self, mesh: HostedMesh, names: list[str], duration_s: float
    ) -> None:
        claimed = [name for name in names if name not in self._stopped]
        self._stopped.update(claimed)
        began_s = trio.current_time()
        for name in claimed:
            self._signal(mesh, name, signal.SIGKILL)
        for name in claimed:
            await mesh.wait_for_exit(name)
        await trio.sleep(duration_s)
        for name in claimed:
            mesh.start_node(name)
            self._stopped.discard(name)
            self._add_disturbance(name, began_s, START_S)

    def _signal(self, mesh: HostedMesh, name: str, number: signal.Signals) -> None:
        """Send a signal that takes effect also while the process is paused."""
        mesh.signal_node(name, number)
        if name in self._paused:
            mesh.signal_node(name, signal.SIGCONT)

    def _add_disturbance(self, vm: str, began_s: float, more_s: float = 0.0) -> None:
        end_s = trio.current_time() + more_s
        self._disturbances.append(Disturbance(vm, began_s, end_s))

    async def _stop(self, mesh: HostedMesh, fault: Fault) -> None:
        stop = PlannedStop(0.0, fault.vm, fault.duration_s)
        await self._stop_as_planned(mesh, stop)

    async def _stop_as_planned(self, mesh: HostedMesh, stop: PlannedStop) -> None:
        await trio.sleep(stop.at_s)
        if stop.vm in self._stopped:
            return
        self._stopped.add(stop.vm)
        has_started = await mesh.is_listening(stop.vm)
        stopped_s = trio.current_time()
        self._stops.append((stop.vm, stopped_s))
        self._signal(mesh, stop.vm, signal.SIGTERM)
        async with trio.open_nursery() as nursery:
            for delay_s, number in stop.signals:
                nursery.start_soon(self._signal_later, mesh, stop.vm, delay_s, number)
            await self._check_exit(mesh, stop.vm, stopped_s, has_started)
            nursery.cancel_scope.cancel()
        await trio.sleep(stop.down_s)
        mesh.start_node(stop.vm)
        self._stopped.discard(stop.vm)

    async def _signal_later(
        self, mesh: HostedMesh, name: str, delay_s: float, number: signal.Signals
    ) -> None:
        await trio.sleep(delay_s)
        mesh.signal_node(name, number)

    async def _check_exit(
        self, mesh: HostedMesh, name: str, stopped_s: float, has_started: bool
    ) -> None:
        """Wait for the exit of a stopped process; kill it when its grace is over.

        A signal that arrives before the process has started ends it at once.
        """
        process = mesh.processes[name]
        with trio.move_on_at(stopped_s + GRACE_S):
            while process.poll() is None:
                await trio.sleep(EXIT_POLL_INTERVAL_S)
        status = process.poll()
        began_s = stopped_s - STABLE_S
        was_paused = name in self._paused or any(
            d.vm == name and d.touches({name}, began_s, trio.current_time())
            for d in self._disturbances
        )
        if status is None:
            mesh.signal_node(name, signal.SIGKILL)
            await mesh.wait_for_exit(name)
        ended_by_signal = not has_started and status == -signal.SIGTERM
        if status != 0 and not was_paused and not ended_by_signal:
            outcome = "late" if status is None else f"with status {status}"
            self.violations.append(f"EXIT: {name} ended {outcome} after its stop")

    async def _pause(self, mesh: HostedMesh, fault: Fault) -> None:
        if fault.vm in self._stopped | self._paused:
            return
        self._paused.add(fault.vm)
        began_s = trio.current_time()
        mesh.signal_node(fault.vm, signal.SIGSTOP)
        await trio.sleep(fault.duration_s)
        self._paused.discard(fault.vm)
        self._add_disturbance(fault.vm, began_s)
        if fault.vm not in self._stopped:
            mesh.signal_node(fault.vm, signal.SIGCONT)

    async def _refuse_store_calls(self, mesh: HostedMesh, fault: Fault) -> None:
        began_s = trio.current_time()
        mesh.store.faults.refused_status = 503
        await trio.sleep(fault.duration_s)
        mesh.store.faults.refused_status = 0
        self._add_disturbance(ALL_VMS, began_s)

    async def _silence_store(self, mesh: HostedMesh, fault: Fault) -> None:
        began_s = trio.current_time()
        mesh.store.faults.silent = True
        await trio.sleep(fault.duration_s)
        mesh.store.faults.silent = False
        self._add_disturbance(ALL_VMS, began_s)

    async def _change_configuration(self, mesh: HostedMesh, fault: Fault) -> None:
        self._change_count += 1
        mesh.put_configuration(timeout_ms=2000 + self._change_count)

    async def _slow_down_server(self, mesh: HostedMesh, fault: Fault) -> None:
        backend = mesh.backends[fault.vm]
        backend.service_time_s = 0.6
        await trio.sleep(fault.duration_s)
        backend.service_time_s = BASE_SERVICE_TIME_S

    async def _send_requests(self, mesh: HostedMesh) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                name = self._rng.choice(mesh.names)
                size = self._rng.choice((0, 20, MAX_BODY_BYTES))
                request_id = f"{self._seed}-{len(self.results)}-{self._rng.random()}"
                nursery.start_soon(self._send_request, mesh, name, request_id, size)
                await trio.sleep(REQUEST_INTERVAL_S)

    async def _send_request(
        self, mesh: HostedMesh, name: str, request_id: str, size: int
    ) -> None:
        started_s = sent_s = trio.current_time()
        status, echoed_id, content = 0, "", b""
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            try:
                response = await mesh.send_request(
                    name, PATH, b"z" * size, request_id, DEADLINE_MS
                )
            except httpcore.ConnectError:
                sent_s = trio.current_time()  # Nothing was sent.
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass  # The node was killed: the caller gets no response.
            else:
                echoed_id = dict(response.headers).get(b"attempt-id", b"").decode()
                status, content = response.status, response.content
        self.results.append(
            CallerResult(
                request_id,
                size,
                status,
                echoed_id,
                content,
                name,
                started_s,
                sent_s,
                trio.current_time(),
                min(DEADLINE_MS / 1000, ROUTE_TIMEOUT_S),
            )
        )

    async def _wait_until_recovered(self, mesh: HostedMesh) -> None:
        await mesh.wait_until_serving()
        mesh.put_configuration(prefix="/last/")
        for name in mesh.names:
            while (await mesh.send_request(name, "/last/1")).status != 200:
                await trio.sleep(0.05)


def _executions_by_request(mesh: HostedMesh) -> dict[str, list[str]]:
    executions: dict[str, list[str]] = collections.defaultdict(list)
    for backend in mesh.backends.values():
        for request in backend.requests:
            executions[request.get("attempt-id", "")].append(backend.name)
    return executions
