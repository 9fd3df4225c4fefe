"""Requests that run on a chain of backend servers."""

from __future__ import annotations

import httpcore
import trio

from marigoldchute.standins.backend_faults import BackendFaults
from tests.test_routing.paths import FIRST, SECOND, PathTestCase

DEPTH = 24
OUTLIVE_S = 3.0


class DepthTest(PathTestCase):
    def test_a_request_24_deep_never_outlives_its_caller(self) -> None:
        self.run_async(self._go_deep, 60)

    async def _go_deep(self) -> None:
        await self.start_path(FIRST, SECOND, slots=60)
        self.assertEqual((await self._call(10_000)).status, 200)
        for vm in (FIRST, SECOND):
            await self.mesh.set_backend_faults(vm, BackendFaults(hang_share=1.0))
        with self.subTest("the caller leaves"):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._call, 30_000)
                await self._wait_running(DEPTH + 1)
                nursery.cancel_scope.cancel()
            left_at = trio.current_time()
            await self._wait_running(0)
            self.assertLess(trio.current_time() - left_at, OUTLIVE_S)
        with self.subTest("the deadline passes"):
            started_at = trio.current_time()
            response = await self._call(2_000)
            self.assertGreaterEqual(response.status, 500)
            await self._wait_running(0)
            self.assertLess(trio.current_time() - started_at, 2.0 + OUTLIVE_S)

    async def _call(self, deadline_ms: int) -> httpcore.Response:
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                "POST",
                self.caller_url(FIRST, "/reservas/deep"),
                headers={
                    "host": "a",
                    "standin-depth": str(DEPTH),
                    "marigoldchute-deadline-ms": str(deadline_ms),
                },
            )

    async def _wait_running(self, wanted: int) -> None:
        while True:
            states = [await self.mesh.backend_state(vm) for vm in (FIRST, SECOND)]
            if sum(state.running for state in states) == wanted:
                return
            await trio.sleep(0.05)
