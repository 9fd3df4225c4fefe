"""Seeded random faults on the whole request path while callers send requests."""

from __future__ import annotations

import dataclasses
import json
import random
import signal

import httpcore
import trio

from marigoldchute.standins.backend_faults import BackendFaults
from marigoldchute.standins.faultproxy import Action, Rule
from marigoldchute.standins.store import StoreFaults
from tests.support.meshes import MeshTestCase

REQUEST_INTERVAL_S = 0.02
FAULT_DURATION_S = 2.5
FAULT_PAUSE_S = 0.8
FAULT_COUNT = 6
REQUEST_TIMEOUT_S = 8.0


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """One request and the outcome that its caller received.

    Parameters
    ----------
    key : str
        Idempotency key and last part of the path.
    size : int
        Bytes of its body.
    outcome : str
        ``completed``, ``not-run``, ``unknown``, or ``nothing`` without a response.
    content : bytes
        Body of the response.
    """

    key: str
    size: int
    outcome: str
    content: bytes = b""


class FaultStormTest(MeshTestCase):
    data_centre_count = 4
    vms_per_data_centre = 2
    uses_proxy = True

    def setUp(self) -> None:
        super().setUp()
        self.rng = random.Random(self.seed)
        self.results: list[RequestResult] = []

    def test_requests_run_at_most_once_and_refused_ones_never(self) -> None:
        self.run_async(self._storm, 110)
        outcomes = {result.outcome for result in self.results}
        self.assertIn("completed", outcomes)

    async def _storm(self) -> None:
        self.start_nodes()
        names = [vm.name for vm in self.mesh.plan.vms]
        self.start_backends("reservas", dict.fromkeys(names, "r1"))
        await self.mesh.wait_until(
            names[0], lambda s: sum(bool(m.servers) for m in s.members) == len(names)
        )
        await self._roll_next(0)
        await self.mesh.wait_until(
            names[-1], lambda s: all(m.version == 1 for m in s.members)
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_requests)
            for number in range(1, FAULT_COUNT + 1):
                await self._inject_fault(number)
                await trio.sleep(FAULT_PAUSE_S)
            nursery.cancel_scope.cancel()
        await self._wait_until_recovered(names)
        await self._check_run_counts()

    async def _inject_fault(self, number: int) -> None:
        fault = self.rng.choice(
            [
                self._kill_node,
                self._pause_node,
                self._cut_data_centre,
                self._silence_all_links,
                self._store_outage,
                self._degrade_backend,
            ]
        )
        await fault()
        await self._roll_next(number)

    async def _kill_node(self) -> None:
        name = self.rng.choice(self.mesh.plan.vms).name
        self.mesh.kill(name)
        await trio.sleep(FAULT_DURATION_S)
        self.mesh.start_node(name)

    async def _pause_node(self) -> None:
        process = self.mesh.process(self.rng.choice(self.mesh.plan.vms).name)
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(FAULT_DURATION_S)
        process.send_signal(signal.SIGCONT)

    async def _cut_data_centre(self) -> None:
        data_centre = self.rng.choice(self.mesh.plan.vms).data_centre
        await self.mesh.set_proxy_rules(
            *(
                Rule(data_centre, other, Action.DROP)
                for other in {vm.data_centre for vm in self.mesh.plan.vms}
                - {data_centre}
            )
        )
        await trio.sleep(FAULT_DURATION_S)
        await self.mesh.set_proxy_rules()

    async def _silence_all_links(self) -> None:
        await self.mesh.set_proxy_rules(Rule("*", "*", Action.SILENCE))
        await trio.sleep(FAULT_DURATION_S)
        await self.mesh.set_proxy_rules()

    async def _store_outage(self) -> None:
        await self.mesh.set_store_faults(StoreFaults(down=True))
        await trio.sleep(FAULT_DURATION_S)
        await self.mesh.set_store_faults(StoreFaults(lose_replies=1))

    async def _degrade_backend(self) -> None:
        vm = self.rng.choice(self.mesh.plan.vms)
        await self.mesh.set_backend_faults(
            vm.name,
            BackendFaults(
                refuse_share=0.2, drop_share=0.2, cut_share=0.2, hang_share=0.05
            ),
        )
        await trio.sleep(FAULT_DURATION_S)
        await self.mesh.set_backend_faults(vm.name, BackendFaults())

    async def _roll_next(self, number: int) -> None:
        path = self.write_bundle(
            json.dumps(
                {
                    "services": [{"name": "reservas", "release": "r1"}],
                    "routes": [
                        {
                            "name": "reservas",
                            "path_prefix": "/reservas",
                            "service": "reservas",
                            "timeout_ms": 2000 + number,
                        }
                    ],
                }
            )
        )
        await self.roll(path, self.rng.choice(self.mesh.plan.vms).name)

    async def _send_requests(self) -> None:
        async with (
            httpcore.AsyncConnectionPool() as pool,
            trio.open_nursery() as nursery,
        ):
            for number in range(1_000_000):
                nursery.start_soon(self._send_request, pool, f"call-{number}")
                await trio.sleep(REQUEST_INTERVAL_S)

    async def _send_request(self, pool: httpcore.AsyncConnectionPool, key: str) -> None:
        vm = self.rng.choice(self.mesh.plan.vms)
        size = self.rng.randrange(1, 3000)
        outcome, content = "nothing", b""
        try:
            with trio.move_on_after(REQUEST_TIMEOUT_S):
                response = await pool.request(
                    "POST",
                    f"http://{vm.address}:8000/reservas/{key}",
                    headers={"idempotency-key": key},
                    content=bytes(size),
                )
                headers = dict(response.headers)
                outcome_header = headers.get(b"marigoldchute-outcome")
                outcome = outcome_header.decode() if outcome_header else "completed"
                content = response.content
        except (httpcore.NetworkError, httpcore.ProtocolError):
            pass
        self.results.append(RequestResult(key, size, outcome, content))

    async def _wait_until_recovered(self, names: list[str]) -> None:
        await self.mesh.set_proxy_rules()
        await self.mesh.set_store_faults(StoreFaults())
        await self.mesh.wait_until(
            names[0],
            lambda s: (
                len(s.members) == len(names)
                and all(m.state == "alive" and m.version >= 1 for m in s.members)
            ),
            30,
        )
        status, out, err = 1, "", ""
        with trio.fail_after(20):
            while status != 0:
                await self._roll_next(FAULT_COUNT + 1)
                version = (await self.mesh.admin(names[0]).status()).newest_version
                status = 0 if version else 1
        await self.mesh.wait_until(
            names[-1],
            lambda s: all(m.version == version for m in s.members),
            30,
        )
        self.assertEqual((status, out, err), (0, "", ""))

    async def _check_run_counts(self) -> None:
        runs: dict[str, int] = {}
        for vm in self.mesh.plan.vms:
            state = await self.mesh.backend_state(vm.name)
            for key, count in state.runs.items():
                runs[key] = runs.get(key, 0) + count
        duplicates = [key for key, count in runs.items() if count > 1]
        self.assertEqual(duplicates, [], "requests that ran more than once")
        for result in self.results:
            if result.outcome == "not-run":
                self.assertEqual(runs.get(result.key, 0), 0, result)
            elif result.outcome == "completed":
                self.assertEqual(runs.get(result.key, 0), 1, result)
                expected = b"r1 /reservas/%s %d\n" % (result.key.encode(), result.size)
                self.assertEqual(result.content, expected)
