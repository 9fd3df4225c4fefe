"""A mesh of real processes on loopback addresses, for the demo, tests and benches.

The programs that run on a VM start no processes; this module does, and none of them
imports it.
"""

from __future__ import annotations

import dataclasses
import functools
import json
import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING

import httpcore
import msgspec
import trio

from marigoldchute.admin.client import AdminClient
from marigoldchute.bundle.signing import generate_private_key, public_key_of
from marigoldchute.errors import MarigoldchuteError, PeerError
from marigoldchute.standins.backend_faults import (
    FAULTS_TARGET,
    STATE_TARGET,
    BackendState,
)
from marigoldchute.standins.faultproxy import (
    ByteCount,
    End,
    Forward,
    ProxyPlan,
)
from marigoldchute.standins.loopback import (
    BACKEND_PORT,
    PEER_PORT,
    PROXY_PORT,
    STORE_PORT,
)
from marigoldchute.standins.store import CallCounts

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Awaitable, Callable, Sequence

    from marigoldchute.admin.messages import Status
    from marigoldchute.standins.backend import BackendSettings
    from marigoldchute.standins.backend_faults import BackendFaults
    from marigoldchute.standins.faultproxy import Rule
    from marigoldchute.standins.loopback import MeshPlan, Vm
    from marigoldchute.standins.store import StoreFaults

ADMIN_TOKEN = "operator-token-of-the-mesh"
PEER_SECRET = "peer-secret-of-the-mesh"
STOP_TIMEOUT_S = 5.0
POLL_S = 0.05


class Mesh:
    """Starts, stops and asks the processes of a mesh.

    Parameters
    ----------
    plan : MeshPlan
        VMs and addresses.
    directory : pathlib.Path
        Where settings and logs go.
    seed : int
        Seed of the nodes' random choices.

    Attributes
    ----------
    node_settings : dict of str to object
        Settings of every node that differ from the usual ones.
    """

    def __init__(self, plan: MeshPlan, directory: pathlib.Path, seed: int) -> None:
        self.plan = plan
        self.directory = directory
        self.private_key = generate_private_key()
        self.node_settings: dict[str, object] = {}
        self._seed = seed
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._starting: dict[str, Callable[[], Awaitable[object]]] = {}

    @property
    def key_path(self) -> pathlib.Path:
        """File with the operator's signing key."""
        return self.directory / "key.json"

    def vm(self, name: str) -> Vm:
        """Return a VM by name."""
        return next(vm for vm in self.plan.vms if vm.name == name)

    def admin(self, name: str) -> AdminClient:
        """Return a client of a node's administration API."""
        return AdminClient(f"{self.vm(name).address}:7100", ADMIN_TOKEN)

    def start_store(self) -> None:
        """Start the store stand-in."""
        args = ["store", self.plan.store_address, str(STORE_PORT)]
        self._start("store", "marigoldchute.cmd.standin", args)

    def start_proxy(self) -> None:
        """Start the fault-injecting proxy in front of the nodes and the store."""
        ends = [End(v.name, v.data_centre, v.region, v.address) for v in self.plan.vms]
        first = self.plan.vms[0]
        store = End("store", "store", first.region, self.plan.store_address)
        reached = self.plan.reached_address
        forwards = [Forward(reached(e.address), PEER_PORT, e) for e in ends]
        forwards.append(Forward(reached(store.address), STORE_PORT, store))
        plan = ProxyPlan(
            tuple(forwards), tuple(ends), self.plan.store_address, PROXY_PORT
        )
        path = self.directory / "proxy.json"
        path.write_bytes(msgspec.json.encode(plan))
        self._start("proxy", "marigoldchute.cmd.standin", ["proxy", str(path)])

    async def set_faults(self, *rules: Rule) -> None:
        """Replace the rules of the fault-injecting proxy."""
        await self._control(PROXY_PORT, "/rules", msgspec.json.encode(rules))

    async def byte_counts(self) -> list[ByteCount]:
        """Return the bytes that the fault-injecting proxy has forwarded."""
        body = await self._control(PROXY_PORT, "/bytes", b"")
        return msgspec.json.decode(body, type=list[ByteCount])

    async def set_backend_faults(
        self, vm_name: str, faults: BackendFaults, port: int = BACKEND_PORT
    ) -> None:
        """Replace the faults of a backend server stand-in."""
        await self._ask_backend(vm_name, port, FAULTS_TARGET, faults)

    async def backend_state(
        self, vm_name: str, port: int = BACKEND_PORT
    ) -> BackendState:
        """Return what a backend server stand-in has counted."""
        body = await self._ask_backend(vm_name, port, STATE_TARGET, None)
        return msgspec.json.decode(body, type=BackendState)

    async def _ask_backend(
        self, vm_name: str, port: int, target: bytes, message: object
    ) -> bytes:
        url = f"http://{self.vm(vm_name).address}:{port}{target.decode()}"
        body = msgspec.json.encode(message)
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("POST", url, content=body)
        return response.content

    async def set_store_faults(self, faults: StoreFaults) -> None:
        """Replace the faults of the store stand-in."""
        await self._control(STORE_PORT, "/faults", msgspec.json.encode(faults))

    async def store_calls(self) -> CallCounts:
        """Return the calls that the store stand-in has counted."""
        body = await self._control(STORE_PORT, "/calls", b"")
        return msgspec.json.decode(body, type=CallCounts)

    async def _control(self, port: int, path: str, body: bytes) -> bytes:
        url = f"http://{self.plan.store_address}:{port}{path}"
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("POST", url, content=body)
        return response.content

    def start_node(self, name: str, **settings: object) -> None:
        """Start the node of a VM; ``settings`` replace those of the mesh."""
        path = self.directory / f"{name}.json"
        merged = self._node_settings(self.vm(name)) | settings
        path.write_text(json.dumps(merged, indent=2))
        seed = self._seed * 1000 + [vm.name for vm in self.plan.vms].index(name)
        self._start(name, "marigoldchute.cmd.node", [str(path), "--seed", str(seed)])
        self._starting[name] = self.admin(name).status

    def start_backend(self, settings: BackendSettings) -> str:
        """Start a backend server stand-in; return its process name."""
        name = f"backend-{settings.address}-{settings.port}"
        args = ["backend", json.dumps(dataclasses.asdict(settings))]
        self._start(name, "marigoldchute.cmd.standin", args)
        self._starting[name] = functools.partial(
            _connect, settings.address, settings.port
        )
        return name

    def process(self, name: str) -> subprocess.Popen[bytes]:
        """Return a running process by name."""
        return self._processes[name]

    def kill(self, name: str) -> None:
        """End a process at once."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """End every process, without a drain of the nodes."""
        nodes = {vm.name for vm in self.plan.vms}
        for name, process in self._processes.items():
            process.send_signal(signal.SIGINT if name in nodes else signal.SIGTERM)
        for process in self._processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._processes.clear()

    def run_ctl(self, args: Sequence[str]) -> subprocess.CompletedProcess[str]:
        """Run the operator's program with the mesh's admin token."""
        return subprocess.run(
            [sys.executable, "-m", "marigoldchute.cmd.ctl", *args],
            env={**os.environ, "MARIGOLDCHUTE_TOKEN": ADMIN_TOKEN},
            capture_output=True,
            text=True,
            check=False,
        )

    async def wait_until(
        self,
        name: str,
        condition: Callable[[Status], bool],
        timeout_s: float = 15.0,
    ) -> Status:
        """Poll a node's status until a condition holds.

        Raises
        ------
        trio.TooSlowError
            It did not hold in time.
        """
        client = self.admin(name)
        await self._wait_started()
        with trio.fail_after(timeout_s):
            while True:
                try:
                    status = await client.status()
                except (PeerError, MarigoldchuteError):
                    await trio.sleep(POLL_S)
                    continue
                if condition(status):
                    return status
                await trio.sleep(POLL_S)

    async def _wait_started(self) -> None:
        """Wait until each process has answered once since its start, or has ended.

        How long the processes take to load their modules is no property of the mesh,
        so it is not taken off the time in which a condition must hold. On a starved
        machine the last of a herd answers seconds after the first.
        """
        for name, ask in tuple(self._starting.items()):
            process = self._processes.get(name)
            while process is not None and process.poll() is None:
                try:
                    await ask()
                except (MarigoldchuteError, OSError):
                    await trio.sleep(POLL_S)
                else:
                    break
            self._starting.pop(name, None)

    async def wait_for_port(
        self, address: str, port: int, timeout_s: float = 15.0
    ) -> None:
        """Wait until a process accepts connections.

        Raises
        ------
        trio.TooSlowError
            It did not in time.
        """
        with trio.fail_after(timeout_s):
            while True:
                try:
                    await _connect(address, port)
                except OSError:
                    await trio.sleep(POLL_S)
                    continue
                return

    def write_key(self) -> None:
        """Write the operator's signing key."""
        key = {
            "key_id": "ops-1",
            "private_key": self.private_key,
            "public_key": public_key_of(self.private_key),
        }
        self.key_path.write_text(json.dumps(key))

    def _node_settings(self, vm: Vm) -> dict[str, object]:
        reached = self.plan.reached_address
        seeds = [f"{reached(v.address)}:{PEER_PORT}" for v in self.plan.vms[:3]]
        return {
            "name": vm.name,
            "address": vm.address,
            "advertise_address": reached(vm.address),
            "data_centre": vm.data_centre,
            "region": vm.region,
            "store": {
                "address": reached(self.plan.store_address),
                "port": STORE_PORT,
            },
            "trusted_keys": [
                {"key_id": "ops-1", "public_key": public_key_of(self.private_key)}
            ],
            "seeds": seeds,
            "peer_secret": PEER_SECRET,
            "admin_token": ADMIN_TOKEN,
            **self.node_settings,
        }

    def _start(self, name: str, module: str, args: list[str]) -> None:
        out = (self.directory / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdin=subprocess.DEVNULL,
            stdout=out,
            stderr=subprocess.STDOUT,
        )


async def _connect(address: str, port: int) -> None:
    """Open a connection and close it."""
    stream = await trio.open_tcp_stream(address, port)
    await stream.aclose()
