"""A mesh of real processes on loopback addresses, for the demo, tests and benches.

The programs that run on a VM start no processes; this module does, and none of them
imports it.
"""

from __future__ import annotations

import dataclasses
import json
import subprocess
import sys
from typing import TYPE_CHECKING

import trio

from marigoldchute.admin.client import AdminClient
from marigoldchute.bundle.signing import generate_private_key, public_key_of
from marigoldchute.errors import MarigoldchuteError, PeerError

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable, Sequence

    from marigoldchute.admin.messages import Status
    from marigoldchute.standins.backend import BackendSettings

STORE_PORT = 9000
BACKEND_PORT = 9100
ADMIN_TOKEN = "operator-token"
PEER_SECRET = "peer-secret"
STOP_TIMEOUT_S = 5.0
POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Vm:
    """One VM of the mesh."""

    name: str
    address: str
    data_centre: str
    region: str


@dataclasses.dataclass(frozen=True)
class MeshPlan:
    """What a mesh consists of.

    Parameters
    ----------
    vms : tuple of Vm
        VMs, each with a node.
    store_address : str
        IP number of the store stand-in.
    """

    vms: tuple[Vm, ...]
    store_address: str


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
    """

    def __init__(self, plan: MeshPlan, directory: pathlib.Path, seed: int) -> None:
        self.plan = plan
        self.directory = directory
        self.private_key = generate_private_key()
        self._seed = seed
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

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

    def start_node(self, name: str) -> None:
        """Start the node of a VM."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(self._node_settings(self.vm(name)), indent=2))
        seed = self._seed * 1000 + [vm.name for vm in self.plan.vms].index(name)
        self._start(name, "marigoldchute.cmd.node", [str(path), "--seed", str(seed)])

    def start_backend(self, settings: BackendSettings) -> str:
        """Start a backend server stand-in; return its process name."""
        name = f"backend-{settings.address}-{settings.port}"
        args = ["backend", json.dumps(dataclasses.asdict(settings))]
        self._start(name, "marigoldchute.cmd.standin", args)
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
        """End every process."""
        for process in self._processes.values():
            process.terminate()
        for process in self._processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._processes.clear()

    def run_ctl(self, args: Sequence[str]) -> subprocess.CompletedProcess[str]:
        """Run the operator's program."""
        return subprocess.run(
            [sys.executable, "-m", "marigoldchute.cmd.ctl", *args],
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

    def write_key(self) -> None:
        """Write the operator's signing key."""
        key = {
            "key_id": "ops-1",
            "private_key": self.private_key,
            "public_key": public_key_of(self.private_key),
        }
        self.key_path.write_text(json.dumps(key))

    def _node_settings(self, vm: Vm) -> dict[str, object]:
        seeds = [f"{other.address}:7000" for other in self.plan.vms[:3]]
        return {
            "name": vm.name,
            "address": vm.address,
            "data_centre": vm.data_centre,
            "region": vm.region,
            "store": {"address": self.plan.store_address, "port": STORE_PORT},
            "trusted_keys": [
                {"key_id": "ops-1", "public_key": public_key_of(self.private_key)}
            ],
            "seeds": seeds,
            "peer_secret": PEER_SECRET,
            "admin_token": ADMIN_TOKEN,
        }

    def _start(self, name: str, module: str, args: list[str]) -> None:
        out = (self.directory / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdin=subprocess.DEVNULL,
            stdout=out,
            stderr=subprocess.STDOUT,
        )
