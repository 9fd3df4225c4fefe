"""Mesh of real processes on loopback addresses, for the demo, tests and benchmarks.

The programs that run on a VM must not start processes. This module does, so none of
them imports it.
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
from marigoldchute.bundle.signing import derive_public_key, generate_private_key
from marigoldchute.errors import MarigoldchuteError, PeerError
from marigoldchute.standins.backend_faults import (
    FAULTS_TARGET,
    STATE_TARGET,
    BackendState,
)
from marigoldchute.standins.faultproxy import (
    ByteCount,
    Endpoint,
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
POLL_INTERVAL_S = 0.05


class Mesh:
    """Starts, stops and calls the processes of a mesh.

    Parameters
    ----------
    plan : MeshPlan
        VMs and addresses.
    directory : pathlib.Path
        Directory for settings and logs.
    seed : int
        Seed of the nodes' random choices.

    Attributes
    ----------
    node_settings : dict of str to object
        Settings that override the defaults on every node.
    """

    def __init__(self, plan: MeshPlan, directory: pathlib.Path, seed: int) -> None:
        self.plan = plan
        self.directory = directory
        self.private_key = generate_private_key()
        self.node_settings: dict[str, object] = {}
        self._seed = seed
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._startup_checks: dict[str, Callable[[], Awaitable[object]]] = {}

    @property
    def key_path(self) -> pathlib.Path:
        """Path of the operator's signing key."""
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
        self._start_process("store", "marigoldchute.cmd.standin", args)

    def start_proxy(self) -> None:
        """Start the fault-injecting proxy in front of the nodes and the store."""
        endpoints = [
            Endpoint(v.name, v.data_centre, v.region, v.address) for v in self.plan.vms
        ]
        first = self.plan.vms[0]
        store = Endpoint("store", "store", first.region, self.plan.store_address)
        reachable = self.plan.reachable_address
        forwards = [
            Forward(reachable(endpoint.address), PEER_PORT, endpoint)
            for endpoint in endpoints
        ]
        forwards.append(Forward(reachable(store.address), STORE_PORT, store))
        plan = ProxyPlan(
            tuple(forwards), tuple(endpoints), self.plan.store_address, PROXY_PORT
        )
        path = self.directory / "proxy.json"
        path.write_bytes(msgspec.json.encode(plan))
        self._start_process("proxy", "marigoldchute.cmd.standin", ["proxy", str(path)])

    async def set_proxy_rules(self, *rules: Rule) -> None:
        """Replace the rules of the fault-injecting proxy."""
        await self._call_control(PROXY_PORT, "/rules", msgspec.json.encode(rules))

    async def byte_counts(self) -> list[ByteCount]:
        """Return the byte counts of the fault-injecting proxy."""
        body = await self._call_control(PROXY_PORT, "/bytes", b"")
        return msgspec.json.decode(body, type=list[ByteCount])

    async def set_backend_faults(
        self, vm_name: str, faults: BackendFaults, port: int = BACKEND_PORT
    ) -> None:
        """Replace the faults of a backend server stand-in."""
        await self._call_backend(vm_name, port, FAULTS_TARGET, faults)

    async def backend_state(
        self, vm_name: str, port: int = BACKEND_PORT
    ) -> BackendState:
        """Return the counts of a backend server stand-in."""
        body = await self._call_backend(vm_name, port, STATE_TARGET, None)
        return msgspec.json.decode(body, type=BackendState)

    async def _call_backend(
        self, vm_name: str, port: int, target: bytes, message: object
    ) -> bytes:
        url = f"http://{self.vm(vm_name).address}:{port}{target.decode()}"
        body = msgspec.json.encode(message)
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("POST", url, content=body)
        return response.content

    async def set_store_faults(self, faults: StoreFaults) -> None:
        """Replace the faults of the store stand-in."""
        await self._call_control(STORE_PORT, "/faults", msgspec.json.encode(faults))

    async def store_call_counts(self) -> CallCounts:
        """Return the call counts of the store stand-in."""
        body = await self._call_control(STORE_PORT, "/calls", b"")
        return msgspec.json.decode(body, type=CallCounts)

    async def _call_control(self, port: int, path: str, body: bytes) -> bytes:
        url = f"http://{self.plan.store_address}:{port}{path}"
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("POST", url, content=body)
        return response.content

    def start_node(self, name: str, **settings: object) -> None:
        """Start the node of a VM; ``settings`` override those of the mesh."""
        path = self.directory / f"{name}.json"
        merged = self._build_node_settings(self.vm(name)) | settings
        path.write_text(json.dumps(merged, indent=2))
        seed = self._seed * 1000 + [vm.name for vm in self.plan.vms].index(name)
        self._start_process(
            name, "marigoldchute.cmd.node", [str(path), "--seed", str(seed)]
        )
        self._startup_checks[name] = self.admin(name).status

    def start_backend(self, settings: BackendSettings) -> str:
        """Start a backend server stand-in; return its process name."""
        name = f"backend-{settings.address}-{settings.port}"
        args = ["backend", json.dumps(dataclasses.asdict(settings))]
        self._start_process(name, "marigoldchute.cmd.standin", args)
        self._startup_checks[name] = functools.partial(
            _check_port, settings.address, settings.port
        )
        return name

    def process(self, name: str) -> subprocess.Popen[bytes]:
        """Return a running process by name."""
        return self._processes[name]

    def kill(self, name: str) -> None:
        """Kill a process by name."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """Stop every process, without draining the nodes."""
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
        """Run ``marigoldchute-ctl`` with the admin token of the mesh."""
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
            The condition did not hold before the timeout.
        """
        client = self.admin(name)
        await self._wait_for_startup()
        with trio.fail_after(timeout_s):
            while True:
                try:
                    status = await client.status()
                except (PeerError, MarigoldchuteError):
                    await trio.sleep(POLL_INTERVAL_S)
                    continue
                if condition(status):
                    return status
                await trio.sleep(POLL_INTERVAL_S)

    async def _wait_for_startup(self) -> None:
        """Wait until each process has responded once since its start, or has exited.

        The time that processes take to load their modules is not a property of the
        mesh, so it does not count towards the timeout of a condition. On an overloaded
        machine, the last of many processes starts to respond seconds after the first.
        """
        for name, check_started in tuple(self._startup_checks.items()):
            process = self._processes.get(name)
            while process is not None and process.poll() is None:
                try:
                    await check_started()
                except (MarigoldchuteError, OSError):
                    await trio.sleep(POLL_INTERVAL_S)
                else:
                    break
            self._startup_checks.pop(name, None)

    async def wait_for_port(
        self, address: str, port: int, timeout_s: float = 15.0
    ) -> None:
        """Wait until a process accepts connections.

        Raises
        ------
        trio.TooSlowError
            The process did not accept a connection before the timeout.
        """
        with trio.fail_after(timeout_s):
            while True:
                try:
                    await _check_port(address, port)
                except OSError:
                    await trio.sleep(POLL_INTERVAL_S)
                    continue
                return

    def write_key(self) -> None:
        """Write the operator's signing key to ``key_path``."""
        key = {
            "key_id": "ops-1",
            "private_key": self.private_key,
            "public_key": derive_public_key(self.private_key),
        }
        self.key_path.write_text(json.dumps(key))

    def _build_node_settings(self, vm: Vm) -> dict[str, object]:
        reachable = self.plan.reachable_address
        seeds = [f"{reachable(v.address)}:{PEER_PORT}" for v in self.plan.vms[:3]]
        return {
            "name": vm.name,
            "address": vm.address,
            "advertise_address": reachable(vm.address),
            "data_centre": vm.data_centre,
            "region": vm.region,
            "store": {
                "address": reachable(self.plan.store_address),
                "port": STORE_PORT,
            },
            "trusted_keys": [
                {"key_id": "ops-1", "public_key": derive_public_key(self.private_key)}
            ],
            "seeds": seeds,
            "peer_secret": PEER_SECRET,
            "admin_token": ADMIN_TOKEN,
            **self.node_settings,
        }

    def _start_process(self, name: str, module: str, args: list[str]) -> None:
        log_file = (self.directory / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdin=subprocess.DEVNULL,
            stdout=log_file,
            stderr=subprocess.STDOUT,
        )


async def _check_port(address: str, port: int) -> None:
    """Open a connection to a port and close it."""
    stream = await trio.open_tcp_stream(address, port)
    await stream.aclose()
