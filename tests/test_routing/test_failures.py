"""Tests of reported outcomes when processes, links or responses fail."""

from __future__ import annotations

import signal

import httpcore
import trio

from marigoldchute.standins.backend_faults import BackendFaults
from marigoldchute.standins.faultproxy import Action, Rule
from tests.test_routing.paths import FIRST, SECOND, PathTestCase, outcome_of


class OwnerLossTest(PathTestCase):
    def test_killed_owner_gives_unknown_outcome_and_one_run(self) -> None:
        self.run_async(self._check_killed_owner, 40)

    async def _check_killed_owner(self) -> None:
        await self.start_path(SECOND)
        await self.mesh.set_backend_faults(SECOND, BackendFaults(hang_share=1.0))
        responses = []

        async def call() -> None:
            responses.append(await self.post(FIRST, "k1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await self.wait_for_state(SECOND, lambda s: s.runs.get("k1") == 1)
            self.mesh.kill(SECOND)
        self.assertEqual(outcome_of(responses[0]), "unknown")
        self.assertEqual(responses[0].status, 502)
        self.assertEqual(await self.runs_of("k1", SECOND), 1)

    def test_paused_owner_gives_unknown_outcome_and_at_most_one_run(self) -> None:
        self.run_async(self._check_paused_owner, 40)

    async def _check_paused_owner(self) -> None:
        await self.start_path(SECOND)
        self.send_signal(SECOND, signal.SIGSTOP)
        response = await self.post(FIRST, "k1", deadline_ms=500)
        self.assertEqual((response.status, outcome_of(response)), (504, "unknown"))
        self.send_signal(SECOND, signal.SIGCONT)
        await trio.sleep(0.3)
        self.assertLessEqual(await self.runs_of("k1", SECOND), 1)
        await self.wait_routed()
        response = await self.post(FIRST, "k2")
        self.assertEqual(response.status, 200)
        self.assertEqual(await self.runs_of("k2", SECOND), 1)


class SilentLinkTest(PathTestCase):
    uses_proxy = True

    def test_silent_link_never_duplicates_requests_and_recovers(self) -> None:
        self.run_async(self._check_silent_link, 50)

    async def _check_silent_link(self) -> None:
        await self.start_path(SECOND)
        await self.mesh.set_proxy_rules(
            Rule(FIRST, SECOND, Action.DROP, both_ways=False)
        )
        response = await self.post(FIRST, "out", deadline_ms=600)
        self.assertEqual(outcome_of(response), "unknown")
        await self.mesh.set_proxy_rules()
        await self.wait_routed()
        await self.mesh.set_proxy_rules(
            Rule(SECOND, FIRST, Action.DROP, both_ways=False)
        )
        response = await self.post(FIRST, "back", deadline_ms=600)
        self.assertEqual(outcome_of(response), "unknown")
        await self.mesh.set_proxy_rules()
        await self.wait_routed()
        await self.mesh.set_proxy_rules(Rule(FIRST, SECOND, Action.SILENCE))
        response = await self.post(FIRST, "lost", deadline_ms=600)
        self.assertEqual(outcome_of(response), "unknown")
        await self.wait_routed()
        response = await self.post(FIRST, "new")
        self.assertEqual(response.status, 200)
        self.assertLessEqual(await self.runs_of("lost", SECOND), 1)
        self.assertEqual(await self.runs_of("new", SECOND), 1)
        self.assertLessEqual(await self.runs_of("out", SECOND), 1)
        self.assertEqual(await self.runs_of("back", SECOND), 1)


class LostResponseTest(PathTestCase):
    def test_outcomes_of_lost_truncated_and_refused_responses(self) -> None:
        self.run_async(self._check_lost_responses, 40)

    async def _check_lost_responses(self) -> None:
        await self.start_path(FIRST, SECOND)
        with self.subTest("a lost response is unknown and not retried"):
            await self._set_faults_on_both(BackendFaults(drop_share=1.0))
            for vm in (FIRST, SECOND):
                response = await self.post(vm, f"drop {vm}")
                self.assertEqual(outcome_of(response), "unknown")
                runs = await self.runs_of(f"drop {vm}", FIRST, SECOND)
                self.assertEqual(runs, 1)
        with self.subTest("an idempotent request is retried elsewhere"):
            await self.mesh.set_backend_faults(SECOND, BackendFaults())
            url = self.caller_url(FIRST, "/reservas/1")
            async with httpcore.AsyncConnectionPool() as pool:
                for _ in range(5):
                    self.assertEqual((await pool.request("GET", url)).status, 200)
        with self.subTest("a request refused before it ran is retried elsewhere"):
            await self.mesh.set_backend_faults(FIRST, BackendFaults(refuse_share=1.0))
            response = await self.post(FIRST, "refused")
            self.assertEqual(response.status, 200)
            self.assertEqual(await self.runs_of("refused", FIRST, SECOND), 1)
        with self.subTest("a request refused everywhere is reported as not run"):
            await self._set_faults_on_both(BackendFaults(refuse_share=1.0))
            response = await self.post(FIRST, "all")
            self.assertEqual((response.status, outcome_of(response)), (503, "not-run"))
            self.assertEqual(await self.runs_of("all", FIRST, SECOND), 0)
        with self.subTest(
            "a truncated response raises an error in the caller's client"
        ):
            await self._set_faults_on_both(BackendFaults(cut_share=1.0))
            for vm in (FIRST, SECOND):
                with self.assertRaises((httpcore.ReadError, httpcore.ProtocolError)):
                    await self.post(vm, f"cut {vm}")
                runs = await self.runs_of(f"cut {vm}", FIRST, SECOND)
                self.assertEqual(runs, 1)

    async def _set_faults_on_both(self, faults: BackendFaults) -> None:
        for vm in (FIRST, SECOND):
            await self.mesh.set_backend_faults(vm, faults)


class CancelTest(PathTestCase):
    def test_closed_caller_connection_or_deadline_cancels_request(self) -> None:
        self.run_async(self._check_cancellation, 40)

    async def _check_cancellation(self) -> None:
        await self.start_path(SECOND)
        await self.mesh.set_backend_faults(SECOND, BackendFaults(hang_share=1.0))
        for number, vm in enumerate((FIRST, SECOND), start=1):
            with self.subTest("caller closes its connection", entry=vm):
                with trio.move_on_after(0.4):
                    await self.post(vm, f"left {vm}")
                await self.wait_for_state(
                    SECOND, lambda s, n=number: s.cancelled == n and s.running == 0, 2
                )
        for number, vm in enumerate((FIRST, SECOND), start=3):
            with self.subTest("deadline passes", entry=vm):
                start = trio.current_time()
                response = await self.post(vm, f"late {vm}", deadline_ms=300)
                self.assertLess(trio.current_time() - start, 2.0)
                self.assertEqual(outcome_of(response), "unknown")
                await self.wait_for_state(
                    SECOND, lambda s, n=number: s.cancelled == n and s.running == 0, 2
                )


class InternalServiceTest(PathTestCase):
    def test_internal_services_are_reachable_from_backend_servers_only(self) -> None:
        self.run_async(self._check_internal_service, 30)

    async def _check_internal_service(self) -> None:
        await self.start_path(FIRST)
        address = self.mesh.vm(FIRST).address
        async with httpcore.AsyncConnectionPool() as pool:
            for path in ("/ejes/1", "//ejes/1", "/ejes"):
                response = await pool.request("GET", self.caller_url(FIRST, path))
                self.assertIn(response.status, (403, 404))
            inside = await pool.request("GET", f"http://{address}:8001/ejes/1")
        self.assertEqual(outcome_of(inside), "not-run")
        self.assertEqual(dict(inside.headers)[b"marigoldchute-code"], b"503")


class UploadTest(PathTestCase):
    def test_large_upload_is_streamed_without_buffering_it_whole(self) -> None:
        self.run_async(self._check_upload, 40)

    async def _check_upload(self) -> None:
        await self.start_path(SECOND)
        size = 50_000_000
        before = {vm: self._peak_kb(vm) for vm in (FIRST, SECOND)}

        async def body():
            for _ in range(size // 50_000):
                yield b"x" * 50_000

        async with httpcore.AsyncConnectionPool() as pool:
            for headers in ({"content-length": str(size)}, {}):
                if not headers:
                    headers = {"transfer-encoding": "chunked"}
                response = await pool.request(
                    "POST",
                    self.caller_url(FIRST, "/reservas/scan"),
                    headers={"host": "a", **headers},
                    content=body(),
                )
                self.assertEqual(response.content, b"r1 /reservas/scan 50000000\n")
        for vm, peak_kb in before.items():
            self.assertLess(self._peak_kb(vm) - peak_kb, 12_000, vm)

    def _peak_kb(self, name: str) -> int:
        pid = self.mesh.process(name).pid
        with open(f"/proc/{pid}/status") as file:
            line = next(line for line in file if line.startswith("VmHWM"))
        return int(line.split()[1])
