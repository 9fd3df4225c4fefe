"""Tests of requests nested over a chain of backend servers."""

from __future__ import annotations

import httpcore
import trio

from marigoldchute.standins.backend_faults import BackendFaults
from tests.test_routing.paths import FIRST, SECOND, PathTestCase

DEPTH = 24
MAX_CANCELLATION_S = 3.0


class DepthTest(PathTestCase):
    def test_24_nested_calls_end_soon_after_their_caller(self) -> None:
        self.run_async(self._check_nested_calls, 60)

    async def _check_nested_calls(self) -> None:
        await self.start_path(FIRST, SECOND, slots=60)
        self.assertEqual((await self._call(10_000)).status, 200)
        for vm in (FIRST, SECOND):
            await self.mesh.set_backend_faults(vm, BackendFaults(hang_share=1.0))
        with self.subTest("caller closes its connection"):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._call, 30_000)
                await self._wait_for_running(DEPTH + 1)
                nursery.cancel_scope.cancel()
            closed_at = trio.current_time()
            await self._wait_for_running(0)
            self.assertLess(trio.current_time() - closed_at, MAX_CANCELLATION_S)
        with self.subTest("deadline passes"):
            started_at = trio.current_time()
            response = await self._call(2_000)
            self.assertGreaterEqual(response.status, 500)
            await self._wait_for_running(0)
            self.assertLess(trio.current_time() - started_at, 2.0 + MAX_CANCELLATION_S)

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

    async def _wait_for_running(self, expected: int) -> None:
        while True:
            states = [await self.mesh.backend_state(vm) for vm in (FIRST, SECOND)]
            if sum(state.running for state in states) == expected:
                return
            await trio.sleep(0.05)
