"""Base class for tests of the request path on a mesh of processes."""

from __future__ import annotations

import contextlib
import functools
from typing import TYPE_CHECKING

import httpcore
import msgspec
import trio

from marigoldchute.membership.announcement import ANNOUNCE_TARGET, Announcement
from marigoldchute.standins.backend import BackendSettings
from marigoldchute.standins.loopback import BACKEND_PORT, INTERNAL_PORT
from tests.support.meshes import MeshTestCase

if TYPE_CHECKING:
    import signal
    from collections.abc import Awaitable, Callable

    from marigoldchute.standins.backend_faults import BackendState

    Script = Callable[[trio.SocketStream], Awaitable[None]]

BUNDLE = """{
  "services": [
    {"name": "reservas", "release": "r1"},
    {"name": "ejes", "release": "r1", "internal": true}
  ],
  "routes": [
    {"name": "reservas", "path_prefix": "/reservas", "service": "reservas",
     "timeout_ms": 20000},
    {"name": "ejes", "path_prefix": "/ejes", "service": "ejes"}
  ]
}"""
FIRST = "cartago-norte-1"
SECOND = "cartago-norte-2"
ANNOUNCE_INTERVAL_S = 0.3


class PathTestCase(MeshTestCase):
    """Runs two VMs of one data centre."""

    data_centre_count = 1
    vms_per_data_centre = 2

    async def start_path(
        self, *backend_vms: str, service_ms: float = 2.0, slots: int = 12
    ) -> None:
        """Start the mesh and backend servers on the named VMs, and roll the bundle."""
        self.start_nodes()
        for name in backend_vms:
            self.mesh.start_backend(
                BackendSettings(
                    self.mesh.vm(name).address,
                    BACKEND_PORT,
                    INTERNAL_PORT,
                    "reservas",
                    "r1",
                    service_ms=service_ms,
                    slots=slots,
                )
            )
        count = len(self.mesh.plan.vms)
        await self.mesh.wait_until(
            FIRST,
            lambda s: (
                len(s.members) == count
                and sum(bool(m.servers) for m in s.members) == len(backend_vms)
            ),
        )
        status, _, err = await self.roll(self.write_bundle(BUNDLE), FIRST)
        self.assertEqual(status, 0, err)
        for vm in self.mesh.plan.vms:
            await self.mesh.wait_until(vm.name, lambda s: s.version == 1)
        await self.wait_routed()

    async def run_scripted(
        self, body: Callable[[], Awaitable[None]], scripts: dict[str, Script]
    ) -> None:
        """Run a test body with a scripted backend server on each named VM."""
        self.start_nodes()
        async with trio.open_nursery() as nursery:
            for name, script in scripts.items():
                address = self.mesh.vm(name).address
                serve = functools.partial(trio.serve_tcp, host=address)
                await nursery.start(serve, script, BACKEND_PORT)
                nursery.start_soon(_announce, address)
            for vm in self.mesh.plan.vms:
                await self.mesh.wait_until(
                    vm.name,
                    lambda s: sum(bool(m.servers) for m in s.members) == len(scripts),
                )
            status, _, err = await self.roll(self.write_bundle(BUNDLE), FIRST)
            self.assertEqual(status, 0, err)
            await self.wait_routed()
            await body()
            nursery.cancel_scope.cancel()

    async def wait_routed(self) -> None:
        """Wait until every node can reach a backend server."""
        async with httpcore.AsyncConnectionPool() as pool:
            for vm in self.mesh.plan.vms:
                url = self.caller_url(vm.name, "/reservas/ready")
                while (await pool.request("GET", url)).status != 200:
                    await trio.sleep(0.05)

    async def post(
        self, vm_name: str, key: str, deadline_ms: int = 5000
    ) -> httpcore.Response:
        """Send one non-idempotent request on a connection of its own."""
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                "POST",
                self.caller_url(vm_name, "/reservas/alta"),
                headers={
                    "idempotency-key": key,
                    "marigoldchute-deadline-ms": str(deadline_ms),
                },
                content=b"lathe 4",
            )

    async def runs_of(self, key: str, *vm_names: str) -> int:
        """Return how often the backend servers of the named VMs ran a request."""
        states = [await self.mesh.backend_state(name) for name in vm_names]
        return sum(state.runs.get(key, 0) for state in states)

    async def wait_for_state(
        self, vm_name: str, condition, timeout_s: float = 5.0
    ) -> BackendState:
        """Poll a backend server stand-in until a condition holds."""
        with trio.fail_after(timeout_s):
            while not condition(state := await self.mesh.backend_state(vm_name)):
                await trio.sleep(0.03)
        return state

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the mesh."""
        self.mesh.process(name).send_signal(number)


def outcome_of(response: httpcore.Response) -> str:
    """Return the value of a response's outcome header, or ``completed``."""
    value = dict(response.headers).get(b"marigoldchute-outcome", b"completed")
    return value.decode()


async def _announce(address: str) -> None:
    """Announce a scripted backend server to the node on its VM."""
    url = f"http://{address}:{INTERNAL_PORT}{ANNOUNCE_TARGET.decode()}"
    body = msgspec.json.encode(
        Announcement("reservas", "r1", BACKEND_PORT, 12, 100, instance="a")
    )
    async with httpcore.AsyncConnectionPool(local_address=address) as pool:
        while True:
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                await pool.request("POST", url, content=body)
            await trio.sleep(ANNOUNCE_INTERVAL_S)
