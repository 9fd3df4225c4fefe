"""Tests of graceful shutdown and draining under load."""

from __future__ import annotations

import collections
import signal
from typing import TYPE_CHECKING

import trio

from marigoldchute.standins.backend_faults import BackendFaults
from tests.test_routing.paths import FIRST, SECOND, PathTestCase, outcome_of

if TYPE_CHECKING:
    import httpcore

DRAIN_NOTICE_S = 3.0


class DrainTest(PathTestCase):
    def test_stopping_node_interrupts_no_request(self) -> None:
        self.run_async(self._check_node_stop, 40)

    async def _check_node_stop(self) -> None:
        await self.start_path(FIRST, SECOND, service_ms=50)
        for vm in (FIRST, SECOND):
            await self.mesh.set_backend_faults(vm, BackendFaults(delay_ms=100))
        counts: collections.Counter[str] = collections.Counter()
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            for index in range(16):
                nursery.start_soon(self._send_requests_until, f"c{index}", counts, stop)
            await trio.sleep(0.5)
            self.send_signal(SECOND, signal.SIGTERM)
            process = self.mesh.process(SECOND)
            await trio.to_thread.run_sync(process.wait)
            self.assertEqual(process.returncode, 0)
            await trio.sleep(0.3)
            stop.set()
        self.assertEqual(set(counts), {"200 completed"})
        self.assertGreater(counts["200 completed"], 50)
        events = (self.mesh.directory / f"{SECOND}.log").read_text()
        self.assertIn("has drained", events)

    async def _send_requests_until(
        self, name: str, counts: collections.Counter[str], stop: trio.Event
    ) -> None:
        number = 0
        while not stop.is_set():
            number += 1
            response = await self.post(FIRST, f"{name}/{number}")
            counts[f"{response.status} {outcome_of(response)}"] += 1

    def test_caller_of_stopping_node_gets_response(self) -> None:
        self.run_async(self._check_entry_stop, 40)

    async def _check_entry_stop(self) -> None:
        await self.start_path(FIRST, SECOND)
        await self.mesh.set_backend_faults(SECOND, BackendFaults(delay_ms=600))
        responses: list[httpcore.Response] = []

        async def call(key: str) -> None:
            responses.append(await self.post(SECOND, key))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, "before")
            await self.wait_for_state(SECOND, lambda s: s.runs.get("before") == 1)
            self.send_signal(SECOND, signal.SIGTERM)
            await trio.sleep(0.1)
            nursery.start_soon(call, "during")
        self.assertEqual([r.status for r in responses], [200, 200])
        self.assertEqual(await self.runs_of("during", FIRST), 1)
        self.assertEqual(await self.runs_of("before", SECOND), 1)

    def test_draining_backend_server_gets_no_new_requests(self) -> None:
        self.run_async(self._check_backend_drain, 40)

    async def _check_backend_drain(self) -> None:
        await self.start_path(FIRST, SECOND)
        await self.mesh.set_backend_faults(SECOND, BackendFaults(draining=True))
        drained_at = trio.current_time()
        while trio.current_time() < drained_at + DRAIN_NOTICE_S:
            for vm in (FIRST, SECOND):
                self.assertEqual((await self.post(vm, "during")).status, 200)
            await trio.sleep(0.05)
        before = (await self.mesh.backend_state(SECOND)).total_runs
        for index in range(40):
            vm = (FIRST, SECOND)[index % 2]
            self.assertEqual((await self.post(vm, "after")).status, 200)
        after = (await self.mesh.backend_state(SECOND)).total_runs
        self.assertEqual(after, before)
