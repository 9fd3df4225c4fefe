"""Many members that end or start at the same time, as real processes."""

from __future__ import annotations

from tests.support.membership import MembershipTestCase


class MassRestartTest(MembershipTestCase):
    data_centre_count = 2
    vms_per_data_centre = 4

    def test_members_agree_after_half_are_killed_and_after_all_restart(self) -> None:
        self.run_async(self._kill_and_restart, 90)

    async def _kill_and_restart(self) -> None:
        self.start_nodes()
        names = [vm.name for vm in self.mesh.plan.vms]
        await self.wait_for_all(names)
        killed, remaining = names[::2], names[1::2]
        for name in killed:
            self.mesh.kill(name)
        await self.wait_for_all(remaining)
        for name in remaining:
            self.mesh.kill(name)
        for name in names:
            self.start_node(name)
        await self.wait_for_all(names)
