"""Meshes of real processes for the tests."""

from __future__ import annotations

import os
import pathlib
import socket
import tempfile
import time
import unittest
from typing import TYPE_CHECKING

import trio

from marigoldchute.bundle.signing import derive_public_key
from marigoldchute.standins.backend import BackendSettings
from marigoldchute.standins.loopback import (
    BACKEND_PORT,
    INTERNAL_PORT,
    STORE_PORT,
    LoopbackBlock,
    plan_mesh,
)
from marigoldchute.standins.mesh import Mesh
from tests.support.invariants import find_violations, read_events

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


STORE_START_TIMEOUT_S = 30.0


class MeshTestCase(unittest.TestCase):
    """A test case with its own mesh, which is stopped after each test."""

    data_centre_count = 2
    vms_per_data_centre = 2
    uses_proxy = False
    seed = int(os.environ.get("MARIGOLDCHUTE_SEED", "1"))

    def setUp(self) -> None:
        self._directory = tempfile.TemporaryDirectory()
        self.addCleanup(self._directory.cleanup)
        path = pathlib.Path(self._directory.name)
        block = LoopbackBlock()
        self.addCleanup(block.release)
        plan = plan_mesh(
            block.number,
            self.data_centre_count,
            self.vms_per_data_centre,
            self.uses_proxy,
        )
        self.mesh = Mesh(plan, path, self.seed)
        self.mesh.write_key()
        self.addCleanup(self.mesh.stop)

    def tearDown(self) -> None:
        self.mesh.stop()
        public_keys = {"ops-1": derive_public_key(self.mesh.private_key)}
        events = read_events(self.mesh.directory)
        self.assertEqual(find_violations(events, public_keys), [])

    def run_async(self, body: Callable[[], Awaitable[None]], limit_s: float) -> None:
        """Run a test body under a time limit."""

        async def run_limited() -> None:
            with trio.fail_after(limit_s):
                await body()

        trio.run(run_limited)

    def start_nodes(self) -> None:
        """Start the store, the proxy if the mesh has one, and every node."""
        self.mesh.start_store()
        self._wait_for_store()
        if self.uses_proxy:
            self.mesh.start_proxy()
        for vm in self.mesh.plan.vms:
            self.mesh.start_node(vm.name)

    def _wait_for_store(self) -> None:
        """Wait until the store listens, which takes seconds on a busy machine.

        Nodes that cannot reach the store open their circuits and refuse the rolls of a
        test.
        """
        deadline = time.monotonic() + STORE_START_TIMEOUT_S
        endpoint = (self.mesh.plan.store_address, STORE_PORT)
        while time.monotonic() < deadline:
            with socket.socket() as sock:
                if sock.connect_ex(endpoint) == 0:
                    return
            time.sleep(0.05)
        self.fail(f"the store did not listen within {STORE_START_TIMEOUT_S} s")

    def start_backends(self, service: str, releases: dict[str, str]) -> None:
        """Start one backend server on each named VM with a release."""
        for name, release in releases.items():
            vm = self.mesh.vm(name)
            self.mesh.start_backend(
                BackendSettings(
                    vm.address, BACKEND_PORT, INTERNAL_PORT, service, release
                )
            )

    def write_bundle(self, text: str) -> str:
        """Write an operator's bundle file and return its path."""
        path = self.mesh.directory / "bundle.json"
        path.write_text(text)
        return str(path)

    async def ctl(self, *args: str) -> tuple[int, str, str]:
        """Run the operator's program; return status, output and errors."""
        completed = await trio.to_thread.run_sync(lambda: self.mesh.run_ctl(args))
        return completed.returncode, completed.stdout, completed.stderr

    def admin_address(self, vm_name: str) -> str:
        """Return the address and port of a node's administration API."""
        return f"{self.mesh.vm(vm_name).address}:7100"

    def caller_url(self, vm_name: str, path: str) -> str:
        """Return the URL of a path at a node's caller port."""
        return f"http://{self.mesh.vm(vm_name).address}:8000{path}"

    async def roll(self, path: str, vm_name: str) -> tuple[int, str, str]:
        """Roll a bundle file through a node."""
        node = self.admin_address(vm_name)
        key = str(self.mesh.key_path)
        return await self.ctl("roll", path, "--key", key, "--node", node)
