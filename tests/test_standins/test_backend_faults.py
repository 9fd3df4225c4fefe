"""When the faults of the backend server stand-in act."""

from __future__ import annotations

import unittest

from marigoldchute.standins.backend import BackendSettings
from marigoldchute.standins.backend_faults import BackendFaults
from marigoldchute.standins.loopback import BACKEND_PORT
from tests.support.meshes import MeshTestCase


class ActOnTest(unittest.TestCase):
    def test_faults_act_on_their_path_only(self) -> None:
        faults = BackendFaults(path_prefix="/reservas")
        self.assertTrue(faults.act_on("/reservas/1", 1, 0.0))
        self.assertFalse(faults.act_on("/turnos/1", 1, 0.0))

    def test_faults_act_under_load_only(self) -> None:
        faults = BackendFaults(more_than_running=3)
        self.assertFalse(faults.act_on("/", 3, 0.0))
        self.assertTrue(faults.act_on("/", 4, 0.0))

    def test_faults_act_from_their_time_on(self) -> None:
        faults = BackendFaults(after_s=2.0)
        self.assertFalse(faults.act_on("/", 1, 1.9))
        self.assertTrue(faults.act_on("/", 1, 2.0))


class SwitchTest(MeshTestCase):
    def test_faults_can_be_set_while_it_runs(self) -> None:
        self.run_async(self._switch, 20)

    async def _switch(self) -> None:
        vm = self.mesh.plan.vms[0]
        self.mesh.start_backend(
            BackendSettings(vm.address, BACKEND_PORT, 0, "turnos", "r1")
        )
        await self.mesh.wait_for_port(vm.address, BACKEND_PORT)
        await self.mesh.set_backend_faults(vm.name, BackendFaults(error_share=1.0))
        state = await self.mesh.backend_state(vm.name)
        self.assertEqual((state.total_runs, state.running), (0, 0))
