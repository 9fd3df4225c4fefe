"""A seeded storm of faults over the whole path, and what must hold after it."""

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

CALL_INTERVAL_S = 0.02
FAULT_S = 2.5
PAUSE_S = 0.8
ROUNDS = 6
CALL_TIMEOUT_S = 8.0


@dataclasses.dataclass(frozen=True)
class Called:
    """One request and what its caller was told.

    Parameters
    ----------
    key : str
        Idempotency key and last part of the path.
    size : int
        Bytes of its body.
    told : str
        ``answered``, ``not-run``, ``unknown`` or ``nothing``.
    content : bytes
        Body of the answer.
    """

    key: str
    size: int
    told: str
    content: bytes = b""


class FaultStormTest(MeshTestCase):
    centres = 4
    per_centre = 2
    proxied = True

    def setUp(self) -> None:
        super().setUp()
        self.rng = random.Random(self.seed)
        self.called: list[Called] = []

    def test_requests_run_at_most_once_and_refusals_are_true(self) -> None:
        self.run_async(self._storm, 110)
        told = {item.told for item in self.called}
        self.assertIn("answered", told)

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
            nursery.start_soon(self._call_steadily)
            for number in range(1, ROUNDS + 1):
                await self._one_fault(number)
                await trio.sleep(PAUSE_S)
            nursery.cancel_scope.cancel()
        await self._settle(names)
        await self._check_runs()

    async def _one_fault(self, number: int) -> None:
        fault = self.rng.choice(
            [
                self._kill_node,
                self._pause_node,
                self._cut_centre,
                self._silence,
                self._store_outage,
                self._bad_backend,
            ]
        )
        await fault()
        await self._roll_next(number)

    async def _kill_node(self) -> None:
        name = self.rng.choice(self.mesh.plan.vms).name
        self.mesh.kill(name)
        await trio.sleep(FAULT_S)
        self.mesh.start_node(name)

    async def _pause_node(self) -> None:
        process = self.mesh.process(self.rng.choice(self.mesh.plan.vms).name)
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(FAULT_S)
        process.send_signal(signal.SIGCONT)

    async def _cut_centre(self) -> None:
        centre = self.rng.choice(self.mesh.plan.vms).data_centre
        await self.mesh.set_faults(
            *(
                Rule(centre, other, Action.DROP)
                for other in {vm.data_centre for vm in self.mesh.plan.vms} - {centre}
            )
        )
        await trio.sleep(FAULT_S)
        await self.mesh.set_faults()

    async def _silence(self) -> None:
        await self.mesh.set_faults(Rule("*", "*", Action.SILENCE))
        await trio.sleep(FAULT_S)
        await self.mesh.set_faults()

    async def _store_outage(self) -> None:
        await self.mesh.set_store_faults(StoreFaults(down=True))
        await trio.sleep(FAULT_S)
        await self.mesh.set_store_faults(StoreFaults(lose_replies=1))

    async def _bad_backend(self) -> None:
        vm = self.rng.choice(self.mesh.plan.vms)
        await self.mesh.set_backend_faults(
            vm.name,
            BackendFaults(
                refuse_share=0.2, drop_share=0.2, cut_share=0.2, hang_share=0.05
            ),
        )
        await trio.sleep(FAULT_S)
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

    async def _call_steadily(self) -> None:
        async with httpcore.AsyncConnectionPool() as pool, trio.open_nursery() as calls:
            for number in range(1_000_000):
                calls.start_soon(self._call, pool, f"call-{number}")
                await trio.sleep(CALL_INTERVAL_S)

    async def _call(self, pool: httpcore.AsyncConnectionPool, key: str) -> None:
        vm = self.rng.choice(self.mesh.plan.vms)
        size = self.rng.randrange(1, 3000)
        told, content = "nothing", b""
        try:
            with trio.move_on_after(CALL_TIMEOUT_S):
                response = await pool.request(
                    "POST",
                    f"http://{vm.address}:8000/reservas/{key}",
                    headers={"idempotency-key": key},
                    content=bytes(size),
                )
                headers = dict(response.headers)
                outcome = headers.get(b"marigoldchute-outcome")
                told = outcome.decode() if outcome else "answered"
                content = response.content
        except (httpcore.NetworkError, httpcore.ProtocolError):
            pass
        self.called.append(Called(key, size, told, content))

    async def _settle(self, names: list[str]) -> None:
        await self.mesh.set_faults()
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
                await self._roll_next(ROUNDS + 1)
                version = (await self.mesh.admin(names[0]).status()).newest_version
                status = 0 if version else 1
        await self.mesh.wait_until(
            names[-1],
            lambda s: all(m.version == version for m in s.members),
            30,
        )
        self.assertEqual((status, out, err), (0, "", ""))

    async def _check_runs(self) -> None:
        runs: dict[str, int] = {}
        for vm in self.mesh.plan.vms:
            state = await self.mesh.backend_state(vm.name)
            for key, count in state.runs.items():
                runs[key] = runs.get(key, 0) + count
        twice = [key for key, count in runs.items() if count > 1]
        self.assertEqual(twice, [], "requests that ran more than once")
        for item in self.called:
            if item.told == "not-run":
                self.assertEqual(runs.get(item.key, 0), 0, item)
            elif item.told == "answered":
                self.assertEqual(runs.get(item.key, 0), 1, item)
                wanted = b"r1 /reservas/%s %d\n" % (item.key.encode(), item.size)
                self.assertEqual(item.content, wanted)
