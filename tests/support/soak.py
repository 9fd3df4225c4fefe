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

from tests.support.hosted import hosted_mesh

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.hosted import HostedMesh

SERVICES = ("turnos", "reservas", "turnos", "turnos")
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


@dataclasses.dataclass(frozen=True)
class CallerResult:
    """Result of one request as its caller received it.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    size : int
        Size of its body in bytes.
    status : int
        Status of the response, 0 without a response.
    echoed_id : str
        Request identifier in the response.
    content : bytes
        Body of the response.
    """

    request_id: str
    size: int
    status: int
    echoed_id: str = ""
    content: bytes = b""


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
    """

    def __init__(self, seed: int, fault_period_s: float) -> None:
        self._rng = random.Random(f"callers {seed}")
        self._seed = seed
        self._fault_period_s = fault_period_s
        self._paused: set[str] = set()
        self._stopped: set[str] = set()
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
        async with hosted_mesh(*SERVICES) as mesh:
            await mesh.wait_until_serving()
            async with trio.open_nursery() as callers:
                callers.start_soon(self._send_requests, mesh)
                async with trio.open_nursery() as faults:
                    for fault in draw_plan(
                        self._seed, self._fault_period_s, mesh.names
                    ):
                        faults.start_soon(self._inject, mesh, fault)
                with trio.fail_after(RECOVERY_S):
                    await self._wait_until_recovered(mesh)
                callers.cancel_scope.cancel()
            await trio.sleep(LATE_RUN_WAIT_S)
            self.violations = find_violations(
                self.results, _executions_by_request(mesh)
            )

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
        await self._restart(mesh, [fault.vm], signal.SIGKILL, fault.duration_s)

    async def _kill_all(self, mesh: HostedMesh, fault: Fault) -> None:
        await self._restart(mesh, mesh.names, signal.SIGKILL, fault.duration_s)

    async def _stop(self, mesh: HostedMesh, fault: Fault) -> None:
        await self._restart(mesh, [fault.vm], signal.SIGTERM, fault.duration_s)

    async def _restart(
        self,
        mesh: HostedMesh,
        names: list[str],
        signal_number: signal.Signals,
        duration_s: float,
    ) -> None:
        claimed = [name for name in names if name not in self._stopped]
        self._stopped.update(claimed)
        for name in claimed:
            mesh.signal_node(name, signal_number)
            if name in self._paused:
                mesh.signal_node(name, signal.SIGCONT)
        for name in claimed:
            await mesh.wait_for_exit(name)
        await trio.sleep(duration_s)
        for name in claimed:
            mesh.start_node(name)
            self._stopped.discard(name)

    async def _pause(self, mesh: HostedMesh, fault: Fault) -> None:
        if fault.vm in self._stopped | self._paused:
            return
        self._paused.add(fault.vm)
        mesh.signal_node(fault.vm, signal.SIGSTOP)
        await trio.sleep(fault.duration_s)
        self._paused.discard(fault.vm)
        if fault.vm not in self._stopped:
            mesh.signal_node(fault.vm, signal.SIGCONT)

    async def _refuse_store_calls(self, mesh: HostedMesh, fault: Fault) -> None:
        mesh.store.faults.refused_status = 503
        await trio.sleep(fault.duration_s)
        mesh.store.faults.refused_status = 0

    async def _silence_store(self, mesh: HostedMesh, fault: Fault) -> None:
        mesh.store.faults.silent = True
        await trio.sleep(fault.duration_s)
        mesh.store.faults.silent = False

    async def _change_configuration(self, mesh: HostedMesh, fault: Fault) -> None:
        self._change_count += 1
        mesh.put_configuration(timeout_ms=2000 + self._change_count)

    async def _slow_down_server(self, mesh: HostedMesh, fault: Fault) -> None:
        backend = mesh.backends[fault.vm]
        backend.service_time_s = 0.6
        await trio.sleep(fault.duration_s)
        backend.service_time_s = 0.02

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
        result = CallerResult(request_id, size, 0)
        with trio.move_on_after(REQUEST_TIMEOUT_S):
            try:
                response = await mesh.send_request(
                    name, "/a/1", b"z" * size, request_id, DEADLINE_MS
                )
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass  # The node is down or was killed: the caller gets no response.
            else:
                echoed_id = dict(response.headers).get(b"attempt-id", b"").decode()
                result = CallerResult(
                    request_id, size, response.status, echoed_id, response.content
                )
        self.results.append(result)

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
