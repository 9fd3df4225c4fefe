"""Calls of requests that outlast the node process that began to run them."""

from __future__ import annotations

import contextlib
import signal
from typing import TYPE_CHECKING, Any

import httpcore
import trio

from tests.test_platform.test_processes import ProcessTestCase

if TYPE_CHECKING:
    from tests.support.hosted import Backend, HostedMesh

KEY = "k-41b7"
RUN_S, DEADLINE_S = 1.5, 5.0
RETRY_S = 0.1
CONN_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)
# Final responses to a call: its backend server sends it again after any other.
FINAL_STATUSES = frozenset({200, 401, 403, 404})


class RestartedNodeTest(ProcessTestCase):
    """The backend server of vm-0 makes a call at the end of its run."""

    async def run_calls(
        self, mesh: HostedMesh, suffixes: tuple[str, ...] = ("1",)
    ) -> list[int]:
        """Restart vm-0 during a run; return the statuses of the calls of the run."""
        await self.put_customers(mesh)
        statuses: list[int] = []

        async def call(request_id: str, ends_at: float) -> None:
            while (left_s := ends_at - trio.current_time()) > 0:
                with contextlib.suppress(*CONN_ERRORS):
                    response = await mesh.send_request(
                        "vm-0", request_id=request_id, deadline_ms=int(left_s * 1000)
                    )
                    statuses.append(response.status)
                    if response.status in FINAL_STATUSES:
                        return
                await trio.sleep(RETRY_S)

        async def make_calls(backend: Backend, request_id: str) -> None:
            ends_at = trio.current_time() + DEADLINE_S - RUN_S
            async with trio.open_nursery() as nursery:
                for suffix in suffixes:
                    nursery.start_soon(call, f"{request_id}.{suffix}", ends_at)

        async def send() -> None:
            with contextlib.suppress(*CONN_ERRORS):  # The node is killed.
                await mesh.send_request("vm-0", "/b/1", b"", "run", key=KEY)

        backend = mesh.backends["vm-0"]
        backend.run_time, backend.before_response = lambda target: RUN_S, make_calls
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            while not backend.runs:
                await trio.sleep(0.01)
            await trio.sleep(RUN_S / 3)
            await self.restart_nodes(mesh)
            with trio.fail_after(2 * DEADLINE_S):
                while backend.runs[-1].ended_at == float("inf"):
                    await trio.sleep(0.05)
        return statuses

    async def put_customers(self, mesh: HostedMesh) -> None:
        mesh.tenants = [{"name": "acme", "api_keys": [KEY]}]
        mesh.put_configuration(timeout_ms=int(DEADLINE_S * 1000))
        for name in mesh.names:
            with trio.fail_after(10):
                while (await mesh.send_request(name)).status != 401:
                    await trio.sleep(0.05)

    async def restart_nodes(self, mesh: HostedMesh) -> None:
        mesh.signal_node("vm-0", signal.SIGKILL)
        await mesh.wait_for_exit("vm-0")
        mesh.start_node("vm-0")

    # Guards against the rejection of proper calls by a process that cannot know them.
    def test_calls_of_a_run_that_outlasts_its_node_are_not_denied(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            statuses = await self.run_calls(mesh, ("101", "201", "301"))
            self.assertTrue(statuses)
            self.assertFalse(set(statuses) & {401, 403, 404}, statuses)

        self.run_outlasting(scenario)

    def run_outlasting(self, scenario: Any) -> None:
        path = {
            "name": "b",
            "path_prefix": "/b/",
            "route_kind": "non_idempotent",
            "timeout_ms": int(DEADLINE_S * 1000),
            "target_latency_ms": 1000,
            "priority": 1,
            "service": "reservas",
            "max_attempts": 2,
        }

        async def prepare(mesh: HostedMesh) -> None:
            mesh.more_paths.append(path)
            await scenario(mesh)

        self.run_mesh(prepare, "reservas", "turnos", "turnos")
