"""Hosted nodes as real processes, from a caller to a backend server and back."""

from __future__ import annotations

import contextlib
import json
import signal
import unittest
from typing import TYPE_CHECKING

import httpcore
import trio

from marigoldchute.platform.settings import METRICS_PORT
from tests.support.hosted import HostedMesh, hosted_mesh

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

GRACE_S = 6.0
SERVICES = ("turnos", "reservas", "turnos")


class ProcessTestCase(unittest.TestCase):
    def run_mesh(
        self,
        body: Callable[[HostedMesh], Awaitable[None]],
        *services: str,
        limit_s: float = 60.0,
    ) -> None:
        async def main() -> None:
            with trio.fail_after(limit_s):
                async with hosted_mesh(*(services or SERVICES)) as mesh:
                    await mesh.wait_served()
                    await body(mesh)

        trio.run(main)


class WholePathTest(ProcessTestCase):
    def test_a_request_reaches_a_backend_server_on_another_vm(self) -> None:
        async def body(mesh: HostedMesh) -> None:
            answer = await mesh.ask("vm-1", "/a/x?y=1", b"z" * 200_000, "abc")
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.content.endswith(b" 200000"))
            self.assertEqual(dict(answer.headers)[b"attempt-id"], b"abc")
            seen = [
                request
                for name in ("vm-0", "vm-2")
                for request in mesh.backends[name].seen
                if request.get("attempt-id") == "abc"
            ]
            self.assertEqual(len(seen), 1)
            self.assertEqual(seen[0]["caller-service"], "reservas")
            self.assertEqual(seen[0]["path"], "/a/x?y=1")
            self.assertIn(seen[0]["expected-instance"], ("i-vm-0", "i-vm-2"))
            self.assertLessEqual(int(seen[0]["deadline-ms"]), 2000)
            missing = await mesh.ask("vm-1", "/b/1")
            self.assertEqual(missing.status, 404)

        self.run_mesh(body)

    def test_a_change_is_in_force_everywhere_without_another_reader(self) -> None:
        async def body(mesh: HostedMesh) -> None:
            mesh.put_configuration(prefix="/new/")
            with trio.fail_after(5):
                for name in mesh.names:
                    while (await mesh.ask(name, "/new/1")).status != 200:
                        await trio.sleep(0.02)
                    self.assertEqual((await mesh.ask(name, "/a/1")).status, 404)
            watches = [c for c in mesh.store.calls if "config?watch" in c]
            self.assertTrue(watches)
            entries = [c for c in mesh.store.calls if c.startswith("POST")]
            self.assertEqual(len(entries), len(mesh.names))

        self.run_mesh(body)

    def test_metrics_are_served_in_the_text_format(self) -> None:
        async def body(mesh: HostedMesh) -> None:
            url = f"http://{mesh.address('vm-0')}:{METRICS_PORT}/metrics"
            text = ""
            # The links to the others come up on their own, so the limit of the test
            # bounds the wait for them.
            async with httpcore.AsyncConnectionPool() as pool:
                while 'marigoldchute_members{state="alive"} 3.0' not in text:
                    answer = await pool.request("GET", url)
                    self.assertEqual(answer.status, 200)
                    text = answer.content.decode()
                    await trio.sleep(0.05)
            for name in (
                "requests_total",
                "store_calls_total",
                "links",
                "retries_total",
            ):
                self.assertIn(f"\nmarigoldchute_{name} ", text)
            self.assertIn('outcome="ok"', text)

        self.run_mesh(body)

    def test_bad_settings_end_the_process_with_one_line(self) -> None:
        async def body(mesh: HostedMesh) -> None:
            path = mesh.write_settings("vm-0", "turnos")
            value = json.loads(path.read_text())
            value["app_addr"] = "nowhere"
            mesh.write_settings = lambda name, service: path  # type: ignore[method-assign]
            path.write_text(json.dumps(value))
            mesh.signal_node("vm-0", signal.SIGKILL)
            await mesh.wait_ended("vm-0")
            mesh.start_node("vm-0")
            self.assertEqual(await mesh.wait_ended("vm-0"), 1)
            last = mesh.log_of("vm-0").splitlines()[-1]
            self.assertTrue(last.startswith("[101 SETTINGS_INVALID]"), last)

        self.run_mesh(body)


class LeavingTest(ProcessTestCase):
    def test_a_drain_is_acknowledged_and_then_nothing_arrives(self) -> None:
        async def body(mesh: HostedMesh) -> None:
            backend = mesh.backends["vm-0"]
            while not all(mesh.backends[name].seen for name in ("vm-0", "vm-2")):
                await mesh.ask("vm-1")
            backend.state = "draining"
            before = backend.sequence
            with trio.fail_after(5):
                while backend.acknowledged <= before:
                    await trio.sleep(0.02)
            arrived = len(backend.seen)
            for _ in range(20):
                answer = await mesh.ask("vm-1")
                self.assertEqual(answer.status, 200, answer.content)
            self.assertEqual(len(backend.seen), arrived)

        self.run_mesh(body)

    def test_a_stopped_node_cuts_no_request(self) -> None:
        async def body(mesh: HostedMesh) -> None:
            for backend in mesh.backends.values():
                backend.run_s = 0.8
            statuses: list[int] = []

            async def ask() -> None:
                statuses.append((await mesh.ask("vm-0")).status)

            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(ask)
                await trio.sleep(0.3)
                mesh.signal_node("vm-0", signal.SIGTERM)
                await trio.sleep(0.1)
                self.assertFalse(await mesh.is_ready("vm-0"))
                nursery.start_soon(ask)
            self.assertEqual(statuses, [200] * 7)
            self.assertEqual(await mesh.wait_ended("vm-0"), 0)

        self.run_mesh(body)

    def test_further_signals_do_not_end_a_drain(self) -> None:
        async def body(mesh: HostedMesh) -> None:
            for backend in mesh.backends.values():
                backend.run_s = 1.2
            statuses: list[int] = []

            async def ask() -> None:
                statuses.append((await mesh.ask("vm-0")).status)

            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(ask)
                await trio.sleep(0.3)
                for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                    mesh.signal_node("vm-0", number)
                    await trio.sleep(0.2)
            self.assertEqual(statuses, [200] * 4)
            self.assertEqual(await mesh.wait_ended("vm-0"), 0)

        self.run_mesh(body)

    def test_a_node_ends_within_its_grace_whatever_still_runs(self) -> None:
        async def body(mesh: HostedMesh) -> None:
            for backend in mesh.backends.values():
                backend.run_s = 30.0
            mesh.put_configuration(timeout_ms=20_000)
            await trio.sleep(1.0)

            async def ask() -> None:
                with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                    await mesh.ask("vm-0", deadline_ms=20_000)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.3)
                mesh.store.faults.silent = True
                mesh.signal_node("vm-0", signal.SIGTERM)
                started = trio.current_time()
                await mesh.wait_ended("vm-0")
                self.assertLess(trio.current_time() - started, GRACE_S)

        self.run_mesh(body)


class LossTest(ProcessTestCase):
    def test_all_nodes_are_killed_and_come_back(self) -> None:
        async def body(mesh: HostedMesh) -> None:
            for name in mesh.names:
                mesh.signal_node(name, signal.SIGKILL)
            for name in mesh.names:
                await mesh.wait_ended(name)
            with self.assertRaises((httpcore.ConnectError, httpcore.NetworkError)):
                await mesh.ask("vm-0")
            for name in mesh.names:
                mesh.start_node(name)
            await mesh.wait_served()

        self.run_mesh(body)

    def test_traffic_goes_on_while_the_store_is_away(self) -> None:
        async def body(mesh: HostedMesh) -> None:
            mesh.store.faults.refused_status = 503
            await trio.sleep(2.0)
            for name in mesh.names:
                self.assertEqual((await mesh.ask(name)).status, 200)
            mesh.signal_node("vm-1", signal.SIGKILL)
            await mesh.wait_ended("vm-1")
            mesh.start_node("vm-1")
            await mesh.wait_served("vm-1")
            mesh.store.faults.refused_status = 0
            mesh.put_configuration(prefix="/back/")
            with trio.fail_after(10):
                for name in mesh.names:
                    while (await mesh.ask(name, "/back/1")).status != 200:
                        await trio.sleep(0.05)

        self.run_mesh(body)


class OrderTest(ProcessTestCase):
    def test_a_good_order_is_done_and_a_bad_one_is_taken_back(self) -> None:
        async def body(mesh: HostedMesh) -> None:
            mesh.backends["vm-2"].release = "v2"
            mesh.backends["vm-2"].born += 1
            spec = {"service": "turnos", "target_version": "v2", "duration_s": 8}
            mesh.store.put("rollouts", "turnos", spec)
            states = set()
            with trio.move_on_after(15):
                while "succeeded" not in states and "rolled_back" not in states:
                    async with trio.open_nursery() as nursery:
                        for name in mesh.names:
                            nursery.start_soon(mesh.ask, name)
                    status = mesh.store.status_of("rollouts", "turnos")
                    states.add(status["state"] if status else "")
            self.assertEqual(states, {"", "running", "succeeded"})
            before = len(mesh.backends["vm-0"].seen)
            for _ in range(10):
                self.assertEqual((await mesh.ask("vm-1")).status, 200)
            self.assertEqual(len(mesh.backends["vm-0"].seen), before)

        self.run_mesh(body)
