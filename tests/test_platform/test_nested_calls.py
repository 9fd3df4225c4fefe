"""Calls of requests that outlast the node process that began to run them."""

from __future__ import annotations

import collections
import contextlib
import re
import signal
from typing import TYPE_CHECKING

import httpcore
import trio

from marigoldchute.platform.settings import METRICS_PORT
from tests.test_platform.test_processes import ProcessTestCase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.hosted import Backend, HostedMesh

KEY = "k-41b7"
DEADLINE_S = 15.0
MAX_COPY_S = 10.0  # Within which another node has a copy of a running request.
COPIED = re.compile(r"^marigoldchute_running_requests_copied ([\d.]+)$", re.MULTILINE)
RETRY_S = 0.1
MAX_REFUSALS = 50
CONN_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)
# Final responses to a call: its backend server sends it again after any other.
FINAL_STATUSES = frozenset({200, 401, 403, 404})
DENIALS = FINAL_STATUSES - {200}
PATHS = {"reservas": "/a/1", "turnos": "/b/1"}  # What a backend server calls.


class NestedCallTestCase(ProcessTestCase):
    """Runs a mesh whose backend servers make calls around a restart of their nodes.

    Attributes
    ----------
    statuses : dict of int to list of int
        Statuses of the calls by their depth.
    restarted : trio.Event
        Set after the restart; the calls under test wait for it.
    """

    def run_restarted(
        self,
        restart: Callable[[HostedMesh, str], Awaitable[None]],
        check: Callable[[HostedMesh], None],
        calls: int = 1,
        depth: int = 1,
    ) -> None:
        """Restart nodes while a request runs, and check the mesh afterwards.

        Parameters
        ----------
        restart : callable
            Gets the mesh and the name of the VM with the request.
        check : callable
            Gets the mesh.
        calls : int
            Number of calls that each request makes.
        depth : int
            Depth of the calls whose parent outlasts its node.
        """
        self.statuses = collections.defaultdict(list)
        self.restarted = trio.Event()

        async def scenario(mesh: HostedMesh) -> None:
            await self.put_customers(mesh)

            async def make_calls(backend: Backend, request_id: str) -> None:
                if request_id.startswith("run") and request_id.count(".") < depth:
                    if request_id.count(".") == depth - 1:
                        await self.restarted.wait()
                    async with trio.open_nursery() as nursery:
                        for number in range(1, calls + 1):
                            call_id = f"{request_id}.{number}01"
                            nursery.start_soon(self.call, mesh, backend, call_id)

            for backend in mesh.backends.values():
                backend.before_response = make_calls
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send, mesh)
                backend = await self.wait_for_run(mesh, depth - 1)
                name = backend.name.removeprefix("i-")
                await self.wait_for_copy(mesh, name)
                await restart(mesh, name)
                self.restarted.set()
                with trio.fail_after(DEADLINE_S):
                    while backend.runs[-1].ended_at == float("inf"):
                        await trio.sleep(0.05)
            check(mesh)

        self.run_mesh(scenario, "reservas", "turnos", "turnos")

    async def put_customers(self, mesh: HostedMesh) -> None:
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
        mesh.more_paths.append(path)
        mesh.tenants = [{"name": "acme", "api_keys": [KEY]}]
        mesh.put_configuration(timeout_ms=int(DEADLINE_S * 1000))
        for name in mesh.names:
            with trio.fail_after(10):
                while (await mesh.send_request(name)).status != 401:
                    await trio.sleep(0.05)

    async def send(self, mesh: HostedMesh) -> None:
        with contextlib.suppress(*CONN_ERRORS):  # The node may be killed.
            deadline_ms = int(DEADLINE_S * 1000)
            await mesh.send_request("vm-0", "/b/1", b"", "run", deadline_ms, KEY)

    async def call(self, mesh: HostedMesh, backend: Backend, call_id: str) -> None:
        """Make a call until it has a final response or was refused too often."""
        name, path = backend.name.removeprefix("i-"), PATHS[backend.service]
        statuses: list[int] = []
        while len(statuses) < MAX_REFUSALS:
            with contextlib.suppress(*CONN_ERRORS):
                response = await mesh.send_request(
                    name, path, b"", call_id, int(DEADLINE_S * 1000)
                )
                statuses.append(response.status)
                self.statuses[call_id.count(".")].append(response.status)
                if response.status in FINAL_STATUSES:
                    return
            await trio.sleep(RETRY_S)

    async def wait_for_run(self, mesh: HostedMesh, depth: int) -> Backend:
        """Wait until a request of a depth runs; return its backend server."""
        while True:
            for backend in mesh.backends.values():
                for run in backend.runs:
                    if (
                        run.request_id.count(".") == depth
                        and run.request_id[:3] == "run"
                    ):
                        return backend
            await trio.sleep(0.01)

    async def wait_for_copy(self, mesh: HostedMesh, name: str) -> None:
        """Wait until another node has a copy of a request that runs on a VM."""
        url = f"http://{mesh.address(name)}:{METRICS_PORT}/metrics"
        async with httpcore.AsyncConnectionPool() as pool:
            with trio.fail_after(MAX_COPY_S):
                while True:
                    text = (await pool.request("GET", url)).content.decode()
                    match = COPIED.search(text)
                    if match is not None and float(match[1]):
                        return
                    await trio.sleep(0.05)

    async def restart(self, mesh: HostedMesh, *names: str) -> None:
        for name in names:
            mesh.signal_node(name, signal.SIGKILL)
        for name in names:
            await mesh.wait_for_exit(name)
        for name in names:
            mesh.start_node(name)

    def check_served(self, mesh: HostedMesh, depth: int, count: int) -> None:
        self.assertEqual(self.statuses[depth].count(200), count, self.statuses)
        self.assertFalse(set(self.statuses[depth]) & DENIALS, self.statuses)
        requests = [
            request
            for backend in mesh.backends.values()
            for request in backend.requests
            if request["attempt-id"].count(".") == depth
        ]
        names = [request["tenant-id"] for request in requests]
        self.assertEqual(names, count * ["acme"])


class RestartedNodeTest(NestedCallTestCase):
    # Guards against the rejection of calls whose parent an earlier process has sent.
    def test_calls_of_a_run_that_outlasts_its_node_are_served(self) -> None:
        def check(mesh: HostedMesh) -> None:
            self.check_served(mesh, 1, 3)
            names = [event["event"] for event in mesh.read_events("vm-0")]
            self.assertIn("node:requests_restored", names)

        self.run_restarted(self.restart, check, calls=3)

    # Guards against copies of running requests that outlast one process only.
    def test_calls_of_a_run_that_outlasts_two_processes_are_served(self) -> None:
        async def restart(mesh: HostedMesh, name: str) -> None:
            await self.restart(mesh, name)
            with trio.fail_after(5):
                while "requests_restored" not in mesh.read_log(name):
                    await trio.sleep(0.02)
            await self.wait_for_copy(mesh, name)
            await self.restart(mesh, name)

        self.run_restarted(restart, lambda mesh: self.check_served(mesh, 1, 1))

    # Guards against the rejection of calls of requests that outlast the grace period.
    def test_calls_of_a_run_that_outlasts_a_planned_stop_are_served(self) -> None:
        async def restart(mesh: HostedMesh, name: str) -> None:
            mesh.signal_node(name, signal.SIGTERM)
            await mesh.wait_for_exit(name)
            mesh.start_node(name)

        self.run_restarted(restart, lambda mesh: self.check_served(mesh, 1, 1))

    # Guards against the rejection of calls of calls, whose parent came without a key.
    def test_calls_of_a_nested_run_that_outlasts_its_node_are_served(self) -> None:
        def check(mesh: HostedMesh) -> None:
            self.assertIn(200, self.statuses[2])
            self.assertFalse(set(self.statuses[2]) & DENIALS, self.statuses)

        self.run_restarted(self.restart, check, depth=2)

    # Guards against denials when no copy of the running requests is left.
    def test_calls_are_refused_but_not_denied_when_all_nodes_are_lost(self) -> None:
        async def restart(mesh: HostedMesh, name: str) -> None:
            await self.restart(mesh, *mesh.names)

        def check(mesh: HostedMesh) -> None:
            self.assertEqual(set(self.statuses[1]), {503})

        self.run_restarted(restart, check)


class WithdrawnKeyTest(NestedCallTestCase):
    """A caller extends the id of a running request with a key that was withdrawn."""

    def run_withdrawn(self, depth: int) -> None:
        """Send such requests before and after a restart of the node.

        Parameters
        ----------
        depth : int
            Depth of the calls that they pretend to be.
        """
        statuses: list[int] = []

        async def send(mesh: HostedMesh, name: str, suffix: str) -> None:
            (parent,) = {
                run.request_id
                for run in mesh.backends[name].runs
                if run.request_id.count(".") == depth - 1
                and run.request_id.startswith("run")
            }
            response = await mesh.send_request(
                name, request_id=f"{parent}.{suffix}", key=KEY
            )
            statuses.append(response.status)

        async def restart(mesh: HostedMesh, name: str) -> None:
            mesh.tenants = [{"name": "acme", "api_keys": ["k-next"]}]
            mesh.put_configuration(timeout_ms=int(DEADLINE_S * 1000))
            with trio.fail_after(10):
                while (await mesh.send_request(name, key=KEY)).status != 401:
                    await trio.sleep(0.05)
            await send(mesh, name, "8")
            await self.restart(mesh, name)
            with trio.fail_after(10):
                while "requests_restored" not in mesh.read_log(name):
                    await trio.sleep(0.02)
            await send(mesh, name, "9")

        def check(mesh: HostedMesh) -> None:
            self.assertEqual(statuses, [401, 401])
            self.assertIn(200, self.statuses[depth])
            self.assertFalse(set(self.statuses[depth]) & DENIALS, self.statuses)

        self.run_restarted(restart, check, depth=depth)

    # Guards against withdrawn keys that run by an id that extends a running request's.
    def test_withdrawn_key_is_rejected_beside_a_running_request(self) -> None:
        self.run_withdrawn(1)

    # Guards against the same with the id of a running call, whose parent has no key.
    def test_withdrawn_key_is_rejected_beside_a_running_call(self) -> None:
        self.run_withdrawn(2)
