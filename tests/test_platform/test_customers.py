"""Keys and quotas of customers on hosted nodes in real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests.test_platform.test_processes import ProcessTestCase

if TYPE_CHECKING:
    from tests.support.hosted import HostedMesh

KEY, OTHER_KEY = "k-41b7", "k-90aa"


class CustomerTest(ProcessTestCase):
    async def wait_for_status(self, mesh: HostedMesh, status: int, key: str) -> None:
        """Wait until every node responds to a key with a status."""
        for name in mesh.names:
            with trio.fail_after(10):
                while (await mesh.send_request(name, key=key)).status != status:
                    await trio.sleep(0.1)

    def test_keys_come_into_force_and_are_withdrawn_on_all_nodes(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.tenants = [{"name": "acme", "api_keys": [KEY]}]
            mesh.put_configuration()
            await self.wait_for_status(mesh, 401, "")
            for backend in mesh.backends.values():
                backend.requests.clear()
            await self.wait_for_status(mesh, 200, KEY)
            requests = [r for b in mesh.backends.values() for r in b.requests]
            self.assertEqual({r.get("tenant-id") for r in requests}, {"acme"})
            self.assertFalse([r for r in requests if "authorization" in r])
            mesh.tenants = [{"name": "acme", "api_keys": [OTHER_KEY]}]
            mesh.put_configuration()
            await self.wait_for_status(mesh, 401, KEY)
            await self.wait_for_status(mesh, 200, OTHER_KEY)

        self.run_mesh(scenario)

    def test_requests_beyond_a_quota_get_429(self) -> None:
        """The nodes share the quota: each alone would admit all of it."""

        async def scenario(mesh: HostedMesh) -> None:
            customer = {"name": "acme", "api_keys": [KEY]}
            mesh.tenants = [customer | {"rate_per_s": 20, "burst": 10}]
            mesh.put_configuration()
            await self.wait_for_status(mesh, 401, "")
            await trio.sleep(2.0)
            statuses: list[int] = []

            async def send(name: str) -> None:
                response = await mesh.send_request(name, key=KEY)
                statuses.append(response.status)

            started_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                for number in range(300):
                    nursery.start_soon(send, mesh.names[number % len(mesh.names)])
                    await trio.sleep(0.01)
            lasted_s = trio.current_time() - started_at
            self.assertEqual(set(statuses), {200, 429})
            self.assertLess(statuses.count(200), 20 * (lasted_s + 1) + 60)

        self.run_mesh(scenario)
