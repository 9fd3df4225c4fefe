"""Requests, drains, crashes and orders on hosted nodes in real processes."""

from __future__ import annotations

import contextlib
import json
import signal
import unittest
from typing import TYPE_CHECKING, Any

import httpcore
import trio

from marigoldchute.platform.settings import METRICS_PORT
from tests.support.hosted import CALLER_PORT, HOST, HostedMesh, hosted_mesh

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

GRACE_S = 6.0
SERVICES = ("turnos", "reservas", "turnos")


def named(events: list[dict[str, Any]], name: str) -> list[dict[str, Any]]:
    return [event for event in events if event["event"] == name]


class ProcessTestCase(unittest.TestCase):
    def run_mesh(
        self,
        scenario: Callable[[HostedMesh], Awaitable[None]],
        *services: str,
        timeout_s: float = 60.0,
    ) -> None:
        async def main() -> None:
            with trio.fail_after(timeout_s):
                async with hosted_mesh(*(services or SERVICES)) as mesh:
                    await mesh.wait_until_serving()
                    await scenario(mesh)

        trio.run(main)


class WholePathTest(ProcessTestCase):
    def test_request_reaches_a_backend_server_on_another_vm(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            response = await mesh.send_request(
                "vm-1", "/a/x?y=1", b"z" * 200_000, "abc"
            )
            self.assertEqual(response.status, 200)
            self.assertTrue(response.content.endswith(b" 200000"))
            self.assertEqual(dict(response.headers)[b"attempt-id"], b"abc")
            requests = [
                request
                for name in ("vm-0", "vm-2")
                for request in mesh.backends[name].requests
                if request.get("attempt-id") == "abc"
            ]
            self.assertEqual(len(requests), 1)
            self.assertEqual(requests[0]["caller-service"], "reservas")
            self.assertEqual(requests[0]["path"], "/a/x?y=1")
            self.assertIn(requests[0]["expected-instance"], ("i-vm-0", "i-vm-2"))
            self.assertLessEqual(int(requests[0]["deadline-ms"]), 2000)
            missing = await mesh.send_request("vm-1", "/b/1")
            self.assertEqual(missing.status, 404)

        self.run_mesh(scenario)

    def test_configuration_change_is_in_force_on_all_nodes(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.put_configuration(prefix="/new/")
            with trio.fail_after(5):
                for name in mesh.names:
                    while (await mesh.send_request(name, "/new/1")).status != 200:
                        await trio.sleep(0.02)
                    self.assertEqual(
                        (await mesh.send_request(name, "/a/1")).status, 404
                    )
            watches = [c for c in mesh.store.calls if "config?watch" in c]
            self.assertTrue(watches)
            creations = [c for c in mesh.store.calls if c.startswith("POST")]
            self.assertEqual(len(creations), len(mesh.names))

        self.run_mesh(scenario)

    def test_metrics_are_served_in_the_text_format(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            url = f"http://{mesh.address('vm-0')}:{METRICS_PORT}/metrics"
            text = ""
            # The links to the other nodes are opened in the background; the timeout of
            # the test limits the wait for them.
            async with httpcore.AsyncConnectionPool() as pool:
                while 'marigoldchute_members{state="alive"} 3.0' not in text:
                    response = await pool.request("GET", url)
                    self.assertEqual(response.status, 200)
                    text = response.content.decode()
                    await trio.sleep(0.05)
            for name in (
                "requests_total",
                "store_calls_total",
                "links",
                "retries_total",
                "requests_taken_while_draining_total",
                "requests_refused_while_draining_total",
                "drain_seconds",
            ):
                self.assertIn(f"\nmarigoldchute_{name} ", text)
            self.assertIn('outcome="ok"', text)

        self.run_mesh(scenario)

    def test_invalid_settings_end_the_process_with_an_error_line(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            path = mesh.write_settings("vm-0", "turnos")
            value = json.loads(path.read_text())
            value["app_addr"] = "nowhere"
            mesh.write_settings = lambda name, service: path  # type: ignore[method-assign]
            path.write_text(json.dumps(value))
            mesh.signal_node("vm-0", signal.SIGKILL)
            await mesh.wait_for_exit("vm-0")
            mesh.start_node("vm-0")
            self.assertEqual(await mesh.wait_for_exit("vm-0"), 1)
            last_line = mesh.read_log("vm-0").splitlines()[-1]
            self.assertTrue(last_line.startswith("[101 SETTINGS_INVALID]"), last_line)

        self.run_mesh(scenario)


class LimitsTest(ProcessTestCase):
    # Guards against uploads that kept connections refuse by a limit not in force.
    def test_raised_limit_holds_on_connections_that_were_open(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            large = bytes(90_000)
            mesh.limits["max_body_bytes"] = 50_000
            mesh.put_configuration(prefix="/low/")
            async with httpcore.AsyncConnectionPool(keepalive_expiry=60) as pool:

                async def send(path: str, content: bytes) -> int:
                    url = f"http://{mesh.address('vm-1')}:{CALLER_PORT}{path}"
                    headers = {"host": HOST, "attempt-id": "1"}
                    response = await pool.request(
                        "POST", url, headers=headers, content=content
                    )
                    return response.status

                while await send("/low/1", b"small") != 200:
                    await trio.sleep(0.05)
                mesh.limits["max_body_bytes"] = 200_000
                mesh.put_configuration(prefix="/high/")
                while (await mesh.send_request("vm-1", "/high/1")).status != 200:
                    await trio.sleep(0.05)
                self.assertEqual(len(pool.connections), 1)
                self.assertEqual(await send("/high/1", large), 200)

        self.run_mesh(scenario)


class ReloadTest(ProcessTestCase):
    # Guards against a node process that ends when its settings change just after its
    # start.
    def test_sighup_does_not_end_a_process_that_loads_its_modules(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.signal_node("vm-0", signal.SIGKILL)
            await mesh.wait_for_exit("vm-0")
            mesh.start_node("vm-0")
            while not mesh.has_loaded("vm-0", "msgspec"):
                await trio.sleep(0.002)
            mesh.signal_node("vm-0", signal.SIGHUP)
            await mesh.wait_until_serving("vm-0")
            self.assertIsNone(mesh.processes["vm-0"].poll())

        self.run_mesh(scenario)

    # Guards against calls that name the service that was on the VM before.
    def test_call_after_a_change_of_the_settings_names_the_new_service(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            for number in range(6):
                service = f"service-{number}"
                mesh.write_settings("vm-1", service)
                request_id = f"after-{number}"
                response = await mesh.send_request("vm-1", request_id=request_id)
                self.assertEqual(response.status, 200)
                callers = [
                    request["caller-service"]
                    for backend in mesh.backends.values()
                    for request in backend.requests
                    if request.get("attempt-id") == request_id
                ]
                self.assertEqual(callers, [service])

        self.run_mesh(scenario)

    # Guards against reports that are refused after the server got another address.
    def test_report_from_a_changed_address_is_accepted_at_once(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            backend = mesh.backends["vm-0"]
            backend.reports = False
            path = mesh.write_settings("vm-0", "turnos")
            value = json.loads(path.read_text())
            value["app_addr"] = f"{mesh.address('vm-0')}:8699"
            path.write_text(json.dumps(value))
            report = backend.make_report() | {"address": value["app_addr"]}
            self.assertEqual(await backend.call_node("heartbeat", report), 200)

        self.run_mesh(scenario)


class LeavingTest(ProcessTestCase):
    def test_backend_server_gets_no_requests_after_its_drain_is_acknowledged(
        self,
    ) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            backend = mesh.backends["vm-0"]
            while not all(mesh.backends[name].requests for name in ("vm-0", "vm-2")):
                await mesh.send_request("vm-1")
            backend.state = "draining"
            sequence_before = backend.sequence
            with trio.fail_after(5):
                while backend.acknowledged_sequence <= sequence_before:
                    await trio.sleep(0.02)
            requests_before = len(backend.requests)
            for _ in range(20):
                response = await mesh.send_request("vm-1")
                self.assertEqual(response.status, 200, response.content)
            self.assertEqual(len(backend.requests), requests_before)

        self.run_mesh(scenario)

    def test_stopped_node_completes_all_requests(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            for backend in mesh.backends.values():
                backend.service_time_s = 0.8
            statuses: list[int] = []

            async def send_request() -> None:
                statuses.append((await mesh.send_request("vm-0")).status)

            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(send_request)
                await trio.sleep(0.3)
                mesh.signal_node("vm-0", signal.SIGTERM)
                await trio.sleep(0.1)
                self.assertFalse(await mesh.is_ready("vm-0"))
                nursery.start_soon(send_request)
            self.assertEqual(statuses, [200] * 7)
            self.assertEqual(await mesh.wait_for_exit("vm-0"), 0)

        self.run_mesh(scenario)

    def test_further_signals_do_not_end_a_drain(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            for backend in mesh.backends.values():
                backend.service_time_s = 1.2
            statuses: list[int] = []

            async def send_request() -> None:
                statuses.append((await mesh.send_request("vm-0")).status)

            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(send_request)
                await trio.sleep(0.3)
                for signal_number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                    mesh.signal_node("vm-0", signal_number)
                    await trio.sleep(0.2)
            self.assertEqual(statuses, [200] * 4)
            self.assertEqual(await mesh.wait_for_exit("vm-0"), 0)

        self.run_mesh(scenario)

    # Guards against a process that a further signal ends after its drain, before it has
    # ended itself.
    def test_signals_until_the_end_of_the_process_do_not_change_its_status(
        self,
    ) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.signal_node("vm-1", signal.SIGTERM)
            process = mesh.processes["vm-1"]
            while process.poll() is None:
                mesh.signal_node("vm-1", signal.SIGTERM)
                await trio.sleep(0.001)
            self.assertEqual(process.returncode, 0)

        self.run_mesh(scenario)

    def test_stopped_node_ends_within_its_grace_period_despite_running_requests(
        self,
    ) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            for backend in mesh.backends.values():
                backend.service_time_s = 30.0
            mesh.put_configuration(timeout_ms=20_000)
            await trio.sleep(1.0)

            async def send_request() -> None:
                with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                    await mesh.send_request("vm-0", deadline_ms=20_000)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_request)
                await trio.sleep(0.3)
                mesh.store.faults.silent = True
                mesh.signal_node("vm-0", signal.SIGTERM)
                started = trio.current_time()
                await mesh.wait_for_exit("vm-0")
                self.assertLess(trio.current_time() - started, GRACE_S)

        self.run_mesh(scenario)

    # Guards against connections that are reset when their requests outlast the node.
    def test_request_that_outlasts_the_node_is_answered_and_logged_with_its_cause(
        self,
    ) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            for backend in mesh.backends.values():
                backend.service_time_s = 30.0
            mesh.put_configuration(timeout_ms=20_000)
            await trio.sleep(1.0)
            statuses: list[int] = []

            async def send_request(request_id: str) -> None:
                response = await mesh.send_request(
                    "vm-0", request_id=request_id, deadline_ms=20_000
                )
                statuses.append(response.status)

            async with trio.open_nursery() as nursery:
                for index in range(4):
                    nursery.start_soon(send_request, f"late-{index}")
                await trio.sleep(0.3)
                for signal_number in (signal.SIGTERM, signal.SIGTERM):
                    mesh.signal_node("vm-0", signal_number)
                    await trio.sleep(0.1)
                nursery.start_soon(send_request, "late-4")
                self.assertEqual(await mesh.wait_for_exit("vm-0"), 0)
            self.assertEqual(statuses, [504] * 5)
            events = mesh.read_events("vm-0")
            self.assertEqual(named(events, "routing:cut"), [])
            late = {e["request"]: e for e in named(events, "routing:overdue")}
            self.assertEqual(set(late), {f"late-{index}" for index in range(5)})
            for fields in late.values():
                self.assertEqual(fields["code"], 511)
                self.assertIn("before the node stops", fields["text"])
                self.assertGreater(fields["elapsed_ms"], 4000)
                self.assertEqual(len(fields["trail"]), 1)
            # Those on the backend server of this VM also have a line of its owner.
            local = {i for i, f in late.items() if f["trail"][0].startswith("vm-0 ")}
            abandoned = named(events, "owner:abandoned")
            self.assertEqual({e["request"] for e in abandoned}, local)
            self.assertEqual(
                [(e["signal"], e["ignored"]) for e in named(events, "node:signal")],
                [("SIGTERM", False), ("SIGTERM", True)],
            )
            (started,) = named(events, "node:draining")
            self.assertEqual((started["requests"], started["connections"]), (4, 4))
            (timed_out,) = named(events, "node:drain_timed_out")
            self.assertGreater(timed_out["elapsed_s"], 4.0)
            self.assertEqual(named(events, "node:drained"), [])
            self.assertEqual(len(named(events, "node:ended")), 1)

        self.run_mesh(scenario)

    # Guards against kept connections that are reset when their requests outlast the
    # node, also with a body that is not complete.
    def test_request_on_a_kept_connection_that_outlasts_the_node_is_answered(
        self,
    ) -> None:
        head = (
            f"POST /a/1 HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 20000\r\n"
            "Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
        )

        async def scenario(mesh: HostedMesh) -> None:
            mesh.put_configuration(timeout_ms=20_000)
            await trio.sleep(1.0)
            streams = {}
            for name in ("part", "whole"):
                stream = await trio.open_tcp_stream(mesh.address("vm-1"), CALLER_PORT)
                await stream.send_all((head % f"{name}-0").encode() + b"0\r\n\r\n")
                self.assertIn(b" 200 ", await stream.receive_some(10_000))
                streams[name] = stream
            for backend in mesh.backends.values():
                backend.service_time_s = 30.0
            for name, end in (("part", b""), ("whole", b"0\r\n\r\n")):
                data = (head % f"{name}-1").encode() + b"3\r\nabc\r\n" + end
                await streams[name].send_all(data)
            await trio.sleep(0.3)
            mesh.signal_node("vm-1", signal.SIGTERM)
            self.assertEqual(await mesh.wait_for_exit("vm-1"), 0)
            await trio.sleep(0.3)
            for stream in streams.values():
                self.assertIn(b" 504 ", await stream.receive_some(10_000))
                self.assertEqual(await stream.receive_some(1), b"")
                await stream.aclose()
            events = mesh.read_events("vm-1")
            late = {e["request"]: e for e in named(events, "routing:overdue")}
            for name in streams:
                fields = late.pop(f"{name}-1")
                self.assertEqual(fields["code"], 511)
                self.assertIn("before the node stops", fields["text"])
                self.assertEqual(fields["body"], "chunked")
                self.assertEqual(fields["body_complete"], name == "whole")
                owner = fields["trail"][0].split()[0]
                (line,) = (
                    e
                    for e in named(mesh.read_events(owner), "owner:abandoned")
                    if e["request"] == f"{name}-1"
                )
                self.assertIn(line["cause"], ("entry_cancelled", "link"))
                self.assertEqual(line["waits_for"], "response")
            self.assertEqual(late, {})
            self.assertEqual(named(events, "routing:cut"), [])

        self.run_mesh(scenario)

    def test_drain_is_logged_stage_by_stage(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.signal_node("vm-0", signal.SIGTERM)
            self.assertEqual(await mesh.wait_for_exit("vm-0"), 0)
            events = mesh.read_events("vm-0")
            stages = [e for e in events if "elapsed_s" in e]
            self.assertEqual(
                [e["event"] for e in stages],
                [
                    "node:draining",
                    "node:server_withdrawn",
                    "node:listener_closed",
                    "node:drained",
                ],
            )
            self.assertEqual(stages[-1]["requests"], 0)
            self.assertEqual(named(events, "routing:cut"), [])

        self.run_mesh(scenario)


class InvalidStatusTest(ProcessTestCase):
    # Guards against a status that HTTP does not have, and a fault without its server.
    def test_invalid_status_gets_502_and_a_line_that_names_the_server(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.backends["vm-0"].status = 600
            for name in ("vm-0", "vm-1"):
                response = await mesh.send_request(name, request_id=f"bad-{name}")
                self.assertEqual(response.status, 502)
            events = mesh.read_events("vm-0")
            (local,) = (e for e in events if e.get("request") == "bad-vm-0")
            self.assertIn("i-vm-0", " ".join(local["trail"]))
            self.assertIn("status 600", local["text"])
            (remote,) = (e for e in events if e.get("request") == "bad-vm-1")
            self.assertIn("i-vm-0", remote["text"])
            self.assertIn("status 600", remote["text"])

        self.run_mesh(scenario, "turnos", "reservas")


class LossTest(ProcessTestCase):
    def test_mesh_serves_again_after_all_nodes_were_killed(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            for name in mesh.names:
                mesh.signal_node(name, signal.SIGKILL)
            for name in mesh.names:
                await mesh.wait_for_exit(name)
            with self.assertRaises((httpcore.ConnectError, httpcore.NetworkError)):
                await mesh.send_request("vm-0")
            for name in mesh.names:
                mesh.start_node(name)
            await mesh.wait_until_serving()

        self.run_mesh(scenario)

    def test_requests_are_served_while_the_store_is_unavailable(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.store.faults.refused_status = 503
            await trio.sleep(2.0)
            for name in mesh.names:
                self.assertEqual((await mesh.send_request(name)).status, 200)
            mesh.signal_node("vm-1", signal.SIGKILL)
            await mesh.wait_for_exit("vm-1")
            mesh.start_node("vm-1")
            await mesh.wait_until_serving("vm-1")
            mesh.store.faults.refused_status = 0
            mesh.put_configuration(prefix="/back/")
            with trio.fail_after(10):
                for name in mesh.names:
                    while (await mesh.send_request(name, "/back/1")).status != 200:
                        await trio.sleep(0.05)

        self.run_mesh(scenario)


class OrderTest(ProcessTestCase):
    def test_good_order_succeeds_and_ends_traffic_to_the_old_release(self) -> None:
        async def scenario(mesh: HostedMesh) -> None:
            mesh.backends["vm-2"].release = "v2"
            mesh.backends["vm-2"].born += 1
            spec = {"service": "turnos", "target_version": "v2", "duration_s": 8}
            mesh.store.put("rollouts", "turnos", spec)
            states = set()
            with trio.move_on_after(15):
                while "succeeded" not in states and "rolled_back" not in states:
                    async with trio.open_nursery() as nursery:
                        for name in mesh.names:
                            nursery.start_soon(mesh.send_request, name)
                    status = mesh.store.status_of("rollouts", "turnos")
                    states.add(status["state"] if status else "")
            self.assertEqual(states, {"", "running", "succeeded"})
            requests_before = len(mesh.backends["vm-0"].requests)
            for _ in range(10):
                self.assertEqual((await mesh.send_request("vm-1")).status, 200)
            self.assertEqual(len(mesh.backends["vm-0"].requests), requests_before)

        self.run_mesh(scenario)
