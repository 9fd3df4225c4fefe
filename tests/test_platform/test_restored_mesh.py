"""A mesh of real processes whose store comes back from an older copy."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio

from tests.support.hosted import HostedMesh, hosted_mesh

if TYPE_CHECKING:
    from collections.abc import Callable

ENTRY_KIND = "mesh-members"
LEAVING = "vm-0"
OUTAGE_S = 1.5
TIMEOUT_S = 20.0  # Nodes list the members every 8 s, which tells them the era.


class RestoredMeshTest(unittest.TestCase):
    def test_bundle_and_leave_of_the_lost_seconds_survive(self) -> None:
        async def main() -> None:
            with trio.fail_after(90):
                async with hosted_mesh("turnos", "turnos", "turnos") as mesh:
                    mesh.store.era = 1
                    await mesh.wait_until_serving()
                    await self._check_mesh(mesh)

        trio.run(main)

    async def _check_mesh(self, mesh: HostedMesh) -> None:
        copy = mesh.store.take_copy()
        mesh.put_configuration(prefix="/b/")
        await self._wait_for_path(mesh, "/b/1")
        backend = mesh.backends[LEAVING]
        backend.reports = False
        status = await backend.call_node("deregister", {"born": backend.born})
        self.assertEqual(status, 200)
        self.assertTrue(self._stored_leaves(mesh))

        mesh.store.faults.silent = True
        await trio.sleep(OUTAGE_S)
        mesh.store.restore(copy)
        mesh.store.faults.silent = False
        self.assertFalse(self._stored_leaves(mesh))

        # The reader lists the older version in the new era.
        await self._wait_for(
            lambda: any(
                event["event"].endswith("older_ignored")
                for name in mesh.names
                for event in mesh.read_events(name)
            )
        )
        for name in mesh.names:
            response = await mesh.send_request(name, "/b/1")
            self.assertEqual(response.status, 200, name)
        await self._wait_for(lambda: self._stored_leaves(mesh))

        mesh.put_configuration(prefix="/b/")
        mesh.put_configuration(prefix="/c/")
        await self._wait_for_path(mesh, "/c/1")
        self.assertEqual(len(mesh.store.names(ENTRY_KIND)), len(mesh.names))

    def _stored_leaves(self, mesh: HostedMesh) -> bool:
        return bool(mesh.store.spec_of(ENTRY_KIND, LEAVING).get("left"))

    async def _wait_for(self, is_true: Callable[[], bool]) -> None:
        with trio.fail_after(TIMEOUT_S):
            while not is_true():
                await trio.sleep(0.1)

    async def _wait_for_path(self, mesh: HostedMesh, path: str) -> None:
        with trio.fail_after(TIMEOUT_S):
            for name in mesh.names:
                while (await mesh.send_request(name, path)).status != 200:
                    await trio.sleep(0.05)


if __name__ == "__main__":
    unittest.main()
