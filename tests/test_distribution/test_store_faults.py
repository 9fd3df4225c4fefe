"""Store that is down, slow, stale or altered, and restarts of all nodes at once."""

from __future__ import annotations

import dataclasses
import random

import trio

from marigoldchute.bundle.codec import decode_manifest, encode_manifest
from marigoldchute.bundle.signing import generate_private_key, sign_manifest
from marigoldchute.distribution.keys import bundle_key
from marigoldchute.errors import MarigoldchuteError, ResultCode
from marigoldchute.objectstore.api import CREATE_ONLY
from marigoldchute.objectstore.client import HttpObjectStore
from marigoldchute.objectstore.settings import StoreSettings
from marigoldchute.standins.loopback import STORE_PORT
from marigoldchute.standins.store import MAX_READS_PER_S, StoreFaults
from tests.support.rolls import TEST_TIMEOUT_S, WAIT_TIMEOUT_S, RollTestCase
from tests.test_bundle.bundles import make_content

FIRST_CONTENT = make_content("r1")
SECOND_CONTENT = dataclasses.replace(FIRST_CONTENT, routes=FIRST_CONTENT.routes[:1])


class StoreOutageTest(RollTestCase):
    def test_versions_survive_a_store_that_is_down_slow_or_stale(self) -> None:
        self.run_async(self._run_store_faults, TEST_TIMEOUT_S)

    async def _run_store_faults(self) -> None:
        self.start_nodes()
        await self.wait_for_members()
        await self.roll_content("cartago-norte-1", 1, FIRST_CONTENT)
        await self.wait_for_version(1)
        await self._restart_while_the_store_is_down()
        await self._roll_while_the_store_is_slow()
        await self._restart_while_the_store_is_stale()

    async def _restart_while_the_store_is_down(self) -> None:
        await self.mesh.set_store_faults(StoreFaults(down=True))
        self.mesh.kill("limon-muelle-2")
        self.mesh.start_node("limon-muelle-2")
        await self.wait_for_node_version("limon-muelle-2", 1)
        code, _ = await self.roll_result(
            "cartago-norte-1", self.signed_request(2, SECOND_CONTENT)
        )
        self.assertIn(
            code, (ResultCode.STORE_UNAVAILABLE, ResultCode.STORE_CIRCUIT_OPEN)
        )
        self.assertEqual(await self.version_in_force("cartago-norte-1"), 1)

    async def _roll_while_the_store_is_slow(self) -> None:
        await self.mesh.set_store_faults(StoreFaults(delay_ms=2000))
        await self._roll_until_accepted(2)
        await self.wait_for_version(2)

    async def _restart_while_the_store_is_stale(self) -> None:
        await self.mesh.set_store_faults(StoreFaults(stale_revisions=2))
        for name in ("cartago-norte-1", "limon-muelle-1"):
            self.mesh.kill(name)
            self.mesh.start_node(name)
        await self.wait_for_version(2)
        for name in ("cartago-norte-1", "limon-muelle-1"):
            self.assertNotIn(1, self.versions_in_force(name)[2:])
        code, _ = await self.roll_result(
            "cartago-norte-2", self.signed_request(3, FIRST_CONTENT)
        )
        self.assertEqual(code, ResultCode.BUNDLE_PREDECESSOR_UNKNOWN)
        await self.mesh.set_store_faults(StoreFaults())
        await self._roll_until_accepted(3)
        await self.wait_for_version(3)

    async def _roll_until_accepted(self, version: int) -> None:
        content = SECOND_CONTENT if version % 2 == 0 else FIRST_CONTENT
        with trio.fail_after(WAIT_TIMEOUT_S):
            while True:
                code, _ = await self.roll_result(
                    "cartago-norte-2", self.signed_request(version, content)
                )
                if code in (ResultCode.OK, ResultCode.BUNDLE_VERSION_TAKEN):
                    return
                await trio.sleep(0.2)


class AlteredStoreTest(RollTestCase):
    def open_store(self) -> HttpObjectStore:
        settings = StoreSettings(self.mesh.plan.store_address, STORE_PORT)
        return HttpObjectStore(settings, random.Random(1))

    def test_forged_replayed_and_altered_objects_are_refused(self) -> None:
        self.run_async(self._run_altered_store, TEST_TIMEOUT_S)

    async def _run_altered_store(self) -> None:
        self.start_nodes()
        await self.wait_for_members()
        await self.roll_content("cartago-norte-1", 1, FIRST_CONTENT)
        await self.wait_for_version(1)
        await self._write_forged_manifests()
        await self._wait_for_refusals(
            {
                ResultCode.BUNDLE_UNSIGNED,
                ResultCode.BUNDLE_SIGNATURE_INVALID,
                ResultCode.BUNDLE_KEY_UNKNOWN,
                ResultCode.BUNDLE_DIGEST_MISMATCH,
                ResultCode.BUNDLE_MALFORMED,
            }
        )
        await self._restart_on_altered_reads()

    async def _write_forged_manifests(self) -> None:
        body = self.signed_request(1, FIRST_CONTENT).manifest
        valid = decode_manifest(body)
        key = generate_private_key()
        forged = [
            encode_manifest(dataclasses.replace(valid, version=9)),
            encode_manifest(
                dataclasses.replace(
                    sign_manifest(9, valid.chunks, "ops-1", key, "", "")
                )
            ),
            encode_manifest(sign_manifest(9, valid.chunks, "eve", key, "", "")),
            encode_manifest(dataclasses.replace(valid, version=9, signature=b"")),
            body,
            b"\x00",
        ]
        store = self.open_store()
        for number, value in enumerate(forged, start=50):
            await store.put(bundle_key(number), value, CREATE_ONLY)

    async def _wait_for_refusals(self, expected: set[ResultCode]) -> None:
        with trio.fail_after(WAIT_TIMEOUT_S):
            while True:
                events = self.events_of_type("distribution:refused")
                if expected <= {ResultCode(event["code"]) for event in events}:
                    break
                await trio.sleep(0.1)
        for name in self.node_names:
            self.assertEqual(await self.version_in_force(name), 1)
        self.assertEqual(
            {v for n in self.node_names for v in self.versions_in_force(n)}, {1}
        )

    async def _restart_on_altered_reads(self) -> None:
        for name in self.node_names:
            self.mesh.kill(name)
        await self.mesh.set_store_faults(
            StoreFaults(corrupt_values=20, truncate_values=20)
        )
        for name in self.node_names:
            self.mesh.start_node(name)
        await self.wait_for_version(1)


class MassRestartTest(RollTestCase):
    data_centre_count = 4
    vms_per_data_centre = 3

    def test_mass_restart_stays_within_the_rate_limits_of_the_store(self) -> None:
        self.run_async(self._restart_all_nodes, TEST_TIMEOUT_S)

    async def _restart_all_nodes(self) -> None:
        self.start_nodes()
        await self.wait_for_members()
        await self.roll_content("cartago-norte-1", 1, FIRST_CONTENT)
        await self._roll_next("limon-patio-2", 2)
        await self.wait_for_version(2)
        for name in self.node_names:
            self.mesh.kill(name)
        before = await self.mesh.store_call_counts()
        for name in self.node_names:
            self.mesh.start_node(name)
        await self.wait_for_version(2)
        calls = await self.mesh.store_call_counts()
        self.assertEqual(calls.refused, 0)
        self.assertLess(calls.peak_reads_per_s, MAX_READS_PER_S)
        self.assertLess(calls.read - before.read, 20 * len(self.node_names))
        for name in self.node_names:
            self.assertEqual(self.versions_in_force(name)[-1], 2)
            self.assertNotIn(1, self.versions_in_force(name)[2:])

    async def _roll_next(self, vm_name: str, version: int) -> None:
        await self.wait_for_node_version(vm_name, version - 1)
        try:
            await self.roll_content(vm_name, version, SECOND_CONTENT)
        except MarigoldchuteError as exc:
            self.fail(str(exc))
