"""Requests of a route with allowed regions, in a mesh of two regions."""

from __future__ import annotations

import unittest
from typing import Any

import trio

from tests.support.hosted import HostedMesh, hosted_mesh

REGIONS = {"vm-0": "este", "vm-1": "oeste", "vm-2": "este"}
HOME_PATH = "/home/secret-path"
CHANGE_TIMEOUT_S = 5.0


def make_path(*regions: str) -> dict[str, Any]:
    return {
        "name": "home",
        "path_prefix": "/home/",
        "route_kind": "idempotent",
        "timeout_ms": 2000,
        "priority": 1,
        "service": "turnos",
        "max_attempts": 2,
        "allowed_regions": list(regions),
    }


class AllowedRegionsTest(unittest.TestCase):
    def test_requests_stay_in_the_regions_of_the_version_in_force(self) -> None:
        async def main() -> None:
            with trio.fail_after(60):
                async with hosted_mesh(
                    "turnos",
                    "turnos",
                    "turnos",
                    more_paths=(make_path("oeste"),),
                    regions=REGIONS,
                ) as mesh:
                    await mesh.wait_until_serving()
                    await self._check_mesh(mesh)

        trio.run(main)

    async def _check_mesh(self, mesh: HostedMesh) -> None:
        await self._wait_for_status(mesh, 200)
        for name in mesh.names:
            for _ in range(5):
                response = await mesh.send_request(name, HOME_PATH, b"body")
                self.assertEqual(response.status, 200)
        self.assertEqual(self._served_by(mesh), {"vm-1"})
        mesh.more_paths[:] = [make_path("sur")]
        mesh.put_configuration()
        await self._wait_for_status(mesh, 503)
        for name in mesh.names:
            response = await mesh.send_request(name, HOME_PATH, b"body")
            headers = dict(response.headers)
            self.assertEqual(headers[b"marigoldchute-outcome"], b"not-run")
            self.assertIn(b"retry-after", headers)
        self.assertEqual(self._served_by(mesh), {"vm-1"})
        for name in mesh.names:
            if mesh.regions[name] != "oeste":
                self.assertNotIn("secret-path", mesh.read_log(name))

    async def _wait_for_status(self, mesh: HostedMesh, status: int) -> None:
        with trio.fail_after(CHANGE_TIMEOUT_S):
            for name in mesh.names:
                while True:
                    response = await mesh.send_request(name, HOME_PATH)
                    if response.status == status:
                        break
                    await trio.sleep(0.05)

    def _served_by(self, mesh: HostedMesh) -> set[str]:
        return {
            name
            for name, backend in mesh.backends.items()
            if any(r["path"] == HOME_PATH for r in backend.requests)
        }


if __name__ == "__main__":
    unittest.main()
