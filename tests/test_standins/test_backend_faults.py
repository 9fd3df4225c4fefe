"""Conditions and replacement of the faults of the backend server stand-in."""

from __future__ import annotations

import unittest

from marigoldchute.standins.backend import BackendSettings
from marigoldchute.standins.backend_faults import BackendFaults
from marigoldchute.standins.loopback import BACKEND_PORT
from tests.support.meshes import MeshTestCase


class FaultConditionsTest(unittest.TestCase):
    def test_faults_apply_only_to_their_path_prefix(self) -> None:
        faults = BackendFaults(path_prefix="/reservas")
        self.assertTrue(faults.apply_to("/reservas/1", 1, 0.0))
        self.assertFalse(faults.apply_to("/turnos/1", 1, 0.0))

    def test_faults_apply_only_above_running_threshold(self) -> None:
        faults = BackendFaults(more_than_running=3)
        self.assertFalse(faults.apply_to("/", 3, 0.0))
        self.assertTrue(faults.apply_to("/", 4, 0.0))

    def test_faults_apply_only_after_their_delay(self) -> None:
        faults = BackendFaults(after_s=2.0)
        self.assertFalse(faults.apply_to("/", 1, 1.9))
        self.assertTrue(faults.apply_to("/", 1, 2.0))


class FaultChangeTest(MeshTestCase):
    def test_faults_can_be_set_on_running_stand_in(self) -> None:
        self.run_async(self._set_faults_on_running_stand_in, 20)

    async def _set_faults_on_running_stand_in(self) -> None:
        vm = self.mesh.plan.vms[0]
        self.mesh.start_backend(
            BackendSettings(vm.address, BACKEND_PORT, 0, "turnos", "r1")
        )
        await self.mesh.wait_for_port(vm.address, BACKEND_PORT)
        await self.mesh.set_backend_faults(vm.name, BackendFaults(error_share=1.0))
        state = await self.mesh.backend_state(vm.name)
        self.assertEqual((state.total_runs, state.running), (0, 0))
