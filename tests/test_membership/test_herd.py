"""Many members that end or start at once, as real processes."""

from __future__ import annotations

from tests.support.membership import MembershipTestCase


class HerdTest(MembershipTestCase):
    centres = 2
    per_centre = 4

    def test_half_the_members_end_and_all_restart(self) -> None:
        self.run_async(self._herd, 90)

    async def _herd(self) -> None:
        self.start_nodes()
        names = [vm.name for vm in self.mesh.plan.vms]
        await self.wait_for_all(names)
        ended, left = names[::2], names[1::2]
        for name in ended:
            self.mesh.kill(name)
        await self.wait_for_all(left)
        for name in left:
            self.mesh.kill(name)
        for name in names:
            self.start_node(name)
        await self.wait_for_all(names)
