"""Seeded faults on a hosted mesh of real processes, and what must hold after them."""

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
CALL_INTERVAL_S = 0.04
CALL_TIMEOUT_S = 8.0
DEADLINE_MS = 2500
RECOVERY_S = 15.0  # As the users' bound recovery_s.
LATE_RUN_S = 3.0  # A request that was refused may not run later either.
MAX_BODY_BYTES = 100_000
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))


class Trouble(enum.Enum):
    """Kinds of faults."""

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
    trouble : Trouble
        What happens.
    vm : str
        VM that is concerned, unless all or the store are.
    for_s : float
        Seconds for which it lasts, or after which the process is started again.
    """

    at_s: float
    trouble: Trouble
    vm: str
    for_s: float


@dataclasses.dataclass(frozen=True)
class Told:
    """What a caller was told of one request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    size : int
        Bytes of its body.
    status : int
        Status of the answer, 0 for none.
    echo : str
        Id that the answer bears.
    content : bytes
        Body of the answer.
    """

    request_id: str
    size: int
    status: int
    echo: str = ""
    content: bytes = b""


def draw_plan(seed: int, last_s: float, names: list[str]) -> list[Fault]:
    """Draw faults that follow one another and overlap, the same for a seed.

    Parameters
    ----------
    seed : int
        Seed of the plan.
    last_s : float
        Time after which no fault begins.
    names : list of str
        Names of the VMs.
    """
    rng = random.Random(seed)
    faults = []
    at_s = rng.uniform(0.2, 1.0)
    while at_s < last_s:
        fault = Fault(
            at_s, rng.choice(list(Trouble)), rng.choice(names), rng.uniform(0.2, 2.5)
        )
        faults.append(fault)
        at_s += rng.uniform(0.1, 1.8)
    return faults


def find_lies(told: list[Told], runs: dict[str, list[str]]) -> list[str]:
    """Return what callers were told untruly, and requests that ran too often.

    Parameters
    ----------
    told : list of Told
        What callers were told.
    runs : dict of str to list of str
        Backend servers that ran each request.
    """
    lies = []
    for item in told:
        ran = runs.get(item.request_id, [])
        if len(ran) > 1:
            lies.append(f"{item.request_id} ran on {ran}")
        if item.status in PROMISES_NOT_RUN and ran:
            lies.append(f"{item.request_id} was told {item.status} and ran on {ran}")
        if item.status == 200:
            expected = f"{ran[0] if ran else 'no server'} {item.size}".encode()
            if item.echo != item.request_id or item.content != expected:
                lies.append(f"{item.request_id} got {item.content!r} of {item.echo}")
    return lies


class Soak:
    """Plays a plan under load and checks what must hold.

    Parameters
    ----------
    seed : int
        Seed of the plan, the callers and the sizes.
    last_s : float
        Time after which no fault begins.
    """

    def __init__(self, seed: int, last_s: float) -> None:
        self._rng = random.Random(f"callers {seed}")
        self._seed = seed
        self._last_s = last_s
        self._paused: set[str] = set()
        self._ended: set[str] = set()
        self._changes = 0
        self.told: list[Told] = []
        self.lies: list[str] = []

    def play(self, limit_s: float) -> None:
        """Play the plan; ``lies`` then holds what was broken.

        Parameters
        ----------
        limit_s : float
            Seconds that all of it may take.

        Raises
        ------
        trio.TooSlowError
            The mesh did not serve, or not by the newest configuration, within
            ``RECOVERY_S`` after the last fault, or all took too long.
        """

        async def main() -> None:
            with trio.fail_after(limit_s):
                await self._run()

        trio.run(main)

    async def _run(self) -> None:
        async with hosted_mesh(*SERVICES) as mesh:
            await mesh.wait_served()
            async with trio.open_nursery() as callers:
                callers.start_soon(self._call_steadily, mesh)
                async with trio.open_nursery() as faults:
                    for fault in draw_plan(self._seed, self._last_s, mesh.names):
                        faults.start_soon(self._play, mesh, fault)
                with trio.fail_after(RECOVERY_S):
                    await self._wait_recovered(mesh)
                callers.cancel_scope.cancel()
            await trio.sleep(LATE_RUN_S)
            self.lies = find_lies(self.told, _count_runs(mesh))

    async def _play(self, mesh: HostedMesh, fault: Fault) -> None:
        await trio.sleep(fault.at_s)
        plays: dict[Trouble, Callable[[HostedMesh, Fault], Awaitable[None]]] = {
            Trouble.KILL: self._kill,
            Trouble.KILL_ALL: self._kill_all,
            Trouble.STOP: self._stop,
            Trouble.PAUSE: self._pause,
            Trouble.STORE_REFUSES: self._refuse,
            Trouble.STORE_SILENT: self._silence,
            Trouble.CHANGE: self._change,
            Trouble.SLOW_SERVER: self._slow,
        }
        await plays[fault.trouble](mesh, fault)

    async def _kill(self, mesh: HostedMesh, fault: Fault) -> None:
        await self._end(mesh, [fault.vm], signal.SIGKILL, fault.for_s)

    async def _kill_all(self, mesh: HostedMesh, fault: Fault) -> None:
        await self._end(mesh, mesh.names, signal.SIGKILL, fault.for_s)

    async def _stop(self, mesh: HostedMesh, fault: Fault) -> None:
        await self._end(mesh, [fault.vm], signal.SIGTERM, fault.for_s)

    async def _end(
        self,
        mesh: HostedMesh,
        names: list[str],
        number: signal.Signals,
        for_s: float,
    ) -> None:
        mine = [name for name in names if name not in self._ended]
        self._ended.update(mine)
        for name in mine:
            mesh.signal_node(name, number)
            if name in self._paused:
                mesh.signal_node(name, signal.SIGCONT)
        for name in mine:
            await mesh.wait_ended(name)
        await trio.sleep(for_s)
        for name in mine:
            mesh.start_node(name)
            self._ended.discard(name)

    async def _pause(self, mesh: HostedMesh, fault: Fault) -> None:
        if fault.vm in self._ended | self._paused:
            return
        self._paused.add(fault.vm)
        mesh.signal_node(fault.vm, signal.SIGSTOP)
        await trio.sleep(fault.for_s)
        self._paused.discard(fault.vm)
        if fault.vm not in self._ended:
            mesh.signal_node(fault.vm, signal.SIGCONT)

    async def _refuse(self, mesh: HostedMesh, fault: Fault) -> None:
        mesh.store.faults.refused_status = 503
        await trio.sleep(fault.for_s)
        mesh.store.faults.refused_status = 0

    async def _silence(self, mesh: HostedMesh, fault: Fault) -> None:
        mesh.store.faults.silent = True
        await trio.sleep(fault.for_s)
        mesh.store.faults.silent = False

    async def _change(self, mesh: HostedMesh, fault: Fault) -> None:
        self._changes += 1
        mesh.put_configuration(timeout_ms=2000 + self._changes)

    async def _slow(self, mesh: HostedMesh, fault: Fault) -> None:
        backend = mesh.backends[fault.vm]
        backend.run_s = 0.6
        await trio.sleep(fault.for_s)
        backend.run_s = 0.02

    async def _call_steadily(self, mesh: HostedMesh) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                name = self._rng.choice(mesh.names)
                size = self._rng.choice((0, 20, MAX_BODY_BYTES))
                request_id = f"{self._seed}-{len(self.told)}-{self._rng.random()}"
                nursery.start_soon(self._call, mesh, name, request_id, size)
                await trio.sleep(CALL_INTERVAL_S)

    async def _call(
        self, mesh: HostedMesh, name: str, request_id: str, size: int
    ) -> None:
        told = Told(request_id, size, 0)
        with trio.move_on_after(CALL_TIMEOUT_S):
            try:
                answer = await mesh.ask(
                    name, "/a/1", b"z" * size, request_id, DEADLINE_MS
                )
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass  # The node is down or was killed: the caller is told nothing.
            else:
                echo = dict(answer.headers).get(b"attempt-id", b"").decode()
                told = Told(request_id, size, answer.status, echo, answer.content)
        self.told.append(told)

    async def _wait_recovered(self, mesh: HostedMesh) -> None:
        await mesh.wait_served()
        mesh.put_configuration(prefix="/last/")
        for name in mesh.names:
            while (await mesh.ask(name, "/last/1")).status != 200:
                await trio.sleep(0.05)


def _count_runs(mesh: HostedMesh) -> dict[str, list[str]]:
    runs: dict[str, list[str]] = collections.defaultdict(list)
    for backend in mesh.backends.values():
        for seen in backend.seen:
            runs[seen.get("attempt-id", "")].append(backend.name)
    return runs
